"""Executes copy and move orders for this host's streams and recovers interrupted streams."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._copier import Copier
from tanagerscale.forwarding._demand import is_long
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._shutdown import ShutdownSchedule
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stopping import NOT_MOVED
from tanagerscale.forwarding._stopping import MoveResult
from tanagerscale.forwarding._stopping import RunStopper
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.upstreams import UpstreamEntry

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
    :param shutdown: Schedule of the host's graceful shutdown.
    """

    def __init__(
        self,
        *,
        context: ForwardingContext,
        check_decider: Callable[[], Awaitable[None]],
        query_engine: Callable[[UpstreamId], Awaitable[None]],
        shutdown: ShutdownSchedule,
    ) -> None:
        self.runs: set[StreamRun] = set()
        """Active streams of this host; the dispatcher adds and removes them."""
        self._context = context
        self._check_decider = check_decider
        self._query_engine = query_engine
        self._copier = Copier(context=context)
        self._stopper = RunStopper(context=context, copier=self._copier)
        self._shutdown = shutdown
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

    async def execute_order(self, order: MoveOrder) -> MoveResult:
        """Execute a move order for one run."""
        run = next((run for run in self.runs if run.request == order.request), None)
        refused = self._find_rejection(run, order)
        if run is None or refused:
            _log.info(
                "A move order is rejected.",
                request=order.request,
                kind=order.kind.value,
                reason=refused,
            )
            return NOT_MOVED
        if order.kind is MoveKind.DROP:
            self._copier.drop_snapshot_of(run)
            return MoveResult(is_done=True, has_stopped=False)
        self._context.work.set_moving(request=run.request, is_moving=True)
        try:
            return await self._copy_or_move(run, order)
        finally:
            self._context.work.set_moving(request=run.request, is_moving=False)

    async def recover(
        self, run: StreamRun, source: UpstreamEntry, *, is_stop_requested: bool
    ) -> ResumeTarget | None:
        """Return where to resume a run that broke off, from an earlier copy, or ``None``."""
        return await self._stopper.recover(run, source, is_stop_requested=is_stop_requested)

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
        if order.kind is MoveKind.EVEN_OUT and self._shutdown.has_begun:
            # A run that is between two engines as its host ends is cut though one could work on.
            return "the host is stopping"
        return self._stopper.find_obstacle(UpstreamId(order.target))

    def _get_entry(self, order: MoveOrder) -> UpstreamEntry | None:
        return self._context.upstreams.get(UpstreamId(order.target))

    async def _copy_or_move(self, run: StreamRun, order: MoveOrder) -> MoveResult:
        source, target = run.entry, self._get_entry(order)
        assert source is not None
        assert target is not None
        if order.kind is MoveKind.AHEAD:
            snapshot = await self._copier.snapshot(run, source, target, ahead=True)
            return MoveResult(is_done=snapshot is not None, has_stopped=False)
        return await self._stopper.move(run, source, target)

    def _spawn(self, awaitable: Awaitable[None]) -> None:
        task = asyncio.ensure_future(awaitable)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _is_long_run_at(run: StreamRun, upstream: UpstreamId) -> bool:
    return run.entry is not None and run.entry.upstream == upstream and is_long(run.routed)
