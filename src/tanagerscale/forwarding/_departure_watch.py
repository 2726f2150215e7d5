"""Asking engines whether they leave, while the store does not tell.

The load it answers: the store is away for eight seconds while an engine is taken away each three.
Their notices stand in the store, where nobody can read them; but an engine says in its own report
that it leaves, half a second late, and when. That leaves about a second to move its runs.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from returns.result import Failure

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._evacuation import REPORT_LAG_MS
from tanagerscale.forwarding._moving import MovingParts

ASK_MS: Final = 300
"""How often each engine is asked by all hosts together. Reports are renewed each few hundred
milliseconds, and each one is paid for, but only while the store is away."""

HINT_REST_MS: Final = 1000
"""Least time between two times that one engine is asked since its answers end their connections;
its report is half a second old, so that the first may come too soon."""

_log = get_logger(part="departures")


@final
class DepartureWatch:
    """Asks the engines that run this host's streams whether they leave.

    :param moving: What moves runs.
    """

    def __init__(self, *, moving: MovingParts) -> None:
        self._parts = moving.parts
        self._departures = moving.departures
        self._runs = moving.runs
        self._hinted: dict[UpstreamId, Millis] = {}
        self._background: set[asyncio.Task[None]] = set()

    def on_hint(self, upstream: UpstreamId) -> None:
        """Ask an engine whose answer ends its connection, as those that leave do and some others.

        It helps where the notice has not been heard yet.
        """
        now = self._parts.clock.now()
        self._hinted = {one: at for one, at in self._hinted.items() if now - at < HINT_REST_MS}
        if upstream in self._hinted or self._parts.notes.is_leaving(upstream):
            return
        self._hinted[upstream] = now
        task = asyncio.create_task(self._ask(upstream))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def run(self) -> None:
        """Ask until cancelled, while the store does not tell."""
        while True:
            await self._parts.clock.sleep(int(ASK_MS * self._parts.rng.uniform(0.5, 1.5)))
            if not self._parts.upstreams.is_current:
                asked = [self._ask(upstream) for upstream in self._due()]
                await asyncio.gather(*asked)

    def _due(self) -> list[UpstreamId]:
        """Return the engines to ask; hosts that use the same one take turns by chance."""
        engines = {run.entry.upstream for run in self._runs if run.entry is not None}
        return [
            upstream
            for upstream in sorted(engines)
            if not self._parts.notes.is_leaving(upstream)
            and self._parts.rng.random() * self._parts.work.hosts_at(upstream) < 1
        ]

    async def _ask(self, upstream: UpstreamId) -> None:
        entry = self._parts.upstreams.get(upstream)
        if entry is None:
            return
        reported = await self._parts.engines.report(upstream=entry)
        if isinstance(reported, Failure):
            _log.info("No report came.", upstream=upstream, detail=reported.failure())
            return
        report = reported.unwrap()
        if not report.is_leaving:
            return
        in_ms = report.leaves_in_ms
        _log.info("An engine reports that it leaves.", upstream=upstream, leaves_in_ms=in_ms)
        self._departures.note(upstream)
        if in_ms is not None:
            self._departures.correct_end(upstream, in_ms=in_ms - REPORT_LAG_MS)
        self._parts.notes.note_leaving(upstream=upstream)
