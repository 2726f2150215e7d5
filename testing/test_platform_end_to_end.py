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
async def world() -> AsyncIterator[PlatformCluster]:
    """Start a platform with one host, two engines and two plain upstreams."""
    made = PlatformCluster()
    await made.start()
    for name in ("e1", "e2"):
        await made.add_upstream(name, MODEL_SERVICE)
    for name in ("p1", "p2"):
        await made.add_upstream(name, PLAIN_SERVICE)
    await made.add_host("h1")
    await _wait_until_settled(made, "h1")
    yield made
    await made.stop()


async def _wait_until_settled(world: PlatformCluster, *hosts: str) -> None:
    """Wait until hosts know the current configuration and the upstreams."""
    for host in hosts:
        known = world.hosts[host]
        await world.wait_until(
            lambda known=known: known.ready
            and known.version == _stored_version(world)
            and known.known_upstreams >= 4
        )


def _stored_version(world: PlatformCluster) -> int:
    value = world.store.value("op/config")
    assert value is not None
    version: int = msgspec.json.decode(value)["version"]
    return version


def _event_numbers(answer: Answer) -> list[int]:
    lines = answer.body.decode().splitlines()
    return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


def _generation_ids(answer: Answer) -> set[str]:
    lines = answer.body.decode().splitlines()
    return {line.rpartition(".")[0] for line in lines if line.startswith("data: ")}


def _assert_no_request_ran_twice(world: PlatformCluster) -> None:
    runs = Counter(
        arrival.request for arrival in world.ledger.received_requests if arrival.executed
    )
    repeated = {request for request, times in runs.items() if times > 1}
    moved = {
        arrival.request
        for arrival in world.ledger.received_requests
        if "Kv-From" in arrival.headers
    }
    assert repeated <= moved
    assert all(times == 1 for times in world.ledger.generations.values())


@pytest.mark.asyncio
async def test_call_is_answered_by_an_upstream_of_its_service(world: PlatformCluster) -> None:
    answer = await world.call("h1", "/book/x?y=1")
    assert answer.status == 200
    assert answer.headers["Tanagerscale-Server-Stamp"] in ("p1", "p2")
    (arrival,) = world.ledger.received_requests
    assert (arrival.method, arrival.target, arrival.body) == ("POST", "/book/x?y=1", b"content")
    assert arrival.headers["Tanagerscale-Tenant"] == "one"
    assert "Authorization" not in arrival.headers
    assert arrival.headers["Host"] == HOST_NAME


@pytest.mark.asyncio
async def test_stream_is_forwarded_completely(world: PlatformCluster) -> None:
    answer = await world.call("h1", "/draft/x", tokens=TOKENS)
    assert (answer.status, answer.is_complete) == (200, True)
    assert _event_numbers(answer) == list(range(1, 21))


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/book/x", None, 401), ("/book/x", "wrong", 401), ("/none/x", API_KEY, 404)],
)
async def test_call_is_refused_when_its_key_or_route_is_unknown(
    world: PlatformCluster, path: str, key: str | None, status: int
) -> None:
    answer = await world.call("h1", path, key=key)
    assert answer.status == status
    assert b"detail" in answer.body
    assert world.ledger.received_requests == []


@pytest.mark.asyncio
async def test_call_is_refused_when_its_body_is_too_large(world: PlatformCluster) -> None:
    answer = await world.call("h1", "/book/x", body=b"x" * 200_000)
    assert answer.status in (0, 413)
    assert world.ledger.received_requests == []


@pytest.mark.asyncio
async def test_caller_cannot_set_reserved_header_fields(world: PlatformCluster) -> None:
    await world.call(
        "h1",
        "/book/x",
        headers={"Tanagerscale-Tenant": "other", "Kv-From": "x/y", "Tanagerscale-Hold": "1"},
    )
    (arrival,) = world.ledger.received_requests
    assert arrival.headers["Tanagerscale-Tenant"] == "one"
    assert "Kv-From" not in arrival.headers
    assert "Tanagerscale-Hold" not in arrival.headers


