"""A stream reaches its caller whole, in order and from one run, whatever its engines do."""

from __future__ import annotations

import asyncio
from collections import deque

import pytest

from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding._relay import IDLE_TIMEOUT_MS
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stream import MAX_RECOVERIES
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import Bench
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import make_bench
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

NOT_SENT = ExchangeError(ExchangeFailure.NOT_SENT, "no connection")
LOST = ExchangeError(ExchangeFailure.LOST, "reset")
FILLER_TOKENS = 33_000
"""Leaves too little memory on an engine to admit another stream."""


def _events(*numbers: int) -> list[bytes | None]:
    return [f"id: {number}\ndata: {number}\n\n".encode() for number in numbers]


class Hooks:
    """Keeps what a stream tells."""

    def __init__(self) -> None:
        self.engines: list[str] = []
        self.unused: list[Snapshot] = []
        self.recoveries = 0
        self.stopped: list[str] = []

    def on_engine(self, run: StreamRun) -> None:
        """Keep the engine."""
        assert run.entry is not None
        self.engines.append(run.entry.upstream)

    async def recover(self, run: StreamRun, source: UpstreamEntry) -> ResumeTarget | None:
        """Go on from the copy."""
        self.recoveries += 1
        self.stopped.append(source.upstream)
        snapshot = run.snapshot
        return (
            None
            if snapshot is None
            else ResumeTarget(entry=snapshot.entry, holder=source, copy=snapshot.copy)
        )

    def on_snapshot_unused(self, snapshot: Snapshot) -> None:
        """Keep the copy."""
        self.unused.append(snapshot)


def _run(bench: Bench, *, hooks: Hooks | None = None) -> tuple[StreamRun, FakeResponder]:
    route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000, attempts=1)
    responder = FakeResponder()
    run = StreamRun(
        routed=route_request(make_request(prompt=100), route),
        responder=responder,
        parts=bench.parts,
        admission=Admission(parts=bench.parts, placer=bench.alone.client),
        hooks=hooks or Hooks(),
    )
    return run, responder


def _numbers(responder: FakeResponder) -> list[int]:
    lines = responder.body.decode().splitlines()
    return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


def test_stream_is_whole_when_its_engine_ends_it() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        bench.caller.set("x", FakeResponse(chunks=_events(1, 2, 3)))
        run, responder = _run(bench)
        assert await run.serve() is None
        assert _numbers(responder) == [1, 2, 3]
        assert responder.ended

    run_virtually(play())


@pytest.mark.parametrize(
    "chunks",
    [
        [*_events(1, 2), None],
        [*_events(1), b"id: 2\ndata: half"],
        _events(1, 3),
        [b"no event\n\n"],
    ],
)
def test_stream_never_looks_whole_when_its_engine_breaks_off(
    chunks: list[bytes | None],
) -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"), make_entry("y"))
        for name in "xy":
            bench.caller.set(name, FakeResponse(chunks=list(chunks)))
        run, responder = _run(bench)
        refusal = await run.serve()
        assert refusal is not None
        assert refusal.kind is RefusalKind.UPSTREAM_FAILED
        assert not responder.ended
        assert len(bench.caller.requests) == 1

    run_virtually(play())


def test_stream_is_begun_elsewhere_only_when_it_has_not_run() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"), make_entry("y"), make_entry("z"))
        bench.caller.set("x", NOT_SENT)
        bench.caller.set("y", FakeResponse(status=503, not_executed=True))
        bench.caller.set("z", FakeResponse(chunks=_events(1)))
        run, responder = _run(bench)
        assert await run.serve() is None
        assert _numbers(responder) == [1]

    run_virtually(play())


def test_stream_is_begun_where_an_engine_answers_when_most_have_crashed() -> None:
    async def play() -> list[int]:
        names = ("a", "b", "c", "d", "e", "f")
        bench = make_bench(*(make_entry(name) for name in names), slack=0.0)
        for name in names[:-1]:
            bench.caller.set(name, NOT_SENT)
        bench.caller.set("f", FakeResponse(chunks=_events(1)))
        run, responder = _run(bench)
        assert await run.serve() is None
        return _numbers(responder)

    assert run_virtually(play()) == [1]


