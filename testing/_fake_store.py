"""In-memory key-value store with revisions, leases, watches and faults.

Several clients share one :class:`FakeBackend`. Each client has its own faults, so that one host can
lose the store while another still reaches it. All delays use the time of the event loop.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import final

from msgspec.structs import replace
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.store import WATCH_MARGIN_MS
from tanagerscale.store import ConditionalPut
from tanagerscale.store import LeaseId
from tanagerscale.store import PutOutcome
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from tanagerscale.store import era_of
from tanagerscale.store import make_revision
from tanagerscale.store import number_of

NO_REVISION = -1
"""Revision that no key has."""
MAX_VALUE_BYTES = 1024 * 1024
CALL_TIMEOUT_MS = 1000
"""Time after which a call that is not answered fails, as in the client of the platform's store."""


@dataclass(kw_only=True, slots=True)
class _Lease:
    ttl_s: int
    ends_at: float


@dataclass(frozen=True, kw_only=True, slots=True)
class _Event:
    revision: int
    key: str
    entry: StoreEntry | None


@dataclass(frozen=True, kw_only=True, slots=True)
class BackendCopy:
    """Content of a store at one moment."""

    revision: int
    entries: dict[str, StoreEntry]
    next_lease: int


@final
class FakeBackend:
    """State shared by all clients of one fake store, with revisions and leases without eras."""

    def __init__(self) -> None:
        self.revision = 1
        self.era = 0
        """Number of times that the store has come back from a copy."""
        self.compacted = 0
        self.entries: dict[str, StoreEntry] = {}
        self.history: list[_Event] = []
        self.changed = asyncio.Condition()
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1

    def compact(self) -> None:
        """Delete the history up to the current revision; older watches fail with ``COMPACTED``."""
        self.compacted = self.revision
        self.history.clear()
        self.wake_watchers()

    def copy(self) -> BackendCopy:
        """Return a copy of the content, from which the store can come back."""
        return BackendCopy(
            revision=self.revision, entries=dict(self.entries), next_lease=self._next_lease
        )

    def come_back_from(self, copy: BackendCopy) -> None:
        """Replace the content by that of a copy, which starts a new era.

        Revisions and leases continue from those of the copy, and leases granted since are gone.
        """
        self.era += 1
        self.revision = self.compacted = copy.revision
        self.entries = dict(copy.entries)
        self.history.clear()
        self._next_lease = copy.next_lease
        kept = {entry.lease for entry in copy.entries.values()}
        self._leases = {one: state for one, state in self._leases.items() if one in kept}
        self.wake_watchers()

    def corrupt(self, *, key: str, value: bytes) -> None:
        """Replace a value without a new revision or an event."""
        present = self.entries[key]
        self.entries[key] = StoreEntry(
            key=key,
            value=value,
            create_revision=present.create_revision,
            mod_revision=present.mod_revision,
            lease=present.lease,
        )

    def lose_key(self, *, key: str) -> None:
        """Delete a key without a new revision or an event."""
        del self.entries[key]

    def write(self, *, puts: Sequence[ConditionalPut]) -> list[PutOutcome]:
        """Apply conditional writes at one new revision."""
        self.expire_leases()
        revision = self.revision + 1
        outcomes = [self._write_one(put=put, revision=revision) for put in puts]
        if any(outcome.written for outcome in outcomes):
            self.revision = revision
            self.wake_watchers()
        return outcomes

    def has_lease(self, *, lease: LeaseId) -> bool:
        """Return whether a lease exists and has not expired."""
        self.expire_leases()
        return lease in self._leases

    def grant(self, *, ttl_s: int) -> LeaseId:
        """Grant a lease and schedule its expiry."""
        lease = LeaseId(self._next_lease)
        self._next_lease += 1
        self._leases[lease] = _Lease(ttl_s=ttl_s, ends_at=_loop_time() + ttl_s)
        self._expire_later(ttl_s=ttl_s)
        return lease

    def renew(self, *, lease: LeaseId) -> int:
        """Renew a lease and return its TTL in seconds; 0 if it has expired."""
        self.expire_leases()
        state = self._leases.get(lease)
        if state is None:
            return 0
        state.ends_at = _loop_time() + state.ttl_s
        self._expire_later(ttl_s=state.ttl_s)
        return state.ttl_s

    def revoke_lease(self, *, lease: LeaseId) -> None:
        """Revoke a lease and delete its keys."""
        self._leases.pop(lease, None)
        keys = [key for key, entry in self.entries.items() if entry.lease == lease]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            del self.entries[key]
            self.history.append(_Event(revision=self.revision, key=key, entry=None))
        self.wake_watchers()

    def expire_leases(self) -> None:
        """Revoke all expired leases."""
        now = _loop_time()
        for lease in [lease for lease, state in self._leases.items() if state.ends_at <= now]:
            self.revoke_lease(lease=LeaseId(lease))

    def wake_watchers(self) -> None:
        """Wake all watchers to check for changes."""
        asyncio.get_running_loop().create_task(self._notify_watchers())

    async def _notify_watchers(self) -> None:
        async with self.changed:
            self.changed.notify_all()

    def _expire_later(self, *, ttl_s: int) -> None:
        asyncio.get_running_loop().call_later(ttl_s + 0.001, self.expire_leases)

    def _write_one(self, *, put: ConditionalPut, revision: int) -> PutOutcome:
        present = self.entries.get(put.key)
        current_revision = present.mod_revision if present is not None else 0
        if current_revision != put.expected_mod_revision:
            return PutOutcome(
                written=False, revision=StoreRevision(self.revision), current_entry=present
            )
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
    """Number of calls of each kind; an open watch counts as one call, as does each ``changes``."""

    reads: int = 0
    stale_reads: int = 0
    writes: int = 0
    watches: int = 0
    leases: int = 0


