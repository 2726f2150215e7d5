"""Moves runs from full engines to emptier ones where a copy of them is already.

The load it answers: engines are replaced every few seconds. The new one is empty and gets all new
prompts, which then wait for each other there, while the older ones are full of generations that
only go on. A run that has a copy on the new engine moves there with a pause of some 40 ms; the old
engine gets room for a prompt, and loses less when it leaves in its turn.
"""

from __future__ import annotations

from typing import Final
from typing import final

from tanagerscale.core import Millis
from tanagerscale.forwarding._engine_views import views_of
from tanagerscale.forwarding._moving import MovingParts
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._work import LinkRank
from tanagerscale.policy import has_room
from tanagerscale.policy import is_uneven
from tanagerscale.upstreams import UpstreamEntry

LOOK_MS: Final = 300
"""How often this host's runs are looked through. Engines come and go every few seconds."""

LONGEST_WAIT_MS: Final = 300
"""Longest wait for the links of two engines; by then another engine may be the emptier one."""


@final
class Balance:
    """Evens out the memory that generations hold on engines.

    :param moving: What moves runs.
    """

    def __init__(self, *, moving: MovingParts) -> None:
        self._moving = moving
        self._parts = moving.parts

    async def run(self) -> None:
        """Move runs until cancelled, one at a time."""
        while True:
            await self._parts.clock.sleep(int(LOOK_MS * self._parts.rng.uniform(0.5, 1.5)))
            if self._moving.departures.links_busy:
                continue
            candidates = sorted(self._moving.runs, key=lambda run: -run.made)
            for run in candidates:
                if self._is_worth_moving(run):
                    await self._move(run)
                    break

    def _is_worth_moving(self, run: StreamRun) -> bool:
        held = run.snapshot
        source = run.entry
        if held is None or source is None or run.ended or run.copying.locked():
            return False
        notes = self._parts.notes
        if notes.is_leaving(held.entry.upstream) or notes.is_leaving(source.upstream):
            return False
        full, empty = views_of([source, held.entry], run.routed, self._parts)
        # The copy is on the other engine already and counts there as what yields.
        return is_uneven(full=full, empty=empty, tokens=run.tokens) and has_room(
            view=empty, tokens=run.tokens
        )

    async def _move(self, run: StreamRun) -> None:
        held = run.snapshot
        source = run.entry
        assert held is not None
        assert source is not None
        until = Millis(self._parts.clock.now() + LONGEST_WAIT_MS)
        async with self._moving.turn(
            run=run, source=source, target=held.entry, rank=LinkRank.AHEAD, until=lambda: until
        ) as is_granted:
            too_late = not is_granted or self._moving.departures.links_busy
            if too_late or not self._is_still_so(run, source, held.entry):
                return
            await self._moving.copier.finish(run, source, held)

    def _is_still_so(self, run: StreamRun, source: UpstreamEntry, target: UpstreamEntry) -> bool:
        held = run.snapshot
        if run.entry is not source or held is None or held.entry is not target:
            return False
        return self._is_worth_moving(run)
