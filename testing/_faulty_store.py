"""Store client that can be frozen, crash, or apply a write after its caller got an error."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from typing import TypeVar
from typing import final

from returns.result import Failure
from returns.result import Result

from tanagerscale.store import ConditionalPut
from tanagerscale.store import LeaseId
from tanagerscale.store import PutOutcome
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from testing._fake_store import FakeBackend
from testing._fake_store import FakeStore

ResultT = TypeVar("ResultT")


@final
class FaultyStore:
    """Wrapper of a ``FakeStore`` for a host that can be frozen.

    A frozen host neither sends nor receives anything.

    :param backend: Store contents, shared with other hosts.
    """

    def __init__(self, *, backend: FakeBackend) -> None:
        self.fake = FakeStore(backend=backend, latency_ms=2)
        self.late_writes = 0
        """Number of the next commits that are reported as uncertain and take effect later."""
        self.late_ms = 30_000
        self._running = asyncio.Event()
        self._running.set()

    def freeze(self) -> None:
        """Freeze the host; without a later ``resume`` this is a crash."""
        self._running.clear()

    def resume(self) -> None:
        """Resume the host."""
        self._running.set()

    async def wait_until_running(self) -> None:
        """Wait while the host is frozen."""
        await self._running.wait()

    async def get(
        self, *, key: str, allow_stale: bool = False
    ) -> Result[StoreEntry | None, StoreError]:
        """Read one key."""
        await self.wait_until_running()
        return await self._return_when_running(
            await self.fake.get(key=key, allow_stale=allow_stale)
        )

    async def list(self, *, prefix: str) -> Result[StoreRange, StoreError]:
        """Read all keys under a prefix."""
        await self.wait_until_running()
        return await self._return_when_running(await self.fake.list(prefix=prefix))

    async def commit(
        self, *, puts: Sequence[ConditionalPut]
    ) -> Result[Sequence[PutOutcome], StoreError]:
        """Apply conditional writes in one call."""
        await self.wait_until_running()
        # etcd refuses a transaction that writes one key twice.
        assert len({put.key for put in puts}) == len(puts)
        if self.late_writes > 0 and not self.fake.down:
            self.late_writes -= 1
            loop = asyncio.get_running_loop()
            loop.call_later(self.late_ms / 1000, lambda: self._write_late(puts))
            error = StoreError(
                kind=StoreErrorKind.UNCERTAIN, detail="The write is still in transit."
            )
            return await self._return_when_running(Failure(error))
        return await self._return_when_running(await self.fake.commit(puts=puts))

    async def grant_lease(self, *, ttl_s: int) -> Result[LeaseId, StoreError]:
        """Grant a lease."""
        await self.wait_until_running()
        return await self._return_when_running(await self.fake.grant_lease(ttl_s=ttl_s))

    async def keep_alive(self, *, lease: LeaseId) -> Result[int, StoreError]:
        """Renew a lease."""
        await self.wait_until_running()
        return await self._return_when_running(await self.fake.keep_alive(lease=lease))

    async def revoke(self, *, lease: LeaseId) -> Result[None, StoreError]:
        """Revoke a lease and delete its keys."""
        await self.wait_until_running()
        return await self._return_when_running(await self.fake.revoke(lease=lease))

    async def watch(
        self, *, prefix: str, from_revision: StoreRevision
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        """Watch the changes of all keys under a prefix."""
        async for batch in self.fake.watch(prefix=prefix, from_revision=from_revision):
            await self.wait_until_running()
            yield batch

    def _write_late(self, puts: Sequence[ConditionalPut]) -> None:
        backend = self.fake.backend
        if all(not put.lease or backend.has_lease(lease=put.lease) for put in puts):
            backend.write(puts=puts)

    async def _return_when_running(self, result: ResultT) -> ResultT:
        await self.wait_until_running()
        return result
