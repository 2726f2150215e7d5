"""What goes wrong in a replay, and when hosts notice."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.replay._engine import EngineFake
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._sequence import Sequence
from tanagerscale.replay._settings import DETECTION_MS
from tanagerscale.replay._settings import OUTAGE_MS
from tanagerscale.replay._settings import Case

if TYPE_CHECKING:
    from tanagerscale.replay._world import World

NOTICE_MS = 20_000.0
"""How long before it goes a reclaimed engine is listed as leaving."""

TAKEOVER_MS = 3_000.0
"""How long until another host has taken over from a lost owner."""


@final
class Faults:
    """Causes the failures of one case.

    :param world: The replay.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world

    def plan(self) -> None:
        """Set when the case's failure begins and ends."""
        case, when = self._world.settings.case, self._world.settings.fault_at_ms
        first = next(iter(self._world.engines))
        if case is Case.ENGINE_LOST:
            self._world.at(when, lambda: self._lose_engine(first))
        elif case is Case.ENGINE_RECLAIMED:
            self._world.at(when + DETECTION_MS, lambda: self._close_engine(first))
            self._world.at(when + NOTICE_MS, lambda: self._lose_engine(first))
        elif case in (Case.OWNER_LOST, Case.OWNER_FROZEN, Case.HOSTS_CUT):
            lasts = TAKEOVER_MS if case is Case.OWNER_LOST else OUTAGE_MS
            self._world.at(
                when, lambda: self._world.layout.on_fault(self._world, case=case, began=True)
            )
            self._world.at(
                when + lasts,
                lambda: self._world.layout.on_fault(self._world, case=case, began=False),
            )

    def _close_engine(self, name: UpstreamId) -> None:
        self._world.close_engine(name)

    def _lose_engine(self, name: UpstreamId) -> None:
        engine = self._world.engines[name]
        lost = engine.sequences()
        for sequence in lost:
            made = engine.cancel(sequence, now=self._world.now)
            self._world.table.recomputed_tokens += made
        engine.alive = False
        self._world.after(DETECTION_MS, lambda: self._engine_gone(engine, lost))

    def _engine_gone(self, engine: EngineFake, lost: list[Sequence]) -> None:
        name = UpstreamId(engine.name)
        self._close_engine(name)
        for site in self._world.layout.sites:
            site.scheduler.on_engine_lost(engine=name, now=self._world.millis())
        for sequence in lost:
            job: Job = sequence.owner
            if not job.done and job.sequence is sequence:
                self._world.restart(job, engine)
