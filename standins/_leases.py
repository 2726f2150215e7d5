"""Leases: groups of keys that are deleted together when the lease expires or is revoked."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from standins._mvcc import KeyRange
from standins._mvcc import KeySpace
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock

FIRST_LEASE_ID = 7_587_000_000_000_000_001


@dataclass(kw_only=True, slots=True)
class Lease:
    """One lease.

    :param id: Id of the lease.
    :param ttl_s: Time to live without a keep-alive, in seconds.
    :param deadline_ms: Clock time at which it expires, in milliseconds.
    :param keys: Keys attached to it.
    """

    id: int
    ttl_s: int
    deadline_ms: int
    keys: set[bytes] = field(default_factory=set)


@final
class Leases:
    """All leases of the store.

    :param space: Key space from which the keys of an ended lease are deleted.
    :param clock: Source of the current time.
    """

    def __init__(self, *, space: KeySpace, clock: Clock) -> None:
        self._space = space
        self._clock = clock
        self._leases: dict[int, Lease] = {}
        self._lease_by_key: dict[bytes, int] = {}
        self._next_id = FIRST_LEASE_ID

    def exists(self, lease: int) -> bool:
        """Return whether a lease is active.

        :param lease: Id of the lease.
        """
        return lease in self._leases

    def find(self, lease: int) -> Lease | None:
        """Return a lease, or ``None`` when it is not active.

        :param lease: Id of the lease.
        """
        return self._leases.get(lease)

    def remaining_s(self, lease: Lease) -> int:
        """Return the remaining time to live of a lease, in whole seconds.

        :param lease: The lease.
        """
        return max(0, lease.deadline_ms - self._clock.now()) // MS_PER_SECOND

    def grant(self, *, ttl_s: int, lease: int = 0) -> Lease:
        """Create a lease.

        :param ttl_s: Time to live without a keep-alive, in seconds.
        :param lease: Id of the lease; 0 generates one.
        :returns: The new lease.
        """
        if not lease:
            lease, self._next_id = self._next_id, self._next_id + 1
        deadline_ms = self._clock.now() + ttl_s * MS_PER_SECOND
        granted = Lease(id=lease, ttl_s=ttl_s, deadline_ms=deadline_ms)
        self._leases[lease] = granted
        return granted

    def keep_alive(self, lease: int) -> Lease | None:
        """Renew a lease.

        :param lease: Id of the lease.
        :returns: The renewed lease, or ``None`` when it is not active.
        """
        found = self._leases.get(lease)
        if found is not None:
            found.deadline_ms = self._clock.now() + found.ttl_s * MS_PER_SECOND
        return found

    def revoke(self, lease: int) -> bool:
        """End a lease and delete its keys.

        :param lease: Id of the lease.
        :returns: Whether the lease was active.
        """
        revoked = self._leases.pop(lease, None)
        if revoked is None:
            return False
        for key in sorted(revoked.keys):
            self._lease_by_key.pop(key, None)
            self._space.delete(KeyRange(key=key))
        self._space.commit()
        return True

    def attach(self, *, key: bytes, lease: int) -> None:
        """Attach a key to a lease and detach it from its previous one.

        :param key: The key.
        :param lease: Id of the new lease; 0 means none.
        """
        previous = self._leases.get(self._lease_by_key.pop(key, 0))
        if previous is not None:
            previous.keys.discard(key)
        if lease:
            self._lease_by_key[key] = lease
            self._leases[lease].keys.add(key)

    async def expire_forever(self, *, interval_ms: int) -> None:
        """Revoke expired leases at a regular interval.

        :param interval_ms: Interval between two checks, in milliseconds.
        """
        while True:
            await self._clock.sleep(interval_ms)
            self.expire()

    def expire(self) -> None:
        """Revoke all leases whose deadline has passed."""
        now = self._clock.now()
        for lease in [item.id for item in self._leases.values() if item.deadline_ms <= now]:
            self.revoke(lease)
