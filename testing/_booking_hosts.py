"""Simulated hosts that claim and send bookings as dispatch does, and can crash or be frozen."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import Enum
from enum import unique
import random
from typing import Any
from typing import final

from returns.result import Failure
from returns.result import Result

from tanagerscale.claims import ClaimKey
from tanagerscale.claims import ClaimOutcome
from tanagerscale.claims import Claims
from tanagerscale.claims import Granted
from tanagerscale.claims import InProgress
from tanagerscale.claims import Recorded
from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.core import ServiceId
from tanagerscale.generated.records import ClaimState
from testing._fake_store import FakeBackend
from testing._faulty_store import FaultyStore

TTL_S = 60
ANSWER_STATUS = 201
SERVICE_DELAY_MS = 50


@unique
class CrashPoint(Enum):
    """Step of a call at which a host can crash."""

    CLAIMED = "claimed"
    SENT = "sent"
    ANSWERED = "answered"


@unique
class CallResult(Enum):
    """Result that a caller receives."""

    ANSWER = "answer"
    NOT_EXECUTED = "not-executed"
    UNKNOWN = "unknown"


@final
class BookingService:
    """Service that counts the bookings it executes."""

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self.refuses_calls = False
        self.delay_ms = SERVICE_DELAY_MS

    def receive(self, name: str) -> bool:
        """Execute a booking, unless the service refuses all calls.

        :returns: Whether it was executed.
        """
        if self.refuses_calls:
            return False
        self.executions[name] += 1
        return True


@final
class BookingHost:
    """One incarnation of a host.

    :param name: Id of the host.
    :param incarnation: Incarnation number.
    :param cluster: Cluster of the host.
    :param ttl_s: Lifetime of its claims, in seconds.
    """

    def __init__(
        self, *, name: str, incarnation: int, cluster: BookingCluster, ttl_s: int = TTL_S
    ) -> None:
        self.ttl_s = ttl_s
        self.name = HostId(name)
        self.incarnation = incarnation
        self.store = FaultyStore(backend=cluster.backend)
        self.crash_point: CrashPoint | None = None
        self.crashed = False
        self.clock = Clock()
        self._cluster = cluster
        self.claims = Claims(
            store=self.store,
            prefix="/t",
            host=self.name,
            incarnation=incarnation,
            clock=self.clock,
            rng=random.Random(f"{name}{incarnation}"),
            is_live=cluster.is_live,
        )

    async def book(
        self, name: str, *, digest: str = "d", on_executed: Callable[[], None] = lambda: None
    ) -> CallResult:
        """Claim and send one booking as dispatch does, and return the result of the caller.

        :param name: Name of the booking, used as its idempotency key.
        :param digest: Digest of the request.
        :param on_executed: Called when the service has executed the booking.
        """
        result = await self.claim(name, digest=digest)
        if isinstance(result, Failure):
            return get_call_result(result.failure())
        answer = result.unwrap()
        if isinstance(answer, Recorded):
            assert answer.outcome.body == name.encode()
            return CallResult.ANSWER
        if isinstance(answer, InProgress):
            return get_call_result(answer.problem)
        return await self._dispatch(name, claim=answer, on_executed=on_executed)

    async def claim(
        self, name: str, *, digest: str = "d"
    ) -> Result[Granted | Recorded | InProgress, Problem]:
        """Claim a booking without sending it."""
        return await self.claims.claim(
            key=build_claim_key(name), request_digest=digest, ttl_s=self.ttl_s
        )

    def crash(self) -> None:
        """Crash the host: it sends and receives nothing more."""
        self.store.freeze()
        self.crashed = True

    async def _dispatch(
        self, name: str, *, claim: Granted, on_executed: Callable[[], None]
    ) -> CallResult:
        await self._pass_crash_point(CrashPoint.CLAIMED)
        if not claim.may_dispatch(now=self.clock.now()):
            self.claims.settle(claim=claim, outcome=NOT_EXECUTED)
            return CallResult.NOT_EXECUTED
        if not self._cluster.service.receive(name):
            self.claims.settle(claim=claim, outcome=NOT_EXECUTED)
            return CallResult.NOT_EXECUTED
        on_executed()
        await self._pass_crash_point(CrashPoint.SENT)
        await self.clock.sleep(self._cluster.service.delay_ms)
        await self._pass_crash_point(CrashPoint.ANSWERED)
        done = ClaimOutcome(state=ClaimState.DONE, status=ANSWER_STATUS, body=name.encode())
        self.claims.settle(claim=claim, outcome=done)
        return CallResult.ANSWER

    async def _pass_crash_point(self, point: CrashPoint) -> None:
        if self.crash_point is point:
            self.crash()
        await self.store.wait_until_running()


@final
class BookingCluster:
    """Shared store, service and hosts of a simulation."""

    def __init__(self) -> None:
        self.backend = FakeBackend()
        self.service = BookingService()
        self.hosts: list[BookingHost] = []

    def start(self, name: str, *, incarnation: int = 1, ttl_s: int = TTL_S) -> BookingHost:
        """Start an incarnation of a host."""
        host = BookingHost(name=name, incarnation=incarnation, cluster=self, ttl_s=ttl_s)
        self.hosts.append(host)
        return host

    def is_live(self, host: HostId, incarnation: int) -> bool:
        """Return whether a host runs with this incarnation number."""
        return any(
            not known.crashed and (known.name, known.incarnation) == (host, incarnation)
            for known in self.hosts
        )


NOT_EXECUTED = ClaimOutcome(state=ClaimState.NOT_EXECUTED)


def build_claim_key(name: str) -> ClaimKey:
    """Return the claim key of a booking."""
    return ClaimKey(
        account=ClientAccountId("office"), service=ServiceId("booking"), idempotency_key=name
    )


def get_call_result(problem: Problem) -> CallResult:
    """Return the result that a problem means to its caller."""
    if problem.execution is Execution.NOT_EXECUTED:
        return CallResult.NOT_EXECUTED
    return CallResult.UNKNOWN


async def cancel_tasks(*tasks: asyncio.Task[Any]) -> None:
    """Cancel tasks that are still running on crashed hosts."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
