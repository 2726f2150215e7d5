"""Hosts learn of changes in time though watches of the store are lost, with all else answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Mapping
from random import Random
from typing import Any
from typing import Final

import msgspec
from msgspec.structs import replace
import pytest

from tanagerscale.coordination._announcements import RANK_DELAY_MS
from tanagerscale.coordination._directory import COORDINATOR_COUNT
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import UpstreamId
from tanagerscale.gateway._control import WATCH_GRACE_MS
from tanagerscale.gateway._store_followers import SPREAD_MS
from tanagerscale.gateway._store_followers import FollowedPrefix
from tanagerscale.generated.records import HostRecord
from tanagerscale.store import WATCH_MARGIN_MS
from testing._heartbeating_engines import hosts_that_send_to
from testing._many_hosts import CONFIGURATION_KEY
from testing._many_hosts import OPERATOR_PREFIX
from testing._many_hosts import REGISTRY_PREFIX
from testing._many_hosts import Fleet
from testing._many_hosts import Host
from testing._virtual_time import run_virtually

HOSTS = 9
DOMAINS = 3
SLOW_ANSWER_MS: Final = 376
"""Time of an answer where the store is 94 times slower than usual."""
MAX_WAIT_MS = 30_000
"""Longest wait of a watch that the platform's store takes."""
HOSTS_PREFIX = "p/hosts/"
BURST_S = 0.05
"""Time after a change in which the watches that begin are lost."""

Announce = Callable[[Fleet, int], Callable[[Host], bool]]
"""Writes a change with a number to the store; returns whether a host knows of it."""


def _announce_configuration(fleet: Fleet, number: int) -> Callable[[Host], bool]:
    fleet.write(CONFIGURATION_KEY, str(number))
    return lambda host: host.control.configuration.head_revision >= number


def _announce_evacuation(fleet: Fleet, number: int) -> Callable[[Host], bool]:
    fleet.evacuate(f"domain-{number}")
    return lambda host: f"domain-{number}" in host.control.evacuations.domains


def _announce_leaving(fleet: Fleet, number: int) -> Callable[[Host], bool]:
    fleet.set_engine(f"e{number}", state="leaving")
    return lambda host: host.control.gate.is_leaving(UpstreamId(f"e{number}"))


def _announce_removal(fleet: Fleet, number: int) -> Callable[[Host], bool]:
    fleet.remove_engine(f"e{number}")
    return lambda host: host not in hosts_that_send_to(fleet, f"e{number}")


def _announce_host(fleet: Fleet, number: int) -> Callable[[Host], bool]:
    name = f"new-{number}"
    record = HostRecord(host=name, peers=name, incarnation=1, failure_domain="x", cores=8.0)
    fleet.write(f"{HOSTS_PREFIX}{name}", msgspec.json.encode(record).decode())
    return lambda host: any(
        candidate.host == name for candidate in host.control.directory.message().candidates
    )


NEWS: Mapping[str, tuple[Announce, ...]] = {
    OPERATOR_PREFIX: (_announce_configuration, _announce_evacuation),
    REGISTRY_PREFIX: (_announce_leaving, _announce_removal),
    HOSTS_PREFIX: (_announce_host,),
}
"""What hosts must know of each prefix that they follow."""

KINDS = [(prefix, announce) for prefix, kinds in NEWS.items() for announce in kinds]


def _run(
    scenario: Callable[[Fleet], Coroutine[Any, Any, Any]],
    *,
    hosts: int = HOSTS,
    latency_ms: int = 4,
) -> Any:
    async def run() -> Any:
        fleet = Fleet()
        await fleet.start(count=hosts, domains=DOMAINS, engines=6)
        for host in fleet.hosts:
            host.store.latency_ms = latency_ms
        await asyncio.sleep(2)
        return await scenario(fleet)

    return run_virtually(run())


def _followed(fleet: Fleet) -> tuple[FollowedPrefix, ...]:
    return fleet.hosts[0].control.store_followers.followed


def _deadline_ms(fleet: Fleet, prefix: str) -> int:
    return next(one.deadline_ms for one in _followed(fleet) if one.prefix == prefix)


async def _find_late_hosts(fleet: Fleet, prefix: str, announce: Announce, number: int) -> list[str]:
    """Announce a change, and return the hosts that don't know of it at its deadline."""
    is_known = announce(fleet, number)
    await asyncio.sleep(_deadline_ms(fleet, prefix) / MS_PER_SECOND)
    return [host.name for host in fleet.hosts if not is_known(host)]


def _lose_waiting(fleet: Fleet, prefix: str, hosts: int) -> None:
    following = [host for host in fleet.hosts if host.control.store_source.follows_store]
    for host in following[:hosts]:
        host.store.lose_watches(prefix)


async def _lose_new(fleet: Fleet, prefix: str, announce: Announce) -> None:
    """End the watches of all hosts by a change, and lose those that begin thereafter."""
    for host in fleet.hosts:
        host.store.losing = lambda other: other == prefix
    announce(fleet, 2)
    await asyncio.sleep(BURST_S)
    for host in fleet.hosts:
        host.store.losing = lambda _other: False


