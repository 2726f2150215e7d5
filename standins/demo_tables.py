"""The demo's tables: what callers saw, the measures, the promises."""

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

SHOWN_EXAMPLES = 5


@dataclass(frozen=True, slots=True)
class Promise:
    """One promise and whether it held."""

    text: str
    held: bool


def print_seen(
    *, console: Console, answers: Sequence[AnswerReport], bookings: Sequence[BookingReport]
) -> None:
    """Print what each caller saw.

    :param console: Where.
    :param answers: Its requests.
    :param bookings: Its bookings.
    """
    table = Table(title="What each caller saw", title_justify="left")
    table.add_column("caller")
    for name in ("requests", "whole, once, in order", "went on by cursor", "sent again"):
        table.add_column(name, justify="right")
    for caller, reports in _by_caller(answers).items():
        table.add_row(
            caller,
            str(len(reports)),
            str(sum(1 for report in reports if report.state is AnswerState.WHOLE)),
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
    """Print the measures, whose definitions stand in docs/MEASURES.md.

    :param console: Where.
    :param answers: What callers saw.
    :param preemptions: Preemptions by engines; those of killed ones as last read.
    """
    table = Table(title="Measures, as the callers see them", title_justify="left")
    table.add_column("requests of")
    for name in (
        "stall s",
        "first token p50 ms",
        "p99 ms",
        "token gap p50 ms",
        "p99 ms",
        "whole answer p50 s",
    ):
        table.add_column(name, justify="right")
    kinds = sorted({report.ask.request_class for report in answers})
    for kind in kinds:
        chosen = [report for report in answers if report.ask.request_class == kind]
        table.add_row(kind, *_measures(chosen))
    console.print(table)
    console.print(f"{preemptions} preemptions by engines", highlight=False)


def print_promises(
    *, console: Console, promises: Sequence[Promise], examples: Sequence[str]
) -> None:
    """Print which promises held.

    :param console: Where.
    :param promises: The promises.
    :param examples: What went wrong.
    """
    for promise in promises:
        word = "[green]held[/green]  " if promise.held else "[red]BROKEN[/red]"
        console.print(f"{word} {promise.text}", highlight=False)
    for example in examples[:SHOWN_EXAMPLES]:
        console.print(example, markup=False, highlight=False, soft_wrap=True)


def _by_caller(answers: Sequence[AnswerReport]) -> dict[str, list[AnswerReport]]:
    def caller(report: AnswerReport) -> str:
        return report.ask.name.rpartition("-")[0]

    ordered = sorted(answers, key=caller)
    return {name: list(group) for name, group in groupby(ordered, key=caller)}


def _measures(answers: Sequence[AnswerReport]) -> tuple[str, ...]:
    first, gaps, whole = DurationHistogram(), DurationHistogram(), DurationHistogram()
    streamed = [report for report in answers if report.ask.stream]
    for report in streamed:
        if report.first_token_ms is not None:
            first.record(report.first_token_ms)
        for gap in report.gaps_ms:
            gaps.record(gap)
    for report in answers:
        whole.record(report.took_ms)
    stall_ms = sum(report.stall_ms for report in streamed)
    # An answer that comes in one piece has no first token and no gaps.
    shown = [f"{stall_ms / MS_PER_SECOND:.1f}"] + [
        f"{histogram.quantile(part):.0f}" for histogram in (first, gaps) for part in (0.5, 0.99)
    ]
    if not streamed:
        shown = ["-"] * len(shown)
    return (*shown, f"{whole.quantile(0.5) / MS_PER_SECOND:.1f}")
