"""Tests of the store client against the key-value service stand-in over HTTP."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
import pytest

from standins.store import StoreServer
from tanagerscale.core import Clock
from tanagerscale.store import ConditionalPut
from tanagerscale.store import EtcdStore
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

ABSENT = StoreRevision(0)


@pytest.fixture
async def url() -> AsyncIterator[str]:
    runner = web.AppRunner(StoreServer().app(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    await runner.cleanup()


@pytest.fixture
async def store(url: str) -> AsyncIterator[EtcdStore]:
    opened = EtcdStore(endpoints=[url], timeout_ms=5000, clock=Clock())
    yield opened
    await opened.close()


async def set_fault(url: str, **fault: object) -> None:
    async with aiohttp.ClientSession() as session:
        await session.post(url + "/admin/fault", json=fault)


async def test_puts_committed_together_are_each_checked_on_their_own_condition(
    store: EtcdStore,
) -> None:
    (first,) = (await store.commit(puts=[put("a", b"1")])).unwrap()
    outcomes = (await store.commit(puts=[put("a", b"2"), put("b", b"\xff\x00")])).unwrap()
    assert [outcome.written for outcome in outcomes] == [False, True]
    present = outcomes[0].current_entry
    assert present is not None
    assert (present.value, present.mod_revision) == (b"1", first.revision)
    removal = ConditionalPut(key="a", value=None, expected_mod_revision=present.mod_revision)
    assert (await store.commit(puts=[removal])).unwrap()[0].written
    listed = (await store.list(prefix="")).unwrap()
    assert [(entry.key, entry.value) for entry in listed.entries] == [("b", b"\xff\x00")]


async def test_write_is_uncertain_but_takes_effect_when_its_reply_is_lost(
    store: EtcdStore, url: str
) -> None:
    await set_fault(url, mode="lose_reply", count=1, path="/v3/kv/txn")
    result = await store.commit(puts=[put("a", b"1")])
    assert result.failure().kind is StoreErrorKind.UNCERTAIN
    assert (await store.get(key="a")).unwrap() is not None


async def test_leased_key_is_deleted_and_watchers_notified_when_the_lease_is_revoked(
    store: EtcdStore,
) -> None:
    lease = (await store.grant_lease(ttl_s=60)).unwrap()
    leased = ConditionalPut(key="k/a", value=b"1", expected_mod_revision=ABSENT, lease=lease)
    (written,) = (await store.commit(puts=[leased])).unwrap()
    watch = store.watch(prefix="k/", from_revision=written.revision)
    (entry,) = (await anext(watch)).unwrap().entries
    assert entry.lease == lease
    assert (await store.keep_alive(lease=lease)).unwrap() > 0
    assert (await store.revoke(lease=lease)).unwrap() is None
    assert (await anext(watch)).unwrap().deleted == ("k/a",)
    assert (await store.keep_alive(lease=lease)).unwrap() == 0
    assert (await store.commit(puts=[leased])).failure().kind is StoreErrorKind.REFUSED


def put(key: str, value: bytes) -> ConditionalPut:
    """Return a write of a key that must not exist yet."""
    return ConditionalPut(key=key, value=value, expected_mod_revision=ABSENT)
