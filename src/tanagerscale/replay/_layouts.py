"""The policies by name: which schedulers each has and which of them a host asks."""

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
from tanagerscale.replay._baselines import LateLeastLoad
from tanagerscale.replay._baselines import RoundRobin
from tanagerscale.replay._baselines import TwoChoices
from tanagerscale.replay._clairvoyant import Clairvoyant
from tanagerscale.replay._jobs import Job
from tanagerscale.replay._jobs import Layout
from tanagerscale.replay._jobs import Site
from tanagerscale.replay._settings import OUTAGE_MS
from tanagerscale.replay._settings import Case
from tanagerscale.replay._settings import ReplaySettings
from tanagerscale.replay._world import World

NO_ANSWER_MS = 300.0
"""How long a host waits for its owner before it decides by itself."""

CREDIT_PERIOD_MS = 250.0

MakeLayout = Callable[[World, Random], Layout]


@final
class PerHost:
    """Each host decides alone.

    :param schedulers: One for each host.
    """

    def __init__(self, *, schedulers: Sequence[Scheduler]) -> None:
        self._sites = [
            Site(scheduler=scheduler, host=host) for host, scheduler in enumerate(schedulers)
        ]

    @property
    def sites(self) -> Sequence[Site]:
        """Return one site for each host."""
        return self._sites

    def site_for(self, *, host: int, now: float) -> Site:
        """Return the host's own site."""
        return self._sites[host]

    def on_fault(self, world: World, *, case: Case, began: bool) -> None:
        """Do nothing: hosts that decide alone do not need one another."""

    def on_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Do nothing: the scheduler that placed it learns of it."""


@final
class Single:
    """One scheduler for all hosts.

    :param scheduler: The scheduler.
    :param host: Where it runs; ``None`` when messages to it take no time.
    """

    def __init__(self, *, scheduler: Scheduler, host: int | None) -> None:
        self._site = Site(scheduler=scheduler, host=host)

    @property
    def sites(self) -> Sequence[Site]:
        """Return the one site."""
        return [self._site]

    def site_for(self, *, host: int, now: float) -> Site:
        """Return the one site."""
        return self._site

    def on_fault(self, world: World, *, case: Case, began: bool) -> None:
        """Do nothing."""

    def on_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Do nothing: the scheduler that placed it learns of it."""


@final
class OwnerWithFallback:
    """One owner's ledger; hosts that can't reach it use their share of each engine.

    :param owner: The owner's scheduler.
    :param fallbacks: Each host's own scheduler.
    """

    def __init__(
        self,
        *,
        owner: ForecastScheduler,
        fallbacks: Sequence[ForecastScheduler],
    ) -> None:
        self._owner = Site(scheduler=owner, host=0)
        self._schedulers = list(fallbacks)
        self._fallbacks = [
            Site(scheduler=scheduler, host=host) for host, scheduler in enumerate(fallbacks)
        ]
        self._cut: set[int] = set()

    @property
    def sites(self) -> Sequence[Site]:
        """Return the owner and every host's fallback."""
        return [self._owner, *self._fallbacks]

    def site_for(self, *, host: int, now: float) -> Site:
        """Return the owner, or the host's own fallback while it is cut off."""
        return self._fallbacks[host] if host in self._cut else self._owner

    def on_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Let each host learn from its own answers, so that it can take over."""
        self._schedulers[host].observe(request=request, tokens=tokens)

    def on_fault(self, world: World, *, case: Case, began: bool) -> None:
        """Have hosts fall back to their share, and return to the owner afterwards."""
        if not began:
            self._reunite(world, lost=case is Case.OWNER_LOST)
            return
        if case is not Case.HOSTS_CUT:
            self._owner.frozen_until = world.now + OUTAGE_MS
        hosts = range(world.settings.hosts)
        cut = [host for host in hosts if case is not Case.HOSTS_CUT or host >= len(hosts) // 2]
        world.after(NO_ANSWER_MS, lambda: self._fall_back(world, cut))

    def _fall_back(self, world: World, hosts: Sequence[int]) -> None:
        self._cut.update(hosts)
        for job in world.running_jobs():
            if job.host in self._cut:
                self._hand_over(world, job, self._fallbacks[job.host])
        for job in world.waiting_jobs():
            if job.host in self._cut:
                world.send_request(job)

    def _reunite(self, world: World, *, lost: bool) -> None:
        self._cut.clear()
        if lost:
            # The next host in the rendezvous order; what it learnt as a host is all it knows.
            successor = self._schedulers[1]
            successor.set_share(share=1.0)
            self._owner = Site(scheduler=successor, host=1)
            world.add_site(self._owner)
        for job in world.running_jobs():
            if job.site is not self._owner:
                self._hand_over(world, job, self._owner)
        for job in world.waiting_jobs():
            if job.site is not self._owner:
                self._withdraw(world, job)
                world.send_request(job)

    def _withdraw(self, world: World, job: Job) -> None:
        assert job.site is not None
        job.site.scheduler.withdraw(generation=job.generation, now=world.millis())

    def _hand_over(self, world: World, job: Job, site: Site) -> None:
        """Enter a running generation into another scheduler's ledger."""
        assert job.asked_for is not None
        assert job.engine is not None
        assert isinstance(site.scheduler, ForecastScheduler)
        before, generation = job.site, job.generation
        job.site = site
        site.scheduler.adopt(
            request=job.asked_for,
            engine=UpstreamId(job.engine.name),
            tokens=world.made(generation),
            now=world.millis(),
        )
        if before is not None and before is not self._owner and before is not site:
            before.scheduler.on_finished(
                generation=generation, tokens=0, complete=False, now=world.millis()
            )


