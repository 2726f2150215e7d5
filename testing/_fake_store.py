"""An in-memory key-value service with revisions, leases, watches and faults.

Several clients share one :class:`FakeBackend`; each client has faults of its own, so that one
host may lose the store while another still reaches it. All waiting is loop time.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.store import LeaseId
from tanagerscale.store import PutIf
from tanagerscale.store import PutOutcome
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch

MAX_VALUE_BYTES = 1024 * 1024


@dataclass(kw_only=True, slots=True)
class _Lease:
    ttl_s: int
    ends: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Event:
    revision: int
    key: str
    entry: StoreEntry | None


@final
class FakeBackend:
    """The state that all clients of one fake store share."""

    def __init__(self) -> None:
        self.revision = 1
        self.compacted = 0
        self.entries: dict[str, StoreEntry] = {}
        self.history: list[_Event] = []
        self.changed = asyncio.Condition()
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1

    def compact(self) -> None:
        """Forget the history up to now; older watches fail with ``COMPACTED``."""
        self.compacted = self.revision
        self.history.clear()
        self.wake()

    def corrupt(self, *, key: str, value: bytes) -> None:
        """Replace a value behind everybody's back, without a revision or an event."""
        present = self.entries[key]
        self.entries[key] = StoreEntry(
            key=key,
            value=value,
            create_revision=present.create_revision,
            mod_revision=present.mod_revision,
            lease=present.lease,
        )

    def remove_silently(self, *, key: str) -> None:
        """Lose a key without a revision or an event."""
        del self.entries[key]

    def write(self, *, puts: Sequence[PutIf]) -> list[PutOutcome]:
        """Carry out conditional writes at one new revision."""
        self.expire()
        revision = self.revision + 1
        outcomes = [self._write_one(put=put, revision=revision) for put in puts]
        if any(outcome.written for outcome in outcomes):
            self.revision = revision
            self.wake()
        return outcomes

    def has_lease(self, *, lease: LeaseId) -> bool:
        """Tell whether a lease is alive."""
        self.expire()
        return lease in self._leases

    def grant(self, *, ttl_s: int) -> LeaseId:
        """Make a lease and wake the watchers when it ends."""
        lease = LeaseId(self._next_lease)
        self._next_lease += 1
        self._leases[lease] = _Lease(ttl_s=ttl_s, ends=_now() + ttl_s)
        self._expire_later(ttl_s=ttl_s)
        return lease

    def renew(self, *, lease: LeaseId) -> int:
        """Renew a lease; 0 when it has ended."""
        self.expire()
        state = self._leases.get(lease)
        if state is None:
            return 0
        state.ends = _now() + state.ttl_s
        self._expire_later(ttl_s=state.ttl_s)
        return state.ttl_s

    def end_lease(self, *, lease: LeaseId) -> None:
        """End a lease and delete its keys."""
        self._leases.pop(lease, None)
        keys = [key for key, entry in self.entries.items() if entry.lease == lease]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            del self.entries[key]
            self.history.append(_Event(revision=self.revision, key=key, entry=None))
        self.wake()

    def expire(self) -> None:
        """End the leases whose time is over."""
        now = _now()
        for lease in [lease for lease, state in self._leases.items() if state.ends <= now]:
            self.end_lease(lease=LeaseId(lease))

    def wake(self) -> None:
        """Let the watchers look again."""
        asyncio.get_running_loop().create_task(self._notify())

    async def _notify(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def _expire_later(self, *, ttl_s: int) -> None:
        asyncio.get_running_loop().call_later(ttl_s + 0.001, self.expire)

    def _write_one(self, *, put: PutIf, revision: int) -> PutOutcome:
        present = self.entries.get(put.key)
        found = present.mod_revision if present is not None else 0
        if found != put.expected_mod_revision:
            return PutOutcome(written=False, revision=StoreRevision(self.revision), present=present)
        if put.value is None:
            self.entries.pop(put.key, None)
            self.history.append(_Event(revision=revision, key=put.key, entry=None))
            return PutOutcome(written=True, revision=StoreRevision(revision))
        entry = StoreEntry(
            key=put.key,
            value=put.value,
            create_revision=present.create_revision if present else StoreRevision(revision),
            mod_revision=StoreRevision(revision),
            lease=put.lease,
        )
        self.entries[put.key] = entry
        self.history.append(_Event(revision=revision, key=put.key, entry=entry))
        return PutOutcome(written=True, revision=StoreRevision(revision))


@dataclass(kw_only=True, slots=True)
class StoreCalls:
    """Calls counted, a waiting watch as one."""

    reads: int = 0
    stale_reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0


@final
@dataclass(kw_only=True)
class FakeStore:
    """A client of the fake store; implements ``tanagerscale.store.Store``.

    :param backend: State to share with other clients; a new one by default.
    :param down: Calls fail as unreachable and watches end.
    :param lose_replies: How many of the next writes take effect but lose their reply.
    :param lose_requests: How many of the next writes are lost on their way, reply unknown.
    :param latency_ms: Time each call takes.
    :param watch_delay_ms: How late a watch delivers.
    :param watch_stalled: Watches neither deliver nor fail.
    """

    backend: FakeBackend = field(default_factory=FakeBackend)
    down: bool = False
    lose_replies: int = 0
    lose_requests: int = 0
    latency_ms: int = 0
    watch_delay_ms: int = 0
    watch_stalled: bool = False
    calls: StoreCalls = field(default_factory=StoreCalls)

    def set_down(self, down: bool) -> None:
        """Take the store away from this client, or give it back."""
        self.down = down
        self.backend.wake()

    async def get(self, *, key: str, stale: bool = False) -> Result[StoreEntry | None, StoreError]:
        """Read one key."""
        self.calls.stale_reads += stale
        self.calls.reads += not stale
        failure = await self._reach()
        if failure is not None:
            return Failure(failure)
        self.backend.expire()
        return Success(self.backend.entries.get(key))

    async def list(self, *, prefix: str) -> Result[StoreRange, StoreError]:
        """Read all keys under a prefix."""
        self.calls.reads += 1
        failure = await self._reach()
        if failure is not None:
            return Failure(failure)
        self.backend.expire()
        keys = sorted(key for key in self.backend.entries if key.startswith(prefix))
        entries = tuple(self.backend.entries[key] for key in keys)
        return Success(StoreRange(entries=entries, revision=StoreRevision(self.backend.revision)))

    async def commit(self, *, puts: Sequence[PutIf]) -> Result[Sequence[PutOutcome], StoreError]:
        """Carry out conditional writes in one call."""
        self.calls.writes += 1
        failure = await self._reach()
        if failure is not None:
            return Failure(failure)
        if self.lose_requests > 0:
            self.lose_requests -= 1
            return Failure(_error(StoreErrorKind.UNCERTAIN))
        for put in puts:
            if put.value is not None and len(put.value) > MAX_VALUE_BYTES:
                return Failure(_error(StoreErrorKind.REFUSED))
            if put.lease and not self.backend.has_lease(lease=put.lease):
                return Failure(_error(StoreErrorKind.REFUSED))
        outcomes = self.backend.write(puts=puts)
        if self._loses_reply():
            return Failure(_error(StoreErrorKind.UNCERTAIN))
        return Success(outcomes)

    async def grant_lease(self, *, ttl_s: int) -> Result[LeaseId, StoreError]:
        """Make a lease."""
        self.calls.leases += 1
        failure = await self._reach()
        if failure is not None:
            return Failure(failure)
        lease = self.backend.grant(ttl_s=ttl_s)
        if self._loses_reply():
            return Failure(_error(StoreErrorKind.UNCERTAIN))
        return Success(lease)

    async def keep_alive(self, *, lease: LeaseId) -> Result[int, StoreError]:
        """Renew a lease."""
        self.calls.leases += 1
        failure = await self._reach()
        if failure is not None:
            return Failure(failure)
        return Success(self.backend.renew(lease=lease))

    async def revoke(self, *, lease: LeaseId) -> Result[None, StoreError]:
        """End a lease and delete its keys."""
        self.calls.leases += 1
        failure = await self._reach()
        if failure is not None:
            return Failure(failure)
        self.backend.end_lease(lease=lease)
        return Success(None)

    async def watch(
        self, *, prefix: str, from_revision: StoreRevision
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        """Follow the changes from ``from_revision`` on, that one included."""
        self.calls.watches += 1
        failure = await self._reach()
        if failure is not None:
            yield Failure(failure)
            return
        reached = int(from_revision)
        while True:
            failure = self._watch_failure(reached=reached)
            if failure is not None:
                yield Failure(failure)
                return
            batch = None if self.watch_stalled else self._batch(prefix=prefix, reached=reached)
            if batch is None:
                async with self.backend.changed:
                    await self.backend.changed.wait()
                continue
            reached = batch.revision + 1
            await asyncio.sleep(self.watch_delay_ms / MS_PER_SECOND)
            yield Success(batch)

    def _batch(self, *, prefix: str, reached: int) -> WatchBatch | None:
        events = [
            event
            for event in self.backend.history
            if event.revision >= reached and event.key.startswith(prefix)
        ]
        if not events:
            return None
        last = {event.key: event for event in events}.values()
        return WatchBatch(
            entries=tuple(event.entry for event in last if event.entry is not None),
            deleted=tuple(event.key for event in last if event.entry is None),
            revision=StoreRevision(self.backend.revision),
        )

    def _watch_failure(self, *, reached: int) -> StoreError | None:
        if self.watch_stalled:
            return None
        if self.down:
            return _error(StoreErrorKind.UNREACHABLE)
        if reached <= self.backend.compacted:
            return _error(StoreErrorKind.COMPACTED)
        return None

    def _loses_reply(self) -> bool:
        if self.lose_replies == 0:
            return False
        self.lose_replies -= 1
        return True

    async def _reach(self) -> StoreError | None:
        await asyncio.sleep(self.latency_ms / MS_PER_SECOND)
        return _error(StoreErrorKind.UNREACHABLE) if self.down else None


def _now() -> float:
    return asyncio.get_running_loop().time()


def _error(kind: StoreErrorKind) -> StoreError:
    return StoreError(kind=kind, detail=f"The fake store was told to fail: {kind.value}.")
