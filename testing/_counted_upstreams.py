"""Upstreams of many hosts in virtual time that refuse, hang or fail, and count what arrives."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from enum import Enum
from enum import unique
from typing import Any
from typing import TypeVar
from typing import final

from returns.result import Failure
from returns.result import Result

from standins.retry_budget_rule import RetryBudgetRule
from standins.retry_budget_rule import find_repeats
from tanagerscale.core import RequestId
from tanagerscale.forwarding import CopyError
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import RunCopy
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.generated.gateway import RetrySection
from tanagerscale.upstreams import DEAD_PEER_TIMEOUT_S
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from testing._forwarding_fleet import ForwardingFleet
from testing._forwarding_fleet import now_ms
from testing._forwarding_fleet import run_with_fleet
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import copy_failure
from testing._many_hosts import Fleet

T = TypeVar("T")

SERVICE_MS = 45
"""Time in which an upstream answers a plain request."""
EVENT_MS = 30
SHORT_EVENTS = 3
LONG_EVENTS = 187
HANG_S = 60.0
BRITTLE_LIMIT = 4
"""Requests that a brittle upstream may turn away in a second."""
BRITTLE_HEADERS = (("Brittle", str(BRITTLE_LIMIT)),)
CONNECT_TIMEOUT_S = 0.4


@unique
class HostCut(Enum):
    """What becomes of the connections of a host that is cut off from all upstreams."""

    REFUSED = "refused"
    """Connections are reset, and new ones refused."""
    SILENT = "silent"
    """Nothing gets through on any connection."""
    NEW_ONLY = "new-only"
    """One connection to each upstream lives on, and new ones are refused."""


@final
class CountedUpstreams:
    """Upstreams that all hosts share, each with a kind of failure that tests turn on and off."""

    def __init__(self) -> None:
        self.arrivals: list[tuple[int, str]] = []
        """Time and request of each arrival."""
        self.down: set[str] = set()
        """Upstreams that refuse connections."""
        self.refusing: set[str] = set()
        """Upstreams that refuse each request before execution."""
        self.refusing_resumes: set[str] = set()
        """Upstreams that refuse runs that continue."""
        self.failing: set[str] = set()
        """Upstreams that answer plain requests with an error."""
        self.hanging: set[str] = set()
        """Upstreams that don't answer."""
        self.brittle_room: int | None = None
        """Requests that an upstream takes at a time while it names itself brittle."""
        self.turned_away: defaultdict[str, list[int]] = defaultdict(list)
        """When each upstream refused a request for want of room."""
        self._running: Counter[str] = Counter()
        self.cuts: dict[str, HostCut] = {}
        """Hosts that are cut off."""
        self._kept: defaultdict[str, set[str]] = defaultdict(set)
        """Upstreams to which each host has a connection."""
        self._streams: defaultdict[str, dict[str, FakeResponse]] = defaultdict(dict)

    @property
    def running(self) -> int:
        """Number of streams that are being generated."""
        return sum(
            bool(response.chunks) and not response.closed
            for streams in self._streams.values()
            for response in streams.values()
        )

    @property
    def repeats(self) -> int:
        """Number of arrivals beyond the first of their request."""
        return len(find_repeats(self.arrivals))

    def crash(self, upstream: str) -> None:
        """Break all streams of an upstream and refuse connections from now on."""
        self.down.add(upstream)
        for response in self._streams.pop(upstream, {}).values():
            response.chunks[:] = [None]

    def cut_off(self, host: str, kind: HostCut) -> None:
        """Cut off a host from all upstreams."""
        self.cuts[host] = kind

    def heal(self, host: str) -> None:
        """End the cut of a host."""
        del self.cuts[host]

    async def _pass_cut(self, host: str, upstream: str) -> None:
        """Fail as the connections of a host do that is cut off.

        :raises ExchangeError: The upstream is not reached.
        """
        kind, kept = self.cuts.get(host), self._kept[host]
        has_connection = upstream in kept
        if kind is None:
            kept.add(upstream)
        elif kind is HostCut.REFUSED:
            kept.discard(upstream)
            failure = ExchangeFailure.LOST if has_connection else ExchangeFailure.NOT_SENT
            raise ExchangeError(failure, "connection reset")
        elif kind is HostCut.SILENT:
            kept.discard(upstream)
            await asyncio.sleep(DEAD_PEER_TIMEOUT_S if has_connection else CONNECT_TIMEOUT_S)
            failure = ExchangeFailure.LOST if has_connection else ExchangeFailure.NOT_SENT
            raise ExchangeError(failure, "connection silent")
        elif not has_connection:
            raise ExchangeError(ExchangeFailure.NOT_SENT, "connection refused")

    async def serve(self, host: str, upstream_request: UpstreamRequest) -> FakeResponse:
        """Respond to a request."""
        upstream = str(upstream_request.upstream.upstream)
        await asyncio.sleep(0.001)
        if upstream in self.down:
            raise ExchangeError(ExchangeFailure.NOT_SENT, "no connection")
        await self._pass_cut(host, upstream)
        request = str(upstream_request.request.request)
        self.arrivals.append((now_ms(), request))
        demand, origin = upstream_request.request.demand, upstream_request.continuation
        if upstream in self.refusing or (origin and upstream in self.refusing_resumes):
            return FakeResponse(status=503, not_executed=True)
        if self.brittle_room is not None and self._running[upstream] >= self.brittle_room:
            self.turned_away[upstream].append(now_ms())
            return FakeResponse(status=503, not_executed=True, headers=BRITTLE_HEADERS)
        self._running[upstream] += 1
        try:
            await asyncio.sleep(HANG_S if upstream in self.hanging else SERVICE_MS / 1000)
        finally:
            self._running[upstream] -= 1
        if demand is None:
            return FakeResponse(status=500 if upstream in self.failing else 200)
        after = 0 if origin is None else origin.after_event
        events = SHORT_EVENTS if demand.max_tokens < 200 else LONG_EVENTS
        response = FakeResponse(
            chunks=[
                f"id: {number}\ndata: {number}\n\n".encode()
                for number in range(after + 1, events + 1)
            ],
            pause_ms=EVENT_MS,
        )
        self._streams[upstream][request] = response
        return response

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError] | None:
        """Copy a run; fail if either engine is gone, and end the stream of a run that stops."""
        await asyncio.sleep(0.02)
        if source.upstream in self.down:
            return Failure(copy_failure(CopyFailure.LOST))
        if target.upstream in self.down:
            return Failure(copy_failure(CopyFailure.NO_ROOM))
        if stop:
            response = self._streams[str(source.upstream)].pop(str(request), None)
            if response is not None:
                response.chunks[:] = [None]
        return None

    async def probe(self, host: str, upstream: UpstreamEntry) -> bool:
        """Return whether an upstream answers a host."""
        await asyncio.sleep(0.001)
        name = str(upstream.upstream)
        kind = self.cuts.get(host)
        if kind is HostCut.SILENT:
            await asyncio.sleep(HANG_S)
        is_kept = kind is HostCut.NEW_ONLY and name in self._kept[host]
        return name not in self.down and (kind is None or is_kept)

    def on_passed_on(self, host: str, headers: Sequence[Header]) -> None:
        """Ignore the heads of responses."""


