"""The stand-ins that a soak with planned work alone relies on."""

from __future__ import annotations

import asyncio
from pathlib import Path
from random import Random
from typing import cast

import pytest

from standins.platform_callers import Call
from standins.platform_callers import CallKind
from standins.platform_engine import COPY_RETENTION_S
from standins.platform_engine import Ledger
from standins.platform_engine import ReceivedRequest
from standins.platform_engine import UpstreamEmulator
from standins.platform_engine import _Copy
from standins.platform_engine import _Run
from standins.platform_fault_log import Fault
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_hosts import PlatformHostProcess
from standins.platform_planned import MIN_SERVING
from standins.platform_planned import PlannedStops
from standins.platform_planned import report_moves
from standins.platform_verdict import PlatformVerdict
from standins.retry_budget_rule import RetryBudgetRule
from testing._virtual_time import run_virtually


# Guards against targets that always have room, with which no copy fails.
@pytest.mark.parametrize(
    ("slots", "memory_tokens", "fits"),
    [(0, 0, True), (2, 1000, True), (1, 1000, False), (2, 999, False)],
)
def test_engine_takes_a_copy_only_within_its_slots_and_memory(
    slots: int, memory_tokens: int, fits: bool
) -> None:
    async def scenario() -> bool:
        engine = UpstreamEmulator(upstream="e1", ledger=Ledger())
        engine.slots, engine.memory_tokens = slots, memory_tokens
        engine._runs["r1"] = _Run("r1", 1, 400, 100)
        run = _Run("r2", 1, 300, 100, events_sent=15, event_tokens=20)
        return engine._has_room_for_copy(run)

    assert run_virtually(scenario()) is fits


# Guards against engines that stay full with copies that nobody can use any more.
@pytest.mark.parametrize("is_used", [False, True])
def test_engine_has_room_again_when_a_copy_expires_or_is_used(is_used: bool) -> None:
    async def scenario() -> None:
        engine = UpstreamEmulator(upstream="e1", ledger=Ledger())
        engine.slots, engine.memory_tokens = 1, 1000
        old, now = _Run("r1", 1, 400, 100), engine._clock.now()
        engine._copies["h1"] = _Copy(old, 0, now)
        assert not engine._has_room_for_copy(_Run("r2", 1, 400, 100))
        if is_used:
            engine._forget(_Copy(old, 10, now))
        else:
            engine._copies["h1"].taken = now - round(2000 * COPY_RETENTION_S)
        assert engine._has_room_for_copy(_Run("r2", 1, 400, 100))

    run_virtually(scenario())


class _Host:
    """A host that takes a while to stop and to start."""

    def __init__(self, name: str, away: set[str]) -> None:
        self.name = name
        self.stops = 0
        self.signals = 0
        self._away = away

    async def stop(self) -> None:
        assert self.name not in self._away
        self._away.add(self.name)
        self.stops += 1
        await asyncio.sleep(4)

    async def start(self) -> None:
        await asyncio.sleep(0.5)

    async def wait_until_ready(self) -> None:
        self._away.discard(self.name)

    def reload(self, retry_slack: float) -> None:
        assert self.name in self._away
        self.signals += 1

    def terminate_again(self) -> None:
        assert self.name in self._away
        self.signals += 1


# Guards against stopping all hosts at once, against signals that reach a host which has just been
# started, and against runs in which a host is stopped only once.
def test_hosts_are_stopped_twice_in_turn_while_some_are_left() -> None:
    async def scenario() -> None:
        away: set[str] = set()
        hosts = [_Host(f"h{number}", away) for number in range(5)]
        stops = PlannedStops(hosts=cast(list[PlatformHostProcess], hosts))
        work = asyncio.create_task(stops.run(rng=Random(1), duration_ms=1_000))
        while not work.done():
            assert len(hosts) - len(away) >= MIN_SERVING
            await asyncio.sleep(0.1)
        await work
        assert min(host.stops for host in hosts) >= 2
        assert any(host.signals for host in hosts)

    run_virtually(scenario())


def test_streams_on_engines_that_left_are_reported_with_why_each_was_cut(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    call = Call("r1", CallKind.LONG, "h0", 1_000, ended=3_000, pause_ms=70)
    received = ReceivedRequest("r1", "POST", "/", {}, b"", True, "e1", arrived=1_010, ended=2_000)
    log = FaultLog()
    log.faults.append(Fault(FaultKind.LEAVING, "e1", "", 1_500, 4_000))
    ledger = Ledger(received_requests=[received])
    ledger.copy_orders[False, 200] = 3
    verdict = PlatformVerdict(
        calls=[call],
        ledger=ledger,
        fault_log=log,
        grace_ms=5_000,
        retry_rule=RetryBudgetRule(ratio=0.0, slack=3.0),
    )
    (tmp_path / "h0-01.log").write_text(
        '{"t":2000,"request":"r1","message":"A leg ended early."}\n'
    )
    report_moves([call], ledger, verdict, log, tmp_path)
    printed = capsys.readouterr().out
    assert "1 streams on 1 engines that left: cut {'LOST': 1}" in printed
    assert "orders to copy: {'copy 200': 3}" in printed
    assert "70 ms (r1)" in printed
    assert "t 2000, message A leg ended early." in printed


# Guards against an engine that continues a run from a copy of which it has continued the run.
@pytest.mark.parametrize(("is_used", "left"), [(False, ["later"]), (True, [])])
def test_handles_of_a_copy_are_void_when_it_was_used(is_used: bool, left: list[str]) -> None:
    async def scenario() -> list[str]:
        engine = UpstreamEmulator(upstream="e1", ledger=Ledger())
        engine.slots = 1
        run = _Run("r1", 1, 400, 100)
        engine._copies |= {"earlier": _Copy(run, 1, 10), "later": _Copy(run, 3, 30)}
        engine._forget(_Copy(run, 2, 20), are_later=is_used)
        return list(engine._copies)

    assert run_virtually(scenario()) == left
