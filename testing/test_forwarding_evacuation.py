"""Streams move off leaving engines; runs are copied ahead if a notice would be too short."""

from __future__ import annotations

import asyncio

import pytest

from tanagerscale.coordination._coordinator import REPORT_DELAY_MS
from tanagerscale.coordination._coordinator import REPORT_LAG_MS
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding._run_stops import STOP_TIMEOUT_MS
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from testing._gateway_fakes import copy_failure
from testing._move_harness import FakeRun
from testing._move_harness import MoveHarness
from testing._virtual_time import run_virtually

SETTLE_S = 5


async def _recover(harness: MoveHarness, run: FakeRun) -> ResumeTarget | None:
    source = harness.entry("x")
    return await harness.movers.recover(run, source, is_stop_requested=False)  # type: ignore[arg-type]


def test_run_is_copied_then_stopped_and_resumed_when_its_engine_leaves() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.leave("x")
        await asyncio.sleep(1.0)
        assert harness.fakes.engines.copies == [("1", "x", "y", False), ("1", "x", "y", True)]
        (resume_target,) = run.resume_targets
        assert resume_target is not None
        assert (resume_target.entry.upstream, resume_target.holder.upstream) == ("y", "x")

    run_virtually(scenario())


def test_only_the_rest_of_a_run_is_copied_when_it_has_a_copy() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="z")
        harness.leave("x")
        await asyncio.sleep(1.0)
        assert harness.fakes.engines.copies == [("1", "x", "z", True)]

    run_virtually(scenario())


def test_runs_of_a_leaving_engine_are_copied_one_at_a_time_longest_first() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        for name, answer_tokens in (("young", 10), ("old", 2000), ("middle", 500)):
            harness.add(name, at="x", answer_tokens=answer_tokens)
        harness.leave("x")
        await asyncio.sleep(1.4)
        copied = [(request, stop) for request, _, _, stop in harness.fakes.engines.copies]
        assert copied == [
            ("old", False),
            ("old", True),
            ("middle", False),
            ("middle", True),
            ("young", False),
            ("young", True),
        ]

    run_virtually(scenario())


def test_interrupted_run_is_stopped_before_it_resumes_from_its_copy() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        resume_target = await _recover(harness, run)
        assert harness.fakes.engines.copies == [("1", "x", "y", True)]
        assert resume_target is not None
        assert (resume_target.entry.upstream, resume_target.holder.upstream) == ("y", "x")
        assert resume_target.copy != "c"

    run_virtually(scenario())


@pytest.mark.parametrize("failure", [CopyFailure.UNKNOWN_RUN, CopyFailure.LOST])
def test_run_resumes_from_its_copy_when_its_engine_cannot_stop_it(failure: CopyFailure) -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        harness.fakes.engines.failures.append(copy_failure(failure))
        resume_target = await _recover(harness, run)
        assert resume_target is not None
        assert (resume_target.entry.upstream, resume_target.copy) == ("y", "c")

    run_virtually(scenario())


# A run went on from the memory of another one, whose copy order had the same answer.
def test_run_is_not_resumed_from_a_copy_that_lacks_events_of_the_run() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.fakes.engines.copied_events = run.relayed_events - 1
        harness.leave("x")
        await asyncio.sleep(1.0)
        assert [target for target in run.resume_targets if target is not None] == []
        assert run.snapshot is None
        assert harness.fakes.engines.dropped == []

    run_virtually(scenario())


def test_run_is_resumed_from_a_copy_that_has_all_its_events() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.fakes.engines.copied_events = run.relayed_events
        harness.leave("x")
        await asyncio.sleep(1.0)
        (resume_target,) = run.resume_targets
        assert resume_target is not None

    run_virtually(scenario())


def test_run_resumes_from_its_copy_when_its_engine_does_not_respond() -> None:
    async def scenario() -> int:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        harness.fakes.engines.copy_duration_ms = 60_000
        resume_target = await _recover(harness, run)
        assert resume_target is not None
        return harness.fakes.context.clock.now()

    assert run_virtually(scenario()) == STOP_TIMEOUT_MS


def test_run_is_moved_after_its_first_event_when_its_engine_leaves_before() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x", begun=False)
        harness.leave("x")
        await asyncio.sleep(0.5)
        assert harness.fakes.engines.copies == []
        harness.begin(run)
        await asyncio.sleep(0.5)
        assert len(harness.fakes.engines.copies) == 2

    run_virtually(scenario())


