"""Stand-in of the users' upstreams: engines whose runs can be copied, and plain services."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from itertools import count
from typing import final

from aiohttp import web
import msgspec

from standins._common import LOOPBACK
from standins._common import json_response

MS_PER_S = 1000
COPY_KEPT_S = 5.0


@unique
class UpstreamMood(Enum):
    """How an upstream treats requests."""

    WELL = "well"
    FULL = "full"
    """It refuses before execution."""
    LOSES_ANSWERS = "loses-answers"
    """It runs requests and resets their connections."""
    FAILS = "fails"
    """It runs requests and answers 500."""
    HANGS = "hangs"
    """It runs requests and never answers."""


@dataclass(slots=True)
class Arrival:
    """A request as it reached an upstream.

    :param request: Id of the caller's request.
    :param method: HTTP method.
    :param target: Path and query.
    :param headers: All header fields.
    :param body: The body.
    :param ran: Whether the upstream began to work on it.
    """

    request: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    ran: bool = False


@dataclass(slots=True)
class _Run:
    request: str
    generation: int
    prompt: int
    length: int
    made: int = 0
    stopped: bool = False
    copying: bool = False


@dataclass(slots=True)
class _Copy:
    run: _Run
    made: int


@dataclass(slots=True)
class Ledger:
    """What all upstreams of a world have seen, by which the promises are checked.

    :param arrivals: Every request that reached an upstream.
    :param generations: How often each request began anew.
    :param running: Upstream ids on which each request runs now.
    :param engines: All engines by address.
    """

    arrivals: list[Arrival] = field(default_factory=list)
    generations: dict[str, int] = field(default_factory=dict)
    running: dict[str, set[str]] = field(default_factory=dict)
    overlaps: list[str] = field(default_factory=list)
    engines: dict[str, UpstreamEmulator] = field(default_factory=dict)

    def begin(self, request: str, upstream: str) -> None:
        """Count a request that runs on an upstream."""
        there = self.running.setdefault(request, set())
        if there:
            self.overlaps.append(request)
        there.add(upstream)

    def end(self, request: str, upstream: str) -> None:
        """Count a request that no longer runs on an upstream."""
        self.running.get(request, set()).discard(upstream)


@final
class UpstreamEmulator:
    """One upstream on a loopback port.

    :param upstream: Its id.
    :param ledger: Takes what it sees.
    :param event_ms: Time for each event of a stream.
    :param events: Events of each answer.
    :param copy_ms: Time to copy a run's memory when none of it was copied before.
    :param room: Copies it takes.
    :param born: When it started, in milliseconds since 1970; 0 when it does not tell.
    :param port: Where it serves; 0 takes a free one.
    """

    def __init__(
        self,
        *,
        upstream: str,
        ledger: Ledger,
        event_ms: float = 5.0,
        events: int = 20,
        copy_ms: float = 10.0,
        room: int = 1000,
        born: int = 0,
        port: int = 0,
    ) -> None:
        self.upstream = upstream
        self.born = born
        self._port = port
        self.mood = UpstreamMood.WELL
        self.address = ""
        self.leaving = False
        self.room = room
        self._ledger = ledger
        self._event_ms = event_ms
        self._events = events
        self._copy_ms = copy_ms
        self._runs: dict[str, _Run] = {}
        self._copies: dict[str, _Copy] = {}
        self._copied: set[tuple[str, str]] = set()
        self._handles = count(1)
        self._transports: set[asyncio.Transport] = set()

    async def start(self) -> str:
        """Serve and return the address."""
        server = web.Server(self._handle, handler_cancellation=True, auto_decompress=False)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, self._port)
        await site.start()
        self.address = f"{LOOPBACK}:{self._runner.addresses[0][1]}"
        self._ledger.engines[self.address] = self
        return self.address

    async def stop(self) -> None:
        """End at once with all that runs, as a crash does."""
        self._ledger.engines.pop(self.address, None)
        for transport in self._transports:
            transport.abort()
        await self._runner.cleanup()

    @property
    def running(self) -> list[str]:
        """Requests that run now."""
        return list(self._runs)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if isinstance(request.transport, asyncio.Transport):
            self._transports.add(request.transport)
        match request.method, request.path:
            case "GET", "/v1/report":
                return self._report()
            case "POST", "/v1/kv-move":
                return await self._move(msgspec.json.decode(await request.read()))
            case "DELETE", path if path.startswith("/v1/kv-handle/"):
                self._copies.pop(path.rpartition("/")[2], None)
                return json_response({})
        return await self._serve(request)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = request.headers
        arrival = Arrival(
            request=headers.get("Tanagerscale-Attempt-Id", ""),
            method=request.method,
            target=request.raw_path,
            headers=request.headers,
            body=await request.read(),
        )
        self._ledger.arrivals.append(arrival)
        if headers.get("Tanagerscale-Expect-Instance") not in (None, self.upstream):
            return web.Response(status=421)
        if self.mood is UpstreamMood.FULL:
            return web.Response(status=503, headers={"Tanagerscale-Not-Executed": "1"})
        run = self._run_for(arrival, headers)
        if run is None:
            return web.Response(status=503, headers={"Tanagerscale-Not-Executed": "1"})
        arrival.ran = True
        self._ledger.begin(run.request, self.upstream)
        self._runs[run.request] = run
        try:
            return await self._answer(request, run, headers)
        finally:
            self._runs.pop(run.request, None)
            self._ledger.end(run.request, self.upstream)

    def _run_for(self, arrival: Arrival, headers: Mapping[str, str]) -> _Run | None:
        """Begin a run, or take one up from a copy; ``None`` when there is none."""
        prompt, _, _ = headers.get("Tanagerscale-Token-Usage", "0,0").partition(",")
        origin = headers.get("Kv-From")
        if origin is None:
            generation = self._ledger.generations.get(arrival.request, 0) + 1
            self._ledger.generations[arrival.request] = generation
            return _Run(arrival.request, generation, int(prompt), self._events)
        copy = self._copies.pop(origin.rpartition("/")[2], None)
        if copy is None or copy.run.request != arrival.request:
            return None
        known = copy.run
        after = int(headers["Last-Event-Id"])
        return _Run(known.request, known.generation, known.prompt, known.length, made=after)

    async def _answer(
        self, request: web.BaseRequest, run: _Run, headers: Mapping[str, str]
    ) -> web.StreamResponse:
        if self.mood is UpstreamMood.HANGS:
            await asyncio.Event().wait()
        if self.mood is UpstreamMood.LOSES_ANSWERS:
            _abort(request)
        own = {"Tanagerscale-Attempt-Id": run.request, "Tanagerscale-Server-Stamp": self.upstream}
        if self.mood is UpstreamMood.FAILS:
            return web.Response(status=500, headers=own, body=b"failed")
        if "Tanagerscale-Token-Usage" not in headers:
            body = f"{self.upstream} answers {run.request}".encode()
            return web.Response(headers=own, body=body)
        return await self._stream(request, run, own)

    async def _stream(
        self, request: web.BaseRequest, run: _Run, own: Mapping[str, str]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={**own, "Content-Type": "text/event-stream"})
        response.enable_chunked_encoding()
        await asyncio.sleep(self._event_ms / MS_PER_S)
        await response.prepare(request)
        while run.made < run.length:
            if run.stopped:
                _abort(request)
            run.made += 1
            await response.write(event_bytes(run.request, run.generation, run.made))
            await asyncio.sleep(self._event_ms / MS_PER_S)
        await response.write_eof()
        return response

    async def _move(self, order: Mapping[str, object]) -> web.Response:
        run = self._runs.get(str(order["id"]))
        target = self._ledger.engines.get(str(order["to"]))
        if run is None or run.made == 0:
            return web.Response(status=404)
        if run.copying:
            return web.Response(status=409)
        if order["last"]:
            run.stopped = True
        handle = f"h{next(self._handles)}"
        if target is None or len(target._copies) >= target.room:
            kept = {"handle": handle} if order["last"] else {}
            self._copies[handle] = _Copy(run, run.made)
            return json_response(kept, status=503)
        run.copying = True
        try:
            known = (run.request, target.upstream) in self._copied
            await asyncio.sleep((0.1 if known else 1.0) * self._copy_ms / MS_PER_S)
        finally:
            run.copying = False
        self._copied.add((run.request, target.upstream))
        target._copies[handle] = _Copy(run, run.made)
        return json_response({"handle": handle, "createdRev": run.made})

    def _report(self) -> web.Response:
        report: dict[str, object] = {
            "running": len(self._runs),
            "state": "draining" if self.leaving else "ready",
            "runs": [[run.request, run.prompt, run.made, 5] for run in self._runs.values()],
        }
        return json_response(report | ({"born": self.born} if self.born else {}))


def event_bytes(request: str, generation: int, number: int) -> bytes:
    """Return one event, whose data tell which generation made it."""
    return f"id: {number}\ndata: {request}.{generation}.{number}\n\n".encode()


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError
