"""One generation: the ladder of attempts that makes its answer.

A broken or silent connection is resumed on the same engine. When the engine has lost the attempt,
and nothing has reached the caller, another attempt starts anew elsewhere. When tokens have reached
the caller, the other attempt is a replay with the same seed, which must make the same tokens.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
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
from tanagerscale.dispatch._parts import DispatchParts
from tanagerscale.dispatch._parts import Finish
from tanagerscale.dispatch._progress import GenerationProgress
from tanagerscale.dispatch._relay import Relay
from tanagerscale.dispatch._requests import engine_request
from tanagerscale.dispatch._requests import placement_request
from tanagerscale.dispatch._returns import spread_return
from tanagerscale.dispatch._types import GenerationRequest
from tanagerscale.dispatch._types import ResumePoint
from tanagerscale.dispatch._types import Sink
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing import Placement
from tanagerscale.usage import ABANDONED
from tanagerscale.usage import WHOLE

MAX_LOST_ATTEMPTS = 3
MAX_ATTEMPTS = 12
RETRY_AFTER_MS = 1000
LONGEST_WAIT_MS = 180_000
"""Longest wait of a request that had an engine and lost it, before its caller is refused.

Suspects of one crash run one at a time on each engine, so a large batch takes long to make again.
"""

_log = get_logger(part="dispatch")


@final
class Generation:
    """Brings one generation to its end.

    :param request: The checked request.
    :param sink: Takes the tokens to the caller.
    :param parts: What every generation of the host uses.
    :param resume: Where the generation stands, when another host has dispatched it.
    """

    def __init__(
        self,
        *,
        request: GenerationRequest,
        sink: Sink,
        parts: DispatchParts,
        resume: ResumePoint | None = None,
    ) -> None:
        self._request = request
        self._sink = sink
        self._parts = parts
        self._resume = resume
        self._relay = Relay()
        self._progress = GenerationProgress(began=parts.clock.now())
        if resume is not None:
            self._relay = Relay(offset=resume.offset, checksum=resume.checksum)
            self._progress.may_have_run = True
        self._record = parts.meter.begin(
            account=request.account, prompt_tokens=request.prompt_tokens
        )

    @property
    def tokens(self) -> int:
        """Tokens handed on so far."""
        return self._relay.delivered

    async def run(self) -> Result[Finish, Problem]:
        """Return the end of the whole answer, or the final problem.

        Cancelling the call cancels the attempt on its engine.
        """
        outcome = ABANDONED
        try:
            result = await self._run()
            outcome = result.swap().map(lambda problem: problem.kind.value).value_or(WHOLE)
        finally:
            self._parts.meter.end(record=self._record, outcome=outcome)
        return result

    async def _run(self) -> Result[Finish, Problem]:
        self._parts.retries.on_request()
        if self._resume is not None:
            result = self._after(await self._go_on(self._resume), self._resume.engine)
            if result is not None:
                return result
        while True:
            problem = self._parts.crashes.check(fingerprint=self._request.fingerprint)
            if problem is not None:
                return Failure(self._with_execution(problem))
            request = self._placement_request()
            match await self._place(request):
                case Success(placement):
                    result = await self._try_at(placement)
                case Failure(refusal):
                    result = await self._after_refusal(refusal, request)
                case None:
                    continue
            if result is not None:
                return result

    async def _place(self, request: PlacementRequest) -> Result[Placement, Problem] | None:
        """Wait for an engine; ``None`` when the request must be checked and placed again.

        No watcher task is started unless the crash watch excludes an engine.
        """
        if request.excluded <= self._progress.excluded:
            return await self._parts.router.place(request=request)
        try:
            async with asyncio.timeout(None) as timeout:
                watcher = asyncio.create_task(self._expire_when_outdated(request, timeout))
                try:
                    return await self._parts.router.place(request=request)
                finally:
                    watcher.cancel()
        except TimeoutError:
            return None

    async def _expire_when_outdated(
        self, request: PlacementRequest, timeout: asyncio.Timeout
    ) -> None:
        """Expire the timeout when the request is quarantined or its excluded engines change.

        Otherwise a request restricted to an engine that died would wait indefinitely.
        """
        fingerprint = self._request.fingerprint
        while self._parts.crashes.check(fingerprint=fingerprint) is None:
            if self._excluded_engines() != request.excluded:
                break
            await self._parts.crashes.wait_change()
        timeout.reschedule(asyncio.get_running_loop().time())

    async def _try_at(self, placement: Placement) -> Result[Finish, Problem] | None:
        """Run an attempt at its place; ``None`` means to go on with another one."""
        engine = placement.engine
        admitted = await self._parts.crashes.admit(
            fingerprint=self._request.fingerprint,
            engine=engine,
            stop=placement.move_requested,
            progress=lambda: self._relay.next_offset,
        )
        if not admitted:
            # The next place must be another one, or this would be asked for without end.
            self._progress.not_admitted.add(engine)
            self._release(tokens=0, engine_lost=False)
            return None
        self._progress.not_admitted.clear()
        outcome = await self._attempt(placement, AttemptId(new_id(prefix="att")))
        return self._after(outcome, engine)

    async def _after_refusal(
        self, refusal: Problem, request: PlacementRequest
    ) -> Result[Finish, Problem] | None:
        """Wait for another engine where one may be had; anything else ends with the refusal."""
        kept_away = request.excluded - self._progress.excluded
        left = LONGEST_WAIT_MS - (self._parts.clock.now() - self._progress.began)
        if refusal.kind is ProblemKind.NO_UPSTREAM and kept_away and left > 0:
            await self._parts.crashes.wait_change()
            # An engine that failed before may have come back; the gate knows which take work.
            self._progress.excluded.clear()
            self._progress.not_admitted.clear()
            return None
        # A request that had its place is no newcomer, whom alone shedding is for.
        pause = refusal.retry_after_ms or 0
        if refusal.kind is ProblemKind.OVERLOADED and self._progress.attempts and pause <= left:
            await self._parts.clock.sleep(pause)
            return None
        if refusal.kind is ProblemKind.NO_UPSTREAM:
            refusal = spread_return(problem=refusal, rng=self._parts.rng)
        return Failure(self._with_execution(refusal))

    async def _go_on(self, resume: ResumePoint) -> AttemptOutcome | None:
        """Follow an attempt that another host has sent."""
        placement = self._parts.router.adopt(
            request=self._placement_request(), engine=resume.engine, tokens=resume.offset
        )
        return await self._attempt(placement, resume.attempt, resumed=True)

    def _placement_request(self) -> PlacementRequest:
        # Only the first placement may be shed: later ones are for a request already accepted.
        sheddable = self._progress.waiting_since is None and not self._progress.attempts
        if self._progress.waiting_since is None:
            self._progress.waiting_since = self._parts.clock.now()
        return placement_request(
            request=self._request,
            arrived=self._progress.waiting_since,
            excluded=self._excluded_engines(),
            sheddable=sheddable,
        )

    def _excluded_engines(self) -> frozenset[UpstreamId]:
        """Return the engines that the request must not be sent to now."""
        kept_away = self._parts.crashes.excluded_engines(
            fingerprint=self._request.fingerprint, model=self._request.model
        )
        return kept_away | self._progress.excluded | self._progress.not_admitted

    async def _attempt(
        self, placement: Placement, attempt_id: AttemptId, *, resumed: bool = False
    ) -> AttemptOutcome | None:
        """Run one attempt; ``None`` means that routing asked for a move."""
        engine = placement.engine
        attempt = Attempt(
            attempt=attempt_id,
            client=self._parts.client_of(engine),
            relay=self._relay,
            sink=self._sink,
            report=self._report_progress,
            clock=self._parts.clock,
        )
        started = self._parts.clock.now()
        self._progress.attempts += 1
        self._progress.waiting_since = None
        outcome: AttemptOutcome | None = None
        ended = False
        try:
            await self._sink.begin(attempt=attempt_id, engine=engine)
            request = engine_request(request=self._request, attempt=attempt_id)
            run = attempt.resume() if resumed else attempt.run(request=request)
            outcome = await _until_move(run, placement)
            ended = True
        finally:
            self._end_attempt(engine, outcome, started)
            self._cancel_if_running(attempt_id, engine, outcome, ended)
        return outcome

    def _end_attempt(
        self, engine: UpstreamId, outcome: AttemptOutcome | None, started: Millis
    ) -> None:
        """Tell all parts that an attempt has ended."""
        crashed = outcome is not None and outcome.end is AttemptEnd.CRASHED
        self._release(tokens=self._relay.next_offset, engine_lost=crashed)
        if crashed:
            self._parts.crashes.on_engine_crash(engine=engine)
        else:
            self._parts.crashes.on_finished(
                fingerprint=self._request.fingerprint,
                engine=engine,
                complete=self._relay.finish is not None,
            )
        self._parts.meter.on_attempt(
            record=self._record,
            end=outcome.end.value if outcome is not None else "stopped",
            tokens=self._relay.next_offset,
            started=started,
        )

    def _release(self, *, tokens: int, engine_lost: bool) -> None:
        self._parts.router.release(
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
        # A caller that leaves may come back at another host within the pause its sink names.
        pause = 0 if ended else self._sink.cancel_after_ms
        still_running = outcome is None or outcome.end in _STILL_RUNNING
        if still_running and pause is not None:
            self._parts.canceller.cancel(attempt=attempt, engine=engine, after_ms=pause)

    def _report_progress(self, tokens: int) -> None:
        self._parts.meter.on_progress(record=self._record, tokens=tokens)
        self._parts.router.report_progress(generation=self._request.generation, tokens=tokens)

    def _after(
        self, outcome: AttemptOutcome | None, engine: UpstreamId
    ) -> Result[Finish, Problem] | None:
        """Return the final result, or ``None`` to go on with another attempt."""
        if self._relay.finish is not None:
            self._parts.notes.note_success(upstream=engine)
            return Success(Finish(self._relay.finish, self._relay.delivered))
        if outcome is None:
            # A move cancels what may already have made tokens.
            self._progress.may_have_run = True
        else:
            self._note(outcome, engine)
            if outcome.end is AttemptEnd.DIFFERS:
                return Failure(self._problem(ProblemKind.GENERATION_LOST, _DIFFERS_DETAIL))
        if self._sink.discard():
            self._relay.restart()
        if self._given_up():
            return Failure(self._problem(ProblemKind.UPSTREAM_FAILED, _FAILED_DETAIL))
        return None

    def _note(self, outcome: AttemptOutcome, engine: UpstreamId) -> None:
        _log.info(
            "An attempt ended.",
            generation=self._request.generation,
            engine=engine,
            end=outcome.end.value,
            detail=outcome.detail,
        )
        self._progress.excluded.add(engine)
        if outcome.end is AttemptEnd.REFUSED:
            if outcome.refusal is not None and outcome.refusal.kind is RefusalKind.LEAVING:
                self._parts.notes.note_leaving(upstream=engine)
            return
        self._parts.notes.note_failure(upstream=engine)
        if outcome.end is not AttemptEnd.NOT_SENT:
            self._progress.may_have_run = True
            self._progress.lost += 1

    def _given_up(self) -> bool:
        if self._progress.lost > MAX_LOST_ATTEMPTS or self._progress.attempts >= MAX_ATTEMPTS:
            return True
        return self._progress.lost > 0 and not self._parts.retries.try_spend()

    def _problem(self, kind: ProblemKind, detail: str) -> Problem:
        problem = Problem(
            kind=kind,
            detail=detail,
            execution=self._execution(),
            retry_after_ms=RETRY_AFTER_MS,
        )
        return spread_return(problem=problem, rng=self._parts.rng)

    def _with_execution(self, problem: Problem) -> Problem:
        return Problem(
            kind=problem.kind,
            detail=problem.detail,
            execution=self._execution(),
            retry_after_ms=problem.retry_after_ms,
        )

    def _execution(self) -> Execution:
        return Execution.UNKNOWN if self._progress.may_have_run else Execution.NOT_EXECUTED


_STILL_RUNNING = frozenset({AttemptEnd.LOST, AttemptEnd.DIFFERS})
_DIFFERS_DETAIL = (
    "The engine was lost and its answer could not be made again; send the request once more."
)
_FAILED_DETAIL = "Several engines failed on this request; send it again after the pause."


async def _until_move(
    run: Coroutine[None, None, AttemptOutcome], placement: Placement
) -> AttemptOutcome | None:
    running = asyncio.ensure_future(run)
    moved = asyncio.ensure_future(placement.move_requested.wait())
    try:
        await asyncio.wait({running, moved}, return_when=asyncio.FIRST_COMPLETED)
        return running.result() if running.done() else None
    finally:
        moved.cancel()
        if not running.done():
            running.cancel()
            await asyncio.wait({running})
