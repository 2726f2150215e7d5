"""The order in which waiting generations are taken."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
import heapq
from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.policy._lengths import LengthCurve
from tanagerscale.policy._tuning import Tuning
from tanagerscale.policy._types import AccountSpec
from tanagerscale.policy._types import PlacementRequest

OUTPUT_COST = 2.0
"""What an answer's token costs in prompt tokens when service is counted (Sheng et al., 2024)."""

DEFAULT_ACCOUNT = AccountSpec()


@dataclass(order=True, slots=True)
class Waiting:
    """A queued generation.

    :param key: Place in its account's queue, in milliseconds; smaller goes first.
    :param number: Breaks ties in the order of submission.
    :param request: What was asked for.
    :param curve: Its length distribution.
    :param submitted: When it came here.
    :param promised: Whether its caller was told to come back now.
    :param withdrawn: Whether it was taken out of the queue.
    """

    key: float
    number: int
    request: PlacementRequest = field(compare=False)
    curve: LengthCurve = field(compare=False)
    submitted: Millis = field(compare=False)
    promised: bool = field(default=False, compare=False)
    withdrawn: bool = field(default=False, compare=False)


@dataclass(slots=True)
class _AccountQueue:
    weight: float
    served: float = 0.0
    heap: list[Waiting] = field(default_factory=list)

    def head(self) -> Waiting | None:
        """Return the first that was not withdrawn."""
        while self.heap and self.heap[0].withdrawn:
            heapq.heappop(self.heap)
        return self.heap[0] if self.heap else None


@final
class FairQueue:
    """One queue for each account, merged by key and by how much each account was served.

    A key is arrival time plus a charge for priority and for expected length. So short work
    goes first, and waiting itself brings long work forward: no separate ageing is needed.
    Work is linear in the accounts that have something waiting.

    :param accounts: Declared accounts; others get a weight of 1.
    :param tuning: The numbers to work with.
    """

    def __init__(self, *, accounts: Mapping[ClientAccountId, AccountSpec], tuning: Tuning) -> None:
        self._accounts = accounts
        self._tuning = tuning
        self._queues: dict[ClientAccountId, _AccountQueue] = {}
        self._active: dict[ClientAccountId, _AccountQueue] = {}
        self._entries: dict[GenerationId, Waiting] = {}
        self._number = 0
        self._expected_tokens = 0.0
        self._expected_short_tokens = 0.0

    def reconfigure(
        self, *, accounts: Mapping[ClientAccountId, AccountSpec], tuning: Tuning
    ) -> None:
        """Go by other declarations from now on; what waits keeps its place.

        :param accounts: Declared accounts.
        :param tuning: Settings.
        """
        self._accounts = accounts
        self._tuning = tuning
        for name, queue in self._queues.items():
            queue.weight = accounts.get(name, DEFAULT_ACCOUNT).weight

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, generation: GenerationId) -> bool:
        return generation in self._entries

    @property
    def expected_tokens(self) -> float:
        """Return the expected tokens of all answers that wait."""
        return self._expected_tokens

    def is_short(self, curve: LengthCurve) -> bool:
        """Return whether work with this length distribution counts as short."""
        return curve.mean <= self._tuning.short_tokens

    def expected_tokens_before(self, curve: LengthCurve) -> float:
        """Return the expected tokens of the answers that go first: short work waits for short."""
        return self._expected_short_tokens if self.is_short(curve) else self._expected_tokens

    def delay(self, account: ClientAccountId) -> float:
        """Return by how much an account's requests stand back for what it was served, in ms."""
        if not self._active:
            return 0.0
        least = min(queue.served for queue in self._active.values())
        return self._tuning.fairness_ms_per_token * max(self._queue(account).served - least, 0.0)

    def push(
        self, *, request: PlacementRequest, curve: LengthCurve, promised: bool, now: Millis
    ) -> Waiting:
        """Queue a generation."""
        tuning = self._tuning
        key = (
            request.arrived
            + tuning.priority_ms * request.priority
            + tuning.length_ms_per_token * curve.mean
        )
        self._number += 1
        waiting = Waiting(key, self._number, request, curve, now, promised)
        queue = self._activate(request.account)
        heapq.heappush(queue.heap, waiting)
        self._entries[request.generation] = waiting
        self._count(curve, sign=1.0)
        return waiting

    def remove(self, generation: GenerationId) -> Waiting | None:
        """Take a generation out."""
        waiting = self._entries.pop(generation, None)
        if waiting is None:
            return None
        waiting.withdrawn = True
        self._count(waiting.curve, sign=-1.0)
        account = waiting.request.account
        if self._queues[account].head() is None:
            self._active.pop(account, None)
        return waiting

    def charge(self, account: ClientAccountId, *, prompt: int = 0, output: int = 0) -> None:
        """Count service given to an account."""
        queue = self._queue(account)
        queue.served += (prompt + OUTPUT_COST * output) / queue.weight

    def candidates(self, *, most: int) -> list[Waiting]:
        """Return the first waiting generations of the merged order.

        :param most: How many to return at most.
        """
        if not self._active:
            return []
        least = min(queue.served for queue in self._active.values())
        gain = self._tuning.fairness_ms_per_token
        merged: list[Waiting] = []
        heads: list[tuple[float, int, Waiting, float]] = []
        for queue in self._active.values():
            head = queue.head()
            if head is not None:
                delay = gain * (queue.served - least)
                heads.append((head.key + delay, head.number, head, delay))
        heapq.heapify(heads)
        while heads and len(merged) < most:
            _, _, head, delay = heapq.heappop(heads)
            merged.append(head)
            following = self._next(head)
            if following is not None:
                heapq.heappush(heads, (following.key + delay, following.number, following, delay))
        for waiting in merged:
            heapq.heappush(self._queues[waiting.request.account].heap, waiting)
        return merged

    def _count(self, curve: LengthCurve, *, sign: float) -> None:
        self._expected_tokens += sign * curve.mean
        if self.is_short(curve):
            self._expected_short_tokens += sign * curve.mean

    def _next(self, head: Waiting) -> Waiting | None:
        """Take a head off its heap for a moment, to see what comes after it."""
        queue = self._queues[head.request.account]
        heapq.heappop(queue.heap)
        return queue.head()

    def _activate(self, account: ClientAccountId) -> _AccountQueue:
        queue = self._queue(account)
        if account not in self._active:
            # An account that was away must not come back with credit saved up (VTC's lift).
            if self._active:
                least = min(item.served for item in self._active.values())
                queue.served = max(queue.served, least)
            self._active[account] = queue
        return queue

    def _queue(self, account: ClientAccountId) -> _AccountQueue:
        queue = self._queues.get(account)
        if queue is None:
            weight = self._accounts.get(account, DEFAULT_ACCOUNT).weight
            queue = self._queues[account] = _AccountQueue(weight=weight)
        return queue
