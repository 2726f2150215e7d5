"""Host discovery through leased entries in the store."""

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

from tanagerscale.coordination import Directory
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import decode_json
from tanagerscale.core import get_logger
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.generated.records import HostRecord
from tanagerscale.store import ConditionalPut
from tanagerscale.store import KeyValueStore
from tanagerscale.store import LeaseId
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch

LEASE_TTL_S: Final = 30
"""How long the entry of a crashed host remains. The mesh detects crashed hosts within seconds, so a
longer lease only costs a few connection attempts."""

RENEW_INTERVAL_MS: Final = 10_000
"""A third of the lease, so that the entry survives two lost renewals."""

COORDINATOR_RENEW_INTERVAL_MS: Final = 500
"""Renewal interval of coordinators, on which other hosts rely to detect whether the store answers.
A waiting watch does not show it; a renewal costs a tenth of a call. A configuration must be in
force within two seconds on hosts that the store answers, also if it has just fallen silent for all
coordinators: that takes this interval, the timeout of a call, ``STORE_LOSS_DELAY_MS`` and two calls
of a member."""

MIN_CHECK_INTERVAL_MS: Final = 2000
"""Minimum time between two renewals triggered by reports of peers, which bounds the checks of the
other hosts while the store refuses some hosts for a long time. Each costs a tenth of a call."""

RETRY_DELAY_MS: Final = 500
RETRY_JITTER: Final = (0.5, 2.0)

_CONTESTED: Final = StoreError(
    kind=StoreErrorKind.REFUSED,
    detail="Another process writes this host's entry; give each host an id of its own.",
)

_log = get_logger(part="presence")


