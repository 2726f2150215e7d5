"""Repeats, bounded for each service over all hosts together.

The load it answers: requests that fail by chance are worth a repeat, and each of 195 hosts sees one
in some seconds, where its own part of an allowance of 430 in ten seconds is two, and less than one
beside what it must keep back. The host that decides has the whole allowance and gives out of it to
whoever needs one.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.policy import RetryBudget

SHARE_USED: Final = 0.8
"""Part of the allowance that is given out; the rest covers deciders that come and go."""

LEAST_RESERVE: Final = 1.0
"""Whole repeats that a host may save up which decides for itself alone, however many hosts there
are. Of a part below one no repeat could ever be taken."""


@final
class RepeatAllowance:
    """Gives out repeats of the hosts that let one decide.

    The allowance of a time window is a share of the service's requests and a fixed number beside
    it. A decider gives the share of the requests that its hosts tell of, and of the fixed number as
    much as they are of all hosts: half of that at once and half spread over the window.

    :param ratio: Repeats for each request.
    :param slack: Repeats beside that in each window, over all hosts.
    :param window_s: Length of the window in seconds.
    :param share: Returns how many of all hosts let this one decide, between 0 and 1.
    :param since: Returns since when this host decides; what could be saved up before was another's
        to give.
    :param clock: Time.
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
        self._ratio = ratio * SHARE_USED
        self._slack = slack * SHARE_USED
        self._window_s = window_s
        self._share = share
        self._since = since
        self._clock = clock
        self._budgets: dict[ServiceId, RetryBudget] = {}
        self._begun_at: Millis | None = None

    def reconfigure(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Go by another allowance from now on."""
        self._ratio = ratio * SHARE_USED
        self._slack = slack * SHARE_USED
        self._window_s = window_s
        self._budgets.clear()

    def take(self, *, service: ServiceId, requests: int) -> bool:
        """Take one repeat.

        :param service: The service.
        :param requests: Requests for it that the asker has not told of before.
        :returns: Whether there was one left.
        """
        budget = self._budget(service, requests)
        budget.on_requests(requests)
        return budget.try_spend()

    def _budget(self, service: ServiceId, requests: int) -> RetryBudget:
        since = self._since()
        if since != self._begun_at:
            self._begun_at = since
            self._budgets.clear()
        part = self._slack / 2 * self._share()
        # What is told of now came over some time, and may be repeated as a whole.
        reserve = max(part, LEAST_RESERVE) + self._ratio * requests
        per_s = part / self._window_s
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(ratio=self._ratio, reserve=reserve, start=0.0, last_refill=since)
            self._budgets[service] = budget
        budget.set_reserve(reserve=reserve)
        budget.refill(now=self._clock.now(), per_s=per_s)
        return budget
