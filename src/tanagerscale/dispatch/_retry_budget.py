"""A bound on the part of the work that is retries."""

from __future__ import annotations

from typing import final

RETRY_RATIO = 0.1
"""Retries that each first attempt pays for."""
MAX_BALANCE = 20.0
"""Retries that may be made at once after a quiet time."""


@final
class RetryBudget:
    """Lets retries be at most a tenth of the work, so that an outage is not followed by a storm."""

    def __init__(self) -> None:
        self._balance = MAX_BALANCE

    def on_request(self) -> None:
        """Record a first attempt."""
        self._balance = min(MAX_BALANCE, self._balance + RETRY_RATIO)

    def try_take(self) -> bool:
        """Take one retry if the budget allows it."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
