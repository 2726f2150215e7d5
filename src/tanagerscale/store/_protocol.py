"""What the system asks of the platform's key-value service."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
from enum import Enum
from enum import unique
from typing import NewType
from typing import Protocol

from msgspec import Struct
from returns.result import Result

LeaseId = NewType("LeaseId", int)
StoreRevision = NewType("StoreRevision", int)


@unique
class StoreErrorKind(Enum):
    """Why a call to the store brought no answer."""

    UNREACHABLE = "unreachable"
    """The call was never sent, so it has had no effect."""
    UNCERTAIN = "uncertain"
    """The call was sent and its reply was lost; a write may have taken effect."""
    REFUSED = "refused"
    """The store answered with an error, so the call has had no effect."""
    OVERLOADED = "overloaded"
    """The store refused the call because of its rate, so the call has had no effect."""
    COMPACTED = "compacted"
    """The history asked for is gone; read the present state and watch from there."""


class StoreError(Struct, frozen=True, kw_only=True):
    """A call to the store that failed.

    :param kind: Whether it may have taken effect.
    :param detail: One sentence that names the remedy.
    """

    kind: StoreErrorKind
    detail: str


class StoreEntry(Struct, frozen=True, kw_only=True):
    """One key with its value and the store revisions that made it."""

    key: str
    value: bytes
    create_revision: StoreRevision
    mod_revision: StoreRevision
    lease: LeaseId = LeaseId(0)


class StoreRange(Struct, frozen=True, kw_only=True):
    """Entries under a prefix, as they stood at one store revision."""

    entries: tuple[StoreEntry, ...]
    revision: StoreRevision


class PutIf(Struct, frozen=True, kw_only=True):
    """A conditional write; in a transaction each one succeeds or fails by itself.

    :param key: Key to write.
    :param value: New value, or ``None`` to delete the key.
    :param expected_mod_revision: The key's present revision; 0 means that it must not exist.
    :param lease: Lease that the key lives under; 0 means none.
    """

    key: str
    value: bytes | None
    expected_mod_revision: StoreRevision
    lease: LeaseId = LeaseId(0)


class PutOutcome(Struct, frozen=True, kw_only=True):
    """What became of one conditional write.

    :param written: Whether the condition held.
    :param revision: The store's revision after the call.
    :param present: When the condition did not hold, the entry that stands there.
    """

    written: bool
    revision: StoreRevision
    present: StoreEntry | None = None


class WatchBatch(Struct, frozen=True, kw_only=True):
    """Changes of one store revision or several; of each key only the last one.

    :param entries: Entries written.
    :param deleted: Keys deleted.
    :param revision: The store revision that the watch has reached.
    :param newest: Revision of the newest of these changes, which all watches agree on; 0 when it is
        not known.
    """

    entries: tuple[StoreEntry, ...]
    deleted: tuple[str, ...]
    revision: StoreRevision
    newest: StoreRevision = StoreRevision(0)


class Store(Protocol):
    """The platform's key-value service: compare-and-swap, leases, watches.

    No method retries; callers know best whether a repeat is safe.
    """

    async def get(self, *, key: str, stale: bool = False) -> Result[StoreEntry | None, StoreError]:
        """Read one key.

        :param key: The key.
        :param stale: Whether an answer that is seconds old will do; it costs the store less.
        """

    async def list(self, *, prefix: str) -> Result[StoreRange, StoreError]:
        """Read all keys under a prefix."""

    async def commit(self, *, puts: Sequence[PutIf]) -> Result[Sequence[PutOutcome], StoreError]:
        """Carry out conditional writes in one call, each on its own condition."""

    async def grant_lease(self, *, ttl_s: int) -> Result[LeaseId, StoreError]:
        """Make a lease that ends after ``ttl_s`` seconds without a keep-alive."""

    async def keep_alive(self, *, lease: LeaseId) -> Result[int, StoreError]:
        """Renew a lease and return its seconds to live; 0 means that it has ended."""

    async def revoke(self, *, lease: LeaseId) -> Result[None, StoreError]:
        """End a lease and delete its keys."""

    def watch(
        self, *, prefix: str, from_revision: StoreRevision
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        """Follow the changes under a prefix; the iterator ends after its first failure."""
