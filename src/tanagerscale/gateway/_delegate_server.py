"""Server that sends requests to upstreams for hosts that reach none."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import final

from aiohttp import web
from returns.result import Failure

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import get_logger
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import ConnectionEnd
from tanagerscale.forwarding import ConnectionState
from tanagerscale.forwarding import DelegatedHead
from tanagerscale.forwarding import DelegatedOutcome
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import Responder
from tanagerscale.gateway._body_reader import BodyReader
from tanagerscale.gateway._connection_state import measure_connection
from tanagerscale.gateway._connections import CallerProtocol
from tanagerscale.gateway._connections import ConnectionUse
from tanagerscale.gateway._connections import get_connections
from tanagerscale.gateway._connections import has_unanswered
from tanagerscale.gateway._connections import has_unread
from tanagerscale.gateway._connections import make_request
from tanagerscale.gateway._delegation_wire import EXCHANGE_FIELD
from tanagerscale.gateway._delegation_wire import HEAD_FIELD
from tanagerscale.gateway._delegation_wire import PATH
from tanagerscale.gateway._delegation_wire import decode_request
from tanagerscale.gateway._delegation_wire import encode_head
from tanagerscale.gateway._gated_server import HEADER_TIMEOUT_MS
from tanagerscale.gateway._gated_server import make_room
from tanagerscale.gateway._host_limits import HostLimits
from tanagerscale.gateway._idle_connections import IdleConnections
from tanagerscale.gateway._input_context import InputContext
from tanagerscale.gateway._listener import close_listener
from tanagerscale.gateway._listener import open_server
from tanagerscale.gateway._listener import open_when_free
from tanagerscale.gateway._platform import CallerRules
from tanagerscale.gateway._request_lease import RequestLease
from tanagerscale.gateway._request_lease import current_lease

MAX_DELEGATED: Final = 64
"""Requests of other hosts that a host sends at a time, beside those of its own callers."""

SEEN_TTL_MS: Final = 60_000
"""Time for which the ids of delegated requests are kept, so that none is sent twice. Requests have
deadlines of less than that."""

MAX_CONNECTIONS: Final = 256
"""Connections of other hosts; each host that delegates opens a few."""

MAX_BODY_BYTES: Final = 16 * 1024 * 1024
"""Largest delegated request; the callers' limit applies before."""

MAX_HEAD_BYTES: Final = 64 * 1024
"""Largest head of a delegated request."""

BODY_IDLE_MS: Final = 15_000
"""Longest pause in a body."""

UNUSED_TIMEOUT_MS: Final = 15_000
"""Longest time without a request on a new connection. The other hosts close those they have used.
"""

SHUTDOWN_TIMEOUT_S: Final = 0.2

_log = get_logger(part="delegation")

ServeDelegated = Callable[[CallerRequest, Responder], Awaitable[None]]


