"""Run the replays reported in docs/MEASURES.md, and print the results as Markdown tables.

Usage: ``python -m tools.replay_matrix TABLE [SEEDS [PROCESSES]]``, where the table is one of
capacity, loads, settings, parts, objectives and cases.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from contextlib import contextmanager
from multiprocessing import Pool
import sys

from msgspec import Struct
from msgspec.structs import replace

from tanagerscale.generated.declarations import Objective
from tanagerscale.policy import LengthEstimator
from tanagerscale.policy import Tuning
from tanagerscale.replay import BASELINES
from tanagerscale.replay import FaultCase
from tanagerscale.replay import ReplayReport
from tanagerscale.replay import ReplayRun
from tanagerscale.replay._capacity import measure_capacity_per_s
from tanagerscale.replay._report import compute_mean
from tanagerscale.replay._run import execute_run
from tanagerscale.replay._run import parse_seeds
from tanagerscale.replay._settings import CAPACITY_PER_S

USERS = ("trois-rivieres", "film-office")
LOADS = (0.5, 0.7, 0.9, 1.1, 1.5)
BUSY_LOADS = (0.9, 1.1)
NEW_POLICIES = ("hosts-alone", "owner", "credit-windows", "clairvoyant")
DISABLED_MS = 1e12
FILM_OBJECTIVE = Objective(preemption_weight=10.0, stall_weight=1.0)
ROUNDS_OBJECTIVE = Objective(preemption_weight=1.0, stall_weight=10.0)


class Variant(Struct, frozen=True, kw_only=True):
    """One row of a table.

    :param name: Name shown in the policy column.
    :param run: Parameters of the replay; the seed is set later.
    :param learn: Whether answer lengths are learned from earlier requests.
    """

    name: str
    run: ReplayRun
    learn_lengths: bool = True


@contextmanager
def _length_learning_disabled(disabled: bool) -> Iterator[None]:
    observe = LengthEstimator.observe
    if disabled:
        LengthEstimator.observe = lambda self, *, request, tokens: None  # type: ignore[method-assign]
    try:
        yield
    finally:
        LengthEstimator.observe = observe  # type: ignore[method-assign]


def _run_variant(variant: Variant) -> ReplayReport:
    with _length_learning_disabled(not variant.learn_lengths):
        return execute_run(variant.run)


def _make_run(policy: str, user: str, load: float) -> ReplayRun:
    return ReplayRun(policy=policy, seed=0, user=user, load=load)


def _load_variants() -> Iterator[Variant]:
    for user in USERS:
        for load in LOADS:
            # Above a load of 1.1, the clairvoyant policy takes minutes per replay, and no target
            # needs its results.
            policies = NEW_POLICIES if load <= max(BUSY_LOADS) else ("hosts-alone", "owner")
            for policy in (*BASELINES, *policies):
                yield Variant(name=policy, run=_make_run(policy, user, load))


def _setting_variants() -> Iterator[Variant]:
    for setting in ("small-memory", "slow"):
        for user in USERS:
            for load in BUSY_LOADS:
                for policy in (*BASELINES, "owner"):
                    run = replace(_make_run(policy, user, load), setting=setting)
                    yield Variant(name=policy, run=run)


def _part_variants() -> Iterator[Variant]:
    full_tuning = Tuning()
    parts = {
        "whole": full_tuning,
        "without prefixes": replace(full_tuning, use_prefixes=False),
        "without priorities": replace(full_tuning, priority_ms=0.0),
        "without length order": replace(full_tuning, length_ms_per_token=0.0),
        "without fairness": replace(full_tuning, fairness_ms_per_token=0.0),
        "without deviations": replace(full_tuning, deviations=0.0),
        "without shedding": replace(full_tuning, shed_after_ms=DISABLED_MS),
        "without fill in placement": replace(full_tuning, fill_tokens=0.0),
        "without batch in placement": replace(full_tuning, neighbour_tokens=0.0),
    }
    for user in USERS:
        # At a load of 1.5, the long queues of trois-rivieres take minutes per replay.
        for load in (1.1,) if user == USERS[0] else (1.1, 1.5):
            for name, tuning in parts.items():
                yield Variant(name=name, run=replace(_make_run("owner", user, load), tuning=tuning))
            yield Variant(
                name="without learnt lengths",
                run=_make_run("owner", user, load),
                learn_lengths=False,
            )


def _objective_variants() -> Iterator[Variant]:
    objectives = {
        "default": Objective(),
        "film office 10:1": FILM_OBJECTIVE,
        "rounds 1:10": ROUNDS_OBJECTIVE,
        "tail 10:1": Objective(tail_weight=10.0),
    }
    for user in USERS:
        for load in BUSY_LOADS:
            for name, objective in objectives.items():
                run = replace(_make_run("owner", user, load), objective=objective)
                yield Variant(name=name, run=run)


def _case_variants() -> Iterator[Variant]:
    for case in FaultCase:
        for load in (0.7, 0.9):
            for policy in ("two-choices", "hosts-alone", "owner"):
                run = replace(_make_run(policy, "trois-rivieres", load), case=case)
                yield Variant(name=policy, run=run)
            if case in (FaultCase.ENGINE_LOST, FaultCase.ENGINE_RECLAIMED):
                run = replace(_make_run("clairvoyant", "trois-rivieres", load), case=case)
                yield Variant(name="clairvoyant", run=run)


TABLES: dict[str, Callable[[], Iterator[Variant]]] = {
    "loads": _load_variants,
    "settings": _setting_variants,
    "parts": _part_variants,
    "objectives": _objective_variants,
    "cases": _case_variants,
}

TABLE_HEADER = (
    "| user | load | setting | case | policy | stall s | short s | preempt | p50/p99/p99.9 gap ms "
    "| first p99 ms | good answers % | good tokens | cost ms | shed | worst share | next try "
    "| refusal ms | recovery s | messages |"
)


def _format_row(variant: Variant, reports: Sequence[ReplayReport]) -> str:
    run = variant.run

    def mean(measure: str) -> float:
        return compute_mean(reports, measure)

    cells = [
        run.user,
        f"{run.load}",
        run.setting,
        run.case.value,
        variant.name,
        f"{mean('stall_s'):.1f}",
        f"{mean('short_stall_s'):.1f}",
        f"{mean('preemptions'):.1f}",
        f"{mean('gap_p50_ms'):.0f}/{mean('gap_p99_ms'):.0f}/{mean('gap_p999_ms'):.1f}",
        f"{mean('first_p99_ms'):.0f}",
        f"{100 * mean('good_answers') / mean('requests'):.1f}",
        f"{mean('good_tokens'):.0f}",
        f"{mean('cost_ms'):.0f}",
        f"{mean('shed'):.0f}",
        f"{min(item.worst_share for item in reports):.2f}",
        f"{sum(item.next_try_served for item in reports) / len(reports):.2f}",
        f"{max(item.slowest_refusal_ms for item in reports):.0f}",
        f"{max(item.recovery_s for item in reports)}",
        f"{sum(item.messages for item in reports) / len(reports):.0f}",
    ]
    return "| " + " | ".join(cells) + " |"


def _capacity(setting: tuple[str, str, int]) -> float:
    user, engines, seed = setting
    return measure_capacity_per_s(user=user, setting=engines, seed=seed)


def _print_capacity(seeds: Sequence[int], processes: int) -> None:
    print("| user | setting | requests/s by seed | mean | stated |")
    print("|---|---|---|---|---|")
    with Pool(processes) as pool:
        for (user, setting), stated_rate in CAPACITY_PER_S.items():
            measured_rates = pool.map(_capacity, [(user, setting, seed) for seed in seeds])
            rates_text = ", ".join(f"{value:.1f}" for value in measured_rates)
            mean = sum(measured_rates) / len(measured_rates)
            print(f"| {user} | {setting} | {rates_text} | {mean:.1f} | {stated_rate} |", flush=True)


def main(arguments: Sequence[str]) -> None:
    """Run the replays of one table and print it.

    :param arguments: Name of the table, optionally the seeds and the number of processes.
    """
    seeds = parse_seeds(arguments[1] if len(arguments) > 1 else "101-105")
    processes = int(arguments[2]) if len(arguments) > 2 else 1
    if arguments[0] == "capacity":
        _print_capacity(seeds, processes)
        return
    variants = list(TABLES[arguments[0]]())
    jobs = [
        replace(variant, run=replace(variant.run, seed=seed))
        for variant in variants
        for seed in seeds
    ]
    print(TABLE_HEADER)
    print("|---" * (TABLE_HEADER.count("|") - 1) + "|", flush=True)
    with Pool(processes) as pool:
        reports: list[ReplayReport] = []
        for report in pool.imap(_run_variant, jobs):
            reports.append(report)
            if len(reports) % len(seeds) == 0:
                variant = variants[len(reports) // len(seeds) - 1]
                print(_format_row(variant, reports[-len(seeds) :]), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
