"""Stand-in for upstreams of the platform: engines whose runs can be copied, and plain services."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from functools import partial
from itertools import count
from typing import final

from aiohttp import StreamReader
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
import msgspec

from standins._common import LOOPBACK
from standins._common import json_response
from standins._limited_server import LimitedServer
from standins._second_answers import SecondAnswers
from standins.platform_endless import WrongAnswers
from standins.stream_framing import StreamConnections
from standins.stream_framing import StreamFramings
from tanagerscale.core import Clock

MS_PER_S = 1000
COPY_RETENTION_S = 5.0
MAX_HEAD_BYTES = 256 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
"""Above what hosts let pass."""
STREAMED = web.RequestKey("streamed", bytes)
"""Key of a request under which the body of its answer is kept if that is sent in parts."""

_handles = count(1)
"""Numbers of the handles of all upstreams; one upstream may hold copies from several others."""


def _make_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: web.RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    """Return a request whose body may be as large as hosts let pass."""
    loop = asyncio.get_running_loop()
    return web.BaseRequest(
        message, payload, protocol, writer, task, loop, client_max_size=MAX_BODY_BYTES
    )


@unique
class UpstreamBehavior(Enum):
    """How an upstream handles requests."""

    NORMAL = "well"
    FULL = "full"
    """Refuses requests before execution."""
    REFUSES = "refuses"
    """Refuses all requests before execution, also those of runs that continue."""
    RESET_AFTER_EXECUTION = "loses-answers"
    """Executes requests and resets their connections."""
    FAILS = "fails"
    """Executes requests and answers with status 500."""
    HANGS = "hangs"
    """Executes requests and never answers."""


@dataclass(slots=True)
class ReceivedRequest:
    """A request received by an upstream.

    :param request: Id of the caller's request.
    :param method: HTTP method.
    :param target: Path and query of the URL.
    :param headers: All header fields.
    :param body: Body of the request.
    :param executed: Whether the upstream started to execute the request.
    :param upstream: Id of the upstream.
    :param sender: Name of the host that sent it; empty if that is not known.
    :param born: Start time that the upstream reports, which identifies its incarnation.
    :param arrived: Monotonic time at which the upstream had read the request.
    :param ended: Monotonic time at which the upstream stopped handling it; ``None`` until then.
    :param answer_headers: Header fields of the answer; empty when there is none.
    """

    request: str
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    executed: bool = False
    upstream: str = ""
    sender: str = ""
    born: int = 0
    arrived: int = 0
    ended: int | None = None
    answer_headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class _Run:
    request: str
    generation: int
    prompt: int
    length: int
    events_sent: int = 0
    stopped: bool = False
    copying: bool = False
    event_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Tokens in memory."""
        return self.prompt + self.event_tokens * self.events_sent


@dataclass(slots=True)
class _Copy:
    run: _Run
    events_sent: int
    taken: int
    used: bool = False


