"""Dispatch of calls to plain services, at most once for calls that are not idempotent."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from fnmatch import fnmatchcase
from hashlib import blake2b
import random
from typing import Protocol
from typing import final

from msgspec import Struct
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.claims import ClaimKey
from tanagerscale.claims import ClaimOutcome
from tanagerscale.claims import Claims
from tanagerscale.claims import Granted
from tanagerscale.claims import InProgress
from tanagerscale.claims import Recorded
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.dispatch import RetryLimiter
from tanagerscale.dispatch import UpstreamObserver
from tanagerscale.dispatch import add_retry_jitter
from tanagerscale.generated.declarations import Service
from tanagerscale.generated.records import ClaimState
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.upstreams import ServiceCall
from tanagerscale.upstreams import ServiceResponse
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_ATTEMPTS = 3
"""Maximum number of upstreams that an idempotent call is sent to."""

MIN_RETRY_AFTER_MS = 1000
DIGEST_BYTES = 16
RECORD_TIMEOUT_MS = 250
"""Maximum wait for an answer to be recorded before it is returned to the caller."""

_log = get_logger(part="services")


class ServiceClient(Protocol):
    """Client that sends one call to one upstream, without retries."""

    async def call(
        self, *, address: str, call: ServiceCall, timeout_ms: int
    ) -> Result[ServiceResponse, UpstreamError]:
        """Send a call once.

        :param address: IP address and port of the upstream.
        :param call: Call to send.
        :param timeout_ms: Maximum duration of the call, in milliseconds.
        """


class ServiceContext(Struct, frozen=True, kw_only=True):
    """Dependencies of the service dispatch of a host.

    :param client: Client that sends calls.
    :param claims: Claims for calls that are not idempotent.
    :param observer: Records successes and failures of upstreams.
    :param is_open: Returns whether an upstream accepts new calls.
    :param retries: Retry budget.
    :param clock: Clock that the deadlines of claims refer to.
    :param rng: Random number generator used to break ties between upstreams and for the jitter of
        retry delays.
    """

    client: ServiceClient
    claims: Claims
    observer: UpstreamObserver
    is_open: Callable[[UpstreamId], bool]
    retries: RetryLimiter
    clock: Clock
    rng: random.Random


@final
class ServiceDispatch:
    """Dispatches calls to plain services.

    :param context: Dependencies of all calls.
    """

    def __init__(self, *, context: ServiceContext) -> None:
        self._context = context
        self._running: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[Result[ServiceResponse, Problem]]] = set()

    async def call(
        self, *, service: Service, account: ClientAccountId, key: str, call: ServiceCall
    ) -> Result[ServiceResponse, Problem]:
        """Dispatch a call and return the answer of the service, or a problem.

        :param service: Declaration of the service.
        :param account: Client account of the caller.
        :param key: Idempotency key that the caller sent; empty if there is none.
        :param call: Call to send.
        """
        self._context.retries.on_request()
        if is_idempotent(service=service, call=call):
            return await self._call_idempotent(service, call)
        if key:
            return await self._call_claimed(service, account, key, call)
        # Without a key a repeat cannot be recognized, so the call is dispatched only once.
        result = await self._send_once(service, call, may_send=lambda: True)
        return result.alt(self._build_single_dispatch_problem)

    async def _call_idempotent(
        self, service: Service, call: ServiceCall
    ) -> Result[ServiceResponse, Problem]:
        tried_addresses: set[str] = set()
        may_have_run = False
        while len(tried_addresses) < MAX_ATTEMPTS:
            if may_have_run and not self._context.retries.try_spend():
                break
            address = self._select_address(service, tried_addresses)
            if address is None:
                break
            tried_addresses.add(address)
            match await self._send(service, address, call):
                case Success(reply):
                    return Success(reply)
                case Failure(error):
                    may_have_run = may_have_run or error.kind not in _NOT_EXECUTED
        problem = (
            _build_idempotent_problem(may_have_run)
            if tried_addresses
            else _build_no_upstream_problem(service.name)
        )
        return Failure(add_retry_jitter(problem=problem, rng=self._context.rng))

    async def _call_claimed(
        self, service: Service, account: ClientAccountId, key: str, call: ServiceCall
    ) -> Result[ServiceResponse, Problem]:
        claim_key = ClaimKey(account=account, service=ServiceId(service.name), idempotency_key=key)
        claimed = await self._context.claims.claim(
            key=claim_key, request_digest=_compute_digest(call), ttl_s=service.claim_ttl_s
        )
        match claimed:
            case Success(Granted() as granted):
                return await self._run_uncancelled(self._run_granted(service, call, granted))
            case Success(Recorded() as recorded):
                return Success(_to_reply(recorded))
            case Success(InProgress() as progress):
                return Failure(progress.problem)
            case Failure(problem):
                return Failure(problem)
        raise AssertionError("Result is neither Success nor Failure.")

    async def _run_uncancelled(
        self, call: Coroutine[None, None, Result[ServiceResponse, Problem]]
    ) -> Result[ServiceResponse, Problem]:
        # A caller that disconnects may repeat the call, so it continues and its answer is recorded.
        task = asyncio.ensure_future(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Wait for all running claimed calls, including those that start in the meantime."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _run_granted(
        self, service: Service, call: ServiceCall, granted: Granted
    ) -> Result[ServiceResponse, Problem]:
        result = await self._send_once(
            service, call, may_send=lambda: granted.may_dispatch(now=self._context.clock.now())
        )
        settled = self._context.claims.settle(claim=granted, outcome=_to_outcome(result))
        # Once the answer is recorded, a repeat gets it on any host. The wait is bounded, and the
        # write continues in the background, because a store outage must not delay the answer.
        await asyncio.wait({settled}, timeout=RECORD_TIMEOUT_MS / MS_PER_SECOND)
        return result.alt(self._build_single_dispatch_problem)

    async def _send_once(
        self, service: Service, call: ServiceCall, *, may_send: Callable[[], bool]
    ) -> Result[ServiceResponse, UpstreamError]:
        """Send a call so that at most one upstream executes it.

        Another upstream is tried only if the previous one has certainly not executed the call.

        :param may_send: Returns whether the call may still be sent.
        """
        tried_addresses: set[str] = set()
        error = UpstreamError(kind=UpstreamErrorKind.NOT_SENT, detail="No open upstream is left.")
        while True:
            address = self._select_address(service, tried_addresses)
            if address is None or not may_send():
                return Failure(error)
            tried_addresses.add(address)
            match await self._send(service, address, call):
                case Success(reply):
                    return Success(reply)
                case Failure(failed):
                    error = failed
            if error.kind not in _NOT_EXECUTED:
                return Failure(error)

    async def _send(
        self, service: Service, address: str, call: ServiceCall
    ) -> Result[ServiceResponse, UpstreamError]:
        upstream = UpstreamId(address)
        self._running[address] += 1
        try:
            result = await self._context.client.call(
                address=address, call=call, timeout_ms=service.timeout_ms
            )
        finally:
            self._running[address] -= 1
        match result:
            case Success(_):
                self._context.observer.record_success(upstream=upstream)
            case Failure(error):
                self._report_failure(upstream, error)
        return result

    def _report_failure(self, upstream: UpstreamId, error: UpstreamError) -> None:
        _log.info("Call to an upstream failed.", upstream=upstream, kind=error.kind.value)
        if error.refusal is None:
            self._context.observer.record_failure(upstream=upstream)
        elif error.refusal.kind is RefusalKind.LEAVING:
            self._context.observer.record_leaving(upstream=upstream)

    def _build_single_dispatch_problem(self, error: UpstreamError) -> Problem:
        return add_retry_jitter(
            problem=_build_single_dispatch_problem(error), rng=self._context.rng
        )

    def _select_address(self, service: Service, tried_addresses: set[str]) -> str | None:
        addresses = [
            address for address in get_addresses(service=service) if address not in tried_addresses
        ]
        addresses = [address for address in addresses if self._context.is_open(UpstreamId(address))]
        if not addresses:
            return None
        rng = self._context.rng
        return min(addresses, key=lambda address: (self._running[address], rng.random()))


_NOT_EXECUTED = frozenset({UpstreamErrorKind.NOT_SENT, UpstreamErrorKind.REFUSED})


def get_addresses(*, service: Service) -> Sequence[str]:
    """Return the IP addresses and ports of a service.

    :param service: Declaration of the service.
    """
    return [address.partition("@")[0] for address in service.addresses]


def is_idempotent(*, service: Service, call: ServiceCall) -> bool:
    """Return whether a call is idempotent, so that it may be repeated.

    :param service: Declaration of the service.
    :param call: Call to check.
    """
    if call.method in SAFE_METHODS:
        return True
    path = call.path.partition("?")[0]
    return not any(
        fnmatchcase(f"{call.method} {path}", pattern) for pattern in service.not_idempotent
    )


def _compute_digest(call: ServiceCall) -> str:
    content = f"{call.method} {call.path}\n".encode() + call.body
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def _to_outcome(result: Result[ServiceResponse, UpstreamError]) -> ClaimOutcome:
    match result:
        case Success(reply):
            return ClaimOutcome(
                state=ClaimState.DONE,
                status=reply.status,
                content_type=reply.content_type,
                body=reply.body,
            )
        case Failure(error) if error.kind in _NOT_EXECUTED:
            return ClaimOutcome(state=ClaimState.NOT_EXECUTED)
    return ClaimOutcome(state=ClaimState.UNKNOWN)


def _to_reply(recorded: Recorded) -> ServiceResponse:
    outcome = recorded.outcome
    return ServiceResponse(
        status=outcome.status,
        content_type=outcome.content_type,
        headers=[("Content-Type", outcome.content_type)],
        body=outcome.body,
    )


def _build_no_upstream_problem(service: str) -> Problem:
    return Problem(
        kind=ProblemKind.NO_UPSTREAM,
        detail=f"No upstream of {service} takes work now; send the call again after the pause.",
        execution=Execution.NOT_EXECUTED,
        retry_after_ms=MIN_RETRY_AFTER_MS,
    )


def _build_idempotent_problem(may_have_run: bool) -> Problem:
    return Problem(
        kind=ProblemKind.UPSTREAM_FAILED,
        detail="The service did not answer; the call may be repeated after the pause.",
        execution=Execution.UNKNOWN if may_have_run else Execution.NOT_EXECUTED,
        retry_after_ms=MIN_RETRY_AFTER_MS,
    )


def _build_single_dispatch_problem(error: UpstreamError) -> Problem:
    if error.kind in _NOT_EXECUTED:
        return Problem(
            kind=ProblemKind.NO_UPSTREAM,
            detail="No upstream took the call; send it again after the pause.",
            execution=Execution.NOT_EXECUTED,
            retry_after_ms=MIN_RETRY_AFTER_MS,
        )
    return Problem(
        kind=ProblemKind.OUTCOME_UNKNOWN,
        detail="The call was sent and its outcome is not known; ask the service before repeating.",
        execution=Execution.UNKNOWN,
    )
