"""What a stopped run needs is kept until it has continued, when the steps after the stop fail."""

from __future__ import annotations

import asyncio

from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import MoveResult
from tanagerscale.forwarding._resuming import RESUME_TIMEOUT_MS
from tanagerscale.forwarding._run_stops import STOP_TIMEOUT_MS
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.platform._engines import CALL_TIMEOUT_MS
from tanagerscale.upstreams._pauses import MAX_REQUESTS_IN_PAUSE
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import copy_failure
from testing._move_harness import MoveHarness
from testing._moved_stream import EVENT_MS
from testing._moved_stream import MovedStream
from testing._moved_stream import events
from testing._moved_stream import whole
from testing._virtual_time import run_virtually

SLOW_STOP_MS = 1000
COPY_AGE_S = 1.0
PAUSE_MS = 2000
SILENCE_S = 3.0
"""Longer than a run with a copy waits for an event."""


# Guards against losing the repeat of an order when its engine stops the run and answers late.
def test_run_uses_the_repeat_of_its_order_when_it_no_longer_waits_for_its_stop() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y", slack=0.0)
        await stream.start()
        stream.add_copy(at="y")
        stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
        stream.fakes.engines.copy_duration_ms = SLOW_STOP_MS
        moving = asyncio.create_task(stream.move(to="y"))
        await asyncio.sleep(2 * EVENT_MS / 1000)
        stream.source.close()
        await stream.serving
        await moving
        assert [engine for engine, _ in stream.continuations] == ["y"]
        assert stream.responder.body == whole(9)

    run_virtually(scenario())


# Guards against losing the repeat of an order when the engine dies as it is asked to stop the run.
def test_run_uses_the_repeat_of_its_order_when_its_engine_dies_as_it_is_stopped() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y", slack=0.0)
        await stream.start()
        stream.add_copy(at="y")
        stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
        stream.fakes.engines.stop_failures.append(copy_failure(CopyFailure.LOST))
        moving = asyncio.create_task(stream.move(to="y"))
        await asyncio.sleep(0)
        stream.source.close()
        await stream.serving
        await moving
        assert [engine for engine, _ in stream.continuations] == ["y"]

    run_virtually(scenario())


# Guards against cutting an answer whose engine has told, 100 ms after the run no longer waited for
# its stop, where it resumes: the run was still looking for an engine.
def test_run_resumes_where_a_late_stop_says_when_its_earlier_copy_is_refused() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        refusal = FakeResponse(status=503, not_executed=True, chunks=[])
        await stream.start(then=[refusal] * 10)
        stream.add_copy(at="y")
        answer = FakeResponse(chunks=events(1, 9))
        stream.fakes.upstream_client.set("y", *[refusal] * 3, answer)
        stream.fakes.engines.copy_duration_ms = STOP_TIMEOUT_MS + 100
        moving = asyncio.create_task(stream.move(to="y"))
        await asyncio.sleep(2 * EVENT_MS / 1000)
        stream.source.close()
        refused = await stream.serving
        assert (await moving).is_done
        assert refused is None
        assert stream.continuations[-1] == ("y", "copy-1")

    run_virtually(scenario())


# Guards against leaving the result of a stop that came too late in the memory of two engines.
def test_copy_of_a_stop_that_came_too_late_is_freed() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        await stream.start()
        stream.add_copy(at="y")
        stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
        stream.fakes.engines.copy_duration_ms = SLOW_STOP_MS
        moving = asyncio.create_task(stream.move(to="y"))
        await asyncio.sleep(2 * EVENT_MS / 1000)
        stream.source.close()
        await stream.serving
        result = await moving
        await asyncio.sleep(2)
        assert result == MoveResult(is_done=True, has_stopped=True)
        assert [copy for _, copy in stream.fakes.engines.dropped] == ["copy-1"]

    run_virtually(scenario())


async def _hang_after_a_failed_stop() -> tuple[MovedStream, int]:
    stream = MovedStream("x", "y")
    await stream.start()
    stream.add_copy(at="y")
    stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
    failure = copy_failure(CopyFailure.NO_ROOM, retained_copy="retained")
    stream.fakes.engines.stop_failures.append(failure)
    stream.fakes.upstream_client.hanging.add("x")
    await stream.move(to="y")
    stopped_at = stream.fakes.context.clock.now()
    await stream.serving
    return stream, stream.fakes.context.clock.now() - stopped_at


# Guards against waiting six seconds for an engine that hangs while the run has an earlier copy.
def test_run_turns_to_its_earlier_copy_soon_when_its_own_engine_hangs() -> None:
    async def scenario() -> None:
        stream, took_ms = await _hang_after_a_failed_stop()
        assert stream.continuations[-1] == ("y", "earlier")
        assert took_ms <= RESUME_TIMEOUT_MS + STOP_TIMEOUT_MS + 20 * EVENT_MS

    run_virtually(scenario())


# Guards against two engines at work on one run: its own engine may have taken it back, and wasn't
# asked to stop it again.
def test_engine_that_may_have_taken_a_run_back_is_stopped_before_another_one_continues_it() -> None:
    async def scenario() -> None:
        stream, _ = await _hang_after_a_failed_stop()
        assert [engine for engine, _ in stream.continuations] == ["x", "y"]
        stops = [source for _, source, _, stop in stream.fakes.engines.copies if stop]
        assert stops == ["x", "x"]

    run_virtually(scenario())


