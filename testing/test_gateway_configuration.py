"""Tests that the active configuration never goes back to an older version, whatever its source."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Revision
from tanagerscale.gateway._configuration import ConfigurationManager
from tanagerscale.generated.messages import HeadContent
from tanagerscale.routes import Configuration
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from testing._gateway_fakes import LIMITS


def _decode(value: bytes) -> Result[Configuration, str]:
    if not value.isdigit():
        return Failure("The value is unreadable.")
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


def test_no_configuration_is_active_before_a_version_is_known() -> None:
    manager = ConfigurationManager(decode=_decode)
    assert manager.table is None
    assert manager.head_revision == 0
    assert manager.content_for_peer(have=Revision(0)) is None


def test_newer_versions_are_activated_and_older_ones_are_ignored() -> None:
    manager = ConfigurationManager(decode=_decode)
    seen = []
    manager.tables.subscribe(lambda table: seen.append(None if table is None else table.version))
    manager.on_snapshot(StoreRange(entries=(_entry(b"3"),), revision=StoreRevision(1)))
    manager.on_changes(_batch(b"7", b"5"))
    manager.on_snapshot(StoreRange(entries=(_entry(b"6"),), revision=StoreRevision(1)))
    assert seen == [None, 3, 7]


def test_version_stays_active_when_the_next_is_invalid_or_deleted() -> None:
    manager = ConfigurationManager(decode=_decode)
    manager.on_changes(_batch(b"3"))
    manager.on_changes(_batch(b"garbage"))
    manager.on_changes(WatchBatch(entries=(), deleted=("k",), revision=StoreRevision(2)))
    assert manager.head_revision == 3


def _offer(manager: ConfigurationManager, content: HeadContent) -> bool:
    """Offer a host what another host sent, and return whether it was accepted."""
    offered = manager.offer_from_peer(
        head=content.head.encode(), chunks=content.chunks, packed_after=content.packed_after
    )
    return isinstance(asyncio.run(offered), Success)


def _decode_padded(value: bytes) -> Result[Configuration, str]:
    """Decode a long value that has its version in the first line."""
    return _decode(value.partition(b"\n")[0])


def _padded(version: int, change: str = "") -> bytes:
    body = "\n".join(f"account-{number} key-{number * 7919 % 10007}" for number in range(400))
    return f"{version}\n{body}\n{change}".encode()


def test_host_one_version_behind_receives_only_a_delta() -> None:
    ahead = ConfigurationManager(decode=_decode_padded)
    behind = ConfigurationManager(decode=_decode_padded)
    for manager in (ahead, behind):
        manager.on_changes(_batch(_padded(4)))
    ahead.on_changes(_batch(_padded(9, "account-new key-new")))
    whole = ahead.content_for_peer(have=Revision(0))
    content = ahead.content_for_peer(have=Revision(4))
    assert whole is not None
    assert content is not None
    assert len(content.head) < 200 < len(whole.head) < len(_padded(9))
    assert _offer(behind, content)
    assert behind.head_revision == 9
    # It sends the same value to other hosts.
    assert behind.content_for_peer(have=Revision(0)) == whole


def test_host_refuses_a_delta_to_an_unknown_version_and_accepts_the_whole_value() -> None:
    ahead = ConfigurationManager(decode=_decode_padded)
    other = ConfigurationManager(decode=_decode_padded)
    ahead.on_changes(_batch(_padded(4)))
    ahead.on_changes(_batch(_padded(9)))
    content = ahead.content_for_peer(have=Revision(4))
    whole = ahead.content_for_peer(have=Revision(0))
    assert content is not None
    assert whole is not None
    assert not _offer(other, content)
    assert other.head_revision == 0
    assert _offer(other, whole)
    assert other.head_revision == 9


@pytest.mark.parametrize("head", ["", "no base64!", "aGVsbG8=", "eJw="])
def test_host_refuses_a_value_it_cannot_decompress(head: str) -> None:
    manager = ConfigurationManager(decode=_decode)
    assert not _offer(manager, HeadContent(head=head, chunks={}, packed_after=0))
    assert manager.head_revision == 0


def test_host_without_the_store_gets_the_version_from_a_peer() -> None:
    ahead, behind = ConfigurationManager(decode=_decode), ConfigurationManager(decode=_decode)
    ahead.on_changes(_batch(b"9"))
    behind.on_changes(_batch(b"4"))
    content = ahead.content_for_peer(have=behind.head_revision)
    assert content is not None
    _offer(behind, content)
    assert behind.head_revision == 9
    assert behind.content_for_peer(have=Revision(9)) is None
