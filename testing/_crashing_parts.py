"""Upstreams in virtual time that crash on some requests, and callers that send them to hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from random import Random
from typing import Any
from typing import TypeVar
from typing import final

from returns.result import Failure
from returns.result import Result

from standins.crashing_part_rule import CrashingArrival
from standins.crashing_part_rule import CrashingPartRule
from standins.crashing_part_rule import SoundTry
from tanagerscale.core import RequestId
from tanagerscale.forwarding import CopyError
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import Header
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import RunCopy
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.generated.gateway import RetrySection
from tanagerscale.routes import Route
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from testing._forwarding_fleet import SHORT_ROUTE
from testing._forwarding_fleet import ForwardingFleet
from testing._forwarding_fleet import ForwardingHost
from testing._forwarding_fleet import Outcome
from testing._forwarding_fleet import now_ms
from testing._forwarding_fleet import run_with_fleet
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import copy_failure
from testing._many_hosts import Fleet

T = TypeVar("T")

PROMPT_MS = 250
"""Time in which an upstream processes a prompt."""
CRASH_MS = 50
"""Time from the head of the response to the crash of the upstream."""
EVENT_MS = 30
SHORT_EVENTS = 3
LONG_EVENTS = 120
RESTART_MS = 4000
"""Time from a crash until another incarnation of the upstream is registered."""
REMOVAL_MS = 2000
"""Time from a crash until the entry of the upstream is removed."""
RULE = CrashingPartRule()
ROUTE_PART = "route"
BAD_PART = "bad"


@final
class CrashingUpstreams:
    """Upstreams that crash once they begin to answer requests that ``crashes`` selects."""

    def __init__(self) -> None:
        self.bad_parts: set[str] = {BAD_PART}
        """Parts that crash upstreams."""
        self.bad_bodies: set[bytes] = set()
        """Bodies that crash upstreams."""
        self.crashes: list[int] = []
        """Times of the crashes under these parts and bodies."""
        self.arrivals: list[CrashingArrival] = []
        """Requests with these parts and bodies that have arrived."""
        self.down: set[str] = set()
        """Upstreams that refuse connections."""
        self.cuts: set[str] = set()
        """Hosts whose connections to all upstreams are reset."""
        self.restarts = True
        self.fleet: Fleet | None = None
        self._numbers = count(1)
        self._responses: dict[str, dict[_Response, str]] = {}
        """Responses of each upstream that are under way, and their hosts."""
        self._ends: dict[str, asyncio.Future[None]] = {}
        self._background: set[asyncio.Task[None]] = set()

    def is_crashing(self, upstream_request: UpstreamRequest) -> bool:
        """Return whether a request crashes the upstream that begins to answer it."""
        request = upstream_request.request
        parts = request.demand.parts[:-1] if request.demand is not None else ()
        return request.body in self.bad_bodies or any(part.part in self.bad_parts for part in parts)

    def crash(self, upstream: str) -> None:
        """Break all connections of an upstream, and replace it some seconds later."""
        if upstream in self.down:
            return
        self.down.add(upstream)
        for response in self._responses.pop(upstream, {}):
            response.chunks[:] = [None]
            response.pause_ms = 0
        end = self._ends.pop(upstream, None)
        if end is not None:
            end.set_result(None)
        task = asyncio.get_running_loop().create_task(self._replace(upstream))
        self._background.add(task)

    async def _replace(self, upstream: str) -> None:
        assert self.fleet is not None
        await asyncio.sleep(REMOVAL_MS / 1000)
        self.fleet.remove_engine(upstream)
        if self.restarts:
            await asyncio.sleep((RESTART_MS - REMOVAL_MS) / 1000)
            self.fleet.set_engine(f"{upstream.partition('.')[0]}.{next(self._numbers)}")

    def cut_off(self, host: str) -> None:
        """Reset the connections of a host to all upstreams, and refuse new ones."""
        self.cuts.add(host)
        for responses in self._responses.values():
            for response, sender in responses.items():
                if sender == host:
                    response.chunks[:] = [None]
                    response.pause_ms = 0

    async def serve(self, host: str, upstream_request: UpstreamRequest) -> FakeResponse:
        """Respond to a request."""
        upstream = str(upstream_request.upstream.upstream)
        await asyncio.sleep(0.001)
        if upstream in self.down or host in self.cuts:
            raise ExchangeError(ExchangeFailure.NOT_SENT, "no connection")
        is_crashing = self.is_crashing(upstream_request)
        if is_crashing:
            self.arrivals.append(CrashingArrival(now_ms(), host))
        await self._process_prompt(upstream)
        if host in self.cuts:
            raise ExchangeError(ExchangeFailure.LOST, "connection reset")
        if is_crashing:
            return self._begin_crash(upstream, host)
        return self._begin(upstream, host, upstream_request)

    async def _process_prompt(self, upstream: str) -> None:
        end = self._ends.setdefault(upstream, asyncio.get_running_loop().create_future())
        await asyncio.wait([end], timeout=PROMPT_MS / 1000)
        if upstream in self.down:
            raise ExchangeError(ExchangeFailure.LOST, "connection reset")

    def _begin_crash(self, upstream: str, host: str) -> FakeResponse:
        response = _Response(chunks=[None], pause_ms=CRASH_MS)

        def crash() -> None:
            if not response.closed and upstream not in self.down:
                self.crashes.append(now_ms())
                self.crash(upstream)

        asyncio.get_running_loop().call_later(CRASH_MS / 1000, crash)
        self._responses.setdefault(upstream, {})[response] = host
        return response

    def _begin(self, upstream: str, host: str, upstream_request: UpstreamRequest) -> FakeResponse:
        demand, origin = upstream_request.request.demand, upstream_request.continuation
        if demand is None:
            return FakeResponse()
        after = 0 if origin is None else origin.after_event
        events = SHORT_EVENTS if demand.max_tokens < 200 else LONG_EVENTS
        response = _Response(
            chunks=[
                f"id: {number}\ndata: {number}\n\n".encode()
                for number in range(after + 1, events + 1)
            ],
            pause_ms=EVENT_MS,
        )
        self._responses.setdefault(upstream, {})[response] = host
        return response

    async def copy(
        self, *, source: UpstreamEntry, request: RequestId, target: UpstreamEntry, stop: bool
    ) -> Result[RunCopy, CopyError] | None:
        """Copy a run; fail if either upstream is down."""
        await asyncio.sleep(0.02)
        if source.upstream in self.down:
            return Failure(copy_failure(CopyFailure.LOST))
        if target.upstream in self.down:
            return Failure(copy_failure(CopyFailure.NO_ROOM))
        return None

    async def probe(self, host: str, upstream: UpstreamEntry) -> bool:
        """Return whether an upstream answers a host."""
        await asyncio.sleep(0.001)
        return host not in self.cuts and str(upstream.upstream) not in self.down

    def on_passed_on(self, host: str, headers: Sequence[Header]) -> None:
        """Ignore the heads of responses."""


@final
class _Response(FakeResponse):
    """A response that can be a key, as it is equal to no other."""

    __slots__ = ()
    __eq__ = object.__eq__
    __hash__ = object.__hash__


CrashingFleet = ForwardingFleet[CrashingUpstreams]


@dataclass(kw_only=True, eq=False)
class PartTraffic:
    """Callers that send sound requests, and requests with a part that crashes upstreams.

    :param fleet: The hosts.
    :param sound_per_s: Sound requests a second.
    :param routes: Routes of the sound requests.
    :param accounts: Number of client accounts, each with a part of its own.
    """

    fleet: CrashingFleet
    sound_per_s: float = 7.0
    routes: Sequence[Route] = (SHORT_ROUTE,)
    accounts: int = 4
    seed: int = 1
    sound: list[Outcome] = field(default_factory=list)
    bad: list[Outcome] = field(default_factory=list)
    disturbed_at: int = 0
    """When the first crashing request was sent; before that, all is as usual."""
    last_bad_at: int = 0
    _numbers: Any = field(default_factory=lambda: count(1))

    def __post_init__(self) -> None:
        """Start with seeded choices."""
        self._rng = Random(self.seed)

    async def send_sound(self, *, seconds: float) -> None:
        """Send sound requests at random times to random hosts, and wait until all have ended."""
        ends_at = asyncio.get_running_loop().time() + seconds
        async with asyncio.TaskGroup() as calls:
            while asyncio.get_running_loop().time() < ends_at:
                await asyncio.sleep(self._rng.expovariate(self.sound_per_s))
                calls.create_task(self.send_one_sound())

    async def send_one_sound(self, *parts: str) -> None:
        """Send a sound request, in which parts may stand between those that requests share."""
        account = f"account-{self._rng.randrange(self.accounts)}"
        route = self._rng.choice(self.routes)
        forwarder = self._rng.choice(self.fleet.hosts)
        number = next(self._numbers)
        outcome = await self.fleet.call(
            forwarder,
            route,
            parts=(ROUTE_PART, account, *parts, f"own-{number}"),
            body=f"sound {number}".encode(),
        )
        self.sound.append(outcome)

    async def send_bad(
        self,
        forwarder: ForwardingHost | None = None,
        *,
        route: Route = SHORT_ROUTE,
        is_first: bool = False,
        part: str = BAD_PART,
    ) -> None:
        """Send a request with a crashing part, which shares all else with sound requests.

        :param forwarder: The host that gets it; ``None`` for a random one.
        :param route: Its route.
        :param is_first: Whether the part is the first of the prompt.
        :param part: The part.
        """
        self.disturbed_at = self.disturbed_at or now_ms()
        self.last_bad_at = now_ms()
        number = next(self._numbers)
        account = f"account-{self._rng.randrange(self.accounts)}"
        shared = (part, account) if is_first else (ROUTE_PART, account, part)
        outcome = await self.fleet.call(
            forwarder or self._rng.choice(self.fleet.hosts),
            route,
            parts=(*shared, f"own-{number}"),
            body=f"bad {number}".encode(),
        )
        self.bad.append(outcome)

    def find_violation(self, *, is_in_touch: Callable[[str, int], bool] | None = None) -> str:
        """Return the first broken rule; empty if all are kept."""
        upstreams = self.fleet.upstreams
        tries = [
            SoundTry(
                at=one.sent_at,
                has_begun=one.has_events,
                is_usual=one.ended_at < self.disturbed_at,
            )
            for one in self.sound
        ]
        return RULE.find_excess(
            crashes=upstreams.crashes,
            arrivals=upstreams.arrivals,
            is_in_touch=is_in_touch or (lambda _host, _at: True),
        ) or RULE.find_neglect(crashes=upstreams.crashes, last_sent=self.last_bad_at, tries=tries)

    @property
    def refused_sound(self) -> int:
        """Number of sound requests that were refused as ones that crash upstreams."""
        return sum(
            one.refusal is not None and one.refusal.kind is RefusalKind.QUARANTINED
            for one in self.sound
        )


def run_with_crashing_fleet(
    scenario: Callable[[CrashingFleet], Coroutine[Any, Any, T]],
    *,
    hosts: int = 9,
    engines: int = 5,
) -> T:
    """Run a scenario in virtual time with hosts that have started, and return its result."""
    upstreams = CrashingUpstreams()
    fleet = CrashingFleet(upstreams=upstreams, fleet=Fleet(retries=RetrySection(slack=60)))
    upstreams.fleet = fleet.fleet
    return run_with_fleet(fleet, scenario, hosts=hosts, engines=engines)
