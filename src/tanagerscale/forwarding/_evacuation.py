"""Moves streams away from engines that leave, before they are gone."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from contextlib import AbstractAsyncContextManager
from functools import partial
from typing import Any
from typing import Final
from typing import final

from returns.result import Failure
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._engine_views import choose_target
from tanagerscale.forwarding._hops import Hop
from tanagerscale.forwarding._hops import Snapshot
from tanagerscale.forwarding._moving import MovingParts
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._work import LinkRank
from tanagerscale.policy import copy_ms
from tanagerscale.upstreams import UpstreamEntry

RESCUE_MS: Final = 300
"""Longest wait for an engine to stop a run whose connection broke. One that lives answers within 20
ms, and one that does not must not keep the run from going on."""

REPORT_MS: Final = 700
"""After a notice, when the engine's report tells when it goes: reports are half a second old."""

REPORT_LAG_MS: Final = 580
"""Taken off what a report says of the time left. Over 20 engines the connections ended 523 to 554
ms before the time that their report gave when it came."""

MOST_TRIES: Final = 4
"""Tries to copy one run away; each takes a few hundred milliseconds of a notice of two seconds."""

ROOM_PAUSE_MS: Final = 50
"""Pause between two looks for an engine with room; one gets some every few hundred milliseconds, as
generations end."""

_log = get_logger(part="evacuation")


