"""Policies by name and the scheduler topology of each."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.policy import ForecastScheduler
from tanagerscale.policy import LeastOutstanding
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import Scheduler
from tanagerscale.policy import Tuning
from tanagerscale.policy import tuning_for
from tanagerscale.replay._baselines import ReportedLeastLoad
from tanagerscale.replay._baselines import RoundRobin
from tanagerscale.replay._baselines import TwoChoices
from tanagerscale.replay._clairvoyant import ClairvoyantScheduler
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._jobs import SchedulerInstance
from tanagerscale.replay._jobs import SchedulerTopology
from tanagerscale.replay._settings import OUTAGE_DURATION_MS
from tanagerscale.replay._settings import FaultCase
from tanagerscale.replay._settings import ReplaySettings
from tanagerscale.replay._world import Simulation

OWNER_TIMEOUT_MS = 300.0
"""Time without a response from the owner after which a host uses its own scheduler."""

CREDIT_INTERVAL_MS = 250.0

TopologyFactory = Callable[[Simulation, Random], SchedulerTopology]


@final
class PerHostTopology:
    """One independent scheduler per host.

    :param schedulers: Schedulers in the order of the hosts.
    """

    def __init__(self, *, schedulers: Sequence[Scheduler]) -> None:
        self._instances = [
            SchedulerInstance(scheduler=scheduler, host=host)
            for host, scheduler in enumerate(schedulers)
        ]

    @property
    def instances(self) -> Sequence[SchedulerInstance]:
        """One scheduler instance per host."""
        return self._instances

    def instance_for(self, *, host: int, now: float) -> SchedulerInstance:
        """Return the host's own scheduler instance."""
        return self._instances[host]

    def on_fault(self, simulation: Simulation, *, case: FaultCase, began: bool) -> None:
        """Do nothing: independent hosts do not depend on one another."""

    def on_answer_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Do nothing: the scheduler that placed the request is notified anyway."""


@final
class SingleSchedulerTopology:
    """One central scheduler for all hosts.

    :param scheduler: Scheduler that serves all hosts.
    :param host: Index of the host that runs it; ``None`` if messages to it have no delay.
    """

    def __init__(self, *, scheduler: Scheduler, host: int | None) -> None:
        self._instance = SchedulerInstance(scheduler=scheduler, host=host)

    @property
    def instances(self) -> Sequence[SchedulerInstance]:
        """The central scheduler instance."""
        return [self._instance]

    def instance_for(self, *, host: int, now: float) -> SchedulerInstance:
        """Return the central scheduler instance."""
        return self._instance

    def on_fault(self, simulation: Simulation, *, case: FaultCase, began: bool) -> None:
        """Do nothing: the central scheduler is not affected."""

    def on_answer_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Do nothing: the scheduler that placed the request is notified anyway."""


