"""Retry budgets of services, shared by all hosts.

Requests that fail at random are worth a retry. Each of 195 hosts sees one such failure every few
seconds, but its own share of a budget of 430 in ten seconds is two, and less than one after the
part held in reserve. So the decider holds the whole budget and grants retries from it to any host.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final
from typing import final

from msgspec import Struct
from msgspec import field

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.policy import RetryBudget

GRANTED_SHARE: Final = 0.8
"""Fraction of the budget that is granted; the rest covers changes of the decider."""

MIN_RESERVE: Final = 1.0
"""Minimum reserve, in retries, of a host that decides only for itself, regardless of the number of
hosts. With a reserve below one it could never retry."""


class _RequestShare(Struct, kw_only=True):
    """Retries that the requests of the last window allow.

    Reports of the last half window are counted, and each covers at most half a window. So their
    sum never exceeds the requests of the window.

    :param reports: Time and number of requests of each report.
    :param requests: Sum of the reports.
    :param granted: Time of each retry that was granted.
    """

    reports: deque[tuple[Millis, int]] = field(default_factory=deque)
    requests: int = 0
    granted: deque[Millis] = field(default_factory=deque)

    def report(self, requests: int, *, now: Millis) -> None:
        """Count requests."""
        if requests:
            self.reports.append((now, requests))
            self.requests += requests

    def try_spend(self, *, ratio: float, window_ms: int, now: Millis) -> bool:
        """Take a retry if the requests allow one more.

        :param ratio: Retries for each request.
        :param window_ms: Length of the window in milliseconds.
        :param now: Current time.
        """
        while self.reports and self.reports[0][0] <= now - window_ms // 2:
            self.requests -= self.reports.popleft()[1]
        while self.granted and self.granted[0] <= now - window_ms:
            self.granted.popleft()
        if len(self.granted) + 1 > ratio * self.requests:
            return False
        self.granted.append(now)
        return True


class _Account(Struct, kw_only=True):
    """Retries that a service may use.

    :param slack: Part of the fixed number that is available.
    :param share: What the requests of the last window allow besides.
    """

    slack: RetryBudget
    share: _RequestShare = field(default_factory=_RequestShare)


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
        self._accounts: dict[ServiceId, _Account] = {}
        self._started_at: Millis | None = None
        self._settled_share = 0.0
        """Fraction of all hosts that have used this decider since the last change."""
        self._unused = RetryBudget(ratio=0.0, reserve=0.0)
        """What is available of the fixed number for a service without an account."""

    @property
    def max_request_age_ms(self) -> int:
        """Age in milliseconds up to which hosts report their requests: half of the window."""
        return self._window_ms // 2

    @property
    def decider_since_ms(self) -> int:
        """Time for which this host has been a decider, in milliseconds."""
        return self._clock.now() - self._since()

    def reconfigure(self, *, ratio: float, slack: float, window_s: float) -> None:
        """Replace the parameters of the budget; what was available is not granted again."""
        parameters = ratio * GRANTED_SHARE, slack * GRANTED_SHARE, window_s
        if parameters == (self._ratio, self._slack, self._window_s):
            return
        self._ratio, self._slack, self._window_s = parameters
        self._accounts.clear()
        self._unused = RetryBudget(
            ratio=0.0, reserve=self._reserve, start=0.0, last_refill=self._clock.now()
        )

    def on_hosts_changed(self) -> None:
        """Settle what has accrued before the hosts that use this decider change.

        A host to which others turn must not grant for a time in which another one decided.
        """
        since = self._since()
        if since != self._started_at:
            self._started_at = since
            self._settled_share = self._share()
            self._accounts.clear()
            self._unused = RetryBudget(
                ratio=0.0, reserve=self._reserve, start=0.0, last_refill=since
            )
            return
        share = self._share()
        if share == self._settled_share:
            return
        budgets = [self._unused, *(account.slack for account in self._accounts.values())]
        for budget in budgets:
            self._refill(budget)
        self._settled_share = share
        for budget in budgets:
            budget.set_reserve(reserve=self._reserve)

    def try_acquire(self, *, service: ServiceId, requests: int) -> bool:
        """Acquire one retry.

        :param service: The service.
        :param requests: Requests for the service that the asking host has not reported before.
        :returns: Whether a retry was available.
        """
        account = self._get_account(service)
        now = self._clock.now()
        account.share.report(requests, now=now)
        is_granted = account.share.try_spend(ratio=self._ratio, window_ms=self._window_ms, now=now)
        return is_granted or account.slack.try_spend()

    def left(self, service: ServiceId) -> float:
        """Return the part of the fixed number that a service may use now."""
        account = self._accounts.get(service)
        return 0.0 if account is None else account.slack.left

    @property
    def _window_ms(self) -> int:
        return int(self._window_s * MS_PER_SECOND)

    @property
    def _slack_share(self) -> float:
        """Part of the fixed number that is available at once, and again over each window."""
        return self._slack / 2 * self._settled_share

    @property
    def _reserve(self) -> float:
        return max(self._slack_share, MIN_RESERVE)

    def _refill(self, budget: RetryBudget) -> None:
        budget.refill(now=self._clock.now(), per_s=self._slack_share / self._window_s)

    def _get_account(self, service: ServiceId) -> _Account:
        self.on_hosts_changed()
        account = self._accounts.get(service)
        if account is None:
            self._refill(self._unused)
            account = _Account(
                slack=RetryBudget(
                    ratio=0.0,
                    reserve=self._reserve,
                    start=self._unused.left,
                    last_refill=self._clock.now(),
                )
            )
            self._accounts[service] = account
        self._refill(account.slack)
        return account
