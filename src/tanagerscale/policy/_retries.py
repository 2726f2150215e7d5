"""How much of the work may be retries."""

from __future__ import annotations

from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis

RETRY_RATIO = 0.1
"""Retries for each request that was sent."""

RETRY_RESERVE = 10.0
"""Most retries that quiet times may save up."""


@final
class RetryBudget:
    """Keeps retries to a tenth of the work, so that failures don't multiply load.

    :param ratio: Retries granted for each request.
    :param reserve: Most retries saved up.
    :param start: What a new budget starts with; ``None`` means the whole reserve.
    :param refilled: Since when time alone grants retries; ``None`` means from the first refill on.
    """

    def __init__(
        self,
        *,
        ratio: float = RETRY_RATIO,
        reserve: float = RETRY_RESERVE,
        start: float | None = None,
        refilled: Millis | None = None,
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve if start is None else start
        self._refilled = refilled

    def set_reserve(self, *, reserve: float) -> None:
        """Replace the most retries saved up."""
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def refill(self, *, now: Millis, per_s: float) -> None:
        """Save up what time alone grants.

        :param now: The present time.
        :param per_s: Retries granted in a second.
        """
        if self._refilled is not None:
            gained = (now - self._refilled) * per_s / MS_PER_SECOND
            self._tokens = min(self._tokens + gained, self._reserve)
        self._refilled = now

    def on_request(self) -> None:
        """Count a request's first attempt."""
        self.on_requests(1)

    def on_requests(self, number: int) -> None:
        """Count the first attempts of some requests."""
        self._tokens = min(self._tokens + self._ratio * number, self._reserve)

    def try_spend(self) -> bool:
        """Take one retry from the budget.

        :returns: Whether there was one; without it the caller gets its error.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
