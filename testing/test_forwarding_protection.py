"""Copies taken while the store does not report leaving engines.

Guards against losing streams when the store is unavailable for eight seconds while one of seven
engines leaves every three seconds and then refuses connections. In one such run 33 of 58 copies
were sent to three engines that were gone, and nine streams were cut without a copy.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

from msgspec.structs import replace
import pytest

from tanagerscale.coordination._coordinator import REPORT_LAG_MS
from tanagerscale.coordination._planner import MAX_COPY_AGE_MS
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding._copier import Copier
from tanagerscale.forwarding._mover import MIN_LEAVING_QUERY_INTERVAL_MS
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import RunUse
from testing._gateway_fakes import copy_failure
from testing._move_harness import MoveHarness
from testing._single_host import HOST
from testing._virtual_time import run_virtually

SETTLE_S = 5
RUNS_WITHIN_NOTICE = 2
"""Number of runs of 4,000 tokens on one engine that can be moved within its notice."""


def _copied(harness: MoveHarness) -> set[str]:
    return {request for request, *_ in harness.fakes.engines.copies}


def _fill_for_spare_copies(harness: MoveHarness) -> None:
    """Leave too little free memory for copies that only guard against sudden failures."""
    harness.fill("y", tokens=20_000)


def test_runs_have_no_copies_when_the_notice_suffices_and_memory_is_short() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        _fill_for_spare_copies(harness)
        for number in range(RUNS_WITHIN_NOTICE):
            harness.add(str(number), at="x")
        await asyncio.sleep(SETTLE_S)
        assert _copied(harness) == set()

    run_virtually(scenario())


def test_runs_have_copies_while_the_store_is_unavailable() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        _fill_for_spare_copies(harness)
        harness.disconnect_store()
        for number in range(RUNS_WITHIN_NOTICE):
            harness.add(str(number), at="x")
        await asyncio.sleep(SETTLE_S)
        assert _copied(harness) == {"0", "1"}

    run_virtually(scenario())


def test_run_is_copied_to_another_engine_when_the_copy_holder_is_unreachable() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        harness.fakes.upstreams.down.append("y")
        await asyncio.sleep(1.0)
        assert run.snapshot is not None
        assert run.snapshot.entry.upstream == "z"

    run_virtually(scenario())


def test_engine_is_marked_down_when_it_refuses_a_copy_and_does_not_respond() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.fakes.engines.failures.append(copy_failure(CopyFailure.NO_ROOM))
        harness.add("1", at="x")
        await asyncio.sleep(0.5)
        assert harness.fakes.upstreams.down == ["y"]

    run_virtually(scenario())


def test_engine_is_not_marked_down_when_it_refuses_a_copy_and_responds() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.fakes.engines.not_leaving.add("y")
        harness.fakes.engines.failures.append(copy_failure(CopyFailure.NO_ROOM))
        harness.add("1", at="x")
        await asyncio.sleep(0.5)
        assert harness.fakes.upstreams.down == []

    run_virtually(scenario())


def test_other_runs_are_copied_when_copies_of_one_run_fail() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.fakes.engines.not_leaving.add("y")
        stuck = harness.add("stuck", at="x", answer_tokens=3000)
        harness.add_copy(stuck, at="y")
        harness.fakes.engines.refused.add("stuck")
        await asyncio.sleep(MAX_COPY_AGE_MS / 1000)
        for name in ("b", "c"):
            harness.add(name, at="x")
        await asyncio.sleep(SETTLE_S)
        assert _copied(harness) == {"stuck", "b", "c"}
        assert harness.fakes.upstreams.get(UpstreamId("y")) is not None

    run_virtually(scenario())


def test_engine_is_marked_leaving_when_it_refuses_a_copy_and_reports_leaving() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.fakes.engines.leaves_in_ms = 1800
        harness.fakes.engines.failures.append(copy_failure(CopyFailure.NO_ROOM))
        harness.add("1", at="x")
        await asyncio.sleep(0.5)
        assert harness.fakes.upstreams.leaving == {"y"}

    run_virtually(scenario())


@asynccontextmanager
async def _run_departure_watch(harness: MoveHarness) -> AsyncIterator[None]:
    task = asyncio.create_task(harness.coordinator.poll_engines())
    try:
        yield
    finally:
        task.cancel()


def test_run_moves_when_its_engine_reports_leaving_while_the_store_is_unavailable() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.disconnect_store()
        harness.fakes.engines.leaves_in_ms = 1800
        harness.fakes.engines.not_leaving.add("y")
        run = harness.add("1", at="x")
        async with _run_departure_watch(harness):
            await asyncio.sleep(1.5)
        assert harness.fakes.upstreams.leaving == {"x"}
        assert [
            resume_target is not None and resume_target.entry.upstream
            for resume_target in run.resume_targets
        ] == ["y"]

    run_virtually(scenario())


def test_reported_departure_time_is_used_when_it_is_near() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.disconnect_store()
        harness.fakes.engines.leaves_in_ms = REPORT_LAG_MS + 400
        harness.add("1", at="x")
        async with _run_departure_watch(harness):
            while not harness.fakes.upstreams.leaving:
                await asyncio.sleep(0.01)
            left_ms = (
                harness.departures.departure_time(UpstreamId("x"))
                - harness.fakes.context.clock.now()
            )
        assert 380 <= left_ms <= 400

    run_virtually(scenario())


def test_engines_are_not_polled_while_the_store_is_available() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.add("1", at="x")
        async with _run_departure_watch(harness):
            await asyncio.sleep(SETTLE_S)
        assert harness.fakes.engines.reports == 0

    run_virtually(scenario())


@pytest.mark.parametrize("others", [0, 8])
def test_poll_rate_of_an_engine_does_not_depend_on_the_number_of_hosts(others: int) -> None:
    async def scenario() -> int:
        harness = MoveHarness("x", "y")
        harness.disconnect_store()
        harness.fakes.engines.not_leaving.add("x")
        harness.add("1", at="x")
        for number in range(others):
            use = RunUse(request=f"r{number}", upstream="x", tokens=100, begun_ms=0)
            runs = HostRuns(number=1, decider=HOST, runs=[use])
            harness.coordinator.on_message(HostId(f"peer-{number}"), runs)
        async with _run_departure_watch(harness):
            await asyncio.sleep(60)
        return harness.fakes.engines.reports

    # One query every 300 ms makes 200 in a minute.
    assert 140 <= run_virtually(scenario()) <= 260


def test_engine_is_not_polled_by_a_host_that_follows_another_decider() -> None:
    async def scenario() -> int:
        harness = MoveHarness("x", "y")
        harness.disconnect_store()
        use = RunUse(request="r", upstream="x", tokens=100, begun_ms=0)
        runs = HostRuns(number=1, decider="another", runs=[use])
        harness.coordinator.on_message(HostId("peer"), runs)
        async with _run_departure_watch(harness):
            await asyncio.sleep(10)
        return harness.fakes.engines.reports

    assert run_virtually(scenario()) == 0


def test_engine_is_queried_once_a_second_when_its_responses_close_connections() -> None:
    async def scenario() -> int:
        harness = MoveHarness("x", "y")
        harness.fakes.engines.not_leaving.add("x")
        harness.add("1", at="x")
        for _ in range(5):
            harness.movers.on_connection_closing(UpstreamId("x"))
        await asyncio.sleep(MIN_LEAVING_QUERY_INTERVAL_MS / 1000)
        harness.fakes.engines.not_leaving.clear()
        harness.fakes.engines.leaves_in_ms = 1800
        harness.movers.on_connection_closing(UpstreamId("x"))
        await asyncio.sleep(0.1)
        assert harness.fakes.upstreams.leaving == {"x"}
        return harness.fakes.engines.reports

    # The second query finds that the engine is leaving; the evacuation does not query it again.
    assert run_virtually(scenario()) == 2


def test_renewed_copy_is_not_freed_when_the_entry_of_its_holder_changes() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        copier = Copier(context=harness.fakes.context)
        stream = cast(StreamRun, run)
        snapshot = await copier.snapshot(stream, harness.entry("x"), harness.entry("y"), ahead=True)
        assert snapshot is not None
        harness.fakes.upstreams.entries[1] = replace(harness.entry("y"), warmup_ms=1)
        await copier.snapshot(stream, harness.entry("x"), harness.entry("y"), ahead=True)
        await asyncio.sleep(0.1)
        assert harness.fakes.engines.dropped == []

    run_virtually(scenario())
