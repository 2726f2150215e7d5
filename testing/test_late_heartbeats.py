"""An entry from before an upstream's notice doesn't open it when the store applies it late."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from testing._heartbeating_engines import Engines
from testing._heartbeating_engines import hosts_that_send_to
from testing._heartbeating_engines import observe
from testing._many_hosts import Fleet
from testing._virtual_time import run_virtually

HOSTS = 20
DOMAINS = 3
SETTLING_S = 4.0
LATEST_S = 6.0
"""How late the store may apply a write."""

Scenario = Callable[[Fleet, Engines], Coroutine[Any, Any, Any]]


def _run(scenario: Scenario) -> Any:
    async def run() -> Any:
        fleet = Fleet()
        engines = Engines(fleet=fleet)
        for name in ("e0", "e1"):
            engines.beat(name, "ready")
        beats = asyncio.create_task(engines.run())
        await fleet.start(count=HOSTS, domains=DOMAINS, engines=0)
        await asyncio.sleep(SETTLING_S)
        try:
            return await scenario(fleet, engines)
        finally:
            beats.cancel()

    return run_virtually(run())


# All hosts opened the upstream again, since the revision of the late entry is higher.
@pytest.mark.parametrize("late_s", [0.02, 0.3, 1.1])
def test_leaving_upstream_gets_no_requests_when_an_earlier_heartbeat_is_applied_late(
    late_s: float,
) -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        earlier = engines.sequences["e0"]
        engines.sequences["e0"] += 1
        engines.beat("e0", "leaving")
        await asyncio.sleep(late_s)
        fleet.set_engine("e0", state="ready", sequence=earlier + 1)
        await asyncio.sleep(0.2)
        return await observe(fleet, "e0", duration_s=2)

    assert _run(scenario) == []


def test_leaving_upstream_stays_closed_when_it_has_ended_and_a_heartbeat_is_applied_late() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        earlier = engines.sequences["e0"]
        engines.beat("e0", "leaving")
        await asyncio.sleep(1)
        engines.end("e0")
        await asyncio.sleep(1)
        fleet.set_engine("e0", state="ready", sequence=earlier)
        return await observe(fleet, "e0", duration_s=LATEST_S)

    assert _run(scenario) == []


def test_upstream_gets_requests_again_when_a_later_heartbeat_says_that_it_is_ready() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> int:
        engines.beat("e0", "leaving")
        await asyncio.sleep(0.5)
        engines.beat("e0", "ready")
        await asyncio.sleep(0.5)
        return len(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario) == HOSTS