@final
class DelegateServer:
    """Accepts the requests of hosts that reach no upstream.

    A delegated request is routed, checked and limited as one of this host's own callers, by the key
    that it carries, so that nobody gains anything by sending one. It is never delegated again.

    :param serve: Serves one request.
    :param can_help: Returns whether this host reaches upstreams and is not shutting down.
    :param clock: Source of the current time.
    :param limits: Limits of the host; ``None`` for none.
    :param context: What connections of all listeners share; ``None`` for nothing.
    """

    def __init__(
        self,
        *,
        serve: ServeDelegated,
        can_help: Callable[[], bool],
        clock: Clock,
        limits: HostLimits | None = None,
        context: InputContext | None = None,
    ) -> None:
        self._context = context
        self._idle = IdleConnections(clock=clock)
        rules = CallerRules(
            body_bytes=lambda: MAX_BODY_BYTES,
            header_timeout_ms=lambda: HEADER_TIMEOUT_MS,
            idle_timeout_ms=lambda: BODY_IDLE_MS,
        )
        self._bodies = BodyReader(rules=rules, clock=clock)
        self._serve = serve
        self._can_help = can_help
        self._clock = clock
        self._limits = limits
        self._running = 0
        self._seen: OrderedDict[RequestId, Millis] = OrderedDict()
        self._server: web.Server | None = None
        self._runner: web.ServerRunner | None = None
        self._listener: asyncio.Server | None = None

    @property
    def connections(self) -> int:
        """Number of open connections that other hosts have opened to delegate requests."""
        return 0 if self._server is None else len(self._server.connections)

    async def start(self, *, address: str) -> None:
        """Start to accept requests.

        :param address: IP address and port to listen on.
        """
        self._server = web.Server(
            self._track, request_factory=make_request, handler_cancellation=True
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        self._listener = await open_when_free(
            lambda: open_server(self._make_protocol, address=address),
            part="delegates",
            address=address,
        )

    async def stop_listening(self) -> None:
        """Accept the connections that wait, then no more."""
        if self._listener is not None:
            await close_listener(self._listener, make_protocol=self._make_protocol)

    def drain(self, *, idle_ms: int) -> bool:
        """Return whether no request of another host is left; the other hosts close connections.

        :param idle_ms: Not used, since a host that shuts down accepts no request on any connection.
        """
        connections = self._connections
        is_used = any(one.use.is_handling or one.use.has_unhandled_data for one in connections)
        return not is_used and not has_unread(connections)

    def close_idle(self, *, interval_ms: int) -> None:
        """Close new connections without a request, and those that send a head for too long.

        :param interval_ms: Interval of the checks in milliseconds.
        """
        self._idle.close(
            [one for one in self._connections if one.is_unserved or one.has_begun_head],
            idle_timeout_ms=UNUSED_TIMEOUT_MS,
            header_timeout_ms=HEADER_TIMEOUT_MS,
            interval_ms=interval_ms,
        )

    def has_unanswered(self) -> bool:
        """Return whether a request has arrived whose response has not begun."""
        return has_unanswered(self._connections)

    async def close(self) -> None:
        """Close all connections and stop the server."""
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()

    @property
    def _connections(self) -> list[CallerProtocol]:
        return [] if self._server is None else get_connections(self._server)

    def _make_protocol(self) -> CallerProtocol:
        assert self._server is not None
        return CallerProtocol(
            server=self._server,
            clock=self._clock,
            on_open=lambda opened: make_room(self._connections, opened, limit=MAX_CONNECTIONS),
            head_bytes=lambda: MAX_HEAD_BYTES,
            context=self._context,
        )

    async def _track(self, request: web.BaseRequest) -> web.StreamResponse:
        assert isinstance(request.protocol, CallerProtocol)
        use = request.protocol.use
        use.begin_request()
        lease = None if self._limits is None else RequestLease(limits=self._limits)
        token = current_lease.set(lease)
        try:
            return await self._handle(request, use, lease)
        finally:
            if lease is not None:
                lease.release()
            current_lease.reset(token)
            request.protocol.end_request()

    async def _handle(
        self, request: web.BaseRequest, connection: ConnectionUse, lease: RequestLease | None
    ) -> web.StreamResponse:
        arrived = self._clock.now()
        if lease is not None and lease.open_request(body_bytes=request.content_length) is not None:
            return _unavailable(request)
        body = await self._bodies.read(request, lease, time_left_ms=None)
        if isinstance(body, Refusal) and body.kind is not RefusalKind.TOO_LARGE:
            return _unavailable(request)
        if request.path != PATH or isinstance(body, Refusal):
            return web.Response(status=400, headers=_echoed_fields(request))
        decoded = decode_request(body, arrived=arrived)
        if isinstance(decoded, Failure):
            _log.warning("A delegated request is invalid.", detail=decoded.failure())
            return _unavailable(request)
        delegated = decoded.unwrap()
        if not self._accept(delegated.request):
            _log.info("A delegated request is not accepted.", request=delegated.request)
            return _unavailable(request)
        self._running += 1
        try:
            responder = _DelegateResponder(request=request, on_begin=connection.begin_response)
            await self._serve(delegated, responder)
            return responder.response
        finally:
            self._running -= 1

    def _accept(self, request: RequestId) -> bool:
        """Return whether a request is sent; one with the same id never is."""
        now = self._clock.now()
        while self._seen and next(iter(self._seen.values())) <= now - SEEN_TTL_MS:
            self._seen.popitem(last=False)
        if request in self._seen or self._running >= MAX_DELEGATED or not self._can_help():
            return False
        self._seen[request] = now
        return True


@final
class _DelegateResponder:
    """Writes the response to a delegated request.

    :param request: The HTTP request of the other host.
    :param on_begin: Called when the response begins.
    """

    def __init__(self, *, request: web.BaseRequest, on_begin: Callable[[], None]) -> None:
        self._request = request
        self._on_begin = on_begin
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse:
        """The response object that the server finishes."""
        assert self._response is not None
        return self._response

    @property
    def begun(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._response is not None

    @property
    def connection_state(self) -> ConnectionState:
        """State of the other host's connection, without its sizes after it has ended."""
        transport = self._request.transport
        is_open = transport is not None and not transport.is_closing()
        return measure_connection(
            transport, end=ConnectionEnd.OPEN if is_open else ConnectionEnd.UNKNOWN
        )

    async def begin(self, *, status: int, reason: str, headers: Sequence[Header]) -> None:
        """Send the head of a stream."""
        outcome = DelegatedOutcome.STREAM
        head = DelegatedHead(outcome=outcome, status=status, reason=reason, headers=headers)
        self._on_begin()
        self._response = web.StreamResponse(headers=_response_fields(self._request, head))
        await self._response.prepare(self._request)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        assert self._response is not None
        await self._response.write(chunk)

    async def end(self) -> None:
        """Mark the end of a complete stream."""
        assert self._response is not None
        await self._response.write_eof()

    async def respond(
        self, *, status: int, reason: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a complete response."""
        outcome = DelegatedOutcome.WHOLE
        head = DelegatedHead(outcome=outcome, status=status, reason=reason, headers=headers)
        await self._send(head, body)

    async def refuse(self, *, refusal: Refusal) -> None:
        """Send a refusal."""
        await self._send(DelegatedHead(outcome=DelegatedOutcome.REFUSED, refusal=refusal))

    def abort(self) -> None:
        """Abort the connection, so that a partial response does not look complete."""
        if self._request.transport is not None:
            self._request.transport.abort()

    async def _send(self, head: DelegatedHead, body: bytes = b"") -> None:
        response = web.Response(body=body, headers=_response_fields(self._request, head))
        self._on_begin()
        self._response = response
        await response.prepare(self._request)
        await response.write_eof()
        # The response is part of a reference cycle, which may be collected much later.
        response.body = None


def _unavailable(request: web.BaseRequest) -> web.Response:
    head = DelegatedHead(outcome=DelegatedOutcome.UNAVAILABLE)
    return web.Response(headers=_response_fields(request, head))


def _response_fields(request: web.BaseRequest, head: DelegatedHead) -> dict[str, str]:
    return {HEAD_FIELD: encode_head(head), **_echoed_fields(request)}


def _echoed_fields(request: web.BaseRequest) -> dict[str, str]:
    number = request.headers.get(EXCHANGE_FIELD)
    return {} if number is None else {EXCHANGE_FIELD: number}
