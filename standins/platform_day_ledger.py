"""Record of a day's upstreams, and the answers that they give."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from aiohttp import web

from standins.platform_day_records import Arrival
from tanagerscale.core import MS_PER_SECOND

EVENT_BYTES: Final = 280
PLAIN_BYTES: Final = 800


@dataclass(slots=True)
class DayLedger:
    """What all upstreams of a day recorded.

    :param arrivals: All requests at upstreams, by request.
    :param lengths: Number of events of each generation, by request.
    :param work_ms: Time that each plain request takes, by request.
    :param failing: Plain requests that are answered with status 500.
    :param hosts: Names of hosts by the IP addresses from which they connect.
    :param orders: Orders to copy, by whether the run stops and by status.
    :param foreign: Requests that went on from the memory of another one.
    :param keeps_handles: Whether a handle stays valid when the same run is copied again.
    :param link_slowness: Factor of the time that a copy takes.
    """

    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)
    lengths: dict[str, int] = field(default_factory=dict)
    work_ms: dict[str, float] = field(default_factory=dict)
    failing: set[str] = field(default_factory=set)
    hosts: Mapping[str, str] = field(default_factory=dict)
    orders: Counter[tuple[bool, int]] = field(default_factory=Counter)
    foreign: list[str] = field(default_factory=list)
    keeps_handles: bool = False
    link_slowness: float = 1.0

    def add(self, request: web.BaseRequest, upstream: str) -> Arrival:
        """Record a request at an upstream."""
        peer = request.transport.get_extra_info("peername")[0] if request.transport else ""
        name = request.headers.get("Tanagerscale-Attempt-Id", "")
        arrival = Arrival(name, upstream, self.hosts.get(peer, peer), now_ms())
        arrival.is_continuation = "Kv-From" in request.headers
        self.arrivals.setdefault(name, []).append(arrival)
        return arrival


def event_bytes(request: str, number: int) -> bytes:
    """Return one event of a stream."""
    data = f"{request}.{number}."
    return f"id: {number}\ndata: {data}{'x' * (EVENT_BYTES - len(data))}\n\n".encode()


def plain_body(request: str) -> bytes:
    """Return the answer to a plain request."""
    return f"answer to {request} ".ljust(PLAIN_BYTES, "x").encode()


def now_ms() -> float:
    """Return the monotonic time in milliseconds."""
    return asyncio.get_running_loop().time() * MS_PER_SECOND
