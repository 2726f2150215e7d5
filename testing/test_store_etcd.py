"""Requests of the store client to a scripted gateway and its handling of the responses."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import json
import socket

from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st
import pytest
from returns.result import Failure
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.store import ConditionalPut
from tanagerscale.store import EtcdStore
from tanagerscale.store import LeaseId
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision
from testing._random_cases import random_case_settings

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
LONG_TIMEOUT_MS = 60_000
"""Longer than any pause of the machine."""
KEY_A = "YQ=="
ONE_PUT = (ConditionalPut(key="a", value=b"1", expected_mod_revision=StoreRevision(0)),)


class ScriptedGateway:
    """Gateway that handles each call with one function and records paths and bodies."""

    def __init__(self) -> None:
        self.handler: Handler | None = None
        self.bodies: list[object] = []
        self.paths: list[str] = []
        self.url = ""

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Record a call and respond to it."""
        self.paths.append(request.path)
        self.bodies.append(await request.json())
        assert self.handler is not None
        return await self.handler(request)

    def answer(self, body: str | bytes, *, status: int = 200) -> None:
        """Send the same response to all calls."""

        async def handler(_request: web.Request) -> web.StreamResponse:
            content = body.encode() if isinstance(body, str) else body
            return web.Response(body=content, status=status)

        self.handler = handler


@pytest.fixture
async def gateway() -> AsyncIterator[ScriptedGateway]:
    scripted_gateway = ScriptedGateway()
    application = web.Application()
    application.router.add_post("/{path:.*}", scripted_gateway.handle)
    runner = web.AppRunner(application, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    scripted_gateway.url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    yield scripted_gateway
    await runner.cleanup()


@pytest.fixture
async def store(gateway: ScriptedGateway) -> AsyncIterator[EtcdStore]:
    etcd_store = EtcdStore(
        endpoints=[gateway.url], timeout_ms=5000, clock=Clock(), watch_idle_timeout_ms=200
    )
    yield etcd_store
    await etcd_store.close()


def make_closed_port_url() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"http://127.0.0.1:{probe.getsockname()[1]}"


async def test_commit_sends_one_call_with_a_condition_for_each_put(
    gateway: ScriptedGateway, store: EtcdStore
) -> None:
    txn_response = {
        "header": {"revision": "9"},
        "succeeded": True,
        "responses": [
            {"response_txn": {"header": {}, "succeeded": True, "responses": [{}]}},
            {
                "response_txn": {
                    "responses": [
                        {
                            "response_range": {
                                "kvs": [
                                    {
                                        "key": "Yg==",
                                        "value": "Mg==",
                                        "mod_revision": "9007199254740993",
                                        "create_revision": "3",
                                        "lease": "7587848390243239426",
                                    }
                                ]
                            }
                        }
                    ]
                }
            },
        ],
    }
    gateway.answer(json.dumps(txn_response))
    removal = ConditionalPut(key="b", value=None, expected_mod_revision=StoreRevision(5))
    outcomes = (await store.commit(puts=[*ONE_PUT, removal])).unwrap()
    assert gateway.paths == ["/v3/kv/txn"]
    (body,) = gateway.bodies
    assert isinstance(body, dict)
    assert "compare" not in body
    first, second = (operation["request_txn"] for operation in body["success"])
    assert first["compare"] == [
        {"key": KEY_A, "mod_revision": "0", "result": "EQUAL", "target": "MOD"}
    ]
    assert first["success"] == [{"request_put": {"key": KEY_A, "value": "MQ==", "lease": "0"}}]
    assert first["failure"] == [{"request_range": {"key": KEY_A}}]
    assert second["compare"][0]["mod_revision"] == "5"
    assert second["success"] == [{"request_delete_range": {"key": "Yg=="}}]
    assert [outcome.written for outcome in outcomes] == [True, False]
    present = outcomes[1].current_entry
    assert present is not None
    assert present.mod_revision == 9007199254740993
    assert present.lease == 7587848390243239426
    assert outcomes[0].revision == 9


async def test_commit_is_rejected_without_a_call_when_two_puts_have_the_same_key(
    gateway: ScriptedGateway, store: EtcdStore
) -> None:
    result = await store.commit(puts=[*ONE_PUT, *ONE_PUT])
    assert result.failure().kind is StoreErrorKind.REFUSED
    assert gateway.paths == []


async def test_write_fails_as_unreachable_when_no_connection_is_made() -> None:
    store = EtcdStore(endpoints=[make_closed_port_url()], timeout_ms=5000, clock=Clock())
    result = await store.commit(puts=ONE_PUT)
    await store.close()
    assert result.failure().kind is StoreErrorKind.UNREACHABLE


async def test_write_tries_the_next_endpoint_when_it_was_never_sent(
    gateway: ScriptedGateway,
) -> None:
    gateway.answer('{"ID": "77", "TTL": "5"}')
    endpoints = [make_closed_port_url(), gateway.url]
    store = EtcdStore(endpoints=endpoints, timeout_ms=5000, clock=Clock())
    assert await store.grant_lease(ttl_s=5) == Success(LeaseId(77))
    await store.close()


@pytest.mark.parametrize("code", [4, 10, 13, 14])
async def test_write_is_uncertain_and_not_retried_when_the_store_fails_during_the_call(
    gateway: ScriptedGateway, code: int
) -> None:
    gateway.answer(json.dumps({"code": code, "message": "etcdserver: timeout"}), status=503)
    endpoints = [gateway.url, gateway.url + "/second"]
    store = EtcdStore(endpoints=endpoints, timeout_ms=5000, clock=Clock())
    result = await store.commit(puts=ONE_PUT)
    await store.close()
    assert result.failure().kind is StoreErrorKind.UNCERTAIN
    assert len(gateway.paths) == 1


async def test_write_is_uncertain_when_the_response_times_out(gateway: ScriptedGateway) -> None:
    released = asyncio.Event()

    async def stall(_request: web.Request) -> web.StreamResponse:
        await released.wait()
        return web.Response()

    gateway.handler = stall
    store = EtcdStore(endpoints=[gateway.url], timeout_ms=100, clock=Clock())
    result = await store.commit(puts=ONE_PUT)
    released.set()
    await store.close()
    assert result.failure().kind is StoreErrorKind.UNCERTAIN


# A connection that is not made in time lets the first write go to the other endpoint, so that it is
# made before.
async def test_next_write_uses_another_endpoint_when_one_stalls(
    gateway: ScriptedGateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    released = asyncio.Event()
    is_stalling = False

    async def handler(request: web.Request) -> web.StreamResponse:
        if is_stalling and request.path.startswith("/stalled"):
            await released.wait()
        return web.json_response({"ID": "77", "TTL": "5"})

    gateway.handler = handler
    endpoints = [gateway.url + "/stalled", gateway.url]
    store = EtcdStore(endpoints=endpoints, timeout_ms=LONG_TIMEOUT_MS, clock=Clock())
    assert await store.grant_lease(ttl_s=5) == Success(LeaseId(77))
    is_stalling = True
    with monkeypatch.context() as patched:
        patched.setattr(store._gateway, "_timeout_ms", 100)
        first = await store.grant_lease(ttl_s=5)
    second = await store.grant_lease(ttl_s=5)
    released.set()
    await store.close()
    assert first.failure().kind is StoreErrorKind.UNCERTAIN
    assert second == Success(LeaseId(77))


async def test_write_is_refused_when_the_store_rejects_it(
    gateway: ScriptedGateway, store: EtcdStore
) -> None:
    gateway.answer('{"code": 5, "message": "etcdserver: requested lease not found"}', status=404)
    assert (await store.commit(puts=ONE_PUT)).failure().kind is StoreErrorKind.REFUSED


async def test_read_tries_the_next_endpoint_when_the_first_fails(
    gateway: ScriptedGateway,
) -> None:
    async def handler(request: web.Request) -> web.StreamResponse:
        if request.path.startswith("/second"):
            return web.json_response({"header": {"revision": "4"}})
        return web.json_response({"code": 14}, status=503)

    gateway.handler = handler
    endpoints = [gateway.url, gateway.url + "/second"]
    store = EtcdStore(endpoints=endpoints, timeout_ms=5000, clock=Clock())
    assert await store.get(key="a") == Success(None)
    await store.close()


async def test_keep_alive_returns_zero_when_the_lease_has_expired(
    gateway: ScriptedGateway, store: EtcdStore
) -> None:
    gateway.answer('{"result": {"ID": "7"}}\n')
    assert await store.keep_alive(lease=LeaseId(7)) == Success(0)


async def test_watch_returns_the_last_change_of_each_key_and_fails_when_idle(
    gateway: ScriptedGateway, store: EtcdStore
) -> None:
    put = {"kv": {"key": KEY_A, "value": "MQ==", "mod_revision": "5"}}
    removal = {"type": "DELETE", "kv": {"key": KEY_A, "mod_revision": "6"}}
    messages = [
        {"result": {"header": {"revision": "4"}, "created": True}},
        {"result": {"header": {"revision": "99"}, "events": [put, removal]}},
        {"result": {"header": {"revision": "12"}}},
    ]

    async def handler(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        for message in messages:
            content = json.dumps(message).encode() + b"\n"
            await response.write(content[:7])
            await response.write(content[7:])
        await asyncio.sleep(30)
        return response

    gateway.handler = handler
    results = [found async for found in store.watch(prefix="a", from_revision=StoreRevision(5))]
    first, progress, end = results
    assert first.unwrap().deleted == ("a",)
    assert first.unwrap().entries == ()
    assert first.unwrap().revision == 6
    assert progress.unwrap().revision == 12
    assert end.failure().kind is StoreErrorKind.UNCERTAIN


async def test_watch_fails_as_compacted_when_its_start_revision_is_compacted(
    gateway: ScriptedGateway, store: EtcdStore
) -> None:
    gateway.answer('{"result": {"canceled": true, "compact_revision": "50"}}\n')
    results = [found async for found in store.watch(prefix="a", from_revision=StoreRevision(5))]
    assert [found.failure().kind for found in results] == [StoreErrorKind.COMPACTED]


def test_calls_raise_no_exception_when_responses_are_malformed() -> None:
    json_values = st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=6),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["header", "kvs", "succeeded", "responses", "result", "key", "error"]),
            inner,
            max_size=3,
        ),
        max_leaves=8,
    )
    replies = st.binary(max_size=40) | json_values.map(lambda value: json.dumps(value).encode())

    async def call_all(content: list[bytes]) -> None:
        scripted_gateway = ScriptedGateway()
        application = web.Application()
        application.router.add_post("/{path:.*}", scripted_gateway.handle)
        runner = web.AppRunner(application)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        url = f"http://127.0.0.1:{runner.addresses[0][1]}"
        store = EtcdStore(endpoints=[url], timeout_ms=5000, clock=Clock())
        for reply in content:
            scripted_gateway.answer(reply)
            results = [
                await store.get(key="a"),
                await store.list(prefix="a"),
                await store.commit(puts=ONE_PUT),
                await store.grant_lease(ttl_s=5),
                await store.keep_alive(lease=LeaseId(1)),
                await store.revoke(lease=LeaseId(1)),
            ]
            assert all(isinstance(result, Success | Failure) for result in results)
            assert isinstance(results[2], Failure)
            watch = store.watch(prefix="a", from_revision=StoreRevision(1))
            assert [found async for found in watch][-1].failure()
        await store.close()
        await runner.cleanup()

    @random_case_settings(examples=10)
    @given(st.lists(replies, min_size=1, max_size=8))
    def run(content: list[bytes]) -> None:
        asyncio.run(call_all(content))

    run()
