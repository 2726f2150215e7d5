"""Discrete-event simulation of hosts, messages and engines around the real schedulers."""

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
from tanagerscale.replay._engine import SimulatedEngine
from tanagerscale.replay._events import EngineEventHandler
from tanagerscale.replay._faults import FaultInjector
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._jobs import SchedulerInstance
from tanagerscale.replay._jobs import SchedulerTopology
from tanagerscale.replay._jobs import ServedTokens
from tanagerscale.replay._jobs import compute_service_by_account
from tanagerscale.replay._news import PeriodicReports
from tanagerscale.replay._queue import EventQueue
from tanagerscale.replay._sequence import Sequence
from tanagerscale.replay._settings import FAULT_DETECTION_MS
from tanagerscale.replay._settings import ReplaySettings
from tanagerscale.replay._trace import TraceRequest

DECISION_INTERVAL_MS = 100.0
MAX_DRAIN_MS = 900_000.0
"""Maximum simulated time after the last arrival of the trace."""

MAX_ATTEMPTS = 4
"""Maximum number of submissions of a request that is refused; restarts are not counted."""

MODEL_ID = ModelId("model")
MAX_TOKENS = 16_384


@final
class Simulation:
    """Replays one trace in simulated time.

    :param trace: Requests in order of arrival.
    :param settings: Settings of the simulated system.
    :param seed: Seed of the simulation's random numbers; the trace is not affected.
    """

    def __init__(self, *, trace: Items[TraceRequest], settings: ReplaySettings, seed: int) -> None:
        self.settings = settings
        self.table = MeasureTable()
        self.engines: dict[UpstreamId, SimulatedEngine] = {}
        self.jobs: list[Job] = []
        self.rng = Random(f"world/{seed}")
        self.slowest_refusal_ms = 0.0
        self.service_at_trace_end: dict[str, ServedTokens] = {}
        """Tokens requested by and served to each account at the last arrival of the trace."""
        self.messages = 0
        """Number of messages between hosts, without progress reports."""
        self._trace = trace
        self._topology: SchedulerTopology | None = None
        self._queue = EventQueue()
        self._stepping_engines: set[str] = set()
        self._jobs_by_generation: dict[GenerationId, Job] = {}
        self._available_engines: list[EngineSpec] = []
        self._unfinished_requests = len(trace)
        handler = EngineEventHandler(simulation=self)
        for index in range(settings.engines):
            name = UpstreamId(f"engine-{index + 1}")
            self.engines[name] = SimulatedEngine(
                name=name,
                model=settings.model,
                listener=handler,
                step_listener=handler,
                token_gap_ms=settings.objective.token_gap_ms,
            )
            self._available_engines.append(
                EngineSpec(
                    engine=name,
                    memory_tokens=settings.model.memory_tokens,
                    max_batch=settings.model.max_batch,
                )
            )

    @property
    def topology(self) -> SchedulerTopology:
        """Scheduler topology of the policy."""
        assert self._topology is not None
        return self._topology

    @property
    def now(self) -> float:
        """Current simulated time, in milliseconds."""
        return self._queue.now

    def schedule_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time in milliseconds."""
        self._queue.add(when, action)

    def schedule_after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in milliseconds."""
        self.schedule_at(self.now + delay, action)

    def now_ms(self) -> Millis:
        """Return the current time in whole milliseconds, as passed to schedulers."""
        return Millis(int(self.now))

    def output_length(self, generation: GenerationId) -> int:
        """Return the true output length in tokens; only for the clairvoyant scheduler."""
        return self._jobs_by_generation[generation].request.output_tokens

    def generated_tokens(self, generation: GenerationId) -> int:
        """Return the number of tokens a generation has produced so far, without reporting delay.

        Of the schedulers, only the clairvoyant scheduler may call it.
        """
        job = self._jobs_by_generation[generation]
        if job.sequence is None or job.engine is None or job.generation != generation:
            return 0
        return job.engine.produced(job.sequence)

    def run(self, *, topology: SchedulerTopology) -> MeasureTable:
        """Replay the trace with a policy until all requests have ended.

        :param topology: Scheduler topology of the policy.
        """
        self._topology = topology
        for instance in topology.instances:
            instance.scheduler.set_engines(engines=self._available_engines, now=self.now_ms())
        for index, request in enumerate(self._trace):
            self.schedule_at(float(request.at_ms), self._make_arrival(request, index))
        self._start_timers()
        if self._trace:
            self.schedule_at(float(self._trace[-1].at_ms), self._record_service)
        end_ms = (self._trace[-1].at_ms if self._trace else 0) + MAX_DRAIN_MS
        self._queue.run(until=end_ms, should_continue=lambda: self._unfinished_requests > 0)
        self._finalize()
        return self.table

    def stop(self) -> None:
        """Stop the replay immediately, with requests still running."""
        self._queue.clear()

    # Requests and placement.

    def _make_arrival(self, request: TraceRequest, index: int) -> Callable[[], None]:
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
            job.generation = GenerationId(f"g{index}")
            self.request_placement(job)

        return arrive

    def request_placement(self, job: Job, *, excluded: frozenset[UpstreamId] = frozenset()) -> None:
        """Submit a new generation of a request for placement.

        :param excluded: Engines that must not be selected.
        """
        job.submissions += 1
        job.attempts += 1
        job.submitted_at = self.now
        job.generation = GenerationId(f"{job.generation.split('.')[0]}.{job.submissions}")
        self._jobs_by_generation[job.generation] = job
        trace_request = job.request
        job.placement_request = PlacementRequest(
            generation=job.generation,
            model=MODEL_ID,
            account=ClientAccountId(trace_request.account),
            request_class=trace_request.request_class,
            priority=trace_request.priority,
            prompt_tokens=trace_request.prompt_tokens,
            max_tokens=MAX_TOKENS,
            prefix=trace_request.prefix,
            prefix_tokens=trace_request.prefix_tokens,
            movable=trace_request.whole,
            arrived=self.now_ms(),
            excluded=excluded,
        )
        self.send_request(job)

    def send_request(self, job: Job) -> None:
        """Send a placement request to the scheduler instance currently assigned to its host."""
        job.instance = instance = self.topology.instance_for(host=job.host, now=self.now)
        placement = job.placement_request
        assert placement is not None
        self.send_to_instance(
            instance,
            job.host,
            lambda: instance.scheduler.submit(request=placement, now=self.now_ms()),
        )

    def send_to_instance(
        self, instance: SchedulerInstance, host: int | None, action: Callable[[], None]
    ) -> None:
        """Deliver a message to a scheduler instance after the network delay and after any freeze.

        :param host: Index of the sending host.
        :param action: Callback that handles the message.
        """

        def deliver() -> None:
            if instance.frozen_until > self.now:
                self.schedule_at(instance.frozen_until, deliver)
                return
            action()
            self.schedule_decision(instance)

        delay = self._delay(instance, host)
        if delay > 0.0:
            self.messages += 1
        if delay == 0.0:
            deliver()
        else:
            self.schedule_after(delay, deliver)

    def _delay(self, instance: SchedulerInstance, host: int | None) -> float:
        if instance.host is None or instance.host == host:
            return 0.0
        return self.settings.host_delay_ms

    def schedule_decision(self, instance: SchedulerInstance) -> None:
        """Schedule a decision after the other events of the current time."""
        if instance.decision_pending:
            return
        instance.decision_pending = True
        self.schedule_at(self.now, lambda: self._decide(instance))

    def _decide(self, instance: SchedulerInstance) -> None:
        instance.decision_pending = False
        if instance.frozen_until > self.now:
            self.schedule_at(instance.frozen_until, lambda: self.schedule_decision(instance))
            return
        for decision in instance.scheduler.decide(now=self.now_ms()):
            self._apply_decision(instance, decision)

    def _apply_decision(self, instance: SchedulerInstance, decision: Decision) -> None:
        job = self._jobs_by_generation[decision.generation]
        delay = self._delay(instance, job.host)
        self.messages += delay > 0.0
        if decision.kind is DecisionKind.ADMIT:
            assert decision.engine is not None
            engine = self.engines[decision.engine]
            self.schedule_after(
                delay + self.settings.engine_delay_ms,
                lambda: self._start_generation(job, decision.generation, engine, instance),
            )
        elif decision.kind is DecisionKind.SHED:
            self.schedule_after(delay, lambda: self._handle_refusal(job, decision.retry_after_ms))
        else:
            self.schedule_after(
                delay + self.settings.engine_delay_ms,
                lambda: self._handle_move(job, decision, instance),
            )

    def _start_generation(
        self,
        job: Job,
        generation: GenerationId,
        engine: SimulatedEngine,
        instance: SchedulerInstance,
    ) -> None:
        if job.done or job.generation != generation or job.sequence is not None:
            self.notify_finished(job, generation, instance, tokens=0, complete=False)
            return
        if not engine.is_alive:
            self.schedule_after(FAULT_DETECTION_MS, lambda: self.restart(job, engine))
            return
        trace_request = job.request
        job.instance = instance
        job.engine = engine
        job.sequence = Sequence(
            owner=job,
            prompt_tokens=trace_request.prompt_tokens,
            prefix=trace_request.prefix,
            prefix_tokens=trace_request.prefix_tokens,
            output_tokens=trace_request.output_tokens,
            priority=trace_request.priority,
            already_generated=job.timeline.tokens,
        )
        engine.submit(job.sequence)
        self._wake_engine(engine)

    def restart(self, job: Job, engine: SimulatedEngine) -> None:
        """Request another placement for a request whose engine is lost."""
        job.sequence = None
        job.engine = None
        job.attempts -= 1
        self.request_placement(job, excluded=frozenset({UpstreamId(engine.name)}))

    def _handle_refusal(self, job: Job, retry_after_ms: int) -> None:
        self.table.shed += 1
        job.refusals += 1
        self.slowest_refusal_ms = max(self.slowest_refusal_ms, self.now - job.submitted_at)
        if job.attempts >= MAX_ATTEMPTS:
            self.finish_job(job, complete=False)
            return
        self.schedule_after(float(retry_after_ms), lambda: self.request_placement(job))

    def _handle_move(self, job: Job, decision: Decision, instance: SchedulerInstance) -> None:
        engine = self.engines.get(decision.engine or UpstreamId(""))
        if job.done or job.sequence is None or engine is not job.engine or engine is None:
            return
        generated_tokens = engine.cancel(job.sequence, now=self.now)
        self.table.moves += 1
        self.table.wasted_tokens += generated_tokens
        job.sequence = None
        job.engine = None

    def notify_finished(
        self,
        job: Job,
        generation: GenerationId,
        instance: SchedulerInstance,
        *,
        tokens: int,
        complete: bool,
    ) -> None:
        """Notify a scheduler instance that a generation is no longer on its engine."""
        self.send_to_instance(
            instance,
            job.host,
            lambda: instance.scheduler.on_finished(
                generation=generation, tokens=tokens, complete=complete, now=self.now_ms()
            ),
        )

    def finish_job(self, job: Job, *, complete: bool) -> None:
        """Finish a request and record its measures.

        :param complete: Whether the whole answer was generated.
        """
        if not complete:
            job.timeline.record_incomplete(now=self.now)
        job.done = True
        job.complete = complete
        job.ended_at = self.now
        self._unfinished_requests -= 1
        self.table.add(job.timeline, short=job.request.short, complete=complete)

    # Engines.

    def _wake_engine(self, engine: SimulatedEngine) -> None:
        if engine.name in self._stepping_engines or not engine.is_alive:
            return
        self._stepping_engines.add(engine.name)
        self._begin_step(engine)

    def _begin_step(self, engine: SimulatedEngine) -> None:
        if not engine.is_alive or engine.is_idle:
            self._stepping_engines.discard(engine.name)
            return
        duration = engine.begin_step(now=self.now)
        self.schedule_after(duration, lambda: self._finish_step(engine))

    def _finish_step(self, engine: SimulatedEngine) -> None:
        if engine.is_alive:
            engine.end_step(now=self.now)
        self._begin_step(engine)

    # Timers and faults.

    def _start_timers(self) -> None:
        for instance in self.topology.instances:
            self._tick(instance)
        PeriodicReports(simulation=self).start()
        FaultInjector(simulation=self).schedule()

    def add_instance(self, instance: SchedulerInstance) -> None:
        """Add a scheduler instance during the replay."""
        instance.scheduler.set_engines(engines=self._available_engines, now=self.now_ms())
        self._tick(instance)

    def running_jobs(self) -> list[Job]:
        """Return the jobs whose generations are on an engine."""
        return [
            sequence.owner
            for engine in self.engines.values()
            for sequence in engine.sequences()
            if sequence.owner.sequence is sequence
        ]

    def waiting_jobs(self) -> list[Job]:
        """Return the jobs that wait for a placement."""
        return [
            job
            for job in self.jobs
            if not job.done and job.sequence is None and job.instance is not None
        ]

    def _tick(self, instance: SchedulerInstance) -> None:
        self.schedule_decision(instance)
        self.schedule_after(DECISION_INTERVAL_MS, lambda: self._tick(instance))

    def drain_engine(self, name: UpstreamId) -> None:
        """Exclude an engine from new placements in all scheduler instances."""
        self._available_engines = [spec for spec in self._available_engines if spec.engine != name]
        for instance in self.topology.instances:
            instance.scheduler.set_engines(engines=self._available_engines, now=self.now_ms())
            self.schedule_decision(instance)

    def _record_service(self) -> None:
        self.service_at_trace_end = compute_service_by_account(
            self.jobs, generated_tokens=self.generated_tokens
        )

    def _finalize(self) -> None:
        for job in self.jobs:
            if not job.done:
                self.finish_job(job, complete=False)
        for engine in self.engines.values():
            self.table.engine_ms += engine.busy_ms
            self.table.preemptions += engine.preemptions
            self.table.recomputed_tokens += engine.recomputed_tokens
