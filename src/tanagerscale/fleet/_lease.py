"""The right to control a group of engines, held under a lease of the store."""

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

TTL_S: Final = 15
GUARD_MS: Final = 5000
"""Orders stop so long before the lease may end: longer than an order takes."""

RENEWALS_PER_TTL: Final = 5

TAKEOVER_MARGIN_MS: Final = 5000
"""A new holder waits so long before it orders engines that ignore fencing, for orders of the one
before that are still on their way."""

log = get_logger(part="fleet")


@final
class Hold:
    """The lease while it is held.

    :param fence: Fencing number: the revision that created the lease's key.
    :param lease: The lease.
    :param clock: Judges how long it lasts.
    :param asked: When it was asked for; it can't have begun to run before.
    """

    def __init__(self, *, fence: int, lease: LeaseId, clock: Clock, asked: Millis) -> None:
        self._fence = fence
        self._lease = lease
        self._clock = clock
        self._began = clock.now()
        self._until = Millis(0)
        self._lost = False
        self.extend(asked=asked, ttl_s=TTL_S)

    @property
    def fence(self) -> int:
        """The fencing number of all orders under it."""
        return self._fence

    @property
    def lease(self) -> LeaseId:
        """The lease in the store."""
        return self._lease

    def extend(self, *, asked: Millis, ttl_s: int) -> None:
        """Take in that the lease was renewed by a call that began at ``asked``."""
        self._until = Millis(max(self._until, asked + ttl_s * MS_PER_SECOND - GUARD_MS))

    def lose(self) -> None:
        """Never act under it again."""
        self._lost = True

    def may_act(self) -> bool:
        """Tell whether the lease surely stands; ask immediately before each order."""
        if self._clock.now() >= self._until:
            self._lost = True
        return not self._lost

    def may_act_unfenced(self) -> bool:
        """Tell the same for an engine that ignores fencing numbers."""
        waited = self._clock.now() - self._began >= TAKEOVER_MARGIN_MS
        return waited and self.may_act()


@final
class ControlLease:
    """Takes, renews and gives back the lease of one group of engines.

    :param store: Where it stands.
    :param key: Its key.
    :param host: This host.
    :param incarnation: Which life of the host this is.
    :param clock: Judges how long it lasts.
    """

    def __init__(
        self, *, store: Store, key: str, host: HostId, incarnation: int, clock: Clock
    ) -> None:
        self._store = store
        self._key = key
        self._clock = clock
        record = ControlLeaseRecord(host=host, incarnation=incarnation)
        self._value = msgspec.json.encode(record)

    async def acquire(self) -> Hold | None:
        """Take the lease if nobody holds it."""
        present = await self._store.get(key=self._key)
        if isinstance(present, Failure) or present.unwrap() is not None:
            return None
        asked = self._clock.now()
        granted = await self._store.grant_lease(ttl_s=TTL_S)
        if isinstance(granted, Failure):
            return None
        lease = granted.unwrap()
        fence = await self._create(lease)
        if fence is None:
            await self._store.revoke(lease=lease)
            return None
        return Hold(fence=fence, lease=lease, clock=self._clock, asked=asked)

    async def keep(self, *, hold: Hold) -> None:
        """Renew the lease until it is lost."""
        while hold.may_act():
            await self._clock.sleep(TTL_S * MS_PER_SECOND // RENEWALS_PER_TTL)
            asked = self._clock.now()
            renewed = await self._store.keep_alive(lease=hold.lease)
            if isinstance(renewed, Failure):
                log.warning("The control lease was not renewed.")
            elif renewed.unwrap() <= 0:
                hold.lose()
            else:
                hold.extend(asked=asked, ttl_s=min(renewed.unwrap(), TTL_S))

    async def release(self, *, hold: Hold) -> None:
        """Give the lease back, so that another host need not wait for its end."""
        hold.lose()
        await self._store.revoke(lease=hold.lease)

    async def _create(self, lease: LeaseId) -> int | None:
        """Create the key and return the revision that did so; ``None`` when another stands."""
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
        # The reply was lost; the key under our new lease proves that the write took effect.
        found = await self._store.get(key=self._key)
        entry = found.value_or(None)
        return int(entry.create_revision) if entry is not None and entry.lease == lease else None


async def cancel_and_wait(task: asyncio.Task[None]) -> None:
    """End a task."""
    task.cancel()
    await asyncio.wait([task])
