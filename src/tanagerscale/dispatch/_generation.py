"""Execution of one generation in one or more attempts.

A broken or stalled connection is resumed on the same engine. If the engine has lost the attempt and
no tokens have been sent to the caller, a new attempt starts on another engine. If tokens have been
sent, the new attempt is a replay with the same seed, which must generate the same tokens.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import TypeVar
from typing import final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import AttemptId
from tanagerscale.core import Execution
from tanagerscale.core import Millis
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.core import new_id
from tanagerscale.dispatch._attempt import Attempt
from tanagerscale.dispatch._attempt import AttemptEnd
from tanagerscale.dispatch._attempt import AttemptOutcome
from tanagerscale.dispatch._attempt import run_until_move
from tanagerscale.dispatch._context import DispatchContext
from tanagerscale.dispatch._context import Finish
from tanagerscale.dispatch._exclusions import NOT_ADMITTED_MS
from tanagerscale.dispatch._exclusions import Exclusions
from tanagerscale.dispatch._progress import GenerationProgress
from tanagerscale.dispatch._relay import Relay
from tanagerscale.dispatch._requests import engine_request
from tanagerscale.dispatch._requests import placement_request
from tanagerscale.dispatch._retry_after import add_retry_jitter
from tanagerscale.dispatch._types import GenerationRequest
from tanagerscale.dispatch._types import ResumePoint
from tanagerscale.dispatch._types import Sink
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing import Placement
from tanagerscale.usage import ABANDONED
from tanagerscale.usage import WHOLE

RETRY_AFTER_MS = 1000
MAX_WAIT_MS = 180_000
"""Time without an engine after which a request is refused if the crash watch excludes all engines.

Suspects of one crash run one at a time on each engine, so rerunning a large batch takes long.
"""

_T = TypeVar("_T")
_log = get_logger(part="dispatch")


@final
class Generation:
    """Runs one generation to its end, with retries.

    :param request: Validated request.
    :param sink: Delivers the tokens to the caller.
    :param context: Dependencies shared by all generations of the host.
    :param resume: Position to resume from, if another host has dispatched the generation.
    """

    def __init__(
        self,
        *,
        request: GenerationRequest,
        sink: Sink,
        context: DispatchContext,
        resume: ResumePoint | None = None,
    ) -> None:
        self._request = request
        self._sink = sink
        self._context = context
        self._resume = resume
        self._relay = Relay()
        self._progress = GenerationProgress(
            not_admitted=Exclusions(clock=context.clock),
            failed=Exclusions(clock=context.clock),
        )
        if resume is not None:
            self._relay = Relay(offset=resume.offset, checksum=resume.checksum)
            self._progress.may_have_run = True
        self._usage_record = context.meter.begin(
            account=request.account, prompt_tokens=request.prompt_tokens
        )

    @property
    def tokens(self) -> int:
        """Number of tokens passed to the sink so far."""
        return self._relay.delivered

    async def run(self) -> Result[Finish, Problem]:
        """Run until the answer is complete or the generation has failed.

        Cancelling the call also cancels the attempt on its engine.

        :returns: Finish reason and length of the complete answer, or the final problem.
        """
        outcome = ABANDONED
        try:
            result = await self._run()
            outcome = result.swap().map(lambda problem: problem.kind.value).value_or(WHOLE)
        finally:
            self._context.meter.end(record=self._usage_record, outcome=outcome)
        return result

    async def _run(self) -> Result[Finish, Problem]:
        self._context.retries.on_request()
        if self._resume is not None:
            result = self._handle_outcome(
                await self._resume_attempt(self._resume), self._resume.engine
            )
            if result is not None:
                return result
        while True:
            problem = self._context.crash_watch.check(fingerprint=self._request.fingerprint)
            if problem is not None:
                return Failure(self._with_execution(problem))
            request = self._placement_request()
            match await self._until_stale(request, self._context.router.place(request=request)):
                case Success(placement):
                    result = await self._run_at(placement)
                case Failure(refusal):
                    result = await self._handle_refusal(refusal, request)
                case None:
                    continue
            if result is not None:
                return result

    async def _until_stale(
        self, request: PlacementRequest, waiting: Coroutine[None, None, _T]
    ) -> _T | None:
        """Wait until the request must be checked and placed again, which returns ``None``.

        :param request: Placement request that the wait is for.
        :param waiting: What to wait for; cancelled when the request must be placed again.
        """
        try:
            async with asyncio.timeout_at(self._progress.next_exclusion_end_s) as timeout:
                with self._context.crash_watch.watch(
                    fingerprint=self._request.fingerprint,
                    on_change=lambda: self._expire_if_stale(request, timeout),
                ):
                    return await waiting
        except TimeoutError:
            return None

    def _expire_if_stale(self, request: PlacementRequest, timeout: asyncio.Timeout) -> None:
        """Expire the timeout if the request is quarantined or its excluded engines have changed.

        Otherwise a request restricted to an engine that crashed would wait indefinitely.
        """
        if self._is_stale(request) and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    def _is_stale(self, request: PlacementRequest) -> bool:
        problem = self._context.crash_watch.check(fingerprint=self._request.fingerprint)
        return problem is not None or self._excluded_engines() != request.excluded

    async def _run_at(self, placement: Placement) -> Result[Finish, Problem] | None:
        """Run an attempt on the assigned engine; ``None`` means to continue with another one."""
        engine = placement.engine
        try:
            admitted = await self._context.crash_watch.admit(
                fingerprint=self._request.fingerprint,
                engine=engine,
                stop=placement.move_requested,
                progress=lambda: self._relay.next_offset,
            )
        except asyncio.CancelledError:
            self._release(tokens=0, engine_lost=False)
            raise
        if not admitted:
            # Exclude this engine, or routing could assign it again in an endless loop.
            self._progress.not_admitted.add(engine, duration_ms=NOT_ADMITTED_MS)
            self._release(tokens=0, engine_lost=False)
            return None
        self._progress.not_admitted.clear()
        outcome = await self._attempt(placement, AttemptId(new_id(prefix="att")))
        return self._handle_outcome(outcome, engine)

    async def _handle_refusal(
        self, refusal: Problem, request: PlacementRequest
    ) -> Result[Finish, Problem] | None:
        """Return ``None`` after waiting if another engine may be available, or else the problem."""
        excluded_by_watch = request.excluded - self._progress.failed.engines
        remaining_ms = MAX_WAIT_MS - (self._context.clock.now() - request.arrived)
        if refusal.kind is ProblemKind.NO_UPSTREAM and excluded_by_watch and remaining_ms > 0:
            if self._is_stale(request):
                return None
            may_be_served = await self._until_stale(request, self._wait_for_excluded(request))
            if may_be_served is not False:
                return None
        # Only new requests may be shed, so a request that had an engine waits and tries again.
        delay_ms = refusal.retry_after_ms or 0
        if (
            refusal.kind is ProblemKind.OVERLOADED
            and self._progress.attempts
            and delay_ms <= remaining_ms
        ):
            await self._until_stale(request, self._context.clock.sleep(delay_ms))
            return None
        if refusal.kind is ProblemKind.NO_UPSTREAM:
            refusal = add_retry_jitter(problem=refusal, rng=self._context.rng)
        return Failure(self._with_execution(refusal))

    async def _wait_for_excluded(self, request: PlacementRequest) -> bool:
        """Wait for a change of the crash watch; return false at once if waiting is useless."""
        engines = self._context.router.open_engines(request=request)
        is_alive = await self._context.reachability.is_any_reachable(engines=engines)
        if not is_alive and not await self._is_verdict_due():
            # An engine may have been opened while the others were asked.
            return not self._context.router.open_engines(request=request) <= engines
        await self._context.crash_watch.wait_change()
        return True

    async def _is_verdict_due(self) -> bool:
        """Return whether a copy was lost with its engine, which its host has not reported yet.

        The request may be convicted then, and its caller must not send it again.
        """
        engines = self._context.crash_watch.engines_of_copies(fingerprint=self._request.fingerprint)
        return bool(engines) and not await self._context.reachability.is_any_reachable(
            engines=engines
        )

    async def _resume_attempt(self, resume: ResumePoint) -> AttemptOutcome | None:
        """Follow an attempt that another host has started."""
        placement = self._context.router.adopt(
            request=self._placement_request(), engine=resume.engine, tokens=resume.offset
        )
        return await self._attempt(placement, resume.attempt, resumed=True)

    def _placement_request(self) -> PlacementRequest:
        # Only the first placement may be shed: later ones are for a request already accepted.
        sheddable = self._progress.waiting_since is None and not self._progress.attempts
        if self._progress.waiting_since is None:
            self._progress.waiting_since = self._context.clock.now()
        return placement_request(
            request=self._request,
            arrived=self._progress.waiting_since,
            excluded=self._excluded_engines(),
            sheddable=sheddable,
        )

    def _excluded_engines(self) -> frozenset[UpstreamId]:
        """Return the engines that the request must not be sent to at present."""
        excluded_by_watch = self._context.crash_watch.excluded_engines(
            fingerprint=self._request.fingerprint, model=self._request.model
        )
        return excluded_by_watch | self._progress.excluded

    async def _attempt(
        self, placement: Placement, attempt_id: AttemptId, *, resumed: bool = False
    ) -> AttemptOutcome | None:
        """Run one attempt; ``None`` means that routing asked for a move."""
        engine = placement.engine
        attempt = Attempt(
            attempt=attempt_id,
            client=self._context.get_client(engine),
            relay=self._relay,
            sink=self._sink,
            on_progress=self._report_progress,
            clock=self._context.clock,
        )
        started = self._context.clock.now()
        self._progress.attempts += 1
        self._progress.waiting_since = None
        outcome: AttemptOutcome | None = None
        ended = False
        try:
            await self._sink.begin(attempt=attempt_id, engine=engine)
            request = engine_request(request=self._request, attempt=attempt_id)
            run = attempt.resume() if resumed else attempt.run(request=request)
            outcome = await run_until_move(run, placement)
            ended = True
        finally:
            self._end_attempt(placement, outcome, started)
            self._cancel_if_running(attempt_id, engine, outcome, ended)
        return outcome

    def _end_attempt(
        self, placement: Placement, outcome: AttemptOutcome | None, started: Millis
    ) -> None:
        """Report the end of an attempt to the router, the crash watch and the usage meter."""
        crashed = outcome is not None and outcome.end is AttemptEnd.CRASHED
        self._release(tokens=self._relay.next_offset, engine_lost=crashed)
        if crashed:
            self._context.crash_watch.on_engine_crash(engine=placement.engine)
        else:
            self._context.crash_watch.on_finished(
                fingerprint=self._request.fingerprint,
                engine=placement.engine,
                stop=placement.move_requested,
                complete=self._relay.finish is not None,
            )
        self._context.meter.on_attempt(
            record=self._usage_record,
            end=outcome.end.value if outcome is not None else "stopped",
            tokens=self._relay.next_offset,
            started=started,
        )

    def _release(self, *, tokens: int, engine_lost: bool) -> None:
        self._context.router.release(
            generation=self._request.generation,
            tokens=tokens,
            complete=self._relay.finish is not None,
            engine_lost=engine_lost,
        )

    def _cancel_if_running(
        self,
        attempt: AttemptId,
        engine: UpstreamId,
        outcome: AttemptOutcome | None,
        ended: bool,
    ) -> None:
        # A caller that disconnects may reconnect to any host within the delay that its sink sets.
        delay_ms = 0 if ended else self._sink.cancel_after_ms
        still_running = outcome is None or outcome.end in _STILL_RUNNING
        if still_running and delay_ms is not None:
            self._context.canceller.cancel(attempt=attempt, engine=engine, after_ms=delay_ms)

    def _report_progress(self, tokens: int) -> None:
        self._context.meter.on_progress(record=self._usage_record, tokens=tokens)
        self._context.router.report_progress(generation=self._request.generation, tokens=tokens)

    def _handle_outcome(
        self, outcome: AttemptOutcome | None, engine: UpstreamId
    ) -> Result[Finish, Problem] | None:
        """Return the final result, or ``None`` to continue with another attempt."""
        if self._relay.finish is not None:
            self._context.observer.record_success(upstream=engine)
            return Success(Finish(self._relay.finish, self._relay.delivered))
        if outcome is None:
            # A move cancels an attempt that may already have generated tokens.
            self._progress.may_have_run = True
        else:
            self._record_outcome(outcome, engine)
            if outcome.end is AttemptEnd.DIFFERS:
                return Failure(self._problem(ProblemKind.GENERATION_LOST, _DIFFERS_DETAIL))
        if self._sink.discard():
            self._relay.restart()
        if self._is_retry_exhausted():
            return Failure(self._problem(ProblemKind.UPSTREAM_FAILED, _FAILED_DETAIL))
        return None

    def _record_outcome(self, outcome: AttemptOutcome, engine: UpstreamId) -> None:
        _log.info(
            "An attempt ended.",
            generation=self._request.generation,
            engine=engine,
            end=outcome.end.value,
            detail=outcome.detail,
        )
        self._progress.record_failure(engine, lost=outcome.end not in _NOT_STARTED)
        if outcome.end is not AttemptEnd.REFUSED:
            self._context.observer.record_failure(upstream=engine)
        elif outcome.refusal is not None and outcome.refusal.kind is RefusalKind.LEAVING:
            self._context.observer.record_leaving(upstream=engine)

    def _is_retry_exhausted(self) -> bool:
        if self._progress.is_attempt_limit_reached:
            return True
        return self._progress.lost_attempts > 0 and not self._context.retries.try_spend()

    def _problem(self, kind: ProblemKind, detail: str) -> Problem:
        problem = Problem(
            kind=kind,
            detail=detail,
            execution=self._execution(),
            retry_after_ms=RETRY_AFTER_MS,
        )
        return add_retry_jitter(problem=problem, rng=self._context.rng)

    def _with_execution(self, problem: Problem) -> Problem:
        return Problem(
            kind=problem.kind,
            detail=problem.detail,
            execution=self._execution(),
            retry_after_ms=problem.retry_after_ms,
        )

    def _execution(self) -> Execution:
        return Execution.UNKNOWN if self._progress.may_have_run else Execution.NOT_EXECUTED


_NOT_STARTED = frozenset({AttemptEnd.NOT_SENT, AttemptEnd.REFUSED})
_STILL_RUNNING = frozenset({AttemptEnd.LOST, AttemptEnd.DIFFERS})
_DIFFERS_DETAIL = (
    "The engine was lost and its answer could not be made again; send the request once more."
)
_FAILED_DETAIL = "Several engines failed on this request; send it again after the pause."
