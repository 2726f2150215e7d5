"""Stand-ins for the upstreams of a day: language model engines with batches, and plain services."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Mapping
from functools import partial
from itertools import count
from random import Random
from typing import Any
from typing import Final
from typing import final

from aiohttp import web
import msgspec

from standins._common import LOOPBACK
from standins._common import cancel_task
from standins._common import json_response
from standins._limited_server import LimitedServer
from standins.platform_day_batch import EVENT_TOKENS
from standins.platform_day_batch import Batch
from standins.platform_day_batch import DayRun
from standins.platform_day_batch import KeptMemory
from standins.platform_day_ledger import DayLedger
from standins.platform_day_ledger import event_bytes
from standins.platform_day_ledger import now_ms
from standins.platform_day_ledger import plain_body
from standins.platform_day_records import Arrival
from standins.platform_day_records import RunEnd
from standins.platform_endless import WrongAnswers
from standins.stream_framing import Framing
from standins.stream_framing import StreamConnections
from standins.stream_framing import StreamFramings
from tanagerscale.core import MS_PER_SECOND

MOVE_MS_PER_TOKEN: Final = 163_840 * 8 / 24_000_000
SETUP_MS: Final = 0.21
HANDLE_MS: Final = 5_000.0
REPORT_INTERVAL_S: Final = 0.1
REPORT_AGE: Final = 4
"""Number of report intervals by which the values of a report are old."""
KEEP_ALIVE_S: Final = 5
CLOSE_SHARE: Final = 0.01
"""Part of the answers after which an upstream closes the connection."""
DEFAULT_PRIORITY: Final = 5
DEFAULT_DEADLINE_MS: Final = 60_000
OK: Final = 200
NOT_EXECUTED: Final = {"Tanagerscale-Not-Executed": "1"}
PLAIN_SLOTS: Final = 6
PLAIN_QUEUE: Final = 24

_handles = count(1)


@final
class DayUpstream:
    """One upstream on a loopback port.

    :param name: Id of the upstream.
    :param zone: Its failure domain.
    :param ledger: Records of all upstreams.
    :param engines: Running engines by address, which it joins.
    :param max_connections: Connections that it accepts.
    :param is_model: Whether it is a language model engine.
    :param rng: Random number generator.
    :param batch: Its runs; unused by a plain service.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        ledger: DayLedger,
        engines: dict[str, DayUpstream],
        max_connections: int,
        is_model: bool,
        rng: Random,
        batch: Batch,
    ) -> None:
        self.name = name
        self.zone = zone
        self.is_model = is_model
        self.address = ""
        self.leaves_at: float | None = None
        """Monotonic time in milliseconds at which it ends; ``None`` if it does not leave."""
        self.has_ended = False
        self._changed = asyncio.Event()
        self.batch = batch
        self.wrong = WrongAnswers(seed=name)
        self.link_free_at = 0.0
        """Monotonic time in milliseconds at which what is queued on its link has been sent."""
        self._ledger = ledger
        self._engines = engines
        self._rng = rng
        self._max_connections = max_connections
        self._reports: deque[dict[str, Any]] = deque(maxlen=REPORT_AGE)
        self._places = asyncio.Semaphore(PLAIN_SLOTS)
        self._waiting = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.framings = StreamFramings()
        self._transports = StreamConnections()

    async def start(self) -> None:
        """Start serving."""
        server = LimitedServer(
            self._handle,
            handler_cancellation=True,
            auto_decompress=False,
            keepalive_timeout=KEEP_ALIVE_S,
            access_log=None,
        )
        server.accepts = lambda _ip, accepted: accepted < self._max_connections
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, 0, backlog=1024).start()
        self.address = f"{LOOPBACK}:{self._runner.addresses[0][1]}"
        if self.is_model:
            self._engines[self.address] = self
            self._tasks = [
                asyncio.create_task(self.batch.run_forever()),
                asyncio.create_task(self._report_forever()),
            ]

    def leave(self, *, at: float) -> None:
        """Say from now on that it leaves.

        :param at: Monotonic time in milliseconds at which it ends.
        """
        self.leaves_at = at
        self._changed.set()

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until its entry changes, at most for some time.

        :param timeout_s: Longest wait in seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._changed.wait()
        except TimeoutError:
            return
        self._changed.clear()

    async def stop(self) -> None:
        """End at once; streams break off."""
        self.has_ended = True
        self._changed.set()
        self._engines.pop(self.address, None)
        for run in [*self.batch.running, *self.batch.waiting]:
            self.batch.end(run, RunEnd.BROKE_OFF)
        self._transports.crash()
        for task in self._tasks:
            await cancel_task(task)
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._transports.begin(request)
        match request.method, request.path:
            case "GET", "/v1/report" if wrong := self.wrong.choose(has_events=False):
                return await self.wrong.send(request, wrong, {}, lambda _: b"")
            case "GET", "/v1/report":
                response = json_response(self._reports[0] if self._reports else self._report())
            case "POST", "/v1/kv-move":
                order = msgspec.json.decode(await request.read())
                response = await self._move(order)
                self._ledger.orders[bool(order["last"]), response.status] += 1
            case "DELETE", path if path.startswith("/v1/kv-handle/"):
                self._free(path.rpartition("/")[2])
                response = json_response({})
            case "GET", "/health":
                response = web.Response(headers={"Tanagerscale-Instance-Id": self.name})
            case _:
                return await self._serve(request)
        self._add_connection_fields(response)
        return response

    def _add_connection_fields(self, response: web.StreamResponse) -> None:
        if self.leaves_at is not None or self._rng.random() < CLOSE_SHARE:
            response.force_close()
        else:
            response.headers["Keep-Alive"] = f"timeout={KEEP_ALIVE_S}"

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        arrival = self._ledger.add(request, self.name)
        headers = {"Tanagerscale-Attempt-Id": arrival.request}
        if request.headers.get("Tanagerscale-Expect-Instance", self.name) != self.name:
            arrival.end = RunEnd.NOT_EXECUTED
            return web.Response(status=421, headers=headers)
        headers["Tanagerscale-Server-Stamp"] = self.name
        if wrong := self.wrong.choose(has_events=self.is_model):
            arrival.begin_garbage(now_ms())
            make_event = partial(event_bytes, arrival.request)
            return await self.wrong.send(request, wrong, headers, make_event)
        if self.is_model:
            response = await self._generate(request, arrival, headers)
        else:
            response = await self._answer(arrival, headers)
        if not response.prepared:
            self._add_connection_fields(response)
        return response

    async def _answer(self, arrival: Arrival, headers: dict[str, str]) -> web.StreamResponse:
        if self._waiting >= PLAIN_QUEUE:
            arrival.end = RunEnd.NOT_EXECUTED
            return web.Response(status=503, headers=headers | NOT_EXECUTED)
        self._waiting += 1
        try:
            await self._places.acquire()
        finally:
            self._waiting -= 1
        try:
            arrival.admitted = now_ms()
            await asyncio.sleep(self._ledger.work_ms.get(arrival.request, 30.0) / MS_PER_SECOND)
            arrival.end = RunEnd.WHOLE
            status = 500 if arrival.request in self._ledger.failing else 200
            body = plain_body(arrival.request)
            return web.Response(status=status, headers=headers, body=body)
        finally:
            arrival.end = arrival.end or RunEnd.LEFT
            arrival.finished = arrival.answered = now_ms()
            self._places.release()

    async def _generate(
        self, request: web.BaseRequest, arrival: Arrival, headers: dict[str, str]
    ) -> web.StreamResponse:
        run = self._make_run(request, arrival)
        if run is None:
            arrival.end, arrival.finished = RunEnd.NOT_EXECUTED, now_ms()
            return web.Response(status=503, headers=headers | NOT_EXECUTED)
        try:
            return await self._stream(request, run, headers)
        finally:
            self.batch.end(run, RunEnd.LEFT)

    def _make_run(self, request: web.BaseRequest, arrival: Arrival) -> DayRun | None:
        headers = request.headers
        prompt = int(headers.get("Tanagerscale-Token-Usage", "0,0").partition(",")[0])
        left_ms = int(headers.get("Tanagerscale-Deadline-Remaining", DEFAULT_DEADLINE_MS))
        run = DayRun(
            arrival=arrival,
            priority=int(headers.get("Tanagerscale-Request-Priority", DEFAULT_PRIORITY)),
            prompt=prompt,
            length=self._ledger.lengths.get(arrival.request, 1),
            memory_of=arrival.request,
            deadline=now_ms() + left_ms,
        )
        if not arrival.is_continuation:
            return run if self.batch.add(run) else None
        handle = headers["Kv-From"].rpartition("/")[2]
        memory = self.batch.kept.pop(handle, None)
        if memory is None or memory.is_used or memory.expires <= now_ms():
            return None
        memory.is_used = True
        if memory.run.request != arrival.request:
            self._ledger.foreign.append(f"{arrival.request} from {memory.run.request}")
        run.memory_of = memory.run.memory_of
        run.events = arrival.events = int(headers["Last-Event-Id"])
        run.tokens = run.events * EVENT_TOKENS
        self._forget(memory.run)
        self.batch.resume(run, memory)
        return run

    async def _stream(
        self, request: web.BaseRequest, run: DayRun, headers: dict[str, str]
    ) -> web.StreamResponse:
        sent = run.events
        way = self.framings.choose(upstream=self.name, request=run.request)
        self._transports.begin(request, way)
        response: web.StreamResponse | None = None
        while True:
            run.changed.clear()
            is_over = run.is_over
            events = range(sent + 1, run.events + 1)
            sent = run.events
            if events and response is None:
                response = way.make_response({**headers, "Content-Type": "text/event-stream"})
                if way.framing is Framing.CHUNKS:
                    self._add_connection_fields(response)
                await response.prepare(request)
            if events and response is not None:
                await response.write(b"".join(event_bytes(run.memory_of, one) for one in events))
            if is_over:
                break
            if sent == run.events:
                await run.changed.wait()
        if response is None:
            return _refuse(run, headers)
        if run.arrival.end is not RunEnd.WHOLE:
            way.cut(request.transport, is_stopped=run.arrival.end is RunEnd.STOPPED)
            raise ConnectionResetError
        await response.write_eof()
        run.arrival.answered = now_ms()
        return response

    async def _move(self, order: Mapping[str, Any]) -> web.Response:
        run = self.batch.find(str(order["id"]))
        target = self._engines.get(str(order["to"]))
        if run is None or run.arrival.first_event is None:
            return json_response({}, status=404)
        if run.is_copying:
            return json_response({}, status=409)
        began, is_last, handle = now_ms(), bool(order["last"]), f"h{next(_handles):x}"
        if is_last:
            self.batch.end(run, RunEnd.STOPPED)
            self.batch.kept[handle] = self._keep(run)
        run.is_copying = True
        try:
            copied = target is not None and await self._copy(run, target, handle)
        finally:
            run.is_copying = False
        status = OK if copied else 503
        # A run that has ended or was preempted meanwhile has no memory to go on from.
        if copied and not is_last and run not in self.batch.running:
            status = 404
        name = target.name if target is not None else order["to"]
        kind = "stop" if is_last else "copy"
        run.arrival.copies.append(f"{kind} to {name} {began:.0f}..{now_ms():.0f}: {status}")
        answer: dict[str, Any] = {"handle": handle} if is_last or status == OK else {}
        if status == OK:
            answer["createdRev"] = run.events
        return json_response(answer, status=status)

    async def _copy(self, run: DayRun, target: DayUpstream, handle: str) -> bool:
        """Copy what the target does not have yet; return whether it has room."""
        kept = target.batch.kept
        known = max((one.tokens for one in kept.values() if one.run is run), default=0)
        if not known and not target.batch.has_room(run.size):
            return False
        copy = kept[handle] = target._keep(run)
        await self._transfer(target, max(run.size - known, 0))
        copy.events, copy.tokens, copy.expires = run.events, run.size, now_ms() + HANDLE_MS
        for old in [old for old, one in kept.items() if one.run is run and old != handle]:
            if not self._ledger.keeps_handles:
                del kept[old]
        return True

    async def _transfer(self, target: DayUpstream, tokens: int) -> None:
        """Send tokens over the links of both engines, after what is queued on them."""
        factor = 1 if target.zone == self.zone else 2
        begins = max(now_ms(), self.link_free_at, target.link_free_at)
        transfer_ms = tokens * MOVE_MS_PER_TOKEN * factor * self._ledger.link_slowness
        ends = begins + SETUP_MS + transfer_ms
        self.link_free_at = target.link_free_at = ends
        await asyncio.sleep((ends - now_ms()) / MS_PER_SECOND)

    def _keep(self, run: DayRun) -> KeptMemory:
        return KeptMemory(run, run.events, run.size, now_ms() + HANDLE_MS)

    def _forget(self, run: DayRun) -> None:
        """Free what this engine holds of a run whose handle was used; its source keeps its own."""
        kept = self.batch.kept
        for handle in [one for one, memory in kept.items() if memory.run.request == run.request]:
            del kept[handle]

    def _free(self, handle: str) -> None:
        """Free a handle, at both ends if this engine is its source."""
        if self.batch.kept.pop(handle, None) is None:
            return
        for engine in self._engines.values():
            engine.batch.kept.pop(handle, None)

    async def _report_forever(self) -> None:
        while True:
            self._reports.append(self._report())
            await asyncio.sleep(REPORT_INTERVAL_S)

    def _report(self) -> dict[str, Any]:
        batch = self.batch
        first = min(batch.waiting, key=lambda run: run.urgency, default=None)
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": len(batch.waiting),
            "running": len(batch.running),
            "kvCacheUsed": batch.used,
            "kvCacheTotal": batch.memory_tokens,
            "handles": len(batch.kept),
            "pinned": 0,
            "held": 0,
            "state": "ready" if self.leaves_at is None else "draining",
            "next": 0 if first is None else first.size,
            "runs": [[run.request, run.size, run.events, run.priority] for run in batch.running],
        }
        if self.leaves_at is not None:
            report["leaves_ms"] = max(self.leaves_at - now_ms(), 0)
        return report


def _refuse(run: DayRun, headers: Mapping[str, str]) -> web.StreamResponse:
    if run.arrival.end is RunEnd.NOT_EXECUTED:
        return web.Response(status=503, headers={**headers, **NOT_EXECUTED})
    return web.Response(status=504, headers=headers)
