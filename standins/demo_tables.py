"""Tables of the demo: results of callers, measures and guarantees."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import groupby

from rich.console import Console
from rich.table import Table

from standins.caller_reports import AnswerReport
from standins.caller_reports import AnswerState
from standins.caller_reports import BookingReport
from standins.caller_reports import BookingState
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.measures import DurationHistogram

MAX_EXAMPLES = 5


@dataclass(frozen=True, slots=True)
class Guarantee:
    """A guarantee and whether it held in the run."""

    text: str
    held: bool


def print_caller_results(
    *, console: Console, answers: Sequence[AnswerReport], bookings: Sequence[BookingReport]
) -> None:
    """Print the results that each caller observed.

    :param console: Console to print to.
    :param answers: Reports of the requests.
    :param bookings: Reports of the bookings.
    """
    table = Table(title="Results by caller", title_justify="left")
    table.add_column("caller")
    for name in ("requests", "complete, in order", "resumed by cursor", "resubmitted"):
        table.add_column(name, justify="right")
    for caller, reports in _by_caller(answers).items():
        table.add_row(
            caller,
            str(len(reports)),
            str(sum(1 for report in reports if report.state is AnswerState.COMPLETE)),
            str(sum(1 for report in reports if report.resumes)),
            str(sum(1 for report in reports if report.trials > 1)),
        )
    console.print(table)
    keys = {report.key for report in bookings}
    booked = {report.key for report in bookings if report.state is BookingState.BOOKED}
    unknown = {report.key for report in bookings if report.state is BookingState.UNKNOWN}
    console.print(
        f"{len(keys)} bookings in {sum(report.calls for report in bookings)} calls: "
        f"{len(booked)} made, {len(unknown - booked)} unknown, "
        f"{len(keys - booked - unknown)} refused",
        highlight=False,
    )


def print_measures(*, console: Console, answers: Sequence[AnswerReport], preemptions: int) -> None:
    """Print the measures, which are defined in docs/MEASURES.md.

    :param console: Console to print to.
    :param answers: Reports of the requests.
    :param preemptions: Number of preemptions by engines; the last count read for a killed engine.
    """
    table = Table(title="Measures observed by the callers", title_justify="left")
    table.add_column("request class")
    for name in (
        "stall s",
        "first token p50 ms",
        "p99 ms",
        "token gap p50 ms",
        "p99 ms",
        "complete answer p50 s",
    ):
        table.add_column(name, justify="right")
    kinds = sorted({report.ask.request_class for report in answers})
    for kind in kinds:
        selected = [report for report in answers if report.ask.request_class == kind]
        table.add_row(kind, *_measures(selected))
    console.print(table)
    console.print(f"{preemptions} preemptions by engines", highlight=False)


def print_guarantees(
    *, console: Console, guarantees: Sequence[Guarantee], examples: Sequence[str]
) -> None:
    """Print which guarantees held.

    :param console: Console to print to.
    :param guarantees: Guarantees and their results.
    :param examples: Descriptions of failures, of which ``MAX_EXAMPLES`` at most are printed.
    """
    for guarantee in guarantees:
        label = "[green]held[/green]  " if guarantee.held else "[red]BROKEN[/red]"
        console.print(f"{label} {guarantee.text}", highlight=False)
    for example in examples[:MAX_EXAMPLES]:
        console.print(example, markup=False, highlight=False, soft_wrap=True)


def _by_caller(answers: Sequence[AnswerReport]) -> dict[str, list[AnswerReport]]:
    def caller(report: AnswerReport) -> str:
        return report.ask.name.rpartition("-")[0]

    ordered = sorted(answers, key=caller)
    return {name: list(group) for name, group in groupby(ordered, key=caller)}


def _measures(answers: Sequence[AnswerReport]) -> tuple[str, ...]:
    first_token_times, gaps, durations = (
        DurationHistogram(),
        DurationHistogram(),
        DurationHistogram(),
    )
    streamed = [report for report in answers if report.ask.stream]
    for report in streamed:
        if report.first_token_ms is not None:
            first_token_times.record(report.first_token_ms)
        for gap in report.gaps_ms:
            gaps.record(gap)
    for report in answers:
        durations.record(report.took_ms)
    stall_ms = sum(report.stall_ms for report in streamed)
    # An answer that is not streamed has no first-token time and no token gaps.
    cells = [f"{stall_ms / MS_PER_SECOND:.1f}"] + [
        f"{histogram.quantile(part):.0f}"
        for histogram in (first_token_times, gaps)
        for part in (0.5, 0.99)
    ]
    if not streamed:
        cells = ["-"] * len(cells)
    return (*cells, f"{durations.quantile(0.5) / MS_PER_SECOND:.1f}")
