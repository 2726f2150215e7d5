"""Closed-loop callers that keep using their connections to hosts on the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from itertools import count
from random import Random
import socket
from typing import final

from multidict import CIMultiDict

from standins.platform_hosts import PlatformHostProcess
from standins.platform_world import API_KEY
from standins.platform_world import HOST_NAME
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import NOTES_SERVICE
from standins.platform_world import PLAIN_SERVICE
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock

LONG_TOKENS = "500,2000"
SHORT_TOKENS = "100,40"
CONNECT_TIMEOUT_S = 1.0
GIVE_UP_MARGIN_MS = 1_000
"""Time past its deadline after which a caller closes the connection of an unanswered request."""
PAUSE_RANGE_MS = (10, 120)
LONG_PAUSE_RANGE_MS = (120, 1_500)
LONG_PAUSE_SHARE = 0.05
SLOW_BYTES_PER_S = 1_000
"""How fast slow callers read the body of an answer."""
SLOW_BUFFER_BYTES = 1_024
"""Buffers of slow callers, so that what they have not read stays at the host."""
RETRY_PAUSE_MS = 100
PART_BYTES = 65_536
MAX_ANSWER_BYTES = 4_194_304
"""Length of an answer beyond which its caller leaves."""
CALLER_PARTS = 8
"""Number of parts that stand for the callers of a service."""
REFUSED_STATUSES = frozenset((408, 421, 429, 503))
"""Statuses that promise that the request was not executed and never will be."""


@unique
class CallKind(Enum):
    """Kind of a request, which selects its route."""

    UNSAFE = "book"
    SAFE = "read"
    SHORT = "note"
    LONG = "draft"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self in (CallKind.SHORT, CallKind.LONG)

    @property
    def service(self) -> str:
        """Service to which the route leads."""
        services = {CallKind.LONG: MODEL_SERVICE, CallKind.SHORT: NOTES_SERVICE}
        return services.get(self, PLAIN_SERVICE)

    @property
    def first_part(self) -> str:
        """First part of its prompts, in hexadecimal."""
        return "a1" if self is CallKind.LONG else "a2"

    @property
    def deadline_ms(self) -> int:
        """How long a caller waits, in milliseconds."""
        return 12_000 if self.is_stream else 3_000


@dataclass(slots=True)
class Call:
    """One request and what its caller saw.

    :param request: Id of the request.
    :param kind: Kind of the request.
    :param host: Host to which it was sent.
    :param sent: Monotonic time at which its last byte was sent.
    :param status: Status of the answer; 0 when there is none.
    :param headers: Header fields of the answer.
    :param body: Bytes of the body received.
    :param head_at: Monotonic time at which the head of the answer was received.
    :param ended: Monotonic time at which the answer or the connection ended.
    :param is_complete: Whether the answer came to its proper end.
    :param gave_up: Whether the caller closed the connection, after the deadline or as the answer
        was too long.
    :param parts: Parts of its prompt in order; empty if it names none.
    :param key: API key of the caller's account.
    :param may_be_denied: Whether the key may not be valid.
    :param is_slow: Whether the caller reads the answer slowly.
    :param pause_ms: Longest time between two parts of the answer, in milliseconds.
    """

    request: str
    kind: CallKind
    host: str
    sent: int
    status: int = 0
    headers: CIMultiDict[str] = field(default_factory=CIMultiDict)
    body: bytearray = field(default_factory=bytearray)
    head_at: int = 0
    ended: int = 0
    is_complete: bool = False
    gave_up: bool = False
    parts: tuple[str, ...] = ()
    key: str = API_KEY
    may_be_denied: bool = False
    is_slow: bool = False
    pause_ms: int = 0

    @property
    def content(self) -> bytes:
        """Body of the request; requests whose prompts have parts are all different."""
        return f"content of {self.request}".encode() if self.parts else b"content"


@final
class Connection:
    """A keep-alive connection to one host.

    :param host: Name of the host.
    :param reader: Reader of the connection.
    :param writer: Writer of the connection.
    """

    def __init__(
        self, *, host: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.host = host
        self.key = API_KEY
        self.is_slow = False
        self._reader = reader
        self._writer = writer

    def close(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def send(self, call: Call) -> None:
        """Send a request."""
        method, body = ("GET", b"") if call.kind is CallKind.SAFE else ("POST", call.content)
        lines = [
            f"{method} /{call.kind.value}/x HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"Authorization: Bearer {call.key}",
            f"Tanagerscale-Attempt-Id: {call.request}",
            f"Tanagerscale-Deadline-Remaining: {call.kind.deadline_ms}",
            f"Content-Length: {len(body)}",
        ]
        if call.kind.is_stream:
            tokens = LONG_TOKENS if call.kind is CallKind.LONG else SHORT_TOKENS
            lines += ["Tanagerscale-Model: m", f"Tanagerscale-Token-Usage: {tokens}"]
        if call.parts:
            prefix = ",".join(f"{part}:20" for part in call.parts)
            lines.append(f"Tanagerscale-Prompt-Prefix: {prefix}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)

    async def receive(self, call: Call, clock: Clock) -> None:
        """Read the answer to a request into its record.

        :raises EOFError: If the connection ends early.
        :raises OSError: If the connection is reset.
        :raises ValueError: If the bytes are not an HTTP answer.
        """
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        call.head_at = clock.now()
        call.status = int(head[0].split()[1])
        for line in head[1:-2]:
            name, _, value = line.partition(":")
            call.headers.add(name, value.strip())
        if call.headers.get("Transfer-Encoding", "").lower() == "chunked":
            last_at = call.head_at
            while size := await self._receive_chunk(call):
                call.pause_ms = max(call.pause_ms, clock.now() - last_at)
                last_at = clock.now()
                if call.is_slow:
                    await clock.sleep(size * MS_PER_SECOND // SLOW_BYTES_PER_S)
        else:
            await self._receive_whole(call, int(call.headers["Content-Length"]))
        call.is_complete = True

    async def _receive_chunk(self, call: Call) -> int:
        size = int(await self._reader.readuntil(b"\r\n"), 16)
        chunk = await self._reader.readexactly(size + 2)
        _add(call, chunk[:size])
        return size

    async def _receive_whole(self, call: Call, length: int) -> None:
        while length:
            part = await self._reader.read(min(length, PART_BYTES))
            if not part:
                raise EOFError
            length -= len(part)
            _add(call, part)


def _add(call: Call, part: bytes) -> None:
    call.body += part
    if len(call.body) > MAX_ANSWER_BYTES:
        raise TimeoutError("the answer is longer than its caller takes")


@final
class PlatformCallers:
    """Callers that each send one request after another.

    :param hosts: Hosts to which they connect.
    :param rng: Random number generator from which each caller gets its own.
    :param has_parts: Whether prompts name their parts, and no two requests for streams are alike.
    """

    def __init__(
        self, *, hosts: list[PlatformHostProcess], rng: Random, has_parts: bool = False
    ) -> None:
        self._has_parts = has_parts
        self.accounts: Mapping[str, int] = {}
        """API keys of several accounts, each with how often callers use it."""
        self.calls: list[Call] = []
        self._hosts = hosts
        self._rng = rng
        self._clock = Clock()
        self._numbers = count(1)
        self._tasks: list[asyncio.Task[None]] = []
        self._is_finishing = False

    def start(self, weights: dict[CallKind, int], callers: int, *, are_slow: bool = False) -> None:
        """Start callers.

        :param weights: How often they send each kind of request.
        :param callers: Number of callers.
        :param are_slow: Whether they read answers slowly.
        """
        for _ in range(callers):
            rng = Random(self._rng.random())
            self._tasks.append(asyncio.create_task(self._run(weights, rng, is_slow=are_slow)))

    async def finish(self) -> None:
        """Let each caller finish its request and wait until all have ended."""
        self._is_finishing = True
        await asyncio.gather(*self._tasks)

    async def call_once(self, kind: CallKind, rng: Random, *, part: str) -> None:
        """Send one request with a part of its own beside those of its kind and a caller.

        :param kind: Its kind.
        :param rng: Random number generator that selects host and caller.
        :param part: The part.
        """
        connection = await self._connect(rng)
        if connection is None:
            return
        caller = f"{rng.randrange(CALLER_PARTS):x}"
        await self._call(kind, connection, (kind.first_part, caller, part))
        connection.close()

    async def call_newly(
        self,
        kind: CallKind,
        rng: Random,
        host: PlatformHostProcess | None,
        *,
        key: str = "",
    ) -> None:
        """Send one request on a connection of its own.

        :param kind: Its kind.
        :param rng: Random number generator that selects a host if none is given.
        :param host: The host to connect to.
        :param key: API key that may not be valid; empty for that of an account.
        """
        connection = await self._connect(rng, host)
        if connection is None:
            await self._clock.sleep(RETRY_PAUSE_MS)
            return
        connection.key = key or connection.key
        await self._call(kind, connection)
        connection.close()

    async def _run(self, weights: dict[CallKind, int], rng: Random, *, is_slow: bool) -> None:
        connection: Connection | None = None
        while not self._is_finishing:
            kind = rng.choices(list(weights), list(weights.values()))[0]
            connection = connection or await self._connect(rng, is_slow=is_slow)
            if connection is None:
                await self._clock.sleep(RETRY_PAUSE_MS)
                continue
            shared: tuple[str, ...] = ()
            if self._has_parts and kind.is_stream:
                shared = (kind.first_part, f"{rng.randrange(CALLER_PARTS):x}")
            connection.is_slow = is_slow
            if accounts := self.accounts:
                connection.key = rng.choices(list(accounts), list(accounts.values()))[0]
            call = await self._call(kind, connection, shared)
            if not call.is_complete or call.headers.get("Connection", "").lower() == "close":
                connection.close()
                connection = None
            # The request after a stream follows at once, so that it may cross a closing connection.
            if not (call.is_complete and kind.is_stream and call.status not in REFUSED_STATUSES):
                is_long = rng.random() < LONG_PAUSE_SHARE
                await self._clock.sleep(
                    rng.randint(*(LONG_PAUSE_RANGE_MS if is_long else PAUSE_RANGE_MS))
                )
        if connection is not None:
            connection.close()

    async def _connect(
        self, rng: Random, only: PlatformHostProcess | None = None, *, is_slow: bool = False
    ) -> Connection | None:
        hosts = rng.sample(self._hosts, len(self._hosts)) if only is None else [only]
        for host in hosts:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    connect = _connect_slowly if is_slow else asyncio.open_connection
                    reader, writer = await connect(*host.callers_address)
            except OSError:
                continue
            return Connection(host=host.name, reader=reader, writer=writer)
        return None

    async def _call(
        self, kind: CallKind, connection: Connection, shared: tuple[str, ...] = ()
    ) -> Call:
        call = Call(f"r{next(self._numbers)}", kind, connection.host, self._clock.now())
        call.key, call.is_slow = connection.key, connection.is_slow
        call.may_be_denied = call.key not in {API_KEY, *self.accounts}
        if shared:
            call.parts = (*shared, f"ffff{len(self.calls):x}")
        self.calls.append(call)
        connection.send(call)
        try:
            async with asyncio.timeout((kind.deadline_ms + GIVE_UP_MARGIN_MS) / MS_PER_SECOND):
                await connection.receive(call, self._clock)
        except TimeoutError:
            call.gave_up = True
        except (EOFError, OSError):
            pass
        call.ended = self._clock.now()
        return call


async def _connect_slowly(ip: str, port: int) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection whose buffers hold little."""
    connection = socket.socket()
    connection.setblocking(False)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
    try:
        await asyncio.get_running_loop().sock_connect(connection, (ip, port))
    except (OSError, asyncio.CancelledError):
        connection.close()
        raise
    return await asyncio.open_connection(sock=connection, limit=SLOW_BUFFER_BYTES)
