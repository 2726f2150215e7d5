"""HTTP server that accepts connections from callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import final

from aiohttp import web

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.forwarding import CallerRequest
from tanagerscale.gateway._caller_handler import CallerRequestHandler
from tanagerscale.gateway._connections import CallerProtocol
from tanagerscale.gateway._connections import get_connections
from tanagerscale.gateway._connections import has_unanswered
from tanagerscale.gateway._connections import make_request
from tanagerscale.gateway._gated_server import GatedServer
from tanagerscale.gateway._graceful_shutdown import DRAIN_POLL_INTERVAL_MS
from tanagerscale.gateway._host_limits import HostLimits
from tanagerscale.gateway._idle_connections import IdleConnections
from tanagerscale.gateway._idle_connections import close_idle_one
from tanagerscale.gateway._idle_connections import close_unserved
from tanagerscale.gateway._input_context import InputContext
from tanagerscale.gateway._listener import close_listener
from tanagerscale.gateway._listener import open_server
from tanagerscale.gateway._listener import open_when_free
from tanagerscale.gateway._platform import CallerCodec
from tanagerscale.gateway._platform import CallerRules
from tanagerscale.gateway._platform import RequestHandler
from tanagerscale.gateway._unserved_requests import UnservedRequestLog

SHUTDOWN_TIMEOUT_S: Final = 0.2

_log = get_logger(part="callers")


@final
class CallerServer:
    """Accepts connections from callers and closes those that stay idle for too long.

    :param serve: Serves one decoded request.
    :param codec: Decodes requests.
    :param rules: Limits that apply to callers.
    :param clock: Clock that measures idle times.
    :param limits: Limits of the host; ``None`` for none.
    :param count_cut: Counts a request that was not forwarded, by cause.
    :param context: What connections of all listeners share; ``None`` for nothing.
    :param is_allowed: Returns whether a request with this head may be served.
    """

    def __init__(
        self,
        *,
        serve: RequestHandler,
        codec: CallerCodec,
        rules: CallerRules,
        clock: Clock,
        limits: HostLimits | None = None,
        count_cut: Callable[[str], None] = lambda _cause: None,
        context: InputContext | None = None,
        is_allowed: Callable[[CallerRequest], bool] = lambda _head: True,
    ) -> None:
        self._evicted = 0
        """Connections that are about to be closed for new ones."""
        self._context = context
        self._rules = rules
        self._clock = clock
        self._stopping_since: Millis | None = None
        self._idle = IdleConnections(clock=clock)
        edge = CallerRequestHandler(
            serve=serve,
            codec=codec,
            rules=rules,
            stopping_since=lambda: self._stopping_since,
            limits=limits,
            clock=clock,
            is_allowed=is_allowed,
        )
        self._handle = edge.handle
        self._unserved = UnservedRequestLog(
            codec=codec,
            stopping_since=lambda: self._stopping_since,
            count_cut=count_cut,
            clock=clock,
        )
        self._limits = limits

    async def start(self, *, address: str) -> None:
        """Start to accept connections.

        :param address: IP address and port to listen on.
        """
        self._server = web.Server(
            self._track, request_factory=make_request, handler_cancellation=True
        )
        if self._limits is not None:
            self._limits.observe_callers(
                get_transports=self._get_transports,
                count=lambda: len(self._server.connections) - self._evicted,
                get_input_bytes=lambda: sum(one.held_bytes for one in self._connections),
            )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        self._listener = await open_when_free(
            lambda: open_server(self._make_protocol, address=address),
            part="callers",
            address=address,
        )

    def _make_protocol(self) -> CallerProtocol:
        protocol = CallerProtocol(
            server=self._server,
            clock=self._clock,
            on_end=self._on_end,
            on_open=self._make_room,
            head_bytes=self._rules.header_bytes,
            context=self._context,
        )
        protocol.on_evicted = self._count_evicted
        return protocol

    def _count_evicted(self) -> None:
        self._evicted += 1

    def _on_end(self, protocol: CallerProtocol, unhandled: Sequence[web.BaseRequest]) -> None:
        self._evicted -= protocol.is_evicted
        self._unserved.log_connection(protocol, unhandled)

    def _make_room(self, opened: CallerProtocol) -> None:
        """Close connections that serve nobody if a new one is one too many."""
        if self._limits is None or self._limits.has_descriptors:
            return
        others = [one for one in self._connections if one is not opened]
        now = self._clock.now()
        uploads = self._limits.uploads
        has_closed = (
            close_unserved(others)
            or uploads.close_one(now=now, is_stalled=True)
            or close_idle_one(others)
            or uploads.close_one(now=now)
        )
        if not has_closed:
            opened.end_at_once()

    def close_idle(self, *, limit_ms: int | None = None, interval_ms: int = 0) -> None:
        """Close connections that have been idle for too long, or send a head for too long.

        :param limit_ms: Longest idle time; ``None`` uses the configured idle timeout.
        :param interval_ms: Interval of the checks in milliseconds.
        """
        self._idle.close(
            self._connections,
            idle_timeout_ms=self._rules.idle_timeout_ms() if limit_ms is None else limit_ms,
            header_timeout_ms=self._rules.header_timeout_ms(),
            interval_ms=interval_ms,
        )

    @property
    def _connections(self) -> list[CallerProtocol]:
        return get_connections(self._server)

    def _get_transports(self) -> list[asyncio.Transport]:
        transports = (protocol.transport for protocol in self._server.connections)
        return [transport for transport in transports if transport is not None]

    def begin_shutdown(self) -> None:
        """Close every connection after its response from now on."""
        self._stopping_since = self._clock.now()

    async def stop_listening(self) -> None:
        """Accept the connections that wait, then no more."""
        await close_listener(self._listener, make_protocol=self._make_protocol)

    def drain(self, *, idle_ms: int) -> bool:
        """Close connections that have been idle for at least a given time.

        :param idle_ms: Idle time in milliseconds; a request may be in transit on a connection that
            was used more recently.
        :returns: Whether no connection is left.
        """
        self.close_idle(limit_ms=idle_ms, interval_ms=DRAIN_POLL_INTERVAL_MS)
        return not self._server.connections

    def has_unanswered(self) -> bool:
        """Return whether a request has arrived whose response has not begun."""
        return has_unanswered(self._connections)

    async def close(self) -> None:
        """Cancel all handlers, close all connections and stop the server."""
        uses = [protocol.use for protocol in self._connections]
        handlers = [use.handler for use in uses if use.handler is not None]
        for handler in handlers:
            handler.cancel()
        if handlers:
            await asyncio.wait(handlers, timeout=SHUTDOWN_TIMEOUT_S)
        for protocol in self._connections:
            self._log_unread(protocol)
            protocol.force_close()
        await self._runner.cleanup()

    def _log_unread(self, protocol: CallerProtocol) -> None:
        """Log a response that its caller has not read completely as its connection is closed."""
        if protocol.unread_bytes:
            protocol.is_unread_logged = True
            _log.warning(
                "A caller has not read its response as the host ends.",
                request=protocol.use.request,
                unread_bytes=protocol.unread_bytes,
                is_complete=not protocol.use.is_handling,
            )

    async def _track(self, request: web.BaseRequest) -> web.StreamResponse:
        assert isinstance(request.protocol, CallerProtocol)
        use = request.protocol.use
        use.begin_request()
        try:
            response = await self._handle(request, use)
            error = request.content.exception()
            if isinstance(error, web.RequestPayloadError):
                self._unserved.log(request, has_begun=True, detail=repr(error))
            return response
        except BaseException as error:
            if use.request is None and not use.has_begun_response:
                self._unserved.log(request, has_begun=True, detail=repr(error))
            raise
        finally:
            request.protocol.end_request()


async def serve_readiness(
    *,
    is_ready: Callable[[], bool],
    address: str,
    clock: Clock,
    context: InputContext | None = None,
) -> web.ServerRunner:
    """Serve the readiness check, by which the platform decides whether to send connections here.

    :param is_ready: Returns whether the host accepts new connections.
    :param address: IP address and port to listen on.
    :param clock: Clock that measures idle times.
    :param context: What connections of all listeners share; ``None`` for nothing.
    :returns: The runner; its ``cleanup`` stops the server.
    """

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if is_ready() else 503)

    runner = web.ServerRunner(GatedServer(handle, clock=clock, context=context))
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner
