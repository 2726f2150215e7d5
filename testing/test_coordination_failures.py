"""Placements and moves continue when deciders crash, freeze or are isolated, or two are active."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from random import Random
from typing import Any

import pytest

from tanagerscale.coordination._client import DECIDER_TIMEOUT_MS
from tanagerscale.coordination._store_source import ISOLATION_TIMEOUT_MS
from tanagerscale.coordination._store_source import PROBE_INTERVAL_MS
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceKind
from testing._gateway_fakes import SERVICE
from testing._many_hosts import Fleet
from testing._many_hosts import Host
from testing._many_hosts import make_host
from testing._virtual_time import run_virtually

HOSTS = 12
DOMAINS = 3
CONFIGURATION_TIMEOUT_S = 2.0
"""Time after its acknowledgement in which a configuration must be in force."""
ROUND_TRIP_MS = 20
"""Bound on the round trip of an ask and its answer, including concurrent store calls."""


def _run_with_fleet(
    scenario: Callable[[Fleet], Coroutine[Any, Any, Any]], *, hosts: int = HOSTS
) -> Any:
    async def run() -> Any:
        fleet = Fleet()
        await fleet.start(count=hosts, domains=DOMAINS)
        return await scenario(fleet)

    return run_virtually(run())


async def _ask_timed(
    host: Host, name: str = "r", *, left_ms: int = 1500
) -> tuple[PlaceAnswer, int]:
    """Ask for an engine; return the answer and the time it took."""
    started_at = host.clock.now()
    answer = await host.ask(name, left_ms=left_ms)
    return answer, host.clock.now() - started_at


def test_answer_arrives_immediately_while_the_decider_is_alive() -> None:
    async def scenario(fleet: Fleet) -> None:
        answer, took_ms = await _ask_timed(fleet.members[0])
        assert answer.kind is PlaceKind.SEND
        assert took_ms <= ROUND_TRIP_MS

    _run_with_fleet(scenario)


@pytest.mark.parametrize("frozen", [1, 2, 3])
def test_frozen_decider_delays_a_caller_by_one_timeout(frozen: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.coordinators[:frozen]:
            fleet.freeze(host)
        answer, took_ms = await _ask_timed(fleet.members[0])
        assert answer.kind is PlaceKind.SEND
        assert took_ms <= frozen * DECIDER_TIMEOUT_MS + ROUND_TRIP_MS
        # The next caller of the same host is not delayed again.
        _, took_ms = await _ask_timed(fleet.members[0], "s")
        assert took_ms <= ROUND_TRIP_MS

    _run_with_fleet(scenario)


def test_host_decides_for_itself_when_it_is_isolated() -> None:
    async def scenario(fleet: Fleet) -> None:
        host = fleet.members[0]
        fleet.freeze(host)
        answer, took_ms = await _ask_timed(host)
        assert answer.kind is PlaceKind.SEND
        assert took_ms <= 4 * DECIDER_TIMEOUT_MS + ROUND_TRIP_MS
        assert host.decider == host.name

    _run_with_fleet(scenario)


def test_queued_generation_moves_to_the_next_decider_when_the_first_fails() -> None:
    async def scenario(fleet: Fleet) -> None:
        first, second = fleet.coordinators[:2]
        host = fleet.members[0]
        for engine in ("e0", "e1"):
            fleet.members[1].begin(f"filler of {engine}", at=engine, tokens=31_000)
        await asyncio.sleep(0.1)
        waiting = asyncio.create_task(host.ask("r", left_ms=8000))
        await asyncio.sleep(0.1)
        assert first.control.coordinator.queue.waiting == 1
        fleet.freeze(first)
        await asyncio.sleep(1)
        assert second.control.coordinator.queue.waiting == 1
        fleet.set_engine("e2")
        assert (await waiting).upstream == "e2"

    _run_with_fleet(scenario)


def test_cancelled_generation_is_removed_from_all_queues() -> None:
    async def scenario(fleet: Fleet) -> None:
        for engine in ("e0", "e1"):
            fleet.members[1].begin(f"filler of {engine}", at=engine, tokens=31_000)
        await asyncio.sleep(0.1)
        waiting = asyncio.create_task(fleet.members[0].ask("r", left_ms=8000))
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.sleep(0.1)
        assert [host.control.coordinator.queue.waiting for host in fleet.hosts] == [0] * HOSTS
        assert fleet.members[0].control.client.pending_placements == 0

    _run_with_fleet(scenario)


def test_late_answer_of_a_resumed_decider_reserves_no_memory() -> None:
    async def scenario(fleet: Fleet) -> None:
        first = fleet.coordinators[0]
        fleet.freeze(first)
        host = fleet.members[0]
        await host.ask("r")
        await asyncio.sleep(0.3)
        fleet.network.resume()
        first.store.set_down(False)
        await asyncio.sleep(2)
        # The ask reached the first decider late, and was withdrawn.
        for coordinator in fleet.coordinators:
            assert sum(coordinator.total(engine).waiting for engine in ("e0", "e1")) == 1

    _run_with_fleet(scenario)


def test_two_concurrent_deciders_count_the_placements_of_each_other() -> None:
    async def scenario(fleet: Fleet) -> None:
        first, second = fleet.coordinators[:2]
        cut_off, connected = fleet.members[:2]
        # Only one of the two hosts can't reach the first decider.
        fleet.network.frozen.add(frozenset((cut_off.name, first.name)))
        await asyncio.sleep(3)
        assert (cut_off.decider, connected.decider) == (second.name, first.name)
        assigned = []
        for number in range(6):
            host = (cut_off, connected)[number % 2]
            assigned.append((await host.ask(f"r{number}", prompt=10_000, left_ms=50)).upstream)
            await asyncio.sleep(0.1)
        # Each of the two engines has memory for three generations of 10,000 tokens.
        assert sorted(assigned) == ["e0"] * 3 + ["e1"] * 3

    _run_with_fleet(scenario)


def test_next_decider_moves_a_run_off_a_leaving_engine_when_the_first_is_frozen() -> None:
    async def scenario(fleet: Fleet) -> None:
        host = fleet.members[0]
        host.begin("r", at="e0")
        host.answer("r", answer_tokens=900)
        await asyncio.sleep(0.1)
        fleet.freeze(fleet.coordinators[0])
        fleet.set_engine("e0", state="leaving")
        await asyncio.sleep(0.02)
        # A host with runs on the engine makes this call.
        await host.control.client.check_decider()
        await asyncio.sleep(0.5)
        assert [order.target for order in host.orders] == ["e1"]

    _run_with_fleet(scenario)


def test_host_may_retry_when_its_share_of_the_retry_budget_is_less_than_one() -> None:
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.members:
            assert await host.control.client.may_repeat(service=SERVICE)
        # One answer of the decider is missing; the next decider grants a retry.
        fleet.freeze(fleet.coordinators[0])
        await asyncio.sleep(3)
        assert await fleet.members[0].control.client.may_repeat(service=SERVICE)

    _run_with_fleet(scenario, hosts=48)


def test_coordinators_are_replaced_when_all_are_killed_together() -> None:
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.coordinators:
            await fleet.kill(host)
        answer, _ = await _ask_timed(fleet.members[0])
        assert answer.kind is PlaceKind.SEND
        await asyncio.sleep(6)
        assert sum(host.is_coordinator for host in fleet.hosts) == 4
        assert len({host.decider for host in fleet.hosts}) == 1
        fleet.set_engine("new")
        await asyncio.sleep(0.2)
        assert {host.control.roster.known_count for host in fleet.hosts} == {3}

    _run_with_fleet(scenario)


def test_leaving_upstream_is_detected_while_all_coordinators_are_unreachable() -> None:
    async def scenario(fleet: Fleet) -> None:
        unreachable = fleet.coordinators
        for host in unreachable:
            fleet.freeze(host)
        fleet.set_engine("e0", state="leaving")
        # Three heartbeats of half a second, and the isolation timeout.
        await asyncio.sleep(1.6 + ISOLATION_TIMEOUT_MS / 1000)
        remaining = [host for host in fleet.hosts if host not in unreachable]
        assert all(host.control.gate.is_leaving(UpstreamId("e0")) for host in remaining)

    _run_with_fleet(scenario)


def test_leaving_upstream_is_detected_when_the_feed_source_is_frozen() -> None:
    async def scenario(fleet: Fleet) -> None:
        member = fleet.members[0]
        source = member.control.feed.source
        fleet.freeze(next(host for host in fleet.hosts if host.name == source))
        fleet.set_engine("e0", state="leaving")
        fleet.set_engine("new")
        await asyncio.sleep(1.5)
        assert member.control.gate.is_leaving(UpstreamId("e0"))
        assert member.control.roster.known_count == 3

    _run_with_fleet(scenario)


def test_coordinator_without_the_store_follows_another_coordinator() -> None:
    async def scenario(fleet: Fleet) -> None:
        disconnected = fleet.coordinators[1]
        disconnected.store.set_down(True)
        await asyncio.sleep(2)
        fleet.set_engine("new")
        fleet.write("op/config", "5")
        await asyncio.sleep(1)
        assert disconnected.control.roster.known_count == 3
        assert disconnected.control.roster.is_current
        assert {host.control.configuration.head_revision for host in fleet.hosts} == {5}

    _run_with_fleet(scenario)


def test_members_follow_the_store_when_it_rejects_all_coordinators() -> None:
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.coordinators:
            host.store.set_down(True)
        await asyncio.sleep(1.5 + ISOLATION_TIMEOUT_MS / 1000)
        fleet.set_engine("new")
        await asyncio.sleep(0.5)
        assert all(host.control.roster.known_count == 3 for host in fleet.members)
        assert all(host.control.roster.is_current for host in fleet.members)

    _run_with_fleet(scenario)


def _silence_store(fleet: Fleet, rng: Random) -> list[Host]:
    """Make the store silent for the coordinators and some members; return the other members."""
    others = rng.sample(fleet.members, len(fleet.members) // 2)
    for host in fleet.hosts:
        host.store.silent = host not in others
    return others


@pytest.mark.parametrize("seed", range(20))
def test_configuration_is_in_force_in_time_when_the_store_is_silent_for_all_coordinators(
    seed: int,
) -> None:
    # Guards against members that use a revoked key because no coordinator reaches the store.
    async def scenario(fleet: Fleet) -> None:
        rng = Random(seed)
        await asyncio.sleep(rng.uniform(0, 2))
        reaching = _silence_store(fleet, rng)
        await asyncio.sleep(rng.choice((0, rng.uniform(0, 1))))
        fleet.write("op/config", "2")
        await asyncio.sleep(CONFIGURATION_TIMEOUT_S)
        assert {host.control.configuration.head_revision for host in reaching} == {2}

    _run_with_fleet(scenario)


@pytest.mark.parametrize("seed", range(10))
def test_configuration_is_in_force_in_time_when_the_store_is_silent_for_new_coordinators(
    seed: int,
) -> None:
    # Guards against a coordinator that checks the store as rarely as when it was a member.
    async def scenario(fleet: Fleet) -> None:
        rng = Random(seed)
        for host in rng.sample(fleet.coordinators, 2):
            await fleet.kill(host)
        await asyncio.sleep(rng.uniform(2, 4))
        reaching = _silence_store(fleet, rng)
        fleet.write("op/config", "2")
        await asyncio.sleep(CONFIGURATION_TIMEOUT_S)
        assert {host.control.configuration.head_revision for host in reaching} == {2}

    _run_with_fleet(scenario)


def test_members_make_few_store_calls_while_the_store_is_down_for_all() -> None:
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.store.set_down(True)
        await asyncio.sleep(3)
        members = [host.store.calls for host in fleet.members]
        before = sum(calls.reads + calls.watches for calls in members)
        asked_before = sum(calls.stale_reads for calls in members)
        await asyncio.sleep(10)
        assert sum(calls.reads + calls.watches for calls in members) == before
        asked = sum(calls.stale_reads for calls in members) - asked_before
        assert asked <= 10 * len(members) * MS_PER_SECOND / PROBE_INTERVAL_MS * 1.5

    _run_with_fleet(scenario)


def test_isolated_host_follows_the_store() -> None:
    async def scenario(fleet: Fleet) -> None:
        host = fleet.members[0]
        fleet.freeze(host)
        host.store.set_down(False)
        await asyncio.sleep(3.5 + ISOLATION_TIMEOUT_MS / 1000)
        fleet.set_engine("new")
        await asyncio.sleep(0.2)
        assert host.control.roster.known_count == 3

    _run_with_fleet(scenario)


def test_no_host_considers_the_store_current_when_it_is_down_for_all() -> None:
    async def scenario(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.store.set_down(True)
        await asyncio.sleep(5)
        assert not any(host.control.roster.is_current for host in fleet.hosts)
        for host in fleet.hosts:
            host.store.set_down(False)
        await asyncio.sleep(5)
        assert all(host.control.roster.is_current for host in fleet.hosts)

    _run_with_fleet(scenario)


def test_host_started_while_the_store_is_down_gets_its_state_from_seeds() -> None:
    async def scenario(fleet: Fleet) -> None:
        seed = fleet.members[0].name
        host = make_host(fleet.network, fleet.backend, "late", seeds=(seed,))
        host.store.set_down(True)
        await host.control.start()
        fleet.hosts.append(host)
        await asyncio.sleep(4)
        assert host.control.configuration.head_revision == 1
        assert host.control.roster.known_count == 2
        assert host.decider == fleet.coordinators[0].name

    _run_with_fleet(scenario)
