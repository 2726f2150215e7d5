"""Polling of engines by the owner of their cell, in virtual time."""

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
class FakePolledEngine:
    """Engine client that implements only the calls used for polling."""

    report: LoadReport = field(
        default_factory=lambda: LoadReport(
            running=3, waiting=1, used_tokens=900, memory_tokens=1000, age_ms=400
        )
    )
    reachable: bool = True
    reads: int = 0
    cache_offsets: list[int] = field(default_factory=list)

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Return the load report, or a failure if the engine is unreachable."""
        self.reads += 1
        if not self.reachable:
            return Failure(UpstreamError(kind=UpstreamErrorKind.NOT_SENT, detail="Refused."))
        return Success(self.report)

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Return one new event."""
        self.cache_offsets.append(after)
        event = CacheEvent(sequence=after + 1, prefix=f"p{after + 1}", stored=True)
        return Success(CacheEvents(events=[event], next_sequence=after + 2))


@dataclass
class FakeCellOwner:
    """Records the calls of the pollers."""

    loads: list[EngineLoad] = field(default_factory=list)
    prefixes: list[str] = field(default_factory=list)
    lost: list[UpstreamId] = field(default_factory=list)

    def on_load(self, load: EngineLoad) -> None:
        """Record a load report."""
        self.loads.append(load)

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool) -> None:
        """Record a cache event."""
        self.prefixes.append(prefix)

    def on_engine_lost(self, *, engine: UpstreamId) -> None:
        """Record the loss of an engine."""
        self.lost.append(engine)


@dataclass
class Harness:
    """Pollers with their fake dependencies."""

    engines: list[FakePolledEngine]
    owner: FakeCellOwner
    gate: UpstreamGate
    pollers: EnginePollers


def _start_harness() -> Harness:
    """Start to poll one engine; appending to ``engines`` simulates a change of its address."""
    engines, owner = [FakePolledEngine()], FakeCellOwner()
    gate = UpstreamGate(clock=Clock(), rng=Random(1), broadcast=lambda _message: None)
    pollers = EnginePollers(
        get_client=lambda _engine: cast(EngineClient, engines[-1]),
        clock=Clock(),
        gate=gate,
        get_owner=lambda _engine: cast(CellOwner, owner),
    )
    pollers.set_engines(frozenset([ENGINE]))
    return Harness(engines=engines, owner=owner, gate=gate, pollers=pollers)


async def test_load_reports_with_their_age_and_cache_events_reach_the_owner() -> None:
    harness = _start_harness()
    await asyncio.sleep(1.2)
    load = harness.owner.loads[-1]
    assert (load.running, load.waiting, load.used_tokens, load.measured) == (3, 1, 900, 1000 - 400)
    assert harness.engines[0].cache_offsets == [0, 1, 2]
    assert harness.owner.prefixes == ["p1", "p2", "p3"]


async def test_engine_is_closed_when_its_load_report_says_that_it_is_leaving() -> None:
    harness = _start_harness()
    harness.engines[0].report = LoadReport(
        running=0, waiting=0, used_tokens=0, memory_tokens=1000, leaving=True
    )
    await asyncio.sleep(0.1)
    assert harness.gate.is_leaving(ENGINE)


async def test_unreachable_engine_is_reported_lost_once_and_reopens_when_it_answers() -> None:
    harness = _start_harness()
    harness.engines[0].reachable = False
    opened = []
    harness.gate.changes.subscribe(lambda each: opened.append(harness.gate.is_open(each)))
    await asyncio.sleep(20)
    assert harness.owner.lost == [ENGINE]
    assert not any(opened)
    harness.engines[0].reachable = True
    await asyncio.sleep(1)
    assert harness.gate.is_open(ENGINE)


async def test_engine_is_polled_at_its_new_address_until_another_host_owns_it() -> None:
    harness = _start_harness()
    await asyncio.sleep(1)
    harness.engines.append(FakePolledEngine())
    await asyncio.sleep(1)
    assert harness.engines[1].reads == 2
    harness.pollers.set_engines(frozenset())
    await asyncio.sleep(5)
    assert harness.engines[1].reads <= 3


# Guards against an engine that is not polled again after one report that its owner fails to take.
async def test_engine_is_polled_again_when_its_report_failed_unexpectedly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = _start_harness()
    await asyncio.sleep(0.1)
    on_load = FakeCellOwner.on_load

    def fail(_owner: FakeCellOwner, _load: EngineLoad) -> None:
        raise ArithmeticError("This was not expected.")

    monkeypatch.setattr(FakeCellOwner, "on_load", fail)
    await asyncio.sleep(1)
    monkeypatch.setattr(FakeCellOwner, "on_load", on_load)
    known = len(harness.owner.loads)
    await asyncio.sleep(5)
    assert len(harness.owner.loads) > known
    await harness.pollers.stop()
