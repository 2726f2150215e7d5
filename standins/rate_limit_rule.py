"""Arithmetic of the rate limits that upstreams name, from what arrives at the upstreams alone."""

from __future__ import annotations

from bisect import bisect_right
from collections import deque
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass

from tanagerscale.core import MS_PER_SECOND

SPAN_MS = 4_000
"""Every span of this length counts."""
GRACE_MS = 3_000
"""Time after an upstream has named its limit from which spans count."""
TOLD_DELAY_MS = 500
"""Requests of a host count from this time after it has passed on a response with the limit."""
RATE_FACTOR = 1.5
SLACK = 5


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an upstream.

    :param at: Time in milliseconds.
    :param host: Host that sent it.
    """

    at: int
    host: str


@dataclass(frozen=True, slots=True)
class LimitPeriod:
    """A time in which an upstream names a rate limit; it may change in between.

    :param began: Start in milliseconds.
    :param ended: End in milliseconds.
    :param rates: Each rate, in requests a second, with the time from which it is named.
    """

    began: int
    ended: int
    rates: Sequence[tuple[int, float]]

    def highest_rate(self, began: int, ended: int) -> float:
        """Return the highest rate that is named at any time in a span."""
        changes = [at for at, _ in self.rates]
        first = max(bisect_right(changes, began) - 1, 0)
        return max(rate for at, rate in self.rates[first:] if at <= ended)


def find_excess(
    *,
    arrivals: Sequence[Arrival],
    period: LimitPeriod,
    told: Mapping[str, Sequence[int]],
    is_interrupted: Callable[[str, int, int], bool] = lambda host, began, ended: False,
) -> str:
    """Return a description of the first span with too many requests; empty if there is none.

    :param arrivals: Requests that reached the upstream, in order of time.
    :param period: When the upstream named a limit.
    :param told: For each host, the sorted times at which it passed on a response with a limit.
    :param is_interrupted: Returns whether a host was stopped, restarted, frozen or cut off in some
        span of time.
    """
    counted: deque[int] = deque()
    for arrival in arrivals:
        if not period.began <= arrival.at <= period.ended:
            continue
        times = told.get(arrival.host, ())
        earlier = bisect_right(times, arrival.at - TOLD_DELAY_MS)
        if not earlier:
            continue
        since = min(times[earlier - 1], arrival.at - GRACE_MS)
        if is_interrupted(arrival.host, since, arrival.at):
            continue
        counted.append(arrival.at)
        while counted[0] <= arrival.at - SPAN_MS:
            counted.popleft()
        rate = period.highest_rate(arrival.at - SPAN_MS, arrival.at)
        allowed = int(RATE_FACTOR * rate * SPAN_MS / MS_PER_SECOND + SLACK)
        if arrival.at >= period.began + GRACE_MS and len(counted) > allowed:
            return (
                f"got {len(counted)} requests in {SPAN_MS} ms until {arrival.at} at a limit of "
                f"{rate:g} a second, allowed {allowed}"
            )
    return ""
