"""A host that stops, whose upstreams and delegates take as long as a test says."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique

from msgspec import structs

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Dispatcher
from tanagerscale.forwarding import ShutdownSchedule
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.forwarding._delegation import DelegatedResponse
from tanagerscale.forwarding._shutdown import SHORT_STREAM_MS
from tanagerscale.gateway._graceful_shutdown import drain_requests
from tanagerscale.generated.messages import Delegate
from tanagerscale.routes import AllowedRegions
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import NoDelegates
from testing._gateway_fakes import make_delegate_selector
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_stream_mover
from testing._gateway_fakes import make_table

GRACE_S = 8.0
DUE_MS = 7100
"""Time from the start of a shutdown until final responses are due, with that grace period."""
LISTENING_MS = 2500
"""How long a stopping host accepts connections."""
TARGET_MS = 1500
TIMEOUT_MS = 39_000
"""Longer than the grace period."""
SHORT_TOKENS = 12
NAMES = ("x", "y", "z")

UNSAFE = make_route(
    kind=RouteKind.NON_IDEMPOTENT, prefix="/unsafe/", timeout_ms=TIMEOUT_MS, name="unsafe"
)
SAFE = make_route(
    kind=RouteKind.IDEMPOTENT, prefix="/safe/", timeout_ms=TIMEOUT_MS, name="safe", attempts=3
)
STREAM = make_route(
    kind=RouteKind.STREAMING, prefix="/stream/", timeout_ms=TIMEOUT_MS, name="stream"
)


@unique
class End(Enum):
    """What an upstream does at the end of its work."""

    ANSWERED = "answered"
    NOT_EXECUTED = "not-executed"
    BROKEN_OFF = "broken-off"
    UNREACHED = "unreached"
    """Its connection can't be opened, so that it never gets the request."""


@dataclass(frozen=True, kw_only=True)
class Work:
    """What an upstream does with one request.

    :param connect_ms: How long its connection takes to open.
    :param work_ms: How long it has the request.
    :param end: What it does then.
    """

    connect_ms: int = 0
    work_ms: int = 50
    end: End = End.ANSWERED


@dataclass(kw_only=True)
class Arrival:
    """A request that has reached an upstream.

    :param request: Its id.
    :param finished_ms: When it is expected to be finished, after the start of the shutdown.
    :param end: What became of it; ``None`` while the upstream has it, or after it was given up.
    """

    request: str
    finished_ms: int
    end: End | None = None


def _expect_ms(request: CallerRequest, *, elapsed_ms: int) -> int:
    """Return how long a request is expected to take from now on, at most until its deadline.

    :param request: The request.
    :param elapsed_ms: Time since the start of the shutdown.
    """
    limit_ms = TIMEOUT_MS if request.time_left_ms is None else request.time_left_ms
    now = Clock().now()
    left_ms = request.arrived + limit_ms - now
    if request.demand is not None:
        return min(TARGET_MS + SHORT_STREAM_MS, left_ms)
    has_missed_target = elapsed_ms >= LISTENING_MS and now - request.arrived > TARGET_MS
    return left_ms if has_missed_target else min(TARGET_MS, left_ms)


@dataclass
class Upstreams:
    """Upstreams that work as told, in the order of the requests for them.

    :param shutdown: Schedule of the host.
    :param works: What they do; the last one repeats.
    """

    shutdown: ShutdownSchedule
    works: list[Work]
    arrivals: list[Arrival] = field(default_factory=list)

    async def send(self, *, upstream_request: UpstreamRequest) -> FakeResponse:
        """Open a connection, check whether the request may still be sent, and work on it."""
        work = self.works.pop(0) if len(self.works) > 1 else self.works[0]
        await asyncio.sleep(work.connect_ms / MS_PER_SECOND)
        if work.end is End.UNREACHED:
            raise ExchangeError(ExchangeFailure.NOT_SENT, "connection refused")
        upstream_request.check()
        request = upstream_request.request
        elapsed_ms = self.shutdown.elapsed_ms
        finished_ms = elapsed_ms + _expect_ms(request, elapsed_ms=elapsed_ms)
        arrival = Arrival(request=request.request, finished_ms=finished_ms)
        self.arrivals.append(arrival)
        await asyncio.sleep(work.work_ms / MS_PER_SECOND)
        arrival.end = work.end
        if work.end is End.BROKEN_OFF:
            raise ExchangeError(ExchangeFailure.LOST, "connection reset")
        if work.end is End.NOT_EXECUTED:
            return FakeResponse(status=503, not_executed=True, chunks=[])
        return FakeResponse(chunks=[b"id: 1\ndata: 1\n\n"])


class Delegates(NoDelegates):
    """Another host, which never answers the requests that it gets."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def send(
        self, *, address: str, request: CallerRequest, time_left_ms: int
    ) -> DelegatedResponse:
        """Record a request, and hang."""
        self.asked.append(request.request)
        await asyncio.Event().wait()
        return await super().send(address=address, request=request, time_left_ms=time_left_ms)


class OpenConnections:
    """A server whose connections all stay open until the host ends."""

    async def stop_listening(self) -> None:
        """Do nothing; the test sends requests directly."""

    def drain(self, *, idle_ms: int) -> bool:
        """Return that connections are left."""
        return False

    def has_unanswered(self) -> bool:
        """Return that no response is looked for at the end."""
        return False


class Host:
    """A dispatcher whose upstreams, delegates and shutdown are the test's.

    :param works: What the upstreams do.
    """

    def __init__(self, works: Sequence[Work]) -> None:
        clock = Clock()
        self.shutdown = ShutdownSchedule(clock=clock)
        self.upstreams = Upstreams(self.shutdown, list(works))
        self.delegates = Delegates()
        self.fakes: GatewayFakes = make_gateway_fakes(*(make_entry(name) for name in NAMES))
        self.fakes.context = structs.replace(self.fakes.context, upstream_client=self.upstreams)
        self.configure(version=1)
        context = self.fakes.context
        self.dispatcher = Dispatcher(
            context=context,
            admission=Admission(context=context, placer=self.fakes.single_host.client),
            stream_mover=make_stream_mover(self.fakes),
            allowed_regions=AllowedRegions(regions={}),
            shutdown=self.shutdown,
            delegates=make_delegate_selector(
                context, Delegate(host="other", address="other:1", failure_domain="a")
            ),
            delegate_client=self.delegates,
        )

    def configure(self, *, version: int) -> None:
        """Put a configuration with the same routes in force."""
        self.fakes.tables.table = make_table(UNSAFE, SAFE, STREAM, version=version)

    def call(
        self, request: CallerRequest, *, is_delegated: bool = False
    ) -> asyncio.Task[FakeResponder]:
        """Serve a request in a task that returns what its caller receives."""

        async def serve() -> FakeResponder:
            responder = FakeResponder()
            await self.dispatcher.serve(request, responder, is_delegated=is_delegated)
            return responder

        return asyncio.create_task(serve())

    async def stop(self, *, grace_s: float = GRACE_S) -> None:
        """Shut the host down."""
        self.shutdown.begin(grace_s=grace_s)
        await drain_requests(
            servers=(OpenConnections(),),
            schedule=self.shutdown,
            end_unfinishable=self.dispatcher.end_unfinishable,
            sleep=self.fakes.context.clock.sleep,
        )
