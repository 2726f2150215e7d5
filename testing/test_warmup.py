"""Warming upstreams get requests at a limited rate, regardless of which hosts send them.

The upstreams of a failure domain become available together, cold and empty, so every host ranks
them as least loaded. An upstream that gets well above its rate crashes.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import deque
from collections.abc import Callable
from collections.abc import Coroutine
from random import Random
from typing import Any

import pytest

from tanagerscale.coordination import RateLimits
from tanagerscale.coordination import WarmupRates
from tanagerscale.coordination._ledger import GRANT_TTL_MS
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding._plain import PlainForwarder
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.generated.messages import RequestClass
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import FakeTables
from testing._gateway_fakes import FakeUpstreams
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_table
from testing._gateway_fakes import route_request
from testing._listed_upstreams import make_store_entry
from testing._many_hosts import CONFIGURATION_KEY
from testing._many_hosts import Fleet
from testing._virtual_time import run_virtually
from testing.test_roster import RosterHarness

COLD_MS = 1000
RATE_PER_S = 10.0
BURST_FACTOR = 1.5
BURST_SLACK = 5
MAX_IN_A_SECOND = RATE_PER_S * BURST_FACTOR + BURST_SLACK
"""Maximum number of requests to an upstream in a second; it crashes well above its rate."""

ENTRY = make_entry("x")


def _make_limit(
    *,
    share: float = 1.0,
    host: str = "host",
    per_s: float = RATE_PER_S,
    upstreams: FakeUpstreams | None = None,
) -> RateLimits:
    tables = FakeTables(table=make_table(warmup_ms=COLD_MS, warmup_requests_per_s=per_s))
    if upstreams is None:
        upstreams = FakeUpstreams(entries=[ENTRY], cold={"x": 60_000})
    return RateLimits(
        host=HostId(host),
        sources=[WarmupRates(tables=tables, upstreams=upstreams)],
        share=lambda: share,
        clock=Clock(),
    )


def _try_acquire(limit: RateLimits) -> bool:
    return limit.acquire([ENTRY.upstream], RequestClass.PLAIN).may_send


def _max_in_a_second(times: list[float]) -> int:
    """Return the largest number of requests in any second."""
    most = 0
    window: deque[float] = deque()
    for time in sorted(times):
        window.append(time)
        while window[0] <= time - 1:
            window.popleft()
        most = max(most, len(window))
    return most


@pytest.mark.parametrize("per_s", [1.0, 4.0, 10.0, 36.0])
def test_cold_upstream_gets_at_most_its_rate_in_any_second(per_s: float) -> None:
    async def scenario() -> tuple[int, int]:
        limit, rng = _make_limit(per_s=per_s), Random(1)
        sent = []
        for _ in range(4000):
            await asyncio.sleep(rng.expovariate(300))
            if _try_acquire(limit):
                sent.append(asyncio.get_running_loop().time())
        return _max_in_a_second(sent), len(sent)

    most, sent = run_virtually(scenario())
    assert most <= per_s
    assert sent >= 5


def test_two_deciders_in_one_second_stay_within_the_burst_limit() -> None:
    async def scenario() -> int:
        first, second = _make_limit(), _make_limit(host="other")
        return sum(_try_acquire(first) for _ in range(50)) + sum(
            _try_acquire(second) for _ in range(50)
        )

    assert run_virtually(scenario()) <= RATE_PER_S * BURST_FACTOR


@pytest.mark.parametrize("hosts", [2, 9, 61, 195, 390])
def test_isolated_hosts_together_stay_within_the_limit(hosts: int) -> None:
    async def scenario() -> int:
        limits = [_make_limit(host=f"host-{number}", share=1 / hosts) for number in range(hosts)]
        return sum(_try_acquire(limit) for limit in limits for _ in range(50))

    assert 1 <= run_virtually(scenario()) <= MAX_IN_A_SECOND


def test_warm_upstream_is_not_limited() -> None:
    async def scenario() -> bool:
        limit = _make_limit(upstreams=FakeUpstreams(entries=[ENTRY]))
        return all(_try_acquire(limit) for _ in range(1000)) and not limit.is_limited(
            ENTRY.upstream
        )

    assert run_virtually(scenario())


def test_upstream_counts_as_cold_after_an_evacuation_ends() -> None:
    async def scenario() -> list[bool]:
        upstreams = FakeUpstreams(entries=[ENTRY])
        limit = _make_limit(upstreams=upstreams)
        seen = [limit.is_limited(ENTRY.upstream)]
        for ended_ms in (0, COLD_MS - 1, COLD_MS):
            upstreams.taken_back["x"] = ended_ms
            seen.append(limit.is_limited(ENTRY.upstream))
        return seen

    assert run_virtually(scenario()) == [False, True, True, False]


def test_new_cold_time_in_an_entry_counts_from_its_revision() -> None:
    async def scenario() -> list[int]:
        harness = RosterHarness()
        harness.write("a")
        await asyncio.sleep(100)
        seen = [harness.roster.warmup_ms(UpstreamId("a"))]
        harness.revision += 1
        entry = make_store_entry("a", "ready 800", revision=harness.revision)
        found = StoreRange(entries=(entry,), revision=StoreRevision(harness.revision))
        harness.roster.on_snapshot(found)
        seen.append(harness.roster.warmup_ms(UpstreamId("a")))
        await asyncio.sleep(0.3)
        # Reading the same entry again does not restart its cold time.
        harness.roster.on_snapshot(found)
        seen.append(harness.roster.warmup_ms(UpstreamId("a")))
        await asyncio.sleep(1)
        return [*seen, harness.roster.warmup_ms(UpstreamId("a"))]

    assert run_virtually(scenario()) == [0, 800, 500, 0]


def _make_tables() -> FakeTables:
    return FakeTables(table=make_table(warmup_ms=COLD_MS, warmup_requests_per_s=RATE_PER_S))


def test_plain_requests_above_the_limit_go_to_warm_upstreams() -> None:
    async def scenario() -> Counter[str]:
        fakes = make_gateway_fakes(make_entry("x"), make_entry("y"))
        fakes.tables.table = _make_tables().table
        fakes.upstreams.cold["x"] = 60_000
        fakes.upstream_client.set("x", *(FakeResponse() for _ in range(500)))
        for number in range(300):
            request = route_request(make_request(name=f"r{number}"), make_route())
            refusal = await PlainForwarder(routed=request, context=fakes.context).serve(
                FakeResponder()
            )
            assert refusal is None
            await asyncio.sleep(0.003)
        return Counter(fakes.upstream_client.asked)

    asked = run_virtually(scenario())
    assert 1 <= asked["x"] <= RATE_PER_S
    assert asked["x"] + asked["y"] == 300


def test_plain_request_is_refused_as_not_executed_when_all_upstreams_are_at_the_limit() -> None:
    async def scenario() -> None:
        fakes = make_gateway_fakes(make_entry("x"))
        fakes.tables.table = _make_tables().table
        fakes.upstreams.cold["x"] = 60_000
        forwarders = [
            PlainForwarder(
                routed=route_request(make_request(name=f"r{number}"), make_route()),
                context=fakes.context,
            )
            for number in range(30)
        ]
        refusals = await asyncio.gather(*(one.serve(FakeResponder()) for one in forwarders))
        refused = [refusal for refusal in refusals if refusal is not None]
        assert len(fakes.upstream_client.asked) + len(refused) == 30
        assert {refusal.kind for refusal in refused} == {RefusalKind.OVERLOADED}
        assert all(refusal.retry_after_ms for refusal in refused)

    run_virtually(scenario())


def _run_with_fleet(scenario: Callable[[Fleet], Coroutine[Any, Any, Any]]) -> Any:
    async def run() -> Any:
        fleet = Fleet()
        await fleet.start(count=12, domains=3, engines=1)
        fleet.write(CONFIGURATION_KEY, f"2 {COLD_MS} {RATE_PER_S}")
        await asyncio.sleep(1)
        return await scenario(fleet)

    return run_virtually(run())


async def _ask_concurrently(fleet: Fleet, *, count: int) -> list[float]:
    """Ask for engines from all hosts at once; return when each placement was granted."""
    granted: list[float] = []

    async def ask(number: int) -> None:
        host = fleet.hosts[number % len(fleet.hosts)]
        answer = await host.ask(f"r{number}", prompt=10, left_ms=900, is_long=False)
        if answer.kind is PlaceKind.SEND:
            granted.append(asyncio.get_running_loop().time())
            host.end(f"r{number}")

    await asyncio.gather(*(ask(number) for number in range(count)))
    return granted


def test_generations_of_all_hosts_share_the_limit_of_a_cold_engine() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.set_engine("e0", warmup_ms=10_000)
        await asyncio.sleep(0.1)
        granted = await _ask_concurrently(fleet, count=60)
        assert 1 <= _max_in_a_second(granted) <= RATE_PER_S

    _run_with_fleet(scenario)


def test_limit_holds_when_the_decider_is_killed_within_the_second() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.set_engine("e0", warmup_ms=10_000)
        await asyncio.sleep(0.1)
        first = asyncio.create_task(_ask_concurrently(fleet, count=30))
        await asyncio.sleep(0.2)
        await fleet.kill(fleet.coordinators[0])
        second = asyncio.create_task(_ask_concurrently(fleet, count=30))
        granted = await first + await second
        assert _max_in_a_second(granted) <= MAX_IN_A_SECOND

    _run_with_fleet(scenario)


def test_limit_holds_when_all_hosts_are_isolated() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.set_engine("e0", warmup_ms=60_000)
        await asyncio.sleep(0.1)
        for host in fleet.hosts:
            fleet.freeze(host)
        await asyncio.sleep(10 + GRANT_TTL_MS / 1000)
        granted = await _ask_concurrently(fleet, count=120)
        assert _max_in_a_second(granted) <= MAX_IN_A_SECOND

    _run_with_fleet(scenario)


def test_upstream_is_warm_long_after_an_evacuation_ends() -> None:
    async def scenario() -> bool:
        upstreams = FakeUpstreams(entries=[ENTRY], taken_back={"x": 59_000})
        limit = _make_limit(upstreams=upstreams)
        return limit.is_limited(ENTRY.upstream)

    assert not run_virtually(scenario())
