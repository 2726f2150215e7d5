"""The server that callers connect to."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

from aiohttp import web

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.gateway._caller_edge import CallerEdge
from tanagerscale.gateway._edges import CallerCodec
from tanagerscale.gateway._edges import CallerRules
from tanagerscale.gateway._edges import Serve

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


@final
class CallerServer:
    """Accepts callers and ends connections that are idle for too long.

    :param serve: Answers one request.
    :param codec: Decodes requests.
    :param rules: What callers may do.
    :param clock: Time.
    """

    def __init__(
        self, *, serve: Serve, codec: CallerCodec, rules: CallerRules, clock: Clock
    ) -> None:
        self._rules = rules
        self._clock = clock
        self._stopping = False
        self._idle_since: dict[asyncio.BaseProtocol, Millis | None] = {}
        """Each connection with the time since when it is idle; ``None`` while it is answered."""
        edge = CallerEdge(
            serve=serve,
            codec=codec,
            rules=rules,
            is_stopping=lambda: self._stopping,
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
