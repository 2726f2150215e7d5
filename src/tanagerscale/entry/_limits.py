"""What the entry asks of the accounts' limits."""

from __future__ import annotations

from typing import Protocol

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Problem


class AccountLimiter(Protocol):
    """Holds accounts to their limits over all hosts together."""

    def start(self, *, account: ClientAccountId, tokens: int) -> Problem | None:
        """Count a request as running, or return the final answer that refuses it."""

    def finish(self, *, account: ClientAccountId, tokens: int) -> None:
        """Count a request that was started as ended."""
