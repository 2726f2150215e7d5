"""Configuration in force, taken from the store or from peers; its version never decreases."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import final

from reactivex.subject import BehaviorSubject
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Revision
from tanagerscale.core import get_logger
from tanagerscale.gateway._compression import compress
from tanagerscale.gateway._compression import decompress
from tanagerscale.generated.messages import HeadContent
from tanagerscale.membership import NOT_PACKED
from tanagerscale.routes import Configuration
from tanagerscale.routes import RouteTable
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch

MAX_KEPT_VERSIONS: Final = 4
"""Versions kept in memory, so that hosts that lag by a few versions receive only a delta. A version
takes about 12 KB, and at most a megabyte."""

_log = get_logger(part="configuration")

Decode = Callable[[bytes], Result[Configuration, str]]


@final
class ConfigurationManager:
    """Activates each newer version of the configuration as a whole.

    :param decode: Decodes the stored value.
    """

    def __init__(self, *, decode: Decode) -> None:
        self._decode = decode
        self._values: OrderedDict[Revision, bytes] = OrderedDict()
        """Encoded values of the last versions, used as dictionaries to compress newer ones."""
        self._tables: BehaviorSubject[RouteTable | None] = BehaviorSubject(None)

    @property
    def tables(self) -> BehaviorSubject[RouteTable | None]:
        """Emits the table in force on subscription and after each change.

        The value is ``None`` until a version is known.
        """
        return self._tables

    @property
    def table(self) -> RouteTable | None:
        """The table in force, or ``None`` until a version is known."""
        return self._tables.value

    @property
    def head_revision(self) -> Revision:
        """The version in force; 0 until one is known."""
        table = self._tables.value
        return Revision(0) if table is None else table.version

    @property
    def _value(self) -> bytes:
        return self._values[self.head_revision]

    def on_snapshot(self, snapshot: StoreRange) -> None:
        """Apply the configuration found in the store."""
        self._apply_all(snapshot.entries)

    def on_changes(self, batch: WatchBatch) -> None:
        """Apply a change; a configuration whose key is deleted stays in force."""
        self._apply_all(batch.entries)

    def on_store_state(self, state: StoreState) -> None:
        """Do nothing; the configuration stays in force without the store."""

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, Any]:
        """Apply the configuration that a peer has in force.

        :param head: The value, or its compressed delta to an older version.
        :param chunks: Unused; the value has no chunks.
        :param packed_after: The older version that the delta is based on; 0 if there is none.
        :returns: The version in force, or the reason why the value was refused.
        """
        if packed_after == NOT_PACKED:
            return self._apply(head, source="peer", store_revision=0)
        known = self._values.get(Revision(packed_after), b"")
        decompressed = decompress(head, known=known)
        if isinstance(decompressed, Failure):
            _log.warning(
                "A configuration is refused.", source="peer", detail=decompressed.failure()
            )
            return decompressed
        return self._apply(decompressed.unwrap(), source="peer", store_revision=0)

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return the configuration in force for a peer that has an older version.

        :param have: The version that the peer has; 0 if it has none.
        :returns: The compressed value; ``None`` if the peer's version is at least as new.
        """
        if self.head_revision <= have:
            return None
        known = self._values.get(have)
        compressed = compress(self._value, known=known or b"")
        return HeadContent(head=compressed, chunks={}, packed_after=have if known else 0)

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Do nothing; any accepted version may be served without the agreement of peers."""

    def _apply_all(self, entries: Sequence[StoreEntry]) -> None:
        for entry in entries:
            self._apply(entry.value, source="store", store_revision=entry.mod_revision)

    def _apply(self, value: bytes, *, source: str, store_revision: int) -> Result[Revision, str]:
        decoded = self._decode(value)
        if isinstance(decoded, Failure):
            _log.warning("A configuration is refused.", source=source, detail=decoded.failure())
            return decoded
        configuration = decoded.unwrap()
        before = self.head_revision
        if configuration.version <= before:
            return Success(before)
        self._values[configuration.version] = value
        while len(self._values) > MAX_KEPT_VERSIONS:
            self._values.popitem(last=False)
        table = RouteTable(configuration=configuration)
        _log.info(
            "A configuration is in force.",
            version=configuration.version,
            before=before,
            source=source,
            store_revision=store_revision,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
            idle_timeout_ms=configuration.limits.idle_timeout_ms,
        )
        self._tables.on_next(table)
        return Success(table.version)
