"""Usage of client accounts over the last seconds, with exponential decay."""

from __future__ import annotations

from collections.abc import Mapping
import math
from typing import Final
from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Millis
from tanagerscale.policy._service_accounting import ReceivedService

USAGE_HALF_LIFE_MS: Final = 1500
"""Time in which past usage counts half. Shares hold over any five seconds; with a half-life of 2.5
seconds an account of low priority that had been served well got less than its minimum in one of
these windows."""

MIN_USAGE_TOKENS: Final = 0.01
"""Usage below which an account is forgotten: that of one long generation falls below it in half a
minute. Up to then, accounts that take turns on one place keep their order."""

MAX_CHARGE_TOKENS: Final = 1_000_000
"""Most that is charged at once. No engine holds as much; a greater number is invalid, and would
keep an account behind others for minutes."""


@final
class RecentUsage:
    """Decaying usage of each account, in prompt tokens; an output token costs two of them.

    The usages of all accounts decay alike, so their order changes only by charges. Idle accounts
    are forgotten.
    """

    def __init__(self) -> None:
        self._accounts: dict[ClientAccountId, ReceivedService] = {}
        self._decayed_at = Millis(0)

    @property
    def mean(self) -> float:
        """Mean usage of the accounts that have any."""
        if not self._accounts:
            return 0.0
        return sum(one.served for one in self._accounts.values()) / len(self._accounts)

    def accounts(self, now: Millis) -> Mapping[ClientAccountId, float]:
        """Return the usage of each account that has any, decayed up to the current time."""
        factor = self._factor(now)
        return {name: account.served * factor for name, account in self._accounts.items()}

    def get(self, account: ClientAccountId) -> float:
        """Return the usage of an account."""
        known = self._accounts.get(account)
        return 0.0 if known is None else known.served

    def charge(self, account: ClientAccountId, *, prompt: int = 0, output: int = 0) -> None:
        """Add tokens to the usage of an account.

        :param account: The account.
        :param prompt: Prompt tokens; negative numbers count as 0.
        :param output: Output tokens; negative numbers count as 0.
        """
        prompt, output = clamp_tokens(prompt), clamp_tokens(output)
        if prompt or output:
            self._get_account(account).charge(prompt=prompt, output=output)

    def lift(self, account: ClientAccountId, least: float) -> None:
        """Raise the usage of an account to a lower bound."""
        if least > 0:
            self._get_account(account).lift(least)

    def decay(self, now: Millis) -> None:
        """Apply the decay up to the current time."""
        if now <= self._decayed_at:
            return
        factor = self._factor(now)
        self._decayed_at = now
        for name, account in list(self._accounts.items()):
            account.served *= factor
            if account.served < MIN_USAGE_TOKENS:
                del self._accounts[name]

    def _factor(self, now: Millis) -> float:
        return math.pow(0.5, max(now - self._decayed_at, 0) / USAGE_HALF_LIFE_MS)

    def _get_account(self, account: ClientAccountId) -> ReceivedService:
        return self._accounts.setdefault(account, ReceivedService())


def clamp_tokens(tokens: int) -> int:
    """Return a number of tokens within the bounds of what is charged at once."""
    return min(max(tokens, 0), MAX_CHARGE_TOKENS)
