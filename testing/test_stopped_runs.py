"""Runs are stopped for a move only when an engine is certain to continue them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
import re

import pytest

from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import NOT_MOVED
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import MoveResult
from tanagerscale.forwarding._resuming import RESUME_TIMEOUT_MS
from tanagerscale.forwarding._sending import RESUME_AT_LEAVING_MS
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from testing._gateway_fakes import SERVICE
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import copy_failure
from testing._move_harness import FakeRun
from testing._move_harness import MoveHarness
from testing._moved_stream import EVENT_MS
from testing._moved_stream import MovedStream
from testing._moved_stream import events
from testing._moved_stream import whole
from testing._single_host import HOST
from testing._virtual_time import run_virtually

FORWARDING = Path(__file__).parents[1] / "src" / "tanagerscale" / "forwarding"

NOTICE_S = 1.5
"""Time before an engine that has announced that it leaves is gone."""


COPY_AGE_S = 1.0
"""Age of an earlier copy, which shows nothing of its engine any more."""


def _stops(harness: MoveHarness) -> list[str]:
    """Return the targets for which runs have been stopped."""
    return [target for _, _, target, stop in harness.fakes.engines.copies if stop]


def _crash(harness: MoveHarness) -> None:
    harness.fakes.engines.unable.add("y")


def _leave(harness: MoveHarness) -> None:
    harness.fakes.upstreams.leaving.add("y")


def _evacuate(harness: MoveHarness) -> None:
    harness.fakes.upstreams.evacuated.add("a")


def _pause(harness: MoveHarness) -> None:
    harness.fakes.pauses.record(upstream=UpstreamId("y"), pause_ms=10_000)


_INABILITIES = [_crash, _leave, _evacuate, _pause]


def _order(run: FakeRun, kind: MoveKind) -> MoveOrder:
    return MoveOrder(number=1, kind=kind, request=run.request, source="x", target="y")


# Guards against losing a stream that was stopped for a move to an engine that could not take it.
@pytest.mark.parametrize("kind", [MoveKind.LEAVE, MoveKind.EVEN_OUT])
@pytest.mark.parametrize("disable", _INABILITIES)
def test_run_is_not_stopped_when_its_target_cannot_take_it(
    disable: Callable[[MoveHarness], None], kind: MoveKind
) -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        await asyncio.sleep(COPY_AGE_S)
        disable(harness)
        assert await harness.movers.execute_order(_order(run, kind)) == NOT_MOVED
        assert _stops(harness) == []
        assert run.resume_targets == []

    run_virtually(scenario())


# Guards against the same loss when the target becomes unable while it is asked for a place.
@pytest.mark.parametrize("disable", _INABILITIES[1:])
def test_run_is_not_stopped_when_its_target_cannot_take_it_any_more(
    disable: Callable[[MoveHarness], None],
) -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        order = asyncio.create_task(harness.movers.execute_order(_order(run, MoveKind.LEAVE)))
        await asyncio.sleep(0.005)
        assert len(harness.fakes.engines.copies) == 1
        disable(harness)
        assert await order == NOT_MOVED
        assert _stops(harness) == []

    run_virtually(scenario())


# Guards against a decider that knows an engine from the store alone and orders moves to it after
# it has crashed.
def test_run_moves_to_another_engine_when_the_holder_of_its_copy_has_crashed() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        await asyncio.sleep(COPY_AGE_S)
        _crash(harness)
        harness.leave("x")
        await asyncio.sleep(NOTICE_S)
        assert _stops(harness) == ["z"]
        (resume_target,) = run.resume_targets
        assert resume_target is not None
        assert resume_target.entry.upstream == "z"

    run_virtually(scenario())


# Guards against a stop that relies on a copy from before its engine failed to respond. The failure
# may be that of a report or of this host's own path, so that a new copy shows more.
@pytest.mark.parametrize("is_able", [False, True])
def test_run_is_copied_again_before_it_is_stopped_when_its_target_has_not_responded(
    is_able: bool,
) -> None:
    async def scenario() -> list[bool]:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y", taken=harness.fakes.context.clock.now())
        harness.fakes.upstreams.record_failure(upstream=UpstreamId("y"))
        if not is_able:
            _crash(harness)
        await harness.movers.execute_order(_order(run, MoveKind.LEAVE))
        return [stop for *_, stop in harness.fakes.engines.copies]

    assert run_virtually(scenario()) == ([False, True] if is_able else [False])


# Guards against ordering a move again to the engine that has just failed to take the run: the host
# reported the order as done when the run had gone back to its source.
def test_run_moves_to_another_engine_when_it_has_come_back_from_a_failed_move() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y", "z")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y")
        failure = copy_failure(CopyFailure.NO_ROOM, retained_copy="retained")
        harness.fakes.engines.stop_failures.append(failure)
        harness.leave("x")
        await asyncio.sleep(NOTICE_S)
        assert [order.target for order in harness.single_host.orders] == ["y", "z"]
        entries = [one.entry.upstream for one in run.resume_targets if one is not None]
        assert entries == ["x", "z"]

    run_virtually(scenario())


# Guards against copying a run twice that was copied just now.
def test_run_is_stopped_at_once_when_its_copy_has_just_been_made() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.add_copy(run, at="y", taken=harness.fakes.context.clock.now())
        assert (await harness.movers.execute_order(_order(run, MoveKind.LEAVE))).is_done
        assert harness.fakes.engines.copies == [("1", "x", "y", True)]

    run_virtually(scenario())


# Guards against stopping a run a second time before its stream has ended: what the second stop
# retained was tried at the next move, in place of the copy that this one had made.
def test_run_that_has_stopped_is_not_stopped_again_before_its_stream_ends() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y", "z")
        await stream.start()
        stream.fakes.engines.copied_events = 1000
        second = FakeResponse(chunks=events(1, 1000), pause_ms=EVENT_MS)
        refused = FakeResponse(status=503, not_executed=True, chunks=[])
        stream.fakes.upstream_client.set("y", second, refused)
        stream.fakes.upstream_client.set("z", FakeResponse(chunks=events(1, 9)))
        stream.fakes.engines.on_stop = lambda _: None
        order = MoveOrder(
            number=1, kind=MoveKind.LEAVE, request=stream.run.request, source="x", target="y"
        )
        assert (await stream.mover.execute_order(order)).is_done
        assert await stream.mover.execute_order(order) == NOT_MOVED
        assert [stop for *_, stop in stream.fakes.engines.copies] == [False, True]
        stream.source.close()
        while stream.run.entry is None or stream.run.entry.upstream != "y":
            await asyncio.sleep(0.001)
        await asyncio.sleep(EVENT_MS / 1000 / 2)
        stream.fakes.engines.on_stop = lambda _: second.close()
        await stream.move(to="z")
        await stream.serving
        assert [engine for engine, _ in stream.continuations] == ["y", "z"]

    run_virtually(scenario())


# Guards against a second way to stop runs that does not ask whether anybody can continue them.
def test_runs_are_stopped_at_one_place() -> None:
    stops = re.compile(r"\bstop=True\b")
    places = [path.name for path in FORWARDING.glob("*.py") if stops.search(path.read_text())]
    assert places == ["_stopping.py"]


def _fail_the_stop(stream: MovedStream) -> None:
    failure = copy_failure(CopyFailure.NO_ROOM, retained_copy="retained")
    stream.fakes.engines.stop_failures.append(failure)


# Guards against losing a stream that waits for a second repeat after its move has failed, while its
# engine has its memory: a new decider grants none for a while.
def test_run_goes_back_to_its_engine_with_the_repeat_of_its_move() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y", slack=0.0)
        await stream.start(then=[FakeResponse(chunks=events(2, 9))])
        stream.add_copy(at="y")
        _fail_the_stop(stream)
        result = await stream.move(to="y")
        assert result == MoveResult(is_done=False, has_stopped=True)
        assert await stream.serving is None
        assert stream.continuations == [("x", "retained")]
        assert stream.responder.body == whole(9)

    run_virtually(scenario())


# Guards against using a repeat up that was never sent.
def test_run_continues_with_one_repeat_when_no_connection_to_its_target_can_be_made() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y", slack=0.0)
        await stream.start(then=[FakeResponse(chunks=events(2, 9))])
        stream.add_copy(at="y")
        refused = ExchangeError(ExchangeFailure.NOT_SENT, "refused")
        stream.fakes.upstream_client.set("y", refused)
        await stream.move(to="y")
        assert await stream.serving is None
        assert [engine for engine, _ in stream.continuations] == ["y", "x"]

    run_virtually(scenario())


# Guards against granting the repeat of an order twice, to the run that uses it and to another one.
@pytest.mark.parametrize(("has_stopped", "refunded"), [(True, 0), (False, 1)])
def test_repeat_of_a_failed_move_is_granted_again_only_when_its_run_was_not_stopped(
    has_stopped: bool, refunded: int
) -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        harness.single_host.movers = None
        harness.add("1", at="x")
        budgets = harness.coordinator.planner._retry_budgets
        harness.leave("x")
        (order,) = harness.single_host.orders
        before = budgets.left(SERVICE)
        done = MoveDone(number=order.number, is_done=False, has_stopped=has_stopped)
        harness.coordinator.planner.on_done(host=HOST, done=done)
        assert round(budgets.left(SERVICE) - before) == refunded

    run_virtually(scenario())


# Guards against freeing the copy that a run still has when its own engine does not take it back.
@pytest.mark.parametrize("is_leaving", [False, True])
def test_run_continues_from_its_earlier_copy_when_its_engine_does_not_take_it_back(
    is_leaving: bool,
) -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        refusals = [FakeResponse(status=503, not_executed=True, chunks=[]) for _ in range(10)]
        await stream.start(then=refusals)
        stream.add_copy(at="y")
        stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
        if is_leaving:
            stream.fakes.upstreams.leaving.add("x")
        _fail_the_stop(stream)
        await stream.move(to="y")
        assert await stream.serving is None
        assert stream.continuations[-1] == ("y", "earlier")
        assert stream.responder.body == whole(9)
        assert stream.fakes.engines.dropped == []

    run_virtually(scenario())


# Guards against keeping copies that nobody needs, in memory that other runs could use.
def test_earlier_copy_is_freed_when_the_run_is_back_on_its_engine() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        await stream.start(then=[FakeResponse(chunks=events(2, 9))])
        stream.add_copy(at="y")
        _fail_the_stop(stream)
        await stream.move(to="y")
        assert await stream.serving is None
        await asyncio.sleep(0)
        assert stream.fakes.engines.dropped == [("y", "earlier")]

    run_virtually(scenario())


# Guards against a gap in a stream while it is withheld from its engine, which leaves, again and
# again.
def test_run_turns_to_its_earlier_copy_at_once_when_it_is_withheld_from_its_engine() -> None:
    async def scenario() -> int:
        stream = MovedStream("x", "y")
        await stream.start()
        stream.add_copy(at="y")
        stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
        stream.fakes.upstreams.leaving.add("x")
        stream.fakes.upstreams.leaving_ms["x"] = RESUME_AT_LEAVING_MS
        _fail_the_stop(stream)
        await stream.move(to="y")
        stopped_at = stream.fakes.context.clock.now()
        while not stream.continuations:
            await asyncio.sleep(0.001)
        assert stream.continuations == [("y", "earlier")]
        assert await stream.serving is None
        return stream.fakes.context.clock.now() - stopped_at

    assert run_virtually(scenario()) <= EVENT_MS


# Guards against giving a stream up while the only engine with its memory takes its time: it was
# closed after a second, and nothing was left.
@pytest.mark.parametrize("delay_ms", [500, 1500, 4500])
def test_run_waits_for_a_slow_engine_when_no_other_one_can_continue_it(delay_ms: int) -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        await stream.start()
        stream.add_copy(at="y")
        stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
        stream.fakes.upstream_client.delays_ms["y"] = delay_ms
        stream.fakes.upstreams.leaving.add("x")
        await stream.move(to="y")
        assert await stream.serving is None
        assert [engine for engine, _ in stream.continuations] == ["y"]
        assert stream.responder.body == whole(9)

    run_virtually(scenario())


# Guards against waiting long for an engine that hangs while another one can continue the run.
def test_run_turns_to_its_engine_soon_when_the_target_hangs() -> None:
    async def scenario() -> int:
        stream = MovedStream("x", "y")
        await stream.start(then=[FakeResponse(chunks=events(2, 9))])
        stream.add_copy(at="y")
        stream.fakes.upstream_client.hanging.add("y")
        await stream.move(to="y")
        stopped_at = stream.fakes.context.clock.now()
        assert await stream.serving is None
        assert [engine for engine, _ in stream.continuations] == ["y", "x"]
        return stream.fakes.context.clock.now() - stopped_at

    assert run_virtually(scenario()) <= RESUME_TIMEOUT_MS + 10 * EVENT_MS


# Guards against losing a stream whose target fails just after the stop, while its own engine keeps
# its memory and has begun to leave only lately: the target alone was asked, five times.
@pytest.mark.parametrize("failure", [ExchangeFailure.NOT_SENT, ExchangeFailure.LOST])
def test_run_goes_back_to_its_leaving_engine_when_its_target_fails_after_the_stop(
    failure: ExchangeFailure,
) -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        await stream.start(then=[FakeResponse(chunks=events(2, 9))])
        stream.add_copy(at="y")
        stream.fakes.upstreams.leaving.add("x")
        stream.fakes.upstreams.leaving_ms["x"] = RESUME_AT_LEAVING_MS - 1
        stream.fakes.upstream_client.set("y", *[ExchangeError(failure, "crashed")] * 5)
        await stream.move(to="y")
        assert await stream.serving is None
        assert [engine for engine, _ in stream.continuations] == ["y", "x"]
        assert stream.responder.body == whole(9)

    run_virtually(scenario())


# Guards against a request to an engine that has been leaving for long, for want of another one.
def test_run_does_not_go_back_to_an_engine_that_has_been_leaving_for_long() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        await stream.start()
        stream.add_copy(at="y")
        stream.fakes.upstreams.leaving.add("x")
        stream.fakes.upstreams.leaving_ms["x"] = RESUME_AT_LEAVING_MS
        lost = ExchangeError(ExchangeFailure.LOST, "crashed")
        stream.fakes.upstream_client.set("y", *[lost] * 5)
        await stream.move(to="y")
        assert await stream.serving is not None
        assert [engine for engine, _ in stream.continuations] == ["y"]

    run_virtually(scenario())


# Guards against losing a stream that broke off, while an engine that has just begun to leave has a
# copy of it.
@pytest.mark.parametrize(
    ("leaving_ms", "asked"),
    [(RESUME_AT_LEAVING_MS - 1, [("y", "earlier")]), (RESUME_AT_LEAVING_MS, [])],
)
def test_run_continues_from_a_copy_at_a_leaving_engine_when_there_is_no_other_one(
    leaving_ms: int, asked: list[tuple[str, str]]
) -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        await stream.start()
        stream.add_copy(at="y")
        stream.fakes.engines.stop_failures.append(copy_failure(CopyFailure.LOST))
        stream.fakes.upstreams.leaving.add("y")
        stream.fakes.upstreams.leaving_ms["y"] = leaving_ms
        stream.fakes.upstream_client.set("y", FakeResponse(chunks=events(1, 9)))
        stream.source.close()
        refusal = await stream.serving
        assert stream.continuations == asked
        assert (refusal is None) == bool(asked)
        if asked:
            assert stream.responder.body == whole(9)

    run_virtually(scenario())
