"""Tests of the key-value service stand-in against the etcd semantics that hosts depend on."""

from __future__ import annotations

import base64
from typing import Any

import aiohttp
import msgspec
import pytest
import pytest_asyncio

from standins._leases import Leases
from standins._mvcc import KeyRange
from standins._mvcc import KeySpace
from standins.store import MAX_VALUE_BYTES
from standins.store import Fault
from standins.store import FaultMode
from standins.store import StoreServer
from tanagerscale.core import Clock
from testing.conftest import Client
from testing.conftest import ClientOf


def _b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _put(key: str, value: str = "v", **fields: str) -> dict[str, str]:
    return {"key": _b64(key), "value": _b64(value), **fields}


def _absent(key: str) -> dict[str, str]:
    return {"key": _b64(key), "target": "CREATE", "create_revision": "0"}


def _nested(key: str) -> dict[str, Any]:
    return {"requestTxn": {"compare": [_absent(key)], "success": [{"requestPut": _put(key)}]}}


@pytest_asyncio.fixture
async def store(client_of: ClientOf) -> Client:
    return await client_of(StoreServer().app())


async def _call(store: Client, path: str, body: Any, status: int = 200) -> Any:
    reply = await store.post(path, json=body)
    assert reply.status == status, await reply.text()
    return await reply.json(content_type=None)


async def _keys(store: Client) -> list[str]:
    all_keys = {"key": _b64("\0"), "range_end": _b64("\0"), "keys_only": True}
    found = await _call(store, "/v3/kv/range", all_keys)
    return [base64.b64decode(kv["key"]).decode() for kv in found.get("kvs", [])]


async def test_transaction_creates_one_revision_and_older_ones_stay_readable(store: Client) -> None:
    await _call(store, "/v3/kv/put", _put("a", "old"))
    both = [{"request_put": _put("a", "new")}, {"request_put": _put("b")}]
    reply = await _call(store, "/v3/kv/txn", {"success": both})
    assert reply["header"]["revision"] == "3"
    previous = await _call(store, "/v3/kv/range", {"key": _b64("a"), "revision": "2"})
    assert base64.b64decode(previous["kvs"][0]["value"]) == b"old"
    current = await _call(store, "/v3/kv/range", {"key": _b64("a")})
    assert (current["kvs"][0]["create_revision"], current["kvs"][0]["mod_revision"]) == ("2", "3")


async def test_nested_transactions_succeed_on_their_own_conditions(store: Client) -> None:
    await _call(store, "/v3/kv/put", _put("taken"))
    reply = await _call(store, "/v3/kv/txn", {"success": [_nested("taken"), _nested("free")]})
    succeeded = [item["response_txn"].get("succeeded", False) for item in reply["responses"]]
    assert succeeded == [False, True]


@pytest.mark.parametrize(
    "operations",
    [
        [{"requestPut": _put("a")}, {"requestPut": _put("a")}],
        [{"requestPut": _put("a")}, _nested("a")],
        [_nested("a"), {"requestDeleteRange": {"key": _b64("a")}}],
    ],
)
async def test_transaction_is_refused_when_it_writes_a_key_twice(
    store: Client, operations: list[Any]
) -> None:
    body = {"success": [{"requestPut": _put("other")}, *operations]}
    refused = await _call(store, "/v3/kv/txn", body, status=400)
    assert "duplicate key" in refused["message"]
    assert await _keys(store) == []


async def test_transaction_is_refused_when_it_has_too_many_operations(store: Client) -> None:
    # Nested operations count toward the limit of 128 of the enclosing transaction.
    body = {"success": [_nested(f"k{number}") for number in range(128)]}
    refused = await _call(store, "/v3/kv/txn", body, status=400)
    assert "too many operations" in refused["message"]
    await _call(store, "/v3/kv/txn", {"success": body["success"][:127]})


async def test_value_is_refused_when_it_is_larger_than_a_megabyte(store: Client) -> None:
    await _call(store, "/v3/kv/put", _put("a", "x" * MAX_VALUE_BYTES))
    refused = await _call(store, "/v3/kv/put", _put("b", "x" * (MAX_VALUE_BYTES + 1)), status=400)
    assert "too large" in refused["message"]


async def _results(reply: aiohttp.ClientResponse, count: int) -> list[Any]:
    return [msgspec.json.decode(await reply.content.readline())["result"] for _ in range(count)]


async def test_watch_sends_history_then_changes_without_duplicates(store: Client) -> None:
    await _call(store, "/v3/kv/put", _put("a"))
    await _call(store, "/v3/kv/put", _put("b"))
    create = {"key": _b64("a"), "range_end": _b64("z"), "start_revision": "3"}
    async with store.post("/v3/watch", json={"create_request": create}) as reply:
        created, history = await _results(reply, 2)
        await _call(store, "/v3/kv/deleterange", {"key": _b64("a")})
        (changes,) = await _results(reply, 1)
    assert created["created"]
    assert [event["kv"]["mod_revision"] for event in history["events"]] == ["3"]
    assert [event.get("type") for event in changes["events"]] == ["DELETE"]


async def test_watch_is_cancelled_when_its_history_is_compacted(store: Client) -> None:
    for _ in range(3):
        await _call(store, "/v3/kv/put", _put("a"))
    await _call(store, "/v3/kv/compaction", {"revision": "4"})
    create = {"key": _b64("a"), "start_revision": "2"}
    async with store.post("/v3/watch", json={"create_request": create}) as reply:
        _, canceled = await _results(reply, 2)
    assert (canceled["canceled"], canceled["compact_revision"]) == (True, "4")


@pytest.mark.looptime
async def test_lease_expires_with_its_keys_unless_kept_alive() -> None:
    space, clock = KeySpace(), Clock()
    leases = Leases(space=space, clock=clock)
    lease = leases.grant(ttl_s=2).id
    space.put(key=b"a", value=b"", lease=lease)
    leases.attach(key=b"a", lease=lease)
    space.commit()
    await clock.sleep(1_500)
    assert leases.keep_alive(lease) is not None
    await clock.sleep(1_500)
    leases.expire()
    assert len(space.range(KeyRange(key=b"a"))) == 1
    await clock.sleep(1_000)
    leases.expire()
    assert space.range(KeyRange(key=b"a")) == []
    assert leases.keep_alive(lease) is None


@pytest.mark.parametrize(
    ("mode", "written"),
    [(FaultMode.DOWN, []), (FaultMode.LOSE_REPLY, ["a"])],
)
async def test_write_takes_effect_when_only_its_reply_is_lost(
    store: Client, mode: FaultMode, written: list[str]
) -> None:
    await store.post("/admin/fault", data=msgspec.json.encode(Fault(mode=mode, count=1)))
    with pytest.raises(aiohttp.ClientError):
        await store.post("/v3/kv/put", json=_put("a"))
    assert await _keys(store) == written