def test_run_is_moved_when_its_engine_was_already_leaving() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.leave("x")
        run = harness.add("1", at="x")
        await asyncio.sleep(0.5)
        assert len(run.resume_targets) == 1

    run_virtually(scenario())


def test_another_target_is_tried_when_one_has_no_memory() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z")
        run = harness.add("1", at="x")
        harness.fakes.engines.failures.append(copy_failure(CopyFailure.NO_ROOM))
        harness.leave("x")
        await asyncio.sleep(1.0)
        targets = [target for _, _, target, _ in harness.fakes.engines.copies]
        assert len(set(targets)) == 2
        assert targets[1] == targets[2]
        assert len(run.resume_targets) == 1

    run_virtually(scenario())


def test_run_resumes_at_its_source_when_the_source_stopped_it_and_retained_its_cache() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        harness.fakes.engines.failures.append(copy_failure(CopyFailure.NO_ROOM, retained_copy="k"))
        harness.leave("x")
        await asyncio.sleep(0.3)
        resume_target = run.resume_targets[0]
        assert resume_target is not None
        assert (resume_target.entry.upstream, resume_target.copy) == ("x", "k")

    run_virtually(scenario())


def test_move_order_is_rejected_when_its_target_leaves() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.fakes.upstreams.leaving.add("y")
        order = MoveOrder(
            number=1, kind=MoveKind.LEAVE, request=run.request, source="x", target="y"
        )
        assert not (await harness.movers.execute_order(order)).is_done
        assert harness.fakes.engines.copies == []

    run_virtually(scenario())


def test_run_is_not_copied_when_its_engine_is_gone_too_soon() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x", begun=False)
        harness.leave("x")
        await asyncio.sleep(1.45)
        harness.begin(run)
        await asyncio.sleep(1.0)
        assert harness.fakes.engines.copies == []
        assert run.resume_targets == []

    run_virtually(scenario())


def test_runs_are_copied_ahead_when_too_many_are_on_one_engine() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        for number in range(5):
            harness.add(str(number), at="x")
        harness.fill("y", tokens=18_000)
        await asyncio.sleep(SETTLE_S)
        copied = {request for request, *_ in harness.fakes.engines.copies}
        # The notice suffices for 10,000 tokens, so three of five runs with 4,000 each need a copy.
        assert len(copied) == 3
        assert all(not stop for *_, stop in harness.fakes.engines.copies)

    run_virtually(scenario())


def test_runs_are_copied_against_failures_only_when_memory_is_spare() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        for number in range(2):
            harness.add(str(number), at="x")
        harness.fill("y", tokens=16_000)
        await asyncio.sleep(SETTLE_S)
        copied = {request for request, *_ in harness.fakes.engines.copies}
        # Six tenths of 34,000 tokens are 20,400, so one of two runs with 4,000 each fits.
        assert len(copied) == 1

    run_virtually(scenario())


def test_copies_ahead_are_postponed_while_an_engine_leaves() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z")
        for number in range(5):
            harness.add(str(number), at="x")
        harness.leave("z")
        await asyncio.sleep(1.5)
        before = list(harness.fakes.engines.copies)
        await asyncio.sleep(SETTLE_S)
        assert before == []
        assert harness.fakes.engines.copies != []

    run_virtually(scenario())


def test_copy_is_renewed_before_it_expires() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.add("1", at="x")
        await asyncio.sleep(3 * SETTLE_S)
        copied = [request for request, *_ in harness.fakes.engines.copies]
        assert len(set(copied)) == 1
        assert 4 <= len(copied) <= 7

    run_virtually(scenario())


def test_copies_ahead_are_evicted_when_their_engine_needs_the_memory() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        await asyncio.sleep(1.0)
        # A continuing run produces a token every 9 ms.
        assert 4000 <= harness.fakes.totals()[UpstreamId("y")].evictable_tokens <= 4150
        harness.fill("y", tokens=31_000)
        await asyncio.sleep(1.0)
        assert run.snapshot is None
        assert len(harness.fakes.engines.dropped) == 1
        assert harness.fakes.totals()[UpstreamId("y")].evictable_tokens == 0

    run_virtually(scenario())


def test_copy_is_not_evicted_when_its_run_must_move() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        harness.fakes.work.set_copy(request=run.request, copy_at=UpstreamId("y"), is_evictable=True)
        harness.fill("y", tokens=31_000)
        harness.fakes.engines.copy_duration_ms = 1000
        harness.leave("x")
        await asyncio.sleep(0.5)
        assert harness.fakes.engines.dropped == []
        total = harness.fakes.totals()[UpstreamId("y")]
        assert total.evictable_tokens == 0
        assert 4000 <= total.copy_tokens <= 4150

    run_virtually(scenario())


