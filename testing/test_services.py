"""Results of calls to plain services agree with what the services have executed."""

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
from tanagerscale.services import ServiceContext
from tanagerscale.services import ServiceDispatch
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
class FailurePoint(Enum):
    """Point at which a call fails."""

    NONE = "none"
    CONNECT = "connect"
    REFUSED = "refused"
    BEFORE_EXECUTION = "before execution"
    AFTER_EXECUTION = "after execution"
    LATE = "late"


@dataclass(kw_only=True)
class FakeService:
    """Service that executes calls, and fails the first ones at given points."""

    failure_points: list[FailurePoint] = field(default_factory=list)
    executions: Counter[bytes] = field(default_factory=Counter)
    sent_to: list[str] = field(default_factory=list)

    async def call(
        self, *, address: str, call: ServiceCall, timeout_ms: int
    ) -> Result[ServiceResponse, UpstreamError]:
        """Execute one call, or fail at the next point of the list."""
        self.sent_to.append(address)
        failure_point = self.failure_points.pop(0) if self.failure_points else FailurePoint.NONE
        if failure_point is FailurePoint.CONNECT:
            return _failure(UpstreamErrorKind.NOT_SENT)
        if failure_point is FailurePoint.REFUSED:
            refusal = Refusal(kind=RefusalKind.OVERLOADED)
            return Failure(
                UpstreamError(kind=UpstreamErrorKind.REFUSED, detail="Full.", refusal=refusal)
            )
        if failure_point is FailurePoint.BEFORE_EXECUTION:
            return _failure(UpstreamErrorKind.BROKEN)
        self.executions[call.body] += 1
        if failure_point is FailurePoint.AFTER_EXECUTION:
            return _failure(UpstreamErrorKind.BROKEN)
        if failure_point is FailurePoint.LATE:
            return _failure(UpstreamErrorKind.STALLED)
        return Success(
            ServiceResponse(status=201, content_type="text/plain", headers=(), body=b"ok")
        )


@dataclass(kw_only=True)
class FakeUpstreamObserver:
    """Records which upstreams are leaving and ignores all other reports."""

    leaving: list[UpstreamId] = field(default_factory=list)

    def record_leaving(self, *, upstream: UpstreamId) -> None:
        """Record the upstream."""
        self.leaving.append(upstream)

    def record_failure(self, *, upstream: UpstreamId) -> None:
        """Ignore the failure."""

    def record_success(self, *, upstream: UpstreamId) -> None:
        """Ignore the success."""


def make_service_dispatch(service: FakeService, store: FaultyStore) -> ServiceDispatch:
    """Return a service dispatch that uses a given service and store."""
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
        context=ServiceContext(
            client=service,
            claims=claims,
            observer=FakeUpstreamObserver(),
            is_open=lambda _upstream: True,
            retries=RetryBudget(),
            clock=clock,
            rng=rng,
        )
    )


def _call(path: str = "/bookings") -> ServiceCall:
    return ServiceCall(method="POST", path=path, headers=(), body=b"round 7")


def _run(
    failure_points: Sequence[FailurePoint],
    *,
    path: str = "/bookings",
    key: str = "",
    times: int = 1,
) -> tuple[FakeService, list[Result[ServiceResponse, Problem]]]:
    async def scenario() -> tuple[FakeService, list[Result[ServiceResponse, Problem]]]:
        service = FakeService(failure_points=list(failure_points))
        dispatch = make_service_dispatch(service, FaultyStore(backend=FakeBackend()))
        results = [
            await dispatch.call(service=SERVICE, account=ACCOUNT, key=key, call=_call(path))
            for _ in range(times)
        ]
        return service, results

    return run_virtually(scenario())


FAILURES = [
    failure_point for failure_point in FailurePoint if failure_point is not FailurePoint.NONE
]


@pytest.mark.parametrize("key", ["", "round-7"])
@pytest.mark.parametrize("failure_point", FAILURES)
def test_reported_execution_is_correct_when_every_attempt_of_a_booking_fails(
    failure_point: FailurePoint, key: str
) -> None:
    service, (result,) = _run([failure_point] * 9, key=key)
    executed = service.executions.total()
    assert executed <= 1
    execution = result.failure().execution
    assert execution is not Execution.EXECUTED
    assert not (executed and execution is Execution.NOT_EXECUTED)
    # A call that was certainly not executed must be reported so that its caller can repeat it.
    if failure_point in {FailurePoint.CONNECT, FailurePoint.REFUSED}:
        assert execution is Execution.NOT_EXECUTED
        assert result.failure().retry_after_ms is not None


@pytest.mark.parametrize("key", ["", "round-7"])
@pytest.mark.parametrize("failure_point", FAILURES)
def test_booking_runs_at_most_once_when_its_first_attempt_fails(
    failure_point: FailurePoint, key: str
) -> None:
    service, results = _run([failure_point], key=key)
    assert service.executions.total() <= 1
    is_retried = failure_point in {FailurePoint.CONNECT, FailurePoint.REFUSED}
    assert isinstance(results[0], Success) == is_retried


@pytest.mark.parametrize("failure_point", FAILURES)
def test_repeat_with_the_key_gets_the_recorded_outcome_and_runs_nothing_more(
    failure_point: FailurePoint,
) -> None:
    service, results = _run([failure_point], key="round-7", times=3)
    assert service.executions.total() <= 1
    first, *repeats = results
    for repeat in repeats:
        if isinstance(first, Success):
            assert repeat.unwrap().body == first.unwrap().body
        else:
            assert repeat.failure().execution is Execution.UNKNOWN
    assert len(service.sent_to) == (
        2 if failure_point in {FailurePoint.CONNECT, FailurePoint.REFUSED} else 1
    )


def test_booking_that_was_not_executed_runs_when_it_is_repeated_with_its_key() -> None:
    service, (first, repeat) = _run([FailurePoint.CONNECT] * 3, key="round-7", times=2)
    assert first.failure().execution is Execution.NOT_EXECUTED
    assert isinstance(repeat, Success)
    assert service.executions.total() == 1


@pytest.mark.parametrize("failure_point", FAILURES)
def test_idempotent_call_is_retried_when_its_first_attempt_fails(
    failure_point: FailurePoint,
) -> None:
    service, (result,) = _run([failure_point], path="/search")
    assert isinstance(result, Success)
    assert len(set(service.sent_to)) == 2


def test_idempotent_call_reports_unknown_when_one_of_its_attempts_may_have_run() -> None:
    _, (result,) = _run(
        [FailurePoint.AFTER_EXECUTION, FailurePoint.CONNECT, FailurePoint.CONNECT], path="/search"
    )
    assert result.failure().execution is Execution.UNKNOWN


def _failure(kind: UpstreamErrorKind) -> Failure[UpstreamError]:
    return Failure(UpstreamError(kind=kind, detail="Failure injected by the test."))
