"""Hosts follow the store after it came back from an older copy, in which revisions are lower."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from tanagerscale.gateway._presence import LEASE_TTL_S
from tanagerscale.gateway._presence import RENEW_INTERVAL_MS
from tanagerscale.membership._roster import RETURNED_ENTRY_DELAY_MS
from testing._heartbeating_engines import HEARTBEAT_S
from testing._heartbeating_engines import OPERATOR_DELAY_S
from testing._heartbeating_engines import Engines
from testing._heartbeating_engines import hosts_that_send_to
from testing._heartbeating_engines import observe
from testing._heartbeating_engines import open_engines
from testing._heartbeating_engines import return_from_copy
from testing._many_hosts import CONFIGURATION_KEY
from testing._many_hosts import EVACUATION_PREFIX
from testing._many_hosts import Fleet
from testing._virtual_time import run_virtually

DOMAINS = 3
ENGINES = 4
MANY = 9
"""Hosts of which some aren't coordinators."""
SETTLING_S = 5.0
CONTACT_S = 3.0
"""Time after the return from which all bounds hold."""
DRAIN_S = 2.0
"""Time after which a leaving engine gets no requests."""
COPY_AGES_S = (1, 5, 20, 60)

Scenario = Callable[[Fleet, Engines], Coroutine[Any, Any, Any]]


def _run(scenario: Scenario, *, hosts: int = 6) -> Any:
    async def run() -> Any:
        fleet = Fleet()
        engines = Engines(fleet=fleet)
        for number in range(ENGINES):
            engines.beat(f"e{number}", "ready")
        beats = asyncio.create_task(engines.run())
        await fleet.start(count=hosts, domains=DOMAINS, engines=0)
        await asyncio.sleep(SETTLING_S)
        try:
            return await scenario(fleet, engines)
        finally:
            beats.cancel()

    return run_virtually(run())


def _names(hosts: list[Any]) -> list[str]:
    return [host.name for host in hosts]


# All hosts ignored the list until the store had given out as many revisions as before.
@pytest.mark.parametrize(
    ("copy_age_s", "hosts"), [*((age_s, 6) for age_s in COPY_AGES_S), (20, 60)]
)
def test_leaving_upstream_gets_no_requests_when_the_store_has_come_back_from_a_copy(
    copy_age_s: int, hosts: int
) -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        await return_from_copy(fleet, engines, copy_age_s=copy_age_s)
        await asyncio.sleep(CONTACT_S)
        assert len(hosts_that_send_to(fleet, "e0")) == hosts
        engines.beat("e0", "leaving")
        await asyncio.sleep(DRAIN_S)
        return _names(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario, hosts=hosts) == []


# A watch that went on from a revision of the era before missed the changes up to it.
@pytest.mark.parametrize("copy_age_s", COPY_AGES_S)
def test_leaving_upstream_gets_no_requests_when_the_store_came_back_without_being_away(
    copy_age_s: int,
) -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        await return_from_copy(fleet, engines, copy_age_s=copy_age_s, away_s=0)
        await asyncio.sleep(CONTACT_S)
        engines.beat("e0", "leaving")
        await asyncio.sleep(DRAIN_S)
        return _names(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario) == []


def test_leaving_upstream_gets_no_requests_when_the_store_came_back_twice() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        await return_from_copy(fleet, engines, copy_age_s=20)
        await return_from_copy(fleet, engines, copy_age_s=4)
        await asyncio.sleep(CONTACT_S)
        engines.beat("e0", "leaving")
        await asyncio.sleep(DRAIN_S)
        return _names(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario) == []


def test_new_upstream_gets_requests_from_all_hosts_when_the_store_has_come_back() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> int:
        await return_from_copy(fleet, engines, copy_age_s=20)
        engines.beat("new", "ready")
        await asyncio.sleep(CONTACT_S)
        return len(hosts_that_send_to(fleet, "new"))

    assert _run(scenario, hosts=MANY) == MANY


