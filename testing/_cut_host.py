"""A running host between callers on sockets and upstreams whose answers tests cut."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import pytest

from standins.platform_world import API_KEY
from standins.platform_world import HOST_NAME
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from standins.platform_world import configuration
from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import _sending
from tanagerscale.forwarding._segments import StreamSegment
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._suspected_requests import record_suspected_request
from tanagerscale.gateway import GatewayHost
from tanagerscale.platform import make_platform
from testing._cut_answers import ReadAnswer
from testing._cut_answers import read_answer
from testing._scripted_peer import Part
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import encode_answer
from testing._scripted_peer import run_scripted_peer

PLAIN_BODY = b"booked"
TIME_LEFT_MS = 120_000
"""What callers and routes allow, so that no call ends early, or is hedged, on a busy machine."""
HEDGE_TARGET_MS = 20
STOP_GRACE_S = 120
"""The same for calls that are under way as their host stops."""
UNLIMITED_REPEATS = 1_000_000.0
UPSTREAMS = 2
"""Upstreams of each service."""
CONTINUE_FROM = "kv-from"
SLOTS, MEMORY_TOKENS = 1000, 10_000_000
"""What an upstream runs at a time; some tests make all their calls at once."""


@dataclass
class Script:
    """Answers the requests of callers; each request is numbered, and has a cut of its own.

    :param answers: Returns what is sent after a request, by how often it has arrived before.
    """

    answers: Callable[[PeerRequest, int], Sequence[Part]] = lambda _request, _arrived: [b""]
    arrived: Counter[str] = field(default_factory=Counter)
    begun: Counter[str] = field(default_factory=Counter)
    """Arrivals that do not continue a run."""

    def answer(self, request: PeerRequest) -> Sequence[Part]:
        """Answer a request, or a call for a report."""
        if not request.id:
            return [encode_answer(body=b"{}")]
        number = self.arrived[request.id]
        self.arrived[request.id] += 1
        self.begun[request.id] += CONTINUE_FROM not in request.headers
        return self.answers(request, number)


@dataclass(frozen=True)
class Running:
    """A running host.

    :param script: What its upstreams answer.
    :param platform: Runs it.
    :param address: Where it takes requests of callers.
    :param paths: Ways on which it has sent requests.
    """

    script: Script
    platform: PlatformCluster
    address: str
    paths: Counter[str]


def _configuration() -> dict[str, Any]:
    value = configuration(version=2)
    routes = [
        {**route, "timeoutMs": TIME_LEFT_MS, "targetLatencyMs": TIME_LEFT_MS}
        for route in value["routes"]
    ]
    hedged = {
        **next(route for route in routes if route["name"] == "read"),
        "name": "hedge",
        "pathPrefix": "/hedge/",
        "targetLatencyMs": HEDGE_TARGET_MS,
    }
    services = [
        (
            {**one, "engine": {**one["engine"], "slots": SLOTS, "kvCacheTokens": MEMORY_TOKENS}}
            if "engine" in one
            else one
        )
        for one in value["services"]
    ]
    return {**value, "routes": [*routes, hedged], "services": services}


@asynccontextmanager
async def run_host(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Running]:
    """Run a host with two upstreams of each service."""
    paths: Counter[str] = Counter()

    def record_path(*args: Any, path: str) -> None:
        paths[path] += 1
        record_suspected_request(*args, path=path)

    monkeypatch.setattr(_sending, "record_suspected_request", record_path)
    script, platform = Script(), PlatformCluster()
    async with AsyncExitStack() as stack:
        await platform.start()
        stack.push_async_callback(platform.stop)
        platform.configure(_configuration())
        for service in (MODEL_SERVICE, PLAIN_SERVICE):
            for number in range(UPSTREAMS):
                peer = await stack.enter_async_context(run_scripted_peer(script.answer))
                _register(platform, f"{service}-{number}", service, peer.address)
        settings = await platform.make_settings(
            "h1", seeds=(), stop_grace_s=STOP_GRACE_S, retry_slack=UNLIMITED_REPEATS
        )
        clock = Clock()
        host = GatewayHost(
            settings=settings, platform=make_platform(settings=settings, clock=clock), clock=clock
        )
        await host.start()
        platform.hosts["h1"] = host
        await platform.wait_until(lambda: host.ready and host.known_upstreams == 2 * UPSTREAMS)
        yield Running(script, platform, platform.callers_address("h1"), paths)


def _register(platform: PlatformCluster, name: str, service: str, address: str) -> None:
    entry = {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": SLOTS,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
    }
    platform.put_entry(name, entry)


def copy_each_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Have a copy of each run made as its first engine accepts it."""
    set_segment = StreamRun._set_segment

    def set_with_copy(run: StreamRun, segment: StreamSegment) -> None:
        is_first = run.entry is None and run.relayed_events == 0
        set_segment(run, segment)
        names = [UpstreamId(f"{MODEL_SERVICE}-{number}") for number in range(UPSTREAMS)]
        (other,) = (name for name in names if name != segment.entry.upstream)
        entry = run._context.upstreams.get(other)
        assert entry is not None
        if is_first:
            run.snapshot = Snapshot(entry=entry, copy="c", taken=run._context.clock.now())

    monkeypatch.setattr(StreamRun, "_set_segment", set_with_copy)


async def call(address: str, path: str, id: str) -> ReadAnswer:
    """Make a call on a connection of its own.

    :param address: Address of the host.
    :param path: Path of the request.
    :param id: Id of the request.
    """
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Authorization: Bearer {API_KEY}",
        f"Tanagerscale-Attempt-Id: {id}",
        f"Tanagerscale-Deadline-Remaining: {TIME_LEFT_MS}",
        f"Content-Length: {len(PLAIN_BODY)}",
        "Connection: close",
    ]
    if path.startswith("/draft/"):
        lines += ["Tanagerscale-Model: m", "Tanagerscale-Token-Usage: 10,8"]
    return await read_answer(address, ("\r\n".join([*lines, "", ""])).encode() + PLAIN_BODY)
