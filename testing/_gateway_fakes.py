"""Fakes of the interfaces of forwarding, for tests in virtual time and without a network."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random

from prometheus_client import CollectorRegistry
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.coordination import DecisionContext
from tanagerscale.coordination import EngineTotal
from tanagerscale.coordination import NamedRates
from tanagerscale.coordination import Permit
from tanagerscale.coordination import RateLimits
from tanagerscale.coordination import RepeatPermit
from tanagerscale.coordination import UpstreamHealth
from tanagerscale.coordination import WarmupRates
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import RequestId
from tanagerscale.core import Revision
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import ConnectionState
from tanagerscale.forwarding import CopyError
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import CrashReports
from tanagerscale.forwarding import DelegateSelector
from tanagerscale.forwarding import Demand
from tanagerscale.forwarding import ForwardingContext
from tanagerscale.forwarding import ForwardingMetrics
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import LocalWorkload
from tanagerscale.forwarding import PromptPart
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RoutedRequest
from tanagerscale.forwarding import RunCopy
from tanagerscale.forwarding import ShutdownSchedule
from tanagerscale.forwarding import StreamMover
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.forwarding._delegation import DelegatedResponse
from tanagerscale.generated.messages import Delegate
from tanagerscale.generated.messages import RequestClass
from tanagerscale.quarantine import SuspectTracker
from tanagerscale.routes import ANONYMOUS_CALLER
from tanagerscale.routes import CallerLimits
from tanagerscale.routes import Configuration
from tanagerscale.routes import EngineCapabilities
from tanagerscale.routes import Route
from tanagerscale.routes import RouteId
from tanagerscale.routes import RouteKind
from tanagerscale.routes import RouteTable
from tanagerscale.routes import Service
from tanagerscale.routes import Target
from tanagerscale.upstreams import EngineReport
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import NamedLimits
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamPaths
from tanagerscale.upstreams import UpstreamPauses
from tanagerscale.upstreams import UpstreamState
from testing._single_host import HOST
from testing._single_host import SingleHost
from testing._single_host import make_single_host

SERVICE = ServiceId("service")
LIMITS = CallerLimits(
    header_bytes=16_384, body_bytes=100_000, header_timeout_ms=3000, idle_timeout_ms=15_000
)
ENGINE = EngineCapabilities(
    max_batch=24,
    memory_tokens=34_000,
    token_bytes=163_840,
    link_mbps=24_000.0,
    can_move=True,
    tokens_per_event=4,
    copy_ttl_ms=5000,
    pin_ms=4000,
    hold_ms=2000,
    models=(ModelId("m"),),
)


def make_route(
    *,
    kind: RouteKind = RouteKind.IDEMPOTENT,
    prefix: str = "/a/",
    attempts: int = 2,
    timeout_ms: int = 2000,
    target_ms: int = 1500,
    name: str = "route",
    service: ServiceId = SERVICE,
    public: bool = False,
    host: str = "api.example",
) -> Route:
    """Return a route to one service."""
    return Route(
        name=RouteId(name),
        host=host,
        path_prefix=prefix,
        kind=kind,
        targets=(Target(service=service, weight=1),),
        attempts=attempts,
        timeout_ms=timeout_ms,
        target_ms=target_ms,
        gap_ms=180,
        priority=1,
        public=public,
        resumable=False,
    )


def make_table(
    *routes: Route, version: int = 1, warmup_ms: int = 0, warmup_requests_per_s: float = 0.0
) -> RouteTable:
    """Return a route table without accounts."""
    service = Service(
        name=SERVICE,
        health_path="/health",
        max_connections=100,
        engine=ENGINE,
        warmup_ms=warmup_ms,
        warmup_requests_per_s=warmup_requests_per_s,
    )
    configuration = Configuration(
        version=Revision(version),
        routes=routes,
        services=(service,),
        accounts=(),
        limits=LIMITS,
    )
    return RouteTable(configuration=configuration)


def make_entry(name: str, *, domain: str = "a", service: ServiceId = SERVICE) -> UpstreamEntry:
    """Return the entry of an upstream that accepts requests."""
    return UpstreamEntry(
        upstream=UpstreamId(name),
        name=UpstreamName(name),
        started_ms=0,
        service=service,
        address=f"{name}:1",
        failure_domain=FailureDomainId(domain),
        max_concurrency=24,
        state=UpstreamState.READY,
        warmup_ms=0,
    )


def make_request(
    *,
    name: str = "request",
    path: str = "/a/x",
    prompt: int | None = None,
    max_tokens: int = 2000,
    parts: Sequence[str] = (),
    body: bytes = b"body",
) -> CallerRequest:
    """Return a request; with ``prompt`` tokens it is a language model request."""
    demand = None
    if prompt is not None:
        demand = Demand(
            model=ModelId("m"),
            prompt_tokens=prompt,
            max_tokens=max_tokens,
            expected_tokens=None,
            parts=tuple(PromptPart(part=part, tokens=10) for part in parts),
        )
    return CallerRequest(
        request=RequestId(name),
        method="POST",
        target=path,
        host="api.example",
        path=path,
        headers=(),
        body=body,
        key=None,
        time_left_ms=None,
        arrived=Clock().now(),
        demand=demand,
        resume_after="",
    )


def route_request(request: CallerRequest, route: Route) -> RoutedRequest:
    """Return a request with its route."""
    return RoutedRequest(
        request=request,
        route=route,
        caller=ANONYMOUS_CALLER,
        service=SERVICE,
        engine=ENGINE,
        deadline=Millis(request.arrived + route.timeout_ms),
    )


@dataclass(slots=True)
class FakeResponse:
    """A response with the given chunks; ``None`` among them breaks the connection."""

    status: int = 200
    chunks: list[bytes | None] = field(default_factory=lambda: [b"answer"])
    not_executed: bool = False
    is_address_reassigned: bool = False
    closes_connection: bool = False
    is_close_delimited: bool = False
    named_rates: Sequence[float | None] = ()
    reason: str = "OK"
    headers: Sequence[Header] = (("X", "1"),)
    pause_ms: int = 0
    closed: bool = False
    next_at: float | None = None

    async def read_some(self) -> bytes:
        """Return the next chunk."""
        if self.pause_ms:
            # As with a socket, data in transit still arrives after a reader has timed out.
            loop = asyncio.get_running_loop()
            if self.next_at is None:
                self.next_at = loop.time() + self.pause_ms / 1000
            await asyncio.sleep(self.next_at - loop.time())
            self.next_at = None
        if self.closed:
            raise ExchangeError(ExchangeFailure.LOST, "closed locally")
        if not self.chunks:
            return b""
        chunk = self.chunks.pop(0)
        if chunk is None:
            raise ExchangeError(ExchangeFailure.LOST, "connection lost")
        return chunk

    async def skip(self) -> None:
        """Read and discard the body."""
        await self.read_all()

    async def read_all(self) -> bytes:
        """Return all chunks."""
        parts = []
        while part := await self.read_some():
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Close the connection."""
        self.closed = True


