"""Callers' HTTP in the platform's words: requests in, answers out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import final

from aiohttp import web
import msgspec
from multidict import CIMultiDict

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import RequestId
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Demand
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import PromptPart
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.gateway import CallerRules
from tanagerscale.gateway import Serve
from tanagerscale.platform._headers import EXPECTED_LENGTH
from tanagerscale.platform._headers import LAST_EVENT
from tanagerscale.platform._headers import MODEL
from tanagerscale.platform._headers import PROMPT_PARTS
from tanagerscale.platform._headers import REQUEST_ID
from tanagerscale.platform._headers import TIME_LEFT
from tanagerscale.platform._headers import TOKENS
from tanagerscale.platform._headers import passed_on

BEARER: Final = "bearer "
STATUSES: Final = {
    RefusalKind.NOT_READY: 503,
    RefusalKind.UNKNOWN_ROUTE: 404,
    RefusalKind.UNKNOWN_KEY: 401,
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.TOO_LARGE: 413,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.UPSTREAM_FAILED: 502,
    RefusalKind.TIMED_OUT: 504,
}
IDLE_LIMIT_S: Final = 3600.0
"""Beyond any idle time that may be declared; the declared one is kept by ``sweep``."""
MAX_HEAD_BYTES: Final = 64 * 1024
"""Beyond any size that may be declared for a head."""
BACKLOG: Final = 1024
"""Connections that may wait to be accepted; where it is full, their first packet is dropped and
sent again only after a second."""
END_MS: Final = 30
"""Time for a request that has just been read to reach its handler; many turns of the event loop."""
SHUTDOWN_TIMEOUT_S: Final = 0.2
_CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


@final
class CallerEdge:
    """Turns HTTP requests into the product's own and its answers into HTTP.

    :param serve: Answers one request.
    :param body_limit: Returns the largest body that is taken, in bytes.
    :param idle_timeout_ms: Returns how long a connection may stay idle, or ``None`` while the
        host stops and every connection is to end after its answer.
    :param clock: Time.
    """

    def __init__(
        self,
        *,
        serve: Serve,
        body_limit: Callable[[], int],
        idle_timeout_ms: Callable[[], int | None],
        clock: Clock,
    ) -> None:
        self._serve = serve
        self._body_limit = body_limit
        self._idle_timeout_ms = idle_timeout_ms
        self._clock = clock

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; the handler of an aiohttp server."""
        responder = HttpResponder(request=request, idle_timeout_ms=self._idle_timeout_ms())
        arrived = self._clock.now()
        refusal = _head_problem(request)
        body = None
        if refusal is None:
            body = await self._read_body(request)
            refusal = _TOO_LARGE if body is None else None
        if refusal is not None or body is None:
            responder.close_after_answer()
            await responder.refuse(refusal=refusal or _TOO_LARGE)
            return responder.response
        await self._serve(_decode(request, body, arrived), responder)
        return responder.response

    async def _read_body(self, request: web.BaseRequest) -> bytes | None:
        """Return the whole body, or ``None`` when it is too large."""
        if not request.can_read_body:
            return b""
        limit = self._body_limit()
        if (request.content_length or 0) > limit:
            return None
        if "Expect" in request.headers and request.transport is not None:
            request.transport.write(_CONTINUE)
        chunks: list[bytes] = []
        size = 0
        while chunk := await request.content.readany():
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                return None
        return b"".join(chunks)