def test_run_waits_for_capacity_until_its_engine_is_gone() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.fill("y", tokens=31_000)
        harness.leave("x")
        await asyncio.sleep(0.5)
        assert harness.fakes.engines.copies == []
        harness.fakes.work.end(request=RequestId("filler of y"))
        await asyncio.sleep(0.5)
        assert len(run.resume_targets) == 1

    run_virtually(scenario())


def test_runs_move_to_a_less_loaded_engine_that_holds_their_copies() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        runs = [harness.add(str(number), at="x") for number in range(5)]
        for run in runs[:4]:
            harness.add_copy(run, at="y")
        await asyncio.sleep(SETTLE_S)
        moved = [run for run in runs if run.resume_targets]
        # Five to none, then four to one; from three to two, a move would only swap the two engines.
        assert len(moved) == 2
        # Only the rest of each moved run was copied; the copies of other runs are renewed too.
        first = {request: stop for request, *_, stop in reversed(harness.fakes.engines.copies)}
        assert all(first[run.request] for run in moved)
        assert sum(stop for *_, stop in harness.fakes.engines.copies) == 2

    run_virtually(scenario())


# A run was stopped to even out the load, its copy had no room, and its own engine, which named a
# rate limit, did not take it back in time.
def test_load_is_not_balanced_when_the_engine_of_the_runs_names_a_rate_limit() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.fakes.context.named_limits.on_response(
            upstream=UpstreamId("x"), named=(2.0,), is_success=True, sent_at=Millis(0)
        )
        runs = [harness.add(str(number), at="x") for number in range(5)]
        for run in runs[:4]:
            harness.add_copy(run, at="y")
        await asyncio.sleep(SETTLE_S)
        assert [run for run in runs if run.resume_targets] == []

    run_virtually(scenario())


def test_load_is_not_balanced_while_an_engine_leaves() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z")
        runs = [harness.add(str(number), at="x") for number in range(4)]
        for run in runs:
            harness.add_copy(run, at="y")
        harness.leave("z")
        await asyncio.sleep(1.4)
        assert harness.fakes.engines.copies == []

    run_virtually(scenario())


def test_departure_time_is_queried_when_a_run_starts_on_a_leaving_engine() -> None:
    async def scenario() -> int:
        harness = MoveHarness("x", "y")
        harness.fakes.engines.leaves_in_ms = 2000
        harness.leave("x")
        await asyncio.sleep(0.3)
        harness.add("1", at="x")
        harness.fill("y", tokens=31_000)
        await asyncio.sleep(0.6)
        return harness.departures.departure_time(UpstreamId("x"))

    assert run_virtually(scenario()) == REPORT_DELAY_MS + 2000 - REPORT_LAG_MS


def test_copy_ahead_in_progress_is_used_when_the_notice_arrives() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z")
        harness.fakes.engines.copy_duration_ms = 300
        run = harness.add("1", at="x")
        while not harness.fakes.engines.copies:
            await asyncio.sleep(0.01)
        harness.leave("x")
        await asyncio.sleep(1.4)
        assert [stop for *_, stop in harness.fakes.engines.copies] == [False, True]
        assert len({target for _, _, target, _ in harness.fakes.engines.copies}) == 1
        assert len(run.resume_targets) == 1

    run_virtually(scenario())


def test_previous_copy_is_freed_when_a_run_is_copied_to_another_engine() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        harness.fakes.upstreams.leaving.add("y")
        await asyncio.sleep(1.0)
        assert run.snapshot is not None
        assert run.snapshot.entry.upstream == "z"
        assert harness.fakes.engines.dropped == [("y", "c")]

    run_virtually(scenario())


def test_run_moves_to_an_engine_with_free_memory_before_copies_are_evicted() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z", "w")
        harness.fill("z", tokens=20_000)
        ahead = [harness.add(f"ahead {number}", at="w") for number in range(8)]
        for run in ahead:
            harness.fakes.work.set_copy(
                request=run.request, copy_at=UpstreamId("y"), is_evictable=True
            )
        leaving = harness.add("1", at="x")
        harness.leave("x")
        await asyncio.sleep(1.0)
        (resume_target,) = leaving.resume_targets
        assert resume_target is not None
        assert resume_target.entry.upstream == "z"

    run_virtually(scenario())