Reaction = FakeResponse | ExchangeError


@dataclass(slots=True)
class FakeUpstreamClient:
    """Client whose upstreams give the configured reactions in order, then the default response."""

    reactions: dict[str, deque[Reaction]] = field(default_factory=dict)
    requests: list[UpstreamRequest] = field(default_factory=list)
    hanging: set[str] = field(default_factory=set)
    delays_ms: dict[str, int] = field(default_factory=dict)
    """How long upstreams take to begin an answer; 0 for others."""
    crashed: set[str] = field(default_factory=set)
    """Upstreams that have broken off a response, and don't answer probes."""

    def set(self, upstream: str, *reactions: Reaction) -> None:
        """Replace an upstream's reactions."""
        self.reactions[upstream] = deque(reactions)

    async def send(self, *, upstream_request: UpstreamRequest) -> FakeResponse:
        """React to a request."""
        self.requests.append(upstream_request)
        name = upstream_request.upstream.upstream
        if name in self.hanging:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delays_ms.get(name, 0) / 1000)
        waiting = self.reactions.get(name)
        reaction = FakeResponse() if not waiting else waiting.popleft()
        if isinstance(reaction, ExchangeError):
            self.crashed.add(name)
            raise reaction
        if None in reaction.chunks:
            self.crashed.add(name)
        return reaction

    @property
    def asked(self) -> list[str]:
        """Upstreams that received a request, in order."""
        return [request.upstream.upstream for request in self.requests]