@final
class HttpResponder:
    """Carries one answer to its caller.

    :param request: What is answered.
    :param idle_timeout_ms: How long the connection may stay idle afterwards; ``None`` ends it.
    """

    def __init__(self, *, request: web.BaseRequest, idle_timeout_ms: int | None) -> None:
        self._request = request
        self._idle_timeout_ms = idle_timeout_ms
        self._response: web.StreamResponse | None = None

    @property
    def response(self) -> web.StreamResponse:
        """What the HTTP server finishes after the answer."""
        assert self._response is not None
        return self._response

    @property
    def begun(self) -> bool:
        """Whether the head of the answer has been sent."""
        return self._response is not None

    async def begin(self, *, status: int, reason: str, headers: Sequence[Header]) -> None:
        """Send the head of an answer whose body comes in pieces."""
        response = web.StreamResponse(status=status, reason=reason, headers=CIMultiDict(headers))
        self._prepare(response)
        await response.prepare(self._request)

    async def write(self, chunk: bytes) -> None:
        """Send a piece of the body, waiting while the caller is slow."""
        await self.response.write(chunk)

    async def end(self) -> None:
        """Mark the answer as whole."""
        await self.response.write_eof()

    async def answer(
        self, *, status: int, reason: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a whole answer at once."""
        response = web.Response(
            status=status, reason=reason, headers=CIMultiDict(headers), body=body
        )
        self._prepare(response)
        await response.prepare(self._request)
        await response.write_eof()

    async def refuse(self, *, refusal: Refusal) -> None:
        """Send an answer of our own, as problem details (RFC 9457)."""
        problem = {"type": f"urn:tanagerscale:{refusal.kind.value}", "detail": refusal.detail}
        headers = [("Content-Type", "application/problem+json")]
        if refusal.retry_after_ms is not None:
            headers.append(("Retry-After", f"{refusal.retry_after_ms / 1000:.3f}"))
        request_id = self._request.headers.get(REQUEST_ID)
        if request_id is not None:
            headers.append((REQUEST_ID, request_id))
        await self.answer(
            status=STATUSES[refusal.kind],
            reason=refusal.kind.value,
            headers=headers,
            body=msgspec.json.encode(problem),
        )

    def close_after_answer(self) -> None:
        """End the connection after this answer."""
        self._idle_timeout_ms = None

    def abort(self) -> None:
        """Break the connection, so that what was sent does not look whole."""
        if self._response is None:
            self._response = web.StreamResponse()
        transport = self._request.transport
        if transport is not None:
            transport.abort()

    def _prepare(self, response: web.StreamResponse) -> None:
        self._response = response
        if self._idle_timeout_ms is None:
            response.force_close()
        else:
            response.headers["Keep-Alive"] = f"timeout={self._idle_timeout_ms // 1000}"


def _head_problem(request: web.BaseRequest) -> Refusal | None:
    if not request.headers.get(REQUEST_ID):
        return _NO_ID
    return None


def _decode(request: web.BaseRequest, body: bytes, arrived: Millis) -> CallerRequest:
    headers = request.headers
    target = request.raw_path
    return CallerRequest(
        request=RequestId(headers[REQUEST_ID]),
        method=request.method,
        target=target,
        host=headers.get("Host", ""),
        path=target.partition("?")[0],
        headers=passed_on(headers, headers.items()),
        body=body,
        key=_bearer(headers.get("Authorization", "")),
        time_left_ms=_whole_number(headers.get(TIME_LEFT, "")),
        arrived=arrived,
        demand=_demand(request),
        resume_after=headers.get(LAST_EVENT, ""),
    )


def _bearer(field: str) -> str | None:
    if field[: len(BEARER)].lower() != BEARER:
        return None
    return field[len(BEARER) :].strip()


def _whole_number(text: str) -> int | None:
    try:
        return int(float(text))
    except (ValueError, OverflowError):
        return None


def _demand(request: web.BaseRequest) -> Demand | None:
    headers = request.headers
    prompt, _, longest = headers.get(TOKENS, "").partition(",")
    prompt_tokens = _whole_number(prompt)
    max_tokens = _whole_number(longest)
    if prompt_tokens is None or max_tokens is None:
        return None
    return Demand(
        model=ModelId(headers.get(MODEL, "")),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        expected_tokens=_whole_number(headers.get(EXPECTED_LENGTH, "")),
        parts=_parts(headers.get(PROMPT_PARTS, "")),
    )


def _parts(field: str) -> tuple[PromptPart, ...]:
    parts = []
    for entry in field.split(","):
        part, _, tokens = entry.strip().partition(":")
        length = _whole_number(tokens)
        if part and length is not None:
            parts.append(PromptPart(part=part, tokens=length))
    return tuple(parts)


_NO_ID: Final = Refusal(
    kind=RefusalKind.BAD_REQUEST, detail=f"Send an id of the request in {REQUEST_ID}."
)
_TOO_LARGE: Final = Refusal(kind=RefusalKind.TOO_LARGE, detail="Send a smaller body.")


@final
class PlatformCallers:
    """Accepts callers and ends connections that are idle for too long.

    :param serve: Answers one request.
    :param rules: What callers may do.
    :param clock: Time.
    """

    def __init__(self, *, serve: Serve, rules: CallerRules, clock: Clock) -> None:
        self._rules = rules
        self._clock = clock
        self._stopping = False
        self._idle_since: dict[asyncio.BaseProtocol, Millis | None] = {}
        """Each connection with the time since when it is idle; ``None`` while it is answered."""
        edge = CallerEdge(
            serve=serve,
            body_limit=rules.body_bytes,
            idle_timeout_ms=lambda: None if self._stopping else rules.idle_timeout_ms(),
            clock=clock,
        )
        self._handle = edge.handle

    async def start(self, *, address: str) -> None:
        """Begin to accept.

        :param address: IP number and port.
        """
        self._server = web.Server(
            self._track,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=IDLE_LIMIT_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port), backlog=BACKLOG)
        await self._site.start()

    def sweep(self, *, limit_ms: int | None = None) -> None:
        """End connections that have been idle for too long.

        :param limit_ms: What is too long; ``None`` means longer than is declared.
        """
        now = self._clock.now()
        limit = self._rules.idle_timeout_ms() if limit_ms is None else limit_ms
        present = self._server.connections
        known = self._idle_since
        self._idle_since = {protocol: known.get(protocol, now) for protocol in present}
        for protocol in present:
            since = self._idle_since[protocol]
            if since is not None and now - since > limit:
                self._end(protocol)

    def _end(self, protocol: web.RequestHandler) -> None:
        """End an idle connection, unless a request has just come in on it.

        A request that was read already is answered, and its connection ends after the answer; what
        comes later is not read any more.
        """
        protocol.close()
        loop = asyncio.get_running_loop()
        loop.call_later(END_MS / MS_PER_SECOND, self._end_now, protocol)

    def _end_now(self, protocol: web.RequestHandler) -> None:
        if self._idle_since.get(protocol, Millis(0)) is not None:
            protocol.force_close()

    def begin_stop(self) -> None:
        """End each connection after its answer from now on."""
        self._stopping = True

    async def stop_listening(self) -> None:
        """Accept no more connections."""
        await self._site.stop()

    def end_idle(self, *, idle_ms: int) -> bool:
        """End connections that have been idle for so long.

        :param idle_ms: A request may be on its way on one that was used more lately.
        :returns: Whether no connection is left.
        """
        self.sweep(limit_ms=idle_ms)
        return not self._server.connections

    async def close(self) -> None:
        """End everything."""
        for protocol in self._server.connections:
            protocol.force_close()
        await self._runner.cleanup()

    async def _track(self, request: web.BaseRequest) -> web.StreamResponse:
        self._idle_since[request.protocol] = None
        try:
            return await self._handle(request)
        finally:
            self._idle_since[request.protocol] = self._clock.now()


async def serve_readiness(*, is_ready: Callable[[], bool], address: str) -> web.ServerRunner:
    """Answer the platform's question whether this host takes new connections.

    :param is_ready: Returns the present answer.
    :param address: IP number and port.
    :returns: What ends it.
    """

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if is_ready() else 503)

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner
