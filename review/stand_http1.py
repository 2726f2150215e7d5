"""A minimal HTTP/1.1 server and client, so that stand-ins control each byte that they send."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

MAX_HEAD_BYTES = 256 * 1024


@dataclass
class Request:
    """A request that a stand-in has read whole.

    :param method: Method.
    :param target: Path and query.
    :param headers: Header fields by name in lower case.
    :param body: Body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@dataclass
class Response:
    """A response as its receiver saw it.

    :param status: Status; 0 if no head came.
    :param headers: Header fields by name in lower case.
    :param body: Bytes of the body that came.
    :param complete: Whether the response came to its proper end.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


class Connection:
    """One accepted connection of a server.

    :param reader: Reads from the peer.
    :param writer: Writes to the peer.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.closes = False
        self.state: dict[str, object] = {}
        """State that a stand-in keeps for the connection."""

    async def read_request(self) -> Request | None:
        """Return the next request; ``None`` at the end of the connection."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            method, target, _ = lines[0].split(" ", 2)
            headers = parse_fields(lines[1:-2])
            length = int(headers.get("content-length", "0"))
            body = await self.reader.readexactly(length) if length else b""
        except (EOFError, OSError, ValueError, asyncio.LimitOverrunError):
            return None
        return Request(method, target, headers, body)

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def respond(
        self, status: int, headers: list[tuple[str, str]] | None = None, body: bytes = b""
    ) -> None:
        """Send a complete response with a length."""
        fields = [*(headers or []), ("Content-Length", str(len(body)))]
        await self.send(encode_head(status, fields) + body)

    def reset(self) -> None:
        """Reset the connection."""
        self.closes = True
        self.writer.transport.abort()


Handler = Callable[[Connection, Request], Awaitable[None]]


class Server:
    """Accepts connections and handles the requests of each one after the other.

    The handler of a request is cancelled when its connection ends.

    :param handle: Handles one request.
    """

    def __init__(self, handle: Handler) -> None:
        self._handle = handle
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int = 0) -> str:
        """Listen and return the address."""
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=MAX_HEAD_BYTES, backlog=256
        )
        bound = self._server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def stop(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.reset()
        await asyncio.sleep(0)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = Connection(reader, writer)
        self._connections.add(connection)
        try:
            while not connection.closes:
                request = await connection.read_request()
                if request is None:
                    return
                handling = asyncio.ensure_future(self._handle(connection, request))
                handling.add_done_callback(_ignore_end)
                gone = asyncio.ensure_future(_wait_for_end(writer))
                try:
                    await asyncio.wait((handling, gone), return_when=asyncio.FIRST_COMPLETED)
                finally:
                    gone.cancel()
                    if not handling.done():
                        handling.cancel()
                try:
                    await handling
                except (OSError, EOFError, asyncio.CancelledError):
                    return
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.discard(connection)
            writer.close()


def _ignore_end(handling: asyncio.Future[None]) -> None:
    """Take note of how a handler ended, as nobody else may when its connection has ended."""
    if not handling.cancelled():
        handling.exception()


async def _wait_for_end(writer: asyncio.StreamWriter) -> None:
    """Wait until the peer has closed or reset the connection."""
    protocol = writer.transport.get_protocol()
    while not writer.transport.is_closing():
        reader = getattr(protocol, "_stream_reader", None)
        if reader is not None and reader.at_eof():
            return
        await asyncio.sleep(0.01)


def parse_fields(lines: list[str]) -> dict[str, str]:
    """Return header fields by name in lower case."""
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return fields


REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


def encode_head(status: int, fields: list[tuple[str, str]]) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body; the last one for no data."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class Caller:
    """A kept connection of a caller to a host.

    :param address: Address of the host.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(self, request: Request, timeout_s: float) -> Response:
        """Send a request and return what came, also if that is nothing."""
        response = Response()
        try:
            async with asyncio.timeout(timeout_s):
                await self._exchange(request, response)
        except (OSError, EOFError, ValueError, asyncio.LimitOverrunError):
            self.close()
        if response.headers.get("connection", "").lower() == "close":
            self.close()
        return response

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _exchange(self, request: Request, response: Response) -> None:
        if self._writer is None:
            ip, _, port = self._address.rpartition(":")
            self._reader, self._writer = await asyncio.open_connection(
                ip, int(port), limit=MAX_HEAD_BYTES
            )
        assert self._reader is not None
        fields = [f"{name}: {value}" for name, value in request.headers.items()]
        if request.body or request.method == "POST":
            fields.append(f"Content-Length: {len(request.body)}")
        head = "\r\n".join([f"{request.method} {request.target} HTTP/1.1", *fields, "", ""])
        self._writer.write(head.encode() + request.body)
        lines = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        response.headers = parse_fields(lines[1:-2])
        response.status = int(lines[0].split()[1])
        if response.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await self._reader.readuntil(b"\r\n"), 16):
                response.body += (await self._reader.readexactly(size + 2))[:size]
            await self._reader.readexactly(2)
        else:
            length = int(response.headers["content-length"])
            response.body = await self._reader.readexactly(length)
        response.complete = True
