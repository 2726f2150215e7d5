"""Priority queue of waiting generations, fair between client accounts."""

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
from tanagerscale.policy._service_accounting import ReceivedService
from tanagerscale.policy._service_accounting import least_served
from tanagerscale.policy._tuning import Tuning
from tanagerscale.policy._types import AccountSpec
from tanagerscale.policy._types import PlacementRequest

DEFAULT_ACCOUNT = AccountSpec()


@dataclass(order=True, slots=True)
class QueuedRequest:
    """A queued generation.

    :param key: Position in its account's queue, in milliseconds; the smallest is taken first.
    :param number: Sequence number of its submission, used to break ties.
    :param request: The request.
    :param curve: Distribution of its answer length.
    :param submitted: When it was submitted to this queue.
    :param has_reservation: Whether its caller was shed earlier and told to retry now.
    :param withdrawn: Whether it was removed from the queue; it stays in the heap until it is
        popped.
    """

    key: float
    number: int
    request: PlacementRequest = field(compare=False)
    curve: LengthCurve = field(compare=False)
    submitted: Millis = field(compare=False)
    has_reservation: bool = field(default=False, compare=False)
    withdrawn: bool = field(default=False, compare=False)


@dataclass(slots=True)
class _AccountQueue(ReceivedService):
    heap: list[QueuedRequest] = field(default_factory=list)

    def head(self) -> QueuedRequest | None:
        """Return the first request that was not withdrawn."""
        while self.heap and self.heap[0].withdrawn:
            heapq.heappop(self.heap)
        return self.heap[0] if self.heap else None


@final
class FairQueue:
    """One queue for each account, merged by key and by the service each account has received.

    A key is the arrival time plus a delay for priority and for expected length. Short work
    therefore goes first, and long work moves forward as it waits, so no separate ageing is needed.
    Each operation is linear in the number of accounts with waiting requests.

    :param accounts: Declared accounts; others get a weight of 1.
    :param tuning: Scheduler settings.
    """

    def __init__(self, *, accounts: Mapping[ClientAccountId, AccountSpec], tuning: Tuning) -> None:
        self._accounts = accounts
        self._tuning = tuning
        self._queues: dict[ClientAccountId, _AccountQueue] = {}
        self._active: dict[ClientAccountId, _AccountQueue] = {}
        self._entries: dict[GenerationId, QueuedRequest] = {}
        self._number = 0
        self._expected_tokens = 0.0
        self._expected_short_tokens = 0.0

    def reconfigure(
        self, *, accounts: Mapping[ClientAccountId, AccountSpec], tuning: Tuning
    ) -> None:
        """Apply changed declarations; queued requests keep their position.

        :param accounts: Declared accounts.
        :param tuning: Scheduler settings.
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
        """Return the expected number of tokens of all queued answers."""
        return self._expected_tokens

    def is_short(self, curve: LengthCurve) -> bool:
        """Return whether work with this length distribution counts as short."""
        return curve.mean <= self._tuning.short_tokens

    def expected_tokens_before(self, curve: LengthCurve) -> float:
        """Return the expected tokens taken first; short work waits only for short work."""
        return self._expected_short_tokens if self.is_short(curve) else self._expected_tokens

    def fairness_delay_ms(self, account: ClientAccountId) -> float:
        """Return the delay of an account's requests for the service it received, in ms."""
        if not self._active:
            return 0.0
        min_served = least_served(self._active.values())
        return self._tuning.fairness_ms_per_token * max(
            self._get_queue(account).served - min_served, 0.0
        )

    def push(
        self, *, request: PlacementRequest, curve: LengthCurve, has_reservation: bool, now: Millis
    ) -> QueuedRequest:
        """Queue a generation.

        :returns: Its queue entry.
        """
        tuning = self._tuning
        key = (
            request.arrived
            + tuning.priority_ms * request.priority
            + tuning.length_ms_per_token * curve.mean
        )
        self._number += 1
        waiting = QueuedRequest(key, self._number, request, curve, now, has_reservation)
        queue = self._activate(request.account)
        heapq.heappush(queue.heap, waiting)
        self._entries[request.generation] = waiting
        self._count_expected(curve, sign=1.0)
        return waiting

    def remove(self, generation: GenerationId) -> QueuedRequest | None:
        """Remove a generation from the queue.

        :returns: Its queue entry, or ``None`` if it is not queued.
        """
        waiting = self._entries.pop(generation, None)
        if waiting is None:
            return None
        waiting.withdrawn = True
        self._count_expected(waiting.curve, sign=-1.0)
        account = waiting.request.account
        if self._queues[account].head() is None:
            self._active.pop(account, None)
        return waiting

    def charge(self, account: ClientAccountId, *, prompt: int = 0, output: int = 0) -> None:
        """Add the cost of prompt and output tokens to the service an account has received."""
        self._get_queue(account).charge(prompt=prompt, output=output)

    def candidates(self, *, limit: int) -> list[QueuedRequest]:
        """Return the first queued generations in the merged order, without removing them.

        :param limit: Maximum number of generations to return.
        """
        if not self._active:
            return []
        min_served = least_served(self._active.values())
        delay_per_token = self._tuning.fairness_ms_per_token
        merged: list[QueuedRequest] = []
        heads: list[tuple[float, int, QueuedRequest, float]] = []
        for queue in self._active.values():
            head = queue.head()
            if head is not None:
                delay_ms = delay_per_token * (queue.served - min_served)
                heads.append((head.key + delay_ms, head.number, head, delay_ms))
        heapq.heapify(heads)
        while heads and len(merged) < limit:
            _, _, head, delay_ms = heapq.heappop(heads)
            merged.append(head)
            following = self._peek_next(head)
            if following is not None:
                heapq.heappush(
                    heads,
                    (
                        following.key + delay_ms,
                        following.number,
                        following,
                        delay_ms,
                    ),
                )
        for waiting in merged:
            heapq.heappush(self._queues[waiting.request.account].heap, waiting)
        return merged

    def _count_expected(self, curve: LengthCurve, *, sign: float) -> None:
        self._expected_tokens += sign * curve.mean
        if self.is_short(curve):
            self._expected_short_tokens += sign * curve.mean

    def _peek_next(self, head: QueuedRequest) -> QueuedRequest | None:
        """Pop a head and return the request after it; the caller pushes the head back."""
        queue = self._queues[head.request.account]
        heapq.heappop(queue.heap)
        return queue.head()

    def _activate(self, account: ClientAccountId) -> _AccountQueue:
        queue = self._get_queue(account)
        if account not in self._active:
            if self._active:
                queue.lift(least_served(self._active.values()))
            self._active[account] = queue
        return queue

    def _get_queue(self, account: ClientAccountId) -> _AccountQueue:
        queue = self._queues.get(account)
        if queue is None:
            weight = self._accounts.get(account, DEFAULT_ACCOUNT).weight
            queue = self._queues[account] = _AccountQueue(weight=weight)
        return queue