@dataclass(slots=True)
class Ledger:
    """Record of the requests at all upstreams of a cluster, from which tests check guarantees.

    :param received_requests: Every request that reached an upstream.
    :param generations: Number of times each request was started from the beginning.
    :param running: Ids of the upstreams on which each request runs now.
    :param overlaps: Requests that started on an upstream while they already ran on one.
    :param engines: All running upstreams by address.
    :param hosts: Hosts by the IP address from which they connect to upstreams.
    :param relayed: Hosts by the port from which relays pass on their connections to an upstream.
    :param foreign_copies: Requests that came with the copy of another one: the upstream, the
        request, and the one whose copy it was.
    :param connection_resets: Upstream and IP address of each connection beyond a limit.
    :param copy_orders: Orders to copy a run, by whether the run stops and by status.
    """

    received_requests: list[ReceivedRequest] = field(default_factory=list)
    generations: dict[str, int] = field(default_factory=dict)
    running: dict[str, set[str]] = field(default_factory=dict)
    overlaps: list[str] = field(default_factory=list)
    engines: dict[str, UpstreamEmulator] = field(default_factory=dict)
    hosts: dict[str, str] = field(default_factory=dict)
    relayed: dict[int, str] = field(default_factory=dict)
    foreign_copies: list[tuple[str, str, str]] = field(default_factory=list)
    connection_resets: list[tuple[str, str]] = field(default_factory=list)
    copy_orders: Counter[tuple[bool, int]] = field(default_factory=Counter)

    def sender_of(self, request: web.BaseRequest) -> str:
        """Return the name of the host that sent a request; empty if that is not known."""
        if request.transport is None:
            return ""
        ip, port = request.transport.get_extra_info("peername")[:2]
        return self.hosts.get(ip) or self.relayed.get(port, "")

    def start_run(self, request: str, upstream: str) -> None:
        """Record that a request starts to run on an upstream."""
        upstreams = self.running.setdefault(request, set())
        if upstreams:
            self.overlaps.append(request)
        upstreams.add(upstream)

    def end_run(self, request: str, upstream: str) -> None:
        """Record that a request no longer runs on an upstream."""
        self.running.get(request, set()).discard(upstream)