@final
class CreditWindows:
    """Each host admits by itself within credits for each engine's memory, dealt out in bulk.

    Every period the owner divides what is free of each engine by what waits at each host.

    :param schedulers: One for each host.
    :param world: The world, whose hosts report to the owner every period.
    """

    def __init__(self, *, schedulers: Sequence[ForecastScheduler], world: World) -> None:
        self._schedulers = schedulers
        self._world = world
        self._sites = [
            Site(scheduler=scheduler, host=host) for host, scheduler in enumerate(schedulers)
        ]
        world.at(0.0, self._deal)

    @property
    def sites(self) -> Sequence[Site]:
        """Return one site for each host."""
        return self._sites

    def site_for(self, *, host: int, now: float) -> Site:
        """Return the host's own site."""
        return self._sites[host]

    def on_length(self, *, host: int, request: PlacementRequest, tokens: int) -> None:
        """Do nothing: the scheduler that placed it learns of it."""

    def on_fault(self, world: World, *, case: Case, began: bool) -> None:
        """Do nothing: hosts go on with the credits they have."""

    def _deal(self) -> None:
        """Collect what hosts hold and want, and deal out credits a round trip later."""
        world = self._world
        wants = [scheduler.queued + 0.25 for scheduler in self._schedulers]
        total = sum(wants)
        shares: list[dict[UpstreamId, float]] = [{} for _ in self._schedulers]
        for name in world.engines:
            memory = world.settings.model.memory_tokens
            held = [scheduler.held_tokens(engine=name) / memory for scheduler in self._schedulers]
            free = max(1.0 - sum(held), 0.0)
            for index, part in enumerate(held):
                shares[index][name] = part + free * wants[index] / total
        world.messages += 2 * len(self._schedulers)
        for index, scheduler in enumerate(self._schedulers):
            world.after(2 * world.settings.host_delay_ms, _setter(scheduler, shares[index]))
        world.after(CREDIT_PERIOD_MS, self._deal)


def _setter(scheduler: ForecastScheduler, shares: dict[UpstreamId, float]) -> Callable[[], None]:
    return lambda: scheduler.set_shares(shares=shares)


def tuning_of(settings: ReplaySettings) -> Tuning:
    """Return the tuning a replay's forecasting schedulers use."""
    return settings.tuning or tuning_for(objective=settings.objective)


def _forecast(world: World, rng: Random, *, share: float = 1.0) -> ForecastScheduler:
    return ForecastScheduler(accounts={}, tuning=tuning_of(world.settings), rng=rng, share=share)


def _per_host(make: Callable[[World, Random], Scheduler]) -> MakeLayout:
    def layout(world: World, rng: Random) -> Layout:
        return PerHost(schedulers=[make(world, rng) for _ in range(world.settings.hosts)])

    return layout


def _owner(world: World, rng: Random) -> Layout:
    hosts = world.settings.hosts
    return OwnerWithFallback(
        owner=_forecast(world, rng),
        fallbacks=[_forecast(world, rng, share=1.0 / hosts) for _ in range(hosts)],
    )


def _credit_windows(world: World, rng: Random) -> Layout:
    schedulers = [
        _forecast(world, rng, share=1.0 / world.settings.hosts) for _ in range(world.settings.hosts)
    ]
    return CreditWindows(schedulers=schedulers, world=world)


def _clairvoyant(*, in_order: bool) -> MakeLayout:
    def layout(world: World, rng: Random) -> Layout:
        def cached(engine: UpstreamId, prefix: str) -> bool:
            return world.engines[engine].caches(prefix)

        scheduler = Clairvoyant(
            length=world.length, made=world.made, cached=cached, in_order=in_order
        )
        return Single(scheduler=scheduler, host=None)

    return layout


POLICIES: dict[str, MakeLayout] = {
    "round-robin": _per_host(lambda world, rng: RoundRobin(rng=rng)),
    "least-outstanding": _per_host(lambda world, rng: LeastOutstanding()),
    "late-least-load": _per_host(lambda world, rng: LateLeastLoad(rng=rng)),
    "two-choices": _per_host(lambda world, rng: TwoChoices(rng=rng)),
    "hosts-alone": _per_host(_forecast),
    "owner": _owner,
    "credit-windows": _credit_windows,
    "clairvoyant": _clairvoyant(in_order=False),
    "in-order": _clairvoyant(in_order=True),
}
"""Policies by name; ``in-order`` only serves to measure capacity."""

BASELINES = ("round-robin", "least-outstanding", "late-least-load", "two-choices")
