"""Engines: language model engines whose runs can be copied, and plain services."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from itertools import count
import json
from random import Random
import time
from typing import Any

from stand_http1 import Connection
from stand_http1 import Request
from stand_http1 import Server
from stand_http1 import encode_chunk
from stand_http1 import encode_head
from stand_store import Store

HEARTBEAT_S = 1.2
HANDLE_S = 5.0
MEMORY_TOKENS = 34_219
MOVE_MS_PER_TOKEN = 163_840 * 8 / 24_000_000
"""Milliseconds for one token: ``kvTokenBytes`` over ``linkMbps``."""
PREFILL_TOKENS_PER_MS = 14.0
EVENT_TOKENS = 4
SLOTS = 24
BEFORE_NOTICE_S = 0.4
"""Time for which an engine prepares to leave before it says so."""
ENTRY_LOSS_S = 3 * HEARTBEAT_S
"""An entry is removed after three heartbeat intervals of silence."""

ENGINE_DECLARATION = {
    "slots": SLOTS,
    "kvCacheTokens": MEMORY_TOKENS,
    "kvTokenBytes": 163_840,
    "linkMbps": 24_000.0,
    "moves": True,
    "backups": False,
    "stride": EVENT_TOKENS,
    "most": 12,
    "pinMs": 4000.0,
    "holdMs": 2000.0,
    "handleS": HANDLE_S,
    "models": [{"name": "m"}],
}
"""What the configuration says of the engines of a service."""


@dataclass
class Arrival:
    """A request that reached an engine.

    :param at: Seconds since the record began.
    :param engine: Id of the engine.
    :param attempt: Id of the client attempt.
    :param target: Path and query.
    :param ran: Whether the engine began to work on it.
    :param ended: How it ended.
    :param ended_at: When it ended; 0 until then.
    """

    at: float
    engine: str
    attempt: str
    target: str
    ran: bool = False
    ended: str = ""
    ended_at: float = 0.0


@dataclass
class Run:
    """A generation at one engine.

    :param attempt: Client attempt that it serves.
    :param memory_of: Client attempt whose memory it goes on from; its own in a sound system.
    """

    attempt: str
    memory_of: str
    tokens: int
    events: int
    total_events: int
    stopped: bool = False
    moving: bool = False
    over: bool = False


@dataclass
class Copy:
    """Memory of a run that an engine holds for it to go on."""

    run: Run
    events: int
    tokens: int
    until: float
    used: bool = False


@dataclass
class World:
    """What all engines of a deployment share.

    :param store: The platform's store.
    :param began: Monotonic time at which the record began.
    :param arrivals: All requests that reached engines.
    :param mixed: Requests that were sent on with the copy of another one: when, the engine, the
        request, and the one whose memory it is.
    :param engines: Running engines by address.
    """

    store: Store
    began: float = field(default_factory=time.monotonic)
    arrivals: list[Arrival] = field(default_factory=list)
    mixed: list[tuple[float, str, str, str]] = field(default_factory=list)
    engines: dict[str, Engine] = field(default_factory=dict)
    numbers: Any = field(default_factory=lambda: count(1))

    def now(self) -> float:
        """Return the seconds since the record began."""
        return time.monotonic() - self.began

    def runs_of(self, attempt: str) -> list[Arrival]:
        """Return the arrivals of a client attempt that ran."""
        return [one for one in self.arrivals if one.attempt == attempt and one.ran]


class Engine:
    """One engine; it does what the pages say and nothing else, unless a fault is set.

    :param world: What all engines share.
    :param service: Service that it provides.
    :param zone: Zone.
    :param ip: Address on which it listens.
    :param is_model: Whether it is a language model engine.
    :param event_ms: Time for one event of a stream.
    :param work_ms: Time for a plain request.
    """

    def __init__(
        self,
        world: World,
        *,
        service: str,
        zone: str,
        ip: str,
        is_model: bool,
        event_ms: float = 36.0,
        work_ms: float = 30.0,
    ) -> None:
        self.world = world
        self.service = service
        self.zone = zone
        self.id = ""
        self.address = ""
        self.state = "ready"
        self.leaves_at: float | None = None
        """Monotonic time of the planned end, if there is one."""
        self.extra_share = 0.0
        """Share of the complete answers after which a second one comes late on the connection."""
        self.extras_when_leaving = False
        """Whether it saves these for the answers that end as it leaves; otherwise at random."""
        self._leaves_soon = False
        self._extra_allowance = 0.0
        self.extras_sent: list[tuple[float, str]] = []
        self.rng = Random(0)
        self.pick_events: Callable[[int], int] = lambda most: most
        """Returns the events of an answer, from the most that its request allows."""
        self.crashes_on: Callable[[Request], bool] = lambda request: False
        self.on_crash: Callable[[Engine], None] = lambda engine: None
        self._ip = ip
        self._port = 0
        self._is_model = is_model
        self._event_ms = event_ms
        self._work_ms = work_ms
        self._server = Server(self._handle)
        self._beats: asyncio.Task[None] | None = None
        self._sequence = 0
        self._clear()

    def _clear(self) -> None:
        self._runs: dict[str, Run] = {}
        self._copies: dict[str, Copy] = {}
        self._copied: dict[tuple[str, str], int] = {}
        self._link = asyncio.Lock()

    async def start(self) -> None:
        """Start a new incarnation with a new id and register it."""
        self.id = f"i-{next(self.world.numbers):04x}{self.rng.randrange(65536):04x}"
        self.state = "ready"
        self.leaves_at = None
        self._leaves_soon = False
        self._sequence = 0
        self._clear()
        self.address = await self._server.start(self._ip, self._port)
        self._port = int(self.address.rpartition(":")[2])
        self.world.engines[self.address] = self
        self._beats = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End at once; the entry goes after three heartbeat intervals."""
        if self._beats is None:
            return
        self._beats.cancel()
        self._beats = None
        self.world.engines.pop(self.address, None)
        asyncio.get_running_loop().call_later(
            ENTRY_LOSS_S, self.world.store.remove, f"servers/{self.id}"
        )
        await self._server.stop()

    async def leave(self, notice_s: float) -> None:
        """Say that the engine leaves, serve on for the time of the notice, and end.

        :param notice_s: Time from the notice to the end.
        """
        self._leaves_soon = True
        await asyncio.sleep(BEFORE_NOTICE_S)
        self.state = "draining"
        self.leaves_at = time.monotonic() + notice_s
        self.register()
        await asyncio.sleep(notice_s)
        await self.crash()
        self.world.store.remove(f"servers/{self.id}")

    async def stop(self) -> None:
        """End the engine at the end of a script."""
        if self._beats is not None:
            self._beats.cancel()
        await self._server.stop()

    async def _beat(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self) -> None:
        """Write the entry."""
        self._sequence += 1
        self.world.store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": SLOTS if self._is_model else 6,
                "state": self.state,
                "coldRemainingMs": 0,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self._sequence,
            },
        )

    async def _handle(self, connection: Connection, request: Request) -> None:
        extra = connection.state.pop("extra", None)
        if extra is not None:
            assert isinstance(extra, tuple)
            self.extras_sent.append(
                (self.world.now(), f"extra answer to {extra[0]} before {request.target}")
            )
            await connection.send(extra[1])
        if request.method == "GET" and request.path == "/v1/report":
            await self._answer_json(connection, 200, self._report())
        elif request.method == "GET" and request.path == "/health":
            await connection.respond(200, [("Tanagerscale-Instance-Id", self.id)])
        elif request.method == "POST" and request.path == "/v1/kv-move":
            began = self.world.now()
            status = await self._move(connection, json.loads(request.body))
            if extra is not None:
                took_ms = int((self.world.now() - began) * 1000)
                text = f"(the copy order was answered {status} after {took_ms} ms)"
                self.extras_sent.append((self.world.now(), text))
        elif request.method == "DELETE" and request.path.startswith("/v1/kv-handle/"):
            self._copies.pop(request.path.rpartition("/")[2], None)
            await self._answer_json(connection, 200, {})
        else:
            await self._serve(connection, request)

    async def _answer_json(self, connection: Connection, status: int, body: object) -> None:
        await connection.respond(
            status, [("Content-Type", "application/json")], json.dumps(body).encode()
        )

    async def _serve(self, connection: Connection, request: Request) -> None:
        attempt = request.headers.get("tanagerscale-attempt-id", "")
        arrival = Arrival(self.world.now(), self.id, attempt, request.target)
        self.world.arrivals.append(arrival)
        echo = [("Tanagerscale-Attempt-Id", attempt)]
        if request.headers.get("tanagerscale-expect-instance", self.id) != self.id:
            arrival.ended = "421"
            await connection.respond(421, [*echo, ("Tanagerscale-Instance-Id", self.id)])
            return
        run = self._begin_run(request, attempt)
        if run is None:
            arrival.ended = "not executed"
            await connection.respond(503, [*echo, ("Tanagerscale-Not-Executed", "1")])
            return
        arrival.ran = True
        if self.crashes_on(request):
            arrival.ended = "crashed the engine"
            self.on_crash(self)
            await asyncio.Event().wait()
        stamp = ("Tanagerscale-Server-Stamp", f"{self.id}.{next(self.world.numbers):x}")
        self._runs[attempt] = run
        arrival.ended = "its connection ended"
        try:
            if "tanagerscale-token-usage" in request.headers:
                data = await self._stream(connection, run, [*echo, stamp])
            else:
                await asyncio.sleep(self._work_ms / 1000)
                body = f"{self.id} answers {attempt}".encode()
                data = encode_head(200, [*echo, stamp, ("Content-Length", str(len(body)))]) + body
                await connection.send(data)
            arrival.ended = "stopped for a move" if run.stopped else "answered"
        finally:
            arrival.ended_at = self.world.now()
            run.over = True
            if self._runs.get(attempt) is run:
                del self._runs[attempt]
        if run.stopped:
            connection.reset()
        elif self._sends_extra():
            connection.state["extra"] = attempt, data

    def _sends_extra(self) -> bool:
        """Return whether a second answer follows late, at most for ``extra_share`` of all."""
        if not self.extras_when_leaving:
            return self.rng.random() < self.extra_share
        self._extra_allowance += self.extra_share
        is_leaving = self._leaves_soon or self.state == "draining"
        if not is_leaving or self._extra_allowance < 1:
            return False
        self._extra_allowance -= 1
        return True

    def _begin_run(self, request: Request, attempt: str) -> Run | None:
        self._expire()
        prompt, _, most = request.headers.get("tanagerscale-token-usage", "0,0").partition(",")
        origin = request.headers.get("kv-from", "").rpartition("/")[2]
        if origin:
            copy = self._copies.get(origin)
            if copy is None or copy.used:
                return None
            copy.used = True
            del self._copies[origin]
            if copy.run.attempt != attempt:
                self.world.mixed.append((self.world.now(), self.id, attempt, copy.run.attempt))
            after = int(request.headers["last-event-id"])
            tokens = copy.tokens + (after - copy.events) * EVENT_TOKENS
            return Run(attempt, copy.run.memory_of, tokens, after, copy.run.total_events)
        if len(self._runs) >= SLOTS or self.used() + int(prompt) > MEMORY_TOKENS:
            return None
        events = self.pick_events(max(int(most) // EVENT_TOKENS, 1))
        return Run(attempt, attempt, int(prompt), 0, events)

    def used(self) -> int:
        """Return the tokens in memory."""
        self._expire()
        copies = sum(copy.tokens for copy in self._copies.values())
        return copies + sum(run.tokens for run in self._runs.values())

    def _expire(self) -> None:
        now = time.monotonic()
        self._copies = {one: copy for one, copy in self._copies.items() if copy.until > now}

    async def _stream(
        self, connection: Connection, run: Run, fields: list[tuple[str, str]]
    ) -> bytes:
        if not run.events:
            await asyncio.sleep(run.tokens / PREFILL_TOKENS_PER_MS / 1000)
        fields += [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        sent = [encode_head(200, fields)]
        await connection.send(sent[0])
        while run.events < run.total_events and not run.stopped:
            run.events += 1
            run.tokens += EVENT_TOKENS
            event = f"id: {run.events}\ndata: {run.memory_of}.{run.events}\n\n".encode()
            sent.append(encode_chunk(event))
            await connection.send(sent[-1])
            await asyncio.sleep(self._event_ms / 1000)
        if run.stopped:
            return b""
        sent.append(encode_chunk(b""))
        await connection.send(sent[-1])
        return b"".join(sent)

    async def _move(self, connection: Connection, order: dict[str, Any]) -> int:
        run = self._runs.get(order["id"])
        target = self.world.engines.get(order["to"])
        if run is None or not run.events:
            await self._answer_json(connection, 404, {})
            return 404
        if run.moving:
            await self._answer_json(connection, 409, {})
            return 409
        run.moving = True
        try:
            status, body = await self._copy(run, target, last=order["last"])
        finally:
            run.moving = False
        await self._answer_json(connection, status, body)
        return status

    async def _copy(self, run: Run, target: Engine | None, *, last: bool) -> tuple[int, object]:
        if last:
            run.stopped = True
        handle = f"h{next(self.world.numbers):x}"
        if target is None:
            return 503, self._keep(run, handle) if last else {}
        known = self._copied.get((run.attempt, target.id), 0)
        async with self._link, target._link:
            tokens = run.tokens
            if target.used() + tokens > MEMORY_TOKENS:
                return 503, self._keep(run, handle) if last else {}
            factor = 1 if target.zone == self.zone else 2
            await asyncio.sleep(max(tokens - known, 0) * MOVE_MS_PER_TOKEN * factor / 1000)
        if run.over and not run.stopped:
            return 404, {}
        self._copied[run.attempt, target.id] = tokens
        until = time.monotonic() + HANDLE_S
        for old in [old for old, copy in target._copies.items() if copy.run.attempt == run.attempt]:
            del target._copies[old]
        target._copies[handle] = Copy(run, run.events, tokens, until)
        if last:
            self._copies[handle] = Copy(run, run.events, run.tokens, until)
        return 200, {"handle": handle, "createdRev": run.events}

    def _keep(self, run: Run, handle: str) -> dict[str, str]:
        self._copies[handle] = Copy(run, run.events, run.tokens, time.monotonic() + HANDLE_S)
        return {"handle": handle}

    def _report(self) -> dict[str, object]:
        leaving = {}
        if self.leaves_at is not None:
            leaving["leaves_ms"] = max(int((self.leaves_at - time.monotonic()) * 1000), 0)
        return leaving | {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": self._sequence,
            "waiting": 0,
            "running": len(self._runs),
            "kvCacheUsed": self.used(),
            "kvCacheTotal": MEMORY_TOKENS,
            "handles": len(self._copies),
            "state": self.state,
            "runs": [[run.attempt, run.tokens, run.events, 5] for run in self._runs.values()],
        }
