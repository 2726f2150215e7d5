"""Asking engines to copy runs, with a line of log for each answer."""

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
from tanagerscale.forwarding._hops import Hop
from tanagerscale.forwarding._hops import Snapshot
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._types import CopyError
from tanagerscale.forwarding._types import CopyFailure
from tanagerscale.forwarding._types import RunCopy
from tanagerscale.upstreams import UpstreamEntry

BUSY_PAUSE_MS: Final = 50
"""Pause before an engine that is copying the run already is asked again."""

_log = get_logger(part="copies")


@final
class Copier:
    """Copies runs from engine to engine.

    :param parts: What every request uses.
    """

    def __init__(self, *, parts: ForwardingParts) -> None:
        self._parts = parts
        self._background: set[asyncio.Task[None]] = set()

    async def snapshot(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry, *, ahead: bool
    ) -> Snapshot | None:
        """Copy what a run holds now while it goes on.

        :param run: The run.
        :param source: Where it runs.
        :param target: Where its memory goes.
        :param ahead: Whether it may stay on its engine for all that is known.
        :returns: The copy, or ``None`` when there is none.
        """
        work = self._parts.work
        before = run.snapshot
        work.set_copy(request=run.request, copy_at=target.upstream, yields=ahead)
        copied = await self.copy(run, source, target, stop=False)
        if isinstance(copied, Failure):
            kept = None if before is None else before.entry.upstream
            work.set_copy(request=run.request, copy_at=kept, yields=ahead)
            return None
        snapshot = Snapshot(entry=target, copy=copied.unwrap().copy, taken=self._parts.clock.now())
        if run.ended or run.entry is not source:
            self.drop(snapshot)
            return None
        if before is not None and before.entry.upstream != target.upstream:
            self.drop(before)
        run.snapshot = snapshot
        return snapshot

    async def copy(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry, *, stop: bool
    ) -> Result[RunCopy, CopyError]:
        """Copy what is new of a run's memory.

        :param run: The run.
        :param source: Where it runs.
        :param target: Where its memory goes.
        :param stop: Whether to stop it first.
        """
        async with run.copying:
            started = self._parts.clock.now()
            result = await self._parts.engines.copy(
                source=source, request=run.request, target=target, stop=stop
            )
        error = result.failure() if isinstance(result, Failure) else None
        outcome = "copied" if error is None else error.failure.value
        self._parts.meters.copies.labels(outcome).inc()
        _log.info(
            "A run was copied." if error is None else "A run was not copied.",
            request=run.request,
            source=source.upstream,
            target=target.upstream,
            tokens=run.tokens,
            failure=None if error is None else error.failure.value,
            detail=None if error is None else error.detail,
            stop=stop,
            took_ms=self._parts.clock.now() - started,
        )
        if error is not None and error.failure is CopyFailure.NO_ROOM:
            self._spawn(self._look_for_room(target))
        if error is not None and error.failure is CopyFailure.BUSY:
            await self._parts.clock.sleep(BUSY_PAUSE_MS)
        return result

    async def _look_for_room(self, entry: UpstreamEntry) -> None:
        """Find out why an engine took no copy: log what it holds, beside what was believed of it.

        One that is gone takes no copy either, and looks empty while the store does not tell.
        """
        reported = await self._parts.engines.report(upstream=entry)
        if isinstance(reported, Failure):
            _log.info("No report came.", upstream=entry.upstream, detail=reported.failure())
            self._parts.gate.note_down(upstream=entry.upstream)
            return
        report = reported.unwrap()
        if report.is_leaving:
            self._parts.gate.note_leaving(upstream=entry.upstream)
        _log.info(
            "An engine has no room.",
            upstream=entry.upstream,
            used=report.used_tokens,
            total=report.total_tokens,
            running=report.running,
            waiting=report.waiting,
        )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def finish(self, run: StreamRun, source: UpstreamEntry, held: Snapshot) -> bool:
        """Copy the rest of a run with the run stopped, and let it go on where its copy is.

        :returns: Whether it goes on somewhere.
        """
        hop: Hop | None = None
        run.expect_stop()
        try:
            rest = await self.copy(run, source, held.entry, stop=True)
            if isinstance(rest, Success):
                hop = Hop(entry=held.entry, holder=source, copy=rest.unwrap().copy)
            elif (kept := rest.failure().kept) is not None:
                hop = Hop(entry=source, holder=source, copy=kept)
        finally:
            run.stopped(hop)
        return hop is not None

    def drop_of(self, run: StreamRun) -> None:
        """Free the copy of a run that goes on where it is."""
        held = run.snapshot
        run.snapshot = None
        self._parts.work.set_copy(request=run.request, copy_at=None)
        if held is not None:
            self.drop(held)

    def drop(self, snapshot: Snapshot) -> None:
        """Free a copy that nobody will use, without waiting for it."""
        self._spawn(self._parts.engines.drop_copy(holder=snapshot.entry, copy=snapshot.copy))
