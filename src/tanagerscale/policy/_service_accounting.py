"""Accounting of the service that client accounts receive, in prompt tokens."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

OUTPUT_TOKEN_COST = 2.0
"""Cost of an output token relative to a prompt token in service accounting (Sheng et al., 2024)."""


@dataclass(slots=True)
class ReceivedService:
    """Service that one account has received.

    :param weight: Weight of the account; an account of weight 2 is charged half.
    :param served: Cost of its tokens divided by its weight, in prompt tokens.
    """

    weight: float = 1.0
    served: float = 0.0

    def charge(self, *, prompt: int = 0, output: int = 0) -> None:
        """Add the cost of prompt and output tokens."""
        self.served += (prompt + OUTPUT_TOKEN_COST * output) / self.weight

    def lift(self, least: float) -> None:
        """Raise the received service to a lower bound (the counter lift of VTC).

        An account without requests accumulates no credit.

        :param least: The bound, in prompt tokens.
        """
        self.served = max(self.served, least)


def least_served(accounts: Iterable[ReceivedService]) -> float:
    """Return the lowest received service among accounts, of which there is at least one."""
    return min(account.served for account in accounts)
