"""The configuration in force, from the store or from peers, never an older one again."""

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
from tanagerscale.gateway._packing import pack
from tanagerscale.gateway._packing import unpack
from tanagerscale.generated.messages import HeadContent
from tanagerscale.membership import NOT_PACKED
from tanagerscale.routes import Configuration
from tanagerscale.routes import RouteTable
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import WatchBatch

KEPT_VERSIONS: Final = 4
"""Versions that are kept, so that hosts which are a few behind get only what differs. A version
takes some 12 KB, and up to a megabyte."""

_log = get_logger(part="configuration")

Decode = Callable[[bytes], Result[Configuration, str]]


@final
class ConfigurationKeeper:
    """Puts each newer version in force as a whole.

    :param decode: Reads the stored value.
    """

    def __init__(self, *, decode: Decode) -> None:
        self._decode = decode
        self._values: OrderedDict[Revision, bytes] = OrderedDict()
        """The last versions, by which newer ones are told."""
        self._tables: BehaviorSubject[RouteTable | None] = BehaviorSubject(None)

    @property
    def tables(self) -> BehaviorSubject[RouteTable | None]:
        """What is in force, at once and after each change; ``None`` before anything is known."""
        return self._tables

    @property
    def table(self) -> RouteTable | None:
        """What is in force now."""
        return self._tables.value

    @property
    def head_revision(self) -> Revision:
        """The version in force; 0 before anything is known."""
        table = self._tables.value
        return Revision(0) if table is None else table.version

    @property
    def _value(self) -> bytes:
        return self._values[self.head_revision]

    def on_snapshot(self, found: StoreRange) -> None:
        """Take in what the store holds."""
        self._take_all(found.entries)

    def on_changes(self, batch: WatchBatch) -> None:
        """Take in a change; a configuration that was removed stays in force."""
        self._take_all(batch.entries)

    def on_reachability_changed(self, *, reachable: bool) -> None:
        """Do nothing: what is known stays in force."""

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, Any]:
        """Take in what a peer has in force.

        :param head: The value, or how it differs from an older one.
        :param chunks: Nothing.
        :param packed_after: Version of that older one; 0 for none.
        """
        if packed_after == NOT_PACKED:
            return self._take(head, source="peer", store_revision=0)
        known = self._values.get(Revision(packed_after), b"")
        unpacked = unpack(head, known=known)
        if isinstance(unpacked, Failure):
            _log.warning("A configuration is refused.", source="peer", detail=unpacked.failure())
            return unpacked
        return self._take(unpacked.unwrap(), source="peer", store_revision=0)

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return the value for a peer that is behind.

        :param have: The version that it has; 0 for none.
        """
        if self.head_revision <= have:
            return None
        known = self._values.get(have)
        packed = pack(self._value, known=known or b"")
        return HeadContent(head=packed, chunks={}, packed_after=have if known else 0)

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Do nothing: any version that was accepted may be served."""

    def _take_all(self, entries: Sequence[StoreEntry]) -> None:
        for entry in entries:
            self._take(entry.value, source="store", store_revision=entry.mod_revision)

    def _take(self, value: bytes, *, source: str, store_revision: int) -> Result[Revision, str]:
        decoded = self._decode(value)
        if isinstance(decoded, Failure):
            _log.warning("A configuration is refused.", source=source, detail=decoded.failure())
            return decoded
        configuration = decoded.unwrap()
        before = self.head_revision
        if configuration.version <= before:
            return Success(before)
        self._values[configuration.version] = value
        while len(self._values) > KEPT_VERSIONS:
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
