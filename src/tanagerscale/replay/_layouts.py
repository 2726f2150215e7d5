"""The policies by name: which schedulers each has and which of them a host asks."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.policy import ForecastScheduler
from tanagerscale.policy import LeastOutstanding
from tanagerscale.policy import Scheduler
from tanagerscale.policy import Tuning
from tanagerscale.policy import tuning_for
from tanagerscale.replay._baselines import LateLeastLoad
from tanagerscale.replay._baselines import RoundRobin
from tanagerscale.replay._baselines import TwoChoices
from tanagerscale.replay._clairvoyant import Clairvoyant
from tanagerscale.replay._settings import Case
from tanagerscale.replay._settings import ReplaySettings
from tanagerscale.replay._world import Layout
from tanagerscale.replay._world import Site
from tanagerscale.replay._world import World

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
    return Single(scheduler=_forecast(world, rng), host=0)


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
    "clairvoyant": _clairvoyant(in_order=False),
    "in-order": _clairvoyant(in_order=True),
}
"""Policies by name; ``in-order`` only serves to measure capacity."""

BASELINES = ("round-robin", "least-outstanding", "late-least-load", "two-choices")
