"""What a replay found, as data and as a table."""

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
from tanagerscale.replay._settings import Case
from tanagerscale.replay._world import World

OUTCOMES_SUFFIX = ".outcomes.json"
QUIET_STALL_MS = 250.0
"""Stall of all callers of one second together that counts as none."""

LEVEL_SECONDS = 30


class ReplayReport(Struct, frozen=True, kw_only=True):
    """One replay of one trace with one policy.

    :param policy: The policy's name.
    :param trace: File or user that the trace came from.
    :param seed: Seed of the trace, if it was made, and of the world.
    :param case: What went wrong.
    :param summary: The measures.
    :param worst_share: Least part of its max-min fair share that an account was served.
    :param next_try_served: Part of the refused callers whose next try was not refused.
    :param slowest_refusal_ms: Longest time from a request to its refusal.
    :param messages: Messages between hosts, progress not counted.
    :param recovery_s: Seconds after a fault until new callers stalled no more than before it.
    """

    policy: str
    trace: str
    seed: int
    case: Case
    summary: Summary
    worst_share: float
    next_try_served: float
    slowest_refusal_ms: float
    messages: int
    recovery_s: int


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """A stated outcome of a kept trace.

    :param policy: The policy it is about.
    :param measure: A field of ``Summary``.
    :param most: Largest value that meets it, or ``None``.
    :param least: Smallest value that meets it, or ``None``.
    """

    policy: str
    measure: str
    most: float | None = None
    least: float | None = None

    def is_met(self, report: ReplayReport) -> bool:
        """Return whether a report meets it."""
        value = float(getattr(report.summary, self.measure))
        above = self.most is not None and value > self.most
        below = self.least is not None and value < self.least
        return not above and not below


def read_outcomes(trace: Path) -> list[Outcome]:
    """Return the outcomes stated next to a trace; none when there is no such file."""
    path = trace.with_name(trace.name.removesuffix(".jsonl") + OUTCOMES_SUFFIX)
    if not path.exists():
        return []
    return msgspec.json.decode(path.read_bytes(), type=list[Outcome])


def make_report(*, world: World, policy: str, trace: str, seed: int) -> ReplayReport:
    """Return what a finished replay found."""
    refused = [job for job in world.jobs if job.refusals > 0]
    again = sum(1 for job in refused if job.refusals > 1)
    return ReplayReport(
        policy=policy,
        trace=trace,
        seed=seed,
        case=world.settings.case,
        summary=world.table.summary(),
        worst_share=worst_share(world.progress_at_end),
        next_try_served=1.0 - again / len(refused) if refused else 1.0,
        slowest_refusal_ms=world.slowest_refusal_ms,
        messages=world.messages,
        recovery_s=_recovery(world),
    )


def worst_share(service: Mapping[str, ServedTokens]) -> float:
    """Return the least part of its max-min fair share that an account was served."""
    left = float(sum(item.served for item in service.values()))
    worst = 1.0
    accounts = sorted(service.values(), key=lambda item: item.offered)
    for index, item in enumerate(accounts):
        fair = min(left / (len(accounts) - index), float(item.offered))
        left -= fair
        if fair > 0.0:
            worst = min(worst, item.served / fair)
    return worst


def _recovery(world: World) -> int:
    """Return seconds from the fault to the last second whose callers stalled more than before.

    Callers that came before the fault are left out: what they lost has to be made again.
    """
    if world.settings.case is Case.NONE:
        return 0
    fault = int(world.settings.fault_at_ms // MS_PER_SECOND)
    stalls: dict[int, float] = {}
    for job in world.jobs:
        second = job.request.at_ms // MS_PER_SECOND
        stalls[second] = stalls.get(second, 0.0) + job.timeline.stall_ms
    earlier = sum(stalls.get(fault - back, 0.0) for back in range(1, LEVEL_SECONDS + 1))
    level = max(earlier / LEVEL_SECONDS, QUIET_STALL_MS)
    late = (second + 1 - fault for second, stall in stalls.items() if stall > level)
    return max((seconds for seconds in late if seconds > 0), default=0)


def to_json(reports: Sequence[ReplayReport]) -> bytes:
    """Return reports as JSON."""
    return msgspec.json.encode([asdict(report) for report in reports])


def to_table(reports: Sequence[ReplayReport]) -> Table:
    """Return one line for each policy, means over its seeds."""
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
        table.add_row(policy, *_cells([item for item in reports if item.policy == policy]))
    return table


def mean_of(reports: Sequence[ReplayReport], measure: str) -> float:
    """Return the mean of one field of ``Summary`` over reports."""
    return sum(float(getattr(item.summary, measure)) for item in reports) / len(reports)


def _cells(reports: Sequence[ReplayReport]) -> list[str]:
    def mean(measure: str) -> float:
        return mean_of(reports, measure)

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
