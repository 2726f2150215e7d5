"""Hosts that book at one service through claims, as dispatch does, and can die or freeze."""

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
SERVICE_MS = 50


@unique
class CrashPoint(Enum):
    """Where a host can die."""

    CLAIMED = "claimed"
    SENT = "sent"
    ANSWERED = "answered"


@unique
class CallResult(Enum):
    """What a caller is told."""

    ANSWER = "answer"
    NOT_EXECUTED = "not-executed"
    UNKNOWN = "unknown"


@final
class BookingService:
    """Counts what it executes."""

    def __init__(self) -> None:
        self.executions: Counter[str] = Counter()
        self.refuses = False
        self.delay_ms = SERVICE_MS

    def receive(self, name: str) -> bool:
        """Execute a booking, unless the service refuses all."""
        if self.refuses:
            return False
        self.executions[name] += 1
        return True


@final
class BookingHost:
    """One life of a host."""

    def __init__(
        self, *, name: str, incarnation: int, platform: BookingCluster, ttl_s: int = TTL_S
    ) -> None:
        self.ttl_s = ttl_s
        self.name = HostId(name)
        self.incarnation = incarnation
        self.store = FaultyStore(backend=platform.backend)
        self.dies_at: CrashPoint | None = None
        self.dead = False
        self.clock = Clock()
        self._platform = platform
        self.claims = Claims(
            store=self.store,
            prefix="/t",
            host=self.name,
            incarnation=incarnation,
            clock=self.clock,
            rng=random.Random(f"{name}{incarnation}"),
            is_live=platform.is_live,
        )

    async def book(
        self, name: str, *, digest: str = "d", on_executed: Callable[[], None] = lambda: None
    ) -> CallResult:
        """Make one booking as dispatch would and return what the caller is told."""
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
        """Only claim."""
        return await self.claims.claim(
            key=build_claim_key(name), request_digest=digest, ttl_s=self.ttl_s
        )

    def die(self) -> None:
        """End this life at once; nothing more leaves the host."""
        self.store.freeze()
        self.dead = True

    async def _dispatch(
        self, name: str, *, claim: Granted, on_executed: Callable[[], None]
    ) -> CallResult:
        await self._reach(CrashPoint.CLAIMED)
        if not claim.may_dispatch(now=self.clock.now()):
            self.claims.settle(claim=claim, outcome=NOT_EXECUTED)
            return CallResult.NOT_EXECUTED
        if not self._platform.service.receive(name):
            self.claims.settle(claim=claim, outcome=NOT_EXECUTED)
            return CallResult.NOT_EXECUTED
        on_executed()
        await self._reach(CrashPoint.SENT)
        await self.clock.sleep(self._platform.service.delay_ms)
        await self._reach(CrashPoint.ANSWERED)
        done = ClaimOutcome(state=ClaimState.DONE, status=ANSWER_STATUS, body=name.encode())
        self.claims.settle(claim=claim, outcome=done)
        return CallResult.ANSWER

    async def _reach(self, point: CrashPoint) -> None:
        if self.dies_at is point:
            self.die()
        await self.store.wait_until_running()


@final
class BookingCluster:
    """The shared store, the service, and who is live."""

    def __init__(self) -> None:
        self.backend = FakeBackend()
        self.service = BookingService()
        self.hosts: list[BookingHost] = []

    def start(self, name: str, *, incarnation: int = 1, ttl_s: int = TTL_S) -> BookingHost:
        """Start a life of a host."""
        host = BookingHost(name=name, incarnation=incarnation, platform=self, ttl_s=ttl_s)
        self.hosts.append(host)
        return host

    def is_live(self, host: HostId, incarnation: int) -> bool:
        """Tell whether a host is in this life."""
        return any(
            not known.dead and (known.name, known.incarnation) == (host, incarnation)
            for known in self.hosts
        )


NOT_EXECUTED = ClaimOutcome(state=ClaimState.NOT_EXECUTED)


def build_claim_key(name: str) -> ClaimKey:
    """Return the key of a booking."""
    return ClaimKey(
        account=ClientAccountId("office"), service=ServiceId("booking"), idempotency_key=name
    )


def get_call_result(problem: Problem) -> CallResult:
    """Read a problem as its caller does."""
    if problem.execution is Execution.NOT_EXECUTED:
        return CallResult.NOT_EXECUTED
    return CallResult.UNKNOWN


async def cancel_tasks(*tasks: asyncio.Task[Any]) -> None:
    """Cancel what still runs on hosts that died."""
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
