"""Hosts learn of changes in time when all coordinators lose power at once."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from testing._heartbeating_engines import hosts_that_send_to
from testing._many_hosts import CONFIGURATION_KEY
from testing._many_hosts import Fleet
from testing._virtual_time import run_virtually

DOMAINS = 3
DEADLINE_S = 2.0
"""Time in which a change must be in force."""


async def _find_late_hosts(*, hosts: int, seed: int, change_s: float) -> list[str]:
    fleet = Fleet()
    await fleet.start(count=hosts, domains=DOMAINS, engines=4)
    rng = Random(seed)
    await asyncio.sleep(rng.uniform(0, 2))
    members = fleet.members
    for host in fleet.coordinators:
        fleet.freeze(host)
    await asyncio.sleep(change_s)
    fleet.write(CONFIGURATION_KEY, "2")
    fleet.set_engine("e0", state="leaving")
    fleet.remove_engine("e1")
    await asyncio.sleep(DEADLINE_S)
    keep = hosts_that_send_to(fleet, "e0") + hosts_that_send_to(fleet, "e1")
    return [
        host.name
        for host in members
        if host in keep or host.control.configuration.head_revision != 2
    ]


# Hosts that live heard nothing of the store for 2.6 s when the four that watch it lost power.
@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("change_s", [0.0, 0.1, 0.5])
@pytest.mark.parametrize("hosts", [6, 24])
def test_changes_are_known_in_time_when_all_coordinators_fall_silent(
    hosts: int, change_s: float, seed: int
) -> None:
    late = run_virtually(_find_late_hosts(hosts=hosts, seed=seed, change_s=change_s))
    assert late == []


def test_host_stops_following_the_store_when_a_coordinator_is_heard_again() -> None:
    async def scenario() -> list[bool]:
        fleet = Fleet()
        await fleet.start(count=12, domains=DOMAINS)
        members = fleet.members
        fleet.network.frozen |= {
            frozenset((host.name, other.name)) for host in fleet.coordinators for other in members
        }
        await asyncio.sleep(1.4)
        seen = [all(host.control.store_source.follows_store for host in members)]
        fleet.network.frozen.clear()
        await asyncio.sleep(2)
        return [*seen, any(host.control.store_source.follows_store for host in members)]

    assert run_virtually(scenario()) == [True, False]