def test_stream_that_waits_is_refused_as_not_run_when_copies_of_it_crash_upstreams() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        filler = RequestId("filler")
        bench.work.begin(
            request=filler,
            upstream=UpstreamId("x"),
            prompt_tokens=0,
            tokens=FILLER_TOKENS,
            is_long=True,
        )
        run, _ = _run(bench)
        serving = asyncio.create_task(run.serve())
        await asyncio.sleep(0.5)
        fingerprint = route_request(make_request(prompt=100), make_route()).fingerprint
        for upstream in ("a", "b", "c"):
            bench.parts.suspects.note_broken(fingerprint=fingerprint, upstream=UpstreamId(upstream))
        bench.work.end(request=filler)
        refusal = await serving
        assert refusal is not None
        assert refusal.kind is RefusalKind.QUARANTINED
        assert not bench.caller.requests
        assert bench.work.uses() == []

    run_virtually(play())


def test_stream_is_not_begun_again_when_its_first_answer_is_lost() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"), make_entry("y"))
        for name in "xy":
            bench.caller.set(name, LOST)
        run, _ = _run(bench)
        refusal = await run.serve()
        assert refusal is not None
        assert refusal.kind is RefusalKind.UPSTREAM_FAILED
        assert len(bench.caller.requests) == 1

    run_virtually(play())


def test_stream_goes_on_after_the_last_event_when_its_run_is_moved() -> None:
    async def play() -> None:
        x, y = make_entry("x"), make_entry("y")
        bench = make_bench(x, y)
        bench.upstreams.leaving.add("y")
        slow = FakeResponse(chunks=_events(*range(1, 100)), pause_ms=10)
        bench.caller.set("x", slow)
        bench.caller.set("y", FakeResponse(chunks=_events(4, 5)))
        hooks = Hooks()
        run, responder = _run(bench, hooks=hooks)
        serving = asyncio.create_task(run.serve())
        while len(_numbers(responder)) < 3:
            await asyncio.sleep(0.001)
        run.begin_stop()
        slow.close()
        run.finish_stop(ResumeTarget(entry=y, holder=x, copy="c"))
        assert await serving is None
        assert _numbers(responder) == [1, 2, 3, 4, 5]
        assert responder.ended
        order = bench.caller.requests[-1]
        assert order.continuation is not None
        assert (order.continuation.copy, order.continuation.after_event) == ("c", 3)
        assert order.continuation.holder == x.address
        assert hooks.engines == ["x", "y"]

    run_virtually(play())


def test_events_that_come_twice_after_a_move_are_passed_on_once() -> None:
    async def play() -> None:
        x, y = make_entry("x"), make_entry("y")
        bench = make_bench(x)
        bench.caller.set("x", FakeResponse(chunks=[*_events(1, 2, 3), None]))
        bench.caller.set("y", FakeResponse(chunks=_events(2, 3, 4)))
        run, responder = _run(bench)
        run._resume_targets.append(ResumeTarget(entry=y, holder=x, copy="c"))
        assert await run.serve() is None
        assert _numbers(responder) == [1, 2, 3, 4]

    run_virtually(play())


def test_stream_waits_for_its_copy_when_its_engine_has_stopped_it() -> None:
    async def play() -> None:
        x, y = make_entry("x"), make_entry("y")
        bench = make_bench(x)
        bench.caller.set("x", FakeResponse(chunks=[*_events(1, 2), None], pause_ms=10))
        bench.caller.set("y", FakeResponse(chunks=_events(3)))
        run, responder = _run(bench)
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        run.begin_stop()
        await asyncio.sleep(1.0)
        assert not serving.done()
        run.finish_stop(ResumeTarget(entry=y, holder=x, copy="c"))
        assert await serving is None
        assert _numbers(responder) == [1, 2, 3]

    run_virtually(play())


