"""Repeats that one service may use: a fixed number in each window, and a fraction of requests."""

from __future__ import annotations

from collections import deque
from typing import Final
from typing import final

from msgspec import Struct
from msgspec import field

from tanagerscale.core import Millis
from tanagerscale.generated.messages import RepeatClass
from tanagerscale.policy import RetryBudget

KEPT_SHARE: Final = 0.4
"""Fraction of what accrues that is kept for runs that continue, up to that fraction of the reserve.
The tokens of such a run are computed and partly delivered; a request that begins again has cost
little so far."""

MIN_REPEATS: Final = 1.0
"""Repeats of a full reserve that other requests can use in any case."""


@final
class SlackAccount:
    """The part of the fixed number that has accrued and is not used yet.

    :param reserve: Most that can accrue.
    :param overdraft: What runs that continue may take in advance.
    :param accrued: What has accrued so far.
    :param now: Current time.
    :param has_runs: Whether runs of the service can continue on another upstream.
    """

    def __init__(
        self, *, reserve: float, overdraft: float, accrued: float, now: Millis, has_runs: bool
    ) -> None:
        self._kept_share = KEPT_SHARE if has_runs else 0.0
        self._overdraft = overdraft if has_runs else 0.0
        self._all = RetryBudget(ratio=0.0, reserve=reserve, start=accrued, last_refill=now)
        self._kept = RetryBudget(
            ratio=0.0,
            reserve=self._kept_reserve(reserve),
            start=accrued * self._kept_share,
            last_refill=now,
        )

    @property
    def left(self) -> float:
        """Repeats that are left; negative if some were taken in advance."""
        return self._all.left

    def refill(self, *, now: Millis, per_s: float) -> None:
        """Add what has accrued.

        :param now: Current time.
        :param per_s: Repeats that accrue in a second.
        """
        self._all.refill(now=now, per_s=per_s)
        self._kept.refill(now=now, per_s=per_s * self._kept_share)

    def set_limits(self, *, reserve: float, overdraft: float) -> None:
        """Replace the most that can accrue, and what runs may take in advance."""
        self._all.set_reserve(reserve=reserve)
        self._kept.set_reserve(reserve=self._kept_reserve(reserve))
        self._overdraft = overdraft if self._kept_share else 0.0

    def can_spend(self, kind: RepeatClass) -> bool:
        """Return whether a repeat of some class is available."""
        return self.missing(kind) <= 0

    def missing(self, kind: RepeatClass) -> float:
        """Return how much has to accrue before a repeat of some class is available."""
        kept = -self._overdraft if kind is RepeatClass.RESUMED else self._kept.left
        return 1.0 + kept - self._all.left

    def try_spend(self, kind: RepeatClass) -> bool:
        """Take a repeat if one is available."""
        if not self.can_spend(kind):
            return False
        self._all.spend()
        if kind is RepeatClass.RESUMED:
            self._kept.try_spend()
        return True

    def refund(self) -> None:
        """Return a repeat that was taken for a run and not used."""
        self._all.refund()
        if self._kept_share:
            self._kept.refund()

    def _kept_reserve(self, reserve: float) -> float:
        return max(min(reserve * self._kept_share, reserve - MIN_REPEATS), 0.0)


class RequestShare(Struct, kw_only=True):
    """Repeats that the requests of the last window allow.

    Reports of the last half window are counted, and each covers at most half a window. So their
    sum never exceeds the requests of the window.

    :param reports: Time and number of requests of each report.
    :param requests: Sum of the reports.
    :param granted: Time of each repeat that was granted.
    """

    reports: deque[tuple[Millis, int]] = field(default_factory=deque)
    requests: int = 0
    granted: deque[Millis] = field(default_factory=deque)

    def report(self, requests: int, *, now: Millis) -> None:
        """Count requests."""
        if requests:
            self.reports.append((now, requests))
            self.requests += requests

    def try_spend(self, *, ratio: float, window_ms: int, now: Millis) -> bool:
        """Take a repeat if the requests allow one more.

        :param ratio: Repeats for each request.
        :param window_ms: Length of the window in milliseconds.
        :param now: Current time.
        """
        while self.reports and self.reports[0][0] <= now - window_ms // 2:
            self.requests -= self.reports.popleft()[1]
        while self.granted and self.granted[0] <= now - window_ms:
            self.granted.popleft()
        if len(self.granted) + 1 > ratio * self.requests:
            return False
        self.granted.append(now)
        return True
