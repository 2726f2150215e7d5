"""Many hosts in virtual time that forward requests to upstreams that they share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

from msgspec.structs import replace
from prometheus_client import CollectorRegistry
from returns.result import Result

from tanagerscale.core import FailureDomainId
from tanagerscale.core import RequestId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import CopyError
from tanagerscale.forwarding import DelegatedHead
from tanagerscale.forwarding import DelegatedOutcome
from tanagerscale.forwarding import DelegateSelector
from tanagerscale.forwarding import Dispatcher
from tanagerscale.forwarding import ForwardingContext
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RunCopy
from tanagerscale.forwarding import ShutdownSchedule
from tanagerscale.forwarding import StreamMover
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.gateway._forwarding import make_forwarding_context
from tanagerscale.routes import AllowedRegions
from tanagerscale.routes import Route
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
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

PLAIN_ROUTE = make_route(kind=RouteKind.IDEMPOTENT, target_ms=200, timeout_ms=2500)
SHORT_ROUTE = make_route(kind=RouteKind.STREAMING, target_ms=1500, timeout_ms=6000, attempts=1)
UNSAFE_ROUTE = make_route(kind=RouteKind.NON_IDEMPOTENT, target_ms=200, timeout_ms=2500)
LONG_ROUTE = make_route(kind=RouteKind.STREAMING, target_ms=1800, timeout_ms=39_000, attempts=1)


@dataclass(slots=True)
class Outcome:
    """What became of a request.

    :param sent_at: When its host received it.
    :param ended_at: When its response or refusal was complete.
    :param refusal: The refusal; ``None`` if an upstream answered.
    :param is_stream: Whether it asked for a stream.
    :param host: The host that received it.
    :param has_begun: Whether the response had begun, also if it was refused after that.
    :param has_events: Whether part of the body has arrived.
    """

    sent_at: int
    ended_at: int
    refusal: Refusal | None
    is_stream: bool
    host: str = ""
    has_begun: bool = False
    has_events: bool = False

    @property
    def took_ms(self) -> int:
        """Time from its arrival to the end of its response."""
        return self.ended_at - self.sent_at


class SharedUpstreams(Protocol):
    """Upstreams that all hosts share."""

    async def serve(self, host: str, upstream_request: UpstreamRequest) -> FakeResponse:
        """Respond to a request."""

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError] | None:
        """Copy a run; ``None`` if any copy succeeds."""

    async def probe(self, host: str, upstream: UpstreamEntry) -> bool:
        """Return whether an upstream answers a host."""

    def on_passed_on(self, host: str, headers: Sequence[Header]) -> None:
        """Handle the head of a response that a host passes on."""


U = TypeVar("U", bound=SharedUpstreams)


class _Responder(FakeResponder):
    """Reports the heads of responses that a host passes on."""

    __slots__ = ("_on_head",)

    def __init__(self, *, on_head: Callable[[Sequence[Header]], None]) -> None:
        super().__init__()
        self._on_head = on_head

    async def begin(self, *, status: int, reason: str, headers: Sequence[Header]) -> None:
        """Report the head of a response."""
        self._on_head(headers)
        await super().begin(status=status, reason=reason, headers=headers)

    async def respond(
        self, *, status: int, reason: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Report the head of a complete response."""
        self._on_head(headers)
        await super().respond(status=status, reason=reason, headers=headers, body=body)


class _Edge(FakeUpstreamEdge):
    """Sends the requests of one host."""

    def __init__(self, *, host: str, upstreams: SharedUpstreams) -> None:
        super().__init__()
        self._host = host
        self._upstreams = upstreams

    async def send(self, *, upstream_request: UpstreamRequest) -> FakeResponse:  # type: ignore[override]
        """Send a request and wait for the head of its response."""
        return await self._upstreams.serve(self._host, upstream_request)

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError]:
        """Copy a run."""
        result = await self._upstreams.copy(
            source=source, request=request, target=target, stop=stop
        )
        if result is not None:
            return result
        return await super().copy(source=source, request=request, target=target, stop=stop)


@dataclass(kw_only=True, eq=False)
class ForwardingHost:
    """A host that forwards requests."""

    host: Host
    context: ForwardingContext
    dispatcher: Dispatcher
    mover: StreamMover

    async def forward(
        self,
        name: str,
        route: Route,
        responder: FakeResponder,
        *,
        parts: Sequence[str] = (),
        body: bytes = b"body",
    ) -> Refusal | None:
        """Forward one request until its deadline."""
        is_stream = route.kind is RouteKind.STREAMING
        tokens = 40 if route is SHORT_ROUTE else 2000
        request = make_request(
            name=name,
            prompt=100 if is_stream or parts else None,
            max_tokens=tokens,
            parts=parts,
            body=body,
        )
        routed = route_request(request, route)
        return await self.dispatcher._forward_in_time(
            self.dispatcher._make_in_progress(routed, responder, is_delegated=False)
        )