def test_stream_ends_as_failed_when_its_stopped_run_has_no_copy() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        bench.caller.set("x", FakeResponse(chunks=[*_events(1, 2), None], pause_ms=10))
        run, responder = _run(bench)
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        run.begin_stop()
        await asyncio.sleep(1.0)
        run.finish_stop(None)
        assert await serving is not None
        assert not responder.ended

    run_virtually(play())


def test_next_copy_is_tried_when_a_continuation_is_refused() -> None:
    async def play() -> None:
        x, y, z = make_entry("x"), make_entry("y"), make_entry("z")
        bench = make_bench(x)
        bench.caller.set("x", FakeResponse(chunks=[*_events(1), None]))
        bench.caller.set("y", FakeResponse(status=503, not_executed=True))
        bench.caller.set("z", FakeResponse(chunks=_events(2)))
        run, responder = _run(bench)
        run._resume_targets += [
            ResumeTarget(entry=y, holder=x, copy="1"),
            ResumeTarget(entry=z, holder=x, copy="2"),
        ]
        assert await run.serve() is None
        assert _numbers(responder) == [1, 2]

    run_virtually(play())


def _snapshot(bench: Bench, name: str) -> Snapshot:
    return Snapshot(entry=make_entry(name), copy="c", taken=bench.parts.clock.now())


def test_stream_goes_on_from_its_copy_when_its_engine_crashes() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        bench.caller.set("x", FakeResponse(chunks=[*_events(1, 2), None], pause_ms=10))
        bench.caller.set("y", FakeResponse(chunks=_events(3)))
        run, responder = _run(bench)
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        run.snapshot = _snapshot(bench, "y")
        assert await serving is None
        assert _numbers(responder) == [1, 2, 3]

    run_virtually(play())


def test_stream_goes_on_from_its_copy_when_its_engine_goes_silent() -> None:
    async def play() -> int:
        bench = make_bench(make_entry("x"))
        bench.caller.set("x", FakeResponse(chunks=_events(*range(1, 9)), pause_ms=3000))
        bench.caller.set("y", FakeResponse(chunks=_events(2)))
        run, responder = _run(bench)
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        run.snapshot = _snapshot(bench, "y")
        assert await serving is None
        assert _numbers(responder) == [1, 2]
        return bench.parts.clock.now()

    assert run_virtually(play()) == 3000 + IDLE_TIMEOUT_MS


def test_stream_waits_for_a_silent_engine_when_there_is_no_copy() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        bench.caller.set("x", FakeResponse(chunks=_events(1, 2), pause_ms=6000))
        run, responder = _run(bench)
        assert await run.serve() is None
        assert _numbers(responder) == [1, 2]

    run_virtually(play())


def test_stream_that_breaks_off_again_and_again_takes_few_engines_with_it() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        hooks = Hooks()
        run, _ = _run(bench, hooks=hooks)
        for number in range(1, 20):
            bench.caller.reactions.setdefault("x", deque()).append(
                FakeResponse(chunks=[*_events(number), None], pause_ms=10)
            )
        serving = asyncio.create_task(run.serve())
        while not serving.done():
            run.snapshot = run.snapshot or _snapshot(bench, "x")
            await asyncio.sleep(0.001)
        assert await serving is not None
        assert len(bench.caller.requests) == 1 + MAX_RECOVERIES

    run_virtually(play())


def test_copy_is_freed_when_the_stream_ends_without_it() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        bench.caller.set("x", FakeResponse(chunks=_events(1, 2), pause_ms=10))
        hooks = Hooks()
        run, _ = _run(bench, hooks=hooks)
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        snapshot = Snapshot(entry=make_entry("y"), copy="c", taken=bench.parts.clock.now())
        run.snapshot = snapshot
        await serving
        assert hooks.unused == [snapshot]
        assert bench.totals() == {}

    run_virtually(play())


def test_engine_is_told_when_its_caller_leaves() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        answer = FakeResponse(chunks=_events(*range(1, 100)), pause_ms=10)
        bench.caller.set("x", answer)
        run, _ = _run(bench)
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        serving.cancel()
        await asyncio.wait({serving})
        assert answer.closed
        assert UpstreamId("x") not in bench.totals()

    run_virtually(play())