@dataclass(kw_only=True, slots=True, eq=False)
class WaitingCall:
    """A call that waits for changes.

    :param prefix: Prefix of the keys.
    :param is_lost: Whether it is never answered.
    """

    prefix: str
    is_lost: bool = False


@final
@dataclass(kw_only=True)
class FakeStore:
    """Client of the fake store; implements ``Store`` and ``PolledStore``.

    :param backend: State shared with other clients; a new one by default.
    :param down: Whether calls fail as unreachable and watches end.
    :param lose_replies: Number of next writes that take effect but whose response is lost.
    :param lose_requests: Number of next writes whose request is lost; they fail as uncertain.
    :param latency_ms: Duration of each call in milliseconds.
    :param watch_delay_ms: Delivery delay of watches in milliseconds.
    :param watch_stalled: Whether watches neither deliver changes nor fail; ``changes`` is not
        answered.
    :param losing: Whether the calls of ``changes`` that begin are never answered, by their prefix.
    :param silent: Whether nothing is answered: calls time out, and watches wait without an end.
    :param calls: Counters of the calls made by this client.
    """

    backend: FakeBackend = field(default_factory=FakeBackend)
    down: bool = False
    lose_replies: int = 0
    lose_requests: int = 0
    latency_ms: int = 0
    watch_delay_ms: int = 0
    watch_stalled: bool = False
    silent: bool = False
    losing: Callable[[str], bool] = lambda _prefix: False
    calls: StoreCalls = field(default_factory=StoreCalls)
    waiting: list[WaitingCall] = field(default_factory=list)

    def set_down(self, down: bool) -> None:
        """Make the store unreachable or reachable for this client."""
        self.down = down
        self.backend.wake_watchers()

    async def get(
        self, *, key: str, allow_stale: bool = False
    ) -> Result[StoreEntry | None, StoreError]:
        """Read one key."""
        self.calls.stale_reads += allow_stale
        self.calls.reads += not allow_stale
        failure = await self._simulate_call()
        if failure is not None:
            return Failure(failure)
        self.backend.expire_leases()
        entry = self.backend.entries.get(key)
        return Success(None if entry is None else self._in_era(entry))

    async def list(self, *, prefix: str) -> Result[StoreRange, StoreError]:
        """Read all keys under a prefix."""
        self.calls.reads += 1
        failure = await self._simulate_call()
        if failure is not None:
            return Failure(failure)
        self.backend.expire_leases()
        keys = sorted(key for key in self.backend.entries if key.startswith(prefix))
        entries = tuple(self._in_era(self.backend.entries[key]) for key in keys)
        return Success(StoreRange(entries=entries, revision=self._revision(self.backend.revision)))

    async def commit(
        self, *, puts: Sequence[ConditionalPut]
    ) -> Result[Sequence[PutOutcome], StoreError]:
        """Apply conditional writes in one call."""
        self.calls.writes += 1
        failure = await self._simulate_call()
        if failure is not None:
            return Failure(failure)
        if self.lose_requests > 0:
            self.lose_requests -= 1
            return Failure(_error(StoreErrorKind.UNCERTAIN))
        for put in puts:
            if put.value is not None and len(put.value) > MAX_VALUE_BYTES:
                return Failure(_error(StoreErrorKind.REFUSED))
            if put.lease and not self.backend.has_lease(lease=LeaseId(number_of(put.lease))):
                return Failure(_error(StoreErrorKind.REFUSED))
        outcomes = self.backend.write(puts=[self._without_era(put) for put in puts])
        if self._is_reply_lost():
            return Failure(_error(StoreErrorKind.UNCERTAIN))
        return Success([self._outcome_in_era(outcome) for outcome in outcomes])

    async def grant_lease(self, *, ttl_s: int) -> Result[LeaseId, StoreError]:
        """Grant a lease."""
        self.calls.leases += 1
        failure = await self._simulate_call()
        if failure is not None:
            return Failure(failure)
        lease = self.backend.grant(ttl_s=ttl_s)
        if self._is_reply_lost():
            return Failure(_error(StoreErrorKind.UNCERTAIN))
        return Success(LeaseId(self._revision(lease)))

    async def keep_alive(self, *, lease: LeaseId) -> Result[int, StoreError]:
        """Renew a lease."""
        self.calls.leases += 1
        failure = await self._simulate_call()
        if failure is not None:
            return Failure(failure)
        if era_of(lease) != self.backend.era:
            return Success(0)
        return Success(self.backend.renew(lease=LeaseId(number_of(lease))))

    async def revoke(self, *, lease: LeaseId) -> Result[None, StoreError]:
        """Revoke a lease and delete its keys."""
        self.calls.leases += 1
        failure = await self._simulate_call()
        if failure is not None:
            return Failure(failure)
        if era_of(lease) == self.backend.era:
            self.backend.revoke_lease(lease=LeaseId(number_of(lease)))
        return Success(None)

    async def watch(
        self, *, prefix: str, from_revision: StoreRevision
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        """Watch the changes from ``from_revision`` on, inclusive."""
        self.calls.watches += 1
        failure = await self._simulate_call()
        if failure is not None:
            yield Failure(failure)
            return
        reached = number_of(from_revision)
        while True:
            failure = self._check_watch(reached=reached, era=era_of(from_revision))
            if failure is not None:
                yield Failure(failure)
                return
            is_stalled = self.watch_stalled or self.silent
            batch = None if is_stalled else self._batch(prefix=prefix, reached=reached)
            if batch is None:
                async with self.backend.changed:
                    await self.backend.changed.wait()
                continue
            reached = number_of(batch.revision) + 1
            await asyncio.sleep(self.watch_delay_ms / MS_PER_SECOND)
            yield Success(batch)

    def lose_watches(self, prefix: str = "") -> None:
        """Leave the waiting calls of ``changes`` for some prefixes without an answer."""
        for call in self.waiting:
            call.is_lost = call.is_lost or call.prefix.startswith(prefix)

    async def changes(
        self, *, prefix: str, after: StoreRevision, wait_ms: int
    ) -> Result[WatchBatch, StoreError]:
        """Return the changes after a revision as soon as there are any."""
        self.calls.watches += 1
        call = WaitingCall(prefix=prefix, is_lost=self.losing(prefix))
        self.waiting.append(call)
        try:
            timeout_ms = max(wait_ms + WATCH_MARGIN_MS, CALL_TIMEOUT_MS)
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                return await self._wait_for_changes(call, after, wait_ms)
        except TimeoutError:
            return Failure(_error(StoreErrorKind.UNCERTAIN))
        finally:
            self.waiting.remove(call)

    async def _wait_for_changes(
        self, call: WaitingCall, after: StoreRevision, wait_ms: int
    ) -> Result[WatchBatch, StoreError]:
        await asyncio.sleep(self.latency_ms / 2 / MS_PER_SECOND)
        call.is_lost = call.is_lost or self.silent
        ends_at = _loop_time() + wait_ms / MS_PER_SECOND
        answer = self._answer_to(call.prefix, after, is_over=False)
        while answer is None:
            is_over = False
            try:
                async with asyncio.timeout_at(ends_at), self.backend.changed:
                    await self.backend.changed.wait()
            except TimeoutError:
                is_over = True
            answer = self._answer_to(call.prefix, after, is_over=is_over)
        if call.is_lost or self.silent or self.watch_stalled:
            await asyncio.Event().wait()
        await asyncio.sleep((self.latency_ms / 2 + self.watch_delay_ms) / MS_PER_SECOND)
        return answer

    def _answer_to(
        self, prefix: str, after: StoreRevision, *, is_over: bool
    ) -> Result[WatchBatch, StoreError] | None:
        """Return the answer to a call for changes; ``None`` if it goes on waiting."""
        reached = number_of(after) + 1
        failure = self._check_watch(reached=reached, era=era_of(after))
        if failure is not None:
            return Failure(failure)
        batch = self._batch(prefix=prefix, reached=reached)
        if batch is None and is_over:
            batch = WatchBatch(
                entries=(), deleted=(), revision=self._revision(self.backend.revision)
            )
        return None if batch is None else Success(batch)

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
            entries=tuple(self._in_era(event.entry) for event in last if event.entry is not None),
            deleted=tuple(event.key for event in last if event.entry is None),
            revision=self._revision(self.backend.revision),
        )

    def _revision(self, number: int) -> StoreRevision:
        return make_revision(era=self.backend.era, number=number)

    def _in_era(self, entry: StoreEntry) -> StoreEntry:
        return replace(
            entry,
            create_revision=self._revision(entry.create_revision),
            mod_revision=self._revision(entry.mod_revision),
        )

    def _outcome_in_era(self, outcome: PutOutcome) -> PutOutcome:
        present = outcome.current_entry
        return replace(
            outcome,
            revision=self._revision(outcome.revision),
            current_entry=None if present is None else self._in_era(present),
        )

    def _without_era(self, put: ConditionalPut) -> ConditionalPut:
        expected = put.expected_mod_revision
        is_known = not expected or era_of(expected) == self.backend.era
        number = StoreRevision(number_of(expected) if is_known else NO_REVISION)
        return replace(put, expected_mod_revision=number, lease=LeaseId(number_of(put.lease)))

    def _check_watch(self, *, reached: int, era: int) -> StoreError | None:
        if self.watch_stalled or self.silent:
            return None
        if era != self.backend.era:
            return _error(StoreErrorKind.COMPACTED)
        if self.down:
            return _error(StoreErrorKind.UNREACHABLE)
        if reached <= self.backend.compacted or reached > self.backend.revision + 1:
            return _error(StoreErrorKind.COMPACTED)
        return None

    def _is_reply_lost(self) -> bool:
        if self.lose_replies == 0:
            return False
        self.lose_replies -= 1
        return True

    async def _simulate_call(self) -> StoreError | None:
        await asyncio.sleep(self.latency_ms / MS_PER_SECOND)
        if self.silent:
            await asyncio.sleep((CALL_TIMEOUT_MS - self.latency_ms) / MS_PER_SECOND)
            return _error(StoreErrorKind.UNCERTAIN)
        return _error(StoreErrorKind.UNREACHABLE) if self.down else None


def _loop_time() -> float:
    return asyncio.get_running_loop().time()


def _error(kind: StoreErrorKind) -> StoreError:
    return StoreError(kind=kind, detail=f"Simulated failure of the fake store: {kind.value}.")
