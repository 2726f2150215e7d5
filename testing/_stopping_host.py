"""A host process that stops while callers of many kinds have requests on real sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
import socket
from typing import Any

import msgspec
from msgspec.structs import replace

from standins._common import LOOPBACK
from standins.platform_fault_log import FaultLog
from standins.platform_hosts import PlatformHostProcess
from standins.platform_world import API_KEY
from standins.platform_world import HOST_NAME
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from standins.platform_world import configuration
from standins.tcp_relay import TcpRelay
from tanagerscale.core import MS_PER_SECOND
from testing._caller_connection import CallerConnection
from testing._scripted_peer import Part
from testing._scripted_peer import Pause
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import Until
from testing._scripted_peer import encode_answer
from testing._scripted_peer import run_scripted_peer
from testing._stopping_calls import CALLERS_WITH_SMALL_BUFFERS
from testing._stopping_calls import FIRST_EVENTS
from testing._stopping_calls import LAST_CHUNK
from testing._stopping_calls import Answer
from testing._stopping_calls import Call
from testing._stopping_calls import Caller
from testing._stopping_calls import End
from testing._stopping_calls import Outcome
from testing._stopping_calls import Sent
from testing._stopping_calls import make_event
from testing._stopping_calls import make_last_part
from testing._stopping_calls import split_events

GRACE_S = 8
TIME_LEFT_MS = 39_000
LONG_TOKENS, SHORT_TOKENS = 1600, 8
SLOTS, MEMORY_TOKENS = 10_000, 100_000_000
STAMP = ("Tanagerscale-Server-Stamp", "s1")
EVENT_GAP_S = 0.05
ENDLESS_EVENTS = 1000
SETTLE_S = 1.0
"""Time from the arrival of the last request at its upstream to SIGTERM."""
BEGIN_TIMEOUT_S = 30.0
CALLS_AT_A_TIME = 20
"""Fewer than the connections that may wait to be accepted by an upstream."""
POLL_INTERVAL_S = 0.01
HTTP_UNAVAILABLE = 503
REPEAT_DELAY_S = 0.5
EJECTION_S = 4.0
"""Longer than an upstream is left out that a test process under load has accepted too slowly."""
SLOW_READ_BYTES = 1024
PAUSE_S = 3.0
AFTER_EXIT_S = 0.3
LATE_S = 0.2
HALF_CLOSE_MS = 500
LINES_PER_S = 1_000_000
BODY = b"content"


class StoppingHost:
    """Makes calls at a host process, stops it, and collects what became of them.

    :param directory: Directory for the settings and the log of the host.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._calls: dict[str, Call] = {}
        self._ends = {end: asyncio.Event() for end in End}
        self._exited = asyncio.Event()
        self._stopped_at = 0.0
        self._is_scheduled = asyncio.Event()
        self._arrived: set[str] = set()
        self._has_refusals = False
        self._address = (LOOPBACK, 0)
        self._relay_address = (LOOPBACK, 0)

    async def run(self, calls: Sequence[Call]) -> dict[str, Outcome]:
        """Make all calls around one SIGTERM; return their outcomes by id."""
        self._calls = {call.id: call for call in calls}
        platform = PlatformCluster()
        async with AsyncExitStack() as stack:
            await platform.start()
            stack.push_async_callback(platform.stop)
            platform.configure(_make_configuration())
            for service in (MODEL_SERVICE, PLAIN_SERVICE):
                peer = await stack.enter_async_context(run_scripted_peer(self._answer))
                platform.put_entry(f"{service}-1", _make_entry(service, peer.address))
            settings = await platform.make_settings("h1", seeds=(), stop_grace_s=GRACE_S)
            settings = replace(settings, logs=replace(settings.logs, lines_per_s=LINES_PER_S))
            relay = platform.store_links["h1"]
            stack.push_async_callback(relay.__aexit__)
            process = PlatformHostProcess(
                name="h1", settings=settings, directory=self._directory, fault_log=FaultLog()
            )
            await process.start()
            stack.push_async_callback(process.end)
            await process.wait_until_ready()
            self._address = process.callers_address
            callers = await stack.enter_async_context(TcpRelay(target=settings.host.callers))
            self._relay_address = (LOOPBACK, int(callers.address.rpartition(":")[2]))
            outcomes = await self._call_and_stop(process)
        self._add_lines(outcomes)
        return outcomes

    async def _call_and_stop(self, process: PlatformHostProcess) -> dict[str, Outcome]:
        tasks = await self._begin_calls()
        if self._has_refusals:
            await asyncio.sleep(EJECTION_S)
        loop = asyncio.get_running_loop()
        self._stopped_at = loop.time() + SETTLE_S
        self._is_scheduled.set()
        for end, event in self._ends.items():
            loop.call_at(self._at(end.value), event.set)
        await self._wait_until(0)
        await process.stop()
        self._exited.set()
        # A connection that the host has left open ends with its process.
        return dict(zip(tasks, await asyncio.gather(*tasks.values()), strict=True))

    async def _begin_calls(self) -> dict[str, asyncio.Task[Outcome]]:
        """Begin all calls, a few at a time, and wait until the upstreams have the early ones."""
        tasks: dict[str, asyncio.Task[Outcome]] = {}
        awaited: set[str] = set()
        for number, (id, call) in enumerate(self._calls.items(), start=1):
            tasks[id] = asyncio.create_task(self._make(call))
            if call.sent is Sent.BEFORE:
                awaited.add(id)
            if number % CALLS_AT_A_TIME == 0 or number == len(self._calls):
                await self._wait_until_arrived(awaited)
        return tasks

    async def _wait_until_arrived(self, ids: set[str]) -> None:
        """Wait until the upstreams have some requests.

        :raises AssertionError: If they do not get them all, for which no fault of the host is
            tested here.
        """
        try:
            async with asyncio.timeout(BEGIN_TIMEOUT_S):
                while not ids <= self._arrived:
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            raise AssertionError(f"not begun: {sorted(ids - self._arrived)}") from None

    def _add_lines(self, outcomes: dict[str, Outcome]) -> None:
        for text in (self._directory / "h1-01.log").read_bytes().splitlines():
            try:
                line = msgspec.json.decode(text)
            except msgspec.DecodeError:
                continue
            request = line.get("request", "")
            if request in outcomes:
                outcomes[request].lines.append(line)
            elif request.removesuffix("/next") in outcomes:
                outcomes[request.removesuffix("/next")].next_lines.append(line)

    def _at(self, after_stop_ms: float) -> float:
        return self._stopped_at + after_stop_ms / MS_PER_SECOND

    async def _wait_until(self, after_stop_ms: float) -> None:
        await self._is_scheduled.wait()
        left_s = self._at(after_stop_ms) - asyncio.get_running_loop().time()
        await asyncio.sleep(max(left_s, 0))

    async def _make(self, call: Call) -> Outcome:
        """Make a call, and repeat it if it is refused before the host stops."""
        while True:
            outcome = await self._make_once(call)
            if outcome.status != HTTP_UNAVAILABLE or self._is_scheduled.is_set():
                return outcome
            self._has_refusals = True
            await asyncio.sleep(REPEAT_DELAY_S)

    async def _make_once(self, call: Call) -> Outcome:
        connection = await CallerConnection.open(
            self._relay_address if "RELAY" in call.caller.name else self._address,
            has_small_buffer=call.caller in CALLERS_WITH_SMALL_BUFFERS,
        )
        outcome = Outcome()
        with connection.socket:
            try:
                await self._exchange(call, connection)
                outcome.ended_by = "open" if connection.is_refused else "FIN"
            except ConnectionError:
                outcome.ended_by = "RST"
        outcome.data = bytes(connection.data)
        now = asyncio.get_running_loop().time()
        outcome.after_ms = round((now - self._stopped_at) * MS_PER_SECOND)
        return outcome

    async def _exchange(self, call: Call, connection: CallerConnection) -> None:
        """Send a request and read until the connection ends."""
        if call.caller is Caller.KEPT:
            await connection.send(_encode_request(Answer.PLAIN, id="earlier"))
            await connection.read_until(b"earlier-body")
            connection.data.clear()
        if call.sent is not Sent.BEFORE:
            await self._wait_until(call.sent.value)
        await self._send(call, connection)
        if call.answer is Answer.STREAM:
            await connection.read_until(b"id: 1\n")
        if connection.is_refused:
            return
        await self._act(call, connection)
        await connection.read_all()

    async def _send(self, call: Call, connection: CallerConnection) -> None:
        caller = call.caller
        max_tokens = LONG_TOKENS if call.sent is Sent.BEFORE else SHORT_TOKENS
        request = _encode_request(call.answer, id=call.id, max_tokens=max_tokens)
        head = _encode_request(call.answer, id=call.id, framing="Transfer-Encoding: chunked")
        if caller is Caller.PIPELINED:
            await connection.send(request + _encode_next(call))
        elif caller is Caller.EXPECT:
            framing = f"Expect: 100-continue\r\nContent-Length: {len(BODY)}"
            await connection.send(_encode_request(call.answer, id=call.id, framing=framing))
            await connection.read_until(b"100 Continue\r\n\r\n")
            await connection.send(BODY)
        elif caller in (Caller.LATE_LAST_CHUNK, Caller.LATE_FINAL_CRLF, Caller.LATE_TRAILER):
            late = {
                Caller.LATE_LAST_CHUNK: LAST_CHUNK,
                Caller.LATE_FINAL_CRLF: b"\r\n",
                Caller.LATE_TRAILER: b"\r\n",
            }[caller]
            parts = b"%x\r\n%b\r\n0\r\nX-Trailer: 1\r\n\r\n" % (len(BODY), BODY)
            if caller is not Caller.LATE_TRAILER:
                parts = parts.replace(b"X-Trailer: 1\r\n", b"")
            await connection.send(head + parts.removesuffix(late))
            await asyncio.sleep(LATE_S)
            await connection.send(late)
        else:
            await connection.send(request)
        if caller in (Caller.HALF_CLOSE, Caller.RELAY_HALF_CLOSE):
            connection.socket.shutdown(socket.SHUT_WR)

    async def _act(self, call: Call, connection: CallerConnection) -> None:
        """Do what the caller does between its request and the end of the answer."""
        actions: dict[Caller, Callable[[Call, CallerConnection], Awaitable[None]]] = {
            Caller.SLOW: self._read_slowly,
            Caller.PAUSED: self._pause,
            Caller.NEXT_UNREAD: self._pause,
            Caller.CRLF_UNREAD: self._pause,
            Caller.BYTES_AT_END: self._send_around_end,
        }
        extra = {
            Caller.NEXT_DURING: _encode_next(call),
            Caller.EXTRA_CRLF: b"\r\n",
            Caller.EXTRA_BYTES: b"xyz",
        }
        if call.caller is Caller.HALF_CLOSE_DURING:
            await self._wait_until(HALF_CLOSE_MS)
            connection.socket.shutdown(socket.SHUT_WR)
        elif call.caller in actions:
            await actions[call.caller](call, connection)
        elif call.caller in extra:
            await connection.send(extra[call.caller])

    async def _read_slowly(self, call: Call, connection: CallerConnection) -> None:
        while not self._exited.is_set() and await connection.read(SLOW_READ_BYTES):
            await asyncio.sleep(1.0)
        await asyncio.sleep(AFTER_EXIT_S)

    async def _pause(self, call: Call, connection: CallerConnection) -> None:
        await self._wait_until(call.end.value + PAUSE_S * MS_PER_SECOND / 2)
        if call.caller is Caller.NEXT_UNREAD:
            await connection.send(_encode_next(call))
        elif call.caller is Caller.CRLF_UNREAD:
            await connection.send(b"\r\n")
        await self._wait_until(call.end.value + PAUSE_S * MS_PER_SECOND)

    async def _send_around_end(self, call: Call, connection: CallerConnection) -> None:
        """Send empty lines from before the end of the answer on, and read meanwhile."""
        reading = asyncio.create_task(connection.read_all())
        await self._wait_until(min(call.end.value, GRACE_S * MS_PER_SECOND) - 50)
        try:
            for _ in range(100):
                if reading.done():
                    break
                await connection.send(b"\r\n")
                await asyncio.sleep(0.002)
        except ConnectionError:
            # What has arrived before the reset is still read.
            pass
        await reading

    def _answer(self, request: PeerRequest) -> Sequence[Part]:
        """Return the parts of the answer of the upstream."""
        if not request.id:
            return [encode_answer(body=b"{}")]
        self._arrived.add(request.id)
        call = self._calls.get(request.id)
        if call is None:
            return [encode_answer(id=request.id, body=b"earlier-body", fields=[STAMP])]
        until = Until(event=self._ends[call.end])
        if call.answer is Answer.PLAIN:
            body = make_last_part(call)
            return [until, encode_answer(id=call.id, body=body, fields=[STAMP])]
        head = (
            f"HTTP/1.1 200 OK\r\n{STAMP[0]}: {STAMP[1]}\r\nTanagerscale-Attempt-Id: {call.id}\r\n"
        )
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        count = ENDLESS_EVENTS if call.end is End.NEVER else FIRST_EVENTS
        first: list[Part] = []
        for number in range(1, count + 1):
            first += [_chunk(make_event(number, b"x")), Pause(wait_s=EVENT_GAP_S)]
        last = [_chunk(piece) for piece in split_events(make_last_part(call))]
        return [head.encode(), *first, until, *last, LAST_CHUNK]


