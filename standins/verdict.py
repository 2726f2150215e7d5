"""Comparison of the results reported by callers with the executions at the upstreams."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from standins.caller_reports import AnswerReport
from standins.caller_reports import AnswerState
from standins.caller_reports import BookingReport
from standins.caller_reports import BookingState
from standins.journal import Execution


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Counts of a run.

    All counts from ``wrong`` to ``executed_but_denied`` must be 0.

    :param complete: Answers whose tokens all arrived once and in order.
    :param booked: Bookings that were reported to their callers as made.
    :param not_executed: Bookings that were finally refused and not executed.
    :param wrong: Answers with duplicated, missing, changed, mixed or cut-off tokens.
    :param lost: Requests without an answer: no final result arrived, or the request was refused
        although it is valid.
    :param refused: Requests counted in ``lost`` that were finally refused.
    :param duplicated: Bookings executed more than once.
    :param lost_bookings: Bookings reported as made that were never executed, or that had no final
        result.
    :param executed_but_denied: Requests and bookings that were executed although they were reported
        as not executed.
    :param unknown: Bookings whose outcome was reported to the caller as unknown.
    :param resumed: Answers that were resumed from their cursor.
    :param examples: Human-readable descriptions of the failures.
    """

    complete: int
    booked: int
    not_executed: int
    wrong: int
    lost: int
    refused: int
    duplicated: int
    lost_bookings: int
    executed_but_denied: int
    unknown: int
    resumed: int
    examples: list[str] = field(default_factory=list)

    @property
    def passed(self) -> bool:
        """Whether every checked guarantee held."""
        violations = (
            self.wrong,
            self.lost,
            self.duplicated,
            self.lost_bookings,
            self.executed_but_denied,
        )
        return not any(violations)


def compute_verdict(
    *,
    answers: Sequence[AnswerReport],
    bookings: Sequence[BookingReport],
    generations: Sequence[Execution],
    booked: Sequence[Execution],
) -> Verdict:
    """Compare the reports of callers with the journals of upstreams and count the results.

    :param answers: Reports of the requests for answers.
    :param bookings: Reports of the bookings.
    :param generations: Generations executed by engines.
    :param booked: Bookings executed by services.
    """
    answer_counts = Counter(report.state for report in answers)
    executed_tags = {execution.tag for execution in generations}
    execution_counts = Counter(execution.id for execution in booked)
    executed_denials = [
        report
        for report in answers
        if any(submission in executed_tags for submission in report.told_not_executed)
    ]
    wrong = [report for report in answers if report.state is AnswerState.WRONG]
    states = (AnswerState.LOST, AnswerState.REFUSED)
    lost = [report for report in answers if report.state in states]
    duplicated_bookings = [report for report in bookings if execution_counts[report.key] > 1]
    lost_bookings = [report for report in bookings if _is_lost(report, execution_counts)]
    executed_booking_denials = _find_executed_denials(bookings, execution_counts)
    examples = [
        *(f"wrong answer {_format_report(report)}" for report in wrong),
        *(f"lost answer {_format_report(report)}" for report in lost),
        *(
            f"answer executed although reported as not executed {_format_report(report)}"
            for report in executed_denials
        ),
        *(
            f"booking executed {execution_counts[item.key]} times {_format_report(item)}"
            for item in duplicated_bookings
        ),
        *(f"lost booking {_format_report(report)}" for report in lost_bookings),
        *(
            f"booking executed although reported as not executed {_format_report(report)}"
            for report in executed_booking_denials
        ),
    ]
    booking_counts = Counter(report.state for report in bookings)
    return Verdict(
        complete=answer_counts[AnswerState.COMPLETE],
        booked=booking_counts[BookingState.BOOKED],
        not_executed=booking_counts[BookingState.NOT_EXECUTED] - len(executed_booking_denials),
        wrong=len(wrong),
        lost=len(lost),
        refused=answer_counts[AnswerState.REFUSED],
        duplicated=len({report.key for report in duplicated_bookings}),
        lost_bookings=len(lost_bookings),
        executed_but_denied=len(executed_denials) + len(executed_booking_denials),
        unknown=booking_counts[BookingState.UNKNOWN],
        resumed=sum(1 for report in answers if report.resumes),
        examples=examples,
    )


def _is_lost(report: BookingReport, execution_counts: Counter[str]) -> bool:
    if report.state is BookingState.LOST:
        return True
    return report.state is BookingState.BOOKED and execution_counts[report.key] == 0


def _find_executed_denials(
    bookings: Sequence[BookingReport], execution_counts: Counter[str]
) -> list[BookingReport]:
    # Of two concurrent calls for one booking, an answer other than "not executed" takes precedence.
    keys_possibly_executed = {
        report.key
        for report in bookings
        if report.state is not BookingState.NOT_EXECUTED or report.uncertain
    }
    return [
        item
        for item in bookings
        if item.key not in keys_possibly_executed and execution_counts[item.key] > 0
    ]


def _format_report(report: AnswerReport | BookingReport) -> str:
    name = report.key if isinstance(report, BookingReport) else report.ask.name
    events = "\n    ".join(report.events[-12:])
    return f"{name}: {report.detail} after {report.took_ms} ms\n    {events}"
