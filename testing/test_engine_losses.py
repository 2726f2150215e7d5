"""Calls end within a time limit when engines crash at random or because of requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

import pytest

from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.delivery import BufferedSink
from tanagerscale.dispatch import Generation
from testing._routing_fakes import MODEL
from testing._simulation import CRASHING_PREFIX
from testing._simulation import SimulatedHost
from testing._simulation import Simulation
from testing._simulation import generation_request
from testing._virtual_time import run_virtually

CALL_TIMEOUT_S = 60
"""Virtual seconds; the same limit as ``REQUEST_TIMEOUT`` in the tests with real processes."""

SETTLE_S = 30
"""Time to wait after the last call, in virtual seconds; longer than the lease of a reservation."""

SHED_RETRY_SEEDS = (192, 209, 229)
"""Seeds that fail when a retry can be shed."""

CALLS_PER_S = 8
CRASHING_SHARE = 0.2
RETRY_RESERVE = 1000
"""Large enough that no call is refused because the retry budget is used up."""

EPOCH_MS = 1_700_000_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """Random parameters of one simulation.

    :param fingerprints: Number of distinct requests that do not crash engines.
    :param crashing_fingerprints: Number of distinct requests that crash engines.
    :param engine_crashes: Number of times a randomly chosen engine is crashed.
    :param max_restart_delay_s: Maximum delay before an engine is restarted; ``None`` for never.
    """

    hosts: int
    engines: int
    max_batch: int
    fingerprints: int
    crashing_fingerprints: int
    calls: int
    engine_crashes: int
    max_restart_delay_s: int | None


def _random_scenario(rng: Random) -> Scenario:
    return Scenario(
        hosts=rng.choice([2, 3, 4]),
        engines=rng.choice([2, 3, 4, 6]),
        max_batch=rng.choice([1, 2, 4]),
        fingerprints=rng.choice([2, 4, 8]),
        crashing_fingerprints=rng.choice([0, 1, 1, 2]),
        calls=rng.choice([20, 40]),
        engine_crashes=rng.randrange(4),
        max_restart_delay_s=rng.choice([None, 2, 8, 25]),
    )


async def _crash_engines(simulation: Simulation, scenario: Scenario, rng: Random) -> None:
    for _ in range(scenario.engine_crashes):
        await asyncio.sleep(rng.random() * 6)
        rng.choice(list(simulation.engines.values())).crash()


async def _restart_engines(simulation: Simulation, max_delay_s: int, rng: Random) -> None:
    while True:
        await asyncio.sleep(0.5)
        for engine in simulation.engines.values():
            if engine.crashed:
                await asyncio.sleep(rng.random() * max_delay_s)
                engine.restart()


async def _call(host: SimulatedHost, fingerprint: str, number: int) -> None:
    request = generation_request(fingerprint, f"{fingerprint}.{number}")
    generation = Generation(request=request, sink=BufferedSink(), context=host.context)
    async with asyncio.timeout(CALL_TIMEOUT_S):
        await generation.run()


def _random_fingerprint(scenario: Scenario, rng: Random) -> str:
    if scenario.crashing_fingerprints and rng.random() < CRASHING_SHARE:
        return f"{CRASHING_PREFIX}-{rng.randrange(scenario.crashing_fingerprints)}"
    return f"plan-{rng.randrange(scenario.fingerprints)}"


async def _run_scenario(seed: int) -> None:
    rng = Random(seed)
    scenario = _random_scenario(rng)
    simulation = Simulation(
        hosts=scenario.hosts,
        engines=scenario.engines,
        max_batch=scenario.max_batch,
        reserve=RETRY_RESERVE,
        seed=seed,
        clock=Clock(virtual_epoch_ms=EPOCH_MS),
    )
    crash_task = asyncio.create_task(_crash_engines(simulation, scenario, rng))
    if scenario.max_restart_delay_s is not None:
        restarting = asyncio.create_task(
            _restart_engines(simulation, scenario.max_restart_delay_s, rng)
        )
    calls = []
    for number in range(scenario.calls):
        await asyncio.sleep(rng.expovariate(CALLS_PER_S))
        host = rng.choice(simulation.hosts)
        calls.append(asyncio.create_task(_call(host, _random_fingerprint(scenario, rng), number)))
    await asyncio.gather(crash_task, *calls)
    if scenario.max_restart_delay_s is not None:
        restarting.cancel()
    await asyncio.sleep(SETTLE_S)
    for host in simulation.hosts:
        assert host.router.held == 0
        assert host.router.reservations == 0
        assert not any(_excluded_engines(host, name) for name in _fingerprints(scenario))


def _fingerprints(scenario: Scenario) -> list[str]:
    crashing = [f"{CRASHING_PREFIX}-{number}" for number in range(scenario.crashing_fingerprints)]
    return [f"plan-{number}" for number in range(scenario.fingerprints)] + crashing


def _excluded_engines(host: SimulatedHost, fingerprint: str) -> frozenset[UpstreamId]:
    """Return the engines that a host still excludes for a request, unless it is quarantined."""
    crashes = host.context.crash_watch
    if crashes.check(fingerprint=fingerprint) is not None:
        return frozenset()
    return crashes.excluded_engines(fingerprint=fingerprint, model=MODEL)


@pytest.mark.parametrize("seed", [*range(40), *SHED_RETRY_SEEDS])
def test_every_call_ends_and_leaves_no_placement_when_engines_crash(seed: int) -> None:
    # Guards against stalled calls and leaked placements or exclusions when engines fail.
    run_virtually(_run_scenario(seed))
