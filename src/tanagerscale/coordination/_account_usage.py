"""Usage of client accounts, summed from the runs of all hosts and from grants."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Final
from typing import TypeVar
from typing import final

from msgspec import Struct

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.generated.messages import RunUse
from tanagerscale.policy import MIN_USAGE_TOKENS
from tanagerscale.policy import USAGE_HALF_LIFE_MS
from tanagerscale.policy import RecentUsage
from tanagerscale.policy import WaitingGeneration
from tanagerscale.policy import lift_returning_accounts
from tanagerscale.policy import order_fairly

T = TypeVar("T")

COUNTED_TTL_MS: Final = 5000
"""How long it is remembered what was counted of a run that no host reports. A run is absent from
reports between its grant and the next report, and while it moves or its host reconnects."""

MAX_PRIORITY_LABEL: Final = 9
"""Priorities beyond this count with it in metrics, which bounds the number of time series."""

LISTED_ACCOUNTS: Final = 10
"""Number of accounts whose usage is exported."""


class _CountedRun(Struct, kw_only=True):
    """Tokens of a run that are counted already.

    :param prompt: Prompt tokens.
    :param output: Output tokens.
    :param absent_at: When it was last absent from the report of its host.
    """

    prompt: int = 0
    output: int = 0
    absent_at: Millis = Millis(0)


@final
class AccountUsage:
    """Keeps the usage of accounts at a coordinator and orders waiting generations by it.

    Each token of a run is counted once, however often it is reported and whichever host reports it.

    :param clock: Source of the current time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._recent = RecentUsage()
        self._reported: dict[HostId, dict[RequestId, _CountedRun]] = {}
        self._absent: dict[RequestId, _CountedRun] = {}
        """Runs that no host reports, in the order of the time since when."""
        self.granted_tokens: Counter[int] = Counter()
        """Prompt tokens granted by this host since its start, by priority."""

    def get(self, account: ClientAccountId) -> int:
        """Return the usage of an account in tokens, as of the last order or report.

        A decay here would change usages between the steps of an evaluation, which logs them.
        """
        return int(self._recent.get(account))

    def largest(self) -> list[tuple[ClientAccountId, int]]:
        """Return the accounts with the highest usage, and their usage in tokens."""
        accounts = self._recent.accounts(self._clock.now())
        usages = ((name, int(used)) for name, used in accounts.items() if used >= MIN_USAGE_TOKENS)
        return sorted(usages, key=lambda one: (-one[1], one[0]))[:LISTED_ACCOUNTS]

    def order(self, entries: Sequence[tuple[WaitingGeneration, T]]) -> Iterator[T]:
        """Return waiting generations in the order in which they get capacity.

        :param entries: The generations; one that is granted is charged before the next is taken.
        """
        self._recent.decay(self._clock.now())
        lift_returning_accounts([one for one, _ in entries], self._recent)
        return order_fairly(entries, self._recent)

    def grant(self, use: RunUse) -> None:
        """Charge a generation that gets an engine, before its host reports it."""
        request = RequestId(use.request)
        counted = self._absent.pop(request, None) or self._find_reported(request) or _CountedRun()
        self._count(use, counted)
        if self._find_reported(request) is None:
            self._record_absent(request, counted)
        self.granted_tokens[priority_label(use.priority)] += max(use.prompt_tokens, 0)

    def report(self, *, host: HostId, runs: Sequence[RunUse]) -> None:
        """Charge what the runs of a host have used since its last report.

        Reports may arrive twice or in another order. What a run has made before it is first seen
        is not charged: a coordinator that starts would charge long runs for their whole history.
        """
        self._recent.decay(self._clock.now())
        previous = self._reported.get(host, {})
        current: dict[RequestId, _CountedRun] = {}
        for use in runs:
            request = RequestId(use.request)
            counted = previous.pop(request, None) or self._absent.pop(request, None)
            current[request] = counted = counted or _first_counted(use)
            self._count(use, counted)
        self._reported[host] = current
        for request, counted in previous.items():
            self._record_absent(request, counted)
        self._forget_absent()

    def forget(self, *, host: HostId) -> None:
        """Handle a host that has disconnected; it may reconnect and report the same runs."""
        for request, counted in self._reported.pop(host, {}).items():
            self._record_absent(request, counted)
        self._forget_absent()

    def _count(self, use: RunUse, counted: _CountedRun) -> None:
        account = ClientAccountId(use.account)
        prompt = max(use.prompt_tokens - counted.prompt, 0)
        output = max(use.made - counted.output, 0)
        self._recent.charge(account, prompt=prompt, output=output)
        counted.prompt += prompt
        counted.output += output

    def _find_reported(self, request: RequestId) -> _CountedRun | None:
        for runs in self._reported.values():
            if request in runs:
                return runs[request]
        return None

    def _record_absent(self, request: RequestId, counted: _CountedRun) -> None:
        counted.absent_at = self._clock.now()
        self._absent.pop(request, None)  # Keeps the order of time.
        self._absent[request] = counted

    def _forget_absent(self) -> None:
        oldest_kept = self._clock.now() - COUNTED_TTL_MS
        while self._absent:
            request, counted = next(iter(self._absent.items()))
            if counted.absent_at >= oldest_kept:
                return
            del self._absent[request]


def _first_counted(use: RunUse) -> _CountedRun:
    """Return what is not charged of a run that was not granted here.

    The prompt of a run that began a half-life ago or more would have decayed by now.
    """
    if use.begun_ms < 0:
        return _CountedRun()
    prompt = use.prompt_tokens if use.begun_ms >= USAGE_HALF_LIFE_MS else 0
    return _CountedRun(prompt=max(prompt, 0), output=max(use.made, 0))


def priority_label(priority: int) -> int:
    """Return the priority under which metrics count a generation."""
    return min(max(priority, 0), MAX_PRIORITY_LABEL)
