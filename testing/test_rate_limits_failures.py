"""Rate limits that upstreams name hold while hosts, deciders, links and the store fail."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import pytest

from tanagerscale.core import UpstreamId
from testing._forwarding_fleet import LONG_ROUTE
from testing._forwarding_fleet import PLAIN_ROUTE
from testing._forwarding_fleet import SHORT_ROUTE
from testing._limited_upstreams import LimitedFleet
from testing._limited_upstreams import run_with_limited_fleet

ALL = ("e0", "e1", "e2")
BOTH_ROUTES = [PLAIN_ROUTE, SHORT_ROUTE]


async def _disturb(
    fleet: LimitedFleet, disturb: Callable[[], Coroutine[Any, Any, None]], *, rate_per_s: float
) -> list[str]:
    """Return the excess of a disturbance in the middle of the time in which limits are named."""
    for upstream in ALL:
        fleet.upstreams.name_limit(upstream, rate_per_s)
    load = asyncio.create_task(fleet.load(per_s=40, seconds=14, routes=BOTH_ROUTES))
    await asyncio.sleep(6)
    await disturb()
    await load
    return fleet.upstreams.find_excess()


# A new decider granted what its predecessor had just granted as well.
@pytest.mark.parametrize("rate_per_s", [0.3, 2.7, 50.0])
def test_limits_hold_when_the_decider_is_killed(rate_per_s: float) -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        async def disturb() -> None:
            await fleet.kill(fleet.get(fleet.fleet.coordinators[0]))

        return await _disturb(fleet, disturb, rate_per_s=rate_per_s)

    assert run_with_limited_fleet(scenario) == []


# Deciders that were killed one after the other each granted a burst.
def test_limits_hold_when_three_deciders_are_killed_one_after_the_other() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        async def disturb() -> None:
            for coordinator in fleet.fleet.coordinators[:3]:
                await fleet.kill(fleet.get(coordinator))
                await asyncio.sleep(0.5)

        return await _disturb(fleet, disturb, rate_per_s=2.0)

    assert run_with_limited_fleet(scenario) == []


# The hosts beside a decider that hung asked others, which knew nothing of the limit.
@pytest.mark.parametrize("rate_per_s", [0.3, 2.7])
def test_limits_hold_when_the_decider_hangs_and_wakes(rate_per_s: float) -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        async def disturb() -> None:
            decider = fleet.get(fleet.fleet.coordinators[0])
            fleet.hosts.remove(decider)
            fleet.fleet.freeze(decider.host)
            await asyncio.sleep(3)
            fleet.fleet.network.resume()
            decider.host.store.set_down(False)
            fleet.hosts.append(decider)

        return await _disturb(fleet, disturb, rate_per_s=rate_per_s)

    assert run_with_limited_fleet(scenario) == []


# Some hosts couldn't reach the decider of the others, so that two granted the whole rate.
def test_limits_hold_when_two_deciders_serve_different_hosts() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        async def disturb() -> None:
            decider = fleet.fleet.coordinators[0].name
            others = [host.name for host in fleet.fleet.hosts if host.name != decider]
            fleet.fleet.network.frozen |= {frozenset((decider, one)) for one in others[:4]}

        return await _disturb(fleet, disturb, rate_per_s=2.0)

    assert run_with_limited_fleet(scenario) == []


def test_limits_hold_when_a_host_is_cut_off_from_all_others() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        async def disturb() -> None:
            fleet.fleet.freeze(fleet.fleet.members[0])

        return await _disturb(fleet, disturb, rate_per_s=2.0)

    assert run_with_limited_fleet(scenario) == []


def test_limits_hold_when_the_store_is_away() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        async def disturb() -> None:
            for host in fleet.fleet.hosts:
                host.store.set_down(True)

        return await _disturb(fleet, disturb, rate_per_s=2.0)

    assert run_with_limited_fleet(scenario) == []


# Hosts that start anew know of no limit until an upstream responds to them.
def test_limits_hold_when_hosts_are_replaced_in_turn() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        async def disturb() -> None:
            for number in range(4):
                await fleet.kill(fleet.hosts[0])
                await fleet.add(f"new-{number}", number % 3)
                await asyncio.sleep(0.5)

        return await _disturb(fleet, disturb, rate_per_s=2.0)

    assert run_with_limited_fleet(scenario) == []


# Messages between a host and the decider come late, and out of step with responses.
def test_limits_hold_when_messages_are_held_back_again_and_again() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        async def disturb() -> None:
            names = [host.name for host in fleet.fleet.hosts]
            for number in range(20):
                pair = frozenset((names[number % 9], names[(number * 4 + 1) % 9]))
                fleet.fleet.network.frozen.add(pair)
                await asyncio.sleep(0.2)
                fleet.fleet.network.resume()

        return await _disturb(fleet, disturb, rate_per_s=2.0)

    assert run_with_limited_fleet(scenario) == []


# A run that continued from a copy was not counted at the engine that holds the copy.
def test_limits_hold_when_an_engine_leaves_and_its_runs_go_on_at_limited_ones() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        await fleet.load(per_s=3, seconds=4, routes=[LONG_ROUTE])
        load = asyncio.create_task(fleet.load(per_s=6, seconds=12, routes=[LONG_ROUTE]))
        await asyncio.sleep(1)
        for upstream in ("e1", "e2"):
            fleet.upstreams.name_limit(upstream, 0.3)
        await asyncio.sleep(4)
        fleet.fleet.set_engine("e0", state="draining")
        await load
        return fleet.upstreams.find_excess()

    assert run_with_limited_fleet(scenario) == []


# A limit was lost when the upstream was warming, or asked for a pause, at the same time.
@pytest.mark.parametrize("is_warming", [True, False])
def test_lowest_limit_counts_when_an_upstream_is_warming_or_paused_too(is_warming: bool) -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        fleet.fleet.write("op/config", "2 60000 10")
        await asyncio.sleep(1)

        async def disturb() -> None:
            if is_warming:
                fleet.fleet.set_engine("e0", warmup_ms=60_000)
                return
            for forwarder in fleet.hosts[:4]:
                forwarder.context.pauses.record(upstream=UpstreamId("e0"), pause_ms=2000)

        return await _disturb(fleet, disturb, rate_per_s=2.0)

    assert run_with_limited_fleet(scenario) == []


# Hosts kept to the first limit when it was lowered, or to the lower one when it was raised.
def test_requests_follow_the_limit_when_it_is_lowered_raised_dropped_and_named_again() -> None:
    async def scenario(fleet: LimitedFleet) -> tuple[list[str], list[float]]:
        shares = []
        for rate_per_s in (20.0, 2.0, 20.0):
            fleet.upstreams.name_limit("e0", rate_per_s)
            began = int(asyncio.get_running_loop().time() * 1000)
            await fleet.load(per_s=150, seconds=5)
            shares.append(fleet.upstreams.used_share("e0", since=began))
        fleet.upstreams.end_limit("e0")
        arrived = len(fleet.upstreams.arrivals["e0"])
        await fleet.load(per_s=150, seconds=2)
        shares.append((len(fleet.upstreams.arrivals["e0"]) - arrived) / 100)
        fleet.upstreams.name_limit("e0", 2.0)
        await fleet.load(per_s=150, seconds=8)
        return fleet.upstreams.find_excess(), shares

    excess, shares = run_with_limited_fleet(scenario)
    assert excess == []
    assert min(shares) > 0.7


def test_every_host_knows_a_limit_soon_when_one_of_them_is_told() -> None:
    async def scenario(fleet: LimitedFleet) -> list[int]:
        fleet.upstreams.name_limit("e0", 2.0)
        counts = []
        while not any(host.context.named_limits.limited for host in fleet.hosts):
            await fleet.call(fleet.hosts[5])
        for _ in range(2):
            counts.append(sum(bool(host.context.named_limits.limited) for host in fleet.hosts))
            await asyncio.sleep(0.05)
        fleet.upstreams.end_limit("e0")
        while any(host.context.named_limits.limited for host in fleet.hosts):
            await fleet.call(fleet.hosts[5])
            await asyncio.sleep(0.05)
        return counts

    assert run_with_limited_fleet(scenario) == [1, 9]


def test_host_that_starts_knows_the_limits_when_it_has_joined() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        fleet.upstreams.name_limit("e0", 2.0)
        await fleet.load(per_s=40, seconds=1)
        added = await fleet.add("new")
        await asyncio.sleep(2)
        return list(added.context.named_limits.limited)

    assert run_with_limited_fleet(scenario) == ["e0"]


# An upstream whose limit was known got nothing any more, so that nobody learnt of its end.
def test_end_of_a_low_limit_is_noticed_when_other_upstreams_take_all_requests() -> None:
    async def scenario(fleet: LimitedFleet) -> list[str]:
        fleet.upstreams.name_limit("e0", 0.001)
        await fleet.load(per_s=20, seconds=5)
        fleet.upstreams.end_limit("e0")
        await fleet.load(per_s=20, seconds=22)
        return [one for host in fleet.hosts for one in host.context.named_limits.limited]

    assert run_with_limited_fleet(scenario) == []


def test_new_upstream_is_not_limited_when_its_predecessor_was() -> None:
    async def scenario(fleet: LimitedFleet) -> int:
        fleet.upstreams.name_limit("e0", 0.3)
        await fleet.load(per_s=40, seconds=2)
        fleet.fleet.remove_engine("e0")
        fleet.fleet.set_engine("e0-next")
        await asyncio.sleep(0.5)
        await fleet.load(per_s=40, seconds=3)
        return len(fleet.upstreams.arrivals["e0-next"])

    assert run_with_limited_fleet(scenario) > 20
