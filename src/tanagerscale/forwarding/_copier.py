"""Copies runs between engines and logs each result."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any
from typing import Final
from typing import final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import get_logger
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._types import CopyError
from tanagerscale.forwarding._types import CopyFailure
from tanagerscale.forwarding._types import RunCopy
from tanagerscale.upstreams import UpstreamEntry

BUSY_BACKOFF_MS: Final = 50
"""Backoff after an engine reports that it is already copying the run."""

_log = get_logger(part="copies")


@final
class Copier:
    """Copies runs between engines.

    :param context: Dependencies shared by all requests.
    """

    def __init__(self, *, context: ForwardingContext) -> None:
        self._context = context
        self._background: set[asyncio.Task[None]] = set()

    async def snapshot(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry, *, ahead: bool
    ) -> Snapshot | None:
        """Copy the current KV cache of a run while the run continues.

        :param run: The run.
        :param source: Engine that runs it.
        :param target: Engine that receives the copy.
        :param ahead: Whether the copy is made ahead of time, with no move planned; such a copy is
            evictable.
        :returns: The copy, or ``None`` if it failed or is no longer needed.
        """
        work = self._context.work
        previous = run.snapshot
        recorded = work.get_copy(request=run.request)
        work.set_copy(request=run.request, copy_at=target.upstream, is_evictable=ahead)
        copied = await self.copy(run, source, target, stop=False)
        if isinstance(copied, Failure):
            work.restore_copy(request=run.request, state=recorded)
            return None
        snapshot = Snapshot(
            entry=target, copy=copied.unwrap().copy, taken=self._context.clock.now()
        )
        if run.ended or run.entry is not source:
            self.drop(snapshot)
            return None
        if previous is not None and previous.entry.upstream != target.upstream:
            self.drop(previous)
        run.snapshot = snapshot
        return snapshot

    async def copy(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry, *, stop: bool
    ) -> Result[RunCopy, CopyError]:
        """Copy the part of a run's KV cache that the target does not have yet.

        :param run: The run.
        :param source: Engine that runs it.
        :param target: Engine that receives the copy.
        :param stop: Whether to stop the run first.
        """
        async with run.copy_lock:
            started = self._context.clock.now()
            relayed = run.relayed_events
            known = self._describe_knowledge(run, source, target)
            result = await self._context.engines.copy(
                source=source, request=run.request, target=target, stop=stop
            )
        copied_events = result.unwrap().events if isinstance(result, Success) else None
        result = result.bind(lambda copied: _check_events(copied, relayed))
        error = result.failure() if isinstance(result, Failure) else None
        outcome = "copied" if error is None else error.failure.value
        self._context.metrics.copies.labels(outcome).inc()
        _log.info(
            (
                "A run was copied to another engine."
                if error is None
                else "A run could not be copied to another engine."
            ),
            request=run.request,
            source=source.upstream,
            target=target.upstream,
            tokens=run.tokens,
            relayed_events=relayed,
            copied_events=copied_events,
            failure=None if error is None else error.failure.value,
            detail=None if error is None else error.detail,
            stop=stop,
            is_retained=error is not None and error.retained_copy is not None,
            took_ms=self._context.clock.now() - started,
            **known,
        )
        if error is not None and error.failure is CopyFailure.NO_ROOM:
            self._spawn(self._check_target_memory(target))
        if error is not None and error.failure is CopyFailure.BUSY:
            await self._context.clock.sleep(BUSY_BACKOFF_MS)
        return result

    def _describe_knowledge(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry
    ) -> dict[str, object]:
        """Return what this host knows of the engines of a copy, for the log."""
        gate, snapshot = self._context.gate, run.snapshot
        copy_age_ms = None
        if snapshot is not None and snapshot.entry.upstream == target.upstream:
            copy_age_ms = self._context.clock.now() - snapshot.taken
        return {
            "copy_age_ms": copy_age_ms,
            "source_leaving_ms": gate.leaving_for_ms(source.upstream),
            "is_target_leaving": gate.is_leaving(target.upstream),
            "is_target_broken": gate.is_broken(target.upstream),
        }

    async def _check_target_memory(self, entry: UpstreamEntry) -> None:
        """Query an engine that had no memory for a copy, and log its actual memory use.

        An engine that is gone accepts no copies either, and appears to be empty while the store is
        unavailable.
        """
        if self._context.pauses.is_paused(entry.upstream):
            return
        reported = await self._context.engines.report(upstream=entry)
        if isinstance(reported, Failure):
            _log.info(
                "The engine sent no status report.",
                upstream=entry.upstream,
                detail=reported.failure(),
            )
            self._context.gate.record_failure(upstream=entry.upstream)
            return
        report = reported.unwrap()
        if report.is_leaving:
            self._context.gate.record_own_notice(upstream=entry.upstream)
        _log.info(
            "An engine has no room.",
            upstream=entry.upstream,
            used=report.used_tokens,
            total=report.total_tokens,
            running=report.running,
            waiting=report.waiting,
        )

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def drop_snapshot_of(self, run: StreamRun) -> None:
        """Free the copy of a run that stays on its engine."""
        snapshot = run.snapshot
        run.snapshot = None
        self._context.work.set_copy(request=run.request, copy_at=None)
        if snapshot is not None:
            self.drop(snapshot)

    def drop(self, snapshot: Snapshot) -> None:
        """Free an unused copy in the background."""
        self._spawn(self._context.engines.drop_copy(holder=snapshot.entry, copy=snapshot.copy))


def _check_events(copied: RunCopy, relayed: int) -> Result[RunCopy, CopyError]:
    """Return a copy, or an error if it has fewer events than its run has already produced.

    Nothing else in an engine's answer tells of which run the copy is.
    """
    if copied.events >= relayed:
        return Success(copied)
    detail = f"the copy has {copied.events} events, and its run had {relayed}"
    return Failure(CopyError(failure=CopyFailure.LOST, detail=detail))
