"""Leases shared by many claims, under which the store deletes expired claims."""

from __future__ import annotations

import asyncio
from typing import Final
from typing import final

from msgspec import Struct
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.store import LeaseId
from tanagerscale.store import Store
from tanagerscale.store import StoreError

BUCKETS_PER_TTL: Final = 24
MIN_BUCKET_S: Final = 60
LEASE_MARGIN_S: Final = 60
"""Extra lifetime of each lease for the time between getting it and the write that uses it."""


class _Bucket(Struct, frozen=True, kw_only=True):
    lease: LeaseId
    expires: Millis


@final
class BucketLeases:
    """Provides one lease for all claims of a time bucket with the same TTL; none is renewed.

    :param store: Store that grants the leases.
    :param clock: Clock that times the buckets.
    """

    def __init__(self, *, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._buckets: dict[int, _Bucket] = {}
        self._grants: dict[int, asyncio.Task[Result[LeaseId, StoreError]]] = {}

    async def get_lease(self, *, ttl_s: int) -> Result[LeaseId, StoreError]:
        """Return a lease that lasts for at least ``ttl_s`` seconds from now."""
        bucket = self._buckets.get(ttl_s)
        if bucket is not None and self._clock.now() < bucket.expires:
            return Success(bucket.lease)
        # Concurrent callers share one call and its result: a failure may take a whole timeout.
        grant = self._grants.get(ttl_s)
        if grant is None:
            grant = asyncio.get_running_loop().create_task(self._grant(ttl_s))
            self._grants[ttl_s] = grant
            grant.add_done_callback(lambda _: self._grants.pop(ttl_s, None))
        return await asyncio.shield(grant)

    def discard(self, *, lease: LeaseId) -> None:
        """Stop using a lease that the store may have lost."""
        for ttl_s, bucket in list(self._buckets.items()):
            if bucket.lease == lease:
                del self._buckets[ttl_s]

    async def close(self) -> None:
        """Cancel the pending grants."""
        grants = list(self._grants.values())
        for grant in grants:
            grant.cancel()
        await asyncio.gather(*grants, return_exceptions=True)

    async def _grant(self, ttl_s: int) -> Result[LeaseId, StoreError]:
        bucket_s = max(ttl_s // BUCKETS_PER_TTL, MIN_BUCKET_S)
        # The lease starts later than this time, so the bucket ends early rather than late.
        expires = Millis(self._clock.now() + bucket_s * MS_PER_SECOND)
        granted = await self._store.grant_lease(ttl_s=ttl_s + bucket_s + LEASE_MARGIN_S)
        if isinstance(granted, Failure):
            return granted
        self._buckets[ttl_s] = _Bucket(lease=granted.unwrap(), expires=expires)
        return granted
