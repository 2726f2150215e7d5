"""Measure goodput, retries and refusals before, during and after mass failures, in virtual time.

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

CRASH_MS = 40_000
RESTART_MS = 60_000
END_MS = 120_000
WINDOW_MS = 5_000
RECOVERED_FRACTION = 0.95


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """Parameters of one run.

    :param load: Offered load as a fraction of the total engine capacity.
    :param crashed_engines: Number of the four engines that crash at the same time.
    :param hosts: Number of hosts that the callers are distributed over.
    :param max_batch: Maximum number of attempts that an engine runs concurrently.
    :param reserve: Maximum number of retries that a host accumulates in its retry budget.
    """

    load: float
    crashed_engines: int
    hosts: int = 3
    max_batch: int = 8
    reserve: float = RETRY_RESERVE


CASES = (
    Case(load=0.4, crashed_engines=2),
    Case(load=0.7, crashed_engines=2),
    Case(load=0.9, crashed_engines=2),
    Case(load=0.7, crashed_engines=4),
    Case(load=0.9, crashed_engines=2, hosts=1, max_batch=64, reserve=10.0),
    Case(load=0.9, crashed_engines=2, hosts=1, max_batch=64, reserve=32.0),
    Case(load=0.9, crashed_engines=2, hosts=1, max_batch=64),
    Case(load=0.9, crashed_engines=2, hosts=3, max_batch=64, reserve=10.0),
    Case(load=0.9, crashed_engines=2, hosts=3, max_batch=64),
)


async def _run(case: Case) -> Simulation:
    simulation = Simulation(hosts=case.hosts, max_batch=case.max_batch, reserve=case.reserve)
    load_task = asyncio.create_task(simulation.generate_load(END_MS, load=case.load))
    crashing_engines: Sequence[SimulatedEngine] = list(simulation.engines.values())[
        : case.crashed_engines
    ]
    await simulation.clock.sleep(CRASH_MS)
    for engine in crashing_engines:
        engine.crash()
    await simulation.clock.sleep(RESTART_MS - simulation.clock.now())
    for engine in crashing_engines:
        engine.restart()
    await load_task
    await simulation.wait_for_callers()
    return simulation


def _compute_recovery_ms(simulation: Simulation, goodput_before: float) -> int:
    """Return the milliseconds from the restart to the first recovered window, or -1."""
    for window_start in range(RESTART_MS, END_MS - WINDOW_MS, 1_000):
        if (
            simulation.completed_per_s(window_start, window_start + WINDOW_MS)
            >= RECOVERED_FRACTION * goodput_before
        ):
            return window_start - RESTART_MS
    return -1


def _count_simultaneous_retries(refused: Sequence[RefusedCall]) -> int:
    """Return the largest number of refused callers that retry within one tenth of a second."""
    retries_by_slot = Counter(refusal.retry_at // 100 for refusal in refused)
    return max(retries_by_slot.values(), default=0)


def _print_row(case: Case, simulation: Simulation) -> None:
    goodput_before = simulation.completed_per_s(20_000, CRASH_MS)
    slowest_refusal_ms = max(
        (refusal.refused_at - refusal.arrived_at for refusal in simulation.refused), default=0
    )
    refusal_kinds = Counter(
        f"{refusal.problem.kind.value}/{refusal.problem.execution.value}"
        for refusal in simulation.refused
    )
    print(
        f"{case.hosts:5} {case.max_batch:5} {case.load:4} {case.crashed_engines:4} "
        f"{case.reserve:7.0f} "
        f"{goodput_before:8.1f} {simulation.completed_per_s(CRASH_MS, RESTART_MS):8.1f} "
        f"{simulation.completed_per_s(RESTART_MS, END_MS):7.1f} "
        f"{_compute_recovery_ms(simulation, goodput_before):10} "
        f"{simulation.started:8} {simulation.retries:7} {len(simulation.refused):7} "
        f"{slowest_refusal_ms:10} "
        f"{_count_simultaneous_retries(simulation.refused):8} "
        f"{simulation.completed_at[-1] / 1000:6.0f} {dict(refusal_kinds)}",
        flush=True,
    )


def main() -> None:
    """Run all cases and print a table."""
    logbook.NullHandler().push_application()
    print(
        "hosts batch load dead reserve before/s during/s after/s recover_ms requests retries "
        "refused slowest_ms together done_s refusals"
    )
    for case in CASES:
        _print_row(case, run_virtually(_run(case)))


if __name__ == "__main__":
    main()
