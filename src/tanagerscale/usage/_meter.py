"""What the host's requests cost, and how long their callers waited."""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from typing import final

from msgspec import Struct
from msgspec import field

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.generated.callers import AccountUsage
from tanagerscale.generated.callers import HostUsage
from tanagerscale.generated.declarations import Objective
from tanagerscale.measures import MeasureTable
from tanagerscale.measures import RequestTimeline

WHOLE = "whole"
"""Outcome of a request with its whole answer; other outcomes are kinds of problems."""
ABANDONED = "abandoned"
"""Outcome of a request whose caller left."""


class _Sums(Struct, kw_only=True):
    requests: int = 0
    answered: int = 0
    prompt_tokens: int = 0
    useful_tokens: int = 0
    repeated_tokens: int = 0
    wasted_tokens: int = 0
    engine_ms: float = 0.0
    stall_ms: float = 0.0


class RequestRecord(Struct, kw_only=True):
    """One request while it runs.

    :param account: Who asks.
    :param prompt_tokens: Estimated length of the prompt.
    :param timeline: Progress as the caller sees it.
    :param attempt_tokens: Tokens of all attempts so far.
    :param engine_ms: Time of all attempts so far, in milliseconds.
    """

    account: ClientAccountId
    prompt_tokens: int
    timeline: RequestTimeline
    attempt_tokens: int = 0
    engine_ms: float = 0.0


class HostCounters(Struct, kw_only=True):
    """Counters behind ``/metrics``; the keys are from small fixed sets.

    :param outcomes: Requests by outcome.
    :param attempt_ends: Attempts by their end.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    attempt_ends: Counter[str] = field(default_factory=Counter)


@final
class UsageMeter:
    """Sums what each client account uses, and measures what its callers wait.

    :param clock: Times progress.
    :param objective: Returns the objective in force.
    """

    def __init__(self, *, clock: Clock, objective: Callable[[], Objective]) -> None:
        self._clock = clock
        self._objective = objective
        self._accounts: dict[ClientAccountId, _Sums] = {}
        self._gaps: defaultdict[int, int] = defaultdict(int)
        self._table = MeasureTable()
        self.counters = HostCounters()

    @property
    def table(self) -> MeasureTable:
        """The measures so far."""
        for gap, count in self._gaps.items():
            self._table.gaps.record(gap, count=count)
        self._gaps.clear()
        return self._table

    def begin(self, *, account: ClientAccountId, prompt_tokens: int) -> RequestRecord:
        """Start the record of a request.

        :param account: Who asks.
        :param prompt_tokens: Estimated length of the prompt.
        """
        objective = self._objective()
        timeline = RequestTimeline(
            arrived=self._clock.now(),
            first_token_ms=objective.first_token_ms,
            token_gap_ms=objective.token_gap_ms,
        )
        return RequestRecord(account=account, prompt_tokens=prompt_tokens, timeline=timeline)

    def on_progress(self, *, record: RequestRecord, tokens: int) -> None:
        """Record how far a request has come.

        :param record: The request.
        :param tokens: Tokens of its present attempt.
        """
        gap = record.timeline.on_tokens(total=tokens, now=self._clock.now())
        if gap is not None:
            # This runs for each token; whole milliseconds are counted here and sorted into the
            # histogram only when somebody reads it.
            self._gaps[int(gap)] += 1

    def on_attempt(self, *, record: RequestRecord, end: str, tokens: int, started: Millis) -> None:
        """Record the end of an attempt.

        :param record: The request.
        :param end: How it ended, one of a fixed set.
        :param tokens: Tokens it made.
        :param started: When it was sent.
        """
        self.counters.attempt_ends[end] += 1
        record.attempt_tokens += tokens
        record.engine_ms += self._clock.now() - started

    def end(self, *, record: RequestRecord, outcome: str) -> None:
        """Record the end of a request.

        :param record: The request.
        :param outcome: ``WHOLE``, ``ABANDONED`` or the kind of its problem.
        """
        complete = outcome == WHOLE
        if not complete:
            record.timeline.give_up(now=self._clock.now())
        self.counters.outcomes[outcome] += 1
        self._table.add(record.timeline, short=False, complete=complete)
        self._table.engine_ms += record.engine_ms
        self._add(record, complete)

    def _add(self, record: RequestRecord, complete: bool) -> None:
        sums = self._accounts.setdefault(record.account, _Sums())
        useful = record.timeline.tokens if complete else 0
        repeated = max(0, record.attempt_tokens - record.timeline.tokens)
        sums.requests += 1
        sums.answered += complete
        sums.prompt_tokens += record.prompt_tokens
        sums.useful_tokens += useful
        sums.repeated_tokens += repeated
        sums.wasted_tokens += record.attempt_tokens - useful - repeated
        sums.engine_ms += record.engine_ms
        sums.stall_ms += record.timeline.stall_ms
        self._table.recomputed_tokens += repeated

    def usage(self) -> HostUsage:
        """Return what each account has used since the host started."""
        accounts = {
            str(account): AccountUsage(
                requests=sums.requests,
                answered=sums.answered,
                prompt_tokens=sums.prompt_tokens,
                useful_tokens=sums.useful_tokens,
                repeated_tokens=sums.repeated_tokens,
                wasted_tokens=sums.wasted_tokens,
                engine_ms=sums.engine_ms,
                stall_ms=sums.stall_ms,
            )
            for account, sums in self._accounts.items()
        }
        return HostUsage(accounts=accounts)