class _DelegatedResponse:
    """The response of another host, which comes as a whole."""

    def __init__(self, *, head: DelegatedHead, body: bytes = b"") -> None:
        self.head = head
        self._body = body

    async def read_all(self) -> bytes:
        """Return the body."""
        return self._body

    async def read_some(self) -> bytes:
        """Return the body, and then its end."""
        body, self._body = self._body, b""
        return body

    def close(self) -> None:
        """Do nothing."""


class _Delegates:
    """Passes requests to the other hosts of a fleet, whose addresses are their names."""

    def __init__(self, *, hosts: Callable[[], Sequence[ForwardingHost]]) -> None:
        self._hosts = hosts
        self.routes: dict[str, Route] = {}
        """Route of each request that the callers have sent."""

    async def send(
        self, *, address: str, request: CallerRequest, time_left_ms: int
    ) -> _DelegatedResponse:
        """Have another host send a request."""
        await asyncio.sleep(0.002)
        one = next((one for one in self._hosts() if one.host.name == address), None)
        if one is None:
            raise ExchangeError(ExchangeFailure.NOT_SENT, "the host is gone")
        if not one.host.control.reach.can_help:
            return _DelegatedResponse(head=DelegatedHead(outcome=DelegatedOutcome.UNAVAILABLE))
        responder = FakeResponder()
        received = replace(request, arrived=one.host.clock.now(), time_left_ms=time_left_ms)
        routed = route_request(received, self.routes[request.request])
        in_progress = one.dispatcher._make_in_progress(routed, responder, is_delegated=True)
        refusal = await one.dispatcher._forward_in_time(in_progress)
        if responder.begun and refusal is not None:
            raise ExchangeError(ExchangeFailure.LOST, "the stream broke off")
        if refusal is not None:
            head = DelegatedHead(outcome=DelegatedOutcome.REFUSED, refusal=refusal)
            return _DelegatedResponse(head=head)
        is_stream = self.routes[request.request].kind is RouteKind.STREAMING
        outcome = DelegatedOutcome.STREAM if is_stream else DelegatedOutcome.WHOLE
        head = DelegatedHead(outcome=outcome, status=responder.status or 0)
        return _DelegatedResponse(head=head, body=responder.body)


@dataclass(kw_only=True, eq=False)
class ForwardingFleet(Generic[U]):
    """Hosts that forward requests to shared upstreams."""

    upstreams: U
    fleet: Fleet = field(default_factory=Fleet)
    hosts: list[ForwardingHost] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    _number: int = 0

    def __post_init__(self) -> None:
        """Let hosts delegate requests to each other."""
        self._delegates = _Delegates(hosts=lambda: self.hosts)

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

    async def call(
        self,
        forwarder: ForwardingHost,
        route: Route = PLAIN_ROUTE,
        *,
        parts: Sequence[str] = (),
        body: bytes = b"body",
    ) -> Outcome:
        """Send one request to a host and wait for its outcome."""
        self._number += 1
        sent_at, host = now_ms(), forwarder.host.name
        self._delegates.routes[f"r{self._number}"] = route
        responder = _Responder(on_head=lambda headers: self.upstreams.on_passed_on(host, headers))
        refusal = await forwarder.forward(
            f"r{self._number}", route, responder, parts=parts, body=body
        )
        outcome = Outcome(
            sent_at=sent_at,
            ended_at=now_ms(),
            refusal=refusal,
            is_stream=route.kind is RouteKind.STREAMING,
            host=host,
            has_begun=responder.begun,
            has_events=bool(responder.body),
        )
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
        host.edge.prober = lambda entry: self.upstreams.probe(host.name, entry)
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
            shutdown=ShutdownSchedule(clock=host.clock),
        )
        host.order_executor = mover.execute_order
        host.control.gate.changes.subscribe(mover.on_upstreams)
        dispatcher = Dispatcher(
            context=context,
            admission=Admission(context=context, placer=host.control.client),
            stream_mover=mover,
            allowed_regions=AllowedRegions(regions={}),
            shutdown=ShutdownSchedule(clock=host.clock),
            delegates=DelegateSelector(
                find=host.control.client.get_delegates,
                failure_domain=context.failure_domain,
                clock=host.clock,
                rng=context.rng,
            ),
            delegate_client=self._delegates,
        )
        return ForwardingHost(host=host, context=context, dispatcher=dispatcher, mover=mover)


def run_with_fleet(
    fleet: ForwardingFleet[U],
    scenario: Callable[[ForwardingFleet[U]], Coroutine[Any, Any, T]],
    *,
    hosts: int = 9,
    domains: int = 3,
    engines: int = 3,
) -> T:
    """Run a scenario in virtual time with hosts that have started, and return its result."""

    async def run() -> T:
        await fleet.start(hosts=hosts, domains=domains, engines=engines)
        return await scenario(fleet)

    return run_virtually(run())


def now_ms() -> int:
    """Return the virtual time in milliseconds."""
    return int(asyncio.get_running_loop().time() * 1000)
