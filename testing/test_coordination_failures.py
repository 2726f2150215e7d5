"""Deciders that die, stand still or are cut off cost nobody an engine; two at a time do no harm."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from tanagerscale.coordination._client import PATIENCE_MS
from tanagerscale.coordination._duties import ALONE_MS
from tanagerscale.coordination._duties import PROBE_MS
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
HOP_MS = 20
"""Longest way of an ask and its answer, with what is asked of the store meanwhile."""


def _play(scene: Callable[[Fleet], Coroutine[Any, Any, Any]], *, hosts: int = HOSTS) -> Any:
    async def play() -> Any:
        fleet = Fleet()
        await fleet.start(count=hosts, domains=DOMAINS)
        return await scene(fleet)

    return run_virtually(play())


async def _timed(host: Host, name: str = "r", *, left_ms: int = 1500) -> tuple[PlaceAnswer, int]:
    """Ask for an engine; return the answer and how long it took."""
    began = host.clock.now()
    answer = await host.ask(name, left_ms=left_ms)
    return answer, host.clock.now() - began


def test_answer_comes_at_once_while_the_decider_lives() -> None:
    async def scene(fleet: Fleet) -> None:
        answer, took_ms = await _timed(fleet.members[0])
        assert answer.kind is PlaceKind.SEND
        assert took_ms <= HOP_MS

    _play(scene)


@pytest.mark.parametrize("frozen", [1, 2, 3])
def test_frozen_decider_costs_a_caller_one_wait(frozen: int) -> None:
    async def scene(fleet: Fleet) -> None:
        for host in fleet.coordinators[:frozen]:
            fleet.freeze(host)
        answer, took_ms = await _timed(fleet.members[0])
        assert answer.kind is PlaceKind.SEND
        assert took_ms <= frozen * PATIENCE_MS + HOP_MS
        # The next caller of the same host does not wait again.
        _, took_ms = await _timed(fleet.members[0], "s")
        assert took_ms <= HOP_MS

    _play(scene)


def test_host_decides_by_itself_when_it_reaches_nobody() -> None:
    async def scene(fleet: Fleet) -> None:
        host = fleet.members[0]
        fleet.freeze(host)
        answer, took_ms = await _timed(host)
        assert answer.kind is PlaceKind.SEND
        assert took_ms <= 4 * PATIENCE_MS + HOP_MS
        assert host.decider == host.name

    _play(scene)


def test_waiting_generation_goes_on_at_the_next_decider_when_the_first_is_killed() -> None:
    async def scene(fleet: Fleet) -> None:
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

    _play(scene)


def test_generation_that_its_caller_gives_up_waits_nowhere() -> None:
    async def scene(fleet: Fleet) -> None:
        for engine in ("e0", "e1"):
            fleet.members[1].begin(f"filler of {engine}", at=engine, tokens=31_000)
        await asyncio.sleep(0.1)
        waiting = asyncio.create_task(fleet.members[0].ask("r", left_ms=8000))
        await asyncio.sleep(0.1)
        waiting.cancel()
        await asyncio.sleep(0.1)
        assert [host.control.coordinator.queue.waiting for host in fleet.hosts] == [0] * HOSTS
        assert fleet.members[0].control.client.asking == 0

    _play(scene)


def test_late_answer_of_a_decider_that_stood_still_takes_no_room() -> None:
    async def scene(fleet: Fleet) -> None:
        first = fleet.coordinators[0]
        fleet.freeze(first)
        host = fleet.members[0]
        await host.ask("r")
        await asyncio.sleep(0.3)
        fleet.network.thaw()
        first.store.set_down(False)
        await asyncio.sleep(2)
        # Its ask came late to the first one, and was withdrawn.
        for one in fleet.coordinators:
            assert sum(one.total(engine).waiting for engine in ("e0", "e1")) == 1

    _play(scene)


def test_two_deciders_at_a_time_count_what_each_has_given() -> None:
    async def scene(fleet: Fleet) -> None:
        first, second = fleet.coordinators[:2]
        one, other = fleet.members[:2]
        # Only one of two hosts can't reach the first.
        fleet.network.frozen.add(frozenset((one.name, first.name)))
        await asyncio.sleep(3)
        assert (one.decider, other.decider) == (second.name, first.name)
        given = []
        for number in range(6):
            host = (one, other)[number % 2]
            given.append((await host.ask(f"r{number}", prompt=10_000, left_ms=50)).upstream)
            await asyncio.sleep(0.1)
        # Each of two engines has room for three of 10,000 tokens.
        assert sorted(given) == ["e0"] * 3 + ["e1"] * 3

    _play(scene)


def test_run_leaves_its_engine_by_the_order_of_the_next_decider_when_the_first_is_frozen() -> None:
    async def scene(fleet: Fleet) -> None:
        host = fleet.members[0]
        host.begin("r", at="e0")
        host.answer("r", made=900)
        await asyncio.sleep(0.1)
        fleet.freeze(fleet.coordinators[0])
        fleet.set_engine("e0", state="leaving")
        await asyncio.sleep(0.02)
        # As the host does that has runs there.
        await host.control.client.check_decider()
        await asyncio.sleep(0.5)
        assert [order.target for order in host.orders] == ["e1"]

    _play(scene)


def test_host_repeats_a_request_though_its_own_part_of_the_allowance_is_less_than_one() -> None:
    async def scene(fleet: Fleet) -> None:
        for host in fleet.members:
            assert await host.control.client.may_repeat(service=SERVICE)
        # The decider's answer is missing once, and the next one gives a repeat.
        fleet.freeze(fleet.coordinators[0])
        await asyncio.sleep(3)
        assert await fleet.members[0].control.client.may_repeat(service=SERVICE)

    _play(scene, hosts=48)


def test_all_coordinators_killed_together_are_replaced() -> None:
    async def scene(fleet: Fleet) -> None:
        for host in fleet.coordinators:
            await fleet.kill(host)
        answer, _ = await _timed(fleet.members[0])
        assert answer.kind is PlaceKind.SEND
        await asyncio.sleep(6)
        assert sum(host.is_coordinator for host in fleet.hosts) == 4
        assert len({host.decider for host in fleet.hosts}) == 1
        fleet.set_engine("new")
        await asyncio.sleep(0.2)
        assert {host.control.roster.known for host in fleet.hosts} == {3}

    _play(scene)


def test_upstream_that_leaves_while_all_coordinators_are_dark_is_known_in_time() -> None:
    async def scene(fleet: Fleet) -> None:
        dark = fleet.coordinators
        for host in dark:
            fleet.freeze(host)
        fleet.set_engine("e0", state="leaving")
        # Three heartbeats of half a second, and the time that a host stays alone.
        await asyncio.sleep(1.6 + ALONE_MS / 1000)
        left = [host for host in fleet.hosts if host not in dark]
        assert all(host.control.gate.is_leaving(UpstreamId("e0")) for host in left)

    _play(scene)


def test_upstream_that_leaves_is_known_though_the_host_that_tells_it_stands_still() -> None:
    async def scene(fleet: Fleet) -> None:
        member = fleet.members[0]
        source = member.control.feed.source
        fleet.freeze(next(host for host in fleet.hosts if host.name == source))
        fleet.set_engine("e0", state="leaving")
        fleet.set_engine("new")
        await asyncio.sleep(1.5)
        assert member.control.gate.is_leaving(UpstreamId("e0"))
        assert member.control.roster.known == 3

    _play(scene)


def test_coordinator_cut_from_the_store_hears_from_another_one() -> None:
    async def scene(fleet: Fleet) -> None:
        cut = fleet.coordinators[1]
        cut.store.set_down(True)
        await asyncio.sleep(2)
        fleet.set_engine("new")
        fleet.write("op/config", "5")
        await asyncio.sleep(1)
        assert cut.control.roster.known == 3
        assert cut.control.roster.is_current
        assert {host.control.configuration.head_revision for host in fleet.hosts} == {5}

    _play(scene)


def test_hosts_follow_the_store_themselves_when_it_turns_all_coordinators_away() -> None:
    async def scene(fleet: Fleet) -> None:
        for host in fleet.coordinators:
            host.store.set_down(True)
        await asyncio.sleep(1.5 + ALONE_MS / 1000)
        fleet.set_engine("new")
        await asyncio.sleep(0.5)
        assert all(host.control.roster.known == 3 for host in fleet.members)
        assert all(host.control.roster.is_current for host in fleet.members)

    _play(scene)


def test_hosts_make_few_calls_while_the_store_is_away_for_all() -> None:
    async def scene(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.store.set_down(True)
        await asyncio.sleep(3)
        members = [host.store.calls for host in fleet.members]
        before = sum(calls.reads + calls.watches for calls in members)
        asked_before = sum(calls.stale_reads for calls in members)
        await asyncio.sleep(10)
        assert sum(calls.reads + calls.watches for calls in members) == before
        asked = sum(calls.stale_reads for calls in members) - asked_before
        assert asked <= 10 * len(members) * MS_PER_SECOND / PROBE_MS * 1.5

    _play(scene)


def test_host_that_reaches_nobody_follows_the_store_at_once() -> None:
    async def scene(fleet: Fleet) -> None:
        host = fleet.members[0]
        fleet.freeze(host)
        host.store.set_down(False)
        await asyncio.sleep(3.5 + ALONE_MS / 1000)
        fleet.set_engine("new")
        await asyncio.sleep(0.2)
        assert host.control.roster.known == 3

    _play(scene)


def test_no_host_believes_that_the_store_tells_of_changes_when_it_is_away_for_all() -> None:
    async def scene(fleet: Fleet) -> None:
        for host in fleet.hosts:
            host.store.set_down(True)
        await asyncio.sleep(5)
        assert not any(host.control.roster.is_current for host in fleet.hosts)
        for host in fleet.hosts:
            host.store.set_down(False)
        await asyncio.sleep(5)
        assert all(host.control.roster.is_current for host in fleet.hosts)

    _play(scene)


def test_hosts_that_start_while_the_store_is_away_learn_all_from_their_seeds() -> None:
    async def scene(fleet: Fleet) -> None:
        seed = fleet.members[0].name
        host = make_host(fleet.network, fleet.backend, "late", seeds=(seed,))
        host.store.set_down(True)
        await host.control.start()
        fleet.hosts.append(host)
        await asyncio.sleep(4)
        assert host.control.configuration.head_revision == 1
        assert host.control.roster.known == 2
        assert host.decider == fleet.coordinators[0].name

    _play(scene)
