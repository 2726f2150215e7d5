"""Calls to plain services, some of which may not be repeated."""

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
from tanagerscale.dispatch import RetryAllowance
from tanagerscale.dispatch import UpstreamNotes
from tanagerscale.dispatch import spread_return
from tanagerscale.generated.declarations import Service
from tanagerscale.generated.records import ClaimState
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.upstreams import ServiceCall
from tanagerscale.upstreams import ServiceResponse
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_TRIES = 3
RETRY_AFTER_MS = 1000
DIGEST_BYTES = 16
RECORD_WAIT_MS = 250
"""Longest wait for the record of an answer before the answer is passed on."""

_log = get_logger(part="services")


class ServiceClient(Protocol):
    """Sends one call to one upstream, without retries."""

    async def call(
        self, *, address: str, call: ServiceCall, timeout_ms: int
    ) -> Result[ServiceResponse, UpstreamError]:
        """Send a call once."""


class ServiceParts(Struct, frozen=True, kw_only=True):
    """What every service call of a host uses.

    :param client: Sends calls.
    :param claims: Permits calls that may not be repeated.
    :param notes: Is told how upstreams behave.
    :param is_open: Whether an upstream takes new work.
    :param retries: Bounds retries.
    :param clock: The clock that claims end by.
    :param rng: Breaks ties between upstreams and spreads the return of refused callers.
    """

    client: ServiceClient
    claims: Claims
    notes: UpstreamNotes
    is_open: Callable[[UpstreamId], bool]
    retries: RetryAllowance
    clock: Clock
    rng: random.Random


