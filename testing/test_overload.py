"""Throughput, retries and refusals during mass failures when all refused callers retry."""

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
from testing._fake_store import FakeBackend
from testing._faulty_store import FaultyStore
from testing._routing_fakes import MODEL
from testing._simulation import RefusedCall
from testing._simulation import SimulatedHost
from testing._simulation import Simulation
from testing._virtual_time import run_virtually
from testing.test_services import SERVICE
from testing.test_services import FailurePoint
from testing.test_services import FakeService
from testing.test_services import make_service_dispatch

FAILURE_MS = 15_000
RECOVERY_MS = 30_000
END_MS = 45_000
MAX_REFUSAL_MS = 1_000
"""The policy sheds a new request within 800 ms, at the next scheduler tick of 100 ms."""

MAX_PROBE_MS = 6_250
"""The gate probes a failed engine again after five seconds plus at most a quarter of that."""

MAX_STORE_REFUSAL_MS = 100
HOUR_MS = 3_600_000
CALLERS = 12
MIN_SIMULTANEOUS_REFUSALS = 12
"""Minimum number of simultaneous refusals whose retries must be spread."""


def _are_retries_spread(refused: Sequence[RefusedCall]) -> bool:
    """Return whether callers that were refused at the same time retry at different times."""
    retries_by_refusal: defaultdict[int, list[int]] = defaultdict(list)
    for each in refused:
        retries_by_refusal[each.refused_at].append(each.retry_at)
    groups = [
        retry_times
        for retry_times in retries_by_refusal.values()
        if len(retry_times) >= MIN_SIMULTANEOUS_REFUSALS
    ]
    assert groups, "No calls were refused at the same time, so the spread cannot be checked."
    return all(max(Counter(group).values()) <= 0.75 * len(group) for group in groups)


async def _lose_engines(simulation: Simulation, *, crashed: int, load: float) -> None:
    load_task = asyncio.create_task(simulation.generate_load(END_MS, load=load))
    failed_engines = list(simulation.engines.values())[:crashed]
    await simulation.clock.sleep(FAILURE_MS)
    for engine in failed_engines:
        engine.crash()
    await simulation.clock.sleep(RECOVERY_MS - FAILURE_MS)
    for engine in failed_engines:
        engine.restart()
    await load_task
    await simulation.wait_for_callers()


def test_throughput_is_maintained_and_recovers_when_half_of_the_engines_crash() -> None:
    async def scenario() -> Simulation:
        simulation = Simulation(hosts=2, engines=4, max_batch=6)
        await _lose_engines(simulation, crashed=2, load=0.9)
        return simulation

    simulation = run_virtually(scenario())
    before = simulation.completed_per_s(5_000, FAILURE_MS)
    # Half of the engines have half of the total capacity.
    assert simulation.completed_per_s(FAILURE_MS + 2_000, RECOVERY_MS) >= 0.45 * simulation.capacity
    assert simulation.completed_per_s(RECOVERY_MS + 2_000, END_MS) >= 0.95 * before
    assert len(simulation.completed_at) == simulation.started_callers
    assert 0 < simulation.retries <= 0.1 * simulation.started
    assert simulation.refused
    for each in simulation.refused:
        # Only requests that never had an engine are refused, and they are refused at once.
        assert each.problem.execution is Execution.NOT_EXECUTED
        assert each.problem.retry_after_ms is not None
        assert each.refused_at - each.arrived_at <= MAX_REFUSAL_MS


def test_retries_of_callers_are_spread_when_all_engines_were_lost() -> None:
    async def scenario() -> Simulation:
        simulation = Simulation(hosts=2, engines=2, max_batch=16)
        await _lose_engines(simulation, crashed=2, load=0.9)
        return simulation

    simulation = run_virtually(scenario())
    before = simulation.completed_per_s(5_000, FAILURE_MS)
    assert simulation.completed_per_s(RECOVERY_MS + 5_000, END_MS) >= 0.9 * before
    assert len(simulation.completed_at) == simulation.started_callers
    assert simulation.retries <= 0.1 * simulation.started
    assert all(each.problem.retry_after_ms for each in simulation.refused)
    no_upstream = [
        each for each in simulation.refused if each.problem.kind is ProblemKind.NO_UPSTREAM
    ]
    assert _are_retries_spread(no_upstream)
    # Requests that arrive after the loss are refused at once, or as soon as a probe has failed.
    assert max(each.refused_at - each.arrived_at for each in no_upstream) <= MAX_PROBE_MS


