"""How much of the work may be retries."""

from __future__ import annotations

from typing import final

RETRY_RATIO = 0.1
"""Retries for each request that was sent."""

RETRY_RESERVE = 10.0
"""Most retries that quiet times may save up."""


@final
class RetryBudget:
    """Keeps retries to a tenth of the work, so that failures don't multiply load.

    :param ratio: Retries granted for each request.
    :param reserve: Most retries saved up; also what a new budget starts with.
    """

    def __init__(self, *, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    def on_request(self) -> None:
        """Count a request's first attempt."""
        self._tokens = min(self._tokens + self._ratio, self._reserve)

    def try_spend(self) -> bool:
        """Take one retry from the budget.

        :returns: Whether there was one; without it the caller gets its error.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
