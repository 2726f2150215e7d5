"""Retry budget."""

from __future__ import annotations

from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis

RETRY_RATIO = 0.1
"""Retries granted for each request that was sent."""

RETRY_RESERVE = 10.0
"""Maximum number of retries that can accumulate."""


@final
class RetryBudget:
    """Limits retries to a tenth of the requests, so that failures don't multiply the load.

    :param ratio: Retries granted for each request.
    :param reserve: Maximum number of accumulated retries.
    :param start: Initial number of retries; ``None`` means the whole reserve.
    :param last_refill: Time of the last refill by time; ``None`` means that the first call of
        ``refill`` grants nothing.
    """

    def __init__(
        self,
        *,
        ratio: float = RETRY_RATIO,
        reserve: float = RETRY_RESERVE,
        start: float | None = None,
        last_refill: Millis | None = None,
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve if start is None else start
        self._last_refill = last_refill

    @property
    def left(self) -> float:
        """Retries that are left."""
        return self._tokens

    def set_reserve(self, *, reserve: float) -> None:
        """Replace the maximum number of accumulated retries."""
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def refill(self, *, now: Millis, per_s: float) -> None:
        """Add the retries granted by elapsed time.

        :param now: Current time.
        :param per_s: Retries granted per second.
        """
        if self._last_refill is not None:
            granted = (now - self._last_refill) * per_s / MS_PER_SECOND
            self._tokens = min(self._tokens + granted, self._reserve)
        self._last_refill = now

    def on_request(self) -> None:
        """Count the first attempt of a request."""
        self.on_requests(1)

    def on_requests(self, number: int) -> None:
        """Count the first attempts of several requests."""
        self._tokens = min(self._tokens + self._ratio * number, self._reserve)

    def refund(self) -> None:
        """Return a retry that was taken and not used."""
        self._tokens = min(self._tokens + 1.0, self._reserve)

    def spend(self) -> None:
        """Take one retry, also if none is left."""
        self._tokens -= 1.0

    def try_spend(self) -> bool:
        """Take one retry from the budget.

        :returns: Whether a retry was left; otherwise the caller gets the error.
        """
        if self._tokens < 1.0:
            return False
        self.spend()
        return True
