"""Runs replays and prints their results."""

from __future__ import annotations

from collections.abc import Sequence
from multiprocessing import Pool
from pathlib import Path
from random import Random
import sys

from msgspec import Struct
from msgspec.structs import replace
from rich.console import Console

from tanagerscale.generated.declarations import Objective
from tanagerscale.policy import Tuning
from tanagerscale.replay._layouts import POLICIES
from tanagerscale.replay._plot import plot_frontier
from tanagerscale.replay._report import ReplayReport
from tanagerscale.replay._report import build_report
from tanagerscale.replay._report import read_outcomes
from tanagerscale.replay._report import to_json
from tanagerscale.replay._report import to_table
from tanagerscale.replay._settings import CAPACITY_PER_S
from tanagerscale.replay._settings import ENGINE_MODELS
from tanagerscale.replay._settings import FaultCase
from tanagerscale.replay._settings import ReplaySettings
from tanagerscale.replay._trace import DEFAULT_DURATION_S
from tanagerscale.replay._trace import USER_PROFILES
from tanagerscale.replay._trace import generate_trace
from tanagerscale.replay._trace import read_trace
from tanagerscale.replay._world import Simulation

LATE_REPORT_DELAY_MS = 2_000.0
CACHE_GAPS_LOSS_RATIO = 0.5
DEFAULT_POLICIES = tuple(name for name in POLICIES if name != "in-order")
DEFAULT_OBJECTIVE = Objective()
FRONTIER_DEVIATIONS = (0.0, 1.0, 1.75, 2.5, 3.25)


class ReplayRun(Struct, frozen=True, kw_only=True):
    """Parameters of one replay.

    :param trace: Trace file to replay, or ``None`` to generate a trace of ``user``.
    :param policy: A key of ``POLICIES``.
    :param seed: Seed of the simulation and, if the trace is generated, of the trace.
    :param user: A key of ``USER_PROFILES``.
    :param load: Mean arrival rate of a generated trace, relative to the measured capacity.
    :param setting: A key of ``ENGINE_MODELS``.
    :param case: Fault to inject.
    :param objective: Objective that the operators declare.
    :param tuning: Tuning of the forecast schedulers; ``None`` to derive it from the objective.
    :param duration_s: Length of a generated trace; the fault begins at half of this time.
    """

    trace: Path | None = None
    policy: str
    seed: int
    user: str = "trois-rivieres"
    load: float = 0.9
    setting: str = "standard"
    case: FaultCase = FaultCase.NONE
    objective: Objective = DEFAULT_OBJECTIVE
    tuning: Tuning | None = None
    duration_s: int = DEFAULT_DURATION_S


def run_replay(
    *,
    trace: Path | None,
    policy: str,
    seed: int,
    user: str = "trois-rivieres",
    load: float = 0.9,
    setting: str = "standard",
    case: FaultCase = FaultCase.NONE,
    objective: Objective | None = None,
    tuning: Tuning | None = None,
    duration_s: int = DEFAULT_DURATION_S,
) -> ReplayReport:
    """Replay one trace with one policy.

    The parameters are those of ``ReplayRun``; an objective of ``None`` selects the default.
    """
    return execute_run(
        ReplayRun(
            trace=trace,
            policy=policy,
            seed=seed,
            user=user,
            load=load,
            setting=setting,
            case=case,
            objective=objective or DEFAULT_OBJECTIVE,
            tuning=tuning,
            duration_s=duration_s,
        )
    )


def execute_run(run: ReplayRun) -> ReplayReport:
    """Run one replay and return its report."""
    if run.trace is not None:
        requests = read_trace(run.trace)
    else:
        rate = run.load * CAPACITY_PER_S[(run.user, run.setting)]
        requests = generate_trace(
            user=run.user, rate=rate, seed=run.seed, duration_s=run.duration_s
        )
    simulation = Simulation(trace=requests, settings=_settings(run), seed=run.seed)
    simulation.run(topology=POLICIES[run.policy](simulation, Random(f"policy/{run.seed}")))
    name = run.user if run.trace is None else run.trace.name
    return build_report(simulation=simulation, policy=run.policy, trace=name, seed=run.seed)


def execute_runs(runs: Sequence[ReplayRun], *, processes: int) -> list[ReplayReport]:
    """Run replays and return their reports in the same order.

    :param processes: Number of worker processes; up to 1 runs the replays in this process.
    """
    if processes <= 1:
        return [execute_run(run) for run in runs]
    with Pool(processes) as pool:
        return pool.map(execute_run, runs, chunksize=1)


