"""Copies and moves of this host's streams between engines, as they are ordered."""

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
from tanagerscale.forwarding._hops import Hop
from tanagerscale.forwarding._hops import Snapshot
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.upstreams import UpstreamEntry

RESCUE_MS: Final = 300
"""Longest wait for an engine to stop a run whose connection broke. One that lives answers within 20
ms, and one that does not must not keep the run from going on."""

HINT_REST_MS: Final = 1000
"""Least time between two times that one engine is asked since its answers end their connections;
its report is half a second old, so that the first may come too soon."""

_log = get_logger(part="moves")


@final
class StreamMovers:
    """Carries out what is ordered about this host's streams, and rescues those that break off.

    :param parts: What every request uses.
    :param check_decider: Makes sure that the host which gives the orders answers.
    :param ask_engine: Asks an engine whether it leaves, and takes in its word.
    """

    def __init__(
        self,
        *,
        parts: ForwardingParts,
        check_decider: Callable[[], Awaitable[None]],
        ask_engine: Callable[[UpstreamId], Awaitable[None]],
    ) -> None:
        self.runs: set[StreamRun] = set()
        """This host's streams; who serves one adds it and takes it out."""
        self._parts = parts
        self._check_decider = check_decider
        self._ask_engine = ask_engine
        self._copier = Copier(parts=parts)
        self._hinted: dict[UpstreamId, Millis] = {}
        self._background: set[asyncio.Future[None]] = set()

    def on_engine(self, run: StreamRun) -> None:
        """Take in that an engine, the first or another, has accepted a run."""
        if run.entry is not None and run.is_engine_hinting:
            self.on_hint(run.entry.upstream)

    def on_hint(self, upstream: UpstreamId) -> None:
        """Ask an engine whose answer ends its connection, as those that leave do and some others.

        It helps where the notice has not been heard yet.
        """
        now = self._parts.clock.now()
        self._hinted = {one: at for one, at in self._hinted.items() if now - at < HINT_REST_MS}
        if upstream in self._hinted or self._parts.gate.is_leaving(upstream):
            return
        self._hinted[upstream] = now
        self._spawn(self._ask_engine(upstream))

    def on_upstreams(self, upstream: UpstreamId) -> None:
        """Make sure that someone gives orders for runs whose engine leaves."""
        if not self._parts.gate.is_leaving(upstream):
            return
        if any(_runs_long_at(run, upstream) for run in self.runs):
            self._spawn(self._check_decider())

    async def carry_out(self, order: MoveOrder) -> bool:
        """Do what is ordered about one run.

        :returns: Whether its memory is where it was to go.
        """
        run = next((run for run in self.runs if run.request == order.request), None)
        refused = self._reason_against(run, order)
        if run is None or refused:
            _log.info(
                "An order is not carried out.",
                request=order.request,
                kind=order.kind.value,
                reason=refused,
            )
            return False
        if order.kind is MoveKind.DROP:
            self._copier.drop_of(run)
            return True
        self._parts.work.set_moving(request=run.request, is_moving=True)
        try:
            return await self._copy_or_move(run, order)
        finally:
            self._parts.work.set_moving(request=run.request, is_moving=False)

    async def rescue(self, run: StreamRun, source: UpstreamEntry) -> Hop | None:
        """Return where a run goes on that broke off, from a copy taken before.

        The engine may live and still work on the run, when only its connection broke; so it is
        asked to stop first.
        """
        held = run.snapshot
        if held is None or not self._may_go_on_at(held.entry):
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

    def _may_go_on_at(self, entry: UpstreamEntry) -> bool:
        """Return whether a run may be sent on to an engine."""
        upstream = entry.upstream
        is_evacuated = self._parts.upstreams.is_evacuated(upstream)
        return not is_evacuated and not self._parts.gate.is_leaving(upstream)

    def on_unused(self, snapshot: Snapshot) -> None:
        """Free a copy that is not needed any more."""
        self._copier.drop(snapshot)

    def _reason_against(self, run: StreamRun | None, order: MoveOrder) -> str:
        """Return why an order can't be carried out, in a few words; empty when it can."""
        if run is None or run.ended or run.entry is None:
            return "the run is over or between two engines"
        if run.entry.upstream != order.source:
            return "the run is at another engine by now"
        if run.copying.locked():
            return "the run is being copied"
        if order.kind is not MoveKind.DROP and self._entry_of(order) is None:
            return "the target is not known here"
        if order.kind is MoveKind.DROP and run.snapshot is None:
            return "there is no copy"
        return ""

    def _entry_of(self, order: MoveOrder) -> UpstreamEntry | None:
        return self._parts.upstreams.get(UpstreamId(order.target))

    async def _copy_or_move(self, run: StreamRun, order: MoveOrder) -> bool:
        source, target = run.entry, self._entry_of(order)
        assert source is not None
        assert target is not None
        if order.kind is MoveKind.AHEAD:
            return await self._copier.snapshot(run, source, target, ahead=True) is not None
        held = run.snapshot
        if held is None or held.entry.upstream != target.upstream:
            held = await self._copier.snapshot(run, source, target, ahead=False)
        else:
            # It does not yield any more: the run is about to need it.
            self._parts.work.set_copy(request=run.request, copy_at=target.upstream)
        if held is None or run.ended or run.entry is not source:
            return False
        return await self._copier.finish(run, source, held)

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def _runs_long_at(run: StreamRun, upstream: UpstreamId) -> bool:
    return run.entry is not None and run.entry.upstream == upstream and is_long(run.routed)