@final
class HostPresence:
    """Keeps this host's entry in the store alive and tracks the entries of other hosts.

    :param store: Client of the store.
    :param prefix: Prefix of this installation's keys.
    :param record: This host's entry.
    :param on_records: Called after each change with the entries of all hosts and their revision.
    :param is_coordinator: Returns whether the other hosts rely on this one.
    :param on_availability: Called with ``False`` when calls to the store start to fail, and with
        ``True`` when they succeed again. A waiting watch does not show either.
    :param clock: Clock for renewals and retries.
    :param rng: Random number generator for retry jitter.
    """

    def __init__(
        self,
        *,
        store: KeyValueStore,
        prefix: str,
        record: HostRecord,
        on_records: Callable[[Sequence[HostRecord], int], None],
        is_coordinator: Callable[[], bool] = lambda: False,
        on_availability: Callable[[bool], None] = lambda _: None,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._store = store
        self._prefix = f"{prefix}hosts/"
        self._record = record
        self._on_records = on_records
        self._is_coordinator = is_coordinator
        self._was_coordinator = False
        self._on_availability = on_availability
        self._store_lost = False
        self._checked_at = Millis(-MIN_CHECK_INTERVAL_MS)
        self._check_requested = asyncio.Event()
        self._clock = clock
        self._rng = rng
        self._records: dict[str, HostRecord] = {}
        self._lease: LeaseId | None = None
        self._has_read = False
        self._is_registered = False
        self._is_withdrawn = False

    @property
    def prefix(self) -> str:
        """Prefix of the keys of all hosts' entries."""
        return self._prefix

    @property
    def store_lost(self) -> bool:
        """Whether the store failed to answer the last call."""
        return self._store_lost

    def check_soon(self) -> None:
        """Renew the lease ahead of schedule, to find out whether the store answers."""
        if not self._store_lost and self._clock.now() - self._checked_at >= MIN_CHECK_INTERVAL_MS:
            self._check_requested.set()

    def on_coordinators_changed(self) -> None:
        """Renew the lease at once if this host has become a coordinator.

        The current wait has the length for a member, in which no host would notice that the store
        stops answering this one.
        """
        was_coordinator, self._was_coordinator = self._was_coordinator, self._is_coordinator()
        if self._was_coordinator and not was_coordinator:
            self._check_requested.set()

    async def run(self) -> None:
        """Write the entry and renew its lease until the host withdraws."""
        while not self._is_withdrawn:
            self._check_requested.clear()
            self._checked_at = self._clock.now()
            result = await self._write() if self._lease is None else await self._renew()
            if isinstance(result, Failure):
                error = result.failure()
                _log.info("The host's entry could not be renewed.", detail=error.detail)
                self._set_available(error is _CONTESTED)
                await self._clock.sleep(int(RETRY_DELAY_MS * self._rng.uniform(*RETRY_JITTER)))
                continue
            self._set_available(True)
            if not self._has_read:
                await self._read_once()
            if self._lease is not None:
                await self._wait_to_renew()
        # The entry may have been written while the host withdrew, or the store have failed then.
        while not await self._revoke():
            await self._clock.sleep(int(RETRY_DELAY_MS * self._rng.uniform(*RETRY_JITTER)))

    async def _read_once(self) -> None:
        """Read the entries of all hosts once; coordinators send all later changes."""
        found = await self._store.list(prefix=self._prefix)
        if isinstance(found, Failure):
            _log.info("The hosts' entries could not be read.", detail=found.failure().detail)
            return
        self.on_snapshot(found.unwrap())

    async def _wait_to_renew(self) -> None:
        try:
            renew_ms = (
                COORDINATOR_RENEW_INTERVAL_MS if self._is_coordinator() else RENEW_INTERVAL_MS
            )
            async with asyncio.timeout(renew_ms / MS_PER_SECOND):
                await self._check_requested.wait()
        except TimeoutError:
            return  # The renewal is due.

    def _set_available(self, is_available: bool) -> None:
        if self._store_lost is is_available:
            self._store_lost = not is_available
            self._on_availability(is_available)

    async def withdraw(self) -> None:
        """Revoke the lease for good, so that the other hosts drop this host immediately."""
        self._is_withdrawn = True
        self._check_requested.set()
        await self._revoke()

    async def _revoke(self) -> bool:
        """Revoke the lease; return whether there is none any more."""
        if self._lease is None:
            return True
        lease = self._lease
        revoked = await self._store.revoke(lease=lease)
        if isinstance(revoked, Failure):
            detail = revoked.failure().detail
            _log.info("The lease could not be revoked; trying again.", detail=detail)
            return False
        if self._lease == lease:
            self._lease = None
        return True

    def on_snapshot(self, snapshot: StoreRange) -> None:
        """Replace all known entries by a snapshot."""
        self._has_read = True
        self._records.clear()
        for entry in snapshot.entries:
            self._decode_record(entry)
        self._publish(snapshot.revision)

    def on_changes(self, batch: WatchBatch) -> None:
        """Apply changes."""
        for entry in batch.entries:
            self._decode_record(entry)
        for key in batch.deleted:
            self._records.pop(key, None)
        self._publish(batch.revision)

    def on_store_state(self, state: StoreState) -> None:
        """Do nothing; connections to other hosts do not depend on the store."""

    def _decode_record(self, entry: StoreEntry) -> None:
        decoded = decode_json(entry.value, HostRecord)
        if isinstance(decoded, Failure):
            cause = decoded.failure()
            _log.warning("A host's entry could not be decoded.", key=entry.key, detail=cause)
            return
        self._records[entry.key] = decoded.unwrap()

    def _publish(self, revision: StoreRevision) -> None:
        self._on_records(list(self._records.values()), revision)

    async def _write(self) -> Result[None, StoreError]:
        granted = await self._store.grant_lease(ttl_s=LEASE_TTL_S)
        if isinstance(granted, Failure):
            return granted
        lease = granted.unwrap()
        revision = await self._read_own_revision() if self._is_registered else StoreRevision(0)
        # The entry of this host's previous process may still exist.
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
                self._is_registered = True
                return Success(None)
            revision = (
                outcome.current_entry.mod_revision if outcome.current_entry else StoreRevision(0)
            )
        return Failure(_CONTESTED)

    async def _read_own_revision(self) -> StoreRevision:
        """Return the revision of this host's entry, which may outlive its lease.

        Reads are cheaper for the store than writes whose condition fails, and after its return from
        a copy all hosts write their entries together.
        """
        found = await self._store.get(key=f"{self._prefix}{self._record.host}")
        entry = found.value_or(None)
        return StoreRevision(0) if entry is None else entry.mod_revision

    async def _renew(self) -> Result[None, StoreError]:
        assert self._lease is not None
        renewed = await self._store.keep_alive(lease=self._lease)
        if isinstance(renewed, Failure):
            return renewed
        if renewed.unwrap() == 0:
            self._lease = None
        return Success(None)


def make_presence(
    *,
    settings: GatewaySettings,
    store: KeyValueStore,
    incarnation: int,
    directory: Directory,
    on_availability: Callable[[bool], None],
    clock: Clock,
    rng: Random,
) -> HostPresence:
    """Return the presence of a host, which tells its directory of the other hosts.

    :param settings: The host's settings.
    :param store: Client of the store.
    :param incarnation: Wall clock at the start of the process, in milliseconds.
    :param directory: Which hosts are coordinators.
    :param on_availability: Called when calls to the store start to fail, or succeed again.
    :param clock: Clock for renewals and retries.
    :param rng: Random number generator for retry jitter.
    """
    host = settings.host
    record = HostRecord(
        host=host.id,
        peers=host.peers,
        incarnation=incarnation,
        failure_domain=host.failure_domain,
        cores=host.processor_share * host.processor_speed,
    )
    return HostPresence(
        store=store,
        prefix=settings.store.prefix,
        record=record,
        on_records=lambda records, revision: directory.on_records(records, revision=revision),
        is_coordinator=lambda: directory.is_coordinator,
        on_availability=on_availability,
        clock=clock,
        rng=rng,
    )
