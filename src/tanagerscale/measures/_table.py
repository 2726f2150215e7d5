"""Measures aggregated over many requests."""

from __future__ import annotations

from typing import final

from msgspec import Struct

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.measures._histogram import DurationHistogram
from tanagerscale.measures._timeline import RequestTimeline


class Summary(Struct, frozen=True, kw_only=True):
    """Measures of one run; see docs/MEASURES.md for their definitions.

    :param requests: Requests that ended, with any outcome.
    :param completed: Requests whose answer was complete.
    :param stall_s: Total stall time of all requests, in seconds.
    :param short_stall_s: Total stall time of requests of short classes, in seconds.
    :param preemptions: Number of preemptions by engines.
    :param gap_p50_ms: Median time between tokens, in milliseconds.
    :param gap_p99_ms: 99th percentile of the time between tokens, in milliseconds.
    :param gap_p999_ms: 99.9th percentile of the time between tokens, in milliseconds.
    :param first_p50_ms: Median time to the first token, in milliseconds.
    :param first_p99_ms: 99th percentile of the time to the first token, in milliseconds.
    :param good_answers: Complete answers whose stall time is within the limit.
    :param good_tokens: Tokens of the good answers.
    :param cost_ms: Engine time per completed request, in milliseconds.
    :param useful_tokens: Tokens of completed answers.
    :param recomputed_tokens: Tokens computed again because their KV cache was lost.
    :param wasted_tokens: Tokens that were generated and discarded.
    :param shed: Number of refusals with a Retry-After.
    :param moves: Generations moved before an engine preempted them.
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
    """Aggregates the measures of many requests."""

    def __init__(self) -> None:
        self.gaps = DurationHistogram()
        """Time between tokens."""
        self.first_tokens = DurationHistogram()
        """Time to the first token."""
        self.preemptions = 0
        self.recomputed_tokens = 0
        self.wasted_tokens = 0
        self.shed = 0
        self.moves = 0
        self.engine_ms = 0.0
        """Total busy time of all engines."""
        self._requests = 0
        self._completed = 0
        self._stall_ms = 0.0
        self._short_stall_ms = 0.0
        self._good_answers = 0
        self._good_tokens = 0
        self._useful_tokens = 0

    def add(self, timeline: RequestTimeline, *, short: bool, complete: bool) -> None:
        """Add a request that ended.

        :param timeline: Progress of the request.
        :param short: Whether its request class has short answers.
        :param complete: Whether its answer was complete.
        """
        self._requests += 1
        self._stall_ms += timeline.stall_ms
        if short:
            self._short_stall_ms += timeline.stall_ms
        if timeline.time_to_first_token_ms is not None:
            self.first_tokens.record(timeline.time_to_first_token_ms)
        if not complete:
            self.wasted_tokens += timeline.tokens
            return
        self._completed += 1
        self._useful_tokens += timeline.tokens
        if timeline.is_good():
            self._good_answers += 1
            self._good_tokens += timeline.tokens

    def summary(self) -> Summary:
        """Return the measures of the requests added so far."""
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