@dataclass(slots=True)
class FakeEngines:
    """Copies runs, or fails as configured."""

    failures: deque[CopyError] = field(default_factory=deque)
    stop_failures: deque[CopyError] = field(default_factory=deque)
    """Results of the next orders to stop a run."""
    refused: set[str] = field(default_factory=set)
    """Runs for which every copy fails."""
    unable: set[str] = field(default_factory=set)
    """Engines that take no copy. A run that was stopped for one keeps its memory at its engine."""
    copies: list[tuple[str, str, str, bool]] = field(default_factory=list)
    dropped: list[tuple[str, str]] = field(default_factory=list)
    copy_duration_ms: int = 10
    copied_events: int = 100_000
    """Events of each copied run, which are more than any run has relayed."""
    on_stop: Callable[[str], None] | None = None
    leaves_in_ms: int | None = None
    not_leaving: set[str] = field(default_factory=set)
    """Engines that report that they are not leaving."""
    reports: int = 0

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError]:
        """Copy a run."""
        self.copies.append((request, source.upstream, target.upstream, stop))
        await asyncio.sleep(self.copy_duration_ms / 1000)
        if request in self.refused:
            return Failure(copy_failure(CopyFailure.NO_ROOM))
        if target.upstream in self.unable:
            retained_copy = "retained" if stop else None
            return Failure(copy_failure(CopyFailure.NO_ROOM, retained_copy=retained_copy))
        if self.failures:
            return Failure(self.failures.popleft())
        if stop and self.stop_failures:
            error = self.stop_failures.popleft()
            if error.retained_copy is not None and self.on_stop is not None:
                self.on_stop(request)
            return Failure(error)
        if stop and self.on_stop is not None:
            self.on_stop(request)
        return Success(RunCopy(copy=f"copy-{len(self.copies)}", events=self.copied_events))

    async def report(self, *, upstream: UpstreamEntry) -> Result[EngineReport, str]:
        """Report when the engine leaves, or fail if no departure is configured."""
        self.reports += 1
        is_staying = upstream.upstream in self.not_leaving
        if self.leaves_in_ms is None and not is_staying:
            return Failure("No report; ask again later.")
        return Success(
            EngineReport(
                upstream=upstream.upstream,
                waiting=0,
                running=0,
                used_tokens=0,
                total_tokens=0,
                leaves_in_ms=None if is_staying else self.leaves_in_ms,
                is_leaving=not is_staying,
                runs=(),
            )
        )

    async def drop_copy(self, *, holder: UpstreamEntry, copy: str) -> None:
        """Record the freed copy."""
        self.dropped.append((holder.upstream, copy))


