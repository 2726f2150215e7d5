"""Connections of callers and of other hosts, which know whether they are in use."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import final

from aiohttp import StreamReader
from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage
from aiohttp.http import StreamWriter

from tanagerscale.core import Clock
from tanagerscale.core import find_unread
from tanagerscale.forwarding import ConnectionEnd
from tanagerscale.forwarding import ConnectionState
from tanagerscale.gateway._connection_state import measure_connection
from tanagerscale.gateway._connection_use import ConnectionUse
from tanagerscale.gateway._gated_protocol import GatedProtocol
from tanagerscale.gateway._input_context import InputContext
from tanagerscale.gateway._platform import DEFAULT_HEADER_BYTES

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

__all__ = (
    "CallerProtocol",
    "ConnectionUse",
    "get_connections",
    "handle_tracked",
    "has_unanswered",
    "has_unread",
    "make_request",
)


@final
class CallerProtocol(GatedProtocol):
    """Connection of a caller or of another host, which knows how it has ended.

    :param server: Server that handles the requests.
    :param clock: Clock that measures idle times.
    :param on_end: Called as the connection ends, with the requests that were read and whose
        handling has not begun.
    :param on_open: Called as the connection opens; closes it if there are too many.
    :param head_bytes: Returns the largest head of a request in bytes.
    :param context: What it shares with other connections; ``None`` for nothing.
    """

    def __init__(
        self,
        *,
        server: web.Server,
        clock: Clock,
        on_end: Callable[[CallerProtocol, list[web.BaseRequest]], None] | None = None,
        on_open: Callable[[CallerProtocol], None] | None = None,
        head_bytes: Callable[[], int] = lambda: DEFAULT_HEADER_BYTES,
        context: InputContext | None = None,
    ) -> None:
        super().__init__(server=server, clock=clock, head_bytes=head_bytes, context=context)
        self._on_end = on_end
        self._on_open = on_open
        self._own_task: asyncio.Task[None] | None = None
        self._last_state: ConnectionState | None = None
        """State of the connection as it ended; ``None`` before."""
        self.is_unread_logged = False
        """Whether a line tells of a response that the caller has not read."""

    @property
    def unread_bytes(self) -> int:
        """Bytes of responses that the caller's side has not acknowledged."""
        return measure_connection(self._own_transport).unread_response_bytes

    @property
    def state(self) -> ConnectionState:
        """State of the connection, also after it has ended."""
        return self._last_state or measure_connection(self._own_transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the task, which the server forgets as it closes the connection."""
        super().connection_made(transport)
        self._own_task = self._task_handler
        if self._on_open is not None:
            self._on_open(self)

    def eof_received(self) -> None:
        """Record that the caller has ended the connection."""
        self._record_end(ConnectionEnd.END_OF_FILE)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Record how the connection has ended, before its request is cancelled."""
        if isinstance(exc, OSError):
            self._record_end(ConnectionEnd.RESET, errno=exc.errno or 0)
        else:
            self._record_end(ConnectionEnd.THIS_HOST)
        if self._on_end is not None:
            self._on_end(self, self._take_unhandled())
        super().connection_lost(exc)
        self._own_task = None

    def _take_unhandled(self) -> list[web.BaseRequest]:
        """Return the requests that were read and whose handling has not begun."""
        requests = [] if self.use.next_request is None else [self.use.next_request]
        factory, task = self._request_factory, self._own_task
        if factory is None or task is None:
            return requests
        for message, payload in self._messages:
            if isinstance(message, RawRequestMessage):
                writer = StreamWriter(self, self._loop)
                requests.append(factory(message, payload, self, writer, task))
        return requests

    def _record_end(self, end: ConnectionEnd, *, errno: int = 0) -> None:
        if self._last_state is None:
            self._last_state = measure_connection(self._own_transport, end=end, errno=errno)


def handle_tracked(handle: Handler) -> Handler:
    """Return a handler that records on its connection when it begins and ends.

    :param handle: Handles requests.
    """

    async def handle_request(request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        assert isinstance(protocol, CallerProtocol)
        protocol.use.begin_request()
        try:
            return await handle(request)
        finally:
            protocol.end_request()

    return handle_request


def make_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: web.RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    """Return a request, and record on its connection that its handling is about to begin."""
    request = web.BaseRequest(message, payload, protocol, writer, task, asyncio.get_running_loop())
    assert isinstance(protocol, CallerProtocol)
    protocol.begin_request(request)
    return request


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