# A prefix whose watches wait longer would keep its news from all hosts until they end.
def test_sum_of_waits_is_within_the_deadline_for_each_followed_prefix() -> None:
    async def scenario(fleet: Fleet) -> None:
        assert WATCH_MARGIN_MS > SLOW_ANSWER_MS
        assert max(WATCH_GRACE_MS, RANK_DELAY_MS * (COORDINATOR_COUNT - 1)) < SPREAD_MS
        assert {one.prefix for one in _followed(fleet)} == set(NEWS)
        for one in _followed(fleet):
            noticed_ms = one.pause_ms + one.wait_ms + WATCH_MARGIN_MS
            assert noticed_ms + SLOW_ANSWER_MS + SPREAD_MS <= one.deadline_ms

    _run(scenario)


# Revoked keys were served for up to 27 s when all hosts had lost the watch of the configuration.
@pytest.mark.parametrize("latency_ms", [4, SLOW_ANSWER_MS])
@pytest.mark.parametrize(("prefix", "announce"), KINDS)
def test_news_is_known_in_time_when_the_watches_that_follow_a_change_are_lost(
    prefix: str, announce: Announce, latency_ms: int
) -> None:
    async def scenario(fleet: Fleet) -> list[str]:
        await _lose_new(fleet, prefix, announce)
        return await _find_late_hosts(fleet, prefix, announce, 3)

    assert _run(scenario, latency_ms=latency_ms) == []


@pytest.mark.parametrize("hosts", [1, 3, COORDINATOR_COUNT])
@pytest.mark.parametrize(("prefix", "announce"), KINDS)
def test_news_is_known_in_time_when_waiting_watches_are_lost(
    prefix: str, announce: Announce, hosts: int
) -> None:
    async def scenario(fleet: Fleet) -> list[str]:
        rng = Random(hosts)
        late: list[str] = []
        for number in range(2, 5):
            await asyncio.sleep(rng.uniform(0, 3))
            _lose_waiting(fleet, prefix, hosts)
            await asyncio.sleep(rng.uniform(0, 0.5))
            late += await _find_late_hosts(fleet, prefix, announce, number)
        return late

    assert _run(scenario) == []


# A silence of half a second ends no lease and no other call, but the watches that begin in it.
@pytest.mark.parametrize("silent_s", [0.05, 0.5, 2.0, 5.0])
@pytest.mark.parametrize(("prefix", "announce"), KINDS)
def test_news_is_known_in_time_when_the_store_was_silent_after_a_change(
    prefix: str, announce: Announce, silent_s: float
) -> None:
    async def scenario(fleet: Fleet) -> list[str]:
        announce(fleet, 2)
        await asyncio.sleep(0.001)
        for host in fleet.hosts:
            host.store.silent = True
        await asyncio.sleep(silent_s)
        for host in fleet.hosts:
            host.store.silent = False
        await asyncio.sleep(3)
        return await _find_late_hosts(fleet, prefix, announce, 3)

    assert _run(scenario) == []


# The loss of a watch was reported as the loss of the store, which also keeps entries that go.
@pytest.mark.parametrize("prefix", [OPERATOR_PREFIX, REGISTRY_PREFIX])
def test_lost_watch_costs_one_call_and_is_not_reported_as_a_lost_store(prefix: str) -> None:
    async def scenario(fleet: Fleet) -> None:
        reported: list[bool] = []
        for host in fleet.hosts:
            host.control.roster.is_current_changes.subscribe(reported.append)
        reads = sum(host.store.calls.reads for host in fleet.hosts)
        _lose_waiting(fleet, prefix, COORDINATOR_COUNT)
        await asyncio.sleep(4)
        lost = [host.control.store_followers.lost_watches[prefix] for host in fleet.coordinators]
        assert lost == [1] * COORDINATOR_COUNT
        assert reported == []
        assert sum(host.store.calls.reads for host in fleet.hosts) == reads

    _run(scenario)


# Each host that watches makes calls without an end, so their number must not grow with the hosts.
@pytest.mark.parametrize("hosts", [6, 60])
def test_calls_of_waiting_watches_do_not_grow_with_the_hosts(hosts: int) -> None:
    async def scenario(fleet: Fleet) -> float:
        before = sum(host.store.calls.watches for host in fleet.hosts)
        await asyncio.sleep(30)
        return (sum(host.store.calls.watches for host in fleet.hosts) - before) / 30

    per_wait = sum(MS_PER_SECOND / one.wait_ms for one in _run(_get_followed))
    assert _run(scenario, hosts=hosts) <= COORDINATOR_COUNT * per_wait * 1.1


async def _get_followed(fleet: Fleet) -> tuple[FollowedPrefix, ...]:
    return _followed(fleet)


# Guards against a wait that the store refuses, as it holds a watch for 30 s at most.
def test_wait_is_one_that_the_store_accepts_when_the_deadline_is_long() -> None:
    async def scenario(fleet: Fleet) -> list[int]:
        return [replace(one, deadline_ms=60_000).wait_ms for one in _followed(fleet)]

    assert all(wait_ms <= MAX_WAIT_MS for wait_ms in _run(scenario))