def test_retries_of_bookings_are_spread_when_the_store_was_down_for_an_hour() -> None:
    service, refused, booked = run_virtually(_book_through_an_outage())
    assert service.executions == Counter({f"{number}".encode(): 1 for number in range(CALLERS)})
    assert booked == CALLERS
    for each in refused:
        assert each.problem.execution is Execution.NOT_EXECUTED
        assert each.problem.retry_after_ms is not None
        assert each.refused_at - each.arrived_at <= MAX_STORE_REFUSAL_MS
    assert _are_retries_spread(refused)


async def _book_through_an_outage() -> tuple[FakeService, list[RefusedCall], int]:
    clock = Clock()
    service = FakeService()
    store = FaultyStore(backend=FakeBackend())
    dispatch = make_service_dispatch(service, store)
    refused: list[RefusedCall] = []

    async def book(number: int) -> None:
        call = ServiceCall(method="POST", path="/bookings", headers=(), body=f"{number}".encode())
        while True:
            arrived_at = clock.now()
            result = await dispatch.call(
                service=SERVICE, account=ClientAccountId("north"), key=f"key-{number}", call=call
            )
            if isinstance(result, Success):
                return
            refused.append(
                RefusedCall(problem=result.failure(), arrived_at=arrived_at, refused_at=clock.now())
            )
            await clock.sleep(refused[-1].retry_at - clock.now())

    store.fake.set_down(True)
    asyncio.get_running_loop().call_later(HOUR_MS / 1000, store.fake.set_down, False)
    callers = [asyncio.create_task(book(number)) for number in range(CALLERS)]
    await asyncio.gather(*callers)
    return service, refused, len(callers)


def test_retries_are_limited_to_a_tenth_of_the_calls_when_an_upstream_keeps_failing() -> None:
    calls = 1_000
    reserve = 10

    async def scenario() -> FakeService:
        service = FakeService(
            failure_points=[FailurePoint.BEFORE_EXECUTION, FailurePoint.NONE, FailurePoint.NONE]
            * calls
        )
        dispatch = make_service_dispatch(service, FaultyStore(backend=FakeBackend()))
        call = ServiceCall(method="GET", path="/rounds", headers=(), body=b"")
        for _ in range(calls):
            await dispatch.call(
                service=SERVICE, account=ClientAccountId("north"), key="", call=call
            )
        return service

    retries = len(run_virtually(scenario()).sent_to) - calls
    assert 0.09 * calls <= retries <= 0.1 * calls + reserve


def test_retries_of_callers_are_spread_when_a_full_host_refuses_them() -> None:
    gate = RequestAdmission(limit=0, rng=random.Random(4))
    problems = [gate.admit(account=ClientAccountId("north")) for _ in range(CALLERS)]
    refused = [
        RefusedCall(problem=p, arrived_at=Millis(0), refused_at=Millis(0)) for p in problems if p
    ]
    assert len(refused) == CALLERS
    assert _are_retries_spread(refused)


@pytest.mark.parametrize("iterations", range(5))
def test_wait_change_propagates_cancellation_when_a_change_arrives_concurrently(
    iterations: int,
) -> None:
    # asyncio.wait_for in Python 3.11 can swallow a cancellation that races with the event.
    async def scenario() -> bool:
        simulation = Simulation(hosts=1, engines=1, max_batch=1)
        crashes = simulation.hosts[0].context.crash_watch
        waiting = asyncio.create_task(crashes.wait_change())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        crashes.on_engine_crash(engine=next(iter(simulation.engines)))
        for _ in range(iterations):
            await asyncio.sleep(0)
        cancel_requested = waiting.cancel()
        await asyncio.wait({waiting})
        return waiting.cancelled() or not cancel_requested

    assert run_virtually(scenario())


def test_runs_of_a_peer_are_removed_when_the_connection_to_it_is_renewed() -> None:
    # Guards against exclusions that persist when the announcement of a run's end is lost.
    async def scenario() -> bool:
        simulation = Simulation(hosts=2, engines=3, max_batch=1)
        host, peer = simulation.hosts
        verdict = Verdict(
            fingerprint="plan",
            crashes=["engine-0@0@5"],
            expires_wall_ms=simulation.clock.wall() + HOUR_MS,
        )
        verdict_with_run = replace(verdict, engine="engine-1", settled=True)
        peer.network.broadcast(message=verdict_with_run)
        await asyncio.sleep(1)
        assert is_excluded(host)
        host.network.joined.on_next(host.network.live.value[0])
        return not is_excluded(host)

    def is_excluded(host: SimulatedHost) -> bool:
        excluded = host.context.crash_watch.excluded_engines(fingerprint="plan", model=MODEL)
        return "engine-2" in excluded

    assert run_virtually(scenario())
