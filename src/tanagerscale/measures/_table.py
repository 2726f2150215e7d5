"""Sums over many requests."""

from __future__ import annotations

from typing import final

from msgspec import Struct

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.measures._histogram import GapHistogram
from tanagerscale.measures._timeline import RequestTimeline


class Summary(Struct, frozen=True, kw_only=True):
    """The measures of one run; see docs/MEASURES.md for each definition.

    :param requests: Requests that ended, in whichever way.
    :param completed: Requests whose whole answer came.
    :param stall_s: Stall time of all requests, in seconds.
    :param short_stall_s: Stall time of requests of short classes, in seconds.
    :param preemptions: Preemptions by engines.
    :param gap_p50_ms: Median time between tokens.
    :param gap_p99_ms: 99th percentile of the time between tokens.
    :param gap_p999_ms: 99.9th percentile of the time between tokens.
    :param first_p50_ms: Median wait for the first token.
    :param first_p99_ms: 99th percentile of the wait for the first token.
    :param good_answers: Whole answers in good time.
    :param good_tokens: Tokens of those answers.
    :param cost_ms: Engine-milliseconds for each completed request.
    :param useful_tokens: Tokens of completed answers.
    :param recomputed_tokens: Tokens whose memory was lost and computed again.
    :param wasted_tokens: Tokens made and thrown away.
    :param shed: Refusals with a Retry-After.
    :param moves: Generations moved before an engine preempted.
    """

    requests: int
    completed: int
    stall_s: float
    short_stall_s: float
    preemptions: int
    gap_p50_ms: float
    gap_p99_ms: float
    gap_p999_ms: float
    first_p50_ms: float
    first_p99_ms: float
    good_answers: int
    good_tokens: int
    cost_ms: float
    useful_tokens: int
    recomputed_tokens: int
    wasted_tokens: int
    shed: int
    moves: int


@final
class MeasureTable:
    """Accumulates the measures of many requests."""

    def __init__(self) -> None:
        self.gaps = GapHistogram()
        """Time between tokens."""
        self.first_tokens = GapHistogram()
        """Wait for the first token."""
        self.preemptions = 0
        self.recomputed_tokens = 0
        self.wasted_tokens = 0
        self.shed = 0
        self.moves = 0
        self.engine_ms = 0.0
        """Time in which engines had something to run."""
        self._requests = 0
        self._completed = 0
        self._stall_ms = 0.0
        self._short_stall_ms = 0.0
        self._good_answers = 0
        self._good_tokens = 0
        self._useful_tokens = 0

    def add(self, timeline: RequestTimeline, *, short: bool, complete: bool) -> None:
        """Count a request that ended.

        :param timeline: Its progress.
        :param short: Whether its class is one of short answers.
        :param complete: Whether its whole answer came.
        """
        self._requests += 1
        self._stall_ms += timeline.stall_ms
        if short:
            self._short_stall_ms += timeline.stall_ms
        if timeline.first_token_wait is not None:
            self.first_tokens.record(timeline.first_token_wait)
        if not complete:
            self.wasted_tokens += timeline.tokens
            return
        self._completed += 1
        self._useful_tokens += timeline.tokens
        if timeline.is_good():
            self._good_answers += 1
            self._good_tokens += timeline.tokens

    def summary(self) -> Summary:
        """Return the measures so far."""
        return Summary(
            requests=self._requests,
            completed=self._completed,
            stall_s=self._stall_ms / MS_PER_SECOND,
            short_stall_s=self._short_stall_ms / MS_PER_SECOND,
            preemptions=self.preemptions,
            gap_p50_ms=self.gaps.quantile(0.5),
            gap_p99_ms=self.gaps.quantile(0.99),
            gap_p999_ms=self.gaps.quantile(0.999),
            first_p50_ms=self.first_tokens.quantile(0.5),
            first_p99_ms=self.first_tokens.quantile(0.99),
            good_answers=self._good_answers,
            good_tokens=self._good_tokens,
            cost_ms=self.engine_ms / max(self._completed, 1),
            useful_tokens=self._useful_tokens,
            recomputed_tokens=self.recomputed_tokens,
            wasted_tokens=self.wasted_tokens,
            shed=self.shed,
            moves=self.moves,
        )
