"""Server that resets connections beyond its limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from aiohttp import web

from standins.stream_framing import reset


class LimitedServer(web.Server):
    """A server that resets connections that it doesn't accept as soon as they are open."""

    def __init__(self, handler: Any, **options: Any) -> None:
        super().__init__(handler, **options)
        self.accepts: Callable[[str, int], bool] = lambda _ip, _accepted: True
        """Returns whether a connection from an IP address is accepted, given how many are."""
        self._accepted: set[web.RequestHandler] = set()

    def connection_made(self, handler: web.RequestHandler, transport: asyncio.Transport) -> None:
        """Accept or reset a new connection."""
        super().connection_made(handler, transport)
        if self.accepts(transport.get_extra_info("peername")[0], len(self._accepted)):
            self._accepted.add(handler)
            return
        reset(transport)

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Free the place of a connection."""
        self._accepted.discard(handler)
        super().connection_lost(handler, exc)
