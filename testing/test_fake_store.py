"""Contract of the fake store that other tests rely on."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from tanagerscale.store import ConditionalPut
from tanagerscale.store import Store
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision
from testing._fake_store import FakeStore

pytestmark = pytest.mark.looptime


async def test_commit_applies_other_writes_when_one_condition_fails() -> None:
    store: Store = FakeStore()
    await store.commit(puts=[_create("a", b"1")])
    outcomes = (await store.commit(puts=[_create("a", b"2"), _create("b", b"2")])).unwrap()
    assert [outcome.written for outcome in outcomes] == [False, True]
    assert outcomes[0].current_entry is not None
    assert outcomes[0].current_entry.value == b"1"


async def test_write_takes_effect_when_its_response_is_lost() -> None:
    store = FakeStore(lose_replies=1)
    result = await store.commit(puts=[_create("a", b"1")])
    assert result.failure().kind is StoreErrorKind.UNCERTAIN
    entry = (await store.get(key="a")).unwrap()
    assert entry is not None


async def test_leased_key_is_deleted_when_its_lease_expires() -> None:
    store = FakeStore()
    lease = (await store.grant_lease(ttl_s=1)).unwrap()
    put = ConditionalPut(key="a", value=b"", expected_mod_revision=StoreRevision(0), lease=lease)
    await store.commit(puts=[put])
    watch = store.watch(prefix="a", from_revision=StoreRevision(store.backend.revision + 1))
    batch = await anext(watch)
    assert batch.unwrap().deleted == ("a",)


async def test_watch_fails_when_history_is_compacted_or_store_goes_down() -> None:
    store = FakeStore()
    other = FakeStore(backend=store.backend)
    watch = store.watch(prefix="", from_revision=StoreRevision(2))
    waiting = asyncio.ensure_future(anext(watch))
    await asyncio.sleep(0)
    await other.commit(puts=[_create("a", b"1")])
    assert isinstance(await waiting, Success)
    store.backend.compact()
    later = store.watch(prefix="", from_revision=StoreRevision(2))
    assert (await anext(later)).failure().kind is StoreErrorKind.COMPACTED
    store.set_down(True)
    assert (await anext(watch)).failure().kind is StoreErrorKind.UNREACHABLE


def _create(key: str, value: bytes) -> ConditionalPut:
    return ConditionalPut(key=key, value=value, expected_mod_revision=StoreRevision(0))