@pytest.mark.asyncio
async def test_non_idempotent_request_runs_once_when_its_response_is_lost(
    world: PlatformCluster,
) -> None:
    for name in ("p1", "p2"):
        world.upstreams[name].behavior = UpstreamBehavior.RESET_AFTER_EXECUTION
    answer = await world.call("h1", "/book/x")
    assert answer.status == 502
    assert len(world.ledger.received_requests) == 1


@pytest.mark.asyncio
async def test_idempotent_request_is_retried_elsewhere_when_its_response_is_lost(
    world: PlatformCluster,
) -> None:
    for name in ("p1", "p2"):
        world.upstreams[name].behavior = UpstreamBehavior.RESET_AFTER_EXECUTION
    answer = await world.call("h1", "/read/x", method="GET")
    assert answer.status == 502
    assert (
        len(
            {
                arrival.headers["Tanagerscale-Expect-Instance"]
                for arrival in world.ledger.received_requests
            }
        )
        == 2
    )


@pytest.mark.asyncio
async def test_refused_request_has_not_run_when_all_upstreams_are_full(
    world: PlatformCluster,
) -> None:
    for name in ("p1", "p2"):
        world.upstreams[name].behavior = UpstreamBehavior.FULL
    answer = await world.call("h1", "/book/x")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert not any(arrival.executed for arrival in world.ledger.received_requests)


@pytest.mark.asyncio
async def test_stream_continues_as_the_same_run_when_its_engine_leaves(
    world: PlatformCluster,
) -> None:
    calls = [asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(4)]
    await world.wait_until(lambda: len(world.upstreams["e1"].running) >= 2)
    await asyncio.sleep(0.03)
    leaving = world.upstreams["e1"]
    leaving.leaving = True
    world.register(leaving, MODEL_SERVICE, state="draining")
    answers = await asyncio.gather(*calls)
    for answer in answers:
        assert answer.is_complete
        assert _event_numbers(answer) == list(range(1, 21))
        assert len(_generation_ids(answer)) == 1
    assert any("Kv-From" in arrival.headers for arrival in world.ledger.received_requests)
    assert world.ledger.overlaps == []
    _assert_no_request_ran_twice(world)


@pytest.mark.asyncio
async def test_incomplete_stream_never_looks_complete_when_its_engine_crashes(
    world: PlatformCluster,
) -> None:
    calls = [asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(4)]
    await world.wait_until(lambda: len(world.upstreams["e1"].running) >= 2)
    await asyncio.sleep(0.03)
    await world.upstreams["e1"].stop()
    for answer in await asyncio.gather(*calls):
        assert answer.is_complete == (_event_numbers(answer) == list(range(1, 21)))
        assert _event_numbers(answer) == list(range(1, len(_event_numbers(answer)) + 1))
    _assert_no_request_ran_twice(world)


@pytest.mark.asyncio
async def test_engine_stops_when_the_caller_disconnects(world: PlatformCluster) -> None:
    call = asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS))
    engines = [world.upstreams[name] for name in ("e1", "e2")]
    await world.wait_until(lambda: any(engine.running for engine in engines))
    call.cancel()
    await world.wait_until(lambda: not any(engine.running for engine in engines))


@pytest.mark.asyncio
async def test_leaving_upstream_gets_no_new_requests(world: PlatformCluster) -> None:
    leaving = world.upstreams["p1"]
    world.register(leaving, PLAIN_SERVICE, state="draining")
    await world.wait_until(lambda: world.hosts["h1"].count_open_upstreams(PLAIN_SERVICE) == 1)
    for _ in range(10):
        answer = await world.call("h1", "/book/x")
        assert answer.headers["Tanagerscale-Server-Stamp"] == "p2"


@pytest.mark.asyncio
async def test_request_is_retried_elsewhere_when_another_upstream_has_the_address(
    world: PlatformCluster,
) -> None:
    world.upstreams["p1"].upstream = "of-another-service"
    for _ in range(6):
        answer = await world.call("h1", "/book/x")
        assert answer.headers["Tanagerscale-Server-Stamp"] == "p2"
    ran = [arrival for arrival in world.ledger.received_requests if arrival.executed]
    assert len(ran) == 6


