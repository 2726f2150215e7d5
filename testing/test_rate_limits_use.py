"""What callers get of upstreams with rate limits."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

import pytest

from tanagerscale.forwarding import RefusalKind
from testing._forwarding_fleet import LONG_ROUTE
from testing._forwarding_fleet import PLAIN_ROUTE
from testing._forwarding_fleet import SHORT_ROUTE
from testing._forwarding_fleet import now_ms
from testing._limited_upstreams import SERVICE_MS
from testing._limited_upstreams import LimitedFleet
from testing._limited_upstreams import run_with_limited_fleet

ALL = ("e0", "e1", "e2")
MIN_USED_SHARE = 0.9
"""Part of a rate that is used while more requests arrive than it allows."""


async def _name_limits(fleet: LimitedFleet, rate_per_s: float, *, upstreams: Any = ALL) -> None:
    """Let upstreams name a limit, and wait until all hosts know it."""
    for upstream in upstreams:
        fleet.upstreams.name_limit(upstream, rate_per_s)
    await fleet.load(per_s=40, seconds=2, seed=9)
    fleet.outcomes.clear()


# Hosts that send nothing keep the rule and serve nobody.
@pytest.mark.parametrize("rate_per_s", [2.0, 2.7, 10.0])
def test_rates_are_used_when_more_requests_arrive_than_they_allow(rate_per_s: float) -> None:
    async def scenario(fleet: LimitedFleet) -> list[float]:
        await _name_limits(fleet, rate_per_s)
        began = now_ms()
        await fleet.load(per_s=6 * rate_per_s + 10, seconds=12)
        return [fleet.upstreams.used_share(upstream, since=began) for upstream in ALL]

    assert min(run_with_limited_fleet(scenario)) >= MIN_USED_SHARE


def test_no_request_is_refused_or_late_when_other_upstreams_have_no_limit() -> None:
    async def scenario(fleet: LimitedFleet) -> Counter[bool]:
        await _name_limits(fleet, 2.0, upstreams=["e0"])
        await fleet.load(per_s=40, seconds=5)
        return Counter(
            one.refusal is None and one.took_ms <= PLAIN_ROUTE.target_ms for one in fleet.outcomes
        )

    assert set(run_with_limited_fleet(scenario)) == {True}


def test_request_waits_for_its_turn_when_it_is_served_before_its_deadline() -> None:
    async def scenario(fleet: LimitedFleet) -> list[tuple[bool, int]]:
        await _name_limits(fleet, 2.0)
        await asyncio.sleep(3)
        calls = [fleet.call(fleet.hosts[number]) for number in range(6)]
        outcomes = await asyncio.gather(*calls)
        return [(one.refusal is None, one.took_ms) for one in outcomes]

    outcomes = run_with_limited_fleet(scenario)
    assert all(is_served for is_served, _ in outcomes)
    assert max(took_ms for _, took_ms in outcomes) <= 500 + SERVICE_MS + 20


def test_request_is_refused_at_once_with_the_time_of_the_rate_when_it_cant_be_served() -> None:
    async def scenario(fleet: LimitedFleet) -> list[Any]:
        await _name_limits(fleet, 0.3)
        calls = [fleet.call(fleet.hosts[number % 9]) for number in range(30)]
        outcomes = await asyncio.gather(*calls)
        return [one for one in outcomes if one.refusal is not None]

    refused = run_with_limited_fleet(scenario)
    assert len(refused) >= 27
    assert max(one.took_ms for one in refused) < 100
    assert {one.refusal.kind for one in refused} == {RefusalKind.OVERLOADED}
    assert all(one.refusal.retry_after_ms >= 500 for one in refused)


def test_generation_is_refused_at_once_when_the_rate_cant_serve_it_in_time() -> None:
    async def scenario(fleet: LimitedFleet) -> list[Any]:
        await _name_limits(fleet, 0.3)
        calls = [fleet.call(fleet.hosts[number % 9], SHORT_ROUTE) for number in range(30)]
        outcomes = await asyncio.gather(*calls)
        return [one for one in outcomes if one.refusal is not None]

    refused = run_with_limited_fleet(scenario)
    assert len(refused) >= 20
    assert max(one.took_ms for one in refused) < 100
    assert all(one.refusal.retry_after_ms >= 3000 for one in refused)


# Plain requests reserved the whole rate of an upstream, so that streams found none left.
@pytest.mark.parametrize("other", [SHORT_ROUTE, LONG_ROUTE], ids=["short", "long"])
def test_plain_requests_and_streams_are_both_served_when_they_share_limited_upstreams(
    other: Any,
) -> None:
    async def scenario(fleet: LimitedFleet) -> list[int]:
        await _name_limits(fleet, 2.0)
        plain = asyncio.create_task(fleet.load(per_s=40, seconds=8))
        await fleet.load(per_s=20, seconds=8, seed=2, routes=[other])
        await plain
        served = [one for one in fleet.outcomes if one.refusal is None]
        streams = sum(one.is_stream for one in served)
        return [streams, len(served) - streams]

    assert min(run_with_limited_fleet(scenario)) >= 15


# The cost of a limit grew with the hosts times their requests.
def test_messages_about_a_limit_are_bounded_when_many_hosts_have_many_requests() -> None:
    async def scenario(fleet: LimitedFleet) -> float:
        await _name_limits(fleet, 2.0, upstreams=["e0"])
        before, began = fleet.fleet.received, now_ms()
        await fleet.load(per_s=600, seconds=3)
        return (fleet.fleet.received - before) / (now_ms() - began) * 1000

    assert run_with_limited_fleet(scenario, hosts=30) <= 2 * 200 + 100
