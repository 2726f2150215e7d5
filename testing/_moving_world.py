"""A world of engines between which real streams move, in virtual time and without a network.

The engines copy, stop and resume runs as the engines of users do: a stopped run stays in the memory
of its engine, all copies of a run on one engine are one memory, and it serves one request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from itertools import count
from typing import Any
from typing import TypeVar

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import CopyError
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import RunCopy
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.upstreams import EngineReport
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import copy_failure
from testing._moving_engines import CALL_MS
from testing._moving_engines import COPY_MS
from testing._moving_engines import COPY_TTL_MS
from testing._moving_engines import EVENT_MS
from testing._moving_engines import LAST_REQUEST_MS
from testing._moving_engines import MAX_CONFIRMATION_MS
from testing._moving_engines import MAX_OVERLAP_MS
from testing._moving_engines import Close
from testing._moving_engines import Engine
from testing._moving_engines import KnownUpstreams
from testing._moving_engines import Memory
from testing._moving_engines import Work
from testing._moving_engines import WorldResponse
from testing._moving_engines import describe
from testing._moving_engines import event
from testing._moving_engines import has_room
from testing._moving_engines import is_unknown_run

T = TypeVar("T")


class MovingWorld:
    """Engines, what happens to the runs on them, and which rules were broken.

    :param entries: The engines.
    :param known: What the host knows of them.
    :param length: Events of each run.
    """

    def __init__(
        self, *, entries: Sequence[UpstreamEntry], known: KnownUpstreams, length: int
    ) -> None:
        self.engines = {entry.upstream: Engine(entry=entry) for entry in entries}
        self.known = known
        self.length = length
        self.memories: list[Memory] = []
        self.violations: list[str] = []
        self.trace: list[str] = []
        self.sent_again = 0
        """Requests that reached an engine and were not the first of their run."""
        self.not_sent = 0
        """Requests that reached no engine."""
        self.stops: list[str] = []
        """Targets for which runs have been stopped."""
        self.reports = 0
        """Reports that engines were asked for."""
        self.complete: set[RequestId] = set()
        """Runs of which an engine has made the last event and ended the stream."""
        self.known_complete: set[RequestId] = set()
        """Those of which the host has been told so in answer to a stop."""
        self.on_stop: Callable[[], None] = lambda: None
        self._overlaps: dict[RequestId, int] = {}
        self._tasks: set[asyncio.Task[Any]] = set()
        self._handles: dict[tuple[RequestId, str, str], str] = {}
        self._numbers = count(1)

    def log(self, message: str) -> None:
        """Add a line to the trace."""
        self.trace.append(f"{Clock().now()} {message}")

    def break_rule(self, message: str) -> None:
        """Record that a rule was broken."""
        self.log(f"BROKEN: {message}")
        self.violations.append(message)

    def spawn(self, coroutine: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Run a coroutine that nobody cancels."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)
        return task

    @property
    def _alive(self) -> list[Engine]:
        return [engine for engine in self.engines.values() if engine.is_alive]

    def _end_task(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.break_rule(f"a task has failed: {task.exception()!r}")

    def end_engine(self, name: str, *, reason: str, close: Close = Close.HALF_EVENT) -> None:
        """End an engine, with its runs and its memory.

        :param name: The engine.
        :param reason: What is logged.
        :param close: How its streams are closed.
        """
        engine = self.engines[UpstreamId(name)]
        if not engine.is_alive:
            return
        self.log(f"{name} {reason}")
        engine.is_alive = False
        for work in list(engine.works.values()):
            self._end_work(engine, work)
            work.response.cut(close, number=work.sent + 1)
        for memory in self.memories:
            memory.holders.pop(name, None)

    def detach_runs(self, name: str) -> None:
        """Let an engine close its streams cleanly and work on their runs."""
        engine = self.engines[UpstreamId(name)]
        self.log(f"{name} closes its streams")
        for work in engine.works.values():
            work.is_detached = True
            work.response.cut(Close.CLEAN, number=work.sent + 1)

    async def leave(self, name: str, *, lag_ms: int, ends_ms: int) -> None:
        """Let an engine begin to leave, and end it later.

        :param name: The engine.
        :param lag_ms: Time until the host learns of it.
        :param ends_ms: Time until it ends.
        """
        engine = self.engines[UpstreamId(name)]
        if engine.notice_at is not None or not engine.is_alive:
            return
        engine.notice_at = Clock().now()
        self.log(f"{name} leaves, known after {lag_ms}, ends after {ends_ms}")
        await asyncio.sleep(lag_ms / 1000)
        self.known.known_at[name] = Clock().now()
        self.known.leaving.add(name)
        await asyncio.sleep((ends_ms - lag_ms) / 1000)
        self.end_engine(name, reason="ends")

    async def send(self, *, upstream_request: UpstreamRequest) -> WorldResponse:
        """Receive a request."""
        engine = self.engines[upstream_request.upstream.upstream]
        upstream_request.check()
        if not engine.is_alive:
            self.not_sent += 1
            raise ExchangeError(ExchangeFailure.NOT_SENT, "refused")
        request = upstream_request.request.request
        continuation = upstream_request.continuation
        now = Clock().now()
        if engine.notice_at is not None and now - engine.notice_at > LAST_REQUEST_MS:
            self.break_rule(f"{engine.name} got {request} {now - engine.notice_at} after notice")
        if continuation is not None:
            self.sent_again += 1
            if request in self.known_complete:
                self.break_rule(f"{request} is sent again, and is known to be complete")
            self.log(f"{request} sent to {engine.name} with {continuation.copy}")
        # Nobody reads the request of a caller who leaves before its turn comes.
        await asyncio.sleep((CALL_MS + engine.delay_ms) / 1000)
        if not engine.is_alive:
            raise ExchangeError(ExchangeFailure.LOST, "connection lost")
        after = 0
        if continuation is not None:
            after = continuation.after_event
            memory = self._find_memory(engine, request, continuation.copy)
            if memory is None:
                self.log(f"{request} refused at {engine.name}: no {continuation.copy}")
                response = WorldResponse(status=503, not_executed=True)
                response.put(b"")
                return response
            self.memories.remove(memory)
            await asyncio.sleep(engine.queue_ms / 1000)
            if not engine.is_alive:
                raise ExchangeError(ExchangeFailure.LOST, "connection lost")
        response = WorldResponse(is_close_delimited=engine.is_close_delimited)
        work = Work(request=request, response=response, event=after, sent=after)
        engine.works[request] = work
        engine.record_events(request, after)
        self.log(f"{request} runs at {engine.name} after {after}")
        self._check_overlap(request)
        self.spawn(self._run(engine, work))
        return work.response

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError]:
        """Copy a run; the engine goes on with it if its caller gives up."""
        result = await asyncio.shield(self.spawn(self._copy(source, request, target, stop)))
        self._learn(result)
        if stop and request in self.complete and is_unknown_run(result):
            self.known_complete.add(request)
        return result

    async def report(self, *, upstream: UpstreamEntry) -> Result[EngineReport, str]:
        """Report, whatever the engine is busy with."""
        engine = self.engines[upstream.upstream]
        self.reports += 1
        if not engine.is_alive:
            return Failure("No report; ask again later.")
        await asyncio.sleep((CALL_MS + engine.delay_ms) / 1000)
        return Success(
            EngineReport(
                upstream=upstream.upstream,
                waiting=0,
                running=len(engine.works),
                used_tokens=0,
                total_tokens=0,
                leaves_in_ms=None,
                is_leaving=False,
                runs=engine.reported_runs(),
            )
        )

    async def drop_copy(self, *, holder: UpstreamEntry, copy: str) -> None:
        """Free a copy where it is called; at both its ends if that is the engine it comes from."""
        for memory in self.memories:
            if copy not in memory.handles or holder.upstream not in memory.holders:
                continue
            if memory.holders.pop(holder.upstream):
                memory.holders.clear()
        self.memories = [one for one in self.memories if one.holders]

    def memories_of(self, request: RequestId) -> list[Memory]:
        """Return the memories from which a run can still continue."""
        now = Clock().now()
        return [one for one in self.memories if one.request == request and one.expires_at > now]

    async def _copy(
        self, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError]:
        engine, other = self.engines[source.upstream], self.engines[target.upstream]
        if stop:
            self._check_stop(engine, request, other)
            self.stops.append(other.name)
            self.on_stop()
        await asyncio.sleep((CALL_MS + engine.delay_ms) / 1000)
        result = await self._execute_copy(engine, request, other, stop)
        self.log(f"{request} copied {engine.name}->{other.name} stop={stop}: {describe(result)}")
        if not engine.is_alive:
            return Failure(copy_failure(CopyFailure.LOST))
        if stop and engine.loses_stops:
            await asyncio.sleep(engine.lost_after_ms / 1000)
            return Failure(copy_failure(CopyFailure.LOST))
        if stop:
            await asyncio.sleep(engine.answer_ms / 1000)
        return result

    async def _execute_copy(
        self, engine: Engine, request: RequestId, other: Engine, stop: bool
    ) -> Result[RunCopy, CopyError]:
        if not engine.is_alive:
            return Failure(copy_failure(CopyFailure.LOST))
        work = engine.works.get(request)
        if work is None or work.event == 0:
            return Failure(copy_failure(CopyFailure.UNKNOWN_RUN))
        if work.is_copied:
            return Failure(copy_failure(CopyFailure.BUSY))
        if stop and engine.stop_failure is not None:
            return Failure(copy_failure(engine.stop_failure))
        if stop:
            self._end_work(engine, work)
            self.spawn(self._close_stopped(engine, work))
        handle = self._handle_of(request, engine, other)
        work.is_copied = True
        if has_room(other, stop=stop):
            await asyncio.sleep((COPY_MS + engine.link_ms) / 1000)
        work.is_copied = False
        expires_at = Clock().now() + COPY_TTL_MS
        if engine not in self._alive:
            return Failure(copy_failure(CopyFailure.LOST))
        if not has_room(other, stop=stop):
            if not stop:
                return Failure(copy_failure(CopyFailure.NO_ROOM))
            memory = Memory(request, {engine.name: True}, expires_at, {handle}, handle)
            self.memories.append(memory)
            return Failure(copy_failure(CopyFailure.NO_ROOM, retained_copy=handle))
        memory = self._memory_at(request, other)
        memory.expires_at = expires_at
        memory.handles.add(handle)
        if stop:
            memory.holders[engine.name] = True
            memory.stop_handle = handle
        return Success(RunCopy(copy=handle, events=work.event))

    def _handle_of(self, request: RequestId, engine: Engine, other: Engine) -> str:
        """Return the handle of a copy, which later copies of the run between the engines keep."""
        key = request, engine.name, other.name
        handle = self._handles.get(key, "")
        if not any(handle in memory.handles for memory in self.memories_of(request)):
            handle = self._handles[key] = f"h{next(self._numbers)}"
        return handle

    def _check_stop(self, engine: Engine, request: RequestId, other: Engine) -> None:
        """Check that a run is stopped only for an engine that has just taken a copy of it."""
        # The caller gets no more events of a run whose stream is closed.
        if request not in engine.works or engine.works[request].is_detached:
            return
        min_expiry = Clock().now() + COPY_TTL_MS - MAX_CONFIRMATION_MS
        copies = [one for one in self.memories_of(request) if other.name in one.holders]
        # The memory is gone with an engine that has failed since.
        is_confirmed = not other.is_alive or any(one.expires_at >= min_expiry for one in copies)
        if not is_confirmed:
            self.break_rule(f"{request} is stopped for {other.name}, which has no new copy")

    def _memory_at(self, request: RequestId, other: Engine) -> Memory:
        for memory in self.memories_of(request):
            if memory.holders.get(other.name) is False:
                return memory
        memory = Memory(request, {other.name: False}, 0)
        self.memories.append(memory)
        return memory

    def _find_memory(self, engine: Engine, request: RequestId, handle: str) -> Memory | None:
        memories = self.memories_of(request)
        return next((one for one in memories if one.accepts(handle, at=engine.name)), None)

    def _learn(self, result: Result[RunCopy, CopyError]) -> None:
        is_copied = isinstance(result, Success)
        handle = result.unwrap().copy if is_copied else result.failure().retained_copy
        for memory in self.memories:
            if handle in memory.handles:
                memory.known.add(handle or "")

    async def _run(self, engine: Engine, work: Work) -> None:
        while True:
            await asyncio.sleep(EVENT_MS / 1000)
            if work.is_over:
                return
            if work.response.closed and not work.is_detached:
                self._end_work(engine, work)
                return
            if work.event < self.length:
                work.event += 1
                engine.record_events(work.request, work.event)
            is_last = work.event >= self.length
            if is_last or not engine.holds_back:
                self._send_events(work)
            if is_last:
                await self._end_complete(engine, work)
                return

    def _send_events(self, work: Work) -> None:
        if work.is_detached:
            return
        for number in range(work.sent + 1, work.event + 1):
            work.response.put(event(number))
        work.sent = work.event

    async def _end_complete(self, engine: Engine, work: Work) -> None:
        if engine.end_ms:
            await asyncio.sleep(engine.end_ms / 1000)
        if work.is_over:
            return
        if not work.is_detached:
            self.complete.add(work.request)
        self._end_work(engine, work)
        work.response.put(b"")

    async def _close_stopped(self, engine: Engine, work: Work) -> None:
        close = engine.close
        if engine.close_after_ms:
            await asyncio.sleep(engine.close_after_ms / 1000)
        work.response.cut(close, number=work.sent + 1)

    def _end_work(self, engine: Engine, work: Work) -> None:
        work.is_over = True
        engine.record_events(work.request, None)
        if engine.works.get(work.request) is work:
            del engine.works[work.request]
        self._check_overlap(work.request)

    def _check_overlap(self, request: RequestId) -> None:
        now = Clock().now()
        began = self._overlaps.pop(request, None)
        if began is not None and now - began > MAX_OVERLAP_MS:
            self.break_rule(f"two engines worked on {request} for {now - began}")
        names = [one.name for one in self.engines.values() if request in one.works]
        if len(names) > 1:
            self._overlaps[request] = now if began is None else began
