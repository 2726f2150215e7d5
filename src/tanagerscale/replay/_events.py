"""What engines tell of their generations, passed on to measures and schedulers."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.replay._engine import EngineFake
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._jobs import Site
from tanagerscale.replay._sequence import Sequence

if TYPE_CHECKING:
    from tanagerscale.replay._world import World


@final
class EngineEvents:
    """Listens to all engines of a replay.

    :param world: The replay.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world

    def step(self, *, duration_ms: float, generations: int) -> None:
        """Record an engine's step."""
        self._world.table.gaps.record(duration_ms, count=generations)

    def on_progress(self, sequence: Sequence, *, total: int, now: float) -> None:
        """Take in the first new token after a start, a preemption or a move."""
        job: Job = sequence.owner
        gap = job.timeline.on_tokens(total=total, now=now)
        if gap is not None:
            self._world.table.gaps.record(gap)
        self._tell_progress(job, total)

    def on_pause(self, sequence: Sequence, *, total: int, now: float, excess_ms: float) -> None:
        """Take in what a generation made since."""
        job: Job = sequence.owner
        job.timeline.add_token_batch(total=total, now=now, stall_ms=excess_ms)

    def on_end(self, sequence: Sequence, *, now: float) -> None:
        """Take in that an answer is complete."""
        job: Job = sequence.owner
        generation, site = job.generation, job.site
        assert site is not None
        self._world.end(job, complete=True)
        assert job.asked_for is not None
        self._world.layout.on_length(
            host=job.host, request=job.asked_for, tokens=job.request.output_tokens
        )
        self._world.after(
            self._world.settings.engine_delay_ms,
            lambda: self._world.tell_finished(
                job, generation, site, tokens=job.request.output_tokens, complete=True
            ),
        )

    def on_cache(self, engine: EngineFake, *, prefix: str, stored: bool) -> None:
        """Pass on a cache event late, or not at all."""
        for site in self._world.layout.sites:
            if self._world.rng.random() < self._world.settings.cache_loss:
                continue
            self._pass_on_cache(site, UpstreamId(engine.name), prefix, stored=stored)

    def _pass_on_cache(self, site: Site, engine: UpstreamId, prefix: str, *, stored: bool) -> None:
        self._world.after(
            self._world.settings.cache_delay_ms,
            lambda: site.scheduler.on_cache(
                engine=engine, prefix=prefix, stored=stored, now=self._world.millis()
            ),
        )

    def _tell_progress(self, job: Job, total: int) -> None:
        site, generation = job.site, job.generation
        assert site is not None
        self._world.after(
            self._world.settings.engine_delay_ms,
            lambda: self._world.to_site(
                site,
                job.host,
                lambda: site.scheduler.on_progress(
                    generation=generation, tokens=total, now=self._world.millis()
                ),
            ),
        )