# The copy shows an upstream as ready that had said that it leaves since the copy was made.
def test_upstream_that_left_after_the_copy_gets_no_requests_when_the_store_has_come_back() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        returning = asyncio.create_task(return_from_copy(fleet, engines, copy_age_s=8))
        await asyncio.sleep(7.9)
        engines.beat("e0", "leaving")
        await asyncio.sleep(0.1)
        seen = await observe(fleet, "e0", duration_s=CONTACT_S + DRAIN_S)
        await returning
        return seen

    assert _run(scenario, hosts=MANY) == []


# The copy has the entry of an upstream that was removed since; it expires some seconds later.
@pytest.mark.parametrize("removed_after_s", [0.1, 4])
def test_upstream_removed_after_the_copy_gets_no_requests_when_the_store_has_come_back(
    removed_after_s: float,
) -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        returning = asyncio.create_task(return_from_copy(fleet, engines, copy_age_s=8))
        await asyncio.sleep(removed_after_s)
        engines.end("e0")
        await asyncio.sleep(0.5)
        seen = await observe(fleet, "e0", duration_s=12)
        await returning
        return seen

    assert _run(scenario, hosts=MANY) == []


# An upstream that was taken for gone is used again once it has written its entry.
def test_upstream_that_lives_gets_requests_again_when_it_was_removed_before_the_return() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> int:
        returning = asyncio.create_task(return_from_copy(fleet, engines, copy_age_s=8))
        await asyncio.sleep(7.5)
        fleet.remove_engine("e0")
        await returning
        await asyncio.sleep(HEARTBEAT_S + DRAIN_S)
        return len(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario, hosts=MANY) == MANY


# An upstream that the list had lost writes no entry that is new, since nothing has changed.
def test_upstream_gets_requests_again_when_its_entry_came_back_and_stays() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[int]:
        fleet.set_engine("quiet", sequence=3)
        copy = fleet.backend.copy()
        await asyncio.sleep(1)
        fleet.remove_engine("quiet")
        await asyncio.sleep(1)
        fleet.backend.come_back_from(copy)
        await asyncio.sleep(RETURNED_ENTRY_DELAY_MS / 1000 - 0.5)
        before = len(hosts_that_send_to(fleet, "quiet"))
        await asyncio.sleep(1)
        return [before, len(hosts_that_send_to(fleet, "quiet"))]

    assert _run(scenario) == [0, 6]


@pytest.mark.parametrize("away_s", [0, 1])
def test_upstreams_that_live_get_requests_at_all_times_when_the_store_comes_back(
    away_s: float,
) -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[set[str]]:
        returning = asyncio.create_task(
            return_from_copy(fleet, engines, copy_age_s=8, away_s=away_s)
        )
        found = []
        for _ in range(140):
            await asyncio.sleep(0.1)
            found += [open_engines(host) for host in fleet.hosts]
        await returning
        return found

    every = {f"e{number}" for number in range(ENGINES)}
    assert all(one == every for one in _run(scenario, hosts=MANY))


def test_leaving_upstream_gets_no_requests_when_a_coordinator_is_killed_at_the_return() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        await return_from_copy(fleet, engines, copy_age_s=20)
        await fleet.kill(fleet.coordinators[0])
        await asyncio.sleep(CONTACT_S)
        engines.beat("e0", "leaving")
        await asyncio.sleep(DRAIN_S)
        return _names(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario, hosts=MANY) == []


# A host that was cut off from the store at its return was told of the list by revision.
def test_leaving_upstream_gets_no_requests_from_hosts_that_the_store_refuses_after_its_return() -> (
    None
):
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        refused = fleet.hosts[::4]
        await return_from_copy(fleet, engines, copy_age_s=20)
        for host in refused:
            host.store.set_down(True)
        await asyncio.sleep(CONTACT_S)
        engines.beat("e0", "leaving")
        await asyncio.sleep(DRAIN_S)
        return _names(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario, hosts=MANY) == []


