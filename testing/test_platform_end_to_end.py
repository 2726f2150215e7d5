"""End-to-end tests with real hosts, a store and upstreams on loopback, including failures."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator

import msgspec
import pytest
import pytest_asyncio

from standins.platform_engine import UpstreamMood
from standins.platform_store import StoreMood
from standins.platform_world import HOST_NAME
from standins.platform_world import KEY
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import Answer
from standins.platform_world import PlatformWorld
from standins.platform_world import configuration

TOKENS = (500, 2000)


@pytest_asyncio.fixture
async def world() -> AsyncIterator[PlatformWorld]:
    """Start a platform with one host, two engines and two plain upstreams."""
    made = PlatformWorld()
    await made.start()
    for name in ("e1", "e2"):
        await made.add_upstream(name, MODEL_SERVICE)
    for name in ("p1", "p2"):
        await made.add_upstream(name, PLAIN_SERVICE)
    await made.add_host("h1")
    await _wait_until_settled(made, "h1")
    yield made
    await made.stop()


async def _wait_until_settled(world: PlatformWorld, *hosts: str) -> None:
    """Wait until hosts know the current configuration and the upstreams."""
    for host in hosts:
        known = world.hosts[host]
        await world.wait_until(
            lambda known=known: known.ready
            and known.version == _stored_version(world)
            and known.known_upstreams >= 4
        )


def _stored_version(world: PlatformWorld) -> int:
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


def _assert_no_request_ran_twice(world: PlatformWorld) -> None:
    runs = Counter(arrival.request for arrival in world.ledger.arrivals if arrival.ran)
    repeated = {request for request, times in runs.items() if times > 1}
    moved = {arrival.request for arrival in world.ledger.arrivals if "Kv-From" in arrival.headers}
    assert repeated <= moved
    assert all(times == 1 for times in world.ledger.generations.values())


@pytest.mark.asyncio
async def test_call_is_answered_by_an_upstream_of_its_service(world: PlatformWorld) -> None:
    answer = await world.call("h1", "/book/x?y=1")
    assert answer.status == 200
    assert answer.headers["Tanagerscale-Server-Stamp"] in ("p1", "p2")
    (arrival,) = world.ledger.arrivals
    assert (arrival.method, arrival.target, arrival.body) == ("POST", "/book/x?y=1", b"content")
    assert arrival.headers["Tanagerscale-Tenant"] == "one"
    assert "Authorization" not in arrival.headers
    assert arrival.headers["Host"] == HOST_NAME


@pytest.mark.asyncio
async def test_stream_is_forwarded_completely(world: PlatformWorld) -> None:
    answer = await world.call("h1", "/draft/x", tokens=TOKENS)
    assert (answer.status, answer.whole) == (200, True)
    assert _event_numbers(answer) == list(range(1, 21))


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("path", "key", "status"),
    [("/book/x", None, 401), ("/book/x", "wrong", 401), ("/none/x", KEY, 404)],
)
async def test_call_is_refused_when_its_key_or_route_is_unknown(
    world: PlatformWorld, path: str, key: str | None, status: int
) -> None:
    answer = await world.call("h1", path, key=key)
    assert answer.status == status
    assert b"detail" in answer.body
    assert world.ledger.arrivals == []


@pytest.mark.asyncio
async def test_call_is_refused_when_its_body_is_too_large(world: PlatformWorld) -> None:
    answer = await world.call("h1", "/book/x", body=b"x" * 200_000)
    assert answer.status in (0, 413)
    assert world.ledger.arrivals == []


@pytest.mark.asyncio
async def test_caller_cannot_set_reserved_header_fields(world: PlatformWorld) -> None:
    await world.call(
        "h1",
        "/book/x",
        headers={"Tanagerscale-Tenant": "other", "Kv-From": "x/y", "Tanagerscale-Hold": "1"},
    )
    (arrival,) = world.ledger.arrivals
    assert arrival.headers["Tanagerscale-Tenant"] == "one"
    assert "Kv-From" not in arrival.headers
    assert "Tanagerscale-Hold" not in arrival.headers


@pytest.mark.asyncio
async def test_non_idempotent_request_runs_once_when_its_response_is_lost(
    world: PlatformWorld,
) -> None:
    for name in ("p1", "p2"):
        world.upstreams[name].mood = UpstreamMood.LOSES_ANSWERS
    answer = await world.call("h1", "/book/x")
    assert answer.status == 502
    assert len(world.ledger.arrivals) == 1


@pytest.mark.asyncio
async def test_idempotent_request_is_retried_elsewhere_when_its_response_is_lost(
    world: PlatformWorld,
) -> None:
    for name in ("p1", "p2"):
        world.upstreams[name].mood = UpstreamMood.LOSES_ANSWERS
    answer = await world.call("h1", "/read/x", method="GET")
    assert answer.status == 502
    assert (
        len({arrival.headers["Tanagerscale-Expect-Instance"] for arrival in world.ledger.arrivals})
        == 2
    )


@pytest.mark.asyncio
async def test_refused_request_has_not_run_when_all_upstreams_are_full(
    world: PlatformWorld,
) -> None:
    for name in ("p1", "p2"):
        world.upstreams[name].mood = UpstreamMood.FULL
    answer = await world.call("h1", "/book/x")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert not any(arrival.ran for arrival in world.ledger.arrivals)


@pytest.mark.asyncio
async def test_stream_continues_as_the_same_run_when_its_engine_leaves(
    world: PlatformWorld,
) -> None:
    calls = [asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(4)]
    await world.wait_until(lambda: len(world.upstreams["e1"].running) >= 2)
    await asyncio.sleep(0.03)
    leaving = world.upstreams["e1"]
    leaving.leaving = True
    world.register(leaving, MODEL_SERVICE, state="draining")
    answers = await asyncio.gather(*calls)
    for answer in answers:
        assert answer.whole
        assert _event_numbers(answer) == list(range(1, 21))
        assert len(_generation_ids(answer)) == 1
    assert any("Kv-From" in arrival.headers for arrival in world.ledger.arrivals)
    assert world.ledger.overlaps == []
    _assert_no_request_ran_twice(world)


@pytest.mark.asyncio
async def test_incomplete_stream_never_looks_complete_when_its_engine_crashes(
    world: PlatformWorld,
) -> None:
    calls = [asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(4)]
    await world.wait_until(lambda: len(world.upstreams["e1"].running) >= 2)
    await asyncio.sleep(0.03)
    await world.upstreams["e1"].stop()
    for answer in await asyncio.gather(*calls):
        assert answer.whole == (_event_numbers(answer) == list(range(1, 21)))
        assert _event_numbers(answer) == list(range(1, len(_event_numbers(answer)) + 1))
    _assert_no_request_ran_twice(world)


@pytest.mark.asyncio
async def test_engine_stops_when_the_caller_disconnects(world: PlatformWorld) -> None:
    call = asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS))
    engines = [world.upstreams[name] for name in ("e1", "e2")]
    await world.wait_until(lambda: any(engine.running for engine in engines))
    call.cancel()
    await world.wait_until(lambda: not any(engine.running for engine in engines))


@pytest.mark.asyncio
async def test_leaving_upstream_gets_no_new_requests(world: PlatformWorld) -> None:
    leaving = world.upstreams["p1"]
    world.register(leaving, PLAIN_SERVICE, state="draining")
    await world.wait_until(lambda: world.hosts["h1"].count_open_upstreams(PLAIN_SERVICE) == 1)
    for _ in range(10):
        answer = await world.call("h1", "/book/x")
        assert answer.headers["Tanagerscale-Server-Stamp"] == "p2"


@pytest.mark.asyncio
async def test_request_is_retried_elsewhere_when_another_upstream_has_the_address(
    world: PlatformWorld,
) -> None:
    world.upstreams["p1"].upstream = "of-another-service"
    for _ in range(6):
        answer = await world.call("h1", "/book/x")
        assert answer.headers["Tanagerscale-Server-Stamp"] == "p2"
    ran = [arrival for arrival in world.ledger.arrivals if arrival.ran]
    assert len(ran) == 6


@pytest.mark.asyncio
async def test_new_version_is_activated_as_a_whole(world: PlatformWorld) -> None:
    value = configuration(version=5)
    value["routes"] = value["routes"][:2]
    value["tenants"] = [{"name": "two", "apiKeys": ["other-key"]}]
    world.configure(value)
    await _wait_until_settled(world, "h1")
    assert (await world.call("h1", "/book/x", key="other-key")).status == 200
    assert (await world.call("h1", "/book/x")).status == 401
    assert (await world.call("h1", "/read/x", method="GET", key="other-key")).status == 404


@pytest.mark.asyncio
async def test_requests_are_served_while_the_store_is_down(world: PlatformWorld) -> None:
    world.store.mood = StoreMood.SILENT
    assert (await world.call("h1", "/book/x")).status == 200
    assert (await world.call("h1", "/draft/x", tokens=TOKENS)).whole


@pytest.mark.asyncio
async def test_host_cut_from_the_store_gets_a_new_version_from_its_peers(
    world: PlatformWorld,
) -> None:
    await world.add_host("h2", seeds=(world.peers_address("h1"),))
    await _wait_until_settled(world, "h1", "h2")
    await world.wait_until(lambda: world.hosts["h2"].peers == ["h1"])
    world.cut_from_store("h2")
    world.configure(configuration(version=9))
    await _wait_until_settled(world, "h1", "h2")


@pytest.mark.asyncio
async def test_host_is_not_ready_before_it_knows_a_version() -> None:
    world = PlatformWorld()
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
    world: PlatformWorld,
) -> None:
    calls = [asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(3)]
    await world.wait_until(lambda: len(world.ledger.arrivals) == 3)
    host = world.hosts["h1"]
    stopping = asyncio.create_task(host.stop())
    answers = await asyncio.gather(*calls)
    assert all(answer.whole for answer in answers)
    assert not host.ready
    answer = await world.call("h1", "/book/x")
    assert answer.status == 200
    assert answer.headers["Connection"] == "close"
    await stopping
    assert (await world.call("h1", "/book/x")).status == 0


@pytest.mark.asyncio
async def test_hosts_exchange_their_running_requests(world: PlatformWorld) -> None:
    await world.add_host("h2", seeds=(world.peers_address("h1"),))
    await _wait_until_settled(world, "h2")
    await world.wait_until(lambda: world.hosts["h2"].peers == ["h1"])
    call = asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS))
    await world.wait_until(lambda: world.hosts["h2"].known_runs == 1)
    await call
    await world.wait_until(lambda: world.hosts["h2"].known_runs == 0)


@pytest.mark.asyncio
async def test_retry_budget_is_shared_with_unreachable_hosts(world: PlatformWorld) -> None:
    for number in range(2, 11):
        record = {"host": f"h{number}", "peers": "127.0.0.1:9", "incarnation": 1}
        world.store.put(f"tanagerscale/hosts/h{number}", msgspec.json.encode(record))
    await world.wait_until(lambda: world.hosts["h1"].known_hosts == 10)
    for name in ("p1", "p2"):
        world.upstreams[name].mood = UpstreamMood.FULL
    for _ in range(18):
        await world.call("h1", "/book/x")
    # A host that counted only reachable hosts would repeat each of the eighteen requests.
    assert 18 <= len(world.ledger.arrivals) < 36
