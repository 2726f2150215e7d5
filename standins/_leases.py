"""Leases: sets of keys that end together unless they are kept alive."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from standins._mvcc import KeyRange
from standins._mvcc import KeySpace
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock

FIRST_ID = 7_587_000_000_000_000_001


@dataclass(kw_only=True, slots=True)
class Lease:
    """One lease; it ends at ``deadline`` on the loop's clock, in milliseconds."""

    id: int
    ttl_s: int
    deadline: int
    keys: set[bytes] = field(default_factory=set)


@final
class Leases:
    """All leases of the store.

    :param space: Where the keys of an ended lease are deleted.
    :param clock: The time that leases end by.
    """

    def __init__(self, *, space: KeySpace, clock: Clock) -> None:
        self._space = space
        self._clock = clock
        self._leases: dict[int, Lease] = {}
        self._owner: dict[bytes, int] = {}
        self._next_id = FIRST_ID

    def exists(self, lease: int) -> bool:
        """Return whether a lease has not ended."""
        return lease in self._leases

    def find(self, lease: int) -> Lease | None:
        """Return a lease that has not ended."""
        return self._leases.get(lease)

    def remaining_s(self, lease: Lease) -> int:
        """Return the whole seconds a lease still has."""
        return max(0, lease.deadline - self._clock.now()) // MS_PER_SECOND

    def grant(self, *, ttl_s: int, lease: int = 0) -> Lease:
        """Make a lease.

        :param ttl_s: Its life without a keep-alive, in seconds.
        :param lease: Its id; 0 has one chosen.
        """
        if not lease:
            lease, self._next_id = self._next_id, self._next_id + 1
        deadline = self._clock.now() + ttl_s * MS_PER_SECOND
        made = Lease(id=lease, ttl_s=ttl_s, deadline=deadline)
        self._leases[lease] = made
        return made

    def keep_alive(self, lease: int) -> Lease | None:
        """Renew a lease; ``None`` when it has ended."""
        found = self._leases.get(lease)
        if found is not None:
            found.deadline = self._clock.now() + found.ttl_s * MS_PER_SECOND
        return found

    def revoke(self, lease: int) -> bool:
        """End a lease and delete its keys; false when there is no such lease."""
        ended = self._leases.pop(lease, None)
        if ended is None:
            return False
        for key in sorted(ended.keys):
            self._owner.pop(key, None)
            self._space.delete(KeyRange(key=key))
        self._space.commit()
        return True

    def attach(self, *, key: bytes, lease: int) -> None:
        """Note under which lease a key lives now; 0 means none."""
        former = self._leases.get(self._owner.pop(key, 0))
        if former is not None:
            former.keys.discard(key)
        if lease:
            self._owner[key] = lease
            self._leases[lease].keys.add(key)

    async def expire_forever(self, *, interval_ms: int) -> None:
        """End leases whose time is over, again and again.

        :param interval_ms: How often to look, in milliseconds.
        """
        while True:
            await self._clock.sleep(interval_ms)
            self.expire()

    def expire(self) -> None:
        """End leases whose time is over."""
        now = self._clock.now()
        for lease in [item.id for item in self._leases.values() if item.deadline <= now]:
            self.revoke(lease)
