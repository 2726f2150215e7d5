"""Results of replays, as JSON and as a table."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from pathlib import Path

import msgspec
from msgspec import Struct
from msgspec.structs import asdict
from rich.table import Table

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.measures import Summary
from tanagerscale.replay._jobs import ServedTokens
from tanagerscale.replay._settings import FaultCase
from tanagerscale.replay._world import Simulation

OUTCOMES_SUFFIX = ".outcomes.json"
MIN_STALL_LEVEL_MS = 250.0
"""Lower bound of the stall time above which the requests that arrive within one second count as
stalled; the mean per second before the fault applies if it is higher."""

STALL_LEVEL_WINDOW_S = 30
"""Time before the fault over which the stall time per second is averaged."""


class ReplayReport(Struct, frozen=True, kw_only=True):
    """Results of the replay of one trace with one policy.

    :param policy: Name of the policy.
    :param trace: Name of the trace file, or of the user whose trace was generated.
    :param seed: Seed of the simulation and, if the trace was generated, of the trace.
    :param case: Fault that was injected.
    :param summary: Measures of the replay.
    :param worst_share: Smallest ratio of the tokens served to a client account to its max-min
        fair share.
    :param next_try_served: Fraction of the refused requests whose next attempt was not refused.
    :param slowest_refusal_ms: Longest time from a submission to its refusal.
    :param messages: Number of messages between hosts, without progress reports.
    :param recovery_s: Seconds from the fault until new requests stalled no more than before it.
    """

    policy: str
    trace: str
    seed: int
    case: FaultCase
    summary: Summary
    worst_share: float
    next_try_served: float
    slowest_refusal_ms: float
    messages: int
    recovery_s: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Expected bounds on one measure of a replayed trace.

    :param policy: Name of the policy that the bounds apply to.
    :param measure: A field of ``Summary``.
    :param most: Inclusive upper bound; ``None`` for no bound.
    :param least: Inclusive lower bound; ``None`` for no bound.
    """

    policy: str
    measure: str
    most: float | None = None
    least: float | None = None

    def is_met(self, report: ReplayReport) -> bool:
        """Return whether the measure in a report is within the expected range."""
        value = float(getattr(report.summary, self.measure))
        above = self.most is not None and value > self.most
        below = self.least is not None and value < self.least
        return not above and not below


def read_outcomes(trace: Path) -> list[Outcome]:
    """Read the expected outcomes from the file next to a trace.

    :returns: The outcomes; empty if the file does not exist.
    """
    path = trace.with_name(trace.name.removesuffix(".jsonl") + OUTCOMES_SUFFIX)
    if not path.exists():
        return []
    return msgspec.json.decode(path.read_bytes(), type=list[Outcome])


def build_report(*, simulation: Simulation, policy: str, trace: str, seed: int) -> ReplayReport:
    """Build the report of a finished replay."""
    refused = [job for job in simulation.jobs if job.refusals > 0]
    refused_again = sum(1 for job in refused if job.refusals > 1)
    return ReplayReport(
        policy=policy,
        trace=trace,
        seed=seed,
        case=simulation.settings.case,
        summary=simulation.table.summary(),
        worst_share=compute_worst_share(simulation.service_at_trace_end),
        next_try_served=1.0 - refused_again / len(refused) if refused else 1.0,
        slowest_refusal_ms=simulation.slowest_refusal_ms,
        messages=simulation.messages,
        recovery_s=_compute_recovery_s(simulation),
    )


def compute_worst_share(service: Mapping[str, ServedTokens]) -> float:
    """Return the smallest ratio of the tokens served to an account to its max-min fair share."""
    remaining = float(sum(item.served for item in service.values()))
    worst = 1.0
    accounts = sorted(service.values(), key=lambda item: item.offered)
    for index, item in enumerate(accounts):
        fair_share = min(remaining / (len(accounts) - index), float(item.offered))
        remaining -= fair_share
        if fair_share > 0.0:
            worst = min(worst, item.served / fair_share)
    return worst


def _compute_recovery_s(simulation: Simulation) -> int:
    """Return the seconds from the fault to the last second whose arrivals stalled more than before.

    Requests that arrived before the fault are ignored, because their lost tokens have to be
    generated again.
    """
    if simulation.settings.case is FaultCase.NONE:
        return 0
    fault_s = int(simulation.settings.fault_at_ms // MS_PER_SECOND)
    stalls: dict[int, float] = {}
    for job in simulation.jobs:
        second = job.request.at_ms // MS_PER_SECOND
        stalls[second] = stalls.get(second, 0.0) + job.timeline.stall_ms
    earlier = sum(stalls.get(fault_s - back, 0.0) for back in range(1, STALL_LEVEL_WINDOW_S + 1))
    level = max(earlier / STALL_LEVEL_WINDOW_S, MIN_STALL_LEVEL_MS)
    recovery_times = (second + 1 - fault_s for second, stall in stalls.items() if stall > level)
    return max((seconds for seconds in recovery_times if seconds > 0), default=0)


def to_json(reports: Sequence[ReplayReport]) -> bytes:
    """Encode reports as a JSON array."""
    return msgspec.json.encode([asdict(report) for report in reports])


def to_table(reports: Sequence[ReplayReport]) -> Table:
    """Return a table with one row per policy and the means over its seeds."""
    table = Table(title="Means over seeds")
    for name in (
        "policy",
        "stall s",
        "short s",
        "preempt",
        "gap p50/p99/p99.9",
        "first p50/p99",
        "good tok",
        "good %",
        "cost ms",
        "shed",
        "share",
        "msgs",
    ):
        table.add_column(name, justify="left" if name == "policy" else "right")
    for policy in dict.fromkeys(report.policy for report in reports):
        table.add_row(policy, *_format_cells([item for item in reports if item.policy == policy]))
    return table


def compute_mean(reports: Sequence[ReplayReport], measure: str) -> float:
    """Return the mean of a field of ``Summary`` over reports."""
    return sum(float(getattr(item.summary, measure)) for item in reports) / len(reports)


def _format_cells(reports: Sequence[ReplayReport]) -> list[str]:
    def mean(measure: str) -> float:
        return compute_mean(reports, measure)

    return [
        f"{mean('stall_s'):.1f}",
        f"{mean('short_stall_s'):.1f}",
        f"{mean('preemptions'):.1f}",
        f"{mean('gap_p50_ms'):.0f}/{mean('gap_p99_ms'):.0f}/{mean('gap_p999_ms'):.0f}",
        f"{mean('first_p50_ms'):.0f}/{mean('first_p99_ms'):.0f}",
        f"{mean('good_tokens'):.0f}",
        f"{100 * mean('good_answers') / max(mean('requests'), 1):.1f}",
        f"{mean('cost_ms'):.0f}",
        f"{mean('shed'):.0f}",
        f"{min(item.worst_share for item in reports):.2f}",
        f"{sum(item.messages for item in reports) / len(reports):.0f}",
    ]
