"""Connections of callers and of other hosts, which know whether they are in use."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import final

from aiohttp import web
from msgspec import Struct

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import find_unread

MAX_KEEPALIVE_S: Final = 3600.0
"""Above any idle timeout that can be configured; the server enforces the configured one."""
MAX_HEAD_BYTES: Final = 64 * 1024
"""Above any limit for the head of a request that can be configured."""


class ConnectionUse(Struct, kw_only=True, eq=False):
    """How a caller uses a connection.

    :param opened: When the connection was accepted.
    :param last_active: When data last arrived on it or a response ended.
    :param idle_ms: Time without a request as the checks for idle connections have seen it.
    :param requests: Number of requests that have been handled on it.
    :param is_handling: Whether a request on it is being handled.
    :param has_begun_response: Whether the response to the request that is being handled has begun.
    :param has_unhandled_data: Whether data of a request has arrived whose handling has not begun.
    :param must_close: Whether to close it after its next response.
    :param request: The last request that was read on it; ``None`` before that.
    :param handler: Task that handles a request on it; ``None`` while there is none.
    """

    opened: Millis
    last_active: Millis
    idle_ms: int = 0
    requests: int = 0
    is_handling: bool = False
    has_begun_response: bool = False
    has_unhandled_data: bool = False
    must_close: bool = False
    request: RequestId | None = None
    handler: asyncio.Task[Any] | None = None

    @property
    def is_unanswered(self) -> bool:
        """Whether a request has been read, at least in part, whose response has not begun."""
        return self.has_unhandled_data or (self.is_handling and not self.has_begun_response)

    def begin_request(self) -> None:
        """Record that the current task begins to handle a request."""
        self.is_handling = True
        self.has_begun_response = False
        self.handler = asyncio.current_task()
        self.has_unhandled_data = False

    def begin_response(self) -> None:
        """Record that the response to the request has begun."""
        self.has_begun_response = True

    def end_request(self, *, now: Millis) -> None:
        """Record that the handling of a request has ended."""
        self.is_handling = False
        self.handler = None
        self.requests += 1
        self.record_activity(now=now)

    def record_activity(self, *, now: Millis) -> None:
        """Record that data has arrived or a response has ended."""
        self.last_active = now
        self.idle_ms = 0

    def add_idle_time(self, *, now: Millis, limit_ms: int) -> None:
        """Count the time since the last check for idle connections, or since the last activity.

        :param now: Current time.
        :param limit_ms: Longest time to count. An event loop that stood still for longer has not
            seen what arrived meanwhile.
        """
        self.idle_ms += min(now - self.last_active, limit_ms)


@final
class CallerProtocol(web.RequestHandler):
    """HTTP protocol of one connection.

    :param server: Server that handles the requests.
    :param clock: Clock that measures idle times.
    """

    def __init__(self, *, server: web.Server, clock: Clock) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            auto_decompress=False,
            keepalive_timeout=MAX_KEEPALIVE_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            access_log=None,  # type: ignore[arg-type]
        )
        self._clock = clock
        self._own_transport: asyncio.Transport | None = None
        self.use = ConnectionUse(opened=clock.now(), last_active=clock.now())

    @property
    def unread_bytes(self) -> int:
        """Bytes of responses that wait to be sent, also after the server has closed it."""
        transport = self._own_transport
        return 0 if transport is None else transport.get_write_buffer_size()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, which the server forgets as it closes the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._own_transport = transport
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Record that the connection is in use before any of the data is handled."""
        if not self.use.is_handling:
            self.use.has_unhandled_data = True
        self.use.record_activity(now=self._clock.now())
        super().data_received(data)


def get_connections(server: web.Server) -> list[CallerProtocol]:
    """Return the open connections of a server."""
    connections = server.connections
    return [protocol for protocol in connections if isinstance(protocol, CallerProtocol)]


def has_unread(connections: Sequence[CallerProtocol]) -> bool:
    """Return whether input waits to be read on a connection that handles no request."""
    idle = [one.transport for one in connections if not one.use.is_handling]
    return bool(find_unread(transport for transport in idle if transport is not None))


def has_unanswered(connections: Sequence[CallerProtocol]) -> bool:
    """Return whether a request has arrived whose response has not begun."""
    return any(one.use.is_unanswered for one in connections) or has_unread(connections)
