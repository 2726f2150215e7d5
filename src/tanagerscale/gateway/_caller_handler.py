"""HTTP request handling for callers: reads whole requests and writes responses."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import sys
from typing import Final
from typing import final

from aiohttp import HttpVersion11
from aiohttp import web
import msgspec
from msgspec.structs import replace
from multidict import CIMultiDict
from returns.result import Failure
from returns.result import Result

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import get_logger
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import ConnectionState
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.gateway._body_reader import BodyReader
from tanagerscale.gateway._connection_state import measure_connection
from tanagerscale.gateway._connections import CallerProtocol
from tanagerscale.gateway._connections import ConnectionUse
from tanagerscale.gateway._host_limits import HostLimits
from tanagerscale.gateway._linger import close_properly
from tanagerscale.gateway._linger import reset_on_close
from tanagerscale.gateway._platform import CallerCodec
from tanagerscale.gateway._platform import CallerRules
from tanagerscale.gateway._platform import RequestHandler
from tanagerscale.gateway._request_lease import RequestLease
from tanagerscale.gateway._request_lease import current_lease

STATUS_BY_REFUSAL: Final = {
    RefusalKind.NOT_READY: 503,
    RefusalKind.UNKNOWN_ROUTE: 404,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.NO_PATH: 503,
    RefusalKind.QUARANTINED: 503,
    RefusalKind.UPSTREAM_FAILED: 502,
    RefusalKind.TIMED_OUT: 504,
    RefusalKind.BODY_TIMED_OUT: 408,
}
LARGE_BODY_BYTES: Final = 64 * 1024
"""Size above which the body of a request that is refused by its head isn't read. A smaller one is,
so that its connection can be used again."""

_log = get_logger(part="callers")


@final
class CallerRequestHandler:
    """Reads each request completely, decodes it and passes it on to be served.

    :param serve: Serves one decoded request.
    :param codec: Decodes requests.
    :param rules: Limits that apply to callers.
    :param stopping_since: Returns when the shutdown began, after which every connection is closed
        after its response; ``None`` before it.
    :param limits: Limits of the host; ``None`` for none.
    :param clock: Clock that timestamps the arrival of requests.
    :param is_allowed: Returns whether a request with this head may be served.
    """

    def __init__(
        self,
        *,
        serve: RequestHandler,
        codec: CallerCodec,
        rules: CallerRules,
        stopping_since: Callable[[], Millis | None],
        limits: HostLimits | None,
        clock: Clock,
        is_allowed: Callable[[CallerRequest], bool],
    ) -> None:
        self._serve = serve
        self._codec = codec
        self._rules = rules
        self._is_allowed = is_allowed
        self._bodies = BodyReader(rules=rules, clock=clock)
        self._stopping_since = stopping_since
        self._limits = limits
        self._clock = clock

    async def handle(
        self, request: web.BaseRequest, connection: ConnectionUse
    ) -> web.StreamResponse:
        """Handle one request on a connection."""
        if self._limits is None or not self._limits.is_limited:
            return await self._handle(request, connection, None)
        lease = RequestLease(limits=self._limits)
        token = current_lease.set(lease)
        try:
            return await self._handle(request, connection, lease)
        finally:
            lease.release()
            current_lease.reset(token)

    async def _handle(
        self, request: web.BaseRequest, connection: ConnectionUse, lease: RequestLease | None
    ) -> web.StreamResponse:
        stopping_since = self._stopping_since()
        responder = AiohttpResponder(
            request=request,
            echoed_headers=self._codec.echoed_headers(request),
            idle_timeout_ms=lambda: self._idle_timeout_ms(connection),
            on_begin=connection.begin_response,
            lease=lease,
        )
        arrived = self._clock.now()
        refusal = None
        if lease is not None:
            size = request.content_length if request.can_read_body else 0
            refusal = lease.open_request(fields=len(request.headers), body_bytes=size)
        if refusal is not None:
            return await self._refuse_unread(request, responder, refusal)
        decoded = self._codec.decode(request, b"", arrived)
        if self._is_refused_by_head(request, decoded):
            responder.close_after_response()
            await self._answer_head(decoded, responder)
            _drop_rest(request)
            return responder.response
        body = await self._bodies.read(request, lease, time_left_ms=_get_time_left_ms(decoded))
        if isinstance(body, Refusal):
            return await self._refuse_unread(request, responder, body)
        if isinstance(decoded, Failure):
            await responder.refuse(refusal=decoded.failure())
            return responder.response
        caller_request = decoded.unwrap()
        caller_request = replace(caller_request, body=body, received=self._clock.now())
        connection.request = caller_request.request
        if stopping_since is not None:
            self._log_during_shutdown(caller_request.request, connection, arrived - stopping_since)
        await self._serve(caller_request, responder)
        return responder.response

    def _is_refused_by_head(
        self, request: web.BaseRequest, decoded: Result[CallerRequest, Refusal]
    ) -> bool:
        """Return whether a request is refused whatever its body is, which is long or unknown."""
        if request.content.is_eof() or (request.content_length or sys.maxsize) <= LARGE_BODY_BYTES:
            return False
        return not decoded.map(self._is_allowed).value_or(False)

    async def _answer_head(
        self, decoded: Result[CallerRequest, Refusal], responder: AiohttpResponder
    ) -> None:
        if isinstance(decoded, Failure):
            await responder.refuse(refusal=decoded.failure())
        else:
            await self._serve(decoded.unwrap(), responder)

    async def _refuse_unread(
        self, request: web.BaseRequest, responder: AiohttpResponder, refusal: Refusal
    ) -> web.StreamResponse:
        """Refuse a request whose body may not have been read, and close its connection."""
        responder.close_after_response()
        await responder.refuse(refusal=refusal)
        _drop_rest(request)
        return responder.response

    def _idle_timeout_ms(self, connection: ConnectionUse) -> int | None:
        """Return how long a connection may stay idle; ``None`` closes it after its response."""
        if connection.must_close or self._stopping_since() is not None:
            return None
        if self._limits is not None and self._limits.must_close_connections:
            return None
        return self._rules.idle_timeout_ms()

    def _log_during_shutdown(
        self, request: RequestId, connection: ConnectionUse, since_stop_ms: int
    ) -> None:
        """Log on what kind of connection a request has reached a stopping host."""
        _log.info(
            "A request arrived during the shutdown.",
            request=request,
            since_stop_ms=since_stop_ms,
            earlier_requests=connection.requests,
            connection_age_ms=self._clock.now() - connection.opened,
        )


def _drop_rest(request: web.BaseRequest) -> None:
    """Drop what is left of the body of a request that was refused."""
    if not request.content.is_eof() and isinstance(request.protocol, CallerProtocol):
        request.protocol.refuse_rest()


def _get_time_left_ms(decoded: Result[CallerRequest, Refusal]) -> int | None:
    return None if isinstance(decoded, Failure) else decoded.unwrap().time_left_ms


@final
class AiohttpResponder:
    """Writes the response to one request over aiohttp.

    :param request: The request to respond to.
    :param echoed_headers: Header fields of the request that the gateway's own responses repeat.
    :param idle_timeout_ms: Returns how long the connection may stay idle after the response;
        ``None`` closes it. Called when the response begins, as a shutdown may begin while the
        request is being handled.
    :param on_begin: Called when the response begins.
    :param lease: What the request holds of the host's budgets; ``None`` on a host without limits.
    """

    def __init__(
        self,
        *,
        request: web.BaseRequest,
        echoed_headers: Sequence[Header],
        idle_timeout_ms: Callable[[], int | None],
        on_begin: Callable[[], None],
        lease: RequestLease | None = None,
    ) -> None:
        self._request = request
        self._echoed = echoed_headers
        self._idle_timeout_ms = idle_timeout_ms
        self._on_begin = on_begin
        self._lease = lease
        self._must_close = False
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse:
        """The response object that the aiohttp server finishes."""
        assert self._response is not None
        return self._response

    @property
    def begun(self) -> bool:
        """Whether the head of the response has been sent."""
        return self._response is not None

    @property
    def connection_state(self) -> ConnectionState:
        """State of the caller's connection, also after it has ended."""
        protocol = self._request.protocol
        if isinstance(protocol, CallerProtocol):
            return protocol.state
        return measure_connection(self._request.transport)

    async def begin(self, *, status: int, reason: str, headers: Sequence[Header]) -> None:
        """Send the head of a response whose body is streamed."""
        response = web.StreamResponse(status=status, reason=reason, headers=CIMultiDict(headers))
        self._prepare(response)
        if self._lease is not None:
            self._lease.begin_stream()
        if self._is_close_delimited(response):
            # It looks complete if its connection is closed, however that comes about.
            reset_on_close(self._request.transport)
        await response.prepare(self._request)

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body, waiting while the caller reads slowly."""
        self._record_write(len(chunk))
        await self.response.write(chunk)
        # aiohttp itself waits only once for each 64 KB that it has written.
        if self._lease is not None and self._request.protocol.writing_paused:
            await self._lease.wait_for_caller(self._request.writer.drain())

    async def end(self) -> None:
        """Mark the end of a complete response."""
        await self.response.write_eof()
        if self._is_close_delimited(self.response):
            await self._flush()
            close_properly(self._request.transport)

    async def respond(
        self, *, status: int, reason: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a complete response."""
        response = web.Response(
            status=status, reason=reason, headers=CIMultiDict(headers), body=body
        )
        self._prepare(response)
        self._record_write(len(body))
        await response.prepare(self._request)
        await response.write_eof()
        # The response is part of a reference cycle, which may be collected much later.
        response.body = None

    async def refuse(self, *, refusal: Refusal) -> None:
        """Send an error response of the gateway itself, as problem details (RFC 9457)."""
        problem = {"type": f"urn:tanagerscale:{refusal.kind.value}", "detail": refusal.detail}
        headers = [("Content-Type", "application/problem+json"), *self._echoed]
        if refusal.retry_after_ms is not None:
            headers.append(("Retry-After", f"{refusal.retry_after_ms / MS_PER_SECOND:.3f}"))
        await self.respond(
            status=STATUS_BY_REFUSAL[refusal.kind],
            reason=refusal.kind.value,
            headers=headers,
            body=msgspec.json.encode(problem),
        )

    def close_after_response(self) -> None:
        """Close the connection after this response."""
        self._must_close = True

    def abort(self) -> None:
        """Abort the connection, so that a partial response does not look complete."""
        if self._response is None:
            self._response = web.StreamResponse()
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def _is_close_delimited(self, response: web.StreamResponse) -> bool:
        """Return whether the end of the connection is the only end of a response."""
        return self._request.version < HttpVersion11 and response.content_length is None

    async def _flush(self) -> None:
        """Wait until no bytes are left that closing the connection at once would drop."""
        transport = self._request.transport
        if transport is None:
            return
        transport.set_write_buffer_limits(high=0)
        if self._lease is not None and self._request.protocol.writing_paused:
            await self._lease.wait_for_caller(self._request.writer.drain())
        else:
            await self._request.writer.drain()

    def _record_write(self, size: int) -> None:
        transport = self._request.transport
        if self._lease is not None and transport is not None:
            self._lease.record_write(transport, size)

    def _prepare(self, response: web.StreamResponse) -> None:
        self._response = response
        self._on_begin()
        idle_timeout_ms = None if self._must_close else self._idle_timeout_ms()
        if idle_timeout_ms is None:
            response.force_close()
        else:
            response.headers["Keep-Alive"] = f"timeout={idle_timeout_ms // 1000}"
