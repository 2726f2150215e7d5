"""Useful work, retries and refusals when much fails at once and all callers come back."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import defaultdict
from collections.abc import Sequence
import random

from msgspec.structs import replace
import pytest
from returns.result import Success

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import Millis
from tanagerscale.core import ProblemKind
from tanagerscale.daemon._admission import RequestAdmission
from tanagerscale.generated.messages import Verdict
from tanagerscale.upstreams import ServiceCall
from testing._crowded import CrowdedHost
from testing._crowded import CrowdedWorld
from testing._crowded import Refused
from testing._fake_store import FakeBackend
from testing._faulty_store import FaultyStore
from testing._routing_fakes import MODEL
from testing._virtual_time import run_virtually
from testing.test_services import SERVICE
from testing.test_services import FakeService
from testing.test_services import Point
from testing.test_services import service_dispatch

FAIL_MS = 15_000
BACK_MS = 30_000
END_MS = 45_000
NEWCOMER_BOUND_MS = 1_000
"""The policy refuses a newcomer within 800 ms, at its next tick of 100 ms."""

PROBE_BOUND_MS = 6_250
"""The gate lets a broken engine rest for five seconds and a quarter more at most."""

STORE_BOUND_MS = 100
HOUR_MS = 3_600_000
CALLERS = 12
CROWD = 12
"""Refusals of one moment that make a crowd."""


def _spread_well(refused: Sequence[Refused]) -> bool:
    """Tell whether no crowd that was refused together is told to return together."""
    moments: defaultdict[int, list[int]] = defaultdict(list)
    for each in refused:
        moments[each.told].append(each.returns)
    crowds = [returns for returns in moments.values() if len(returns) >= CROWD]
    assert crowds, "Nobody was refused together, so this proves nothing."
    return all(max(Counter(crowd).values()) <= 0.75 * len(crowd) for crowd in crowds)


async def _lose_engines(world: CrowdedWorld, *, dead: int, load: float) -> None:
    asking = asyncio.create_task(world.ask_until(END_MS, load=load))
    victims = list(world.engines.values())[:dead]
    await world.clock.sleep(FAIL_MS)
    for engine in victims:
        engine.die()
    await world.clock.sleep(BACK_MS - FAIL_MS)
    for engine in victims:
        engine.revive()
    await asking
    await world.finish()


def test_work_goes_on_and_recovers_when_half_of_the_engines_die_at_once() -> None:
    async def run() -> CrowdedWorld:
        world = CrowdedWorld(hosts=2, engines=4, max_batch=6)
        await _lose_engines(world, dead=2, load=0.9)
        return world

    world = run_virtually(run())
    before = world.useful_per_s(5_000, FAIL_MS)
    # Half of the engines do half of what they all can do.
    assert world.useful_per_s(FAIL_MS + 2_000, BACK_MS) >= 0.45 * world.capacity
    assert world.useful_per_s(BACK_MS + 2_000, END_MS) >= 0.95 * before
    assert len(world.done) == world.asked
    assert 0 < world.retries <= 0.1 * world.started
    assert world.refused
    for each in world.refused:
        # Whoever had an engine is not refused; whoever had none is told at once.
        assert each.problem.execution is Execution.NOT_EXECUTED
        assert each.problem.retry_after_ms is not None
        assert each.told - each.came <= NEWCOMER_BOUND_MS


def test_callers_come_back_spread_when_all_engines_were_lost() -> None:
    async def run() -> CrowdedWorld:
        world = CrowdedWorld(hosts=2, engines=2, max_batch=16)
        await _lose_engines(world, dead=2, load=0.9)
        return world

    world = run_virtually(run())
    before = world.useful_per_s(5_000, FAIL_MS)
    assert world.useful_per_s(BACK_MS + 5_000, END_MS) >= 0.9 * before
    assert len(world.done) == world.asked
    assert world.retries <= 0.1 * world.started
    assert all(each.problem.retry_after_ms for each in world.refused)
    no_upstream = [each for each in world.refused if each.problem.kind is ProblemKind.NO_UPSTREAM]
    assert _spread_well(no_upstream)
    # Those who came after the loss are told at once, or as soon as a probe has failed.
    assert max(each.told - each.came for each in no_upstream) <= PROBE_BOUND_MS


def test_bookings_come_back_spread_when_the_store_was_down_for_an_hour() -> None:
    service, refused, booked = run_virtually(_book_through_an_outage())
    assert service.executions == Counter({f"{number}".encode(): 1 for number in range(CALLERS)})
    assert booked == CALLERS
    for each in refused:
        assert each.problem.execution is Execution.NOT_EXECUTED
        assert each.problem.retry_after_ms is not None
        assert each.told - each.came <= STORE_BOUND_MS
    assert _spread_well(refused)


async def _book_through_an_outage() -> tuple[FakeService, list[Refused], int]:
    clock = Clock()
    service = FakeService()
    store = FaultyStore(backend=FakeBackend())
    dispatch = service_dispatch(service, store)
    refused: list[Refused] = []

    async def book(number: int) -> None:
        call = ServiceCall(method="POST", path="/bookings", headers=(), body=f"{number}".encode())
        while True:
            came = clock.now()
            result = await dispatch.call(
                service=SERVICE, account=ClientAccountId("north"), key=f"key-{number}", call=call
            )
            if isinstance(result, Success):
                return
            refused.append(Refused(problem=result.failure(), came=came, told=clock.now()))
            await clock.sleep(refused[-1].returns - clock.now())

    store.fake.set_down(True)
    asyncio.get_running_loop().call_later(HOUR_MS / 1000, store.fake.set_down, False)
    callers = [asyncio.create_task(book(number)) for number in range(CALLERS)]
    await asyncio.gather(*callers)
    return service, refused, len(callers)


def test_retries_stay_at_a_tenth_of_the_calls_when_an_upstream_keeps_failing() -> None:
    calls = 1_000
    reserve = 10

    async def run() -> FakeService:
        service = FakeService(points=[Point.BEFORE_EXECUTION, Point.NONE, Point.NONE] * calls)
        dispatch = service_dispatch(service, FaultyStore(backend=FakeBackend()))
        call = ServiceCall(method="GET", path="/rounds", headers=(), body=b"")
        for _ in range(calls):
            await dispatch.call(
                service=SERVICE, account=ClientAccountId("north"), key="", call=call
            )
        return service

    retries = len(run_virtually(run()).sent_to) - calls
    assert 0.09 * calls <= retries <= 0.1 * calls + reserve


def test_callers_come_back_spread_when_a_full_host_refuses_them() -> None:
    door = RequestAdmission(limit=0, rng=random.Random(4))
    problems = [door.admit(account=ClientAccountId("north")) for _ in range(CALLERS)]
    refused = [Refused(problem=p, came=Millis(0), told=Millis(0)) for p in problems if p]
    assert len(refused) == CALLERS
    assert _spread_well(refused)


@pytest.mark.parametrize("iterations", range(5))
def test_wait_change_propagates_cancellation_when_a_change_arrives_concurrently(
    iterations: int,
) -> None:
    # asyncio.wait_for in Python 3.11 can swallow a cancellation that races with the event.
    async def run() -> bool:
        world = CrowdedWorld(hosts=1, engines=1, max_batch=1)
        crashes = world.hosts[0].parts.crashes
        waiting = asyncio.create_task(crashes.wait_change())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        crashes.on_engine_crash(engine=next(iter(world.engines)))
        for _ in range(iterations):
            await asyncio.sleep(0)
        cancel_requested = waiting.cancel()
        await asyncio.wait({waiting})
        return waiting.cancelled() or not cancel_requested

    assert run_virtually(run())


def test_runs_of_a_peer_are_forgotten_when_the_connection_to_it_is_renewed() -> None:
    # Guards against exclusions that persist when the announcement of a run's end is lost.
    async def run() -> bool:
        world = CrowdedWorld(hosts=2, engines=3, max_batch=1)
        host, peer = world.hosts
        verdict = Verdict(
            fingerprint="plan",
            crashes=["engine-0@0@5"],
            expires_wall_ms=world.clock.wall() + HOUR_MS,
        )
        verdict_with_run = replace(verdict, engine="engine-1", settled=True)
        peer.network.broadcast(message=verdict_with_run)
        await asyncio.sleep(1)
        assert is_excluded(host)
        host.network.joined.on_next(host.network.live.value[0])
        return not is_excluded(host)

    def is_excluded(host: CrowdedHost) -> bool:
        excluded = host.parts.crashes.excluded_engines(fingerprint="plan", model=MODEL)
        return "engine-2" in excluded

    assert run_virtually(run())
