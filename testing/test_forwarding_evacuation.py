"""Streams leave engines that go, and copies are taken before where a notice would be too short."""

from __future__ import annotations

import asyncio

import pytest

from tanagerscale.coordination._coordinator import REPORT_DELAY_MS
from tanagerscale.coordination._coordinator import REPORT_LAG_MS
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding._movers import RESCUE_MS
from testing._gateway_fakes import copy_failure
from testing._moving_scene import Scene
from testing._virtual_time import run_virtually

QUIET_S = 5


def test_run_is_copied_then_stopped_and_goes_on_when_its_engine_leaves() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        run = scene.add("1", at="x")
        scene.leave("x")
        await asyncio.sleep(1.0)
        assert scene.bench.engines.copies == [("1", "x", "y", False), ("1", "x", "y", True)]
        (hop,) = run.stops
        assert hop is not None
        assert (hop.entry.upstream, hop.holder.upstream) == ("y", "x")

    run_virtually(play())


def test_run_that_has_a_copy_only_needs_the_rest() -> None:
    async def play() -> None:
        scene = Scene("x", "y", "z")
        run = scene.add("1", at="x")
        scene.hold(run, at="z")
        scene.leave("x")
        await asyncio.sleep(1.0)
        assert scene.bench.engines.copies == [("1", "x", "z", True)]

    run_virtually(play())


def test_copies_of_one_engine_go_one_after_the_other_dearest_first() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        for name, made in (("young", 10), ("old", 2000), ("middle", 500)):
            scene.add(name, at="x", made=made)
        scene.leave("x")
        await asyncio.sleep(1.4)
        asked = [(request, stop) for request, _, _, stop in scene.bench.engines.copies]
        assert asked == [
            ("old", False),
            ("old", True),
            ("middle", False),
            ("middle", True),
            ("young", False),
            ("young", True),
        ]

    run_virtually(play())


def test_run_that_broke_off_is_stopped_before_it_goes_on_from_its_copy() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        run = scene.add("1", at="x")
        scene.hold(run, at="y")
        hop = await scene.movers.rescue(run, scene.entry("x"))  # type: ignore[arg-type]
        assert scene.bench.engines.copies == [("1", "x", "y", True)]
        assert hop is not None
        assert (hop.entry.upstream, hop.holder.upstream) == ("y", "x")
        assert hop.copy != "c"

    run_virtually(play())


@pytest.mark.parametrize("failure", [CopyFailure.UNKNOWN_RUN, CopyFailure.LOST])
def test_run_goes_on_from_its_copy_when_its_engine_knows_it_no_more(failure: CopyFailure) -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        run = scene.add("1", at="x")
        scene.hold(run, at="y")
        scene.bench.engines.failures.append(copy_failure(failure))
        hop = await scene.movers.rescue(run, scene.entry("x"))  # type: ignore[arg-type]
        assert hop is not None
        assert (hop.entry.upstream, hop.copy) == ("y", "c")

    run_virtually(play())


def test_run_goes_on_from_its_copy_when_its_engine_does_not_answer() -> None:
    async def play() -> int:
        scene = Scene("x", "y")
        run = scene.add("1", at="x")
        scene.hold(run, at="y")
        scene.bench.engines.takes_ms = 60_000
        hop = await scene.movers.rescue(run, scene.entry("x"))  # type: ignore[arg-type]
        assert hop is not None
        return scene.bench.parts.clock.now()

    assert run_virtually(play()) == RESCUE_MS


def test_run_that_has_not_begun_is_moved_after_its_first_event() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        run = scene.add("1", at="x", begun=False)
        scene.leave("x")
        await asyncio.sleep(0.5)
        assert scene.bench.engines.copies == []
        scene.begin(run)
        await asyncio.sleep(0.5)
        assert len(scene.bench.engines.copies) == 2

    run_virtually(play())


def test_run_that_an_engine_takes_while_it_leaves_is_moved() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        scene.leave("x")
        run = scene.add("1", at="x")
        await asyncio.sleep(0.5)
        assert len(run.stops) == 1

    run_virtually(play())