@final
class OwnerTopology:
    """One owner for all hosts; hosts that cannot reach it use their share of each engine.

    :param owner: Scheduler of the owner.
    :param fallbacks: Fallback schedulers in the order of the hosts.
    """

    def __init__(
        self,
        *,
        owner: ForecastScheduler,
        fallbacks: Sequence[ForecastScheduler],
    ) -> None:
        self._owner = SchedulerInstance(scheduler=owner, host=0)
        self._schedulers = list(fallbacks)
        self._fallbacks = [
            SchedulerInstance(scheduler=scheduler, host=host)
            for host, scheduler in enumerate(fallbacks)
        ]
        self._disconnected_hosts: set[int] = set()

    @property
    def instances(self) -> Sequence[SchedulerInstance]:
        """The owner's instance and the fallback instance of each host."""
        return [self._owner, *self._fallbacks]

    def instance_for(self, *, host: int, now: float) -> SchedulerInstance:
        """Return the owner's instance, or the host's fallback while the host is disconnected."""
        return self._fallbacks[host] if host in self._disconnected_hosts else self._owner

    def on_answer_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Record the length in the host's own scheduler, so that it can become the owner."""
        self._schedulers[host].observe(request=request, tokens=tokens)

    def on_fault(self, simulation: Simulation, *, case: FaultCase, began: bool) -> None:
        """Switch disconnected hosts to their fallbacks, and back when the fault ends."""
        if not began:
            self._return_to_owner(simulation, lost=case is FaultCase.OWNER_LOST)
            return
        if case is not FaultCase.HOSTS_CUT:
            self._owner.frozen_until = simulation.now + OUTAGE_DURATION_MS
        hosts = range(simulation.settings.hosts)
        disconnected = [
            host for host in hosts if case is not FaultCase.HOSTS_CUT or host >= len(hosts) // 2
        ]
        simulation.schedule_after(
            OWNER_TIMEOUT_MS, lambda: self._fall_back(simulation, disconnected)
        )

    def _fall_back(self, simulation: Simulation, hosts: Sequence[int]) -> None:
        self._disconnected_hosts.update(hosts)
        for job in simulation.running_jobs():
            if job.host in self._disconnected_hosts:
                self._hand_over(simulation, job, self._fallbacks[job.host])
        for job in simulation.waiting_jobs():
            if job.host in self._disconnected_hosts:
                simulation.send_request(job)

    def _return_to_owner(self, simulation: Simulation, *, lost: bool) -> None:
        self._disconnected_hosts.clear()
        if lost:
            # The next host in the rendezvous order takes over. It knows only the answer lengths
            # that it has recorded as a host.
            successor = self._schedulers[1]
            successor.set_share(share=1.0)
            self._owner = SchedulerInstance(scheduler=successor, host=1)
            simulation.add_instance(self._owner)
        for job in simulation.running_jobs():
            if job.instance is not self._owner:
                self._hand_over(simulation, job, self._owner)
        for job in simulation.waiting_jobs():
            if job.instance is not self._owner:
                self._withdraw(simulation, job)
                simulation.send_request(job)

    def _withdraw(self, simulation: Simulation, job: Job) -> None:
        assert job.instance is not None
        job.instance.scheduler.withdraw(generation=job.generation, now=simulation.now_ms())

    def _hand_over(self, simulation: Simulation, job: Job, instance: SchedulerInstance) -> None:
        """Transfer a running generation to the ledger of another scheduler."""
        assert job.placement_request is not None
        assert job.engine is not None
        assert isinstance(instance.scheduler, ForecastScheduler)
        previous, generation = job.instance, job.generation
        job.instance = instance
        instance.scheduler.adopt(
            request=job.placement_request,
            engine=UpstreamId(job.engine.name),
            tokens=simulation.generated_tokens(generation),
            now=simulation.now_ms(),
        )
        if previous is not None and previous is not self._owner and previous is not instance:
            previous.scheduler.on_finished(
                generation=generation, tokens=0, complete=False, now=simulation.now_ms()
            )


