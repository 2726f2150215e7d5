"""Running replays and printing what they found."""

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
from tanagerscale.replay._report import make_report
from tanagerscale.replay._report import read_outcomes
from tanagerscale.replay._report import to_json
from tanagerscale.replay._report import to_table
from tanagerscale.replay._settings import CAPACITY
from tanagerscale.replay._settings import ENGINE_MODELS
from tanagerscale.replay._settings import Case
from tanagerscale.replay._settings import ReplaySettings
from tanagerscale.replay._trace import DEFAULT_DURATION_S
from tanagerscale.replay._trace import USERS
from tanagerscale.replay._trace import make_trace
from tanagerscale.replay._trace import read_trace
from tanagerscale.replay._world import World

LATE_NEWS_MS = 2_000.0
GAPPY_CACHE_LOSS = 0.5
SHOWN_POLICIES = tuple(name for name in POLICIES if name != "in-order")
DEFAULT_OBJECTIVE = Objective()
FRONTIER_DEVIATIONS = (0.0, 1.0, 1.75, 2.5, 3.25)


class ReplayRun(Struct, frozen=True, kw_only=True):
    """One replay to do.

    :param trace: File to replay, or ``None`` to make a trace of ``user`` from the seed.
    :param policy: A key of ``POLICIES``.
    :param seed: Seed of the trace, if it is made, and of the world.
    :param user: A key of ``USERS``.
    :param load: Mean arrival rate in parts of the measured capacity.
    :param setting: A key of ``ENGINE_MODELS``.
    :param case: What goes wrong.
    :param objective: What the operators weigh.
    :param tuning: Replaces the tuning that follows from the objective.
    :param duration_s: Length of a made trace.
    """

    trace: Path | None = None
    policy: str
    seed: int
    user: str = "trois-rivieres"
    load: float = 0.9
    setting: str = "standard"
    case: Case = Case.NONE
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
    case: Case = Case.NONE,
    objective: Objective | None = None,
    tuning: Tuning | None = None,
    duration_s: int = DEFAULT_DURATION_S,
) -> ReplayReport:
    """Replay one trace with one policy; the parameters are those of ``ReplayRun``."""
    return do_run(
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


def do_run(run: ReplayRun) -> ReplayReport:
    """Do one replay."""
    if run.trace is not None:
        requests = read_trace(run.trace)
    else:
        rate = run.load * CAPACITY[(run.user, run.setting)]
        requests = make_trace(user=run.user, rate=rate, seed=run.seed, duration_s=run.duration_s)
    world = World(trace=requests, settings=_settings(run), seed=run.seed)
    world.run(layout=POLICIES[run.policy](world, Random(f"policy/{run.seed}")))
    name = run.user if run.trace is None else run.trace.name
    return make_report(world=world, policy=run.policy, trace=name, seed=run.seed)


def do_runs(runs: Sequence[ReplayRun], *, processes: int) -> list[ReplayReport]:
    """Do replays, several at once when asked to; the results keep the order."""
    if processes <= 1:
        return [do_run(run) for run in runs]
    with Pool(processes) as pool:
        return pool.map(do_run, runs, chunksize=1)


def _settings(run: ReplayRun) -> ReplaySettings:
    settings = ReplaySettings(
        model=ENGINE_MODELS[run.setting],
        objective=run.objective,
        tuning=run.tuning,
        case=run.case,
        fault_at_ms=run.duration_s * 500.0,
    )
    if run.case is Case.LATE_NEWS:
        return replace(settings, report_delay_ms=LATE_NEWS_MS, cache_delay_ms=LATE_NEWS_MS)
    if run.case is Case.CACHE_GAPS:
        return replace(settings, cache_loss=GAPPY_CACHE_LOSS)
    return settings


def parse_seeds(text: str) -> list[int]:
    """Return the seeds named by ``"7"``, ``"1,2"`` or ``"101-105"``.

    :raises ValueError: When the text is none of these.
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
    """Replay a trace and print its measures next to the stated outcomes.

    :param trace: A file of JSON lines, or the name of a user to make traces of.
    :param policy: Policies by name with commas between, or ``"all"``.
    :param seeds: Seeds, as in ``"101-105"``.
    :param load: For made traces, the arrival rate in parts of the capacity.
    :param json: Print JSON in place of the table.
    :param plot: File to draw the frontier of stall against preemptions to.
    :param setting: Speed and memory of the engines.
    :param case: What goes wrong.
    :param processes: How many replays to do at once.
    :returns: 0; 1 when a stated outcome is missed; 2 when the arguments are wrong.
    """
    problem = _check(trace=trace, policy=policy, setting=setting, case=case)
    if problem:
        print(problem, file=sys.stderr)
        return 2
    names = SHOWN_POLICIES if policy == "all" else tuple(policy.split(","))
    path = None if trace in USERS else Path(trace)
    first = ReplayRun(
        trace=path,
        policy="owner",
        seed=0,
        user=trace if path is None else "trois-rivieres",
        load=load,
        setting=setting,
        case=Case(case),
    )
    numbers = parse_seeds(seeds)
    runs = [replace(first, policy=name, seed=seed) for name in names for seed in numbers]
    reports = do_runs(runs, processes=processes)
    if json:
        sys.stdout.write(to_json(reports).decode() + "\n")
    else:
        Console(width=150).print(to_table(reports))
    if plot:
        frontier = [
            [replace(first, seed=seed, tuning=Tuning(deviations=value)) for seed in numbers]
            for value in FRONTIER_DEVIATIONS
        ]
        points = [do_runs(group, processes=processes) for group in frontier]
        plot_frontier(reports=reports, frontier=points, path=Path(plot))
    return _judge(reports, path, quiet=json)


def _check(*, trace: str, policy: str, setting: str, case: str) -> str:
    """Return what is wrong with the arguments and what is allowed, or nothing."""
    if trace not in USERS and not Path(trace).is_file():
        return f"No trace file {trace!r}; name a file, or one of {', '.join(USERS)}."
    unknown = [name for name in policy.split(",") if name != "all" and name not in POLICIES]
    if unknown:
        return f"No policy {unknown[0]!r}; allowed are all, {', '.join(POLICIES)}."
    if setting not in ENGINE_MODELS:
        return f"No engine setting {setting!r}; allowed are {', '.join(ENGINE_MODELS)}."
    if case not in [item.value for item in Case]:
        return f"No case {case!r}; allowed are {', '.join(item.value for item in Case)}."
    return ""


def _judge(reports: Sequence[ReplayReport], path: Path | None, *, quiet: bool) -> int:
    """Compare reports with the outcomes stated next to the trace."""
    missed = 0
    for outcome in read_outcomes(path) if path else []:
        for report in reports:
            if report.policy != outcome.policy:
                continue
            met = outcome.is_met(report)
            missed += not met
            if not quiet:
                bound = f"<= {outcome.most}" if outcome.most is not None else ""
                floor = f">= {outcome.least}" if outcome.least is not None else ""
                value = getattr(report.summary, outcome.measure)
                print(
                    f"{'met' if met else 'MISSED'}: {report.policy} seed {report.seed} "
                    f"{outcome.measure} {bound}{floor} (measured {value:.6g})"
                )
    return 1 if missed else 0