@final
class UpstreamEmulator:
    """One upstream on a loopback port.

    :param upstream: Id of the upstream.
    :param ledger: Record of the requests at all upstreams.
    :param event_ms: Time to generate one event of a stream, in milliseconds.
    :param events: Number of events in each answer.
    :param copy_ms: Time to copy the memory of a run that was not copied to the target before, in
        milliseconds; later copies of it take a tenth.
    :param copy_capacity: Number of copies that the upstream can hold.
    :param born: Start time reported by the upstream, in milliseconds since 1970; 0 reports none.
    :param port: Listening port; 0 takes a free one.
    """

    def __init__(
        self,
        *,
        upstream: str,
        ledger: Ledger,
        event_ms: float = 5.0,
        events: int = 20,
        copy_ms: float = 10.0,
        copy_capacity: int = 1000,
        born: int = 0,
        port: int = 0,
    ) -> None:
        self.upstream = upstream
        self.born = born
        self._port = port
        self.behavior = UpstreamBehavior.NORMAL
        self.address = ""
        self.leaving = False
        self.says_leaving = False
        """Whether each answer says that the upstream leaves; it still serves all requests."""
        self.refusal_pause_s: float | None = None
        """Pause in seconds that the upstream asks for when it is full; ``None`` asks for none."""
        self.named_rates: tuple[str, ...] = ()
        """Values in which each answer names the requests a second that the upstream takes."""
        self.copy_capacity = copy_capacity
        self.slots = 0
        """Runs and copies that the upstream has room for; 0 sets no limit."""
        self.memory_tokens = 0
        """Tokens of runs and copies that it has room for, if its slots are limited."""
        self.event_tokens = 0
        """Tokens in memory for each event of a run."""
        self.crashing_parts: set[str] = set()
        """Parts of prompts that crash the upstream once it begins to answer."""
        self.on_crash: Callable[[], None] | None = None
        """Called when such a part has crashed the upstream; stops it."""
        self.max_connections = 0
        """Connections that the upstream accepts; it resets those beyond. 0 sets no limit."""
        self.answer_ms = 0
        """Time to answer a plain request, in milliseconds."""
        self.padding = 0
        """Bytes that each event has in addition."""
        self.second_answers = SecondAnswers(seed=upstream)
        """Answers that the upstream sends a second time."""
        self.wrong = WrongAnswers(seed=upstream)
        """What the upstream sends in place of some answers."""
        self.framings = StreamFramings(share=0.0)
        """How the upstream sends its streams."""
        self._ledger = ledger
        self.event_ms = event_ms
        self._events = events
        self.copy_ms = copy_ms
        self._runs: dict[str, _Run] = {}
        self._copies: dict[str, _Copy] = {}
        self._stopped_runs: dict[str, _Copy] = {}
        """Memory that this upstream keeps of the runs that it stopped, by handle of the copy."""
        self._copied: set[tuple[str, str]] = set()
        self._transports = StreamConnections()
        self._clock = Clock()

    async def start(self) -> str:
        """Start serving and return the listening address."""
        server = LimitedServer(
            self._handle,
            request_factory=_make_request,
            handler_cancellation=True,
            auto_decompress=False,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_headers=MAX_HEAD_BYTES,
        )
        server.accepts = self._accepts
        self._runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await self._runner.setup()
        site = web.TCPSite(self._runner, LOOPBACK, self._port)
        await site.start()
        self.address = f"{LOOPBACK}:{self._runner.addresses[0][1]}"
        self._ledger.engines[self.address] = self
        return self.address

    def break_off(self, *, is_reset: bool = True) -> None:
        """Abort all running requests, and go on.

        :param is_reset: Whether connections whose end would complete an answer are reset.
        """
        self._transports.break_off(is_reset=is_reset)

    async def stop(self) -> None:
        """Stop at once and abort all running requests, as a crash does."""
        self._ledger.engines.pop(self.address, None)
        self._transports.crash()
        await self._runner.cleanup()

    @property
    def running(self) -> list[str]:
        """Ids of the requests that run now."""
        return list(self._runs)

    def _has_room_for_copy(self, run: _Run) -> bool:
        is_full = self.behavior is UpstreamBehavior.FULL or not self._has_room(run)
        return not is_full and len(self._copies) < self.copy_capacity

    def _has_room(self, run: _Run) -> bool:
        """Return whether a run or its copy fits beside the others; copies expire when limited."""
        if not self.slots:
            return True
        expired = self._clock.now() - round(2 * COPY_RETENTION_S * MS_PER_S)
        self._copies = {key: copy for key, copy in self._copies.items() if copy.taken > expired}
        used = {copy.run.request: copy.run.tokens for copy in self._copies.values()}
        used |= {other.request: other.tokens for other in self._runs.values()}
        used[run.request] = run.tokens
        return len(used) <= self.slots and sum(used.values()) <= self.memory_tokens

    def _forget(self, last: _Copy, *, are_later: bool = False) -> None:
        """Free the earlier handles of a copy that was freed, and all of one that was used."""
        if self.slots:
            self._copies = {
                handle: copy
                for handle, copy in self._copies.items()
                if copy.run.request != last.run.request
                or (copy.taken > last.taken and not are_later)
            }

    def _accepts(self, ip: str, accepted: int) -> bool:
        if not self.max_connections or accepted < self.max_connections:
            return True
        self._ledger.connection_resets.append((self.upstream, ip))
        return False

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._transports.begin(request)
        self.second_answers.begin(request)
        response: web.StreamResponse | None = None
        try:
            response = await self._respond(request)
            if not response.prepared:
                response.headers.extend(self._notice_headers())
            return response
        finally:
            self.second_answers.end(request, response, request.get(STREAMED, b""))

    def _notice_headers(self) -> list[tuple[str, str]]:
        leaving = [("Server-Leaving", "1")] if self.says_leaving else []
        return leaving + [("Server-Limit", value) for value in self.named_rates]

    def _refusal_headers(self) -> dict[str, str]:
        headers = {"Tanagerscale-Not-Executed": "1"}
        if self.refusal_pause_s is not None:
            headers["Retry-After"] = f"{self.refusal_pause_s:g}"
        return headers

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        match request.method, request.path:
            case "GET", "/v1/report" if wrong := self.wrong.choose(has_events=False):
                return await self.wrong.send(request, wrong, {}, lambda _: b"")
            case "GET", "/v1/report":
                return self._report()
            case "POST", "/v1/kv-move":
                order = msgspec.json.decode(await request.read())
                moved = await self._move(order)
                self._ledger.copy_orders[bool(order["last"]), moved.status] += 1
                return moved
            case "DELETE", path if path.startswith("/v1/kv-handle/"):
                if copy := self._copies.pop(path.rpartition("/")[2], None):
                    self._forget(copy)
                return json_response({})
        return await self._serve(request)

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        headers = request.headers
        received = ReceivedRequest(
            request=headers.get("Tanagerscale-Attempt-Id", ""),
            method=request.method,
            target=request.raw_path,
            headers=request.headers,
            body=await request.read(),
            upstream=self.upstream,
            sender=self._ledger.sender_of(request),
            born=self.born,
            arrived=self._clock.now(),
        )
        self._ledger.received_requests.append(received)
        try:
            response = await self._execute(request, received, headers)
            if not response.prepared and received.request:
                response.headers.setdefault("Tanagerscale-Attempt-Id", received.request)
            received.answer_headers = response.headers
            return response
        finally:
            received.ended = self._clock.now()

    async def _execute(
        self, request: web.BaseRequest, received: ReceivedRequest, headers: Mapping[str, str]
    ) -> web.StreamResponse:
        if headers.get("Tanagerscale-Expect-Instance") not in (None, self.upstream):
            return web.Response(status=421)
        if self.behavior is UpstreamBehavior.REFUSES:
            return web.Response(status=503, headers={"Tanagerscale-Not-Executed": "1"})
        # A run that resumes from a copy uses the room that the copy occupies.
        if self.behavior is UpstreamBehavior.FULL and "Kv-From" not in headers:
            return web.Response(status=503, headers=self._refusal_headers())
        run = self._create_or_resume_run(received, headers)
        if run is None:
            return web.Response(status=503, headers={"Tanagerscale-Not-Executed": "1"})
        if "Kv-From" not in headers:
            if not self._has_room(run):
                return web.Response(status=503, headers=self._refusal_headers())
            self._ledger.generations[run.request] = run.generation
        received.executed = True
        self._ledger.start_run(run.request, self.upstream)
        self._runs[run.request] = run
        try:
            return await self._answer(request, run, headers)
        finally:
            self._runs.pop(run.request, None)
            self._ledger.end_run(run.request, self.upstream)

    def _create_or_resume_run(
        self, received: ReceivedRequest, headers: Mapping[str, str]
    ) -> _Run | None:
        """Start a run, or resume one from a copy; ``None`` when the copy does not exist."""
        prompt, _, _ = headers.get("Tanagerscale-Token-Usage", "0,0").partition(",")
        copy_url = headers.get("Kv-From")
        if copy_url is None:
            generation = self._ledger.generations.get(received.request, 0) + 1
            return _Run(
                received.request,
                generation,
                int(prompt),
                self._events,
                event_tokens=self.event_tokens,
            )
        handle = copy_url.rpartition("/")[2]
        copy = self._copies.pop(handle, None) or self._stopped_runs.pop(handle, None)
        if copy is not None and copy.run.request != received.request:
            foreign = (self.upstream, received.request, copy.run.request)
            self._ledger.foreign_copies.append(foreign)
            return None
        if copy is None or copy.used:
            return None
        copy.used = True
        self._forget(copy, are_later=True)
        source_run = copy.run
        after = int(headers["Last-Event-Id"])
        return _Run(
            source_run.request,
            source_run.generation,
            source_run.prompt,
            source_run.length,
            events_sent=after,
            event_tokens=self.event_tokens,
        )

    async def _answer(
        self, request: web.BaseRequest, run: _Run, headers: Mapping[str, str]
    ) -> web.StreamResponse:
        if self.behavior is UpstreamBehavior.HANGS:
            await asyncio.Event().wait()
        if self.behavior is UpstreamBehavior.RESET_AFTER_EXECUTION:
            _abort(request)
        identity_headers = {
            "Tanagerscale-Attempt-Id": run.request,
            "Tanagerscale-Server-Stamp": self.upstream,
        }
        if self.behavior is UpstreamBehavior.FAILS:
            return web.Response(status=500, headers=identity_headers, body=b"failed")
        is_stream = "Tanagerscale-Token-Usage" in headers
        if wrong := self.wrong.choose(has_events=is_stream):
            make_event = partial(event_bytes, run.request, run.generation)
            return await self.wrong.send(request, wrong, identity_headers, make_event)
        if not is_stream:
            await asyncio.sleep(self.answer_ms / MS_PER_S)
            body = f"{self.upstream} answers {run.request}".encode()
            return web.Response(headers=identity_headers, body=body)
        return await self._stream(request, run, headers, identity_headers)

    async def _stream(
        self,
        request: web.BaseRequest,
        run: _Run,
        headers: Mapping[str, str],
        identity_headers: Mapping[str, str],
    ) -> web.StreamResponse:
        way = self.framings.choose(upstream=self.upstream, request=run.request)
        self._transports.begin(request, way)
        response = way.make_response({**identity_headers, "Content-Type": "text/event-stream"})
        await asyncio.sleep(self.event_ms / MS_PER_S)
        response.headers.extend(self._notice_headers())
        await response.prepare(request)
        if self.on_crash is not None and self.crashing_parts.intersection(shared_parts(headers)):
            self._transports.crash()
            self.on_crash()
            raise ConnectionResetError
        while run.events_sent < run.length:
            if run.stopped:
                way.cut(request.transport)
                raise ConnectionResetError
            run.events_sent += 1
            event = event_bytes(run.request, run.generation, run.events_sent, self.padding)
            request[STREAMED] = request.get(STREAMED, b"") + event
            await response.write(event)
            await asyncio.sleep(self.event_ms / MS_PER_S)
        await response.write_eof()
        return response

    async def _move(self, order: Mapping[str, object]) -> web.Response:
        run = self._runs.get(str(order["id"]))
        target = self._ledger.engines.get(str(order["to"]))
        if run is None or run.events_sent == 0:
            return web.Response(status=404)
        if run.copying:
            return web.Response(status=409)
        if order["last"]:
            run.stopped = True
        handle = f"h{next(_handles)}"
        if target is None or not target._has_room_for_copy(run):
            if not order["last"]:
                return json_response({}, status=503)
            self._copies[handle] = _Copy(run, run.events_sent, self._clock.now())
            return json_response({"handle": handle}, status=503)
        run.copying = True
        # A copy occupies its room from the start of the transfer.
        copy = target._copies[handle] = _Copy(run, run.events_sent, self._clock.now())
        try:
            was_copied_before = (run.request, target.upstream) in self._copied
            await asyncio.sleep((0.1 if was_copied_before else 1.0) * self.copy_ms / MS_PER_S)
        except asyncio.CancelledError:
            target._copies.pop(handle, None)
            raise
        finally:
            run.copying = False
        self._copied.add((run.request, target.upstream))
        copy.events_sent, copy.taken = run.events_sent, self._clock.now()
        if order["last"]:
            self._stopped_runs[handle] = copy
        return json_response({"handle": handle, "createdRev": run.events_sent})

    def _report(self) -> web.Response:
        report: dict[str, object] = {
            "running": len(self._runs),
            "state": "draining" if self.leaving else "ready",
            "runs": [[run.request, run.tokens, run.events_sent, 5] for run in self._runs.values()],
        }
        return json_response(report | ({"born": self.born} if self.born else {}))


def shared_parts(headers: Mapping[str, str]) -> list[str]:
    """Return the parts of a request's prompt that other requests may share."""
    prefix = headers.get("Tanagerscale-Prompt-Prefix", "")
    return [part.partition(":")[0] for part in prefix.split(",")[:-1]]


def event_bytes(request: str, generation: int, number: int, padding: int = 0) -> bytes:
    """Return one event, whose data contain the number of the generation that produced it."""
    return f"id: {number}\ndata: {'x' * padding}{request}.{generation}.{number}\n\n".encode()


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError
