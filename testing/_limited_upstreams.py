"""Many hosts in virtual time that send requests to upstreams with rate limits."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any
from typing import TypeVar
from typing import final

from prometheus_client import CollectorRegistry

from standins.rate_limit_rule import Arrival
from standins.rate_limit_rule import LimitPeriod
from standins.rate_limit_rule import find_excess
from tanagerscale.core import FailureDomainId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import ForwardingContext
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import StreamMover
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.forwarding._plain import PlainForwarder
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.gateway._forwarding import make_forwarding_context
from tanagerscale.routes import Route
from tanagerscale.routes import RouteKind
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._many_hosts import FakeUpstreamEdge
from testing._many_hosts import Fleet
from testing._many_hosts import Host
from testing._virtual_time import run_virtually

T = TypeVar("T")

SERVICE_MS = 45
"""Time in which an upstream answers a plain request."""
EVENT_MS = 20
LIMIT_FIELD = "Limit"
PLAIN_ROUTE = make_route(kind=RouteKind.IDEMPOTENT, target_ms=200, timeout_ms=2500)
SHORT_ROUTE = make_route(kind=RouteKind.STREAMING, target_ms=1500, timeout_ms=6000, attempts=1)
SHORT_EVENTS = 3
LONG_ROUTE = make_route(kind=RouteKind.STREAMING, target_ms=1800, timeout_ms=39_000, attempts=1)
LONG_EVENTS = 100


@dataclass(slots=True)
class Outcome:
    """What became of a request.

    :param sent_at: When its host received it.
    :param ended_at: When its response or refusal was complete.
    :param refusal: The refusal; ``None`` if an upstream answered.
    :param is_stream: Whether it asked for a stream.
    """

    sent_at: int
    ended_at: int
    refusal: Refusal | None
    is_stream: bool

    @property
    def took_ms(self) -> int:
        """Time from its arrival to the end of its response."""
        return self.ended_at - self.sent_at


class _Responder(FakeResponder):
    """Records when a host passes on a response with a rate limit."""

    __slots__ = ("_told",)

    def __init__(self, *, told: Callable[[str], None]) -> None:
        super().__init__()
        self._told = told

    async def begin(self, *, status: int, reason: str, headers: Sequence[Header]) -> None:
        """Record the head of a response."""
        self._record(headers)
        await super().begin(status=status, reason=reason, headers=headers)

    async def respond(
        self, *, status: int, reason: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Record a complete response."""
        self._record(headers)
        await super().respond(status=status, reason=reason, headers=headers, body=body)

    def _record(self, headers: Sequence[Header]) -> None:
        for name, value in headers:
            if name == LIMIT_FIELD:
                self._told(value)


class _Edge(FakeUpstreamEdge):
    """Sends the requests of one host."""

    def __init__(self, *, host: str, upstreams: LimitedUpstreams) -> None:
        super().__init__()
        self._host = host
        self._upstreams = upstreams

    async def send(self, *, upstream_request: UpstreamRequest) -> FakeResponse:  # type: ignore[override]
        """Send a request and wait for the head of its response."""
        return await self._upstreams.serve(self._host, upstream_request)


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


@dataclass(kw_only=True, eq=False)
class ForwardingHost:
    """A host that forwards requests."""

    host: Host
    context: ForwardingContext
    admission: Admission
    mover: StreamMover

    async def forward(self, name: str, route: Route, responder: FakeResponder) -> Refusal | None:
        """Forward one request until its deadline."""
        is_stream = route.kind is RouteKind.STREAMING
        tokens = 40 if route is SHORT_ROUTE else 2000
        request = make_request(name=name, prompt=100 if is_stream else None, max_tokens=tokens)
        routed = route_request(request, route)
        async with asyncio.timeout(route.timeout_ms / 1000):
            if not is_stream:
                return await PlainForwarder(routed=routed, context=self.context).serve(responder)
            run = StreamRun(
                routed=routed,
                responder=responder,
                context=self.context,
                admission=self.admission,
                hooks=self.mover,
            )
            self.mover.runs.add(run)
            try:
                return await run.serve()
            finally:
                self.mover.runs.discard(run)


