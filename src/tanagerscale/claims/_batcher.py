"""Batching of concurrent conditional writes into one store call."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Final
from typing import final

from msgspec import Struct
from msgspec import field
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.store import MAX_PUTS
from tanagerscale.store import ConditionalPut
from tanagerscale.store import PutOutcome
from tanagerscale.store import Store
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind

MIN_COMMIT_INTERVAL_MS: Final = 25
"""Minimum time between the starts of two commits, which limits the share of one host in the writes
of the store. The first write after a pause does not wait."""

MAX_LINGER_MS: Final = 100
"""Maximum time that a write without a waiting caller is delayed to share a commit with others."""

RETRY_DELAY_MS: Final = 1000
"""Delay after a failure before the store is tried again."""

MAX_COMMIT_BYTES: Final = 900_000
"""Maximum total size of the values in one commit; etcd limits a whole request to 1.5 megabytes."""

MIN_FAILURES_TO_REJECT_QUEUE: Final = 2
"""Number of consecutive failures after which the queued writes fail without being sent."""

log = get_logger(part="store")

PutResult = Result[PutOutcome, StoreError]


class _Queued(Struct, frozen=True, kw_only=True):
    put: ConditionalPut
    due: Millis
    result: asyncio.Future[PutResult] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


@final
class CommitBatcher:
    """Commits writes in batches, with at most one commit in flight.

    Writes that are submitted during a commit are part of the next one.

    :param store: Store to commit to.
    :param clock: Clock that times the commits.
    :param min_interval_ms: Minimum time between the starts of two commits, in milliseconds.
    """

    def __init__(
        self, *, store: Store, clock: Clock, min_interval_ms: int = MIN_COMMIT_INTERVAL_MS
    ) -> None:
        self._store = store
        self._clock = clock
        self._min_interval_ms = min_interval_ms
        self._queue: deque[_Queued] = deque()
        self._arrived = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._failures = 0
        self._retry_at = Millis(0)
        self._next_start = Millis(0)
        self._in_flight = False

    def accepts_writes(self) -> bool:
        """Return whether a write may be submitted now.

        While the store is failing, one caller per ``RETRY_DELAY_MS`` may probe it, so that the
        others do not have to wait for a timeout.
        """
        if self._failures == 0:
            return True
        if self._in_flight or self._queue or self._clock.now() < self._retry_at:
            return False
        self._retry_at = Millis(self._clock.now() + RETRY_DELAY_MS)
        return True

    def record_failure(self, *, error: StoreError) -> None:
        """Record the failure of any call to the store, including calls that are not commits."""
        if error.kind is StoreErrorKind.REFUSED:
            return
        self._failures += 1
        self._retry_at = Millis(self._clock.now() + RETRY_DELAY_MS)
        log.warning("A store call failed.", kind=error.kind.value, failures=self._failures)
        if self._failures >= MIN_FAILURES_TO_REJECT_QUEUE:
            self._reject_queue()

    async def submit(self, *, put: ConditionalPut, urgent: bool) -> PutResult:
        """Commit one write together with others.

        :param put: Write to commit.
        :param urgent: Whether a caller waits for it; otherwise it may be delayed by
            ``MAX_LINGER_MS`` to save a store call.
        """
        linger_ms = 0 if urgent else MAX_LINGER_MS
        queued = _Queued(put=put, due=Millis(self._clock.now() + linger_ms))
        self._queue.append(queued)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        self._arrived.set()
        return await queued.result

    async def close(self) -> None:
        """Stop the batcher; writes that were not sent fail with ``UNREACHABLE``."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self._reject_queue()

    async def _run(self) -> None:
        while True:
            await self._arrived.wait()
            await self._wait_until_due()
            batch = self._take_batch()
            if batch:
                await self._commit(batch)
            if not self._queue:
                self._arrived.clear()

    async def _wait_until_due(self) -> None:
        """Wait until the earliest queued write is due and the minimum interval has elapsed."""
        while self._queue:
            due = min(queued.due for queued in self._queue)
            remaining_ms = max(due, self._next_start) - self._clock.now()
            if remaining_ms <= 0:
                return
            self._arrived.clear()
            try:
                # A write that arrives during the wait may be due earlier.
                async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                    await self._arrived.wait()
            except TimeoutError:
                pass
            self._arrived.set()

    def _take_batch(self) -> list[_Queued]:
        batch: list[_Queued] = []
        deferred: deque[_Queued] = deque()
        keys: set[str] = set()
        size = 0
        while self._queue and len(batch) < MAX_PUTS:
            queued = self._queue.popleft()
            if queued.result.cancelled():
                continue
            size += len(queued.put.value or b"")
            if batch and (queued.put.key in keys or size > MAX_COMMIT_BYTES):
                deferred.append(queued)
                size -= len(queued.put.value or b"")
                continue
            keys.add(queued.put.key)
            batch.append(queued)
        self._queue.extendleft(reversed(deferred))
        return batch

    async def _commit(self, batch: list[_Queued]) -> None:
        self._next_start = Millis(self._clock.now() + self._min_interval_ms)
        self._in_flight = True
        try:
            result = await self._store.commit(puts=[queued.put for queued in batch])
        except asyncio.CancelledError:
            self._resolve(batch, Failure(_build_interrupted_error()))
            raise
        except Exception as error:
            # An unexpected error in one commit must not block the claims of other callers.
            log.exception("A commit raised an unexpected exception.", error=repr(error))
            result = Failure(_build_interrupted_error())
        finally:
            self._in_flight = False
        if isinstance(result, Failure):
            self._resolve(batch, Failure(result.failure()))
            self.record_failure(error=result.failure())
            return
        self._failures = 0
        for queued, outcome in zip(batch, result.unwrap(), strict=True):
            self._resolve([queued], Success(outcome))

    def _reject_queue(self) -> None:
        rejected = list(self._queue)
        self._queue.clear()
        self._resolve(rejected, Failure(_build_not_sent_error()))

    @staticmethod
    def _resolve(batch: list[_Queued], result: PutResult) -> None:
        for queued in batch:
            if not queued.result.done():
                queued.result.set_result(result)


def _build_not_sent_error() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.UNREACHABLE,
        detail="The write was not sent, since the store is failing; try again later.",
    )


def _build_interrupted_error() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.UNCERTAIN,
        detail="The write was interrupted; read back before repeating it.",
    )
