"""Interface to the limits of client accounts."""

from __future__ import annotations

from typing import Protocol

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Problem


class AccountLimiter(Protocol):
    """Enforces the limits of client accounts, which apply across all hosts."""

    def start(self, *, account: ClientAccountId, tokens: int) -> Problem | None:
        """Start a request, or return the problem to reject it with."""

    def finish(self, *, account: ClientAccountId, tokens: int) -> None:
        """Record the end of a started request."""
