"""Store lease that gives one host the right to control a group of engines."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

import msgspec
from returns.result import Failure
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.generated.records import ControlLeaseRecord
from tanagerscale.store import ConditionalPut
from tanagerscale.store import LeaseId
from tanagerscale.store import Store
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

LEASE_TTL_S: Final = 15
EXPIRY_GUARD_MS: Final = 5000
"""Time before the earliest expiry of the lease at which orders stop; longer than an order takes."""

RENEWALS_PER_TTL: Final = 5

TAKEOVER_DELAY_MS: Final = 5000
"""Delay before a new controller sends orders to engines that ignore fencing, because orders of the
previous controller may still be in transit."""

log = get_logger(part="fleet")


@final
class HeldLease:
    """Control lease that this host has acquired.

    :param fence: Fencing number: the revision that created the key of the lease.
    :param lease: Id of the lease in the store.
    :param clock: Clock that times the expiry of the lease.
    :param requested: When the lease was requested, on the monotonic clock; its lifetime cannot
        have started earlier.
    """

    def __init__(self, *, fence: int, lease: LeaseId, clock: Clock, requested: Millis) -> None:
        self._fence = fence
        self._lease = lease
        self._clock = clock
        self._acquired = clock.now()
        self._valid_until = Millis(0)
        self._lost = False
        self.extend(requested=requested, ttl_s=LEASE_TTL_S)

    @property
    def fence(self) -> int:
        """Fencing number of all orders that are sent under the lease."""
        return self._fence

    @property
    def lease(self) -> LeaseId:
        """Id of the lease in the store."""
        return self._lease

    def extend(self, *, requested: Millis, ttl_s: int) -> None:
        """Extend the lease after a renewal.

        :param requested: When the call that renewed it began, on the monotonic clock.
        :param ttl_s: Lifetime after the renewal, in seconds.
        """
        self._valid_until = Millis(
            max(self._valid_until, requested + ttl_s * MS_PER_SECOND - EXPIRY_GUARD_MS)
        )

    def mark_lost(self) -> None:
        """Mark the lease as lost, so that no further orders are sent under it."""
        self._lost = True

    def can_send_orders(self) -> bool:
        """Return whether the lease is certainly valid; to be checked before each order."""
        if self._clock.now() >= self._valid_until:
            self._lost = True
        return not self._lost

    def can_send_unfenced_orders(self) -> bool:
        """Return whether orders may be sent to an engine that ignores fencing numbers."""
        waited = self._clock.now() - self._acquired >= TAKEOVER_DELAY_MS
        return waited and self.can_send_orders()


@final
class ControlLease:
    """Acquires, renews and releases the control lease of one group of engines.

    :param store: Store that holds the lease.
    :param key: Store key of the lease.
    :param host: Id of this host.
    :param incarnation: Incarnation number of this host; a restarted host has a higher one.
    :param clock: Clock that times the expiry of the lease.
    """

    def __init__(
        self, *, store: Store, key: str, host: HostId, incarnation: int, clock: Clock
    ) -> None:
        self._store = store
        self._key = key
        self._clock = clock
        record = ControlLeaseRecord(host=host, incarnation=incarnation)
        self._value = msgspec.json.encode(record)

    async def acquire(self) -> HeldLease | None:
        """Acquire the lease if no host holds it.

        :returns: The lease; ``None`` if another host holds it or the store failed.
        """
        present = await self._store.get(key=self._key)
        if isinstance(present, Failure) or present.unwrap() is not None:
            return None
        requested = self._clock.now()
        granted = await self._store.grant_lease(ttl_s=LEASE_TTL_S)
        if isinstance(granted, Failure):
            return None
        lease = granted.unwrap()
        fence = await self._create(lease)
        if fence is None:
            await self._store.revoke(lease=lease)
            return None
        return HeldLease(fence=fence, lease=lease, clock=self._clock, requested=requested)

    async def renew_until_lost(self, *, held_lease: HeldLease) -> None:
        """Renew the lease periodically until it is lost."""
        while held_lease.can_send_orders():
            await self._clock.sleep(LEASE_TTL_S * MS_PER_SECOND // RENEWALS_PER_TTL)
            requested = self._clock.now()
            renewed = await self._store.keep_alive(lease=held_lease.lease)
            if isinstance(renewed, Failure):
                log.warning("Failed to renew the control lease.")
            elif renewed.unwrap() <= 0:
                held_lease.mark_lost()
            else:
                held_lease.extend(requested=requested, ttl_s=min(renewed.unwrap(), LEASE_TTL_S))

    async def release(self, *, held_lease: HeldLease) -> None:
        """Revoke the lease, so that another host does not have to wait until it expires."""
        held_lease.mark_lost()
        await self._store.revoke(lease=held_lease.lease)

    async def _create(self, lease: LeaseId) -> int | None:
        """Create the key of the lease.

        :returns: The revision that created it; ``None`` if the key exists or the store failed.
        """
        put = ConditionalPut(
            key=self._key,
            value=self._value,
            expected_mod_revision=StoreRevision(0),
            lease=lease,
        )
        result = await self._store.commit(puts=[put])
        if isinstance(result, Success):
            (outcome,) = result.unwrap()
            return int(outcome.revision) if outcome.written else None
        if result.failure().kind is not StoreErrorKind.UNCERTAIN:
            return None
        # The reply was lost. If the key is attached to the new lease, the write has succeeded.
        found = await self._store.get(key=self._key)
        entry = found.value_or(None)
        return int(entry.create_revision) if entry is not None and entry.lease == lease else None


async def cancel_and_wait(task: asyncio.Task[None]) -> None:
    """Cancel a task and wait until it has ended."""
    task.cancel()
    await asyncio.wait([task])
