"""Order of waiting generations by priority and fair between client accounts.

Workload: accounts of very different demand compete for too little capacity, at once and for
seconds, with equal or different priorities; up to a thousand generations wait.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import heapq
from typing import Final
from typing import TypeVar

from msgspec import Struct

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.policy._recent_usage import RecentUsage
from tanagerscale.policy._recent_usage import clamp_tokens

T = TypeVar("T")

AGEING_STEPS_PER_TARGET: Final = 2
"""Priorities by which a generation is raised while it waits for its target time."""

MIN_SHARE_OF_MEAN: Final = 0.3
"""Fraction of the mean usage below which an account goes before those of higher priority. No
account is to get less than a quarter; usage is smoothed over seconds, which needs a margin."""


class WaitingGeneration(Struct, frozen=True, kw_only=True):
    """What the order of a waiting generation depends on.

    :param account: Client account of its caller.
    :param service: Service that runs it.
    :param priority: Priority of its account, or else of its route; 0 is the highest.
    :param route_priority: Priority of its route.
    :param prompt_tokens: Length of its prompt.
    :param is_late: Whether its first event is late.
    :param is_long: Whether its answer may take seconds.
    :param arrived_at: When it arrived.
    :param waited_ms: How long it has waited.
    :param target_ms: Target time of its first event, from its arrival on.
    :param has_waited: Whether it waited already at an earlier evaluation.
    :param is_returning: Whether its caller was refused before and returns as told.
    """

    account: ClientAccountId
    service: ServiceId
    priority: int
    route_priority: int
    prompt_tokens: int
    is_late: bool
    is_long: bool
    arrived_at: Millis
    waited_ms: int
    target_ms: int
    has_waited: bool
    is_returning: bool = False

    @property
    def ageing(self) -> int:
        """Number of priorities by which it is raised."""
        return max(self.waited_ms, 0) * AGEING_STEPS_PER_TARGET // max(self.target_ms, 1)


def lift_returning_accounts(waiting: Sequence[WaitingGeneration], usage: RecentUsage) -> None:
    """Take from accounts that begin to wait the credit of the time in which they asked for little.

    Such an account has at least the lowest usage of accounts that wait with the same priority, less
    one generation. Where there are none, it may be one generation below its guaranteed share.

    :param waiting: All waiting generations.
    :param usage: Usage of the accounts, which is changed.
    """
    returning = {one.account: one for one in reversed(waiting)}
    levels: dict[int, float] = {}
    for one in waiting:
        if one.has_waited:
            returning.pop(one.account, None)
            lowest = levels.get(one.priority)
            used = usage.get(one.account)
            levels[one.priority] = used if lowest is None else min(lowest, used)
    if not levels:
        return
    least_share = usage.mean * MIN_SHARE_OF_MEAN
    for account, one in returning.items():
        credit = clamp_tokens(one.prompt_tokens)
        usage.lift(account, levels.get(one.priority, least_share) - credit)


def order_fairly(entries: Iterable[tuple[WaitingGeneration, T]], usage: RecentUsage) -> Iterator[T]:
    """Return waiting generations in the order in which they get capacity.

    Each step uses the usage of that moment, so that accounts take turns when a generation is
    charged as soon as it is granted. A step takes logarithmic time in the number of accounts.

    The order is: in time before late; accounts below the minimum; priority of the account, or else
    of the route; route's priority; callers that return as told; short before long; account with
    the lowest usage; arrival. The minimum applies to services in which priorities differ: with
    equal ones, short generations go first. All generations of a service with one priority are
    raised alike, by the age of the oldest: within a priority a long queue is the result of its
    account's demand and must not get it a larger share.

    :param entries: The generations.
    :param usage: Usage of the accounts.
    """
    listed = list(entries)
    ages = _ageing_of_classes(listed, lambda one: one.priority)
    route_ages = _ageing_of_classes(listed, lambda one: one.route_priority)
    unequal = {service for service, *_ in (*ages, *route_ages)}
    least_share = usage.mean * MIN_SHARE_OF_MEAN
    queues: dict[ClientAccountId, list[tuple[bool, int, int, bool, bool, Millis, int]]]
    queues = defaultdict(list)
    for index, (one, _) in enumerate(listed):
        priority = one.priority - ages.get((one.service, one.is_late, one.priority), 0)
        route_priority = one.route_priority
        route_priority -= route_ages.get((one.service, one.is_late, route_priority), 0)
        rank = (one.is_late, priority, route_priority, not one.is_returning, one.is_long)
        queues[one.account].append((*rank, one.arrived_at, index))
    heads: list[tuple[bool, bool, int, int, bool, bool, float, Millis, int, ClientAccountId]] = []

    def push_head(account: ClientAccountId) -> None:
        if queues[account]:
            head = queues[account].pop()
            is_late, priority, route_priority, is_new, is_long, arrived_at, index = head
            used = usage.get(account)
            has_minimum = used >= least_share or listed[index][0].service not in unequal
            urgency = (is_late, has_minimum, priority, route_priority, is_new, is_long)
            heapq.heappush(heads, (*urgency, used, arrived_at, index, account))

    for account, queue in queues.items():
        queue.sort(reverse=True)
        push_head(account)
    while heads:
        *_, index, account = heapq.heappop(heads)
        yield listed[index][1]
        push_head(account)


def _ageing_of_classes(
    entries: Sequence[tuple[WaitingGeneration, T]], priority: Callable[[WaitingGeneration], int]
) -> dict[tuple[ServiceId, bool, int], int]:
    """Return by how much each priority of a service is raised, in services where they differ.

    Late generations are apart from those in time, which they would otherwise raise without bound.
    """
    ages: dict[tuple[ServiceId, bool, int], int] = {}
    levels: dict[ServiceId, set[int]] = defaultdict(set)
    for one, _ in entries:
        key = (one.service, one.is_late, priority(one))
        ages[key] = max(ages.get(key, 0), one.ageing)
        levels[one.service].add(priority(one))
    return {key: age for key, age in ages.items() if len(levels[key[0]]) > 1}
