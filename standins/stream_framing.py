"""Framings of streams, and the ways in which upstreams close the connection of a stream."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from enum import unique
from random import Random
import socket
import struct
from typing import Final
from typing import final

from aiohttp import HttpVersion10
from aiohttp import HttpVersion11
from aiohttp import web

RESET_AT_CLOSE: Final = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a closed connection is reset."""
CLOSING_SHARE: Final = 0.6
"""Part of the streams that end with their connection, unless an upstream is told otherwise."""
HTTP_1_0_SHARE: Final = 0.4
"""Part of those that are sent as HTTP/1.0."""
RESET_SHARE: Final = 0.3
"""Part of the streams whose connection is reset when they are cut."""


@unique
class Framing(Enum):
    """How the end of a stream is marked."""

    CHUNKS = "chunks"
    CLOSE = "close"
    CLOSE_HTTP_1_0 = "close, HTTP/1.0"


class _ClosingResponse(web.StreamResponse):
    """A response without length or chunks, whose body ends with its connection."""

    # aiohttp sends chunks in HTTP/1.1 if it checks the length of a body without one.
    _length_check = False

    def __init__(self, *, headers: Mapping[str, str], framing: Framing) -> None:
        super().__init__(headers=headers)
        is_old = framing is Framing.CLOSE_HTTP_1_0
        self._http_version = HttpVersion10 if is_old else HttpVersion11
        self.force_close()

    async def _write_headers(self) -> None:
        assert self._payload_writer is not None
        major, minor = self._http_version
        status_line = f"HTTP/{major}.{minor} {self.status} {self.reason}"
        await self._payload_writer.write_headers(status_line, self.headers)


@final
@dataclass(frozen=True, slots=True)
class StreamWay:
    """How a stream is sent, and how its connection is closed when it is cut.

    :param framing: How its end is marked.
    :param is_reset: Whether its connection is reset when it is cut.
    """

    framing: Framing = Framing.CHUNKS
    is_reset: bool = False

    def make_response(self, headers: Mapping[str, str]) -> web.StreamResponse:
        """Return a response to which the events of the stream can be written.

        :param headers: Its header fields.
        """
        if self.framing is not Framing.CHUNKS:
            return _ClosingResponse(headers=headers, framing=self.framing)
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        return response

    def cut(self, transport: asyncio.BaseTransport | None, *, is_stopped: bool = True) -> None:
        """Close the connection of the stream after what was written, or reset it.

        :param transport: Its connection; ``None`` if that is closed already.
        :param is_stopped: Whether a host has stopped the run. Only a reset tells hosts that the
            upstream has ended a run early by itself, unless the stream is sent in chunks.
        """
        if not isinstance(transport, asyncio.Transport):
            return
        if self.is_reset or not (is_stopped or self.framing is Framing.CHUNKS):
            reset(transport)
        else:
            transport.close()


CHUNKED: Final = StreamWay()


@final
class StreamConnections:
    """Open connections of an upstream, each with how its last answer is sent."""

    def __init__(self) -> None:
        self._ways: dict[asyncio.Transport, StreamWay] = {}

    def __iter__(self) -> Iterator[asyncio.Transport]:
        return iter(self._ways)

    def begin(self, request: web.BaseRequest, way: StreamWay = CHUNKED) -> None:
        """Record how the answer to a request is sent.

        :param request: The request.
        :param way: How its answer is sent.
        """
        self._ways = {one: way for one, way in self._ways.items() if not one.is_closing()}
        if isinstance(request.transport, asyncio.Transport):
            self._ways[request.transport] = way

    def crash(self) -> None:
        """Close all connections as the system does when the upstream is killed."""
        for transport, way in self._ways.items():
            if way.is_reset:
                reset(transport)
            else:
                transport.abort()
        self._ways.clear()

    def break_off(self, *, is_reset: bool) -> None:
        """Close all connections while the upstream goes on.

        :param is_reset: Whether those whose end would complete an answer are reset.
        """
        for transport, way in self._ways.items():
            if is_reset and way.framing is not Framing.CHUNKS:
                reset(transport)
            else:
                transport.abort()
        self._ways.clear()


@final
class StreamFramings:
    """Chooses the way of each stream by its request and upstream, so that a seed repeats.

    :param seed: Seed of the choices.
    :param share: Part of the streams that end with their connection; 0 sends all in chunks.
    """

    def __init__(self, *, seed: str = "", share: float = CLOSING_SHARE) -> None:
        self._seed = seed
        self._share = share

    def choose(self, *, upstream: str, request: str) -> StreamWay:
        """Return how the stream of a request is sent.

        :param upstream: Id of the upstream.
        :param request: Id of the request.
        """
        if not self._share:
            return CHUNKED
        rng = Random(f"{self._seed}/{upstream}/{request}")
        is_closing, is_old = rng.random() < self._share, rng.random() < HTTP_1_0_SHARE
        is_reset = rng.random() < RESET_SHARE
        if not is_closing:
            return StreamWay(Framing.CHUNKS, is_reset)
        return StreamWay(Framing.CLOSE_HTTP_1_0 if is_old else Framing.CLOSE, is_reset)


def reset(transport: asyncio.Transport) -> None:
    """Reset a connection; ``abort`` alone closes it properly if all that came was read.

    :param transport: The connection.
    """
    if (connection := transport.get_extra_info("socket")) is not None and not (
        transport.is_closing()
    ):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    transport.abort()