def test_another_engine_is_tried_when_one_has_no_room() -> None:
    async def play() -> None:
        scene = Scene("x", "y", "z")
        run = scene.add("1", at="x")
        scene.bench.engines.failures.append(copy_failure(CopyFailure.NO_ROOM))
        scene.leave("x")
        await asyncio.sleep(1.0)
        targets = [target for _, _, target, _ in scene.bench.engines.copies]
        assert len(set(targets)) == 2
        assert targets[1] == targets[2]
        assert len(run.stops) == 1

    run_virtually(play())


def test_run_goes_on_at_its_source_when_that_stopped_it_and_kept_its_memory() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        run = scene.add("1", at="x")
        scene.hold(run, at="y")
        scene.bench.engines.failures.append(copy_failure(CopyFailure.NO_ROOM, kept="k"))
        scene.leave("x")
        await asyncio.sleep(0.3)
        hop = run.stops[0]
        assert hop is not None
        assert (hop.entry.upstream, hop.copy) == ("x", "k")

    run_virtually(play())


def test_run_is_not_copied_when_that_would_come_too_late() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        run = scene.add("1", at="x", begun=False)
        scene.leave("x")
        await asyncio.sleep(1.45)
        scene.begin(run)
        await asyncio.sleep(1.0)
        assert scene.bench.engines.copies == []
        assert run.stops == []

    run_virtually(play())


def test_runs_get_copies_in_quiet_times_when_too_many_are_on_one_engine() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        for number in range(5):
            scene.add(str(number), at="x")
        scene.fill("y", tokens=18_000)
        await asyncio.sleep(QUIET_S)
        copied = {request for request, *_ in scene.bench.engines.copies}
        # 10,000 tokens fit the notice, so three of five runs with 4,000 each need a copy.
        assert len(copied) == 3
        assert all(not stop for *_, stop in scene.bench.engines.copies)

    run_virtually(play())


def test_runs_get_copies_in_case_of_a_failure_only_where_memory_is_spare() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        for number in range(2):
            scene.add(str(number), at="x")
        scene.fill("y", tokens=16_000)
        await asyncio.sleep(QUIET_S)
        copied = {request for request, *_ in scene.bench.engines.copies}
        # Six tenths of 34,000 tokens are 20,400, so one of two runs with 4,000 each fits.
        assert len(copied) == 1

    run_virtually(play())


def test_links_are_kept_for_what_leaves_when_an_engine_goes() -> None:
    async def play() -> None:
        scene = Scene("x", "y", "z")
        for number in range(5):
            scene.add(str(number), at="x")
        scene.leave("z")
        await asyncio.sleep(1.5)
        before = list(scene.bench.engines.copies)
        await asyncio.sleep(QUIET_S)
        assert before == []
        assert scene.bench.engines.copies != []

    run_virtually(play())


def test_copy_is_renewed_before_its_engine_drops_it() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        scene.add("1", at="x")
        await asyncio.sleep(3 * QUIET_S)
        asked = [request for request, *_ in scene.bench.engines.copies]
        assert len(set(asked)) == 1
        assert 4 <= len(asked) <= 7

    run_virtually(play())


def test_copies_taken_ahead_are_dropped_when_their_engine_needs_the_memory() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        run = scene.add("1", at="x")
        await asyncio.sleep(1.0)
        # A run that goes on makes a token each 9 ms.
        assert 4000 <= scene.bench.totals()[UpstreamId("y")].yielding_tokens <= 4150
        scene.fill("y", tokens=31_000)
        await asyncio.sleep(1.0)
        assert run.snapshot is None
        assert len(scene.bench.engines.dropped) == 1
        assert scene.bench.totals()[UpstreamId("y")].yielding_tokens == 0

    run_virtually(play())


def test_copy_of_a_run_that_must_leave_does_not_yield() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        run = scene.add("1", at="x")
        scene.hold(run, at="y")
        scene.bench.work.set_copy(request=run.request, copy_at=UpstreamId("y"), yields=True)
        scene.fill("y", tokens=31_000)
        scene.bench.engines.takes_ms = 1000
        scene.leave("x")
        await asyncio.sleep(0.5)
        assert scene.bench.engines.dropped == []
        total = scene.bench.totals()[UpstreamId("y")]
        assert total.yielding_tokens == 0
        assert 4000 <= total.copy_tokens <= 4150

    run_virtually(play())