def _encode_request(
    answer: Answer, *, id: str, framing: str = "", max_tokens: int = LONG_TOKENS
) -> bytes:
    path = "/draft/x" if answer is Answer.STREAM else "/book/x"
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Authorization: Bearer {API_KEY}",
        f"Tanagerscale-Attempt-Id: {id}",
        f"Tanagerscale-Deadline-Remaining: {TIME_LEFT_MS}",
        framing or f"Content-Length: {len(BODY)}",
    ]
    if answer is Answer.STREAM:
        lines += ["Tanagerscale-Model: m", f"Tanagerscale-Token-Usage: 10,{max_tokens}"]
    return "\r\n".join([*lines, "", ""]).encode() + (b"" if framing else BODY)


def _encode_next(call: Call) -> bytes:
    return _encode_request(Answer.PLAIN, id=f"{call.id}/next")


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _make_configuration() -> dict[str, Any]:
    value = configuration()
    routes = [{**route, "timeoutMs": TIME_LEFT_MS} for route in value["routes"]]
    services = [
        {**one, "maxConnections": SLOTS}
        | (
            {"engine": {**one["engine"], "slots": SLOTS, "kvCacheTokens": MEMORY_TOKENS}}
            if "engine" in one
            else {}
        )
        for one in value["services"]
    ]
    return {**value, "routes": routes, "services": services}


def _make_entry(service: str, address: str) -> dict[str, Any]:
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