def test_failure_of_an_engine_is_passed_on_as_it_is() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"), make_entry("y"))
        for name in "xy":
            bench.caller.set(name, FakeResponse(status=500, chunks=[b"failed"]))
        run, responder = _run(bench)
        assert await run.serve() is None
        assert (responder.status, responder.body) == (500, b"failed")
        assert len(bench.caller.requests) == 1

    run_virtually(play())


def test_stream_goes_on_from_a_copy_each_time_when_its_engines_leave() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        hooks = Hooks()
        run, responder = _run(bench, hooks=hooks)
        bench.upstreams.leaving.add("y")
        legs = 2 * MAX_RECOVERIES + 1
        answers = [FakeResponse(chunks=[*_events(n), None], pause_ms=10) for n in range(1, legs)]
        bench.caller.set("x", answers[0])
        bench.caller.set("y", *answers[1:], FakeResponse(chunks=_events(legs)))
        serving = asyncio.create_task(run.serve())
        while not serving.done():
            run.snapshot = run.snapshot or _snapshot(bench, "y")
            await asyncio.sleep(0.001)
        assert await serving is None
        assert _numbers(responder) == list(range(1, legs + 1))

    run_virtually(play())


@pytest.mark.parametrize("is_source_gone", [False, True])
def test_stream_goes_on_when_the_engine_with_its_copy_refuses_it_at_first(
    is_source_gone: bool,
) -> None:
    async def play() -> list[str]:
        bench = make_bench(make_entry("x"), make_entry("y"))
        refusal = FakeResponse(status=503, not_executed=True, chunks=[])
        bench.caller.set("x", FakeResponse(chunks=[*_events(1, 2), None], pause_ms=10))
        bench.caller.set("y", refusal, FakeResponse(chunks=_events(3)))
        hooks = Hooks()
        run, responder = _run(bench, hooks=hooks)
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        bench.upstreams.leaving.update({"x"} if is_source_gone else set())
        run.snapshot = _snapshot(bench, "y")
        if not is_source_gone:
            bench.caller.reactions["x"].append(FakeResponse(chunks=_events(3)))
        assert await serving is None
        assert _numbers(responder) == [1, 2, 3]
        return bench.caller.asked

    asked = run_virtually(play())
    assert asked[-2:] == (["y", "y"] if is_source_gone else ["y", "x"])


def test_stream_does_not_go_on_twice_when_a_continuation_may_run() -> None:
    async def play() -> list[str]:
        bench = make_bench(make_entry("x"), make_entry("y"))
        bench.caller.set("x", FakeResponse(chunks=[*_events(1, 2), None], pause_ms=10))
        bench.caller.set("y", LOST)
        run, _ = _run(bench, hooks=Hooks())
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        run.snapshot = _snapshot(bench, "y")
        bench.upstreams.leaving.add("x")
        assert await serving is not None
        return bench.caller.asked

    assert run_virtually(play()) == ["x", "y"]


def test_engine_that_may_go_on_is_stopped_before_the_other_end_of_the_copy_goes_on() -> None:
    async def play() -> tuple[list[str], list[str]]:
        bench = make_bench(make_entry("x"), make_entry("y"))
        bench.caller.set("x", FakeResponse(chunks=[*_events(1, 2), None], pause_ms=10))
        bench.caller.hang = {"y"}
        hooks = Hooks()
        run, responder = _run(bench, hooks=hooks)
        serving = asyncio.create_task(run.serve())
        while not run.begun:
            await asyncio.sleep(0.001)
        bench.caller.reactions["x"].append(FakeResponse(chunks=_events(3)))
        run.snapshot = _snapshot(bench, "y")
        assert await serving is None
        assert _numbers(responder) == [1, 2, 3]
        return bench.caller.asked, hooks.stopped

    assert run_virtually(play()) == (["x", "y", "x"], ["x", "y"])