def test_evacuation_is_in_force_at_all_hosts_when_the_store_has_come_back() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        for _ in range(6):
            fleet.evacuate("domain-9")
            fleet.end_evacuation("domain-9")
        await return_from_copy(fleet, engines, copy_age_s=20)
        await asyncio.sleep(CONTACT_S)
        fleet.evacuate("domain-0")
        await asyncio.sleep(DRAIN_S)
        return _names(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario, hosts=MANY) == []


# The copy doesn't have an evacuation that began after it; the operator writes it again.
def test_evacuation_stays_in_force_when_the_store_comes_back_from_a_copy_without_it() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[str]:
        returning = asyncio.create_task(return_from_copy(fleet, engines, copy_age_s=8))
        await asyncio.sleep(4)
        fleet.evacuate("domain-0")
        await asyncio.sleep(1)
        loop = asyncio.get_running_loop()
        loop.call_later(4 + OPERATOR_DELAY_S, fleet.evacuate, "domain-0")
        seen = await observe(fleet, "e0", duration_s=10)
        await returning
        return seen

    assert _run(scenario, hosts=MANY) == []


def test_evacuation_ends_when_the_store_came_back_without_it_and_nobody_writes_it_again() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> int:
        returning = asyncio.create_task(return_from_copy(fleet, engines, copy_age_s=8))
        await asyncio.sleep(4)
        fleet.evacuate("domain-0")
        await returning
        assert f"{EVACUATION_PREFIX}domain-0" not in fleet.backend.entries
        await asyncio.sleep(6)
        return len(hosts_that_send_to(fleet, "e0"))

    assert _run(scenario, hosts=MANY) == MANY


# Hosts refused the newer list of coordinators, whose revision was lower.
def test_hosts_agree_on_coordinators_when_some_are_replaced_after_the_return() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> set[tuple[str, ...]]:
        await return_from_copy(fleet, engines, copy_age_s=20)
        for host in fleet.coordinators[:2]:
            await fleet.kill(host)
            fleet.remove(f"p/hosts/{host.name}")
        await asyncio.sleep(CONTACT_S)
        return {
            tuple(one.host for one in host.control.directory.message().candidates[:4])
            for host in fleet.hosts
        }

    assert len(_run(scenario, hosts=MANY)) == 1


# The copy has an older configuration, whose keys may have been revoked since.
def test_configuration_never_goes_back_when_the_store_comes_back_with_an_older_one() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> set[int]:
        returning = asyncio.create_task(return_from_copy(fleet, engines, copy_age_s=8))
        await asyncio.sleep(4)
        fleet.write(CONFIGURATION_KEY, "2")
        await asyncio.sleep(1)
        seen: set[int] = set()
        for _ in range(80):
            await asyncio.sleep(0.1)
            seen |= {host.control.configuration.head_revision for host in fleet.hosts}
        await returning
        assert fleet.backend.entries[CONFIGURATION_KEY].value == b"1"
        return seen

    assert _run(scenario, hosts=MANY) == {2}


# A host renewed the lease of another one, which had got its number, and lost its own entry.
def test_hosts_keep_their_entries_when_the_numbers_of_their_leases_are_given_out_again() -> None:
    async def scenario(fleet: Fleet, engines: Engines) -> list[list[str]]:
        returning = asyncio.create_task(return_from_copy(fleet, engines, copy_age_s=8))
        await asyncio.sleep(4)
        await fleet.add("late")
        await returning
        await fleet.add("later")
        missing = []
        for wait_s in (RENEW_INTERVAL_MS / 1000 + DRAIN_S, 2 * LEASE_TTL_S):
            await asyncio.sleep(wait_s)
            names = [host.name for host in fleet.hosts]
            entries = fleet.backend.entries
            missing.append([name for name in names if f"p/hosts/{name}" not in entries])
        return missing

    assert _run(scenario, hosts=MANY) == [[], []]
