"""Resumes runs of streams on the engines that hold copies of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Set
from typing import Final
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._engine_reports import answers_report
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._segments import MIN_FAILURE_STATUS
from tanagerscale.forwarding._segments import RunProgress
from tanagerscale.forwarding._segments import SegmentSender
from tanagerscale.forwarding._segments import StreamSegment
from tanagerscale.forwarding._sending import RESUME_AT_LEAVING_MS
from tanagerscale.forwarding._sending import SendPath
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.generated.messages import RequestClass
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamLeavingError

RESUME_TIMEOUT_MS: Final = 1000
"""Timeout for an engine to accept a resume request, unless it is alive. The memory of a run can be
used once, so that no other engine has it after a live engine has read the request."""

ONLY_HOLDER_TIMEOUT_MS: Final = 6000
"""The same if the engine is alive, or no other one can continue the run. Callers disconnect seven
seconds after the last event."""

MAX_RESUME_ATTEMPTS: Final = 5
INITIAL_BACKOFF_MS: Final = 20
"""Maximum attempts to resume from one copy, and the backoff after the first attempt, which doubles
after each one: 0.3 s in total. An engine that fails six of ten requests accepts at least one of
five with a probability of 92 in 100."""

MAX_BUDGET_WAIT_MS: Final = 2500
MIN_BUDGET_WAIT_MS: Final = 20
"""Longest wait of a run for the retry budget, and shortest interval between two asks. Engines keep
the copy of a run that waits for five seconds, and it may be half as old."""

MAX_PERMIT_WAIT_MS: Final = 500
"""Longest wait in one attempt until the rate limit of an engine allows the run."""


@final
class RunResumer:
    """Resumes the run of one request.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param sender: Sends the request to engines.
    """

    def __init__(
        self, *, routed: RoutedRequest, context: ForwardingContext, sender: SegmentSender
    ) -> None:
        self._routed = routed
        self._context = context
        self._sender = sender
        self._has_repeat = False
        """Whether a repeat was granted with which nothing has been sent."""
        self._has_other_copy = False
        self.may_be_running_at: UpstreamEntry | None = None
        """Engine that may have taken the run in the last call of ``resume`` and did not say so."""

    def grant_repeat(self) -> None:
        """Give the run the repeat of an order to stop it."""
        self._has_repeat = True

    async def resume(
        self,
        *,
        resume_target: ResumeTarget,
        progress: RunProgress,
        has_other_copy: bool = False,
        has_ended: Callable[[], bool] = lambda: False,
    ) -> StreamSegment | Snapshot | None:
        """Resume a run from a copy, at either of the two engines that hold one.

        Each request needs a repeat of the retry budget. One that the decider has granted with its
        order serves for whichever engine is asked first.

        An engine that refuses the run keeps the copy, and an engine that fails only some of its
        requests accepts the run at a later attempt.

        :param resume_target: Where to resume first.
        :param progress: Progress of the run.
        :param has_other_copy: Whether a third engine holds a copy, so that the run need not wait
            for these two.
        :param has_ended: Returns whether the run is known to have ended by itself meanwhile.
        :returns: The next segment; or, if the last engine may be running it, the copy that remains
            once that engine has been stopped; or ``None`` if the run can't resume.
        :raises QuarantinedError: The request has what crashes upstreams.
        """
        entry = resume_target.entry
        backoff_ms = INITIAL_BACKOFF_MS
        failed: set[UpstreamId] = set()
        ends_at = self._context.clock.now() + MAX_BUDGET_WAIT_MS
        self._has_other_copy = has_other_copy
        self.may_be_running_at = None
        for _ in range(MAX_RESUME_ATTEMPTS):
            if has_ended():
                return None
            if not self._has_repeat and not await self._acquire_repeat(entry, ends_at):
                return None
            self._has_repeat = True
            holder = self._choose_holder(resume_target, entry, failed)
            if holder is None and await self._wait_for_pause(resume_target, entry, ends_at):
                holder = self._choose_holder(resume_target, entry, failed)
            if holder is None:
                self._sender.log("No engine that holds the copy can be asked.", entry)
                return None
            entry = holder
            chosen_at = self._context.clock.now()
            is_permitted = (
                resume_target.is_permitted
                and entry is resume_target.entry
                and entry.upstream not in failed
            )
            failed.add(entry.upstream)
            if not is_permitted and not await self._acquire_permit(entry):
                entry = self._next_holder(resume_target, entry)
                continue
            self._has_repeat = False
            try:
                segment = await self._try_resume(entry, resume_target, progress, chosen_at)
            except UpstreamLeavingError:
                self._has_repeat = True
                if self._next_holder(resume_target, entry) is entry:
                    return None
            except (ExchangeError, TimeoutError) as error:
                self._sender.log("An attempt to resume a run failed.", entry, detail=repr(error))
                self._sender.record_failure(entry)
                self._has_repeat = _is_not_sent(error)
                if not self._has_repeat:
                    self.may_be_running_at = entry
                    return self._snapshot_at_other_holder(resume_target, entry)
            else:
                if segment.response.status < MIN_FAILURE_STATUS:
                    return segment
                await self._sender.drain(segment)
                if not segment.response.not_executed:
                    return None
            await self._context.clock.sleep(backoff_ms)
            backoff_ms *= 2
            entry = self._next_holder(resume_target, entry)
        return None

    async def _try_resume(
        self,
        entry: UpstreamEntry,
        resume_target: ResumeTarget,
        progress: RunProgress,
        chosen_at: Millis,
    ) -> StreamSegment:
        sent_at = self._context.clock.now()
        has_other = self._has_other_copy or self._other_holder(resume_target, entry) is not entry
        sending = asyncio.create_task(
            self._sender.send(
                entry=entry,
                resume_target=resume_target,
                progress=progress,
                path=SendPath.RESUMED,
                chosen_at=chosen_at,
            )
        )
        try:
            async with asyncio.timeout(ONLY_HOLDER_TIMEOUT_MS / MS_PER_SECOND):
                segment = await self._wait_for_engine(sending, entry, has_other=has_other)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
        status = segment.response.status
        self._sender.log(
            (
                "A stream goes on."
                if status < MIN_FAILURE_STATUS
                else "An engine refused to resume a run."
            ),
            entry,
            holder=resume_target.holder.upstream,
            at=progress.event,
            status=status,
            took_ms=self._context.clock.now() - sent_at,
        )
        return segment

    async def _wait_for_engine(
        self, sending: asyncio.Task[StreamSegment], entry: UpstreamEntry, *, has_other: bool
    ) -> StreamSegment:
        """Return the response of an engine, which takes long only as long as it is alive.

        :param sending: The request to it.
        :param entry: The engine.
        :param has_other: Whether another engine can continue the run.
        :raises TimeoutError: The engine is not alive.
        """
        while has_other:
            done, _ = await asyncio.wait([sending], timeout=RESUME_TIMEOUT_MS / MS_PER_SECOND)
            if done:
                break
            is_alive = await answers_report(self._context.engines, entry)
            if not is_alive and not sending.done():
                raise TimeoutError
        return await sending

    async def _acquire_repeat(self, entry: UpstreamEntry, ends_at: int) -> bool:
        """Wait until the retry budget allows the run to continue.

        :param entry: Engine with a copy of the run, on which it waits.
        :param ends_at: Time until which it may wait.
        :returns: Whether the budget does; if not, it won't in time.
        """
        clock = self._context.clock
        while True:
            permit = await self._context.retry_permits.acquire_resume(service=self._routed.service)
            if permit.is_granted:
                return True
            delay_ms = max(permit.delay_ms, MIN_BUDGET_WAIT_MS)
            is_in_time = clock.now() + delay_ms <= ends_at
            self._sender.log(
                (
                    "A run waits for the retry budget."
                    if is_in_time
                    else "The retry budget is exhausted, and a run can't wait for it."
                ),
                entry,
                delay_ms=delay_ms,
            )
            if not is_in_time:
                return False
            await clock.sleep(delay_ms)

    async def _acquire_permit(self, entry: UpstreamEntry) -> bool:
        """Wait until the rate limit of an engine allows a run to resume there.

        :returns: Whether it does; if not, some time has passed in which it may have changed.
        """
        if not self._context.rate_limits.is_limited(entry.upstream):
            return True
        permit = await self._context.rate_permits.acquire(
            upstreams=[entry.upstream],
            kind=RequestClass.RESUMED,
            wait_ms=MAX_PERMIT_WAIT_MS,
            prompt_ms=MAX_PERMIT_WAIT_MS,
        )
        await self._context.clock.sleep(min(permit.delay_ms, MAX_PERMIT_WAIT_MS))
        if not permit.may_send:
            self._sender.log(
                "The rate limit of an engine delays a run.", entry, delay_ms=permit.delay_ms
            )
        return permit.may_send

    def _choose_holder(
        self, resume_target: ResumeTarget, entry: UpstreamEntry, failed: Set[UpstreamId]
    ) -> UpstreamEntry | None:
        """Return the engine to ask next among those that hold the copy; ``None`` if there is none.

        A paused engine is only asked if the other one has failed, and only once.

        :param resume_target: Where the run resumes.
        :param entry: The engine whose turn it is.
        :param failed: Engines that have been asked already.
        """
        holders = self._usable_holders(resume_target, entry)
        pauses = self._context.pauses
        unpaused = [one for one in holders if not pauses.is_paused(one.upstream)]
        if unpaused and (unpaused[0] is entry or unpaused[0].upstream not in failed):
            return unpaused[0]
        for one in holders:
            is_unasked = one.upstream not in failed and one not in unpaused
            if is_unasked and pauses.take_allowance(one.upstream):
                return one
        return unpaused[0] if unpaused else None

    def _usable_holders(
        self, resume_target: ResumeTarget, entry: UpstreamEntry
    ) -> list[UpstreamEntry]:
        """Return the engines that hold the copy and may get requests, paused ones too."""
        holders = (entry, self._next_holder(resume_target, entry))
        is_evacuated = self._context.upstreams.is_evacuated
        return [one for one in holders if not is_evacuated(one.upstream)]

    async def _wait_for_pause(
        self, resume_target: ResumeTarget, entry: UpstreamEntry, ends_at: int
    ) -> bool:
        """Wait until the pause of an engine that holds the copy ends.

        :param resume_target: Where the run resumes.
        :param entry: The engine whose turn it is.
        :param ends_at: Time until which it may wait.
        :returns: Whether one has ended; if not, none will in time.
        """
        clock = self._context.clock
        holders = self._usable_holders(resume_target, entry)
        pause_ms = self._context.pauses.shortest_ms(one.upstream for one in holders)
        if pause_ms is None or self._has_other_copy or clock.now() + pause_ms > ends_at:
            return False
        self._sender.log("A run waits for the pause of an engine.", entry, pause_ms=pause_ms)
        await clock.sleep(pause_ms)
        return True

    def _snapshot_at_other_holder(
        self, resume_target: ResumeTarget, entry: UpstreamEntry
    ) -> Snapshot | None:
        """Return the copy at the other holder; the engine last asked may be running it."""
        other = self._next_holder(resume_target, entry)
        if other is entry:
            return None
        now = self._context.clock.now()
        return Snapshot(
            entry=other, copy=resume_target.copy, taken=now, holder=resume_target.holder
        )

    def _next_holder(self, resume_target: ResumeTarget, entry: UpstreamEntry) -> UpstreamEntry:
        """Return the other engine that holds the copy, unless it may get no request.

        The engine that stopped the run may get one for a while after it has begun to leave.
        """
        other = self._other_holder(resume_target, entry)
        if other is not entry or not resume_target.is_stopped:
            return other
        holder = resume_target.holder
        leaving_ms = self._context.gate.leaving_for_ms(holder.upstream)
        may_return = leaving_ms is None or leaving_ms < RESUME_AT_LEAVING_MS
        return holder if may_return else other

    def _other_holder(self, resume_target: ResumeTarget, entry: UpstreamEntry) -> UpstreamEntry:
        """Return the other engine that holds the copy, unless that engine is leaving."""
        other = resume_target.holder if entry is resume_target.entry else resume_target.entry
        return entry if self._context.gate.is_leaving(other.upstream) else other


def _is_not_sent(error: Exception) -> bool:
    return isinstance(error, ExchangeError) and error.failure is ExchangeFailure.NOT_SENT
