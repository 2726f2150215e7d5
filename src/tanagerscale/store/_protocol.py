"""Interface to the platform's key-value store."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Sequence
from enum import Enum
from enum import unique
from typing import Final
from typing import NewType
from typing import Protocol

from msgspec import Struct
from returns.result import Result

from tanagerscale.store._revision import StoreRevision

LeaseId = NewType("LeaseId", int)

WATCH_MARGIN_MS: Final = 500
"""How long after the end of its wait a watch may answer before it counts as lost. It exceeds the
time of an answer of a slow store, which is 376 ms where it is 94 times slower than usual."""


@unique
class StoreErrorKind(Enum):
    """Reason why a call to the store failed."""

    UNREACHABLE = "unreachable"
    """The call was never sent, so it had no effect."""
    UNCERTAIN = "uncertain"
    """The call was sent but its response was lost, so a write may have taken effect."""
    REFUSED = "refused"
    """The store rejected the call, so it had no effect."""
    OVERLOADED = "overloaded"
    """The store rejected the call because of rate limiting, so it had no effect."""
    COMPACTED = "compacted"
    """The requested revision was compacted, or the store has come back from a copy that may not
    have it; read the current state and watch from its revision."""


class StoreError(Struct, frozen=True, kw_only=True):
    """Failure of a call to the store.

    :param kind: Reason for the failure, which shows whether the call may have taken effect.
    :param detail: One sentence that states the failure and what to do about it.
    """

    kind: StoreErrorKind
    detail: str


def unreachable_error(cause: str) -> StoreError:
    """Return the failure of a call that was not sent."""
    detail = f"{cause}; the call was not sent, try again after a pause."
    return StoreError(kind=StoreErrorKind.UNREACHABLE, detail=detail)


def uncertain_error(cause: str) -> StoreError:
    """Return the failure of a call that may have taken effect."""
    detail = f"{cause}; a write may have taken effect, read before repeating it."
    return StoreError(kind=StoreErrorKind.UNCERTAIN, detail=detail)


class StoreEntry(Struct, frozen=True, kw_only=True):
    """Key with its value and the store revisions of its creation and last modification."""

    key: str
    value: bytes
    create_revision: StoreRevision
    mod_revision: StoreRevision
    lease: LeaseId = LeaseId(0)


class StoreRange(Struct, frozen=True, kw_only=True):
    """Snapshot of the entries under a prefix at one store revision."""

    entries: tuple[StoreEntry, ...]
    revision: StoreRevision


class ConditionalPut(Struct, frozen=True, kw_only=True):
    """Conditional write; in a transaction, each one succeeds or fails independently.

    :param key: Key to write.
    :param value: New value, or ``None`` to delete the key.
    :param expected_mod_revision: Required modification revision of the key; 0 requires that the key
        does not exist. A revision of an earlier era is never that of a key.
    :param lease: Lease to attach the key to; 0 means none.
    """

    key: str
    value: bytes | None
    expected_mod_revision: StoreRevision
    lease: LeaseId = LeaseId(0)


class PutOutcome(Struct, frozen=True, kw_only=True):
    """Result of one conditional write.

    :param written: Whether the condition held and the write was applied.
    :param revision: Store revision after the call.
    :param current_entry: Entry of the key if the condition did not hold; ``None`` if the key does
        not exist.
    """

    written: bool
    revision: StoreRevision
    current_entry: StoreEntry | None = None


class WatchBatch(Struct, frozen=True, kw_only=True):
    """Changes of one or more store revisions, with only the last change of each key.

    :param entries: Entries written.
    :param deleted: Keys deleted.
    :param revision: Store revision that the watch has reached.
    :param newest_revision: Revision of the newest change in the batch, which is the same for all
        watches; 0 if unknown.
    """

    entries: tuple[StoreEntry, ...]
    deleted: tuple[str, ...]
    revision: StoreRevision
    newest_revision: StoreRevision = StoreRevision(0)


class KeyValueStore(Protocol):
    """Key-value store of the platform with compare-and-swap and leases.

    No method retries a failed call, because only the caller knows whether a retry is safe.
    """

    async def get(
        self, *, key: str, allow_stale: bool = False
    ) -> Result[StoreEntry | None, StoreError]:
        """Read one key.

        :param key: Key to read.
        :param allow_stale: Whether a value that is seconds old is acceptable. Such a read is
            cheaper for the store.
        :returns: ``None`` if the key does not exist.
        """

    async def list(self, *, prefix: str) -> Result[StoreRange, StoreError]:
        """Read all keys under a prefix."""

    async def commit(
        self, *, puts: Sequence[ConditionalPut]
    ) -> Result[Sequence[PutOutcome], StoreError]:
        """Apply conditional writes in one call; each depends only on its own condition."""

    async def grant_lease(self, *, ttl_s: int) -> Result[LeaseId, StoreError]:
        """Grant a lease that expires after ``ttl_s`` seconds without a keep-alive."""

    async def keep_alive(self, *, lease: LeaseId) -> Result[int, StoreError]:
        """Renew a lease and return its remaining TTL in seconds; 0 if it has expired."""

    async def revoke(self, *, lease: LeaseId) -> Result[None, StoreError]:
        """Revoke a lease and delete its keys."""


class Store(KeyValueStore, Protocol):
    """Key-value store with watches that last until they fail."""

    def watch(
        self, *, prefix: str, from_revision: StoreRevision
    ) -> AsyncIterator[Result[WatchBatch, StoreError]]:
        """Watch the changes under a prefix; the iterator ends after the first failure."""


class PolledStore(KeyValueStore, Protocol):
    """Key-value store with watches that end with their first answer."""

    async def changes(
        self, *, prefix: str, after: StoreRevision, wait_ms: int
    ) -> Result[WatchBatch, StoreError]:
        """Return the changes under a prefix as soon as there are any.

        :param prefix: Prefix of the keys.
        :param after: Revision whose later changes are returned.
        :param wait_ms: Time in milliseconds after which an answer without changes is due. A call
            that is not answered within ``WATCH_MARGIN_MS`` after it fails as ``UNCERTAIN``.
        """
