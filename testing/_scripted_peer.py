"""An HTTP/1.1 server whose answers tests choose byte by byte, on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
import socket
import struct
from typing import final

from standins._common import LOOPBACK
from tanagerscale.platform._headers import REQUEST_ID


@dataclass(frozen=True, kw_only=True)
class PeerRequest:
    """A request that the server has read.

    :param connection: Number of its connection, from 0.
    :param number: Number of the request on its connection, from 0.
    :param method: HTTP method.
    :param target: Path and query.
    :param headers: Header fields, by name in lower case.
    :param body: The body.
    """

    connection: int
    number: int
    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Id of the request; empty if it has none."""
        return self.headers.get(REQUEST_ID.lower(), "")


@dataclass(frozen=True, kw_only=True)
class Late:
    """Bytes that are sent some time later, whatever is exchanged meanwhile.

    :param delay_s: Time in seconds.
    :param data: The bytes.
    """

    delay_s: float
    data: bytes


@dataclass(frozen=True, kw_only=True)
class Pause:
    """A wait before the next part, so that it arrives by itself.

    :param wait_s: Time in seconds.
    """

    wait_s: float


@dataclass(frozen=True, kw_only=True)
class Until:
    """A wait before the next part until an event is set.

    :param event: The event.
    """

    event: asyncio.Event


class Reset:
    """The end of the connection by a reset."""


Part = bytes | Late | Pause | Until | Reset
Answer = Callable[[PeerRequest], Sequence[Part]]


@final
class ScriptedPeer:
    """Answers each request with the parts that a test chooses.

    :param answer: Returns what is sent after a request; the connection ends after ``b""``
        or ``Reset``.
    """

    def __init__(self, answer: Answer) -> None:
        self.answer = answer
        self.address = ""
        self.requests: list[PeerRequest] = []
        self._connections = 0

    @property
    def connections(self) -> int:
        """Connections that were opened."""
        return self._connections

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        connection, number = self._connections, 0
        self._connections += 1
        try:
            while True:
                request = await _read_request(reader, connection, number)
                number += 1
                self.requests.append(request)
                for part in self.answer(request):
                    if part == b"":
                        return
                    if isinstance(part, Reset):
                        _reset(writer)
                        return
                    await _send(writer, part)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # asyncio logs a connection's task that ends as cancelled.
            return
        finally:
            writer.close()


async def _send(writer: asyncio.StreamWriter, part: bytes | Late | Pause | Until) -> None:
    if isinstance(part, bytes):
        writer.write(part)
    elif isinstance(part, Pause):
        await asyncio.sleep(part.wait_s)
    elif isinstance(part, Until):
        await part.event.wait()
    else:
        asyncio.get_running_loop().call_later(part.delay_s, writer.write, part.data)


def _reset(writer: asyncio.StreamWriter) -> None:
    without_linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, without_linger)
    writer.transport.abort()


async def _read_request(reader: asyncio.StreamReader, connection: int, number: int) -> PeerRequest:
    head = (await reader.readuntil(b"\r\n\r\n"))[:-4]
    length = decode_request(head, b"", connection, number).headers.get("content-length", 0)
    return decode_request(head, await reader.readexactly(int(length)), connection, number)


def decode_request(head: bytes, rest: bytes, connection: int, number: int) -> PeerRequest:
    """Return a request.

    :param head: Its head, without the empty line.
    :param rest: What follows; may be longer than the body.
    :param connection: Number of its connection.
    :param number: Number of the request on its connection.
    """
    request_line, *lines = head.decode().split("\r\n")
    method, target, _ = request_line.split(" ")
    fields = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in fields}
    return PeerRequest(
        connection=connection,
        number=number,
        method=method,
        target=target,
        headers=headers,
        body=rest[: int(headers.get("content-length", 0))],
    )


@asynccontextmanager
async def run_scripted_peer(answer: Answer) -> AsyncIterator[ScriptedPeer]:
    """Run a server.

    :param answer: Returns what is sent after a request.
    """
    peer = ScriptedPeer(answer)
    server = await asyncio.start_server(peer.serve, LOOPBACK, 0)
    peer.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
    try:
        yield peer
    finally:
        server.close()


def encode_answer(
    *, status: int = 200, id: str = "", body: bytes = b"", fields: Sequence[tuple[str, str]] = ()
) -> bytes:
    """Return a response with a length.

    :param status: HTTP status.
    :param id: Id of the request that it answers; empty leaves it out.
    :param body: The body.
    :param fields: Further header fields.
    """
    echoed = ((REQUEST_ID, id),) if id else ()
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (*echoed, *fields)]
    return "\r\n".join([*lines, "", ""]).encode() + body
