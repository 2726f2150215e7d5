"""What callers saw, held against what upstreams executed."""

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
    """Counts of a run; all but the first three and the last two must be zero.

    :param whole: Answers that came whole, once and in order.
    :param booked: Bookings that their callers were told are made.
    :param not_executed: Bookings that were finally refused, truly unexecuted.
    :param wrong: Answers with tokens doubled, missing, changed, mixed or cut off.
    :param lost: Requests whose caller got neither answer nor final word, or a refusal that
        nothing in the request called for.
    :param refused: Those of the lost ones that were finally refused.
    :param doubled: Bookings executed more than once.
    :param lost_bookings: Bookings reported as made that never ran, or without a final word.
    :param wrongly_not_executed: Requests and bookings called not executed that ran.
    :param unknown: Bookings of which the caller was told that the outcome is unknown.
    :param resumed: Answers that went on at another host by their cursor.
    :param examples: What went wrong, for people.
    """

    whole: int
    booked: int
    not_executed: int
    wrong: int
    lost: int
    refused: int
    doubled: int
    lost_bookings: int
    wrongly_not_executed: int
    unknown: int
    resumed: int
    examples: list[str] = field(default_factory=list)

    @property
    def held(self) -> bool:
        """Whether every promise that was checked held."""
        broken = (
            self.wrong,
            self.lost,
            self.doubled,
            self.lost_bookings,
            self.wrongly_not_executed,
        )
        return not any(broken)


def judge(
    *,
    answers: Sequence[AnswerReport],
    bookings: Sequence[BookingReport],
    generations: Sequence[Execution],
    booked: Sequence[Execution],
) -> Verdict:
    """Count what held and what did not.

    :param answers: What callers saw of their requests.
    :param bookings: What callers saw of their bookings.
    :param generations: What engines executed.
    :param booked: What services executed.
    """
    by_answer = Counter(report.state for report in answers)
    executed_tags = {execution.tag for execution in generations}
    runs = Counter(execution.id for execution in booked)
    denied = [
        report
        for report in answers
        if any(trial in executed_tags for trial in report.told_not_executed)
    ]
    wrong = [report for report in answers if report.state is AnswerState.WRONG]
    states = (AnswerState.LOST, AnswerState.REFUSED)
    lost = [report for report in answers if report.state in states]
    doubled = [report for report in bookings if runs[report.key] > 1]
    lost_bookings = [report for report in bookings if _is_lost(report, runs)]
    denied_bookings = _denied_bookings(bookings, runs)
    examples = [
        *(f"wrong answer {_show(report)}" for report in wrong),
        *(f"lost answer {_show(report)}" for report in lost),
        *(f"answer called not executed that ran {_show(report)}" for report in denied),
        *(f"booking that ran {runs[item.key]} times {_show(item)}" for item in doubled),
        *(f"lost booking {_show(report)}" for report in lost_bookings),
        *(f"booking called not executed that ran {_show(report)}" for report in denied_bookings),
    ]
    by_booking = Counter(report.state for report in bookings)
    return Verdict(
        whole=by_answer[AnswerState.WHOLE],
        booked=by_booking[BookingState.BOOKED],
        not_executed=by_booking[BookingState.NOT_EXECUTED] - len(denied_bookings),
        wrong=len(wrong),
        lost=len(lost),
        refused=by_answer[AnswerState.REFUSED],
        doubled=len({report.key for report in doubled}),
        lost_bookings=len(lost_bookings),
        wrongly_not_executed=len(denied) + len(denied_bookings),
        unknown=by_booking[BookingState.UNKNOWN],
        resumed=sum(1 for report in answers if report.resumes),
        examples=examples,
    )


def _is_lost(report: BookingReport, runs: Counter[str]) -> bool:
    if report.state is BookingState.LOST:
        return True
    return report.state is BookingState.BOOKED and runs[report.key] == 0


def _denied_bookings(bookings: Sequence[BookingReport], runs: Counter[str]) -> list[BookingReport]:
    # A caller that sent a booking twice at once believes the better informed of two answers.
    informed = {
        report.key
        for report in bookings
        if report.state is not BookingState.NOT_EXECUTED or report.uncertain
    }
    return [item for item in bookings if item.key not in informed and runs[item.key] > 0]


def _show(report: AnswerReport | BookingReport) -> str:
    name = report.key if isinstance(report, BookingReport) else report.ask.name
    events = "\n    ".join(report.events[-12:])
    return f"{name}: {report.detail} after {report.took_ms} ms\n    {events}"
