"""HTTP server of a listener for the platform and for operators."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from typing import final

from aiohttp import web

from tanagerscale.core import Clock
from tanagerscale.gateway._connections import CallerProtocol
from tanagerscale.gateway._connections import Handler
from tanagerscale.gateway._connections import get_connections
from tanagerscale.gateway._connections import handle_tracked
from tanagerscale.gateway._connections import make_request
from tanagerscale.gateway._idle_connections import IdleConnections
from tanagerscale.gateway._idle_connections import close_idle_one
from tanagerscale.gateway._idle_connections import close_unserved
from tanagerscale.gateway._input_context import InputContext

MAX_CONNECTIONS: Final = 64
"""Connections of one listener; the platform and operators open a few each."""

IDLE_TIMEOUT_MS: Final = 60_000
"""Above the interval at which readiness is checked and metrics are fetched."""

HEADER_TIMEOUT_MS: Final = 3000
"""Longest time for the head of a request to arrive."""


@final
class GatedServer(web.Server):
    """Serves requests on connections with the same bounds as those of callers.

    :param handle: Handles requests.
    :param clock: Clock that measures idle times.
    :param context: What connections of all listeners share; ``None`` for nothing.
    """

    def __init__(self, handle: Handler, *, clock: Clock, context: InputContext | None) -> None:
        super().__init__(handle_tracked(handle), request_factory=make_request)
        self._clock = clock
        self._context = context
        self._idle = IdleConnections(clock=clock)

    def __call__(self) -> CallerProtocol:
        """Return the protocol of a new connection."""
        return CallerProtocol(
            server=self, clock=self._clock, on_open=self._make_room, context=self._context
        )

    def close_idle(self, *, interval_ms: int) -> None:
        """Close connections that have been idle for too long, or send a head for too long.

        :param interval_ms: Interval of the checks in milliseconds.
        """
        self._idle.close(
            get_connections(self),
            idle_timeout_ms=IDLE_TIMEOUT_MS,
            header_timeout_ms=HEADER_TIMEOUT_MS,
            interval_ms=interval_ms,
        )

    def _make_room(self, opened: CallerProtocol) -> None:
        make_room(get_connections(self), opened, limit=MAX_CONNECTIONS)


def make_room(connections: Sequence[CallerProtocol], opened: CallerProtocol, *, limit: int) -> None:
    """Close a connection that serves nobody if a new one is one too many.

    :param connections: All connections.
    :param opened: The new one, which is closed if all others handle requests.
    :param limit: How many there may be.
    """
    if len(connections) <= limit:
        return
    others = [one for one in connections if one is not opened]
    if not close_unserved(others) and not close_idle_one(others):
        opened.end_at_once()
