"""Retry budgets of services, shared by all hosts.

Requests that fail at random are worth a retry. Each of 195 hosts sees one such failure every few
seconds, but its own share of a budget of 430 in ten seconds is two, and less than one after the
part held in reserve. So the decider holds the whole budget and grants retries from it to any host.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.policy import RetryBudget

GRANTED_SHARE: Final = 0.8
"""Fraction of the budget that is granted; the rest covers changes of the decider."""

MIN_RESERVE: Final = 1.0
"""Minimum reserve, in retries, of a host that decides only for itself, regardless of the number of
hosts. With a reserve below one it could never retry."""


@final
class SharedRetryBudgets:
    """Grants retries to the hosts that use this decider.

    The budget of a time window is a fraction of the service's requests plus a fixed number. A
    decider grants the fraction of the requests that its hosts report, and the part of the fixed
    number that corresponds to its share of all hosts: half of that immediately and half spread over
    the window.

    :param ratio: Retries for each request.
    :param slack: Fixed number of retries in each window, over all hosts.
    :param window_s: Length of the window in seconds.
    :param share: Returns the fraction of all hosts that use this decider, between 0 and 1.
    :param since: Returns when this host became a decider; budget accrued before then belonged to
        another decider.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        ratio: float,
        slack: float,
        window_s: float,
        share: Callable[[], float],
        since: Callable[[], Millis],
        clock: Clock,
    ) -> None:
        self._ratio = ratio * GRANTED_SHARE
        self._slack = slack * GRANTED_SHARE
        self._window_s = window_s
        self._share = share
        self._since = since
        self._clock = clock
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._started_at: Millis | None = None

    def reconfigure(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Replace the parameters of the budget."""
        self._ratio = ratio * GRANTED_SHARE
        self._slack = slack * GRANTED_SHARE
        self._window_s = window_s
        self._budgets.clear()

    def try_acquire(self, *, service: ServiceId, requests: int) -> bool:
        """Acquire one retry.

        :param service: The service.
        :param requests: Requests for the service that the asking host has not reported before.
        :returns: Whether a retry was available.
        """
        budget = self._get_budget(service, requests)
        budget.on_requests(requests)
        return budget.try_spend()

    def left(self, service: ServiceId) -> float:
        """Return the retries that a service may use now."""
        budget = self._budgets.get(service)
        return 0.0 if budget is None else budget.left

    @property
    def decider_since_ms(self) -> int:
        """Time for which this host has been a decider, in milliseconds."""
        return self._clock.now() - self._since()

    def _get_budget(self, service: ServiceId, requests: int) -> RetryBudget:
        since = self._since()
        if since != self._started_at:
            self._started_at = since
            self._budgets.clear()
        slack_share = self._slack / 2 * self._share()
        # The reported requests arrived over some time, and the retries for all of them may be used
        # at once.
        reserve = max(slack_share, MIN_RESERVE) + self._ratio * requests
        per_s = slack_share / self._window_s
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(ratio=self._ratio, reserve=reserve, start=0.0, last_refill=since)
            self._budgets[service] = budget
        budget.set_reserve(reserve=reserve)
        budget.refill(now=self._clock.now(), per_s=per_s)
        return budget
