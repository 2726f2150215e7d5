"""What callers of plain services are told against what the services ran."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import unique
import random

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.claims import Claims
from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.generated.declarations import Service
from tanagerscale.generated.upstream import Refusal
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.policy import RetryBudget
from tanagerscale.services import ServiceDispatch
from tanagerscale.services import ServiceParts
from tanagerscale.upstreams import ServiceCall
from tanagerscale.upstreams import ServiceResponse
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind
from testing._fake_store import FakeBackend
from testing._faulty_store import FaultyStore
from testing._virtual_time import run_virtually

ACCOUNT = ClientAccountId("north")
SERVICE = Service(
    name="bookings",
    addresses=["10.0.0.1:1@a", "10.0.0.2:1@b", "10.0.0.3:1@c"],
    not_idempotent=["POST /bookings"],
)


@unique
class Point(Enum):
    """Where a call fails."""

    NONE = "none"
    CONNECT = "connect"
    REFUSED = "refused"
    BEFORE_EXECUTION = "before execution"
    AFTER_EXECUTION = "after execution"
    LATE = "late"


@dataclass(kw_only=True)
class FakeService:
    """Executes calls, and fails the first ones at given points."""

    points: list[Point] = field(default_factory=list)
    executions: Counter[bytes] = field(default_factory=Counter)
    sent_to: list[str] = field(default_factory=list)

    async def call(
        self, *, address: str, call: ServiceCall, timeout_ms: int
    ) -> Result[ServiceResponse, UpstreamError]:
        """Carry out one call."""
        self.sent_to.append(address)
        point = self.points.pop(0) if self.points else Point.NONE
        if point is Point.CONNECT:
            return _failed(UpstreamErrorKind.NOT_SENT)
        if point is Point.REFUSED:
            refusal = Refusal(kind=RefusalKind.OVERLOADED)
            return Failure(
                UpstreamError(kind=UpstreamErrorKind.REFUSED, detail="Full.", refusal=refusal)
            )
        if point is Point.BEFORE_EXECUTION:
            return _failed(UpstreamErrorKind.BROKEN)
        self.executions[call.body] += 1
        if point is Point.AFTER_EXECUTION:
            return _failed(UpstreamErrorKind.BROKEN)
        if point is Point.LATE:
            return _failed(UpstreamErrorKind.STALLED)
        return Success(
            ServiceResponse(status=201, content_type="text/plain", headers=(), body=b"ok")
        )


@dataclass(kw_only=True)
class Notes:
    """Takes notes; every upstream is open."""

    leaving: list[UpstreamId] = field(default_factory=list)

    def note_leaving(self, *, upstream: UpstreamId) -> None:
        """Remember it."""
        self.leaving.append(upstream)

    def note_failure(self, *, upstream: UpstreamId) -> None:
        """Ignore it."""

    def note_success(self, *, upstream: UpstreamId) -> None:
        """Ignore it."""


def service_dispatch(service: FakeService, store: FaultyStore) -> ServiceDispatch:
    """Return the dispatch of a host that reaches a service and a store."""
    clock = Clock()
    rng = random.Random(5)
    claims = Claims(
        store=store,
        prefix="/t",
        host=HostId("a"),
        incarnation=1,
        clock=clock,
        rng=rng,
        is_live=lambda _host, _incarnation: True,
    )
    return ServiceDispatch(
        parts=ServiceParts(
            client=service,
            claims=claims,
            notes=Notes(),
            is_open=lambda _upstream: True,
            retries=RetryBudget(),
            clock=clock,
            rng=rng,
        )
    )


def _call(path: str = "/bookings") -> ServiceCall:
    return ServiceCall(method="POST", path=path, headers=(), body=b"round 7")


def _run(
    points: Sequence[Point], *, path: str = "/bookings", key: str = "", times: int = 1
) -> tuple[FakeService, list[Result[ServiceResponse, Problem]]]:
    async def run() -> tuple[FakeService, list[Result[ServiceResponse, Problem]]]:
        service = FakeService(points=list(points))
        dispatch = service_dispatch(service, FaultyStore(backend=FakeBackend()))
        results = [
            await dispatch.call(service=SERVICE, account=ACCOUNT, key=key, call=_call(path))
            for _ in range(times)
        ]
        return service, results

    return run_virtually(run())


FAILURES = [point for point in Point if point is not Point.NONE]


@pytest.mark.parametrize("key", ["", "round-7"])
@pytest.mark.parametrize("point", FAILURES)
def test_caller_is_told_the_truth_when_every_try_of_a_booking_fails(point: Point, key: str) -> None:
    service, (result,) = _run([point] * 9, key=key)
    executed = service.executions.total()
    assert executed <= 1
    told = result.failure().execution
    assert told is not Execution.EXECUTED
    assert not (executed and told is Execution.NOT_EXECUTED)
    # A call that surely ran nowhere is said to be so, so that its caller may repeat it.
    if point in {Point.CONNECT, Point.REFUSED}:
        assert told is Execution.NOT_EXECUTED
        assert result.failure().retry_after_ms is not None


@pytest.mark.parametrize("key", ["", "round-7"])
@pytest.mark.parametrize("point", FAILURES)
def test_booking_runs_at_most_once_when_its_first_try_fails(point: Point, key: str) -> None:
    service, results = _run([point], key=key)
    assert service.executions.total() <= 1
    passed_over = point in {Point.CONNECT, Point.REFUSED}
    assert isinstance(results[0], Success) == passed_over


@pytest.mark.parametrize("point", FAILURES)
def test_repeat_with_the_key_gets_the_recorded_outcome_and_runs_nothing_more(point: Point) -> None:
    service, results = _run([point], key="round-7", times=3)
    assert service.executions.total() <= 1
    first, *repeats = results
    for repeat in repeats:
        if isinstance(first, Success):
            assert repeat.unwrap().body == first.unwrap().body
        else:
            assert repeat.failure().execution is Execution.UNKNOWN
    assert len(service.sent_to) == (2 if point in {Point.CONNECT, Point.REFUSED} else 1)


def test_booking_that_ran_nowhere_runs_when_it_is_repeated_with_its_key() -> None:
    service, (first, again) = _run([Point.CONNECT] * 3, key="round-7", times=2)
    assert first.failure().execution is Execution.NOT_EXECUTED
    assert isinstance(again, Success)
    assert service.executions.total() == 1


@pytest.mark.parametrize("point", FAILURES)
def test_idempotent_call_is_tried_again_when_its_first_try_fails(point: Point) -> None:
    service, (result,) = _run([point], path="/search")
    assert isinstance(result, Success)
    assert len(set(service.sent_to)) == 2


def test_idempotent_call_says_unknown_when_one_of_its_tries_may_have_run() -> None:
    _, (result,) = _run([Point.AFTER_EXECUTION, Point.CONNECT, Point.CONNECT], path="/search")
    assert result.failure().execution is Execution.UNKNOWN


def _failed(kind: UpstreamErrorKind) -> Failure[UpstreamError]:
    return Failure(UpstreamError(kind=kind, detail="As the test asks."))
