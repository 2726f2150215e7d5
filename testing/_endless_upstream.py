"""Upstreams whose answers have no end."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field

from aiohttp import web

from standins._common import LOOPBACK

PART = b"x" * 16_384
EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in (1, 2))
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
HUGE_LENGTH = "Content-Length: 99999999999\r\n\r\n"
MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True, kw_only=True)
class EndlessForm:
    """How an answer goes on without an end.

    :param status: Status line without the version.
    :param fields: Rest of the head after the id of the request, with the empty line.
    :param begin: Bytes after the head.
    :param more: Bytes that are repeated.
    :param is_other: Whether the answer bears the id of another request.
    """

    fields: str
    status: str = "200 OK"
    begin: bytes = b""
    more: bytes = PART
    is_other: bool = False


MORE_CHUNKS = b"4000\r\n" + PART + b"\r\n"
FORMS = {
    "huge length": EndlessForm(fields=HUGE_LENGTH),
    "chunks": EndlessForm(fields=CHUNKED, more=MORE_CHUNKS),
    "no length": EndlessForm(fields="\r\n"),
    "events, then none": EndlessForm(fields="\r\n", begin=EVENTS),
    "failure in chunks": EndlessForm(
        status="500 Internal Server Error", fields=CHUNKED, more=MORE_CHUNKS
    ),
    "client error without length": EndlessForm(status="404 Not Found", fields="\r\n"),
    "not executed, in chunks": EndlessForm(
        status="503 Service Unavailable",
        fields="Tanagerscale-Not-Executed: 1\r\n" + CHUNKED,
        more=MORE_CHUNKS,
    ),
    "answer to another request": EndlessForm(fields=CHUNKED, more=MORE_CHUNKS, is_other=True),
}


@dataclass(kw_only=True, eq=False)
class EndlessUpstream:
    """An upstream that answers each request without an end, as fast as it is read.

    :param name: Id of the upstream.
    :param form: Form of its answers.
    :param answers: Number of answers that it has begun.
    """

    name: str
    form: EndlessForm
    answers: int = 0
    address: str = ""
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and end all answers."""
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            await self._answer(writer, head)
        self._writers.discard(writer)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, head: str) -> None:
        self.answers += 1
        fields = dict(line.split(": ", 1) for line in head.splitlines()[1:] if ": " in line)
        attempt = "other" if self.form.is_other else fields.get("Tanagerscale-Attempt-Id", "")
        writer.write(
            f"HTTP/1.1 {self.form.status}\r\nTanagerscale-Server-Stamp: {self.name}\r\n"
            f"Tanagerscale-Attempt-Id: {attempt}\r\n{self.form.fields}".encode() + self.form.begin
        )
        while True:
            writer.write(self.form.more)
            await writer.drain()
            # Writing never waits while the other side reads as fast.
            await asyncio.sleep(0)


@dataclass(kw_only=True, eq=False)
class LargeUpstream:
    """An upstream that answers each request with a large body.

    :param name: Id of the upstream.
    :param body_bytes: Size of the body.
    """

    name: str
    body_bytes: int
    address: str = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, LOOPBACK, 0).start()
        self.address = f"{LOOPBACK}:{self._runner.addresses[0][1]}"

    async def stop(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        await request.read()
        attempt = request.headers.get("Tanagerscale-Attempt-Id", "")
        fields = {"Tanagerscale-Attempt-Id": attempt, "Tanagerscale-Server-Stamp": self.name}
        return web.Response(body=b"x" * self.body_bytes, headers=fields)
