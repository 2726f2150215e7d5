"""Injects the faults of a replay and simulates how long hosts take to detect them."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.replay._engine import SimulatedEngine
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._sequence import Sequence
from tanagerscale.replay._settings import FAULT_DETECTION_MS
from tanagerscale.replay._settings import OUTAGE_DURATION_MS
from tanagerscale.replay._settings import FaultCase

if TYPE_CHECKING:
    from tanagerscale.replay._world import Simulation

RECLAIM_NOTICE_MS = 20_000.0
"""Time from the listing of a reclaimed engine as leaving to its loss."""

TAKEOVER_DELAY_MS = 3_000.0
"""Time until another host has taken over from a lost owner."""


@final
class FaultInjector:
    """Injects the fault of the configured case.

    :param simulation: Simulation to inject the fault into.
    """

    def __init__(self, *, simulation: Simulation) -> None:
        self._simulation = simulation

    def schedule(self) -> None:
        """Schedule the start and the end of the fault."""
        case, fault_at_ms = self._simulation.settings.case, self._simulation.settings.fault_at_ms
        first = next(iter(self._simulation.engines))
        if case is FaultCase.ENGINE_LOST:
            self._simulation.schedule_at(fault_at_ms, lambda: self._fail_engine(first))
        elif case is FaultCase.ENGINE_RECLAIMED:
            self._simulation.schedule_at(
                fault_at_ms + FAULT_DETECTION_MS, lambda: self._drain_engine(first)
            )
            self._simulation.schedule_at(
                fault_at_ms + RECLAIM_NOTICE_MS, lambda: self._fail_engine(first)
            )
        elif case in (FaultCase.OWNER_LOST, FaultCase.OWNER_FROZEN, FaultCase.HOSTS_CUT):
            duration_ms = TAKEOVER_DELAY_MS if case is FaultCase.OWNER_LOST else OUTAGE_DURATION_MS
            self._simulation.schedule_at(
                fault_at_ms,
                lambda: self._simulation.topology.on_fault(self._simulation, case=case, began=True),
            )
            self._simulation.schedule_at(
                fault_at_ms + duration_ms,
                lambda: self._simulation.topology.on_fault(
                    self._simulation, case=case, began=False
                ),
            )

    def _drain_engine(self, name: UpstreamId) -> None:
        self._simulation.drain_engine(name)

    def _fail_engine(self, name: UpstreamId) -> None:
        engine = self._simulation.engines[name]
        lost = engine.sequences()
        for sequence in lost:
            cancelled_tokens = engine.cancel(sequence, now=self._simulation.now)
            self._simulation.table.recomputed_tokens += cancelled_tokens
        engine.is_alive = False
        self._simulation.schedule_after(
            FAULT_DETECTION_MS, lambda: self._handle_engine_loss(engine, lost)
        )

    def _handle_engine_loss(self, engine: SimulatedEngine, lost: list[Sequence]) -> None:
        name = UpstreamId(engine.name)
        self._drain_engine(name)
        for instance in self._simulation.topology.instances:
            instance.scheduler.on_engine_lost(engine=name, now=self._simulation.now_ms())
        for sequence in lost:
            job: Job = sequence.owner
            if not job.done and job.sequence is sequence:
                self._simulation.restart(job, engine)
