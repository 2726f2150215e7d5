"""Leases that many claims share, so that the store sweeps old claims by itself."""

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
MARGIN_S: Final = 60
"""Added to each lease for the time between taking it and the write that uses it."""


class _Bucket(Struct, frozen=True, kw_only=True):
    lease: LeaseId
    ends: Millis


@final
class BucketLeases:
    """One lease for all claims of one time bucket and one time to live; none is renewed.

    :param store: Where leases are granted.
    :param clock: Tells when a bucket ends.
    """

    def __init__(self, *, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._buckets: dict[int, _Bucket] = {}
        self._grants: dict[int, asyncio.Task[Result[LeaseId, StoreError]]] = {}

    async def lease_for(self, *, ttl_s: int) -> Result[LeaseId, StoreError]:
        """Return a lease that lasts for at least ``ttl_s`` seconds from now."""
        bucket = self._buckets.get(ttl_s)
        if bucket is not None and self._clock.now() < bucket.ends:
            return Success(bucket.lease)
        # All who wait share one call, and its failure, which comes after a timeout.
        grant = self._grants.get(ttl_s)
        if grant is None:
            grant = asyncio.get_running_loop().create_task(self._grant(ttl_s))
            self._grants[ttl_s] = grant
            grant.add_done_callback(lambda _: self._grants.pop(ttl_s, None))
        return await asyncio.shield(grant)

    def forget(self, *, lease: LeaseId) -> None:
        """Stop using a lease, because the store may have lost it."""
        for ttl_s, bucket in list(self._buckets.items()):
            if bucket.lease == lease:
                del self._buckets[ttl_s]

    async def close(self) -> None:
        """Stop waiting for grants."""
        grants = list(self._grants.values())
        for grant in grants:
            grant.cancel()
        await asyncio.gather(*grants, return_exceptions=True)

    async def _grant(self, ttl_s: int) -> Result[LeaseId, StoreError]:
        width_s = max(ttl_s // BUCKETS_PER_TTL, MIN_BUCKET_S)
        # The lease runs from some time after this one, so the bucket ends early, never late.
        ends = Millis(self._clock.now() + width_s * MS_PER_SECOND)
        granted = await self._store.grant_lease(ttl_s=ttl_s + width_s + MARGIN_S)
        if isinstance(granted, Failure):
            return granted
        self._buckets[ttl_s] = _Bucket(lease=granted.unwrap(), ends=ends)
        return granted
