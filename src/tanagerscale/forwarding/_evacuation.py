"""Moves streams away from engines that leave, before they are gone."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final
from typing import final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._engine_views import choose_target
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._stream import Hop
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._types import CopyError
from tanagerscale.forwarding._types import CopyFailure
from tanagerscale.forwarding._types import RunCopy
from tanagerscale.policy import NOTICE_MS
from tanagerscale.policy import MovingRun
from tanagerscale.policy import copy_ms
from tanagerscale.policy import order_of
from tanagerscale.policy import start_offsets
from tanagerscale.upstreams import UpstreamEntry

COPY_READY_MS: Final = 700
"""After so long a run's copy elsewhere is nearly whole: a memory of 6,000 tokens takes 0.65 s
between failure domains, and growth is sent several times a second."""

MOST_TRIES: Final = 4
"""Tries to copy one run away; each takes a few hundred milliseconds of a notice of two seconds."""

AGREE_MS: Final = 40
"""Time after a notice in which each host tells the others how far its runs are: a message waits 20
ms for others to go with, and takes a few on its way."""

BUSY_PAUSE_MS: Final = 50
"""Pause before an engine that is copying the run already is asked again."""

_log = get_logger(part="evacuation")


@final
class Evacuation:
    """Knows the streams of this host and moves those whose engine leaves.

    :param parts: What every request uses.
    """

    def __init__(self, *, parts: ForwardingParts) -> None:
        self._parts = parts
        self._runs: set[StreamRun] = set()
        self._tasks: dict[StreamRun, asyncio.Task[None]] = {}
        self._noticed: dict[UpstreamId, Millis] = {}
        self._background: set[asyncio.Task[None]] = set()

    def add(self, run: StreamRun) -> None:
        """Take in a stream."""
        self._runs.add(run)

    def remove(self, run: StreamRun) -> None:
        """Forget a stream that is over."""
        self._runs.discard(run)
        task = self._tasks.pop(run, None)
        if task is not None:
            task.cancel()

    def on_change(self, upstream: UpstreamId) -> None:
        """Move what runs on an engine, if it leaves."""
        if not self._parts.notes.is_leaving(upstream):
            return
        if upstream not in self._noticed:
            self._noticed[upstream] = self._parts.clock.now()
            self._parts.work.tell()
        for run in self._runs:
            there = run.entry is not None and run.entry.upstream == upstream
            if there and run not in self._tasks:
                task = asyncio.create_task(self._leave(run))
                self._tasks[run] = task
                task.add_done_callback(partial(self._forget_task, run))

    def _forget_task(self, run: StreamRun, _task: asyncio.Task[None]) -> None:
        self._tasks.pop(run, None)

    async def _leave(self, run: StreamRun) -> None:
        """Bring one run away from the engine it is on."""
        source = run.entry
        assert source is not None
        await run.wait_begun()
        if run.ended or run.entry is not source:
            return
        copied = run.copy_at
        if copied is not None and not self._parts.notes.is_leaving(copied.upstream):
            await self._parts.clock.sleep(COPY_READY_MS - run.running_ms)
            if run.entry is source and not run.ended:
                run.hop_now(Hop(entry=copied, holder=copied, copy=run.request))
            return
        # By then all hosts have told how far their runs are, and come to the same order.
        noticed = self._noticed[source.upstream]
        await self._parts.clock.sleep(noticed + AGREE_MS - self._parts.clock.now())
        await self._parts.clock.sleep(self._start_of(run, source) - self._parts.clock.now())
        await self._copy_away(run, source)

    def _start_of(self, run: StreamRun, source: UpstreamEntry) -> int:
        """Return when the copying of a run begins, so that hosts don't get in each other's way."""
        engine = run.routed.engine
        first = self._noticed[source.upstream] + AGREE_MS
        if engine is None:
            return first
        own = MovingRun(host=self._parts.host, tokens=run.tokens, made=run.made)
        there = self._parts.work.without_copy(source.upstream, own_host=self._parts.host)
        ahead = sorted((one for one in there if order_of(one) < order_of(own)), key=order_of)
        offsets = start_offsets(
            runs=[*ahead, own],
            token_bytes=engine.token_bytes,
            link_mbps=engine.link_mbps,
            away=not self._has_near_target(run, source),
        )
        return first + int(offsets[-1])

    def _has_near_target(self, run: StreamRun, source: UpstreamEntry) -> bool:
        target = choose_target(
            routed=run.routed, parts=self._parts, tokens=run.tokens, source=source
        )
        return target is not None and target.failure_domain == source.failure_domain

    async def _copy_away(self, run: StreamRun, source: UpstreamEntry) -> None:
        """Copy while the run goes on, then copy the rest, stop it and go on elsewhere."""
        excluded: set[UpstreamId] = set()
        for _ in range(MOST_TRIES):
            if run.ended or run.entry is not source:
                return
            target = choose_target(
                routed=run.routed,
                parts=self._parts,
                tokens=run.tokens,
                source=source,
                excluded=excluded,
            )
            if target is None or not self._fits_notice(run, source, target):
                _log.info(
                    "A run stays on a leaving engine.",
                    request=run.request,
                    source=source.upstream,
                    tokens=run.tokens,
                    has_target=target is not None,
                )
                return
            if await self._move(run, source, target):
                return
            excluded.add(target.upstream)

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
        gone = self._noticed[source.upstream] + NOTICE_MS
        return self._parts.clock.now() + takes < gone

    async def _move(self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry) -> bool:
        """Copy a run to a target and let it go on there; return whether that was done."""
        work = self._parts.work
        work.set_copy(request=run.request, copy_at=target.upstream)
        copied = await self._copy(run, source, target, stop=False)
        if isinstance(copied, Failure):
            work.set_copy(request=run.request, copy_at=None)
            return False
        copy = copied.unwrap()
        if run.ended or run.entry is not source:
            self._drop(target, copy.copy)
            return True
        hop = await self._stop(run, source, target)
        if hop is None:
            work.set_copy(request=run.request, copy_at=None)
            self._drop(target, copy.copy)
        return hop is not None

    async def _stop(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry
    ) -> Hop | None:
        """Copy the rest of a run with the run stopped, and let it go on at the target."""
        hop: Hop | None = None
        run.expect_stop()
        try:
            rest = await self._copy(run, source, target, stop=True)
            if isinstance(rest, Success):
                hop = Hop(entry=target, holder=source, copy=rest.unwrap().copy)
            elif (kept := rest.failure().kept) is not None:
                hop = Hop(entry=source, holder=source, copy=kept)
        finally:
            run.stopped(hop)
        return hop

    def _drop(self, holder: UpstreamEntry, copy: str) -> None:
        """Free a copy that nobody will use, without waiting for it."""
        task = asyncio.create_task(self._parts.engines.drop_copy(holder=holder, copy=copy))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _copy(
        self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry, *, stop: bool
    ) -> Result[RunCopy, CopyError]:
        started = self._parts.clock.now()
        result = await self._parts.engines.copy(
            source=source, request=run.request, target=target, stop=stop
        )
        error = result.failure() if isinstance(result, Failure) else None
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
            after_notice_ms=started - self._noticed[source.upstream],
        )
        if error is not None and error.failure is CopyFailure.BUSY:
            await self._parts.clock.sleep(BUSY_PAUSE_MS)
        return result