@pytest.mark.asyncio
async def test_new_version_is_activated_as_a_whole(world: PlatformCluster) -> None:
    value = configuration(version=5)
    value["routes"] = value["routes"][:2]
    value["tenants"] = [{"name": "two", "apiKeys": ["other-key"]}]
    world.configure(value)
    await _wait_until_settled(world, "h1")
    assert (await world.call("h1", "/book/x", key="other-key")).status == 200
    assert (await world.call("h1", "/book/x")).status == 401
    assert (await world.call("h1", "/read/x", method="GET", key="other-key")).status == 404


@pytest.mark.asyncio
async def test_requests_are_served_while_the_store_is_down(world: PlatformCluster) -> None:
    world.store.behavior = StoreBehavior.SILENT
    assert (await world.call("h1", "/book/x")).status == 200
    assert (await world.call("h1", "/draft/x", tokens=TOKENS)).is_complete


@pytest.mark.asyncio
async def test_host_cut_from_the_store_gets_a_new_version_from_its_peers(
    world: PlatformCluster,
) -> None:
    await world.add_host("h2", seeds=(world.peers_address("h1"),))
    await _wait_until_settled(world, "h1", "h2")
    await world.wait_until(lambda: world.hosts["h2"].peers == ["h1"])
    world.disconnect_from_store("h2")
    world.configure(configuration(version=9))
    await _wait_until_settled(world, "h1", "h2")


@pytest.mark.asyncio
async def test_host_is_not_ready_before_it_knows_a_version() -> None:
    world = PlatformCluster()
    await world.start()
    try:
        world.store.delete("op/config")
        await world.add_host("h1")
        assert not world.hosts["h1"].ready
        answer = await world.call("h1", "/book/x")
        assert answer.status == 503
        assert "Retry-After" in answer.headers
        world.configure(configuration(version=2))
        await world.wait_until(lambda: world.hosts["h1"].ready)
    finally:
        await world.stop()


@pytest.mark.asyncio
async def test_graceful_shutdown_finishes_running_requests_and_refuses_none(
    world: PlatformCluster,
) -> None:
    calls = [asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(3)]
    await world.wait_until(lambda: len(world.ledger.received_requests) == 3)
    host = world.hosts["h1"]
    stopping = asyncio.create_task(host.stop())
    answers = await asyncio.gather(*calls)
    assert all(answer.is_complete for answer in answers)
    assert not host.ready
    answer = await world.call("h1", "/book/x")
    assert answer.status == 200
    assert answer.headers["Connection"] == "close"
    await stopping
    assert (await world.call("h1", "/book/x")).status == 0


@pytest.mark.asyncio
async def test_hosts_exchange_their_running_requests(world: PlatformCluster) -> None:
    await world.add_host("h2", seeds=(world.peers_address("h1"),))
    await _wait_until_settled(world, "h2")
    await world.wait_until(lambda: world.hosts["h2"].peers == ["h1"])
    call = asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS))
    await world.wait_until(lambda: world.hosts["h2"].known_runs == 1)
    await call
    await world.wait_until(lambda: world.hosts["h2"].known_runs == 0)


@pytest.mark.asyncio
async def test_retry_budget_is_shared_with_unreachable_hosts(world: PlatformCluster) -> None:
    for number in range(2, 11):
        record = {"host": f"h{number}", "peers": "127.0.0.1:9", "incarnation": 1}
        world.store.put(f"tanagerscale/hosts/h{number}", msgspec.json.encode(record))
    await world.wait_until(lambda: world.hosts["h1"].known_hosts == 10)
    for name in ("p1", "p2"):
        world.upstreams[name].behavior = UpstreamBehavior.FULL
    for _ in range(18):
        await world.call("h1", "/book/x")
    # A host that counted only reachable hosts would repeat each of the eighteen requests.
    assert 18 <= len(world.ledger.received_requests) < 36
