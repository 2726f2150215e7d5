"""Upstreams that warm up get no more than they bear, whichever hosts send it.

The pattern: the upstreams of a failure domain come back together, cold and empty, so that every
host finds them the least loaded. One that gets well above what it bears crashes.
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

from tanagerscale.coordination import WarmupLimit
from tanagerscale.coordination._ledger import GRANT_MS
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding._plain import PlainForward
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from testing._gateway_fakes import FakeAnswer
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeTables
from testing._gateway_fakes import FakeUpstreams
from testing._gateway_fakes import make_bench
from testing._gateway_fakes import make_entry
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
PER_S = 10.0
OVERSHOOT = 1.5
SLACK = 5
BOUND = PER_S * OVERSHOOT + SLACK
"""What an upstream may get in a second; it crashes well above what it bears."""

ENTRY = make_entry("x")


def _limit(*, share: float = 1.0, host: str = "host", per_s: float = PER_S) -> WarmupLimit:
    return WarmupLimit(
        host=HostId(host),
        tables=FakeTables(table=make_table(cold_ms=COLD_MS, cold_per_s=per_s)),
        upstreams=FakeUpstreams(entries=[ENTRY], cold={"x": 60_000}),
        share=lambda: share,
        clock=Clock(),
    )


def _most_in_a_second(times: list[float]) -> int:
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
def test_upstream_gets_no_more_than_it_bears_in_any_second(per_s: float) -> None:
    async def play() -> tuple[int, int]:
        limit, rng = _limit(per_s=per_s), Random(1)
        sent = []
        for _ in range(4000):
            await asyncio.sleep(rng.expovariate(300))
            if limit.take(ENTRY):
                sent.append(asyncio.get_running_loop().time())
        return _most_in_a_second(sent), len(sent)

    most, sent = run_virtually(play())
    assert most <= per_s
    assert sent >= 5


def test_two_deciders_within_a_second_give_less_than_an_upstream_bears_for_a_moment() -> None:
    async def play() -> int:
        first, second = _limit(), _limit(host="other")
        return sum(first.take(ENTRY) for _ in range(50)) + sum(
            second.take(ENTRY) for _ in range(50)
        )

    assert run_virtually(play()) <= PER_S * OVERSHOOT


@pytest.mark.parametrize("hosts", [2, 9, 61, 195, 390])
def test_hosts_that_are_all_alone_send_no_more_together(hosts: int) -> None:
    async def play() -> int:
        limits = [_limit(host=f"host-{number}", share=1 / hosts) for number in range(hosts)]
        return sum(limit.take(ENTRY) for limit in limits for _ in range(50))

    assert 1 <= run_virtually(play()) <= BOUND


def test_upstream_that_is_warm_gets_any_number() -> None:
    async def play() -> bool:
        limit = WarmupLimit(
            host=HostId("host"),
            tables=FakeTables(table=make_table(cold_ms=COLD_MS, cold_per_s=PER_S)),
            upstreams=FakeUpstreams(entries=[ENTRY]),
            share=lambda: 1.0,
            clock=Clock(),
        )
        return all(limit.take(ENTRY) for _ in range(1000)) and not limit.is_warming(ENTRY)

    assert run_virtually(play())


def test_upstream_counts_as_cold_after_its_failure_domain_was_taken_back() -> None:
    async def play() -> list[bool]:
        upstreams = FakeUpstreams(entries=[ENTRY])
        limit = WarmupLimit(
            host=HostId("host"),
            tables=FakeTables(table=make_table(cold_ms=COLD_MS, cold_per_s=PER_S)),
            upstreams=upstreams,
            share=lambda: 1.0,
            clock=Clock(),
        )
        seen = [limit.is_warming(ENTRY)]
        for ended_ms in (0, COLD_MS - 1, COLD_MS):
            upstreams.taken_back["x"] = ended_ms
            seen.append(limit.is_warming(ENTRY))
        return seen

    assert run_virtually(play()) == [False, True, True, False]


def test_entry_that_tells_of_another_cold_time_counts_from_when_it_was_written() -> None:
    async def play() -> list[int]:
        world = RosterHarness()
        world.write("a")
        await asyncio.sleep(100)
        seen = [world.roster.cold_ms(UpstreamId("a"))]
        world.revision += 1
        entry = make_store_entry("a", "ready 800", revision=world.revision)
        found = StoreRange(entries=(entry,), revision=StoreRevision(world.revision))
        world.roster.on_snapshot(found)
        seen.append(world.roster.cold_ms(UpstreamId("a")))
        await asyncio.sleep(0.3)
        # The same entry read once more is no newer word.
        world.roster.on_snapshot(found)
        seen.append(world.roster.cold_ms(UpstreamId("a")))
        await asyncio.sleep(1)
        return [*seen, world.roster.cold_ms(UpstreamId("a"))]

    assert run_virtually(play()) == [0, 800, 500, 0]


def _tables() -> FakeTables:
    return FakeTables(table=make_table(cold_ms=COLD_MS, cold_per_s=PER_S))


def test_plain_requests_share_the_limit_and_the_rest_carries_the_load() -> None:
    async def play() -> Counter[str]:
        bench = make_bench(make_entry("x"), make_entry("y"))
        bench.tables.table = _tables().table
        bench.upstreams.cold["x"] = 60_000
        bench.caller.set("x", *(FakeAnswer() for _ in range(500)))
        for number in range(300):
            request = route_request(make_request(name=f"r{number}"), make_route())
            refusal = await PlainForward(routed=request, parts=bench.parts).serve(FakeResponder())
            assert refusal is None
            await asyncio.sleep(0.003)
        return Counter(bench.caller.asked)

    asked = run_virtually(play())
    assert 1 <= asked["x"] <= PER_S
    assert asked["x"] + asked["y"] == 300


def test_plain_request_is_refused_as_not_run_when_all_upstreams_are_cold_and_have_enough() -> None:
    async def play() -> None:
        bench = make_bench(make_entry("x"))
        bench.tables.table = _tables().table
        bench.upstreams.cold["x"] = 60_000
        refusals = []
        for number in range(30):
            request = route_request(make_request(name=f"r{number}"), make_route())
            forward = PlainForward(routed=request, parts=bench.parts)
            refusals.append(await forward.serve(FakeResponder()))
        refused = [refusal for refusal in refusals if refusal is not None]
        assert len(bench.caller.asked) + len(refused) == 30
        assert {refusal.kind for refusal in refused} == {RefusalKind.OVERLOADED}
        assert all(refusal.retry_after_ms for refusal in refused)

    run_virtually(play())


def _play(scene: Callable[[Fleet], Coroutine[Any, Any, Any]]) -> Any:
    async def play() -> Any:
        fleet = Fleet()
        await fleet.start(count=12, domains=3, engines=1)
        fleet.write(CONFIGURATION_KEY, f"2 {COLD_MS} {PER_S}")
        await asyncio.sleep(1)
        return await scene(fleet)

    return run_virtually(play())


async def _ask_often(fleet: Fleet, *, count: int) -> list[float]:
    """Let all hosts ask for engines at once; return when an engine was given."""
    given: list[float] = []

    async def ask(number: int) -> None:
        host = fleet.hosts[number % len(fleet.hosts)]
        answer = await host.ask(f"r{number}", prompt=10, left_ms=900, is_long=False)
        if answer.kind is PlaceKind.SEND:
            given.append(asyncio.get_running_loop().time())
            host.end(f"r{number}")

    await asyncio.gather(*(ask(number) for number in range(count)))
    return given


def test_generations_of_all_hosts_share_the_limit_of_an_engine() -> None:
    async def scene(fleet: Fleet) -> None:
        fleet.set_engine("e0", cold_ms=10_000)
        await asyncio.sleep(0.1)
        given = await _ask_often(fleet, count=60)
        assert 1 <= _most_in_a_second(given) <= PER_S

    _play(scene)


def test_limit_holds_when_the_decider_is_killed_within_the_second() -> None:
    async def scene(fleet: Fleet) -> None:
        fleet.set_engine("e0", cold_ms=10_000)
        await asyncio.sleep(0.1)
        first = asyncio.create_task(_ask_often(fleet, count=30))
        await asyncio.sleep(0.2)
        await fleet.kill(fleet.coordinators[0])
        second = asyncio.create_task(_ask_often(fleet, count=30))
        given = await first + await second
        assert _most_in_a_second(given) <= BOUND

    _play(scene)


def test_limit_holds_when_no_host_reaches_another() -> None:
    async def scene(fleet: Fleet) -> None:
        fleet.set_engine("e0", cold_ms=60_000)
        await asyncio.sleep(0.1)
        for host in fleet.hosts:
            fleet.freeze(host)
        await asyncio.sleep(10 + GRANT_MS / 1000)
        given = await _ask_often(fleet, count=120)
        assert _most_in_a_second(given) <= BOUND

    _play(scene)


def test_stale_cold_time_is_not_believed_for_ever() -> None:
    async def play() -> bool:
        upstreams = FakeUpstreams(entries=[ENTRY], taken_back={"x": 59_000})
        limit = WarmupLimit(
            host=HostId("host"),
            tables=_tables(),
            upstreams=upstreams,
            share=lambda: 1.0,
            clock=Clock(),
        )
        return limit.is_warming(ENTRY)

    assert not run_virtually(play())
