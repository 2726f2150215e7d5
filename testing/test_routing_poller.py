"""Reading of engines by the owner of their cell, in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import cast

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.generated.upstream import CacheEvent
from tanagerscale.generated.upstream import CacheEvents
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.membership import UpstreamGate
from tanagerscale.policy import EngineLoad
from tanagerscale.routing._owner import CellOwner
from tanagerscale.routing._poller import EnginePollers
from tanagerscale.upstreams import EngineClient
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind

pytestmark = pytest.mark.looptime

ENGINE = UpstreamId("engine-0")


@dataclass
class ReadEngine:
    """An engine that can only be read."""

    report: LoadReport = field(
        default_factory=lambda: LoadReport(
            running=3, waiting=1, used_tokens=900, memory_tokens=1000, age_ms=400
        )
    )
    reachable: bool = True
    reads: int = 0
    asked_after: list[int] = field(default_factory=list)

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Return the report."""
        self.reads += 1
        if not self.reachable:
            return Failure(UpstreamError(kind=UpstreamErrorKind.NOT_SENT, detail="Refused."))
        return Success(self.report)

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Return one event that is new each time."""
        self.asked_after.append(after)
        event = CacheEvent(sequence=after + 1, prefix=f"p{after + 1}", stored=True)
        return Success(CacheEvents(events=[event], next_sequence=after + 2))


@dataclass
class Decided:
    """What the cell's decider was told."""

    loads: list[EngineLoad] = field(default_factory=list)
    prefixes: list[str] = field(default_factory=list)
    lost: list[UpstreamId] = field(default_factory=list)

    def on_load(self, load: EngineLoad) -> None:
        """Note a report."""
        self.loads.append(load)

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool) -> None:
        """Note a cache event."""
        self.prefixes.append(prefix)

    def on_engine_lost(self, *, engine: UpstreamId) -> None:
        """Note a loss."""
        self.lost.append(engine)


@dataclass
class Polled:
    """Pollers with all that they touch."""

    engines: list[ReadEngine]
    decided: Decided
    gate: UpstreamGate
    pollers: EnginePollers


def _start() -> Polled:
    """Read one engine; replace the last of ``engines`` to give it another address."""
    engines, decided = [ReadEngine()], Decided()
    gate = UpstreamGate(clock=Clock(), rng=Random(1), broadcast=lambda _message: None)
    pollers = EnginePollers(
        clients=lambda _engine: cast(EngineClient, engines[-1]),
        clock=Clock(),
        gate=gate,
        decider=lambda _engine: cast(CellOwner, decided),
    )
    pollers.set_engines(frozenset([ENGINE]))
    return Polled(engines=engines, decided=decided, gate=gate, pollers=pollers)


async def test_reports_and_cache_events_reach_the_decider_with_their_age() -> None:
    polled = _start()
    await asyncio.sleep(1.2)
    load = polled.decided.loads[-1]
    assert (load.running, load.waiting, load.used_tokens, load.measured) == (3, 1, 900, 1000 - 400)
    assert polled.engines[0].asked_after == [0, 1, 2]
    assert polled.decided.prefixes == ["p1", "p2", "p3"]


async def test_engine_is_closed_when_its_own_report_says_that_it_leaves() -> None:
    polled = _start()
    polled.engines[0].report = LoadReport(
        running=0, waiting=0, used_tokens=0, memory_tokens=1000, leaving=True
    )
    await asyncio.sleep(0.1)
    assert polled.gate.is_leaving(ENGINE)


async def test_engine_is_lost_once_when_it_is_unreachable_and_opens_when_it_answers() -> None:
    polled = _start()
    polled.engines[0].reachable = False
    opened = []
    polled.gate.changes.subscribe(lambda each: opened.append(polled.gate.is_open(each)))
    await asyncio.sleep(20)
    assert polled.decided.lost == [ENGINE]
    assert not any(opened)
    polled.engines[0].reachable = True
    await asyncio.sleep(1)
    assert polled.gate.is_open(ENGINE)


async def test_engine_is_read_at_its_new_address_and_no_more_when_another_owns_it() -> None:
    polled = _start()
    await asyncio.sleep(1)
    polled.engines.append(ReadEngine())
    await asyncio.sleep(1)
    assert polled.engines[1].reads == 2
    polled.pollers.set_engines(frozenset())
    await asyncio.sleep(5)
    assert polled.engines[1].reads <= 3