@final
class ServiceDispatch:
    """Brings calls to plain services to their end.

    :param parts: What every call uses.
    """

    def __init__(self, *, parts: ServiceParts) -> None:
        self._parts = parts
        self._running: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[Result[ServiceResponse, Problem]]] = set()

    async def call(
        self, *, service: Service, account: ClientAccountId, key: str, call: ServiceCall
    ) -> Result[ServiceResponse, Problem]:
        """Return the service's answer, or the final problem.

        :param service: Its declaration.
        :param account: Who asks.
        :param key: The caller's idempotency key, or the empty string.
        :param call: What to send.
        """
        self._parts.retries.on_request()
        if is_idempotent(service=service, call=call):
            return await self._repeatable(service, call)
        if key:
            return await self._claimed(service, account, key, call)
        # Without a key nobody can ask for this call again, so one dispatch is all it gets.
        result = await self._once(service, call, may_send=lambda: True)
        return result.alt(self._problem_of_single)

    async def _repeatable(
        self, service: Service, call: ServiceCall
    ) -> Result[ServiceResponse, Problem]:
        tried: set[str] = set()
        may_have_run = False
        while len(tried) < MAX_TRIES:
            if may_have_run and not self._parts.retries.try_spend():
                break
            address = self._choose(service, tried)
            if address is None:
                break
            tried.add(address)
            match await self._send(service, address, call):
                case Success(reply):
                    return Success(reply)
                case Failure(error):
                    may_have_run = may_have_run or error.kind not in _NOT_EXECUTED
        problem = _problem_of_idempotent(may_have_run) if tried else _no_upstream(service.name)
        return Failure(spread_return(problem=problem, rng=self._parts.rng))

    async def _claimed(
        self, service: Service, account: ClientAccountId, key: str, call: ServiceCall
    ) -> Result[ServiceResponse, Problem]:
        claim_key = ClaimKey(account=account, service=ServiceId(service.name), idempotency_key=key)
        claimed = await self._parts.claims.claim(
            key=claim_key, request_digest=_digest(call), ttl_s=service.claim_ttl_s
        )
        match claimed:
            case Success(Granted() as granted):
                return await self._in_background(self._run_claimed(service, call, granted))
            case Success(Recorded() as recorded):
                return Success(_from_record(recorded))
            case Success(InProgress() as progress):
                return Failure(progress.problem)
            case Failure(problem):
                return Failure(problem)
        raise AssertionError("A Result is a Success or a Failure.")

    async def _in_background(
        self, call: Coroutine[None, None, Result[ServiceResponse, Problem]]
    ) -> Result[ServiceResponse, Problem]:
        # A caller that leaves may ask again, so the call goes on and its answer is recorded.
        task = asyncio.ensure_future(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def drain(self) -> None:
        """Wait for the calls under way."""
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    async def _run_claimed(
        self, service: Service, call: ServiceCall, granted: Granted
    ) -> Result[ServiceResponse, Problem]:
        result = await self._once(
            service, call, may_send=lambda: granted.may_dispatch(now=self._parts.clock.now())
        )
        settled = self._parts.claims.settle(claim=granted, outcome=_outcome_of(result))
        # With the record written a repeat finds the answer at any host; it goes on in the
        # background, since a store outage must not hold the answer back.
        await asyncio.wait({settled}, timeout=RECORD_WAIT_MS / MS_PER_SECOND)
        return result.alt(self._problem_of_single)

    async def _once(
        self, service: Service, call: ServiceCall, *, may_send: Callable[[], bool]
    ) -> Result[ServiceResponse, UpstreamError]:
        """Send a call at most once; only an upstream that cannot have run it is passed over."""
        tried: set[str] = set()
        error = UpstreamError(kind=UpstreamErrorKind.NOT_SENT, detail="No upstream takes work.")
        while True:
            address = self._choose(service, tried)
            if address is None or not may_send():
                return Failure(error)
            tried.add(address)
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
            result = await self._parts.client.call(
                address=address, call=call, timeout_ms=service.timeout_ms
            )
        finally:
            self._running[address] -= 1
        match result:
            case Success(_):
                self._parts.notes.note_success(upstream=upstream)
            case Failure(error):
                self._note(upstream, error)
        return result

    def _note(self, upstream: UpstreamId, error: UpstreamError) -> None:
        _log.info("A call failed.", upstream=upstream, kind=error.kind.value)
        if error.refusal is None:
            self._parts.notes.note_failure(upstream=upstream)
        elif error.refusal.kind is RefusalKind.LEAVING:
            self._parts.notes.note_leaving(upstream=upstream)

    def _problem_of_single(self, error: UpstreamError) -> Problem:
        return spread_return(problem=_problem_of_single(error), rng=self._parts.rng)

    def _choose(self, service: Service, tried: set[str]) -> str | None:
        addresses = [address for address in addresses_of(service=service) if address not in tried]
        addresses = [address for address in addresses if self._parts.is_open(UpstreamId(address))]
        if not addresses:
            return None
        rng = self._parts.rng
        return min(addresses, key=lambda address: (self._running[address], rng.random()))


_NOT_EXECUTED = frozenset({UpstreamErrorKind.NOT_SENT, UpstreamErrorKind.REFUSED})


def addresses_of(*, service: Service) -> Sequence[str]:
    """Return the IP numbers and ports of a service.

    :param service: Its declaration.
    """
    return [address.partition("@")[0] for address in service.addresses]


def is_idempotent(*, service: Service, call: ServiceCall) -> bool:
    """Return whether a call may be repeated.

    :param service: Its declaration.
    :param call: The call.
    """
    if call.method in SAFE_METHODS:
        return True
    path = call.path.partition("?")[0]
    return not any(
        fnmatchcase(f"{call.method} {path}", pattern) for pattern in service.not_idempotent
    )


def _digest(call: ServiceCall) -> str:
    content = f"{call.method} {call.path}\n".encode() + call.body
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def _outcome_of(result: Result[ServiceResponse, UpstreamError]) -> ClaimOutcome:
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


def _from_record(recorded: Recorded) -> ServiceResponse:
    outcome = recorded.outcome
    return ServiceResponse(
        status=outcome.status,
        content_type=outcome.content_type,
        headers=[("Content-Type", outcome.content_type)],
        body=outcome.body,
    )


def _no_upstream(service: str) -> Problem:
    return Problem(
        kind=ProblemKind.NO_UPSTREAM,
        detail=f"No upstream of {service} takes work now; send the call again after the pause.",
        execution=Execution.NOT_EXECUTED,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _problem_of_idempotent(may_have_run: bool) -> Problem:
    return Problem(
        kind=ProblemKind.UPSTREAM_FAILED,
        detail="The service did not answer; the call may be repeated after the pause.",
        execution=Execution.UNKNOWN if may_have_run else Execution.NOT_EXECUTED,
        retry_after_ms=RETRY_AFTER_MS,
    )


def _problem_of_single(error: UpstreamError) -> Problem:
    if error.kind in _NOT_EXECUTED:
        return Problem(
            kind=ProblemKind.NO_UPSTREAM,
            detail="No upstream took the call; send it again after the pause.",
            execution=Execution.NOT_EXECUTED,
            retry_after_ms=RETRY_AFTER_MS,
        )
    return Problem(
        kind=ProblemKind.OUTCOME_UNKNOWN,
        detail="The call was sent and its outcome is not known; ask the service before repeating.",
        execution=Execution.UNKNOWN,
    )
