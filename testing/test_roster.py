"""Which upstreams get requests, including during outages of the store that lists them."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.membership import Evacuations
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import UpstreamRoster
from tanagerscale.membership._entry_grace import MASS_EXPIRY_GRACE_MS
from tanagerscale.membership._entry_grace import OUTAGE_GRACE_MS
from tanagerscale.membership._roster import GONE_RETENTION_MS
from tanagerscale.membership._roster import OLDER_INCARNATION_DELAY_MS
from tanagerscale.membership._roster import UNREADABLE_GRACE_MS
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch
from tanagerscale.upstreams import UpstreamEntry
from testing._listed_upstreams import SERVICE
from testing._listed_upstreams import decode_store_entry
from testing._listed_upstreams import make_store_entry
from testing._virtual_time import run_virtually

NAMES = ("a", "b", "c", "d", "e")
MARGIN_MS = 10
SETTLE_S = 30
OWN_NOTICE_LAPSE_S = 601


class RosterHarness:
    """A roster and the current revision of its store."""

    def __init__(self) -> None:
        self.notices: list[UpstreamLeaving] = []
        clock = Clock()
        self.gate = UpstreamGate(clock=clock, rng=Random(1), broadcast=self.notices.append)
        self.roster = UpstreamRoster(
            gate=self.gate,
            evacuations=Evacuations(parse_evacuated_domain=lambda _: None, clock=clock),
            decode=decode_store_entry,
            parse_upstream_name=UpstreamName,
            clock=clock,
        )
        self.revision = 10
        self.replaced: list[UpstreamEntry] = []
        self.roster.replaced.subscribe(self.replaced.append)

    def open_ids(self) -> str:
        """Return the ids of the open upstreams, sorted and concatenated."""
        return "".join(sorted(entry.upstream for entry in self.roster.open_for(SERVICE)))

    def write(self, *names: str, state: str = "ready") -> None:
        """Write entries and deliver the change to the roster."""
        self.revision += 1
        self.roster.on_changes(self._make_batch(self._make_entries(names, state), ()))

    def delete(self, *names: str) -> None:
        """Delete entries and deliver the change to the roster."""
        self.revision += 1
        self.roster.on_changes(self._make_batch((), names))

    def snapshot(self, *names: str) -> None:
        """Deliver a snapshot of the store to the roster."""
        revision = StoreRevision(self.revision)
        found = StoreRange(entries=self._make_entries(names, "ready"), revision=revision)
        self.roster.on_snapshot(found)

    def _make_entries(self, names: tuple[str, ...], state: str) -> tuple[StoreEntry, ...]:
        return tuple(make_store_entry(name, state, revision=self.revision) for name in names)

    def _make_batch(self, entries: tuple[StoreEntry, ...], deleted: tuple[str, ...]) -> WatchBatch:
        return WatchBatch(entries=entries, deleted=deleted, revision=StoreRevision(self.revision))


async def _make_settled_harness(*, outage: bool = False) -> RosterHarness:
    """Return a harness whose store is reachable, optionally right after an outage."""
    harness = RosterHarness()
    harness.roster.on_store_state(StoreState.REACHED)
    harness.snapshot(*NAMES)
    await asyncio.sleep(SETTLE_S)
    if outage:
        harness.roster.on_store_state(StoreState.LOST)
        await asyncio.sleep(SETTLE_S)
        harness.roster.on_store_state(StoreState.REACHED)
    return harness


def test_upstream_gets_no_requests_when_it_is_leaving() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.write("b", state="leaving")
        assert harness.open_ids() == "acde"
        assert [message.upstream for message in harness.notices] == ["b"]

    run_virtually(scenario())


def test_upstream_gets_no_requests_when_only_its_entry_is_deleted() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.delete("b")
        assert harness.open_ids() == "acde"
        assert harness.roster.get(UpstreamId("b")) is not None

    run_virtually(scenario())


def test_upstream_reopens_when_its_entry_is_rewritten() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.delete("b")
        harness.write("b")
        assert harness.open_ids() == "abcde"

    run_virtually(scenario())


def test_upstreams_are_kept_when_entries_expire_during_store_outage() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness(outage=True)
        harness.delete(*NAMES)
        assert harness.open_ids() == "abcde"
        harness.write("a", "b", "c")
        await asyncio.sleep((OUTAGE_GRACE_MS + MARGIN_MS) / 1000)
        assert harness.open_ids() == "abc"

    run_virtually(scenario())


def test_upstreams_are_kept_when_entries_expire_together_without_detected_outage() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.delete(*NAMES)
        assert harness.open_ids() == "abcde"
        await asyncio.sleep((MASS_EXPIRY_GRACE_MS + MARGIN_MS) / 1000)
        assert harness.open_ids() == ""
        harness.write(*NAMES)
        assert harness.open_ids() == "abcde"

    run_virtually(scenario())


def test_notice_from_peer_closes_upstream_until_a_later_entry() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.gate.on_peer(UpstreamLeaving(upstream="c", incarnation=harness.revision + 5))
        assert harness.open_ids() == "abde"
        harness.revision += 10
        harness.write("c")
        assert harness.open_ids() == "abcde"

    run_virtually(scenario())


def test_outdated_notice_from_peer_does_not_close_upstream() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.gate.on_peer(UpstreamLeaving(upstream="c", incarnation=harness.revision - 5))
        assert harness.open_ids() == "abcde"

    run_virtually(scenario())


def test_upstream_missing_from_snapshot_gets_no_requests() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.revision += 1
        harness.snapshot("a", "b", "c", "d")
        assert harness.open_ids() == "abcd"

    run_virtually(scenario())


def test_unreadable_entry_is_ignored() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.write("z", state="bad")
        assert harness.open_ids() == "abcde"

    run_virtually(scenario())


def test_upstream_record_is_deleted_when_it_has_been_gone_for_long() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.delete("b")
        await asyncio.sleep(120)
        assert harness.roster.get(UpstreamId("b")) is None

    run_virtually(scenario())


@pytest.mark.parametrize("count", [1, 2])
def test_upstreams_are_gone_immediately_when_few_entries_disappear(count: int) -> None:
    async def scenario() -> None:
        harness = RosterHarness()
        harness.roster.on_store_state(StoreState.REACHED)
        names = [f"n{number}" for number in range(20)]
        harness.snapshot(*names)
        await asyncio.sleep(SETTLE_S)
        harness.delete(*names[:count])
        assert len(harness.roster.open_for(SERVICE)) == len(names) - count

    run_virtually(scenario())


async def _make_harness_with_start_times() -> RosterHarness:
    """Return a harness whose upstreams report their start times, all of them 1000."""
    harness = RosterHarness()
    harness.roster.on_store_state(StoreState.REACHED)
    for name in NAMES:
        harness.write(name, state="ready@1000")
    await asyncio.sleep(SETTLE_S)
    return harness


def test_later_start_gets_requests_when_the_earlier_one_was_leaving() -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.write("b", state="leaving@1000")
        assert harness.open_ids() == "a1000c1000d1000e1000"
        harness.write("b", state="ready@2000")
        assert harness.open_ids() == "a1000b2000c1000d1000e1000"

    run_virtually(scenario())


def test_upstream_that_said_it_leaves_reopens_only_when_it_restarts() -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.gate.record_own_notice(upstream=UpstreamId("b1000"))
        harness.write("b", state="leaving@1000")
        harness.write("b", state="ready@1000")
        assert harness.open_ids() == "a1000c1000d1000e1000"
        assert "b1000" not in {entry.upstream for entry in harness.roster.not_leaving(SERVICE)}
        await asyncio.sleep(OWN_NOTICE_LAPSE_S)
        harness.write("b", state="ready@1000")
        assert harness.open_ids() == "a1000c1000d1000e1000"
        harness.write("b", state="ready@2000")
        assert harness.open_ids() == "a1000b2000c1000d1000e1000"

    run_virtually(scenario())


def test_upstream_without_start_times_reopens_long_after_it_said_it_leaves() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.gate.record_own_notice(upstream=UpstreamId("b"))
        harness.write("b")
        await asyncio.sleep(SETTLE_S)
        harness.write("b")
        assert harness.open_ids() == "acde"
        await asyncio.sleep(OWN_NOTICE_LAPSE_S)
        harness.write("b")
        assert harness.open_ids() == "abcde"

    run_virtually(scenario())


def test_nothing_is_kept_of_what_an_upstream_said_when_the_upstream_is_long_gone() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.gate.record_own_notice(upstream=UpstreamId("b"))
        harness.delete("b")
        await asyncio.sleep(GONE_RETENTION_MS / 1000 + SETTLE_S)
        assert [message.upstream for message in harness.gate.leaving_messages()] == ["b"]
        await asyncio.sleep(OWN_NOTICE_LAPSE_S)
        assert harness.gate.leaving_messages() == ()
        assert not harness.gate._leaving_noted_at

    run_virtually(scenario())


# Guards against requests to a leaving upstream whose entry lapses with the store and comes back.
def test_upstream_that_said_it_leaves_stays_closed_when_its_entry_comes_back() -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.gate.record_own_notice(upstream=UpstreamId("b1000"))
        harness.delete("b")
        await asyncio.sleep(GONE_RETENTION_MS / 1000 + SETTLE_S)
        harness.write("b", state="ready@1000")
        assert "b1000" not in harness.open_ids()

    run_virtually(scenario())


def test_earlier_incarnation_is_gone_when_the_upstream_restarts() -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.write("b", state="ready@2000")
        assert harness.open_ids() == "a1000b2000c1000d1000e1000"
        assert harness.gate.is_leaving(UpstreamId("b1000"))
        assert [message.upstream for message in harness.notices] == ["b1000"]
        assert [entry.upstream for entry in harness.replaced] == ["b1000"]
        earlier = harness.roster.get(UpstreamId("b1000"))
        assert earlier is not None

    run_virtually(scenario())


@pytest.mark.parametrize("late_value", ["leaving@1000", "ready@1000"])
def test_late_write_of_earlier_incarnation_is_ignored(late_value: str) -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.write("b", state="ready@2000")
        harness.write("b", state=late_value)
        assert harness.open_ids() == "a1000b2000c1000d1000e1000"
        await asyncio.sleep(1.2)
        harness.write("b", state="ready@2000")
        await asyncio.sleep(SETTLE_S)
        assert harness.open_ids() == "a1000b2000c1000d1000e1000"

    run_virtually(scenario())


def test_forged_later_start_is_replaced_by_the_real_one() -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.write("b", state="ready@9000")
        harness.write("b", state="ready@1000")
        await asyncio.sleep((OLDER_INCARNATION_DELAY_MS + MARGIN_MS) / 1000)
        assert harness.open_ids() == "a1000b1000c1000d1000e1000"

    run_virtually(scenario())


def test_late_write_of_earlier_incarnation_is_ignored_when_the_entry_is_deleted() -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.write("b", state="ready@2000")
        harness.write("b", state="ready@1000")
        harness.delete("b")
        await asyncio.sleep(SETTLE_S)
        assert harness.open_ids() == "a1000c1000d1000e1000"

    run_virtually(scenario())


def test_deleted_entry_closes_the_newest_start() -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.write("b", state="ready@2000")
        await asyncio.sleep(SETTLE_S)
        harness.delete("b")
        assert harness.open_ids() == "a1000c1000d1000e1000"

    run_virtually(scenario())


def test_start_after_a_deleted_record_gets_requests() -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.write("b", state="ready@2000")
        await asyncio.sleep(120)
        assert harness.roster.get(UpstreamId("b1000")) is None
        harness.write("b", state="ready@3000")
        assert harness.open_ids() == "a1000b3000c1000d1000e1000"

    run_virtually(scenario())


def test_upstream_gets_no_requests_immediately_when_its_entry_is_overwritten() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.write("b", state="bad")
        assert harness.open_ids() == "acde"
        assert "b" not in {entry.upstream for entry in harness.roster.not_leaving(SERVICE)}
        assert not harness.gate.is_leaving(UpstreamId("b"))

    run_virtually(scenario())


def test_upstream_is_leaving_when_its_entry_stays_unreadable() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.write("b", state="bad")
        await asyncio.sleep((UNREADABLE_GRACE_MS + MARGIN_MS) / 1000)
        assert harness.gate.is_leaving(UpstreamId("b"))

    run_virtually(scenario())


def test_upstream_reopens_when_it_rewrites_its_overwritten_entry() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.write("b", state="bad")
        await asyncio.sleep(UNREADABLE_GRACE_MS / 2000)
        harness.write("b")
        assert harness.open_ids() == "abcde"
        await asyncio.sleep(SETTLE_S)
        assert harness.open_ids() == "abcde"
        assert harness.notices == []

    run_virtually(scenario())


def test_entry_without_start_time_is_rejected_when_an_earlier_one_had_it() -> None:
    async def scenario() -> None:
        harness = await _make_harness_with_start_times()
        harness.write("b", state="ready")
        assert harness.open_ids() == "a1000c1000d1000e1000"

    run_virtually(scenario())


def test_other_upstreams_stay_open_when_snapshot_lacks_unreadable_entries() -> None:
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.write("b", "d", state="bad")
        harness.snapshot("a", "c", "e")
        await asyncio.sleep(SETTLE_S)
        assert harness.open_ids() == "ace"

    run_virtually(scenario())


def test_upstream_is_leaving_immediately_when_watch_reports_deletion_while_other_calls_fail() -> (
    None
):
    async def scenario() -> None:
        harness = await _make_settled_harness()
        harness.roster.on_calls(answered=False)
        harness.delete("b")
        assert harness.open_ids() == "acde"

    run_virtually(scenario())


def test_entries_of_unknown_upstreams_leave_no_state() -> None:
    async def scenario() -> int:
        harness = await _make_settled_harness()
        known = len(harness.roster._written_revisions)
        for number in range(50):
            harness.write(f"made-up-{number}", state="bad")
            harness.delete(f"made-up-{number}")
        return len(harness.roster._written_revisions) - known

    assert run_virtually(scenario()) == 0