@final
class Evacuation:
    """Moves this host's streams whose engine leaves.

    :param moving: What moves runs.
    """

    def __init__(self, *, moving: MovingParts) -> None:
        self._moving = moving
        self._parts = moving.parts
        self._departures = moving.departures
        self._copier = moving.copier
        self._runs = moving.runs
        self._tasks: dict[StreamRun, asyncio.Task[None]] = {}
        self._background: set[asyncio.Task[None]] = set()

    def on_change(self, upstream: UpstreamId) -> None:
        """Move what runs on an engine, if it leaves."""
        if not self._parts.notes.is_leaving(upstream):
            self._departures.forget(upstream)
            return
        self._departures.note(upstream)
        for run in self._runs_on(upstream):
            self._begin_to_leave(run)

    def on_engine(self, run: StreamRun) -> None:
        """Move a run on at once when its engine left while it read the prompt."""
        if run.entry is not None and self._parts.notes.is_leaving(run.entry.upstream):
            self._begin_to_leave(run)

    async def rescue(self, run: StreamRun, source: UpstreamEntry) -> Hop | None:
        """Return where a run goes on that broke off, from a copy taken before.

        The engine may live and still work on the run, when only its connection broke; so it is
        asked to stop first.
        """
        held = run.snapshot
        if held is None or self._parts.notes.is_leaving(held.entry.upstream):
            return None
        hop = Hop(entry=held.entry, holder=held.holder or source, copy=held.copy)
        try:
            async with asyncio.timeout(RESCUE_MS / MS_PER_SECOND):
                rest = await self._copier.copy(run, source, held.entry, stop=True)
        except TimeoutError:
            return hop
        if isinstance(rest, Success):
            return Hop(entry=held.entry, holder=source, copy=rest.unwrap().copy)
        kept = rest.failure().kept
        return hop if kept is None else Hop(entry=source, holder=source, copy=kept)

    def on_unused(self, snapshot: Snapshot) -> None:
        """Free a copy that is not needed any more."""
        self._copier.drop(snapshot)

    def _runs_on(self, upstream: UpstreamId) -> list[StreamRun]:
        return [
            run for run in self._runs if run.entry is not None and run.entry.upstream == upstream
        ]

    async def _ask_end(self, upstream: UpstreamId) -> None:
        """Ask a leaving engine when it goes, if runs of this host still wait to leave it."""
        asked_at = self._departures.noticed_at(upstream) + REPORT_MS
        await self._parts.clock.sleep(max(asked_at - self._parts.clock.now(), 0))
        entry = self._parts.upstreams.get(upstream)
        if entry is None or not self._runs_on(upstream):
            return
        reported = await self._parts.engines.report(upstream=entry)
        if isinstance(reported, Failure):
            _log.info("No end is known.", upstream=upstream, detail=reported.failure())
            return
        leaves_in_ms = reported.unwrap().leaves_in_ms
        _log.info("An engine tells its end.", upstream=upstream, leaves_in_ms=leaves_in_ms)
        if leaves_in_ms is not None:
            self._departures.note_end(upstream, in_ms=leaves_in_ms - REPORT_LAG_MS)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    def _begin_to_leave(self, run: StreamRun) -> None:
        if run in self._tasks or run.entry is None:
            return
        upstream = run.entry.upstream
        if self._departures.ask_once(upstream):
            self._spawn(self._ask_end(upstream))
        task = asyncio.create_task(self._leave(run))
        self._tasks[run] = task
        task.add_done_callback(partial(self._forget_task, run))

    def _forget_task(self, run: StreamRun, task: asyncio.Task[None]) -> None:
        self._tasks.pop(run, None)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("Moving a run failed.", request=run.request, detail=repr(error))

    async def _leave(self, run: StreamRun) -> None:
        """Bring one run away from the engine it is on."""
        source = run.entry
        assert source is not None
        await run.wait_begun()
        if not self._still_there(run, source):
            return
        if not await self._finish_from_copy(run, source):
            await self._copy_away(run, source)

    async def _finish_from_copy(self, run: StreamRun, source: UpstreamEntry) -> bool:
        """Let a run go on where a copy of it is already; return whether it does."""
        held = self._live_copy(run)
        if held is None:
            return False
        self._parts.work.set_copy(request=run.request, copy_at=held.entry.upstream)
        async with self._turn(run, source, held.entry, LinkRank.REST) as is_granted:
            if not is_granted or not self._still_there(run, source):
                return False
            return await self._copier.finish(run, source, held)

    def _live_copy(self, run: StreamRun) -> Snapshot | None:
        held = run.snapshot
        if held is None or self._parts.notes.is_leaving(held.entry.upstream):
            return None
        return held

    def _turn(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry, rank: LinkRank
    ) -> AbstractAsyncContextManager[bool]:
        def until() -> Millis:
            return self._departures.gone_at(source.upstream)

        return self._moving.turn(run=run, source=source, target=target, rank=rank, until=until)

    def _still_there(self, run: StreamRun, source: UpstreamEntry) -> bool:
        return not run.ended and run.entry is source

    async def _copy_away(self, run: StreamRun, source: UpstreamEntry) -> None:
        """Copy while the run goes on, then copy the rest, stop it and go on elsewhere."""
        excluded: set[UpstreamId] = set()
        for _ in range(MOST_TRIES):
            target = await self._wait_for_target(run, source, excluded)
            if target is None:
                return
            async with self._turn(run, source, target, LinkRank.WHOLE) as is_granted:
                if not self._still_there(run, source):
                    return
                held = self._live_copy(run)
                if held is not None and await self._copier.finish(run, source, held):
                    return  # A copy ahead was under way at the notice.
                if not is_granted or not self._fits_notice(run, source, target):
                    self._log_stay(run, source, "a copy would come too late")
                    return
                snapshot = await self._copier.snapshot(run, source, target, ahead=False)
                if snapshot is not None and await self._copier.finish(run, source, snapshot):
                    return
            excluded.add(target.upstream)

    async def _wait_for_target(
        self, run: StreamRun, source: UpstreamEntry, excluded: set[UpstreamId]
    ) -> UpstreamEntry | None:
        """Return an engine with room, also when it gets room before the notice is over."""
        is_logged = False
        while self._still_there(run, source):
            target = choose_target(
                routed=run.routed,
                parts=self._parts,
                tokens=run.tokens,
                source=source,
                excluded=excluded,
            )
            if target is not None:
                return target
            if self._parts.clock.now() >= self._departures.gone_at(source.upstream):
                self._log_stay(run, source, "no engine has room")
                return None
            if not is_logged:
                is_logged = True
                self._log_stay(run, source, "no engine has room yet")
            await self._parts.clock.sleep(ROOM_PAUSE_MS)
        return None

    def _log_stay(self, run: StreamRun, source: UpstreamEntry, reason: str) -> None:
        _log.info(
            "A run stays on a leaving engine.",
            request=run.request,
            source=source.upstream,
            tokens=run.tokens,
            reason=reason,
        )

    def _fits_notice(self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry) -> bool:
        """Return whether a copy would be whole before the engine is gone.

        A copy that comes too late takes the link from one that would not, and leaves memory taken.
        """
        engine = run.routed.engine
        if engine is None:
            return True
        takes = copy_ms(
            tokens=run.tokens,
            token_bytes=engine.token_bytes,
            link_mbps=engine.link_mbps,
            away=target.failure_domain != source.failure_domain,
        )
        return self._parts.clock.now() + takes < self._departures.gone_at(source.upstream)
