"""Recording of outcomes in the background, with retries during store outages."""

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

from tanagerscale.claims._batcher import RETRY_DELAY_MS
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
"""Number of refusals after which the record itself is considered invalid."""

log = get_logger(part="claims")


class PendingRecord(Struct, frozen=True, kw_only=True):
    """A final record that must replace a claim of this host.

    :param store_key: Store key of the claim, which may not exist yet.
    :param record: Final record, with the nonce of the claim.
    :param expected: Last known revision of the claim; 0 if it may not exist.
    :param lease: Lease to write the record under.
    :param expires: When the claim expires, after which there is nothing to record.
    """

    store_key: str
    record: ClaimRecord
    expected: StoreRevision
    lease: LeaseId
    expires: Millis


@final
class Recorder:
    """Writes final records, with retries until they are stored or their claims have expired.

    During an outage the number of pending records is bounded by the number of calls that were
    claimed when it began, because no call is claimed while the store is down.

    :param store: Store to read the lease of a claim from after a refusal.
    :param batcher: Batcher that commits the records together with new claims.
    :param clock: Clock that times the retries.
    :param rng: Random number generator for the jitter of the retry delays.
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
        """Number of records that have not been stored yet."""
        return len(self._tasks)

    def start(self, *, pending: PendingRecord) -> asyncio.Future[Result[None, StoreError]]:
        """Start writing a record in the background.

        :returns: The result of the first attempt; retries follow in the background.
        """
        loop = asyncio.get_running_loop()
        first_result: asyncio.Future[Result[None, StoreError]] = loop.create_future()
        task = loop.create_task(self._write(pending, first_result))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return first_result

    async def drain(self) -> None:
        """Wait until no record is pending."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def close(self) -> None:
        """Cancel the pending records."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _write(
        self, pending: PendingRecord, first_result: asyncio.Future[Result[None, StoreError]]
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
                _set_result(first_result, Success(None))
                revision = _get_unsettled_revision(result.unwrap(), nonce=pending.record.nonce)
                if revision is None:
                    return
                expected = revision
                continue
            error = result.failure()
            _set_result(first_result, Failure(error))
            await self._clock.sleep(RETRY_DELAY_MS + self._rng.randrange(RETRY_DELAY_MS))
            if error.kind is StoreErrorKind.REFUSED:
                refusals += 1
                lease = await self._read_lease(pending.store_key, default=lease)
        log.error("Failed to record the outcome of a claim.", refusals=refusals)
        _set_result(first_result, Success(None))

    async def _read_lease(self, store_key: str, *, default: LeaseId) -> LeaseId:
        """Return the current lease of a claim, for a retry after a refusal.

        The refusal may mean that the lease, or that of another write in the commit, has ended.

        :param default: Lease to return if the claim cannot be read.
        """
        found = await self._store.get(key=store_key)
        entry = found.value_or(None)
        return entry.lease if entry is not None else default


def _get_unsettled_revision(outcome: PutOutcome, *, nonce: str) -> StoreRevision | None:
    """Return the revision of the claim with this nonce if its outcome is not recorded yet."""
    if outcome.written or outcome.current_entry is None:
        return None
    record = decode_record(outcome.current_entry.value)
    if record is None or record.nonce != nonce or is_final(record):
        return None
    return outcome.current_entry.mod_revision


def _set_result(
    first_result: asyncio.Future[Result[None, StoreError]], result: Result[None, StoreError]
) -> None:
    if not first_result.done():
        first_result.set_result(result)
