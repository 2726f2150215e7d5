"""The one place at which runs are stopped, so that they continue on other engines."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from msgspec import Struct
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._copier import Copier
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._run_stops import STOP_TIMEOUT_MS
from tanagerscale.forwarding._sending import RESUME_AT_LEAVING_MS
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._stream_end import StopState
from tanagerscale.forwarding._types import CopyError
from tanagerscale.forwarding._types import CopyFailure
from tanagerscale.forwarding._types import RunCopy
from tanagerscale.upstreams import UpstreamEntry

MAX_CONFIRMATION_AGE_MS: Final = 100
"""Age up to which a copy shows that its engine can take the run."""

_log = get_logger(part="moves")


class MoveResult(Struct, frozen=True, kw_only=True):
    """Result of an order to move a run.

    :param is_done: Whether its KV cache is at the target.
    :param has_stopped: Whether it was stopped, so that it continues with the repeat of the order.
    """

    is_done: bool
    has_stopped: bool


NOT_MOVED: Final = MoveResult(is_done=False, has_stopped=False)
"""The run stays on its engine, and goes on."""


@final
class RunStopper:
    """Stops runs so that they continue on other engines.

    A stop can't be undone: the engine closes the stream and keeps only the memory of the run. So a
    run that an engine works on is stopped only for a target that has just taken a copy of it.

    :param context: Dependencies shared by all requests.
    :param copier: Copies runs.
    """

    def __init__(self, *, context: ForwardingContext, copier: Copier) -> None:
        self._context = context
        self._copier = copier

    def find_obstacle(self, target: UpstreamId) -> str:
        """Return why no run may be moved to an engine; the empty string if one may."""
        context = self._context
        if context.upstreams.get(target) is None:
            return "the target is not known here"
        if context.gate.is_leaving(target):
            return "the target is leaving"
        if context.upstreams.is_evacuated(target):
            return "the target is evacuated"
        return "the target has asked for a pause" if context.pauses.is_paused(target) else ""

    async def move(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry
    ) -> MoveResult:
        """Copy a run to another engine, stop it, and let it continue there.

        :param run: The run.
        :param source: Engine that runs it.
        :param target: Engine on which it is to continue.
        """
        snapshot = await self._confirm(run, source, target)
        if snapshot is None or run.ended or run.entry is not source:
            return NOT_MOVED
        obstacle = self.find_obstacle(target.upstream)
        if obstacle:
            _log.info(
                "A run is not stopped.",
                request=run.request,
                target=target.upstream,
                reason=obstacle,
            )
            return NOT_MOVED
        return await self._stop(run, source, snapshot)

    async def recover(
        self, run: StreamRun, source: UpstreamEntry, *, is_stop_requested: bool
    ) -> ResumeTarget | None:
        """Return where to resume a run that broke off, using an earlier copy.

        If only the connection broke, the engine may still be working on the run, so the engine is
        first asked to stop it.

        :param run: The run.
        :param source: Engine that has run it.
        :param is_stop_requested: Whether that engine has been asked before.
        """
        snapshot = run.snapshot
        if snapshot is None or not self._can_resume_from(snapshot):
            return None
        resume_target = ResumeTarget(
            entry=snapshot.entry, holder=snapshot.holder or source, copy=snapshot.copy
        )
        if is_stop_requested:
            return resume_target
        try:
            async with asyncio.timeout(STOP_TIMEOUT_MS / MS_PER_SECOND):
                final_copy = await self._copier.copy(run, source, snapshot.entry, stop=True)
        except TimeoutError:
            return resume_target
        if isinstance(final_copy, Success):
            copy = final_copy.unwrap().copy
            return ResumeTarget(entry=snapshot.entry, holder=source, copy=copy, is_stopped=True)
        retained_copy = final_copy.failure().retained_copy
        return (
            resume_target
            if retained_copy is None
            else ResumeTarget(entry=source, holder=source, copy=retained_copy, is_stopped=True)
        )

    def _can_resume_from(self, snapshot: Snapshot) -> bool:
        """Return whether a run may resume on the engine that holds a copy.

        It may for a while after that engine has begun to leave, since it would be lost otherwise.
        """
        upstream = snapshot.entry.upstream
        if self._context.upstreams.is_evacuated(upstream):
            return False
        leaving_ms = self._context.gate.leaving_for_ms(upstream)
        return leaving_ms is None or leaving_ms < RESUME_AT_LEAVING_MS

    async def _confirm(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry
    ) -> Snapshot | None:
        """Return a copy that the target has just taken; ``None`` if it takes none."""
        snapshot = run.snapshot
        if snapshot is not None and snapshot.entry.upstream == target.upstream:
            age_ms = self._context.clock.now() - snapshot.taken
            is_doubtful = self._context.gate.is_broken(target.upstream)
            if age_ms <= MAX_CONFIRMATION_AGE_MS and not is_doubtful:
                # The copy is no longer evictable because the run is about to need it.
                self._context.work.set_copy(request=run.request, copy_at=target.upstream)
                return snapshot
        return await self._copier.snapshot(run, source, target, ahead=False)

    async def _stop(self, run: StreamRun, source: UpstreamEntry, snapshot: Snapshot) -> MoveResult:
        """Stop a run, copy the rest of its KV cache and resume it on the target.

        A run whose rest can't be copied resumes on its source.
        """
        resume_target: ResumeTarget | None = None
        answer = None
        stop = run.begin_stop()
        try:
            final_copy = await self._copier.copy(run, source, snapshot.entry, stop=True)
            if isinstance(final_copy, Success):
                resume_target = ResumeTarget(
                    entry=snapshot.entry,
                    holder=source,
                    copy=final_copy.unwrap().copy,
                    is_stopped=True,
                    is_permitted=True,
                )
            elif (retained_copy := final_copy.failure().retained_copy) is not None:
                resume_target = ResumeTarget(
                    entry=source, holder=source, copy=retained_copy, is_stopped=True
                )
            answer = _get_answer(final_copy)
        finally:
            has_repeat = run.finish_stop(stop, resume_target, answer=answer)
        return MoveResult(is_done=isinstance(final_copy, Success), has_stopped=has_repeat)


def _get_answer(final_copy: Result[RunCopy, CopyError]) -> StopState | None:
    """Return what an engine has answered to the order to stop a run; ``None`` if nothing tells."""
    if isinstance(final_copy, Success) or final_copy.failure().retained_copy is not None:
        return StopState.STOPPED
    match final_copy.failure().failure:
        case CopyFailure.UNKNOWN_RUN:
            return StopState.NOT_RUNNING
        case CopyFailure.LOST:
            return StopState.LOST
        case CopyFailure.BUSY:
            return StopState.REJECTED
    # An engine without room for the copy has stopped the run, and should have named the memory.
    return None