# Guards against losing where a run resumes when an earlier stop of it ends meanwhile.
def test_run_resumes_where_its_stop_says_when_an_earlier_stop_was_refused_as_busy() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y", slack=0.0)
        await stream.start()
        stream.add_copy(at="y")
        stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
        stream.fakes.engines.stop_failures.append(copy_failure(CopyFailure.BUSY))
        first = asyncio.create_task(stream.move(to="y"))
        await asyncio.sleep(0.02)
        stream.fakes.engines.copy_duration_ms = 100
        stream.fakes.engines.copied_events = 1000
        second = await stream.move(to="y")
        await first
        await stream.serving
        assert second.has_stopped
        assert stream.continuations == [("y", "copy-2")]

    run_virtually(scenario())


# Guards against a copy made ahead that can no longer be evicted after a move that did not happen.
def test_copy_made_ahead_stays_evictable_when_the_move_to_its_engine_is_not_made() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        await asyncio.sleep(COPY_AGE_S)
        harness.fakes.engines.unable.add("y")
        order = MoveOrder(
            number=1, kind=MoveKind.LEAVE, request=run.request, source="x", target="y"
        )
        await harness.movers.execute_order(order)
        (use,) = harness.fakes.work.uses()
        assert (use.copy_at, use.copy_yields) == ("y", True)

    run_virtually(scenario())


# Guards against a copy that its engine drops after five seconds and that nobody renews, as each
# move that is not made reports it as new.
def test_copy_is_not_reported_as_new_when_the_move_to_its_engine_is_not_made() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        await asyncio.sleep(COPY_AGE_S)
        harness.fakes.engines.unable.add("y")
        order = MoveOrder(
            number=1, kind=MoveKind.LEAVE, request=run.request, source="x", target="y"
        )
        await harness.movers.execute_order(order)
        (use,) = harness.fakes.work.uses()
        assert use.copy_ms >= COPY_AGE_S * 1000

    run_virtually(scenario())


# Guards against waiting for the pause of an engine while another one has an earlier copy.
def test_run_turns_to_its_earlier_copy_at_once_when_its_own_engine_is_paused() -> None:
    async def scenario() -> int:
        stream = MovedStream("x", "y")
        await stream.start()
        stream.add_copy(at="y")
        stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
        failure = copy_failure(CopyFailure.NO_ROOM, retained_copy="retained")
        stream.fakes.engines.stop_failures.append(failure)
        stream.fakes.pauses.record(upstream=UpstreamId("x"), pause_ms=PAUSE_MS)
        for _ in range(MAX_REQUESTS_IN_PAUSE):
            assert stream.fakes.pauses.take_allowance(UpstreamId("x"))
        await stream.move(to="y")
        stopped_at = stream.fakes.context.clock.now()
        await stream.serving
        assert stream.continuations == [("y", "earlier")]
        return stream.fakes.context.clock.now() - stopped_at

    assert run_virtually(scenario()) <= RESUME_TIMEOUT_MS


# Guards against rejecting each order for a run while a stop of it that came too late is pending.
def test_run_can_move_again_while_the_engine_that_it_left_does_not_answer() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y", "z")
        await stream.start()
        stream.add_copy(at="y")
        continued = FakeResponse(chunks=events(1, 1000), pause_ms=EVENT_MS)
        stream.fakes.upstream_client.set("y", continued)
        stream.fakes.engines.copy_duration_ms = CALL_TIMEOUT_MS
        abandoned = asyncio.create_task(stream.move(to="y"))
        await asyncio.sleep(2 * EVENT_MS / 1000)
        stream.source.close()
        await asyncio.sleep(2 * STOP_TIMEOUT_MS / 1000)
        assert stream.run.entry is not None
        assert stream.run.entry.upstream == "y"
        stream.fakes.engines.copy_duration_ms = 10
        stream.fakes.engines.copied_events = 1000
        stream.fakes.engines.on_stop = lambda _: continued.close()
        result = await stream.move(to="z")
        abandoned.cancel()
        stream.serving.cancel()
        assert result.is_done

    run_virtually(scenario())


# Guards against ending a stream since its engine is silent for three seconds: its connection is
# closed before the engine with the copy, which has forgotten it, is asked.
def test_silent_engine_is_not_given_up_before_another_one_has_taken_the_run() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        refusal = FakeResponse(status=503, not_executed=True, chunks=[])
        await stream.start(then=[refusal] * 10)
        stream.add_copy(at="y")
        stream.fakes.upstream_client.set("y", *[refusal] * 10)
        stream.fakes.engines.failures.extend([copy_failure(CopyFailure.LOST)] * 10)
        stream.source.chunks[:] = [*events(2, 9)]
        stream.source.pause_ms = int(SILENCE_S * 1000)
        await asyncio.sleep(SILENCE_S)
        stream.source.pause_ms = EVENT_MS
        assert await stream.serving is None
        assert stream.responder.body == whole(9)

    run_virtually(scenario())
