"""Retry budgets of services, shared by all hosts.

Requests that fail at random are worth a retry. Each of 195 hosts sees one such failure every few
seconds, but its own share of a budget of 430 in ten seconds is two, and less than one after the
part held in reserve. So the decider holds the whole budget and grants retries from it to any host.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil
from typing import Final
from typing import final

from msgspec import Struct
from msgspec import field

from tanagerscale.coordination._retry_accounts import RequestShare
from tanagerscale.coordination._retry_accounts import SlackAccount
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.generated.messages import RepeatClass
from tanagerscale.policy import RetryBudget

GRANTED_SHARE: Final = 0.8
"""Fraction of the budget that is granted; the rest covers changes of the decider."""

MIN_RESERVE: Final = 1.0
"""Minimum reserve, in retries, of a host that decides only for itself, regardless of the number of
hosts. With a reserve below one it could never retry."""

OVERDRAFT_SHARE: Final = 0.125
"""Fraction of the granted fixed number that runs which continue may take in advance. A new decider
begins without any, and would otherwise lose the runs of an engine that leaves at that moment."""

MAX_RETURN_MS: Final = 5000
"""Longest time after which a run is told to ask again."""


class RepeatPermit(Struct, frozen=True, kw_only=True):
    """Decision on one request that is sent once more.

    :param is_granted: Whether it may be sent.
    :param delay_ms: Time after which a run that was refused can ask again.
    """

    is_granted: bool
    delay_ms: int = 0


class _Account(Struct, kw_only=True):
    """Retries that a service may use.

    :param slack: Part of the fixed number that is available.
    :param share: What the requests of the last window allow besides.
    :param promised_at: Time for which the last refused run was told to ask again.
    """

    slack: SlackAccount
    share: RequestShare = field(default_factory=RequestShare)
    promised_at: float = 0.0


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
    :param has_runs: Returns whether the runs of a service can continue on another upstream.
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
        has_runs: Callable[[ServiceId], bool] = lambda service: False,
        clock: Clock,
    ) -> None:
        self._has_runs = has_runs
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

    @property
    def share(self) -> float:
        """Fraction of all hosts that use this decider, between 0 and 1."""
        return self._share()

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
        self._refill(self._unused)
        for account in self._accounts.values():
            self._refill(account.slack)
        self._settled_share = share
        self._unused.set_reserve(reserve=self._reserve)
        for account in self._accounts.values():
            account.slack.set_limits(reserve=self._reserve, overdraft=self._overdraft)

    def acquire(
        self, *, service: ServiceId, requests: int, kind: RepeatClass = RepeatClass.REPEATED
    ) -> RepeatPermit:
        """Acquire one repeat, or learn when a run can ask again.

        Runs that are refused are told different times, so that they don't all ask again at once.

        :param service: The service.
        :param requests: Requests for the service that the asking host has not reported before.
        :param kind: Whether a request begins again or a run continues.
        """
        if self.try_acquire(service=service, requests=requests, kind=kind):
            return RepeatPermit(is_granted=True)
        if kind is RepeatClass.REPEATED:
            return RepeatPermit(is_granted=False)
        return RepeatPermit(is_granted=False, delay_ms=self._promise(service))

    def try_acquire(
        self, *, service: ServiceId, requests: int = 0, kind: RepeatClass = RepeatClass.REPEATED
    ) -> bool:
        """Acquire one repeat.

        :param service: The service.
        :param requests: Requests for the service that the asking host has not reported before.
        :param kind: Whether a request begins again or a run continues.
        :returns: Whether a repeat was available.
        """
        account = self._get_account(service)
        now = self._clock.now()
        account.share.report(requests, now=now)
        if account.share.try_spend(ratio=self._ratio, window_ms=self._window_ms, now=now):
            return True
        return account.slack.try_spend(kind)

    def can_acquire(self, *, service: ServiceId, kind: RepeatClass) -> bool:
        """Return whether a repeat of some class is available from the fixed number."""
        return self._get_account(service).slack.can_spend(kind)

    def refund(self, *, service: ServiceId) -> None:
        """Return a repeat that was acquired and not sent."""
        self._get_account(service).slack.refund()

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

    @property
    def _overdraft(self) -> float:
        return self._slack * OVERDRAFT_SHARE * self._settled_share

    def _promise(self, service: ServiceId) -> int:
        """Return after which time a refused run can ask again."""
        account = self._get_account(service)
        now = self._clock.now()
        interval_ms = self._window_ms / max(self._slack_share, MIN_RESERVE)
        available_at = now + account.slack.missing(RepeatClass.RESUMED) * interval_ms
        account.promised_at = max(available_at, account.promised_at + interval_ms)
        account.promised_at = min(account.promised_at, now + MAX_RETURN_MS)
        return ceil(account.promised_at - now)

    def _refill(self, budget: RetryBudget | SlackAccount) -> None:
        budget.refill(now=self._clock.now(), per_s=self._slack_share / self._window_s)

    def _get_account(self, service: ServiceId) -> _Account:
        self.on_hosts_changed()
        account = self._accounts.get(service)
        if account is None:
            self._refill(self._unused)
            slack = SlackAccount(
                reserve=self._reserve,
                overdraft=self._overdraft,
                accrued=self._unused.left,
                now=self._clock.now(),
                has_runs=self._has_runs(service),
            )
            account = _Account(slack=slack)
            self._accounts[service] = account
        self._refill(account.slack)
        return account
