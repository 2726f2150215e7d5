"""Gathering the conditional writes of one moment into one store call."""

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

MIN_INTERVAL_MS: Final = 25
"""Least time between the starts of two commits, which bounds a host's share of the store's
writes. The first write after a pause does not wait."""

LINGER_MS: Final = 100
"""How long a write that nobody waits for may wait for others to go with."""

RETRY_MS: Final = 1000
"""After a failure, how long until the store is tried again."""

MAX_COMMIT_BYTES: Final = 900_000
"""Most bytes of values in one commit; etcd takes a megabyte and a half in all."""

FAILURES_THAT_FAIL_THE_QUEUE: Final = 2

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
    """At most one commit in flight; what arrives meanwhile goes with the next one.

    :param store: Where to commit.
    :param clock: Paces the commits.
    :param min_interval_ms: Least time between the starts of two commits, in milliseconds.
    """

    def __init__(
        self, *, store: Store, clock: Clock, min_interval_ms: int = MIN_INTERVAL_MS
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

    def admits(self) -> bool:
        """Tell whether it makes sense to submit now.

        While the store is failing, one caller in each ``RETRY_MS`` is let through to try it, and
        the others need not wait for a timeout.
        """
        if self._failures == 0:
            return True
        if self._in_flight or self._queue or self._clock.now() < self._retry_at:
            return False
        self._retry_at = Millis(self._clock.now() + RETRY_MS)
        return True

    def note_failure(self, *, error: StoreError) -> None:
        """Take in that a call to the store has failed, also one that was not a commit."""
        if error.kind is StoreErrorKind.REFUSED:
            return
        self._failures += 1
        self._retry_at = Millis(self._clock.now() + RETRY_MS)
        log.warning("The store failed.", kind=error.kind.value, failures=self._failures)
        if self._failures >= FAILURES_THAT_FAIL_THE_QUEUE:
            self._fail_queue()

    async def submit(self, *, put: ConditionalPut, urgent: bool) -> PutResult:
        """Commit one write together with others.

        :param put: The write.
        :param urgent: Whether somebody waits; otherwise it may linger to save a call.
        """
        wait = 0 if urgent else LINGER_MS
        queued = _Queued(put=put, due=Millis(self._clock.now() + wait))
        self._queue.append(queued)
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._run())
        self._arrived.set()
        return await queued.result

    async def close(self) -> None:
        """Stop; writes not yet sent fail as unreachable."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        self._fail_queue()

    async def _run(self) -> None:
        while True:
            await self._arrived.wait()
            await self._await_turn()
            batch = self._take_batch()
            if batch:
                await self._commit(batch)
            if not self._queue:
                self._arrived.clear()

    async def _await_turn(self) -> None:
        """Wait until the earliest queued write is due and the pace allows a commit."""
        while self._queue:
            due = min(queued.due for queued in self._queue)
            left = max(due, self._next_start) - self._clock.now()
            if left <= 0:
                return
            self._arrived.clear()
            try:
                # A write that arrives meanwhile may be due earlier.
                async with asyncio.timeout(left / MS_PER_SECOND):
                    await self._arrived.wait()
            except TimeoutError:
                pass
            self._arrived.set()

    def _take_batch(self) -> list[_Queued]:
        batch: list[_Queued] = []
        later: deque[_Queued] = deque()
        keys: set[str] = set()
        size = 0
        while self._queue and len(batch) < MAX_PUTS:
            queued = self._queue.popleft()
            if queued.result.cancelled():
                continue
            size += len(queued.put.value or b"")
            if batch and (queued.put.key in keys or size > MAX_COMMIT_BYTES):
                later.append(queued)
                size -= len(queued.put.value or b"")
                continue
            keys.add(queued.put.key)
            batch.append(queued)
        self._queue.extendleft(reversed(later))
        return batch

    async def _commit(self, batch: list[_Queued]) -> None:
        self._next_start = Millis(self._clock.now() + self._min_interval_ms)
        self._in_flight = True
        try:
            result = await self._store.commit(puts=[queued.put for queued in batch])
        except asyncio.CancelledError:
            self._resolve(batch, Failure(_interrupted()))
            raise
        except Exception as error:
            # Claims of other callers must not wait for ever because one write met a defect.
            log.exception("A commit met a defect.", error=repr(error))
            result = Failure(_interrupted())
        finally:
            self._in_flight = False
        if isinstance(result, Failure):
            self._resolve(batch, Failure(result.failure()))
            self.note_failure(error=result.failure())
            return
        self._failures = 0
        for queued, outcome in zip(batch, result.unwrap(), strict=True):
            self._resolve([queued], Success(outcome))

    def _fail_queue(self) -> None:
        waiting = list(self._queue)
        self._queue.clear()
        self._resolve(waiting, Failure(_never_sent()))

    @staticmethod
    def _resolve(batch: list[_Queued], result: PutResult) -> None:
        for queued in batch:
            if not queued.result.done():
                queued.result.set_result(result)


def _never_sent() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.UNREACHABLE,
        detail="The write was not sent, since the store is failing; try again later.",
    )


def _interrupted() -> StoreError:
    return StoreError(
        kind=StoreErrorKind.UNCERTAIN,
        detail="The write was interrupted; read back before repeating it.",
    )
