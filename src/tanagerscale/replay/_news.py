"""Simulates the delayed periodic reports of load and progress."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import final

from tanagerscale.core import GenerationId
from tanagerscale.core import UpstreamId
from tanagerscale.policy import EngineLoad
from tanagerscale.replay._engine import SimulatedEngine
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._jobs import SchedulerInstance

if TYPE_CHECKING:
    from tanagerscale.replay._world import Simulation


@final
class PeriodicReports:
    """Sends load and progress reports to the schedulers.

    :param simulation: Simulation whose engines and hosts report.
    """

    def __init__(self, *, simulation: Simulation) -> None:
        self._simulation = simulation

    def start(self) -> None:
        """Schedule the first reports, with the load reports of the engines spread over a period."""
        settings = self._simulation.settings
        for index, engine in enumerate(self._simulation.engines.values()):
            offset = settings.report_period_ms * index / len(self._simulation.engines)
            self._simulation.schedule_at(offset, self._make_load_reporter(engine))
        self._simulation.schedule_at(settings.progress_period_ms, self._report_progress)

    def _make_load_reporter(self, engine: SimulatedEngine) -> Callable[[], None]:
        def report() -> None:
            if not engine.is_alive:
                return
            load = EngineLoad(
                engine=UpstreamId(engine.name),
                measured=self._simulation.now_ms(),
                running=engine.running,
                waiting=engine.waiting,
                used_tokens=engine.used_tokens,
                preemptions=engine.preemptions,
            )
            self._simulation.schedule_after(
                self._simulation.settings.report_delay_ms, lambda: self._deliver_load(load)
            )
            self._simulation.schedule_after(self._simulation.settings.report_period_ms, report)

        return report

    def _deliver_load(self, load: EngineLoad) -> None:
        for instance in self._simulation.topology.instances:
            if instance.frozen_until <= self._simulation.now:
                instance.scheduler.on_load(load=load, now=self._simulation.now_ms())

    def _report_progress(self) -> None:
        """Send each scheduler the progress of its generations, as hosts do in each period."""
        delay = self._simulation.settings.engine_delay_ms + self._simulation.settings.host_delay_ms
        reports: dict[SchedulerInstance, list[tuple[GenerationId, int]]] = {}
        for engine in self._simulation.engines.values():
            for sequence in engine.sequences():
                job: Job = sequence.owner
                if job.instance is not None and job.sequence is sequence:
                    progress = (job.generation, engine.produced(sequence))
                    reports.setdefault(job.instance, []).append(progress)
        for instance, items in reports.items():
            self._simulation.schedule_after(delay, self._make_progress_delivery(instance, items))
        self._simulation.schedule_after(
            self._simulation.settings.progress_period_ms, self._report_progress
        )

    def _make_progress_delivery(
        self, instance: SchedulerInstance, items: list[tuple[GenerationId, int]]
    ) -> Callable[[], None]:
        def deliver() -> None:
            if instance.frozen_until > self._simulation.now:
                self._simulation.schedule_at(instance.frozen_until, deliver)
                return
            for generation, tokens in items:
                instance.scheduler.on_progress(
                    generation=generation, tokens=tokens, now=self._simulation.now_ms()
                )

        return deliver
