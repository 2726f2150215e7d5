"""Stops that the engines of one run are asked for, and where the run resumes after them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import finish_within
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._stream_end import StopState

STOP_TIMEOUT_MS: Final = 300
"""Timeout for an engine to stop a run whose stream has ended. A live engine responds within 20 ms;
one that does not respond must not delay the run."""


@final
class PendingStop:
    """One stop. A later one may begin before its result is known."""

    __slots__ = ("ended", "has_repeat", "is_stale")

    def __init__(self) -> None:
        self.ended = asyncio.Event()
        self.has_repeat = False
        """Whether the run has taken the repeat of the order."""
        self.is_stale = False
        """Whether the run has continued without its result."""


@final
class RunStops:
    """The stops of one run.

    :param grant_repeat: Gives the run the repeat of an order.
    :param free: Frees a copy that the run does not need.
    """

    def __init__(
        self, *, grant_repeat: Callable[[], None], free: Callable[[ResumeTarget], None]
    ) -> None:
        self._grant_repeat = grant_repeat
        self._free = free
        self._pending: PendingStop | None = None
        self._abandoned: PendingStop | None = None
        self._has_stream_ended = False
        self._last: PendingStop | None = None
        """The last stop that the current engine was asked for."""
        self._answer = StopState.NONE
        self.targets: list[ResumeTarget] = []
        """Where the run resumes, in the order of preference."""
        self.is_requested = False
        """Whether the last engine has been asked to stop the run."""
        self.has_stopped = False
        """Whether the last engine has stopped the run, so that it can't be stopped again."""

    @property
    def is_pending(self) -> bool:
        """Whether an engine is being asked to stop the run."""
        return self._pending is not None

    @property
    def state(self) -> StopState:
        """What is known of the orders to the last engine."""
        return self._answer if self._pending is None else StopState.PENDING

    def begin(self) -> PendingStop:
        """Record that the current engine is being asked to stop the run."""
        self._pending = self._last = PendingStop()
        return self._pending

    def finish(
        self, stop: PendingStop, resume_target: ResumeTarget | None, *, answer: StopState | None
    ) -> bool:
        """Record the result of a stop.

        :param stop: The stop.
        :param resume_target: Where the run resumes; ``None`` if that is not known.
        :param answer: What the engine has answered; ``None`` if nothing tells whether it has
            stopped the run, and the run takes no repeat.
        :returns: Whether the run uses the repeat of the order.
        """
        if self._last is stop:
            self._record_answer(answer or StopState.LOST)
        if self._pending is stop:
            self._pending = None
            self.has_stopped |= resume_target is not None
            self.is_requested |= resume_target is not None
        stop.ended.set()
        if stop.is_stale:
            if resume_target is not None:
                self._free(resume_target)
            return stop.has_repeat
        if resume_target is not None:
            self.targets.append(resume_target)
        may_have_stopped = answer in (StopState.STOPPED, StopState.LOST)
        if may_have_stopped or self._has_stream_ended:
            self._take_repeat(stop)
        return stop.has_repeat

    async def wait(self, *, has_copy: bool) -> None:
        """Wait, after the end of the stream, until the engine tells where the run resumes.

        :param has_copy: Whether the run has an earlier copy. It does not wait long then.
        """
        self._has_stream_ended = True
        await self.wait_for_answer(has_copy=has_copy)

    async def wait_for_answer(self, *, has_copy: bool) -> None:
        """Wait until the engine tells whether it has stopped the run.

        :param has_copy: Whether the run has an earlier copy. It does not wait long then.
        """
        stop = self._pending
        if stop is None:
            return
        if not has_copy:
            await stop.ended.wait()
            return
        try:
            await finish_within(stop.ended.wait(), timeout_ms=STOP_TIMEOUT_MS)
        except TimeoutError:
            self._take_repeat(stop)
            self._abandoned = stop
            self._pending = None
            self._record_answer(StopState.LATE)
            self.is_requested = True

    async def wait_for_late_target(self) -> ResumeTarget | None:
        """Return where an engine that took long to stop the run lets it resume, if it does."""
        stop, self._abandoned = self._abandoned, None
        if stop is None:
            return None
        await stop.ended.wait()
        return self.targets.pop(0) if self.targets else None

    def on_event(self) -> None:
        """Handle an event of the last engine.

        An earlier answer that the engine has no such run proves nothing then.
        """
        if self._answer is StopState.NOT_RUNNING:
            self._answer = StopState.NONE

    def on_resumed(self) -> None:
        """Handle the acceptance of the run by another engine."""
        self._has_stream_ended = False
        self.is_requested = False
        self.has_stopped = False
        self._last = None
        self._answer = StopState.NONE

    def on_continued(self) -> None:
        """Free what the run has not needed, since it has continued or has ended."""
        for stop in (self._pending, self._abandoned):
            if stop is not None:
                stop.is_stale = True
        self._pending = self._abandoned = None
        for target in self.targets:
            self._free(target)
        self.targets.clear()

    def _record_answer(self, answer: StopState) -> None:
        # After a lost answer, an engine without the run may have carried out that stop.
        if answer is StopState.STOPPED or self._answer is not StopState.LOST:
            self._answer = answer

    def _take_repeat(self, stop: PendingStop) -> None:
        if not stop.has_repeat:
            stop.has_repeat = True
            self._grant_repeat()
