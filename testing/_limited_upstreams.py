"""Many hosts in virtual time that send requests to upstreams with rate limits."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from typing import Any
from typing import TypeVar
from typing import final

from returns.result import Result

from standins.rate_limit_rule import Arrival
from standins.rate_limit_rule import LimitPeriod
from standins.rate_limit_rule import find_excess
from tanagerscale.core import RequestId
from tanagerscale.forwarding import CopyError
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import RunCopy
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.upstreams import UpstreamEntry
from testing._forwarding_fleet import ForwardingFleet
from testing._forwarding_fleet import now_ms
from testing._forwarding_fleet import run_with_fleet
from testing._gateway_fakes import FakeResponse

T = TypeVar("T")

SERVICE_MS = 45
"""Time in which an upstream answers a plain request."""
EVENT_MS = 20
LIMIT_FIELD = "Limit"
SHORT_EVENTS = 3
LONG_EVENTS = 100


@final
class LimitedUpstreams:
    """Upstreams that all hosts share, and that may name rate limits."""

    def __init__(self) -> None:
        self.rates: dict[str, float] = {}
        """The limit that each upstream names now."""
        self.arrivals: defaultdict[str, list[Arrival]] = defaultdict(list)
        self.told: defaultdict[str, defaultdict[str, list[int]]] = defaultdict(
            lambda: defaultdict(list)
        )
        """When each host passed on a response with a limit, by upstream."""
        self._periods: defaultdict[str, list[LimitPeriod]] = defaultdict(list)

    def name_limit(self, upstream: str, rate_per_s: float) -> None:
        """Name a limit in each response from now on."""
        now = now_ms()
        if upstream in self.rates:
            period = self._periods[upstream].pop()
            rates = [*period.rates, (now, rate_per_s)]
            period = LimitPeriod(period.began, period.ended, rates)
        else:
            period = LimitPeriod(now, 2**53, [(now, rate_per_s)])
        self._periods[upstream].append(period)
        self.rates[upstream] = rate_per_s

    def end_limit(self, upstream: str) -> None:
        """Name no limit any more."""
        del self.rates[upstream]
        period = self._periods[upstream].pop()
        self._periods[upstream].append(LimitPeriod(period.began, now_ms(), period.rates))

    async def serve(self, host: str, upstream_request: UpstreamRequest) -> FakeResponse:
        """Respond to a request."""
        upstream = str(upstream_request.upstream.upstream)
        self.arrivals[upstream].append(Arrival(now_ms(), host))
        await asyncio.sleep(SERVICE_MS / 1000)
        rate = self.rates.get(upstream)
        headers = () if rate is None else ((LIMIT_FIELD, upstream),)
        demand = upstream_request.request.demand
        if demand is None:
            return FakeResponse(headers=headers, named_rates=() if rate is None else (rate,))
        origin = upstream_request.continuation
        after = 0 if origin is None else origin.after_event
        events = SHORT_EVENTS if demand.max_tokens < 200 else LONG_EVENTS
        chunks: list[bytes | None] = [
            f"id: {number}\ndata: {number}\n\n".encode() for number in range(after + 1, events + 1)
        ]
        return FakeResponse(
            headers=headers,
            named_rates=() if rate is None else (rate,),
            chunks=chunks,
            pause_ms=EVENT_MS,
        )

    def find_excess(self) -> list[str]:
        """Return each upstream that got more requests than its limit allows."""
        return [
            f"{upstream} {excess}"
            for upstream, periods in self._periods.items()
            for period in periods
            if (
                excess := find_excess(
                    arrivals=self.arrivals[upstream], period=period, told=self.told[upstream]
                )
            )
        ]

    def used_share(self, upstream: str, *, since: int) -> float:
        """Return the fraction of the requests that the current limit allows since some time."""
        arrived = sum(arrival.at >= since for arrival in self.arrivals[upstream])
        return arrived / (self.rates[upstream] * (now_ms() - since) / 1000)

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError] | None:
        """Let any copy succeed."""
        return None

    async def probe(self, host: str, upstream: UpstreamEntry) -> bool:
        """Answer every probe."""
        return True

    def on_passed_on(self, host: str, headers: Sequence[Header]) -> None:
        """Record when a host passes on a response with a rate limit."""
        for name, upstream in headers:
            if name == LIMIT_FIELD:
                self.told[upstream][host].append(now_ms())


LimitedFleet = ForwardingFleet[LimitedUpstreams]


def run_with_limited_fleet(
    scenario: Callable[[LimitedFleet], Coroutine[Any, Any, T]], *, hosts: int = 9
) -> T:
    """Run a scenario in virtual time with hosts that have started, and return its result."""
    return run_with_fleet(LimitedFleet(upstreams=LimitedUpstreams()), scenario, hosts=hosts)
