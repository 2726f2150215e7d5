"""Useful work, retries and refusals before, during and after mass failures, in virtual time.

Run it as ``python -m tools.bench_recovery``; the failures are of engines and of the store.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
import sys

import logbook

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tanagerscale.daemon._host import RETRY_RESERVE
from testing._simulation import RefusedCall
from testing._simulation import SimulatedEngine
from testing._simulation import Simulation
from testing._virtual_time import run_virtually

FAIL_MS = 40_000
BACK_MS = 60_000
END_MS = 120_000
WINDOW_MS = 5_000
RECOVERED = 0.95


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """One run.

    :param load: Part of what all engines can do that callers ask for.
    :param dead: Engines of four that die at once.
    :param hosts: Hosts that the callers are spread over.
    :param max_batch: Most attempts that an engine runs at once.
    :param reserve: Retries that a host saves up.
    """

    load: float
    dead: int
    hosts: int = 3
    max_batch: int = 8
    reserve: float = RETRY_RESERVE


CASES = (
    Case(load=0.4, dead=2),
    Case(load=0.7, dead=2),
    Case(load=0.9, dead=2),
    Case(load=0.7, dead=4),
    Case(load=0.9, dead=2, hosts=1, max_batch=64, reserve=10.0),
    Case(load=0.9, dead=2, hosts=1, max_batch=64, reserve=32.0),
    Case(load=0.9, dead=2, hosts=1, max_batch=64),
    Case(load=0.9, dead=2, hosts=3, max_batch=64, reserve=10.0),
    Case(load=0.9, dead=2, hosts=3, max_batch=64),
)


async def _run(case: Case) -> Simulation:
    world = Simulation(hosts=case.hosts, max_batch=case.max_batch, reserve=case.reserve)
    asking = asyncio.create_task(world.generate_load(END_MS, load=case.load))
    victims: Sequence[SimulatedEngine] = list(world.engines.values())[: case.dead]
    await world.clock.sleep(FAIL_MS)
    for engine in victims:
        engine.crash()
    await world.clock.sleep(BACK_MS - world.clock.now())
    for engine in victims:
        engine.restart()
    await asking
    await world.wait_for_callers()
    return world


def _recovery_ms(world: Simulation, before: float) -> int:
    """Return how long after the return useful work is back for a window."""
    for begin in range(BACK_MS, END_MS - WINDOW_MS, 1_000):
        if world.completed_per_s(begin, begin + WINDOW_MS) >= RECOVERED * before:
            return begin - BACK_MS
    return -1


def _most_together(refused: Sequence[RefusedCall]) -> int:
    """Return the most refused callers that come back within one tenth of a second."""
    moments = Counter(each.retry_at // 100 for each in refused)
    return max(moments.values(), default=0)


def _print(case: Case, world: Simulation) -> None:
    before = world.completed_per_s(20_000, FAIL_MS)
    slowest = max((each.refused_at - each.arrived_at for each in world.refused), default=0)
    kinds = Counter(
        f"{each.problem.kind.value}/{each.problem.execution.value}" for each in world.refused
    )
    print(
        f"{case.hosts:5} {case.max_batch:5} {case.load:4} {case.dead:4} {case.reserve:7.0f} "
        f"{before:8.1f} {world.completed_per_s(FAIL_MS, BACK_MS):8.1f} "
        f"{world.completed_per_s(BACK_MS, END_MS):7.1f} {_recovery_ms(world, before):10} "
        f"{world.started:8} {world.retries:7} {len(world.refused):7} {slowest:10} "
        f"{_most_together(world.refused):8} {world.completed_at[-1] / 1000:6.0f} {dict(kinds)}",
        flush=True,
    )


def main() -> None:
    """Print the table."""
    logbook.NullHandler().push_application()
    print(
        "hosts batch load dead reserve before/s during/s after/s recover_ms requests retries "
        "refused slowest_ms together done_s refusals"
    )
    for case in CASES:
        _print(case, run_virtually(_run(case)))


if __name__ == "__main__":
    main()
