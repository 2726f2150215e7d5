"""What engines and hosts report late: load and progress."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import final

from tanagerscale.core import GenerationId
from tanagerscale.core import UpstreamId
from tanagerscale.policy import EngineLoad
from tanagerscale.replay._engine import EngineFake
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._jobs import Site

if TYPE_CHECKING:
    from tanagerscale.replay._world import World


@final
class News:
    """Sends the periodic reports.

    :param world: The replay.
    """

    def __init__(self, *, world: World) -> None:
        self._world = world

    def start(self) -> None:
        """Begin to report."""
        settings = self._world.settings
        for index, engine in enumerate(self._world.engines.values()):
            offset = settings.report_period_ms * index / len(self._world.engines)
            self._world.at(offset, self._reporter(engine))
        self._world.at(settings.progress_period_ms, self._progress)

    def _reporter(self, engine: EngineFake) -> Callable[[], None]:
        def report() -> None:
            if not engine.alive:
                return
            load = EngineLoad(
                engine=UpstreamId(engine.name),
                measured=self._world.millis(),
                running=engine.running,
                waiting=engine.waiting,
                used_tokens=engine.used_tokens,
                preemptions=engine.preemptions,
            )
            self._world.after(
                self._world.settings.report_delay_ms, lambda: self._deliver_load(load)
            )
            self._world.after(self._world.settings.report_period_ms, report)

        return report

    def _deliver_load(self, load: EngineLoad) -> None:
        for site in self._world.layout.sites:
            if site.frozen_until <= self._world.now:
                site.scheduler.on_load(load=load, now=self._world.millis())

    def _progress(self) -> None:
        """Tell each site how far its generations are, as hosts do every period."""
        delay = self._world.settings.engine_delay_ms + self._world.settings.host_delay_ms
        news: dict[Site, list[tuple[GenerationId, int]]] = {}
        for engine in self._world.engines.values():
            for sequence in engine.sequences():
                job: Job = sequence.owner
                if job.site is not None and job.sequence is sequence:
                    made = (job.generation, engine.produced(sequence))
                    news.setdefault(job.site, []).append(made)
        for site, items in news.items():
            self._world.after(delay, self._progress_news(site, items))
        self._world.after(self._world.settings.progress_period_ms, self._progress)

    def _progress_news(
        self, site: Site, items: list[tuple[GenerationId, int]]
    ) -> Callable[[], None]:
        def deliver() -> None:
            if site.frozen_until > self._world.now:
                self._world.at(site.frozen_until, deliver)
                return
            for generation, tokens in items:
                site.scheduler.on_progress(
                    generation=generation, tokens=tokens, now=self._world.millis()
                )

        return deliver
