"""All that copies streams and moves them between engines, put together."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any
from typing import final

from tanagerscale.forwarding._balance import Balance
from tanagerscale.forwarding._copier import Copier
from tanagerscale.forwarding._departure_watch import DepartureWatch
from tanagerscale.forwarding._departures import Departures
from tanagerscale.forwarding._evacuation import Evacuation
from tanagerscale.forwarding._hops import Hop
from tanagerscale.forwarding._hops import Snapshot
from tanagerscale.forwarding._links import LinkTurns
from tanagerscale.forwarding._moving import MovingParts
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._protection import Protection
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.upstreams import UpstreamEntry


@final
class StreamMovers:
    """Moves a host's streams.

    :param parts: What every request uses.
    """

    def __init__(self, *, parts: ForwardingParts) -> None:
        self.runs: set[StreamRun] = set()
        """This host's streams; who serves one adds it and takes it out."""
        self.departures = Departures(clock=parts.clock)
        moving = MovingParts(
            parts=parts,
            departures=self.departures,
            copier=Copier(parts=parts),
            turns=LinkTurns(work=parts.work, clock=parts.clock),
            runs=self.runs,
        )
        self.evacuation = Evacuation(moving=moving)
        self.protection = Protection(moving=moving)
        self.balance = Balance(moving=moving)
        self.departure_watch = DepartureWatch(moving=moving)

    def on_engine(self, run: StreamRun) -> None:
        """Take in that an engine, the first or another, has accepted a run."""
        self.evacuation.on_engine(run)
        if run.entry is not None and run.is_engine_hinting:
            self.departure_watch.on_hint(run.entry.upstream)

    async def rescue(self, run: StreamRun, source: UpstreamEntry) -> Hop | None:
        """Return where a run goes on that broke off, from a copy taken before."""
        return await self.evacuation.rescue(run, source)

    def on_unused(self, snapshot: Snapshot) -> None:
        """Free a copy that is not needed any more."""
        self.evacuation.on_unused(snapshot)

    def loops(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what has to run for as long as the host lives."""
        return (
            self.protection.run(),
            self.protection.run_yielding(),
            self.balance.run(),
            self.departure_watch.run(),
        )
