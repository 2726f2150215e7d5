"""A callers' server without a network, whose callers read and send at given speeds."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

from aiohttp import web
from prometheus_client import CollectorRegistry

from tanagerscale.core import Clock
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Responder
from tanagerscale.gateway._caller_server import CallerServer
from tanagerscale.gateway._connections import CallerProtocol
from tanagerscale.gateway._host_limits import HostLimits
from tanagerscale.gateway._platform import CallerRules
from tanagerscale.policy import make_host_budget
from testing.test_gateway_http import Codec

MAX_BODY_BYTES = 4 << 20
READ_INTERVAL_S = 0.1


class MemoryCaller(asyncio.Transport):
    """The transport of a caller's connection, and the caller behind it.

    :param bytes_per_s: Speed at which the caller reads; ``None`` reads at once.
    """

    def __init__(self, *, bytes_per_s: int | None = None) -> None:
        super().__init__()
        self._bytes_per_s = bytes_per_s
        self._unsent = b""
        self._high, self._low = 64 * 1024, 16 * 1024
        self._is_writing_paused = False
        self._is_closed = False
        self.is_reading_paused = False
        self.received = b""

    def connect(self, protocol: CallerProtocol) -> None:
        """Connect to a server."""
        self.protocol = protocol
        protocol.connection_made(self)
        if self._bytes_per_s is not None:
            asyncio.get_running_loop().call_later(READ_INTERVAL_S, self._read)

    async def send(self, data: bytes, *, chunk_bytes: int = 64 * 1024) -> None:
        """Send a request, as fast as the server reads it."""
        for start in range(0, len(data), chunk_bytes):
            while self.is_reading_paused:
                await asyncio.sleep(0.001)
            if self._is_closed:
                return
            self.protocol.data_received(data[start : start + chunk_bytes])
            await asyncio.sleep(0)

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Accept bytes of the response."""
        if self._bytes_per_s is None:
            self.received += bytes(data)
            return
        self._unsent += bytes(data)
        if len(self._unsent) > self._high and not self._is_writing_paused:
            self._is_writing_paused = True
            self.protocol.pause_writing()

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the caller has not read."""
        return len(self._unsent)

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the sizes at which writing pauses and resumes."""
        assert high is not None
        assert low is not None
        self._high, self._low = high, low

    def can_write_eof(self) -> bool:
        """Return that the sending direction can't be ended by itself."""
        return False

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self._is_closed

    def close(self) -> None:
        """Close the connection."""
        if not self._is_closed:
            self._is_closed = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    abort = close

    def pause_reading(self) -> None:
        """Stop the caller from sending."""
        self.is_reading_paused = True

    def resume_reading(self) -> None:
        """Let the caller send on."""
        self.is_reading_paused = False

    def _read(self) -> None:
        assert self._bytes_per_s is not None
        size = int(self._bytes_per_s * READ_INTERVAL_S)
        self.received += self._unsent[:size]
        self._unsent = self._unsent[size:]
        if self._is_writing_paused and len(self._unsent) <= self._low:
            self._is_writing_paused = False
            self.protocol.resume_writing()
        if not self._is_closed:
            asyncio.get_running_loop().call_later(READ_INTERVAL_S, self._read)


class LimitedHost:
    """A server with the limits of a host.

    :param serve: Serves the requests.
    """

    def __init__(
        self,
        *,
        serve: Callable[[CallerRequest, Responder], Awaitable[None]],
        memory_mb: float = 0,
        file_descriptors: float = 0,
        link_mbps: float = 0,
    ) -> None:
        self.budget, _ = make_host_budget(
            memory_mb=memory_mb, file_descriptors=file_descriptors, link_mbps=link_mbps
        )
        self.clock = Clock()
        self.other_connections = 0
        self.limits = HostLimits(
            budget=self.budget,
            clock=self.clock,
            rng=Random(1),
            registry=CollectorRegistry(),
            count_other_connections=lambda: self.other_connections,
        )
        rules = CallerRules(
            body_bytes=lambda: MAX_BODY_BYTES,
            header_timeout_ms=lambda: 20_000,
            idle_timeout_ms=lambda: 60_000,
        )
        self.server = CallerServer(
            serve=serve, codec=Codec(), rules=rules, clock=self.clock, limits=self.limits
        )
        self.server._server = web.Server(self.server._track, handler_cancellation=True)
        self.limits.observe_callers(
            get_transports=self.server._get_transports,
            count=lambda: len(self.server._server.connections),
        )

    def accept(self, caller: MemoryCaller) -> MemoryCaller:
        """Accept the connection of a caller."""
        caller.connect(CallerProtocol(server=self.server._server, clock=self.clock))
        return caller

    @property
    def accounted_bytes(self) -> int:
        """What the host counts as used for requests."""
        use = self.limits.measure()
        return use.held_bytes + use.outgoing_bytes
