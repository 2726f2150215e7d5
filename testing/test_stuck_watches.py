"""Hosts learn of changes of the list though a watch stands still and looks alive."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from testing._heartbeating_engines import hosts_that_send_to
from testing._many_hosts import Fleet
from testing._virtual_time import run_virtually

HOSTS = 24
DOMAINS = 3
DRAIN_S = 2.0


def _run(scenario: Callable[[Fleet], Coroutine[Any, Any, Any]]) -> Any:
    async def run() -> Any:
        fleet = Fleet()
        await fleet.start(count=HOSTS, domains=DOMAINS)
        return await scenario(fleet)

    return run_virtually(run())


def _names(hosts: list[Any]) -> list[str]:
    return [host.name for host in hosts]


@pytest.mark.parametrize("stuck", [1, 3])
@pytest.mark.parametrize("is_removed", [False, True])
def test_leaving_upstream_gets_no_requests_when_watches_of_some_coordinators_stand_still(
    stuck: int, is_removed: bool
) -> None:
    async def scenario(fleet: Fleet) -> list[str]:
        for host in fleet.coordinators[:stuck]:
            host.store.watch_stalled = True
        await asyncio.sleep(1)
        if is_removed:
            fleet.remove_engine("e0")
        else:
            fleet.set_engine("e0", state="leaving")
        await asyncio.sleep(DRAIN_S)
        return _names(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario) == []


# A coordinator whose watch stood still took the list from nobody else.
@pytest.mark.parametrize("stuck", [1, 3])
def test_new_upstream_gets_requests_from_all_hosts_when_watches_of_some_coordinators_stand_still(
    stuck: int,
) -> None:
    async def scenario(fleet: Fleet) -> int:
        for host in fleet.coordinators[:stuck]:
            host.store.watch_stalled = True
        await asyncio.sleep(1)
        fleet.set_engine("new")
        await asyncio.sleep(DRAIN_S)
        return len(hosts_that_send_to(fleet, "new"))

    assert _run(scenario) == HOSTS


# A failure domain stayed in use at a coordinator whose watch stood still.
def test_evacuation_is_in_force_at_all_hosts_when_the_watch_of_a_coordinator_stands_still() -> None:
    async def scenario(fleet: Fleet) -> list[str]:
        fleet.coordinators[0].store.watch_stalled = True
        await asyncio.sleep(1)
        fleet.evacuate("domain-0")
        await asyncio.sleep(DRAIN_S)
        return _names(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario) == []
