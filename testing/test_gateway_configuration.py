"""The configuration in force never gets older, wherever it comes from."""

from __future__ import annotations

import asyncio

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Revision
from tanagerscale.gateway._configuration import ConfigurationKeeper
from tanagerscale.routes import Configuration
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from testing._gateway_fakes import LIMITS


def _decode(value: bytes) -> Result[Configuration, str]:
    if not value.isdigit():
        return Failure("It can't be read; the older one stays in force.")
    return Success(
        Configuration(
            version=Revision(int(value)), routes=(), services=(), accounts=(), limits=LIMITS
        )
    )


def _entry(value: bytes) -> StoreEntry:
    revision = StoreRevision(1)
    return StoreEntry(key="k", value=value, create_revision=revision, mod_revision=revision)


def _batch(*values: bytes) -> WatchBatch:
    return WatchBatch(
        entries=tuple(_entry(value) for value in values), deleted=(), revision=StoreRevision(1)
    )


def test_nothing_is_in_force_before_a_version_is_known() -> None:
    keeper = ConfigurationKeeper(decode=_decode)
    assert keeper.table is None
    assert keeper.head_revision == 0
    assert keeper.content_for_peer(have=Revision(0)) is None


def test_newer_versions_are_put_in_force_and_older_ones_are_not() -> None:
    keeper = ConfigurationKeeper(decode=_decode)
    seen = []
    keeper.tables.subscribe(lambda table: seen.append(None if table is None else table.version))
    keeper.on_snapshot(StoreRange(entries=(_entry(b"3"),), revision=StoreRevision(1)))
    keeper.on_changes(_batch(b"7", b"5"))
    keeper.on_snapshot(StoreRange(entries=(_entry(b"6"),), revision=StoreRevision(1)))
    assert seen == [None, 3, 7]


def test_version_stays_in_force_when_the_next_cannot_be_read_or_is_removed() -> None:
    keeper = ConfigurationKeeper(decode=_decode)
    keeper.on_changes(_batch(b"3"))
    keeper.on_changes(_batch(b"garbage"))
    keeper.on_changes(WatchBatch(entries=(), deleted=("k",), revision=StoreRevision(2)))
    assert keeper.head_revision == 3


def test_host_without_the_store_gets_the_version_from_a_peer() -> None:
    ahead, behind = ConfigurationKeeper(decode=_decode), ConfigurationKeeper(decode=_decode)
    ahead.on_changes(_batch(b"9"))
    behind.on_changes(_batch(b"4"))
    content = ahead.content_for_peer(have=behind.head_revision)
    assert content is not None
    asyncio.run(behind.offer_from_peer(head=content.head.encode(), chunks=content.chunks))
    assert behind.head_revision == 9
    assert behind.content_for_peer(have=Revision(9)) is None
