"""How hosts find each other: short entries in the store, under leases."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from random import Random
from typing import Final
from typing import final

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.generated.records import HostRecord
from tanagerscale.store import ConditionalPut
from tanagerscale.store import LeaseId
from tanagerscale.store import Store
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch

LEASE_S: Final = 30
"""How long the entry of a dead host stays. The mesh itself finds dead hosts within seconds, so a
longer lease only costs a few tries to connect."""

RENEW_MS: Final = 10_000
"""A third of the lease, so that two lost renewals change nothing."""

COORDINATOR_RENEW_MS: Final = 1000
"""How often those renew that the others rely on to hear whether the store answers. A watch that
waits does not show it; a renewal costs a tenth of a call."""

CHECK_MS: Final = 2000
"""Least time between two renewals that a peer's word causes; where the store refuses some hosts for
long, the others look again no oftener. Each costs a tenth of a call."""

RETRY_MS: Final = 500
RETRY_SPREAD: Final = (0.5, 2.0)

_CONTESTED: Final = StoreError(
    kind=StoreErrorKind.REFUSED,
    detail="Another process writes this host's entry; give each host an id of its own.",
)

_log = get_logger(part="presence")


@final
class HostPresence:
    """Keeps this host's entry alive and knows the others'.

    :param store: The store.
    :param prefix: What this installation's keys begin with.
    :param record: This host's entry.
    :param on_records: Takes the entries of all hosts and their revision after each change.
    :param is_coordinator: Returns whether the other hosts rely on this one.
    :param on_answers: Called when calls to the store begin to fail, or to be answered again. A
        watch that waits does not show that.
    :param clock: Time.
    :param rng: Spreads tries.
    """

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        record: HostRecord,
        on_records: Callable[[Sequence[HostRecord], int], None],
        is_coordinator: Callable[[], bool] = lambda: False,
        on_answers: Callable[[bool], None] = lambda _: None,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._store = store
        self._prefix = f"{prefix}hosts/"
        self._record = record
        self._on_records = on_records
        self._is_coordinator = is_coordinator
        self._on_answers = on_answers
        self._store_lost = False
        self._checked_at = Millis(-CHECK_MS)
        self._asked = asyncio.Event()
        self._clock = clock
        self._rng = rng
        self._records: dict[str, HostRecord] = {}
        self._lease: LeaseId | None = None
        self._has_read = False

    @property
    def prefix(self) -> str:
        """What the keys of all hosts' entries begin with."""
        return self._prefix

    @property
    def store_lost(self) -> bool:
        """Whether the store did not answer the last call."""
        return self._store_lost

    def check_soon(self) -> None:
        """Renew the lease out of turn, to see whether the store answers."""
        if not self._store_lost and self._clock.now() - self._checked_at >= CHECK_MS:
            self._asked.set()

    async def run(self) -> None:
        """Write the entry and renew its lease until cancelled."""
        while True:
            self._asked.clear()
            self._checked_at = self._clock.now()
            result = await self._write() if self._lease is None else await self._renew()
            if isinstance(result, Failure):
                error = result.failure()
                _log.info("The entry is not renewed.", detail=error.detail)
                self._note_answers(error is _CONTESTED)
                await self._clock.sleep(int(RETRY_MS * self._rng.uniform(*RETRY_SPREAD)))
                continue
            self._note_answers(True)
            if not self._has_read:
                await self._read_once()
            if self._lease is not None:
                await self._wait_to_renew()

    async def _read_once(self) -> None:
        """Learn which hosts there are; what follows is told by those that coordinate."""
        found = await self._store.list(prefix=self._prefix)
        if isinstance(found, Failure):
            _log.info("The hosts' entries are not read.", detail=found.failure().detail)
            return
        self.on_snapshot(found.unwrap())

    async def _wait_to_renew(self) -> None:
        try:
            renew_ms = COORDINATOR_RENEW_MS if self._is_coordinator() else RENEW_MS
            async with asyncio.timeout(renew_ms / MS_PER_SECOND):
                await self._asked.wait()
        except TimeoutError:
            return  # It is time.

    def _note_answers(self, is_answered: bool) -> None:
        if self._store_lost is is_answered:
            self._store_lost = not is_answered
            self._on_answers(is_answered)

    async def withdraw(self) -> None:
        """End the lease, so that the others forget this host at once."""
        if self._lease is None:
            return
        ended = await self._store.revoke(lease=self._lease)
        if isinstance(ended, Failure):
            _log.info("The entry ends with its lease.", detail=ended.failure().detail)

    def on_snapshot(self, found: StoreRange) -> None:
        """Replace all that is known."""
        self._has_read = True
        self._records.clear()
        for entry in found.entries:
            self._take(entry)
        self._publish(found.revision)

    def on_changes(self, batch: WatchBatch) -> None:
        """Take in changes."""
        for entry in batch.entries:
            self._take(entry)
        for key in batch.deleted:
            self._records.pop(key, None)
        self._publish(batch.revision)

    def on_reachability_changed(self, *, reachable: bool) -> None:
        """Do nothing: connections to the others live on without the store."""

    def _take(self, entry: StoreEntry) -> None:
        try:
            self._records[entry.key] = msgspec.json.decode(entry.value, type=HostRecord)
        except msgspec.DecodeError as error:
            _log.warning("A host's entry is refused.", key=entry.key, detail=str(error))

    def _publish(self, revision: StoreRevision) -> None:
        self._on_records(list(self._records.values()), revision)

    async def _write(self) -> Result[None, StoreError]:
        granted = await self._store.grant_lease(ttl_s=LEASE_S)
        if isinstance(granted, Failure):
            return granted
        lease = granted.unwrap()
        revision = StoreRevision(0)
        # The entry of this host's process before may still be there.
        for _ in range(2):
            put = ConditionalPut(
                key=f"{self._prefix}{self._record.host}",
                value=msgspec.json.encode(self._record),
                expected_mod_revision=revision,
                lease=lease,
            )
            result = await self._store.commit(puts=[put])
            if isinstance(result, Failure):
                return result
            outcome = result.unwrap()[0]
            if outcome.written:
                self._lease = lease
                return Success(None)
            revision = (
                outcome.current_entry.mod_revision if outcome.current_entry else StoreRevision(0)
            )
        return Failure(_CONTESTED)

    async def _renew(self) -> Result[None, StoreError]:
        assert self._lease is not None
        renewed = await self._store.keep_alive(lease=self._lease)
        if isinstance(renewed, Failure):
            return renewed
        if renewed.unwrap() == 0:
            self._lease = None
        return Success(None)
