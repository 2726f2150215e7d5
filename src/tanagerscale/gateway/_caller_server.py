"""HTTP server that accepts connections from callers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

from aiohttp import web

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.gateway._caller_handler import CallerRequestHandler
from tanagerscale.gateway._caller_handler import ConnectionUse
from tanagerscale.gateway._platform import CallerCodec
from tanagerscale.gateway._platform import CallerRules
from tanagerscale.gateway._platform import RequestHandler

MAX_KEEPALIVE_S: Final = 3600.0
"""Above any idle timeout that can be configured; ``close_idle`` enforces the configured one."""
MAX_HEAD_BYTES: Final = 64 * 1024
"""Above any limit for the head of a request that can be configured."""
ACCEPT_BACKLOG: Final = 1024
"""Connections that may wait to be accepted. When the backlog is full, the first packet of a new
connection is dropped and resent only after one second."""
CLOSE_GRACE_MS: Final = 30
"""Time for a request that has just been read to reach its handler; covers many iterations of the
event loop."""
SHUTDOWN_TIMEOUT_S: Final = 0.2


@final
class CallerServer:
    """Accepts connections from callers and closes those that stay idle for too long.

    :param serve: Serves one decoded request.
    :param codec: Decodes requests.
    :param rules: Limits that apply to callers.
    :param clock: Clock that measures idle times.
    """

    def __init__(
        self, *, serve: RequestHandler, codec: CallerCodec, rules: CallerRules, clock: Clock
    ) -> None:
        self._rules = rules
        self._clock = clock
        self._stopping_since: Millis | None = None
        self._uses: dict[asyncio.BaseProtocol, ConnectionUse] = {}
        edge = CallerRequestHandler(
            serve=serve,
            codec=codec,
            rules=rules,
            stopping_since=lambda: self._stopping_since,
            clock=clock,
        )
        self._handle = edge.handle

    async def start(self, *, address: str) -> None:
        """Start to accept connections.

        :param address: IP address and port to listen on.
        """
        self._server = web.Server(
            self._track,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            keepalive_timeout=MAX_KEEPALIVE_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        self._site = web.TCPSite(self._runner, host, int(port), backlog=ACCEPT_BACKLOG)
        await self._site.start()

    def close_idle(self, *, limit_ms: int | None = None) -> None:
        """Close connections that have been idle for too long.

        :param limit_ms: Longest idle time; ``None`` uses the configured idle timeout.
        """
        now = self._clock.now()
        limit = self._rules.idle_timeout_ms() if limit_ms is None else limit_ms
        present = self._server.connections
        self._uses = {protocol: self._use_of(protocol) for protocol in present}
        for protocol in present:
            use = self._uses[protocol]
            if use.idle_since is not None and now - use.idle_since > limit:
                self._close_after_grace(protocol)

    def _close_after_grace(self, protocol: web.RequestHandler) -> None:
        """Close an idle connection unless a request has just arrived on it.

        A request that has already been read gets its response, and the connection is closed after
        it. Nothing that arrives later is read.
        """
        protocol.close()
        loop = asyncio.get_running_loop()
        loop.call_later(CLOSE_GRACE_MS / MS_PER_SECOND, self._force_close_idle, protocol)

    def _force_close_idle(self, protocol: web.RequestHandler) -> None:
        use = self._uses.get(protocol)
        if use is None or use.idle_since is not None:
            protocol.force_close()

    def begin_shutdown(self) -> None:
        """Close every connection after its response from now on."""
        self._stopping_since = self._clock.now()

    async def stop_listening(self) -> None:
        """Stop accepting connections."""
        await self._site.stop()

    def drain(self, *, idle_ms: int) -> bool:
        """Close connections that have been idle for at least a given time.

        :param idle_ms: Idle time in milliseconds; a request may be in transit on a connection that
            was used more recently.
        :returns: Whether no connection is left.
        """
        self.close_idle(limit_ms=idle_ms)
        return not self._server.connections

    async def close(self) -> None:
        """Close all connections and stop the server."""
        for protocol in self._server.connections:
            protocol.force_close()
        await self._runner.cleanup()

    async def _track(self, request: web.BaseRequest) -> web.StreamResponse:
        use = self._uses.setdefault(request.protocol, self._use_of(request.protocol))
        use.idle_since = None
        try:
            return await self._handle(request, use)
        finally:
            use.requests += 1
            use.idle_since = self._clock.now()

    def _use_of(self, protocol: asyncio.BaseProtocol) -> ConnectionUse:
        """Return the use of a connection, which is idle if no request has been read on it."""
        now = self._clock.now()
        return self._uses.get(protocol) or ConnectionUse(first_seen=now, idle_since=now)


async def serve_readiness(*, is_ready: Callable[[], bool], address: str) -> web.ServerRunner:
    """Serve the readiness check, by which the platform decides whether to send connections here.

    :param is_ready: Returns whether the host accepts new connections.
    :param address: IP address and port to listen on.
    :returns: The runner; its ``cleanup`` stops the server.
    """

    async def handle(_request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(status=200 if is_ready() else 503)

    runner = web.ServerRunner(web.Server(handle, access_log=None))
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    return runner