def test_run_waits_for_room_as_long_as_its_engine_stays() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        run = scene.add("1", at="x")
        scene.fill("y", tokens=31_000)
        scene.leave("x")
        await asyncio.sleep(0.5)
        assert scene.bench.engines.copies == []
        scene.bench.work.end(request=RequestId("filler of y"))
        await asyncio.sleep(0.5)
        assert len(run.stops) == 1

    run_virtually(play())


def test_runs_move_to_the_emptier_engine_that_has_copies_of_them() -> None:
    async def play() -> None:
        scene = Scene("x", "y")
        runs = [scene.add(str(number), at="x") for number in range(5)]
        for run in runs[:4]:
            scene.hold(run, at="y")
        await asyncio.sleep(QUIET_S)
        moved = [run for run in runs if run.stops]
        # Five to none, then four to one; three to two would only turn round.
        assert len(moved) == 2
        # Only the rest of each was copied; runs that stay have their copies renewed besides.
        first = {request: stop for request, *_, stop in reversed(scene.bench.engines.copies)}
        assert all(first[run.request] for run in moved)
        assert sum(stop for *_, stop in scene.bench.engines.copies) == 2

    run_virtually(play())


def test_nothing_is_evened_out_while_an_engine_leaves() -> None:
    async def play() -> None:
        scene = Scene("x", "y", "z")
        runs = [scene.add(str(number), at="x") for number in range(4)]
        for run in runs:
            scene.hold(run, at="y")
        scene.leave("z")
        await asyncio.sleep(1.4)
        assert scene.bench.engines.copies == []

    run_virtually(play())


def test_run_that_begins_on_a_leaving_engine_learns_when_that_goes() -> None:
    async def play() -> int:
        scene = Scene("x", "y")
        scene.bench.engines.leaves_in_ms = 2000
        scene.leave("x")
        await asyncio.sleep(0.3)
        scene.add("1", at="x")
        scene.fill("y", tokens=31_000)
        await asyncio.sleep(0.6)
        return scene.departures.departure_time(UpstreamId("x"))

    assert run_virtually(play()) == REPORT_DELAY_MS + 2000 - REPORT_LAG_MS


def test_copy_ahead_that_is_under_way_at_the_notice_is_used() -> None:
    async def play() -> None:
        scene = Scene("x", "y", "z")
        scene.bench.engines.takes_ms = 300
        run = scene.add("1", at="x")
        while not scene.bench.engines.copies:
            await asyncio.sleep(0.01)
        scene.leave("x")
        await asyncio.sleep(1.4)
        assert [stop for *_, stop in scene.bench.engines.copies] == [False, True]
        assert len({target for _, _, target, _ in scene.bench.engines.copies}) == 1
        assert len(run.stops) == 1

    run_virtually(play())


def test_older_copy_is_freed_when_a_run_is_copied_to_another_engine() -> None:
    async def play() -> None:
        scene = Scene("x", "y", "z")
        run = scene.add("1", at="x")
        scene.hold(run, at="y")
        scene.bench.upstreams.leaving.add("y")
        await asyncio.sleep(1.0)
        assert run.snapshot is not None
        assert run.snapshot.entry.upstream == "z"
        assert scene.bench.engines.dropped == [("y", "c")]

    run_virtually(play())


def test_run_leaves_for_an_engine_that_has_room_before_copies_yield() -> None:
    async def play() -> None:
        scene = Scene("x", "y", "z", "w")
        scene.fill("z", tokens=20_000)
        ahead = [scene.add(f"ahead {number}", at="w") for number in range(8)]
        for run in ahead:
            scene.bench.work.set_copy(request=run.request, copy_at=UpstreamId("y"), yields=True)
        leaving = scene.add("1", at="x")
        scene.leave("x")
        await asyncio.sleep(1.0)
        (hop,) = leaving.stops
        assert hop is not None
        assert hop.entry.upstream == "z"

    run_virtually(play())