@final
class CreditWindowTopology:
    """One scheduler per host that admits within credits for the memory of each engine.

    In each credit interval, the owner divides the free memory of each engine among the hosts in
    proportion to their queued requests.

    :param schedulers: Schedulers in the order of the hosts.
    :param simulation: Simulation whose hosts report to the owner in each interval.
    """

    def __init__(self, *, schedulers: Sequence[ForecastScheduler], simulation: Simulation) -> None:
        self._schedulers = schedulers
        self._simulation = simulation
        self._instances = [
            SchedulerInstance(scheduler=scheduler, host=host)
            for host, scheduler in enumerate(schedulers)
        ]
        simulation.schedule_at(0.0, self._distribute_credits)

    @property
    def instances(self) -> Sequence[SchedulerInstance]:
        """One scheduler instance per host."""
        return self._instances

    def instance_for(self, *, host: int, now: float) -> SchedulerInstance:
        """Return the host's own scheduler instance."""
        return self._instances[host]

    def on_answer_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Do nothing: the scheduler that placed the request is notified anyway."""

    def on_fault(self, simulation: Simulation, *, case: FaultCase, began: bool) -> None:
        """Do nothing: hosts continue with their current credits."""

    def _distribute_credits(self) -> None:
        """Distribute credits by held memory and demand; hosts receive them a round trip later."""
        simulation = self._simulation
        demands = [scheduler.queued + 0.25 for scheduler in self._schedulers]
        total = sum(demands)
        shares: list[dict[UpstreamId, float]] = [{} for _ in self._schedulers]
        for name in simulation.engines:
            memory = simulation.settings.model.memory_tokens
            held = [scheduler.held_tokens(engine=name) / memory for scheduler in self._schedulers]
            free = max(1.0 - sum(held), 0.0)
            for index, held_share in enumerate(held):
                shares[index][name] = held_share + free * demands[index] / total
        simulation.messages += 2 * len(self._schedulers)
        for index, scheduler in enumerate(self._schedulers):
            simulation.schedule_after(
                2 * simulation.settings.host_delay_ms, _make_share_setter(scheduler, shares[index])
            )
        simulation.schedule_after(CREDIT_INTERVAL_MS, self._distribute_credits)


def _make_share_setter(
    scheduler: ForecastScheduler, shares: dict[UpstreamId, float]
) -> Callable[[], None]:
    return lambda: scheduler.set_shares(shares=shares)


def resolve_tuning(settings: ReplaySettings) -> Tuning:
    """Return the tuning of the forecast schedulers: the explicit one, or that of the objective."""
    return settings.tuning or tuning_for(objective=settings.objective)


def _make_forecast_scheduler(
    simulation: Simulation, rng: Random, *, share: float = 1.0
) -> ForecastScheduler:
    return ForecastScheduler(
        accounts={}, tuning=resolve_tuning(simulation.settings), rng=rng, share=share
    )


def _per_host_factory(make: Callable[[Simulation, Random], Scheduler]) -> TopologyFactory:
    def build(simulation: Simulation, rng: Random) -> SchedulerTopology:
        return PerHostTopology(
            schedulers=[make(simulation, rng) for _ in range(simulation.settings.hosts)]
        )

    return build


def _make_owner_topology(simulation: Simulation, rng: Random) -> SchedulerTopology:
    hosts = simulation.settings.hosts
    return OwnerTopology(
        owner=_make_forecast_scheduler(simulation, rng),
        fallbacks=[
            _make_forecast_scheduler(simulation, rng, share=1.0 / hosts) for _ in range(hosts)
        ],
    )


def _make_credit_window_topology(simulation: Simulation, rng: Random) -> SchedulerTopology:
    schedulers = [
        _make_forecast_scheduler(simulation, rng, share=1.0 / simulation.settings.hosts)
        for _ in range(simulation.settings.hosts)
    ]
    return CreditWindowTopology(schedulers=schedulers, simulation=simulation)


def _clairvoyant_factory(*, in_order: bool) -> TopologyFactory:
    def build(simulation: Simulation, rng: Random) -> SchedulerTopology:
        def has_prefix(engine: UpstreamId, prefix: str) -> bool:
            return simulation.engines[engine].has_prefix(prefix)

        scheduler = ClairvoyantScheduler(
            output_length=simulation.output_length,
            generated_tokens=simulation.generated_tokens,
            has_prefix=has_prefix,
            in_order=in_order,
        )
        return SingleSchedulerTopology(scheduler=scheduler, host=None)

    return build


POLICIES: dict[str, TopologyFactory] = {
    "round-robin": _per_host_factory(lambda simulation, rng: RoundRobin(rng=rng)),
    "least-outstanding": _per_host_factory(lambda simulation, rng: LeastOutstanding()),
    "late-least-load": _per_host_factory(lambda simulation, rng: ReportedLeastLoad(rng=rng)),
    "two-choices": _per_host_factory(lambda simulation, rng: TwoChoices(rng=rng)),
    "hosts-alone": _per_host_factory(_make_forecast_scheduler),
    "owner": _make_owner_topology,
    "credit-windows": _make_credit_window_topology,
    "clairvoyant": _clairvoyant_factory(in_order=False),
    "in-order": _clairvoyant_factory(in_order=True),
}
"""Topology factories by policy name; ``in-order`` is used only to measure capacity."""

BASELINES = ("round-robin", "least-outstanding", "late-least-load", "two-choices")
