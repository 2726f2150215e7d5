"""Forecasts when engines have memory for waiting generations, and which are refused at once.

Workload: a part of the engines is gone, or demand is a multiple of what engines serve. Then the
queue grows, and generations wait for seconds to be refused at the end. Memory is released as
running generations end; their answers have a known distribution of lengths.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from collections.abc import Sequence
import heapq
from itertools import count
import math
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.core import UpstreamId
from tanagerscale.policy._placement import GROWTH_RESERVE_TOKENS

MAX_FORECAST_ERROR: Final = 2.0
"""Factor by which a forecast may be too long without a wrong refusal. Half of the generations
whose forecast equals their time left could be served."""

MAX_USED_LEFT_RATIO: Final = 1 / 3
"""Fraction of their time left for which callers honor a retry delay."""

FORECAST_HORIZON_MS: Final = 60_000
"""Time after which nothing is forecast; callers have 39 s at most."""

UNRESERVED_RETRY_RATIO: Final = (0.8, 1.0)
"""Range of the retry delay, as a fraction of the longest one that the caller uses, when that is too
short for the forecast. It spreads callers that were refused at the same moment."""


class Release(Struct, frozen=True, kw_only=True):
    """A running generation that will release its memory.

    :param upstream: Its engine.
    :param after_ms: Expected time until it ends, in milliseconds.
    :param tokens: Memory that it is planned to use now, in tokens.
    :param growth_per_ms: Memory by which it grows in a millisecond, in tokens.
    """

    upstream: UpstreamId
    after_ms: float
    tokens: float
    growth_per_ms: float = 0.0


class Claim(Struct, frozen=True, kw_only=True):
    """A generation that goes before the waiting ones from some time on.

    :param after_ms: Time until then, in milliseconds; not negative.
    :param tokens: Length of its prompt in tokens.
    :param hold_ms: Time for which it is expected to hold its memory, in milliseconds.
    """

    after_ms: float
    tokens: int
    hold_ms: float


class AdmissionOutlook(Struct, frozen=True, kw_only=True):
    """What is known about a generation that has no capacity now.

    :param start_ms: Forecast time until it can start, in milliseconds; infinite beyond the horizon.
    :param ahead_tokens: Prompt tokens of the generations and reservations before it.
    """

    start_ms: float
    ahead_tokens: int


class RetryTime(Struct, frozen=True, kw_only=True):
    """When the caller of a refused generation should return.

    :param retry_ms: Time until then, in milliseconds.
    :param is_reserved: Whether capacity can be reserved for that time.
    """

    retry_ms: int
    is_reserved: bool


@final
class CapacityForecast:
    """Forecasts the start of waiting generations, asked for in the order of their queue.

    The capacity of a generation that keeps its place must be taken before the next one's forecast.

    :param free: Memory that each engine has left for new generations now, in tokens; negative if
        its running generations need more than there is.
    :param releases: The running generations.
    :param claims: Generations that go before the waiting ones from some time on.
    :param share: Fraction of the capacity that this decider may give away, above 0 and at most 1.
    """

    def __init__(
        self,
        *,
        free: Mapping[UpstreamId, float],
        releases: Sequence[Release],
        claims: Sequence[Claim] = (),
        share: float = 1.0,
    ) -> None:
        self._free = dict(free)
        self._growth: dict[UpstreamId, float] = dict.fromkeys(free, 0.0)
        self._updated_ms: dict[UpstreamId, float] = dict.fromkeys(free, 0.0)
        self._share = share
        self._now_ms = 0.0
        self._ahead_tokens = 0
        self._due: deque[Claim] = deque()
        self._numbers = count()
        self._events: list[tuple[float, int, Release | Claim]] = []
        for release in releases:
            if release.upstream in self._free:
                self._growth[release.upstream] += release.growth_per_ms
                self._events.append((max(release.after_ms, 0.0), next(self._numbers), release))
        self._events += [(claim.after_ms, next(self._numbers), claim) for claim in claims]
        heapq.heapify(self._events)
        self._emptiest = [(-tokens, upstream) for upstream, tokens in self._free.items()]
        heapq.heapify(self._emptiest)

    def forecast(self, *, tokens: int) -> AdmissionOutlook | None:
        """Return when the next generation of the queue can start.

        :param tokens: Length of its prompt.
        :returns: ``None`` if no running generation is known whose end could make room for it.
        """
        while True:
            self._begin_due_claims()
            if not self._due and self._find_engine(tokens) is not None:
                return AdmissionOutlook(start_ms=self._now_ms, ahead_tokens=self._ahead_tokens)
            if not self._events:
                return None
            if self._events[0][0] > FORECAST_HORIZON_MS:
                return AdmissionOutlook(start_ms=math.inf, ahead_tokens=self._ahead_tokens)
            self._advance()

    def take(self, *, tokens: int, hold_ms: float) -> None:
        """Take the capacity of the generation that was forecast last, if there is any.

        :param tokens: Length of its prompt.
        :param hold_ms: Time for which it is expected to hold its memory.
        """
        self._try_begin(Claim(after_ms=0.0, tokens=tokens, hold_ms=hold_ms))
        self._ahead_tokens += tokens

    def _begin_due_claims(self) -> None:
        while self._due and self._try_begin(self._due[0]):
            self._ahead_tokens += self._due.popleft().tokens

    def _advance(self) -> None:
        self._now_ms, _, event = heapq.heappop(self._events)
        if isinstance(event, Claim):
            self._due.append(event)
            return
        growth = event.growth_per_ms
        self._add(event.upstream, event.tokens + growth * self._now_ms)
        self._growth[event.upstream] -= growth

    def _needed(self, tokens: int) -> float:
        return (tokens + GROWTH_RESERVE_TOKENS) / self._share

    def _find_engine(self, tokens: int) -> UpstreamId | None:
        """Return the emptiest engine if it has memory for a prompt."""
        while self._emptiest:
            negative_free, upstream = self._emptiest[0]
            if -negative_free == self._free[upstream]:
                return upstream if -negative_free >= self._needed(tokens) else None
            heapq.heappop(self._emptiest)  # The memory has changed since.
        return None

    def _try_begin(self, claim: Claim) -> bool:
        """Let a generation take the memory that it needs, if an engine has it."""
        upstream = self._find_engine(claim.tokens)
        if upstream is None:
            return False
        needed = self._needed(claim.tokens)
        self._add(upstream, -needed)
        release = Release(upstream=upstream, after_ms=0.0, tokens=needed)
        end_ms = self._now_ms + claim.hold_ms
        heapq.heappush(self._events, (end_ms, next(self._numbers), release))
        return True

    def _add(self, upstream: UpstreamId, tokens: float) -> None:
        """Change the free memory of an engine, and subtract the growth since the last change."""
        grown = self._growth[upstream] * (self._now_ms - self._updated_ms[upstream])
        self._updated_ms[upstream] = self._now_ms
        self._free[upstream] += tokens - grown
        heapq.heappush(self._emptiest, (-self._free[upstream], upstream))


def is_hopeless(*, start_ms: float, left_ms: int) -> bool:
    """Return whether a generation can't start in time even if its forecast is twice too long.

    :param start_ms: Forecast time until it can start, in milliseconds.
    :param left_ms: Time for which it can wait, in milliseconds.
    """
    return start_ms / MAX_FORECAST_ERROR > left_ms


def choose_retry_time(*, start_ms: float, deadline_ms: int, spread: float) -> RetryTime:
    """Return when the caller of a refused generation should return.

    :param start_ms: Forecast time until there is capacity for it, in milliseconds.
    :param deadline_ms: Time until its whole answer is due, in milliseconds.
    :param spread: Random number between 0 and 1.
    """
    usable_ms = max(int(deadline_ms * MAX_USED_LEFT_RATIO), 0)
    if start_ms <= usable_ms:
        return RetryTime(retry_ms=math.ceil(start_ms), is_reserved=True)
    lowest, highest = UNRESERVED_RETRY_RATIO
    ratio = lowest + (highest - lowest) * spread
    return RetryTime(retry_ms=int(usable_ms * ratio), is_reserved=False)
