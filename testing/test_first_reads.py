"""Hosts that have just read the store keep no entry that goes, as the store was never away."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from testing._heartbeating_engines import hosts_that_send_to
from testing._many_hosts import Fleet
from testing._virtual_time import run_virtually

HOSTS = 6
DOMAINS = 3
ENGINES = 9
DRAIN_S = 2.0
"""Time after which an engine whose entry is removed gets no requests."""
MARGIN_S = 0.05


def _run(scenario: Callable[[Fleet], Coroutine[Any, Any, Any]]) -> Any:
    async def run() -> Any:
        fleet = Fleet()
        await fleet.start(count=HOSTS, domains=DOMAINS, engines=ENGINES)
        return await scenario(fleet)

    return run_virtually(run())


async def _find_hosts_that_keep(fleet: Fleet, engine: str) -> list[str]:
    fleet.remove_engine(engine)
    await asyncio.sleep(DRAIN_S - MARGIN_S)
    return [host.name for host in hosts_that_send_to(fleet, engine)]


# The first read of a host, and the first content from another source, counted as the return of the
# store from an outage, in which the entries of upstreams may be missing for longer.
@pytest.mark.parametrize("killed", [4, 6])
@pytest.mark.parametrize("outage_s", [0.2, 1.0, 2.0])
@pytest.mark.parametrize("after_s", [0.1, 0.3, 0.6, 1.0, 1.5])
def test_removed_upstream_gets_no_requests_when_most_hosts_were_killed_and_have_started_again(
    after_s: float, outage_s: float, killed: int
) -> None:
    async def scenario(fleet: Fleet) -> list[str]:
        others = [host for host in fleet.hosts if host not in fleet.coordinators]
        chosen = [*fleet.coordinators, *others][:killed]
        for host in chosen:
            await fleet.kill(host)
        await asyncio.sleep(outage_s)
        for number, host in enumerate(chosen):
            await fleet.add(host.name, number % DOMAINS, cores=2.15)
        await asyncio.sleep(after_s)
        return await _find_hosts_that_keep(fleet, "e0")

    assert _run(scenario) == []


# Entries that expire in an outage are back within two seconds of its end.
def test_upstreams_keep_their_requests_when_their_entries_are_missing_after_an_outage() -> None:
    async def scenario(fleet: Fleet) -> int:
        for host in fleet.hosts:
            host.store.set_down(True)
        await asyncio.sleep(3)
        fleet.remove_engine("e0")
        for host in fleet.hosts:
            host.store.set_down(False)
        await asyncio.sleep(1.5)
        return len(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario) == HOSTS
