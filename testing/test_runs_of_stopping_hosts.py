"""What the deciders know of the runs of a host that stops, or is no longer a coordinator."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from testing._many_hosts import Fleet
from testing._many_hosts import Host
from testing._virtual_time import run_virtually

HOSTS = 9
DOMAINS = 3
GRACE_S = 7.3
POLL_S = 0.01
RUNS = 3


def _run_with_fleet(scenario: Callable[[Fleet], Coroutine[Any, Any, None]]) -> None:
    async def run() -> None:
        fleet = Fleet()
        await fleet.start(count=HOSTS, domains=DOMAINS)
        await scenario(fleet)

    run_virtually(run())


def _begin_runs(host: Host) -> None:
    for number in range(RUNS):
        host.begin(f"r{number}")
        host.answer(f"r{number}")


async def _stop(host: Host) -> None:
    host.is_leaving = True
    host.control.mesh.send_heartbeat()
    await host.control.withdraw()


async def _find_unknown_runs(deciders: Callable[[], set[Host]], duration_s: float) -> list[str]:
    """Return when a decider knew less than all runs, after a first exchange."""
    await asyncio.sleep(0.25)
    unknown = []
    for step in range(int(duration_s / POLL_S)):
        await asyncio.sleep(POLL_S)
        unknown += [
            f"{host.name} knows {host.total('e0').running} runs after {step * POLL_S:.2f} s"
            for host in sorted(deciders(), key=lambda one: one.name)
            if host.total("e0").running != RUNS
        ]
    return unknown


# Guards against deciders that forget the runs of a stopping host before it has ended, and fill
# the engines on which these still run.
@pytest.mark.parametrize("rank", range(5), ids=lambda rank: f"rank-{rank}")
def test_decider_knows_the_runs_of_a_stopping_host_until_it_ends(rank: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        candidates = [one.host for one in fleet.hosts[0].control.directory.message().candidates]
        stopping = next(host for host in fleet.hosts if host.name == candidates[rank])
        others = [host for host in fleet.hosts if host is not stopping]
        _begin_runs(stopping)
        await _stop(stopping)

        def deciders() -> set[Host]:
            names = {host.decider for host in others}
            return {host for host in others if host.name in names}

        assert await _find_unknown_runs(deciders, GRACE_S) == []

    _run_with_fleet(scenario)


# Guards against deciders that forget the runs of a host as others close the connections that they
# made while it was a coordinator.
def test_decider_knows_the_runs_of_a_host_that_is_no_coordinator_any_more() -> None:
    async def scenario(fleet: Fleet) -> None:
        before = fleet.coordinators
        await fleet.add("host-new", DOMAINS, cores=0.5)
        await asyncio.sleep(1)
        replaced = next(host for host in before if not host.is_coordinator)
        decider = next(host for host in fleet.hosts if host.name == replaced.decider)
        _begin_runs(replaced)
        assert await _find_unknown_runs(lambda: {decider}, 9.0) == []

    _run_with_fleet(scenario)
