"""Engines on sockets that close streams around the answer to the order to stop their runs."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Mapping
from collections.abc import Sequence
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
from functools import partial
from typing import Any
from typing import final

from msgspec import json

from standins.platform_world import API_KEY
from standins.platform_world import HOST_NAME
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PlatformCluster
from standins.platform_world import configuration
from tanagerscale.core import Clock
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._run_stops import STOP_TIMEOUT_MS
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.gateway import GatewayHost
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.platform import make_platform
from testing._cut_answers import LAST_CHUNK
from testing._engine_exchanges import MOVE_PATH
from testing._scripted_peer import Part
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import Reset
from testing._scripted_peer import Until
from testing._scripted_peer import encode_answer
from testing._scripted_peer import run_scripted_peer

LENGTH = 6
"""Events of each run."""
STOPPED_AT = 3
TIME_LEFT_MS = 39_000
SLOTS, MEMORY_TOKENS = 1000, 10_000_000
GAP_S = 0.05
"""Time between the close of a stream and the answer to an order that comes before or after it."""
QUIET_S = 0.4
LATE_S = 2 * STOP_TIMEOUT_MS / 1000
POLL_INTERVAL_S = 0.005


@unique
class StreamFraming(Enum):
    """How an engine frames its streams."""

    CHUNKS = "chunks"
    CLOSE = "close"
    CLOSE_1_0 = "close-1.0"


@unique
class Closing(Enum):
    """How an engine closes the stream of a run that it has stopped."""

    FIN = "fin"
    RESET = "reset"
    HALF_EVENT = "half-event"
    """With FIN, after half of the next event."""
    QUIET = "quiet"
    """With FIN, some time after the order, in which it sends nothing."""


@unique
class OrderAnswer(Enum):
    """When the order is answered."""

    BEFORE = "before"
    """Before the stream is closed."""
    WITH = "with"
    AFTER = "after"
    LATE = "late"
    """Later than a run with a copy waits for it."""
    NEVER = "never"
    """Its connection is closed in its place."""


@dataclass(frozen=True, kw_only=True)
class Script:
    """What the first engine of a run does.

    :param framing: How it frames the stream.
    :param events: Events after which it stops.
    :param closing: How it closes the stream.
    :param order_answer: When it answers the order to stop the run.
    :param status: Status of that answer; it has a handle unless the status is 404, which says that
        the run has ended by itself.
    :param length: Events of the whole run.
    :param padding: Bytes by which each event is longer.
    :param listed_events: Events of the run in the report of its engine; 0 leaves the run out.
    """

    framing: StreamFraming
    events: int = STOPPED_AT
    closing: Closing = Closing.FIN
    order_answer: OrderAnswer = OrderAnswer.AFTER
    status: int = 200
    length: int = LENGTH
    padding: int = 0
    listed_events: int = 0

    @property
    def whole(self) -> bytes:
        """The events of the whole run."""
        return self.make_events(1, self.length)

    def make_events(self, first: int, last: int) -> bytes:
        """Return the events with some numbers, both included."""
        return b"".join(self.make_event(number) for number in range(first, last + 1))

    def make_event(self, number: int) -> bytes:
        """Return one event."""
        return f"id: {number}\ndata: {number}{'x' * self.padding}\n\n".encode()


@dataclass
class _Stream:
    """The first stream of one run."""

    closes: asyncio.Event = field(default_factory=asyncio.Event)
    answers: asyncio.Event = field(default_factory=asyncio.Event)


def frame(framing: StreamFraming, data: bytes) -> bytes:
    """Return a piece of the body of a stream."""
    return b"%x\r\n%b\r\n" % (len(data), data) if framing is StreamFraming.CHUNKS else data


def encode_stream_head(framing: StreamFraming, *, id: str) -> bytes:
    """Return the head of a stream."""
    version = "1.0" if framing is StreamFraming.CLOSE_1_0 else "1.1"
    lines = [f"HTTP/{version} 200 OK", f"Tanagerscale-Attempt-Id: {id}"]
    lines += ["Tanagerscale-Server-Stamp: s1", "Content-Type: text/event-stream"]
    if framing is StreamFraming.CHUNKS:
        lines.append("Transfer-Encoding: chunked")
    return "\r\n".join([*lines, "", ""]).encode()


def encode_json_answer(document: object, *, status: int = 200) -> bytes:
    """Return the answer to a control call."""
    fields = [("Content-Type", "application/json")]
    return encode_answer(status=status, body=json.encode(document), fields=fields)


@final
class ClosingEngines:
    """Engines that follow the script of each run.

    :param scripts: The scripts, by the ids of the runs.
    """

    def __init__(self, scripts: Mapping[str, Script]) -> None:
        self.scripts = scripts
        self.begun: Counter[str] = Counter()
        """Requests that begin a run, by its id."""
        self.continued: Counter[str] = Counter()
        """Requests that continue a run, by its id."""
        self.stop_orders: Counter[str] = Counter()
        self._streams = {id: _Stream() for id in scripts}

    def close_stream(self, id: str) -> None:
        """Let the first engine of a run close its stream."""
        self._streams[id].closes.set()

    def answer(self, request: PeerRequest) -> Sequence[Part]:
        """Return what an engine sends after a request."""
        if request.target == MOVE_PATH:
            return self._answer_move(json.decode(request.body))
        if not request.id:
            runs = [
                [id, 1, script.listed_events, 0]
                for id, script in self.scripts.items()
                if script.listed_events
            ]
            return [encode_json_answer({"running": len(runs), "runs": runs})]
        if "kv-from" in request.headers:
            return self._continue(request)
        self.begun[request.id] += 1
        return self._begin(request.id, self.scripts[request.id])

    def _begin(self, id: str, script: Script) -> Sequence[Part]:
        framing = script.framing
        parts: list[Part] = [encode_stream_head(framing, id=id)]
        parts += [
            frame(framing, script.make_event(number)) for number in range(1, script.events + 1)
        ]
        parts.append(Until(event=self._streams[id].closes))
        if script.closing is Closing.HALF_EVENT:
            parts.append(frame(framing, script.make_event(script.events + 1)[:5]))
        elif script.status == 404 and framing is StreamFraming.CHUNKS:
            parts.append(LAST_CHUNK)
        return [*parts, Reset() if script.closing is Closing.RESET else b""]

    def _continue(self, request: PeerRequest) -> Sequence[Part]:
        self.continued[request.id] += 1
        script = self.scripts[request.id]
        framing = script.framing
        first = int(request.headers["last-event-id"]) + 1
        parts: list[Part] = [encode_stream_head(framing, id=request.id)]
        parts += [
            frame(framing, script.make_event(number)) for number in range(first, script.length + 1)
        ]
        return [*parts, LAST_CHUNK if framing is StreamFraming.CHUNKS else b""]

    def _answer_move(self, order: dict[str, Any]) -> Sequence[Part]:
        id = order["id"]
        script, stream = self.scripts[id], self._streams[id]
        moved = {"handle": f"copy-{id}", "createdRev": script.events}
        if not order.get("last"):
            return [encode_json_answer(moved)]
        self.stop_orders[id] += 1
        if self.stop_orders[id] > 1:
            return [encode_json_answer({}, status=404)]
        loop = asyncio.get_running_loop()
        closes_at, answers_at = _schedule(script)
        loop.call_later(closes_at, stream.closes.set)
        loop.call_later(answers_at, stream.answers.set)
        if script.order_answer is OrderAnswer.NEVER:
            return [Until(event=stream.answers), b""]
        document = {} if script.status == 404 else {**moved, "handle": f"stop-{id}"}
        return [Until(event=stream.answers), encode_json_answer(document, status=script.status)]


def _schedule(script: Script) -> tuple[float, float]:
    """Return when the stream is closed and the order answered, in seconds after the order."""
    quiet_s = QUIET_S if script.closing is Closing.QUIET else 0.0
    match script.order_answer:
        case OrderAnswer.BEFORE:
            return quiet_s + GAP_S, 0.0
        case OrderAnswer.WITH:
            return quiet_s, quiet_s
        case OrderAnswer.LATE:
            return quiet_s, quiet_s + LATE_S
    return quiet_s, quiet_s + GAP_S


@final
class ClosingHost:
    """A host and its engines.

    :param host: The host.
    :param address: Where it takes requests of callers.
    """

    def __init__(self, host: GatewayHost, address: str) -> None:
        self._host = host
        self.address = address

    async def wait_for_run(self, id: str, *, events: int) -> StreamRun:
        """Return a run of which some events have been relayed."""
        while True:
            for run in self._host._stream_mover.runs:
                if run.request == id and run.relayed_events >= events:
                    return run
            await asyncio.sleep(POLL_INTERVAL_S)

    async def order(self, run: StreamRun, *, kind: MoveKind = MoveKind.LEAVE) -> None:
        """Have a run copied to the other engine, or moved there."""
        assert run.entry is not None
        source = run.entry.upstream
        names = [UpstreamId(f"{MODEL_SERVICE}-{number}") for number in range(2)]
        (target,) = (name for name in names if name != source)
        order = MoveOrder(
            number=1, kind=kind, request=RequestId(run.request), source=source, target=target
        )
        await self._host._stream_mover.execute_order(order)


def encode_request(id: str) -> bytes:
    """Return the request of a caller for a stream."""
    lines = [
        "POST /draft/x HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Authorization: Bearer {API_KEY}",
        f"Tanagerscale-Attempt-Id: {id}",
        f"Tanagerscale-Deadline-Remaining: {TIME_LEFT_MS}",
        "Tanagerscale-Model: m",
        f"Tanagerscale-Token-Usage: 10,{LENGTH}",
        "Content-Length: 0",
        "Connection: close",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


@asynccontextmanager
async def run_closing_host(
    engines: ClosingEngines, *, addresses: Sequence[str] = ()
) -> AsyncIterator[ClosingHost]:
    """Run a host with two engines.

    :param engines: What the engines do.
    :param addresses: Addresses of engines that run elsewhere.
    """
    platform = PlatformCluster()
    async with AsyncExitStack() as stack:
        await platform.start()
        stack.push_async_callback(platform.stop)
        platform.configure(_make_configuration())
        own = 2 - len(addresses)
        peers = [
            await stack.enter_async_context(run_scripted_peer(engines.answer)) for _ in range(own)
        ]
        for number, address in enumerate([*addresses, *(peer.address for peer in peers)]):
            platform.put_entry(f"{MODEL_SERVICE}-{number}", make_entry(MODEL_SERVICE, address))
        settings = await platform.make_settings(
            "h1", seeds=(), stop_grace_s=TIME_LEFT_MS / 1000, retry_slack=1_000_000.0
        )
        clock = Clock()
        host = GatewayHost(
            settings=settings, platform=make_platform(settings=settings, clock=clock), clock=clock
        )
        await host.start()
        platform.hosts["h1"] = host
        await platform.wait_until(partial(_is_ready, host))
        yield ClosingHost(host, platform.callers_address("h1"))


def _is_ready(host: GatewayHost) -> bool:
    return host.ready and host.known_upstreams == 2


def _make_configuration() -> dict[str, Any]:
    value = configuration(version=2)
    times = {"timeoutMs": TIME_LEFT_MS, "targetLatencyMs": TIME_LEFT_MS}
    engine = {"slots": SLOTS, "kvCacheTokens": MEMORY_TOKENS}
    services = [
        {**one, "engine": {**one["engine"], **engine}} if "engine" in one else one
        for one in value["services"]
    ]
    routes = [{**route, **times} for route in value["routes"]]
    return {**value, "routes": routes, "services": services}


def make_entry(service: str, address: str) -> dict[str, Any]:
    """Return the entry of an engine in the platform's store."""
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
