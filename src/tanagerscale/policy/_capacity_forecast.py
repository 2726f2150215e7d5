"""Forecasts when engines have memory for waiting generations, and which are refused at once.

Workload: a part of the engines is gone, or demand is a multiple of what engines serve. Then the
queue grows, and generations wait for seconds to be refused at the end. Memory is released as
running generations end; their answers have a known distribution of lengths.
"""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from bisect import insort
from collections.abc import Mapping
from collections.abc import Sequence
from itertools import accumulate
from itertools import chain
from itertools import islice
import math
from operator import attrgetter
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


class _Breakpoint(Struct, eq=False):
    """Moment from which on an engine has memory.

    :param time_ms: The moment, in milliseconds from now.
    :param upstream: The engine.
    :param free: Memory that it has left then, in tokens; may be negative.
    :param growth_per_ms: Memory by which its runs grow in a millisecond from then on, in tokens.
    """

    time_ms: float
    upstream: UpstreamId
    free: float
    growth_per_ms: float

    def free_at(self, time_ms: float) -> float:
        """Return the memory that is left at a later moment before the next breakpoint."""
        return self.free - self.growth_per_ms * (time_ms - self.time_ms)


_time_of: Final = attrgetter("time_ms")


@final
class CapacityForecast:
    """Forecasts the start of waiting generations, asked for in the order of their queue.

    Each starts when an engine has memory for it, as in ``place``: one that has to wait does not
    delay smaller ones behind it. Its own forecast disregards those, so it may be too early. The
    capacity of a generation that keeps its place must be taken before the next one's forecast.

    :param free: Memory that each engine has left for new generations now, in tokens; negative if
        its running generations need more than there is.
    :param releases: The running generations.
    :param claims: Generations that go before the waiting ones from some time on.
    """

    def __init__(
        self,
        *,
        free: Mapping[UpstreamId, float],
        releases: Sequence[Release],
        claims: Sequence[Claim] = (),
    ) -> None:
        self._engines = {
            upstream: [_Breakpoint(0.0, upstream, tokens, 0.0)] for upstream, tokens in free.items()
        }
        known = [release for release in releases if release.upstream in self._engines]
        for release in known:
            self._engines[release.upstream][0].growth_per_ms += release.growth_per_ms
        for release in sorted(known, key=lambda one: one.after_ms):
            self._append_release(release)
        self._points = sorted(chain.from_iterable(self._engines.values()), key=_time_of)
        largest = dict(free)
        for release in known:
            largest[release.upstream] += release.tokens
        self._largest = max(largest.values(), default=0.0)
        self._earliest: dict[float, float] = {}
        """Lower bounds of the starts of generations, by the memory that they need. Memory that is
        taken only makes starts later, so a search begins where the last one for as much ended."""
        self._found: tuple[float, UpstreamId] | None = None
        self._taken_tokens = 0
        self._claim_starts: list[float] = []
        self._claim_tokens = [0]
        self._begin_claims(claims)

    def forecast(self, *, tokens: int) -> AdmissionOutlook | None:
        """Return when the next generation of the queue can start.

        :param tokens: Length of its prompt.
        :returns: ``None`` if no running generation is known whose end could make room for it.
        """
        self._found = None
        if _needed(tokens) > self._largest:
            return None
        self._found = self._find_start(tokens, after_ms=0.0)
        if self._found is None and self._points[-1].time_ms <= FORECAST_HORIZON_MS:
            return None
        start_ms = math.inf if self._found is None else self._found[0]
        begun = bisect_right(self._claim_starts, start_ms)
        ahead_tokens = self._taken_tokens + self._claim_tokens[begun]
        return AdmissionOutlook(start_ms=start_ms, ahead_tokens=ahead_tokens)

    def take(self, *, tokens: int, hold_ms: float) -> None:
        """Take the capacity of the generation that was forecast last, if there is any.

        :param tokens: Length of its prompt.
        :param hold_ms: Time for which it is expected to hold its memory.
        """
        self._taken_tokens += tokens
        if self._found is not None:
            self._occupy(self._found, tokens=tokens, hold_ms=hold_ms)

    def _append_release(self, release: Release) -> None:
        points = self._engines[release.upstream]
        time_ms = max(release.after_ms, 0.0)
        growth = release.growth_per_ms
        free = points[-1].free_at(time_ms) + release.tokens + growth * time_ms
        remaining = points[-1].growth_per_ms - growth
        points.append(_Breakpoint(time_ms, release.upstream, free, remaining))

    def _begin_claims(self, claims: Sequence[Claim]) -> None:
        """Let each claim take memory from the time on at which it is due and fits."""
        begun = []
        for claim in sorted(claims, key=lambda one: one.after_ms):
            found = self._find_start(claim.tokens, after_ms=claim.after_ms)
            if found is not None:
                self._occupy(found, tokens=claim.tokens, hold_ms=claim.hold_ms)
                begun.append((found[0], claim.tokens))
        begun.sort()
        self._claim_starts = [start_ms for start_ms, _ in begun]
        self._claim_tokens = list(accumulate((tokens for _, tokens in begun), initial=0))
        self._earliest.clear()  # The claims were searched from their own times on.

    def _find_start(self, tokens: int, *, after_ms: float) -> tuple[float, UpstreamId] | None:
        """Return the first time from which an engine has memory for a prompt, and the engine."""
        needed = _needed(tokens)
        earliest_ms = max((ms for size, ms in self._earliest.items() if size <= needed), default=0)
        found = None
        if after_ms > 0 and after_ms >= earliest_ms and self._engines:
            free, upstream = max((self._free_at(one, after_ms), one) for one in self._engines)
            if free >= needed:
                found = after_ms, upstream
        first = bisect_left(self._points, max(after_ms, earliest_ms), key=_time_of)
        for point in islice(self._points, first, None):
            if found is not None or point.time_ms > FORECAST_HORIZON_MS:
                break
            if point.free >= needed:
                found = point.time_ms, point.upstream
        self._earliest[needed] = math.inf if found is None else found[0]
        return found

    def _free_at(self, upstream: UpstreamId, time_ms: float) -> float:
        points = self._engines[upstream]
        return points[bisect_right(points, time_ms, key=_time_of) - 1].free_at(time_ms)

    def _occupy(self, start: tuple[float, UpstreamId], *, tokens: int, hold_ms: float) -> None:
        """Take memory of an engine from a time on."""
        start_ms, upstream = start
        end_ms = start_ms + hold_ms
        self._split(upstream, start_ms)
        self._split(upstream, end_ms)
        points = self._engines[upstream]
        first = bisect_left(points, start_ms, key=_time_of)
        for point in islice(points, first, bisect_left(points, end_ms, key=_time_of)):
            point.free -= _needed(tokens)

    def _split(self, upstream: UpstreamId, time_ms: float) -> None:
        """Add a breakpoint to an engine, unless it has one at that time."""
        points = self._engines[upstream]
        index = bisect_right(points, time_ms, key=_time_of)
        last = points[index - 1]
        if last.time_ms == time_ms:
            return
        added = _Breakpoint(time_ms, upstream, last.free_at(time_ms), last.growth_per_ms)
        points.insert(index, added)
        insort(self._points, added, key=_time_of)


def _needed(tokens: int) -> float:
    """Return the memory that a prompt needs, in tokens."""
    return float(tokens + GROWTH_RESERVE_TOKENS)


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
