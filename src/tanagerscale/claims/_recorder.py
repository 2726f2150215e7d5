"""Recording outcomes in the background, through outages of the store."""

from __future__ import annotations

import asyncio
import random
from typing import Final
from typing import final

import msgspec
from msgspec import Struct
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.claims._batcher import RETRY_MS
from tanagerscale.claims._batcher import CommitBatcher
from tanagerscale.claims._records import decode_record
from tanagerscale.claims._records import is_final
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.generated.records import ClaimRecord
from tanagerscale.store import ConditionalPut
from tanagerscale.store import LeaseId
from tanagerscale.store import PutOutcome
from tanagerscale.store import Store
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

MAX_REFUSALS: Final = 5
"""After so many refusals the record itself is at fault."""

log = get_logger(part="claims")


class Pending(Struct, frozen=True, kw_only=True):
    """A final record that is to replace a claim of our own.

    :param store_key: Where the claim stands, or may come to stand.
    :param record: The final record, with the claim's nonce.
    :param expected: Revision of the claim when last seen; 0 when it may not exist.
    :param lease: Lease to write it under.
    :param expires: When the claim lapses, so that there is nothing left to record.
    """

    store_key: str
    record: ClaimRecord
    expected: StoreRevision
    lease: LeaseId
    expires: Millis


@final
class Recorder:
    """Writes final records until each stands in the store or its claim has lapsed.

    There are no more of them than calls that were claimed when an outage began, since nothing is
    claimed during it.

    :param store: Where to look after a refusal.
    :param batcher: Commits the records together with new claims.
    :param clock: Paces the retries.
    :param rng: Spreads them.
    """

    def __init__(
        self, *, store: Store, batcher: CommitBatcher, clock: Clock, rng: random.Random
    ) -> None:
        self._store = store
        self._batcher = batcher
        self._clock = clock
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def pending(self) -> int:
        """Number of records that do not yet stand in the store."""
        return len(self._tasks)

    def start(self, *, pending: Pending) -> asyncio.Future[Result[None, StoreError]]:
        """Begin to write a record.

        :returns: The result of the first trial; the others go on in the background.
        """
        loop = asyncio.get_running_loop()
        first: asyncio.Future[Result[None, StoreError]] = loop.create_future()
        task = loop.create_task(self._write(pending, first))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return first

    async def drain(self) -> None:
        """Wait until all records stand in the store."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def close(self) -> None:
        """Give up what is not yet recorded."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _write(
        self, pending: Pending, first: asyncio.Future[Result[None, StoreError]]
    ) -> None:
        value = msgspec.json.encode(pending.record)
        expected = pending.expected
        lease = pending.lease
        refusals = 0
        while self._clock.now() < pending.expires and refusals < MAX_REFUSALS:
            put = ConditionalPut(
                key=pending.store_key, value=value, expected_mod_revision=expected, lease=lease
            )
            result = await self._batcher.submit(put=put, urgent=False)
            if isinstance(result, Success):
                _tell(first, Success(None))
                claim = _own_claim(result.unwrap(), nonce=pending.record.nonce)
                if claim is None:
                    return
                expected = claim
                continue
            error = result.failure()
            _tell(first, Failure(error))
            await self._clock.sleep(RETRY_MS + self._rng.randrange(RETRY_MS))
            if error.kind is StoreErrorKind.REFUSED:
                refusals += 1
                lease = await self._present_lease(pending.store_key, otherwise=lease)
        log.error("An outcome was not recorded.", refusals=refusals)
        _tell(first, Success(None))

    async def _present_lease(self, store_key: str, *, otherwise: LeaseId) -> LeaseId:
        """A refusal may mean that the lease has ended, alone or in the same commit."""
        found = await self._store.get(key=store_key)
        entry = found.value_or(None)
        return entry.lease if entry is not None else otherwise


def _own_claim(outcome: PutOutcome, *, nonce: str) -> StoreRevision | None:
    """Return the revision of a claim of ours that still lacks its outcome."""
    if outcome.written or outcome.current_entry is None:
        return None
    record = decode_record(outcome.current_entry.value)
    if record is None or record.nonce != nonce or is_final(record):
        return None
    return outcome.current_entry.mod_revision


def _tell(
    first: asyncio.Future[Result[None, StoreError]], result: Result[None, StoreError]
) -> None:
    if not first.done():
        first.set_result(result)
