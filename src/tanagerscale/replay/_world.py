"""Virtual time: hosts, messages and engine fakes around the real schedulers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence as Items
from random import Random
from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import UpstreamId
from tanagerscale.measures import MeasureTable
from tanagerscale.measures import RequestTimeline
from tanagerscale.policy import Decision
from tanagerscale.policy import DecisionKind
from tanagerscale.policy import EngineSpec
from tanagerscale.policy import PlacementRequest
from tanagerscale.replay._engine import EngineFake
from tanagerscale.replay._events import EngineEvents
from tanagerscale.replay._faults import Faults
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._jobs import Layout
from tanagerscale.replay._jobs import ServedTokens
from tanagerscale.replay._jobs import Site
from tanagerscale.replay._jobs import service_of_accounts
from tanagerscale.replay._news import News
from tanagerscale.replay._queue import EventQueue
from tanagerscale.replay._sequence import Sequence
from tanagerscale.replay._settings import DETECTION_MS
from tanagerscale.replay._settings import ReplaySettings
from tanagerscale.replay._trace import TraceRequest

TICK_MS = 100.0
DRAIN_MS = 900_000.0
"""How long after the trace the replay goes on at most."""

MOST_TRIES = 4
"""How often a caller that is told to come back does so."""

MODEL = ModelId("model")
MAX_TOKENS = 16_384


@final
class World:
    """One replay.

    :param trace: What callers ask.
    :param settings: The world.
    :param seed: Seed of everything random but the trace.
    """

    def __init__(self, *, trace: Items[TraceRequest], settings: ReplaySettings, seed: int) -> None:
        self.settings = settings
        self.table = MeasureTable()
        self.engines: dict[UpstreamId, EngineFake] = {}
        self.jobs: list[Job] = []
        self.rng = Random(f"world/{seed}")
        self.slowest_refusal_ms = 0.0
        self.progress_at_end: dict[str, ServedTokens] = {}
        """Service to each account when the last request of the trace has come."""
        self.messages = 0
        """Messages between hosts, progress not counted."""
        self._trace = trace
        self._layout: Layout | None = None
        self._queue = EventQueue()
        self._stepping: set[str] = set()
        self._by_generation: dict[GenerationId, Job] = {}
        self._open: list[EngineSpec] = []
        self._left = len(trace)
        events = EngineEvents(world=self)
        for index in range(settings.engines):
            name = UpstreamId(f"engine-{index + 1}")
            self.engines[name] = EngineFake(
                name=name,
                model=settings.model,
                events=events,
                gaps=events,
                token_gap_ms=settings.objective.token_gap_ms,
            )
            self._open.append(
                EngineSpec(
                    engine=name,
                    memory_tokens=settings.model.memory_tokens,
                    max_batch=settings.model.max_batch,
                )
            )

    @property
    def layout(self) -> Layout:
        """Return the policy's layout."""
        assert self._layout is not None
        return self._layout

    @property
    def now(self) -> float:
        """The present time, in milliseconds."""
        return self._queue.now

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self._queue.add(when, action)

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Do something after a delay."""
        self.at(self.now + delay, action)

    def millis(self) -> Millis:
        """Return the time as schedulers are told it."""
        return Millis(int(self.now))

    def length(self, generation: GenerationId) -> int:
        """Return a true length; only the clairvoyant may ask."""
        return self._by_generation[generation].request.output_tokens

    def made(self, generation: GenerationId) -> int:
        """Return how far a generation truly is; only the clairvoyant may ask."""
        job = self._by_generation[generation]
        if job.sequence is None or job.engine is None or job.generation != generation:
            return 0
        return job.engine.produced(job.sequence)

    def run(self, *, layout: Layout) -> MeasureTable:
        """Replay the trace with a policy until everything has ended.

        :param layout: The policy's schedulers.
        """
        self._layout = layout
        for site in layout.sites:
            site.scheduler.set_engines(engines=self._open, now=self.millis())
        for number, request in enumerate(self._trace):
            self.at(float(request.at_ms), self._arrival(request, number))
        self._start_timers()
        if self._trace:
            self.at(float(self._trace[-1].at_ms), self._note_service)
        end = (self._trace[-1].at_ms if self._trace else 0) + DRAIN_MS
        self._queue.run(until=end, goes_on=lambda: self._left > 0)
        self._close()
        return self.table

    def stop(self) -> None:
        """End the replay now, whatever still runs."""
        self._queue.clear()

    # Callers and hosts.

    def _arrival(self, request: TraceRequest, number: int) -> Callable[[], None]:
        host = self.rng.randrange(self.settings.hosts)

        def arrive() -> None:
            objective = self.settings.objective
            timeline = RequestTimeline(
                arrived=self.now,
                first_token_ms=objective.first_token_ms,
                token_gap_ms=objective.token_gap_ms,
            )
            job = Job(request=request, host=host, timeline=timeline)
            self.jobs.append(job)
            job.generation = GenerationId(f"g{number}")
            self.ask(job)

        return arrive

    def ask(self, job: Job, *, excluded: frozenset[UpstreamId] = frozenset()) -> None:
        """Ask for a place for a new generation of a request."""
        job.starts += 1
        job.tries += 1
        job.asked_at = self.now
        job.generation = GenerationId(f"{job.generation.split('.')[0]}.{job.starts}")
        self._by_generation[job.generation] = job
        wanted = job.request
        job.asked_for = PlacementRequest(
            generation=job.generation,
            model=MODEL,
            account=ClientAccountId(wanted.account),
            request_class=wanted.request_class,
            priority=wanted.priority,
            prompt_tokens=wanted.prompt_tokens,
            max_tokens=MAX_TOKENS,
            prefix=wanted.prefix,
            prefix_tokens=wanted.prefix_tokens,
            movable=wanted.whole,
            arrived=self.millis(),
            excluded=excluded,
        )
        self.send_request(job)

    def send_request(self, job: Job) -> None:
        """Send a request to the site its host asks now."""
        job.site = site = self.layout.site_for(host=job.host, now=self.now)
        asked = job.asked_for
        assert asked is not None
        self.to_site(
            site, job.host, lambda: site.scheduler.submit(request=asked, now=self.millis())
        )

    def to_site(self, site: Site, host: int | None, action: Callable[[], None]) -> None:
        """Have a site take in a message, once it can."""

        def deliver() -> None:
            if site.frozen_until > self.now:
                self.at(site.frozen_until, deliver)
                return
            action()
            self.pump(site)

        delay = self._delay(site, host)
        if delay > 0.0:
            self.messages += 1
        if delay == 0.0:
            deliver()
        else:
            self.after(delay, deliver)

    def _delay(self, site: Site, host: int | None) -> float:
        if site.host is None or site.host == host:
            return 0.0
        return self.settings.host_delay_ms

    def pump(self, site: Site) -> None:
        """Have a site decide after the events of this moment."""
        if site.pending:
            return
        site.pending = True
        self.at(self.now, lambda: self._decide(site))

    def _decide(self, site: Site) -> None:
        site.pending = False
        if site.frozen_until > self.now:
            self.at(site.frozen_until, lambda: self.pump(site))
            return
        for decision in site.scheduler.decide(now=self.millis()):
            self._carry_out(site, decision)

    def _carry_out(self, site: Site, decision: Decision) -> None:
        job = self._by_generation[decision.generation]
        delay = self._delay(site, job.host)
        self.messages += delay > 0.0
        if decision.kind is DecisionKind.ADMIT:
            assert decision.engine is not None
            engine = self.engines[decision.engine]
            self.after(
                delay + self.settings.engine_delay_ms,
                lambda: self._start(job, decision.generation, engine, site),
            )
        elif decision.kind is DecisionKind.SHED:
            self.after(delay, lambda: self._refused(job, decision.retry_after_ms))
        else:
            self.after(
                delay + self.settings.engine_delay_ms, lambda: self._moved(job, decision, site)
            )

    def _start(self, job: Job, generation: GenerationId, engine: EngineFake, site: Site) -> None:
        if job.done or job.generation != generation or job.sequence is not None:
            self.tell_finished(job, generation, site, tokens=0, complete=False)
            return
        if not engine.alive:
            self.after(DETECTION_MS, lambda: self.restart(job, engine))
            return
        wanted = job.request
        job.site = site
        job.engine = engine
        job.sequence = Sequence(
            owner=job,
            prompt=wanted.prompt_tokens,
            prefix=wanted.prefix,
            prefix_tokens=wanted.prefix_tokens,
            output=wanted.output_tokens,
            priority=wanted.priority,
            seen=job.timeline.tokens,
        )
        engine.submit(job.sequence)
        self._wake(engine)

    def restart(self, job: Job, engine: EngineFake) -> None:
        """Ask for another place for a request whose engine is lost."""
        job.sequence = None
        job.engine = None
        job.tries -= 1
        self.ask(job, excluded=frozenset({UpstreamId(engine.name)}))

    def _refused(self, job: Job, retry_after_ms: int) -> None:
        self.table.shed += 1
        job.refusals += 1
        self.slowest_refusal_ms = max(self.slowest_refusal_ms, self.now - job.asked_at)
        if job.tries >= MOST_TRIES:
            self.end(job, complete=False)
            return
        self.after(float(retry_after_ms), lambda: self.ask(job))

    def _moved(self, job: Job, decision: Decision, site: Site) -> None:
        engine = self.engines.get(decision.engine or UpstreamId(""))
        if job.done or job.sequence is None or engine is not job.engine or engine is None:
            return
        made = engine.cancel(job.sequence, now=self.now)
        self.table.moves += 1
        self.table.wasted_tokens += made
        job.sequence = None
        job.engine = None

    def tell_finished(
        self, job: Job, generation: GenerationId, site: Site, *, tokens: int, complete: bool
    ) -> None:
        """Tell a site that a generation left its engine."""
        self.to_site(
            site,
            job.host,
            lambda: site.scheduler.on_finished(
                generation=generation, tokens=tokens, complete=complete, now=self.millis()
            ),
        )

    def end(self, job: Job, *, complete: bool) -> None:
        """Count a request that ended."""
        if not complete:
            job.timeline.give_up(now=self.now)
        job.done = True
        job.complete = complete
        job.ended_at = self.now
        self._left -= 1
        self.table.add(job.timeline, short=job.request.short, complete=complete)

    # Engines.

    def _wake(self, engine: EngineFake) -> None:
        if engine.name in self._stepping or not engine.alive:
            return
        self._stepping.add(engine.name)
        self._step(engine)

    def _step(self, engine: EngineFake) -> None:
        if not engine.alive or engine.idle:
            self._stepping.discard(engine.name)
            return
        duration = engine.begin_step(now=self.now)
        self.after(duration, lambda: self._step_ended(engine))

    def _step_ended(self, engine: EngineFake) -> None:
        if engine.alive:
            engine.end_step(now=self.now)
        self._step(engine)

    # Timers and faults.

    def _start_timers(self) -> None:
        for site in self.layout.sites:
            self._tick(site)
        News(world=self).start()
        Faults(world=self).plan()

    def add_site(self, site: Site) -> None:
        """Start a site that was not there when the replay began."""
        site.scheduler.set_engines(engines=self._open, now=self.millis())
        self._tick(site)

    def running_jobs(self) -> list[Job]:
        """Return the jobs that engines hold."""
        return [
            sequence.owner
            for engine in self.engines.values()
            for sequence in engine.sequences()
            if sequence.owner.sequence is sequence
        ]

    def waiting_jobs(self) -> list[Job]:
        """Return the jobs that wait for a place."""
        return [
            job
            for job in self.jobs
            if not job.done and job.sequence is None and job.site is not None
        ]

    def _tick(self, site: Site) -> None:
        self.pump(site)
        self.after(TICK_MS, lambda: self._tick(site))

    def close_engine(self, name: UpstreamId) -> None:
        """Have no site send new work to an engine."""
        self._open = [spec for spec in self._open if spec.engine != name]
        for site in self.layout.sites:
            site.scheduler.set_engines(engines=self._open, now=self.millis())
            self.pump(site)

    def _note_service(self) -> None:
        self.progress_at_end = service_of_accounts(self.jobs, made=self.made)

    def _close(self) -> None:
        for job in self.jobs:
            if not job.done:
                self.end(job, complete=False)
        for engine in self.engines.values():
            self.table.engine_ms += engine.busy_ms
            self.table.preemptions += engine.preemptions
            self.table.recomputed_tokens += engine.recomputed_tokens
