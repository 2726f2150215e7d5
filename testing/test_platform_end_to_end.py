"""End-to-end tests with real hosts, a store and upstreams on loopback, including failures."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator

import msgspec
import pytest
import pytest_asyncio

from standins.platform_engine import UpstreamBehavior
from standins.platform_store import StoreBehavior
from standins.platform_world import API_KEY
from standins.platform_world import HOST_NAME
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import Answer
from standins.platform_world import PlatformCluster
from standins.platform_world import configuration

TOKENS = (500, 2000)


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformCluster]:
    """Start a platform with one host, two engines and two plain upstreams."""
    created = PlatformCluster()
    await created.start()
    for name in ("e1", "e2"):
        await created.add_upstream(name, MODEL_SERVICE)
    for name in ("p1", "p2"):
        await created.add_upstream(name, PLAIN_SERVICE)
    await created.add_host("h1")
    await _wait_until_settled(created, "h1")
    yield created
    await created.stop()


async def _wait_until_settled(platform: PlatformCluster, *hosts: str) -> None:
    """Wait until hosts have the current configuration and the upstreams."""
    for host in hosts:
        known = platform.hosts[host]
        await platform.wait_until(
            lambda known=known: known.ready
            and known.version == _stored_version(platform)
            and known.known_upstreams >= 4
        )


def _stored_version(platform: PlatformCluster) -> int:
    value = platform.store.value("op/config")
    assert value is not None
    version: int = msgspec.json.decode(value)["version"]
    return version


def _event_numbers(answer: Answer) -> list[int]:
    lines = answer.body.decode().splitlines()
    return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


def _generation_ids(answer: Answer) -> set[str]:
    lines = answer.body.decode().splitlines()
    return {line.rpartition(".")[0] for line in lines if line.startswith("data: ")}


def _assert_no_request_ran_twice(platform: PlatformCluster) -> None:
    runs = Counter(
        received.request for received in platform.ledger.received_requests if received.executed
    )
    repeated = {request for request, times in runs.items() if times > 1}
    moved = {
        received.request
        for received in platform.ledger.received_requests
        if "Kv-From" in received.headers
    }
    assert repeated <= moved
    assert all(times == 1 for times in platform.ledger.generations.values())


@pytest.mark.asyncio
async def test_call_is_answered_by_an_upstream_of_its_service(platform: PlatformCluster) -> None:
    answer = await platform.call("h1", "/book/x?y=1")
    assert answer.status == 200
    assert answer.headers["Tanagerscale-Server-Stamp"] in ("p1", "p2")
    (received,) = platform.ledger.received_requests
    assert (received.method, received.target, received.body) == ("POST", "/book/x?y=1", b"content")
    assert received.headers["Tanagerscale-Tenant"] == "one"
    assert "Authorization" not in received.headers
    assert received.headers["Host"] == HOST_NAME


@pytest.mark.asyncio
async def test_upstream_knows_the_host_that_sends_a_request(platform: PlatformCluster) -> None:
    await platform.add_host("h2", seeds=(platform.peers_address("h1"),))
    await _wait_until_settled(platform, "h2")
    for host in ("h1", "h2"):
        await platform.call(host, "/book/x")
    assert [one.sender for one in platform.ledger.received_requests] == ["h1", "h2"]


@pytest.mark.asyncio
async def test_stream_is_forwarded_completely(platform: PlatformCluster) -> None:
    answer = await platform.call("h1", "/draft/x", tokens=TOKENS)
    assert (answer.status, answer.is_complete) == (200, True)
    assert _event_numbers(answer) == list(range(1, 21))


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/book/x", None, 401), ("/book/x", "wrong", 401), ("/none/x", API_KEY, 404)],
)
async def test_call_is_refused_when_its_key_or_route_is_unknown(
    platform: PlatformCluster, path: str, key: str | None, status: int
) -> None:
    answer = await platform.call("h1", path, key=key)
    assert answer.status == status
    assert b"detail" in answer.body
    assert platform.ledger.received_requests == []


@pytest.mark.asyncio
async def test_call_is_refused_when_its_body_is_too_large(platform: PlatformCluster) -> None:
    answer = await platform.call("h1", "/book/x", body=b"x" * 200_000)
    assert answer.status in (0, 413)
    assert platform.ledger.received_requests == []


@pytest.mark.asyncio
async def test_caller_cannot_set_reserved_header_fields(platform: PlatformCluster) -> None:
    await platform.call(
        "h1",
        "/book/x",
        headers={"Tanagerscale-Tenant": "other", "Kv-From": "x/y", "Tanagerscale-Hold": "1"},
    )
    (received,) = platform.ledger.received_requests
    assert received.headers["Tanagerscale-Tenant"] == "one"
    assert "Kv-From" not in received.headers
    assert "Tanagerscale-Hold" not in received.headers


@pytest.mark.asyncio
async def test_non_idempotent_request_runs_once_when_its_response_is_lost(
    platform: PlatformCluster,
) -> None:
    for name in ("p1", "p2"):
        platform.upstreams[name].behavior = UpstreamBehavior.RESET_AFTER_EXECUTION
    answer = await platform.call("h1", "/book/x")
    assert answer.status == 502
    assert len(platform.ledger.received_requests) == 1


@pytest.mark.asyncio
async def test_idempotent_request_is_retried_elsewhere_when_its_response_is_lost(
    platform: PlatformCluster,
) -> None:
    for name in ("p1", "p2"):
        platform.upstreams[name].behavior = UpstreamBehavior.RESET_AFTER_EXECUTION
    answer = await platform.call("h1", "/read/x", method="GET")
    assert answer.status == 502
    assert (
        len(
            {
                received.headers["Tanagerscale-Expect-Instance"]
                for received in platform.ledger.received_requests
            }
        )
        == 2
    )


@pytest.mark.asyncio
async def test_refused_request_has_not_run_when_all_upstreams_are_full(
    platform: PlatformCluster,
) -> None:
    for name in ("p1", "p2"):
        platform.upstreams[name].behavior = UpstreamBehavior.FULL
    answer = await platform.call("h1", "/book/x")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert not any(received.executed for received in platform.ledger.received_requests)


@pytest.mark.asyncio
async def test_stream_continues_as_the_same_run_when_its_engine_leaves(
    platform: PlatformCluster,
) -> None:
    calls = [asyncio.create_task(platform.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(4)]
    await platform.wait_until(lambda: len(platform.upstreams["e1"].running) >= 2)
    await asyncio.sleep(0.03)
    leaving = platform.upstreams["e1"]
    leaving.leaving = True
    platform.register(leaving, MODEL_SERVICE, state="draining")
    answers = await asyncio.gather(*calls)
    for answer in answers:
        assert answer.is_complete
        assert _event_numbers(answer) == list(range(1, 21))
        assert len(_generation_ids(answer)) == 1
    assert any("Kv-From" in received.headers for received in platform.ledger.received_requests)
    assert platform.ledger.overlaps == []
    _assert_no_request_ran_twice(platform)


@pytest.mark.asyncio
async def test_incomplete_stream_never_looks_complete_when_its_engine_crashes(
    platform: PlatformCluster,
) -> None:
    calls = [asyncio.create_task(platform.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(4)]
    await platform.wait_until(lambda: len(platform.upstreams["e1"].running) >= 2)
    await asyncio.sleep(0.03)
    await platform.upstreams["e1"].stop()
    for answer in await asyncio.gather(*calls):
        assert answer.is_complete == (_event_numbers(answer) == list(range(1, 21)))
        assert _event_numbers(answer) == list(range(1, len(_event_numbers(answer)) + 1))
    _assert_no_request_ran_twice(platform)


@pytest.mark.asyncio
async def test_engine_stops_when_the_caller_disconnects(platform: PlatformCluster) -> None:
    call = asyncio.create_task(platform.call("h1", "/draft/x", tokens=TOKENS))
    engines = [platform.upstreams[name] for name in ("e1", "e2")]
    await platform.wait_until(lambda: any(engine.running for engine in engines))
    call.cancel()
    await platform.wait_until(lambda: not any(engine.running for engine in engines))


@pytest.mark.asyncio
async def test_leaving_upstream_gets_no_new_requests(platform: PlatformCluster) -> None:
    leaving = platform.upstreams["p1"]
    platform.register(leaving, PLAIN_SERVICE, state="draining")
    await platform.wait_until(lambda: platform.hosts["h1"].count_open_upstreams(PLAIN_SERVICE) == 1)
    for _ in range(10):
        answer = await platform.call("h1", "/book/x")
        assert answer.headers["Tanagerscale-Server-Stamp"] == "p2"


@pytest.mark.asyncio
async def test_request_is_retried_elsewhere_when_another_upstream_has_the_address(
    platform: PlatformCluster,
) -> None:
    platform.upstreams["p1"].upstream = "of-another-service"
    for _ in range(6):
        answer = await platform.call("h1", "/book/x")
        assert answer.headers["Tanagerscale-Server-Stamp"] == "p2"
    ran = [received for received in platform.ledger.received_requests if received.executed]
    assert len(ran) == 6


@pytest.mark.asyncio
async def test_new_version_is_activated_as_a_whole(platform: PlatformCluster) -> None:
    value = configuration(version=5)
    value["routes"] = value["routes"][:2]
    value["tenants"] = [{"name": "two", "apiKeys": ["other-key"]}]
    platform.configure(value)
    await _wait_until_settled(platform, "h1")
    assert (await platform.call("h1", "/book/x", key="other-key")).status == 200
    assert (await platform.call("h1", "/book/x")).status == 401
    assert (await platform.call("h1", "/read/x", method="GET", key="other-key")).status == 404


@pytest.mark.asyncio
async def test_requests_are_served_while_the_store_is_down(platform: PlatformCluster) -> None:
    platform.store.behavior = StoreBehavior.SILENT
    assert (await platform.call("h1", "/book/x")).status == 200
    assert (await platform.call("h1", "/draft/x", tokens=TOKENS)).is_complete


@pytest.mark.asyncio
async def test_host_cut_from_the_store_gets_a_new_version_from_its_peers(
    platform: PlatformCluster,
) -> None:
    await platform.add_host("h2", seeds=(platform.peers_address("h1"),))
    await _wait_until_settled(platform, "h1", "h2")
    await platform.wait_until(lambda: platform.hosts["h2"].peers == ["h1"])
    platform.disconnect_from_store("h2")
    platform.configure(configuration(version=9))
    await _wait_until_settled(platform, "h1", "h2")


@pytest.mark.asyncio
async def test_host_is_not_ready_before_it_knows_a_version() -> None:
    platform = PlatformCluster()
    await platform.start()
    try:
        platform.store.delete("op/config")
        await platform.add_host("h1")
        assert not platform.hosts["h1"].ready
        answer = await platform.call("h1", "/book/x")
        assert answer.status == 503
        assert "Retry-After" in answer.headers
        platform.configure(configuration(version=2))
        await platform.wait_until(lambda: platform.hosts["h1"].ready)
    finally:
        await platform.stop()


@pytest.mark.asyncio
async def test_graceful_shutdown_finishes_running_requests_and_refuses_none(
    platform: PlatformCluster,
) -> None:
    calls = [asyncio.create_task(platform.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(3)]
    await platform.wait_until(lambda: len(platform.ledger.received_requests) == 3)
    host = platform.hosts["h1"]
    stopping = asyncio.create_task(host.stop())
    answers = await asyncio.gather(*calls)
    assert all(answer.is_complete for answer in answers)
    assert not host.ready
    answer = await platform.call("h1", "/book/x")
    assert answer.status == 200
    assert answer.headers["Connection"] == "close"
    await stopping
    assert (await platform.call("h1", "/book/x")).status == 0


@pytest.mark.asyncio
async def test_hosts_exchange_their_running_requests(platform: PlatformCluster) -> None:
    await platform.add_host("h2", seeds=(platform.peers_address("h1"),))
    await _wait_until_settled(platform, "h2")
    await platform.wait_until(lambda: platform.hosts["h2"].peers == ["h1"])
    call = asyncio.create_task(platform.call("h1", "/draft/x", tokens=TOKENS))
    await platform.wait_until(lambda: platform.hosts["h2"].known_runs == 1)
    await call
    await platform.wait_until(lambda: platform.hosts["h2"].known_runs == 0)


@pytest.mark.asyncio
async def test_retry_budget_is_shared_with_unreachable_hosts(platform: PlatformCluster) -> None:
    for number in range(2, 11):
        record = {"host": f"h{number}", "peers": "127.0.0.1:9", "incarnation": 1}
        platform.store.put(f"tanagerscale/hosts/h{number}", msgspec.json.encode(record))
    await platform.wait_until(lambda: platform.hosts["h1"].known_hosts == 10)
    for name in ("p1", "p2"):
        platform.upstreams[name].behavior = UpstreamBehavior.FULL
    for _ in range(18):
        await platform.call("h1", "/book/x")
    # A host that counted only reachable hosts would repeat each of the eighteen requests.
    assert 18 <= len(platform.ledger.received_requests) < 36