def _settings(run: ReplayRun) -> ReplaySettings:
    settings = ReplaySettings(
        model=ENGINE_MODELS[run.setting],
        objective=run.objective,
        tuning=run.tuning,
        case=run.case,
        fault_at_ms=run.duration_s * 500.0,
    )
    if run.case is FaultCase.LATE_REPORTS:
        return replace(
            settings, report_delay_ms=LATE_REPORT_DELAY_MS, cache_delay_ms=LATE_REPORT_DELAY_MS
        )
    if run.case is FaultCase.CACHE_GAPS:
        return replace(settings, cache_loss_ratio=CACHE_GAPS_LOSS_RATIO)
    return settings


def parse_seeds(text: str) -> list[int]:
    """Parse a list of seeds such as ``"7"``, ``"1,2"`` or ``"101-105"``.

    :raises ValueError: If the text has another form.
    """
    seeds: list[int] = []
    for part in str(text).split(","):
        first, _, last = part.partition("-")
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def main(
    trace: str,
    policy: str = "all",
    seeds: str = "101-105",
    load: float = 0.9,
    json: bool = False,
    plot: str = "",
    setting: str = "standard",
    case: str = "none",
    processes: int = 1,
) -> int:
    """Replay a trace, print its measures and compare them with the expected outcomes.

    :param trace: Trace file in JSON lines, or the name of a user to generate traces for.
    :param policy: Comma-separated policy names, or ``"all"``.
    :param seeds: Seeds such as ``"101-105"``.
    :param load: Arrival rate of generated traces, relative to the capacity.
    :param json: Print JSON instead of a table.
    :param plot: Image file for the frontier of stall time against preemptions; empty for none.
    :param setting: Speed and memory of the engines.
    :param case: Fault to inject.
    :param processes: Number of replays to run in parallel.
    :returns: 0 on success, 1 if an expected outcome is missed, 2 if an argument is invalid.
    """
    error = _validate_arguments(trace=trace, policy=policy, setting=setting, case=case)
    if error:
        print(error, file=sys.stderr)
        return 2
    names = DEFAULT_POLICIES if policy == "all" else tuple(policy.split(","))
    path = None if trace in USER_PROFILES else Path(trace)
    template = ReplayRun(
        trace=path,
        policy="owner",
        seed=0,
        user=trace if path is None else "trois-rivieres",
        load=load,
        setting=setting,
        case=FaultCase(case),
    )
    seed_list = parse_seeds(seeds)
    runs = [replace(template, policy=name, seed=seed) for name in names for seed in seed_list]
    reports = execute_runs(runs, processes=processes)
    if json:
        sys.stdout.write(to_json(reports).decode() + "\n")
    else:
        Console(width=150).print(to_table(reports))
    if plot:
        frontier = [
            [replace(template, seed=seed, tuning=Tuning(deviations=value)) for seed in seed_list]
            for value in FRONTIER_DEVIATIONS
        ]
        frontier_reports = [execute_runs(group, processes=processes) for group in frontier]
        plot_frontier(reports=reports, frontier=frontier_reports, path=Path(plot))
    return _check_outcomes(reports, path, quiet=json)


def _validate_arguments(*, trace: str, policy: str, setting: str, case: str) -> str:
    """Return an error message with the allowed values, or an empty string if all are valid."""
    if trace not in USER_PROFILES and not Path(trace).is_file():
        return (
            f"Trace file {trace!r} does not exist; use a file or one of {', '.join(USER_PROFILES)}."
        )
    unknown = [name for name in policy.split(",") if name != "all" and name not in POLICIES]
    if unknown:
        return f"Unknown policy {unknown[0]!r}; choose from all, {', '.join(POLICIES)}."
    if setting not in ENGINE_MODELS:
        return f"Unknown engine setting {setting!r}; choose from {', '.join(ENGINE_MODELS)}."
    if case not in [item.value for item in FaultCase]:
        return f"Unknown case {case!r}; choose from {', '.join(item.value for item in FaultCase)}."
    return ""


def _check_outcomes(reports: Sequence[ReplayReport], path: Path | None, *, quiet: bool) -> int:
    """Compare reports with the expected outcomes of the trace and print each comparison.

    :param path: Trace file; ``None`` if the trace was generated.
    :param quiet: Print nothing.
    :returns: 1 if an outcome is missed, else 0.
    """
    missed = 0
    for outcome in read_outcomes(path) if path else []:
        for report in reports:
            if report.policy != outcome.policy:
                continue
            met = outcome.is_met(report)
            missed += not met
            if not quiet:
                upper_bound = f"<= {outcome.most}" if outcome.most is not None else ""
                lower_bound = f">= {outcome.least}" if outcome.least is not None else ""
                value = getattr(report.summary, outcome.measure)
                print(
                    f"{'met' if met else 'MISSED'}: {report.policy} seed {report.seed} "
                    f"{outcome.measure} {upper_bound}{lower_bound} (measured {value:.6g})"
                )
    return 1 if missed else 0
