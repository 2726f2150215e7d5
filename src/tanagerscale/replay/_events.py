"""Forwards engine events to the measures and the schedulers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.replay._engine import SimulatedEngine
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._jobs import SchedulerInstance
from tanagerscale.replay._sequence import Sequence

if TYPE_CHECKING:
    from tanagerscale.replay._world import Simulation


@final
class EngineEventHandler:
    """Receives the events of all simulated engines.

    :param simulation: Simulation that the engines belong to.
    """

    def __init__(self, *, simulation: Simulation) -> None:
        self._simulation = simulation

    def on_step(self, *, duration_ms: float, generations: int) -> None:
        """Record the token gap of an engine's step."""
        self._simulation.table.gaps.record(duration_ms, count=generations)

    def on_progress(self, sequence: Sequence, *, total: int, now: float) -> None:
        """Record the first new token after a start, a preemption or a move."""
        job: Job = sequence.owner
        gap = job.timeline.record_tokens(total=total, now=now)
        if gap is not None:
            self._simulation.table.gaps.record(gap)
        self._send_progress(job, total)

    def on_pause(self, sequence: Sequence, *, total: int, now: float, stall_ms: float) -> None:
        """Record the tokens produced since the last progress event."""
        job: Job = sequence.owner
        job.timeline.record_token_batch(total=total, now=now, stall_ms=stall_ms)

    def on_end(self, sequence: Sequence, *, now: float) -> None:
        """Finish a request whose answer is complete and notify the schedulers."""
        job: Job = sequence.owner
        generation, instance = job.generation, job.instance
        assert instance is not None
        self._simulation.finish_job(job, complete=True)
        assert job.placement_request is not None
        self._simulation.topology.on_answer_length(
            host=job.host, request=job.placement_request, tokens=job.request.output_tokens
        )
        self._simulation.schedule_after(
            self._simulation.settings.engine_delay_ms,
            lambda: self._simulation.notify_finished(
                job, generation, instance, tokens=job.request.output_tokens, complete=True
            ),
        )

    def on_cache(self, engine: SimulatedEngine, *, prefix: str, stored: bool) -> None:
        """Forward a cache event with a delay, or drop it."""
        for instance in self._simulation.topology.instances:
            if self._simulation.rng.random() < self._simulation.settings.cache_loss_ratio:
                continue
            self._send_cache_event(instance, UpstreamId(engine.name), prefix, stored=stored)

    def _send_cache_event(
        self, instance: SchedulerInstance, engine: UpstreamId, prefix: str, *, stored: bool
    ) -> None:
        self._simulation.schedule_after(
            self._simulation.settings.cache_delay_ms,
            lambda: instance.scheduler.on_cache(
                engine=engine, prefix=prefix, stored=stored, now=self._simulation.now_ms()
            ),
        )

    def _send_progress(self, job: Job, total: int) -> None:
        instance, generation = job.instance, job.generation
        assert instance is not None
        self._simulation.schedule_after(
            self._simulation.settings.engine_delay_ms,
            lambda: self._simulation.send_to_instance(
                instance,
                job.host,
                lambda: instance.scheduler.on_progress(
                    generation=generation, tokens=total, now=self._simulation.now_ms()
                ),
            ),
        )
