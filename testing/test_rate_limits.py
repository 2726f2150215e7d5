"""Rate limits that upstreams name hold over all hosts together, and are used."""

from __future__ import annotations

import asyncio

import pytest

from tanagerscale.routes import Route
from testing._forwarding_fleet import LONG_ROUTE
from testing._forwarding_fleet import PLAIN_ROUTE
from testing._forwarding_fleet import SHORT_ROUTE
from testing._limited_upstreams import LimitedFleet
from testing._limited_upstreams import run_with_limited_fleet

RATES = [0.3, 2.0, 2.7, 50.0]


def _load_per_s(rate_per_s: float) -> float:
    """Return a load of which a third exceeds what a limit allows."""
    return max(8 * rate_per_s, 30)


# All hosts together went on sending an upstream as much as before when it named a rate limit.
@pytest.mark.parametrize("rate_per_s", RATES)
@pytest.mark.parametrize("hosts", [1, 9])
def test_plain_requests_of_all_hosts_stay_within_the_limit_when_one_upstream_names_it(
    hosts: int, rate_per_s: float
) -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        await fleet.load(per_s=40, seconds=2)
        fleet.upstreams.name_limit("e0", rate_per_s)
        await fleet.load(per_s=_load_per_s(rate_per_s), seconds=9)
        return fleet.upstreams.find_excess()

    assert run_with_limited_fleet(scenario, hosts=hosts) == []


# A service of which all upstreams were limited got more than all their rates together.
@pytest.mark.parametrize("rate_per_s", RATES)
def test_plain_requests_stay_within_the_limits_when_all_upstreams_name_one(
    rate_per_s: float,
) -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        await fleet.load(per_s=40, seconds=2)
        for upstream in ("e0", "e1", "e2"):
            fleet.upstreams.name_limit(upstream, rate_per_s)
        await fleet.load(per_s=_load_per_s(rate_per_s), seconds=9)
        return fleet.upstreams.find_excess()

    assert run_with_limited_fleet(scenario) == []


# Streams were placed on a limited engine as if it had no limit.
@pytest.mark.parametrize("rate_per_s", [0.3, 2.0, 2.7])
@pytest.mark.parametrize("route", [SHORT_ROUTE, LONG_ROUTE], ids=["short", "long"])
def test_streams_of_all_hosts_stay_within_the_limit_when_engines_name_one(
    route: Route, rate_per_s: float
) -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        await fleet.load(per_s=10, seconds=1, routes=[route])
        for upstream in ("e0", "e1", "e2"):
            fleet.upstreams.name_limit(upstream, rate_per_s)
        await fleet.load(per_s=20, seconds=9, routes=[route])
        return fleet.upstreams.find_excess()

    assert run_with_limited_fleet(scenario) == []


# A burst of callers at the moment at which a limit is named exceeded it.
def test_requests_stay_within_the_limit_when_a_burst_arrives_as_it_is_named() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        await fleet.load(per_s=20, seconds=2)
        fleet.upstreams.name_limit("e0", 2.0)
        burst = asyncio.create_task(fleet.load(per_s=600, seconds=1, seed=2))
        await fleet.load(per_s=40, seconds=8)
        await burst
        return fleet.upstreams.find_excess()

    assert run_with_limited_fleet(scenario) == []


# The limit was exceeded when plain requests and streams shared an upstream.
def test_requests_stay_within_the_limit_when_plain_ones_and_streams_share_an_upstream() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        fleet.upstreams.name_limit("e0", 2.7)
        routes = [PLAIN_ROUTE, SHORT_ROUTE, LONG_ROUTE]
        await fleet.load(per_s=30, seconds=9, routes=routes)
        return fleet.upstreams.find_excess()

    assert run_with_limited_fleet(scenario) == []