@dataclass(slots=True)
class FakeUpstreams:
    """Known upstreams and their state."""

    entries: list[UpstreamEntry] = field(default_factory=list)
    leaving: set[str] = field(default_factory=set)
    leaving_ms: dict[str, int] = field(default_factory=dict)
    """Time since the notices of leaving upstreams, in milliseconds; 0 for others."""
    down: list[str] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
    is_current: bool = True
    on_leaving: Callable[[UpstreamId], None] = lambda _: None
    evacuated: set[str] = field(default_factory=set)
    """Failure domains that are evacuated."""
    cold: dict[str, int] = field(default_factory=dict)
    """Remaining warm-up time of upstreams, in milliseconds."""
    taken_back: dict[str, int] = field(default_factory=dict)
    """Time since the evacuation of upstreams ended, in milliseconds."""

    def get(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return an entry."""
        return next((entry for entry in self.entries if entry.upstream == upstream), None)

    def warmup_ms(self, upstream: UpstreamId) -> int:
        """Return the remaining warm-up time of an upstream."""
        return self.cold.get(upstream, 0)

    def since_evacuation_ms(self, upstream: UpstreamId) -> int | None:
        """Return the time since an evacuation ended."""
        return self.taken_back.get(upstream)

    def open_for(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return upstreams of a service that are neither leaving nor evacuated."""
        return [
            entry
            for entry in self.entries
            if entry.service == service
            and entry.upstream not in self.leaving
            and entry.failure_domain not in self.evacuated
        ]

    def is_evacuated(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is in an evacuated failure domain."""
        entry = self.get(upstream)
        return entry is not None and entry.failure_domain in self.evacuated

    def has_evacuated(self, service: ServiceId) -> bool:
        """Return whether an upstream of a service is evacuated."""
        return any(
            entry.service == service and entry.failure_domain in self.evacuated
            for entry in self.entries
        )

    def not_leaving(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the same upstreams as ``open_for``."""
        return self.open_for(service)

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is leaving."""
        return upstream in self.leaving

    def leaving_for_ms(self, upstream: UpstreamId) -> int | None:
        """Return the time since the notice of a leaving upstream."""
        return self.leaving_ms.get(upstream, 0) if upstream in self.leaving else None

    def is_broken(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream was marked down."""
        return upstream in self.down

    def record_own_notice(self, *, upstream: UpstreamId) -> None:
        """Mark an upstream as leaving and notify the listener."""
        if upstream not in self.leaving:
            self.leaving.add(upstream)
            self.on_leaving(upstream)

    def record_gone(self, *, upstream: UpstreamId) -> None:
        """Mark an upstream as gone."""
        self.gone.append(upstream)
        self.leaving.add(upstream)

    def record_failure(self, *, upstream: UpstreamId) -> None:
        """Mark an upstream as down."""
        self.down.append(upstream)

    def record_success(self, *, upstream: UpstreamId) -> None:
        """Do nothing."""


@dataclass(slots=True)
class FakeResponder:
    """Records what a caller would receive."""

    status: int | None = None
    body: bytes = b""
    refusal: Refusal | None = None
    ended: bool = False
    aborted: bool = False

    @property
    def begun(self) -> bool:
        """Whether the status was sent."""
        return self.status is not None

    @property
    def connection_state(self) -> ConnectionState:
        """An open connection."""
        return ConnectionState()

    async def begin(self, *, status: int, reason: str, headers: Sequence[Header]) -> None:
        """Record the status."""
        self.status = status

    async def write(self, chunk: bytes) -> None:
        """Record a chunk."""
        self.body += chunk

    async def end(self) -> None:
        """Record the end."""
        self.ended = True

    async def respond(
        self, *, status: int, reason: str, headers: Sequence[Header], body: bytes
    ) -> None:
        """Record a complete response."""
        self.status, self.body, self.ended = status, body, True

    async def refuse(self, *, refusal: Refusal) -> None:
        """Record a refusal."""
        self.refusal = refusal

    def abort(self) -> None:
        """Record that the connection was broken."""
        self.aborted = True


@dataclass(slots=True)
class FakeRetryPermits:
    """Allows ``slack`` retries and one for every five requests."""

    slack: float
    requests: int = 0
    granted: int = 0

    def count_request(self, *, service: ServiceId) -> None:
        """Count a request."""
        self.requests += 1

    async def may_repeat(self, *, service: ServiceId) -> bool:
        """Use a retry if one is left."""
        if self.granted + 1 > self.slack + 0.2 * self.requests:
            return False
        self.granted += 1
        return True

    async def acquire_resume(self, *, service: ServiceId) -> RepeatPermit:
        """Use a retry for a run that continues if one is left."""
        is_granted = await self.may_repeat(service=service)
        return RepeatPermit(is_granted=is_granted, delay_ms=0 if is_granted else 100)


@dataclass(slots=True)
class FakeRatePermits:
    """Decides locally on requests to upstreams with rate limits."""

    upstreams: FakeUpstreams
    rate_limits: RateLimits
    asked: list[str] = field(default_factory=list)

    async def acquire(
        self,
        *,
        upstreams: Sequence[UpstreamId],
        kind: RequestClass,
        wait_ms: int = 0,
        prompt_ms: int = 0,
    ) -> Permit:
        """Count a request if the rate limit of one upstream allows one more."""
        self.asked += upstreams
        return self.rate_limits.acquire(upstreams, kind, wait_ms=wait_ms, prompt_ms=prompt_ms)


@dataclass(slots=True)
class FakeTables:
    """The declarations in force."""

    table: RouteTable | None = None


@dataclass(slots=True)
class GatewayFakes:
    """All fakes, and the components built on them."""

    upstream_client: FakeUpstreamClient
    engines: FakeEngines
    upstreams: FakeUpstreams
    tables: FakeTables
    work: LocalWorkload
    context: ForwardingContext
    rate_permits: FakeRatePermits
    single_host: SingleHost

    @property
    def pauses(self) -> UpstreamPauses:
        """Upstreams that asked for a pause."""
        return self.context.pauses

    def totals(self) -> dict[UpstreamId, EngineTotal]:
        """Return the load of the engines as it is counted for decisions."""
        return self.single_host.coordinator.ledger.totals()


class NoDelegates:
    """Stands for a host to which no other one answers."""

    async def send(
        self, *, address: str, request: CallerRequest, time_left_ms: int
    ) -> DelegatedResponse:
        """Fail to connect."""
        raise ExchangeError(ExchangeFailure.NOT_SENT, "no other host")


def make_delegate_selector(context: ForwardingContext, *delegates: Delegate) -> DelegateSelector:
    """Return a selector of some delegates."""

    async def find() -> Sequence[Delegate]:
        return delegates

    return DelegateSelector(
        find=find, failure_domain=context.failure_domain, clock=context.clock, rng=context.rng
    )


def make_certain_paths(clock: Clock) -> UpstreamPaths:
    """Return the paths of a host that knows of no upstream to probe, and is never cut off."""

    async def probe(entry: UpstreamEntry, force_new: bool) -> bool:
        return True

    return UpstreamPaths(probe=probe, known=lambda: (), clock=clock, rng=Random(1))


def make_crash_reports(
    suspects: SuspectTracker, client: FakeUpstreamClient, clock: Clock
) -> CrashReports:
    """Return the reports of a host that always reaches an upstream of another service."""
    elsewhere = make_entry("elsewhere", service=ServiceId("elsewhere"))

    async def probe(entry: UpstreamEntry, force_new: bool) -> bool:
        return entry.upstream not in client.crashed

    return CrashReports(
        suspects=suspects,
        paths=UpstreamPaths(probe=probe, known=lambda: [elsewhere], clock=clock, rng=Random(1)),
        is_leaving=lambda _: False,
        have_peers_path=lambda: False,
        clock=clock,
        rng=Random(1),
    )


def make_gateway_fakes(*entries: UpstreamEntry, slack: float = 100.0) -> GatewayFakes:
    """Return components built on fakes.

    :param entries: The upstreams.
    :param slack: Number of retries that are allowed regardless of the number of requests.
    """
    clock = Clock()
    upstream_client, engines = FakeUpstreamClient(), FakeEngines()
    upstreams, tables = FakeUpstreams(entries=list(entries)), FakeTables()
    work = LocalWorkload(clock=clock)
    health = UpstreamHealth(service_of=lambda _: SERVICE, clock=clock)
    named_limits = NamedLimits(clock=clock)
    rate_limits = RateLimits(
        host=HOST,
        sources=[
            WarmupRates(tables=tables, upstreams=upstreams),
            NamedRates(named=named_limits),
        ],
        share=lambda: 1.0,
        clock=clock,
    )
    rate_permits = FakeRatePermits(upstreams=upstreams, rate_limits=rate_limits)
    suspects = SuspectTracker(clock=clock)
    context = ForwardingContext(
        tables=tables,
        upstreams=upstreams,
        gate=upstreams,
        paths=make_certain_paths(clock),
        pauses=UpstreamPauses(clock=clock),
        named_limits=named_limits,
        suspects=suspects,
        crash_reports=make_crash_reports(suspects, upstream_client, clock),
        health=health,
        upstream_client=upstream_client,
        engines=engines,
        work=work,
        retry_permits=FakeRetryPermits(slack=slack),
        rate_limits=rate_limits,
        rate_permits=rate_permits,
        metrics=ForwardingMetrics(registry=CollectorRegistry()),
        failure_domain=FailureDomainId("a"),
        clock=clock,
        rng=Random(1),
    )
    decisions = DecisionContext(
        tables=FakeTables(table=make_table()),
        upstreams=upstreams,
        gate=upstreams,
        health=health,
        rate_limits=rate_limits,
        clock=clock,
        rng=context.rng,
    )
    single_host = make_single_host(
        context=decisions, engines=engines, pauses=context.pauses, work=work
    )
    upstreams.on_leaving = single_host.on_leaving
    return GatewayFakes(
        upstream_client=upstream_client,
        engines=engines,
        upstreams=upstreams,
        tables=tables,
        work=work,
        context=context,
        rate_permits=rate_permits,
        single_host=single_host,
    )


def make_stream_mover(fakes: GatewayFakes) -> StreamMover:
    """Return the mover of a host's streams, with that host as its own decider."""
    movers = StreamMover(
        context=fakes.context,
        check_decider=fakes.single_host.client.check_decider,
        query_engine=fakes.single_host.coordinator.query_engine,
        shutdown=ShutdownSchedule(clock=fakes.context.clock),
    )
    fakes.single_host.movers = movers
    return movers


def copy_failure(failure: CopyFailure, *, retained_copy: str | None = None) -> CopyError:
    """Return a failed copy."""
    return CopyError(failure=failure, detail="Configured by the test.", retained_copy=retained_copy)
