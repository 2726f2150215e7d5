"""Run the replays that docs/MEASURES.md quotes, and print them as Markdown tables.

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
NEVER_MS = 1e12
FILM = Objective(preemption_weight=10.0, stall_weight=1.0)
ROUNDS = Objective(preemption_weight=1.0, stall_weight=10.0)


class Variant(Struct, frozen=True, kw_only=True):
    """One line of a table.

    :param name: What it is called.
    :param run: The replay, but for its seed.
    :param learn: Whether lengths are learnt.
    """

    name: str
    run: ReplayRun
    learn: bool = True


@contextmanager
def _without_lengths(off: bool) -> Iterator[None]:
    observe = LengthEstimator.observe
    if off:
        LengthEstimator.observe = lambda self, *, request, tokens: None  # type: ignore[method-assign]
    try:
        yield
    finally:
        LengthEstimator.observe = observe  # type: ignore[method-assign]


def _do(variant: Variant) -> ReplayReport:
    with _without_lengths(not variant.learn):
        return execute_run(variant.run)


def _run(policy: str, user: str, load: float) -> ReplayRun:
    return ReplayRun(policy=policy, seed=0, user=user, load=load)


def _loads() -> Iterator[Variant]:
    for user in USERS:
        for load in LOADS:
            # Beyond 1.1 the clairvoyant takes minutes for a replay, and no aim needs it there.
            new = NEW_POLICIES if load <= max(BUSY_LOADS) else ("hosts-alone", "owner")
            for policy in (*BASELINES, *new):
                yield Variant(name=policy, run=_run(policy, user, load))


def _settings() -> Iterator[Variant]:
    for setting in ("small-memory", "slow"):
        for user in USERS:
            for load in BUSY_LOADS:
                for policy in (*BASELINES, "owner"):
                    run = replace(_run(policy, user, load), setting=setting)
                    yield Variant(name=policy, run=run)


def _parts() -> Iterator[Variant]:
    whole = Tuning()
    parts = {
        "whole": whole,
        "without prefixes": replace(whole, use_prefixes=False),
        "without priorities": replace(whole, priority_ms=0.0),
        "without length order": replace(whole, length_ms_per_token=0.0),
        "without fairness": replace(whole, fairness_ms_per_token=0.0),
        "without deviations": replace(whole, deviations=0.0),
        "without shedding": replace(whole, shed_after_ms=NEVER_MS),
        "without fill in placement": replace(whole, fill_tokens=0.0),
        "without batch in placement": replace(whole, neighbour_tokens=0.0),
    }
    for user in USERS:
        # The long queues of trois-rivieres at 1.5 take minutes for a replay.
        for load in (1.1,) if user == USERS[0] else (1.1, 1.5):
            for name, tuning in parts.items():
                yield Variant(name=name, run=replace(_run("owner", user, load), tuning=tuning))
            yield Variant(name="without learnt lengths", run=_run("owner", user, load), learn=False)


def _objectives() -> Iterator[Variant]:
    chosen = {
        "default": Objective(),
        "film office 10:1": FILM,
        "rounds 1:10": ROUNDS,
        "tail 10:1": Objective(tail_weight=10.0),
    }
    for user in USERS:
        for load in BUSY_LOADS:
            for name, objective in chosen.items():
                run = replace(_run("owner", user, load), objective=objective)
                yield Variant(name=name, run=run)


def _cases() -> Iterator[Variant]:
    for case in FaultCase:
        for load in (0.7, 0.9):
            for policy in ("two-choices", "hosts-alone", "owner"):
                run = replace(_run(policy, "trois-rivieres", load), case=case)
                yield Variant(name=policy, run=run)
            if case in (FaultCase.ENGINE_LOST, FaultCase.ENGINE_RECLAIMED):
                run = replace(_run("clairvoyant", "trois-rivieres", load), case=case)
                yield Variant(name="clairvoyant", run=run)


TABLES: dict[str, Callable[[], Iterator[Variant]]] = {
    "loads": _loads,
    "settings": _settings,
    "parts": _parts,
    "objectives": _objectives,
    "cases": _cases,
}

HEAD = (
    "| user | load | setting | case | policy | stall s | short s | preempt | p50/p99/p99.9 gap ms "
    "| first p99 ms | good answers % | good tokens | cost ms | shed | worst share | next try "
    "| refusal ms | recovery s | messages |"
)


def _line(variant: Variant, reports: Sequence[ReplayReport]) -> str:
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
        for (user, setting), stated in CAPACITY_PER_S.items():
            found = pool.map(_capacity, [(user, setting, seed) for seed in seeds])
            listed = ", ".join(f"{value:.1f}" for value in found)
            mean = sum(found) / len(found)
            print(f"| {user} | {setting} | {listed} | {mean:.1f} | {stated} |", flush=True)


def main(arguments: Sequence[str]) -> None:
    """Print one table."""
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
    print(HEAD)
    print("|---" * (HEAD.count("|") - 1) + "|", flush=True)
    with Pool(processes) as pool:
        done: list[ReplayReport] = []
        for report in pool.imap(_do, jobs):
            done.append(report)
            if len(done) % len(seeds) == 0:
                variant = variants[len(done) // len(seeds) - 1]
                print(_line(variant, done[-len(seeds) :]), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