@dataclass(kw_only=True, eq=False)
class LimitedFleet:
    """Hosts that forward requests to shared upstreams."""

    fleet: Fleet = field(default_factory=Fleet)
    upstreams: LimitedUpstreams = field(default_factory=LimitedUpstreams)
    hosts: list[ForwardingHost] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    _number: int = 0

    async def start(self, *, hosts: int = 9, domains: int = 3, engines: int = 3) -> None:
        """Start hosts and upstreams."""
        await self.fleet.start(count=hosts, domains=domains, engines=engines)
        self.hosts = [self._make_forwarder(host) for host in self.fleet.hosts]

    async def add(self, name: str, domain: int = 0) -> ForwardingHost:
        """Start one more host."""
        created = self._make_forwarder(await self.fleet.add(name, domain))
        self.hosts.append(created)
        return created

    async def kill(self, forwarder: ForwardingHost) -> None:
        """End the process of a host."""
        self.hosts.remove(forwarder)
        await self.fleet.kill(forwarder.host)

    def get(self, host: Host) -> ForwardingHost:
        """Return the forwarding part of a host."""
        return next(one for one in self.hosts if one.host is host)

    async def call(self, forwarder: ForwardingHost, route: Route = PLAIN_ROUTE) -> Outcome:
        """Send one request to a host and wait for its outcome."""
        self._number += 1
        sent_at, host = now_ms(), forwarder.host.name
        responder = _Responder(
            told=lambda upstream: self.upstreams.told[upstream][host].append(now_ms())
        )
        refusal = await forwarder.forward(f"r{self._number}", route, responder)
        is_stream = route.kind is RouteKind.STREAMING
        outcome = Outcome(sent_at, now_ms(), refusal, is_stream)
        self.outcomes.append(outcome)
        return outcome

    async def load(
        self,
        *,
        per_s: float,
        seconds: float,
        seed: int = 1,
        routes: Sequence[Route] = (PLAIN_ROUTE,),
        hosts: Sequence[ForwardingHost] = (),
    ) -> None:
        """Send requests at random times to random hosts, and wait until all have ended.

        :param per_s: Requests a second in total.
        :param seconds: Time in which they are sent.
        :param seed: Seed of times, hosts and routes.
        :param routes: Routes of the requests.
        :param hosts: Hosts that get them; empty means all.
        """
        rng = Random(seed)
        ends_at = asyncio.get_running_loop().time() + seconds
        calls: list[asyncio.Task[Outcome]] = []
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            if asyncio.get_running_loop().time() >= ends_at:
                break
            forwarder = rng.choice(hosts or self.hosts)
            calls.append(asyncio.create_task(self.call(forwarder, rng.choice(routes))))
        await asyncio.gather(*calls, return_exceptions=True)

    def _make_forwarder(self, host: Host) -> ForwardingHost:
        context = make_forwarding_context(
            control=host.control,
            upstreams=_Edge(host=host.name, upstreams=self.upstreams),
            work=host.work,
            registry=CollectorRegistry(),
            failure_domain=FailureDomainId("domain-0"),
            clock=host.clock,
            rng=Random(host.name),
        )
        mover = StreamMover(
            context=context,
            check_decider=host.control.client.check_decider,
            query_engine=host.control.coordinator.query_engine,
        )
        host.order_executor = mover.execute_order
        host.control.gate.changes.subscribe(mover.on_upstreams)
        return ForwardingHost(
            host=host,
            context=context,
            admission=Admission(context=context, placer=host.control.client),
            mover=mover,
        )


def run_with_limited_fleet(
    scenario: Callable[[LimitedFleet], Coroutine[Any, Any, T]], *, hosts: int = 9
) -> T:
    """Run a scenario in virtual time with hosts that have started, and return its result."""

    async def run() -> T:
        fleet = LimitedFleet()
        await fleet.start(hosts=hosts)
        return await scenario(fleet)

    return run_virtually(run())


def now_ms() -> int:
    """Return the virtual time in milliseconds."""
    return int(asyncio.get_running_loop().time() * 1000)
