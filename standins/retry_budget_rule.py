"""The users' rule on repeated requests, computed from the arrivals at a service's upstreams."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

from tanagerscale.core import MS_PER_SECOND


@dataclass(frozen=True, slots=True)
class RetryBudgetRule:
    """How many repeats the upstreams of a service may get in a window.

    :param ratio: Repeats for each request.
    :param slack: Fixed number of repeats in each window.
    :param window_s: Length of the window in seconds.
    """

    ratio: float
    slack: float
    window_s: float = 10.0

    @property
    def window_ms(self) -> int:
        """Length of the window in milliseconds."""
        return int(self.window_s * MS_PER_SECOND)

    def allowed(self, requests: Sequence[int], *, ended: int) -> float:
        """Return the number of repeats that may arrive in a window.

        The requests are those of the window, of the one before it or of the one half a window
        before it, whichever has most.

        :param requests: Sorted times of the requests of callers, in milliseconds.
        :param ended: End of the window.
        """
        ends = (ended, ended - self.window_ms, ended - self.window_ms // 2)
        most = max(_count(requests, end - self.window_ms, end) for end in ends)
        return self.ratio * most + self.slack

    def find_excess(self, *, requests: Sequence[int], arrivals: Sequence[tuple[int, str]]) -> str:
        """Return a description of the first window with too many repeats; empty if there is none.

        :param requests: Sorted times of the requests of callers, in milliseconds.
        :param arrivals: Time and request of each arrival at an upstream, in order of time.
        """
        repeats = find_repeats(arrivals)
        for at in repeats:
            # The windows that end with a repeat, and those that begin with one.
            for ended in (at, at + self.window_ms - 1):
                count = _count(repeats, ended - self.window_ms, ended)
                allowed = self.allowed(requests, ended=ended)
                if count > allowed:
                    return (
                        f"got {count} repeats in {self.window_ms} ms until {ended}, "
                        f"allowed {allowed:g}"
                    )
        return ""

    def used_share(self, *, requests: Sequence[int], arrivals: Sequence[tuple[int, str]]) -> float:
        """Return the largest fraction of the allowed repeats that a window had."""
        repeats = find_repeats(arrivals)
        return max(
            (
                _count(repeats, at - self.window_ms, at) / self.allowed(requests, ended=at)
                for at in repeats
            ),
            default=0.0,
        )


def find_repeats(arrivals: Sequence[tuple[int, str]]) -> list[int]:
    """Return the times of the arrivals beyond the first of their request.

    :param arrivals: Time and request of each arrival, in order of time.
    """
    seen: set[str] = set()
    repeats = []
    for at, request in arrivals:
        if request in seen:
            repeats.append(at)
        seen.add(request)
    return repeats


def _count(times: Sequence[int], after: int, until: int) -> int:
    """Return how many sorted times are later than one time and not later than another."""
    return bisect_right(times, until) - bisect_right(times, after)
