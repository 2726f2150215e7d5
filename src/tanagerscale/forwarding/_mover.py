"""Executes copy and move orders for this host's streams and recovers interrupted streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import final

from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._copier import Copier
from tanagerscale.forwarding._demand import is_long
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.upstreams import UpstreamEntry

RECOVERY_STOP_TIMEOUT_MS: Final = 300
"""Timeout for an engine to stop a run whose connection broke. A live engine responds within 20 ms;
one that does not respond must not delay the recovery."""

MIN_LEAVING_QUERY_INTERVAL_MS: Final = 1000
"""Minimum interval between two queries to one engine whose responses close their connections. An
engine's report is half a second old, so the first query may come too early."""

_log = get_logger(part="moves")


@final
class StreamMover:
    """Executes move orders for this host's streams and recovers streams that break off.

    :param context: Dependencies shared by all requests.
    :param check_decider: Checks that the host that issues the orders responds.
    :param query_engine: Queries whether an engine is leaving and applies its report.
    """

    def __init__(
        self,
        *,
        context: ForwardingContext,
        check_decider: Callable[[], Awaitable[None]],
        query_engine: Callable[[UpstreamId], Awaitable[None]],
    ) -> None:
        self.runs: set[StreamRun] = set()
        """Active streams of this host; the dispatcher adds and removes them."""
        self._context = context
        self._check_decider = check_decider
        self._query_engine = query_engine
        self._copier = Copier(context=context)
        self._queried_at: dict[UpstreamId, Millis] = {}
        self._background: set[asyncio.Future[None]] = set()

    def on_engine(self, run: StreamRun) -> None:
        """Handle the acceptance of a run by its first engine or by another one."""
        if run.entry is not None and run.is_connection_closing:
            self.on_connection_closing(run.entry.upstream)

    def on_connection_closing(self, upstream: UpstreamId) -> None:
        """Query an engine about leaving after one of its responses closed the connection.

        Leaving engines and some others close connections. The query detects a leaving engine whose
        notice has not reached this host yet.
        """
        now = self._context.clock.now()
        self._queried_at = {
            engine: queried_at
            for engine, queried_at in self._queried_at.items()
            if now - queried_at < MIN_LEAVING_QUERY_INTERVAL_MS
        }
        if upstream in self._queried_at or self._context.gate.is_leaving(upstream):
            return
        self._queried_at[upstream] = now
        self._spawn(self._query_engine(upstream))

    def on_upstreams(self, upstream: UpstreamId) -> None:
        """Check that the decider responds if a leaving engine has long runs."""
        if not self._context.gate.is_leaving(upstream):
            return
        if any(_is_long_run_at(run, upstream) for run in self.runs):
            self._spawn(self._check_decider())

    async def execute_order(self, order: MoveOrder) -> bool:
        """Execute a move order for one run.

        :returns: Whether the run's KV cache is at the target.
        """
        run = next((run for run in self.runs if run.request == order.request), None)
        refused = self._find_rejection(run, order)
        if run is None or refused:
            _log.info(
                "A move order is rejected.",
                request=order.request,
                kind=order.kind.value,
                reason=refused,
            )
            return False
        if order.kind is MoveKind.DROP:
            self._copier.drop_snapshot_of(run)
            return True
        self._context.work.set_moving(request=run.request, is_moving=True)
        try:
            return await self._copy_or_move(run, order)
        finally:
            self._context.work.set_moving(request=run.request, is_moving=False)

    async def recover(self, run: StreamRun, source: UpstreamEntry) -> ResumeTarget | None:
        """Return where to resume a run that broke off, using an earlier copy.

        If only the connection broke, the engine may still be working on the run, so the engine is
        first asked to stop it.
        """
        snapshot = run.snapshot
        if snapshot is None or not self._can_resume_at(snapshot.entry):
            return None
        resume_target = ResumeTarget(
            entry=snapshot.entry, holder=snapshot.holder or source, copy=snapshot.copy
        )
        try:
            async with asyncio.timeout(RECOVERY_STOP_TIMEOUT_MS / MS_PER_SECOND):
                final_copy = await self._copier.copy(run, source, snapshot.entry, stop=True)
        except TimeoutError:
            return resume_target
        if isinstance(final_copy, Success):
            return ResumeTarget(entry=snapshot.entry, holder=source, copy=final_copy.unwrap().copy)
        retained_copy = final_copy.failure().retained_copy
        return (
            resume_target
            if retained_copy is None
            else ResumeTarget(entry=source, holder=source, copy=retained_copy)
        )

    def _can_resume_at(self, entry: UpstreamEntry) -> bool:
        """Return whether a run may resume on an engine."""
        upstream = entry.upstream
        is_evacuated = self._context.upstreams.is_evacuated(upstream)
        return not is_evacuated and not self._context.gate.is_leaving(upstream)

    def on_snapshot_unused(self, snapshot: Snapshot) -> None:
        """Free a copy that is no longer needed."""
        self._copier.drop(snapshot)

    def _find_rejection(self, run: StreamRun | None, order: MoveOrder) -> str:
        """Return why an order can't be executed; the empty string if it can."""
        if run is None or run.ended or run.entry is None:
            return "the run is over or between two engines"
        if run.entry.upstream != order.source:
            return "the run is at another engine by now"
        if run.copy_lock.locked():
            return "the run is being copied"
        if order.kind is MoveKind.DROP:
            return "there is no copy" if run.snapshot is None else ""
        return self._find_target_rejection(order)

    def _find_target_rejection(self, order: MoveOrder) -> str:
        target = UpstreamId(order.target)
        if self._get_entry(order) is None:
            return "the target is not known here"
        if self._context.gate.is_leaving(target):
            return "the target is leaving"
        return "the target has asked for a pause" if self._context.pauses.is_paused(target) else ""

    def _get_entry(self, order: MoveOrder) -> UpstreamEntry | None:
        return self._context.upstreams.get(UpstreamId(order.target))

    async def _copy_or_move(self, run: StreamRun, order: MoveOrder) -> bool:
        source, target = run.entry, self._get_entry(order)
        assert source is not None
        assert target is not None
        if order.kind is MoveKind.AHEAD:
            return await self._copier.snapshot(run, source, target, ahead=True) is not None
        snapshot = run.snapshot
        if snapshot is None or snapshot.entry.upstream != target.upstream:
            snapshot = await self._copier.snapshot(run, source, target, ahead=False)
        else:
            # The copy is no longer evictable because the run is about to need it.
            self._context.work.set_copy(request=run.request, copy_at=target.upstream)
        if snapshot is None or run.ended or run.entry is not source:
            return False
        return await self._copier.finish(run, source, snapshot)

    def _spawn(self, awaitable: Awaitable[None]) -> None:
        task = asyncio.ensure_future(awaitable)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _is_long_run_at(run: StreamRun, upstream: UpstreamId) -> bool:
    return run.entry is not None and run.entry.upstream == upstream and is_long(run.routed)