CountedFleet = ForwardingFleet[CountedUpstreams]


def run_with_counted_fleet(
    scenario: Callable[[CountedFleet], Coroutine[Any, Any, T]],
    *,
    rule: RetryBudgetRule,
    hosts: int = 9,
    engines: int = 6,
) -> T:
    """Run a scenario in virtual time with hosts that have started, and return its result.

    :param scenario: The scenario.
    :param rule: The rule on repeats that the hosts are configured with.
    :param hosts: Number of hosts in three failure domains.
    :param engines: Number of engines; one in three is in each failure domain.
    """
    retries = RetrySection(ratio=rule.ratio, slack=rule.slack, window_s=rule.window_s)
    fleet = CountedFleet(upstreams=CountedUpstreams(), fleet=Fleet(retries=retries))
    return run_with_fleet(fleet, scenario, hosts=hosts, engines=engines)


def find_excess(fleet: CountedFleet, rule: RetryBudgetRule) -> str:
    """Return a description of the first window with too many repeats; empty if there is none."""
    requests = sorted(outcome.sent_at for outcome in fleet.outcomes)
    return rule.find_excess(requests=requests, arrivals=fleet.upstreams.arrivals)


def used_share(fleet: CountedFleet, rule: RetryBudgetRule) -> float:
    """Return the largest fraction of the allowed repeats that a window had."""
    requests = sorted(outcome.sent_at for outcome in fleet.outcomes)
    return rule.used_share(requests=requests, arrivals=fleet.upstreams.arrivals)


def lost_streams(fleet: CountedFleet) -> int:
    """Return the number of streams that broke off after their response had begun."""
    return sum(
        one.is_stream and one.has_begun and one.refusal is not None for one in fleet.outcomes
    )
