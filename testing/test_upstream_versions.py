"""The newest state of an upstream holds in whatever order statements on it arrive."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.membership import Evacuations
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import UpstreamRoster
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from testing._listed_upstreams import SERVICE
from testing._listed_upstreams import decode_store_entry
from testing._listed_upstreams import make_store_entry
from testing._virtual_time import run_virtually

UPSTREAM = UpstreamId("u")


@dataclass(frozen=True)
class Statement:
    """What an upstream said of itself, and how it reaches a host.

    :param sequence: Number that the upstream gave to it.
    :param is_leaving: Whether it said that it leaves.
    :param by_peer: Whether a peer tells of a notice before the store does.
    """

    sequence: int
    is_leaving: bool
    by_peer: bool


def _statements(last_ready: int) -> st.SearchStrategy[list[Statement]]:
    """Return statements of an upstream that leaves after some number, each at least once."""
    every = st.tuples(
        *(
            st.builds(
                Statement,
                sequence=st.just(sequence),
                is_leaving=st.just(sequence > last_ready),
                by_peer=st.booleans(),
            )
            for sequence in range(1, 6)
        )
    )
    return st.tuples(every, st.randoms(use_true_random=False)).map(
        lambda drawn: _shuffle([*drawn[0], *drawn[0][:3]], drawn[1])
    )


def _shuffle(statements: list[Statement], rng: Random) -> list[Statement]:
    return rng.sample(statements, len(statements))


def _is_open_after(statements: list[Statement]) -> bool:
    async def scenario() -> bool:
        clock = Clock()
        gate = UpstreamGate(clock=clock, rng=Random(1), broadcast=lambda _: None)
        roster = UpstreamRoster(
            gate=gate,
            evacuations=Evacuations(parse_evacuated_domain=lambda _: None, clock=clock),
            decode=decode_store_entry,
            parse_upstream_name=UpstreamName,
            clock=clock,
        )
        for number, one in enumerate(statements):
            revision = StoreRevision(100 + number)
            if one.is_leaving and one.by_peer:
                notice = UpstreamLeaving(
                    upstream=UPSTREAM, incarnation=revision, sequence=one.sequence
                )
                gate.on_peer(notice)
            state = "leaving" if one.is_leaving else "ready"
            entry = make_store_entry(UPSTREAM, f"{state} 0 {one.sequence}", revision=revision)
            roster.on_changes(WatchBatch(entries=(entry,), deleted=(), revision=revision))
        return bool(roster.open_for(SERVICE))

    return run_virtually(scenario())


# An entry that the store applied late opened an upstream that had said that it leaves.
@given(statements=st.integers(0, 4).flatmap(_statements))
def test_upstream_stays_closed_in_whatever_order_its_statements_arrive(
    statements: list[Statement],
) -> None:
    assert not _is_open_after(statements)


@given(statements=_statements(5))
def test_upstream_that_does_not_leave_is_open_in_whatever_order_its_statements_arrive(
    statements: list[Statement],
) -> None:
    assert _is_open_after(statements)


def test_removed_upstream_is_open_again_when_it_writes_a_later_entry() -> None:
    async def scenario() -> list[bool]:
        clock = Clock()
        gate = UpstreamGate(clock=clock, rng=Random(1), broadcast=lambda _: None)
        gate.record_incarnation(upstream=UPSTREAM, incarnation=10, sequence=4)
        gate.record_leaving(upstream=UPSTREAM, incarnation=20, sequence=4)
        states = [gate.is_leaving(UPSTREAM)]
        gate.record_incarnation(upstream=UPSTREAM, incarnation=30, sequence=3)
        states.append(gate.is_leaving(UPSTREAM))
        gate.record_incarnation(upstream=UPSTREAM, incarnation=25, sequence=5)
        return [*states, gate.is_leaving(UPSTREAM)]

    assert run_virtually(scenario()) == [True, True, False]
