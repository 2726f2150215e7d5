"""Repeats, bounded for each service over all hosts together without a call for each."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import ServiceId
from tanagerscale.policy import RetryBudget

SHARE_USED: Final = 0.8
"""Part of the allowance that hosts give out; the rest covers hosts that come and go while the
allowance is divided."""

LEAST_RESERVE: Final = 1.0
"""Whole repeats that a host may save up, however many hosts there are. With 78 hosts the part of
each is 0.93, of which no repeat could be taken; 78 saved ones are within the allowance."""


@final
class RetryBudgets:
    """Gives each host its part of a service's allowance.

    The allowance of a time window is a share of the service's requests and a fixed number beside
    it. A host may spend the share on its own requests, and one part in N of the fixed number: half
    of that at once and half spread over the window.

    :param ratio: Repeats for each request.
    :param slack: Repeats beside that in each window, over all hosts.
    :param window_s: Length of the window in seconds.
    :param hosts: Returns how many hosts there are, those included that can't be reached.
    :param clock: Time.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        hosts: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._ratio = ratio * SHARE_USED
        self._slack = slack * SHARE_USED
        self._window_s = window_s
        self._hosts = hosts
        self._clock = clock
        self._budgets: dict[ServiceId, RetryBudget] = {}

    def reconfigure(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Go by another allowance from now on."""
        self._ratio = ratio * SHARE_USED
        self._slack = slack * SHARE_USED
        self._window_s = window_s
        self._budgets.clear()

    def on_request(self, service: ServiceId) -> None:
        """Count a request's first attempt."""
        self._budget(service).on_request()

    def try_spend(self, service: ServiceId) -> bool:
        """Take one repeat.

        :returns: Whether there was one left.
        """
        return self._budget(service).try_spend()

    def _budget(self, service: ServiceId) -> RetryBudget:
        part = self._slack / 2 / max(self._hosts(), 1)
        budget = self._budgets.get(service)
        reserve = max(part, LEAST_RESERVE)
        if budget is None:
            budget = RetryBudget(ratio=self._ratio, reserve=reserve, start=part)
            self._budgets[service] = budget
        budget.set_reserve(reserve=reserve)
        budget.refill(now=self._clock.now(), per_s=part / self._window_s)
        return budget
