"""What upstreams say of themselves in their answers, with real hosts on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

from msgspec import structs
import pytest
import pytest_asyncio

from standins._common import LOOPBACK
from standins.platform_engine import UpstreamBehavior
from standins.platform_engine import UpstreamEmulator
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from tanagerscale.core import Clock
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._registry import decode_entry
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamNotice
from testing._gateway_fakes import make_request

FIRST_START_MS = 1_700_000_000_000
NEXT_START_MS = 1_700_000_010_000
TOKENS = (500, 2000)
PATHS = {PLAIN_SERVICE: ("/book/x", None), MODEL_SERVICE: ("/draft/x", TOKENS)}
NAMES = {PLAIN_SERVICE: ("p1", "p2"), MODEL_SERVICE: ("e1", "e2")}
CALLS = 8
LONG_PAUSE_S = 60.0
SHORT_PAUSE_S = 0.3
SLOW_EVENT_MS = 25.0


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformCluster]:
    """Start a platform with one host, two engines and two plain upstreams."""
    created = PlatformCluster()
    await created.start()
    for name in ("e1", "e2"):
        await created.add_upstream(name, MODEL_SERVICE, born=FIRST_START_MS)
    for name in ("p1", "p2"):
        await created.add_upstream(name, PLAIN_SERVICE, born=FIRST_START_MS)
    await created.add_host("h1")
    await created.wait_until(
        lambda: created.hosts["h1"].ready and created.hosts["h1"].known_upstreams == 4
    )
    yield created
    await created.stop()


def _entry_of(platform: PlatformCluster, name: str) -> UpstreamEntry:
    value = platform.store.value(f"servers/{name}")
    assert value is not None
    return decode_entry(f"servers/{name}", value).unwrap()


async def _call(platform: PlatformCluster, service: str, *, host: str = "h1") -> str:
    """Send one call to a service and return the upstream that answered."""
    path, tokens = PATHS[service]
    answer = await platform.call(host, path, tokens=tokens)
    assert (answer.status, answer.is_complete) == (200, True)
    return answer.headers["Tanagerscale-Server-Stamp"]


async def _call_until_answered_by(
    platform: PlatformCluster, name: str, service: str, *, host: str = "h1"
) -> None:
    async with asyncio.timeout(10):
        while await _call(platform, service, host=host) != name:
            pass


async def _rewrite_as_ready(
    platform: PlatformCluster, upstream: UpstreamEmulator, service: str
) -> None:
    """Rewrite an upstream's entry as ready and wait until the host has applied it."""
    host = platform.hosts["h1"]
    platform.register(upstream, service)
    known = host.known_upstreams
    await platform.add_upstream(f"later-{known}", "another-service")
    await platform.wait_until(lambda: host.known_upstreams > known)


# An upstream that had said in an answer that it leaves got requests until the store said so too.
@pytest.mark.asyncio
async def test_upstream_that_says_it_leaves_gets_no_requests_when_the_store_is_cut_off(
    platform: PlatformCluster,
) -> None:
    platform.disconnect_from_store("h1")
    platform.upstreams["p1"].says_leaving = True
    await _call_until_answered_by(platform, "p1", PLAIN_SERVICE)
    answered = [await _call(platform, PLAIN_SERVICE) for _ in range(CALLS)]
    assert answered == ["p2"] * CALLS


# A store entry that says ready reopened an upstream that had said in an answer that it leaves.
@pytest.mark.asyncio
async def test_upstream_that_says_it_leaves_gets_no_requests_when_its_entry_is_rewritten_as_ready(
    platform: PlatformCluster,
) -> None:
    leaving = platform.upstreams["p1"]
    leaving.says_leaving = True
    await _call_until_answered_by(platform, "p1", PLAIN_SERVICE)
    await _rewrite_as_ready(platform, leaving, PLAIN_SERVICE)
    answered = [await _call(platform, PLAIN_SERVICE) for _ in range(CALLS)]
    assert answered == ["p2"] * CALLS


@pytest.mark.asyncio
async def test_upstream_that_said_it_leaves_gets_requests_when_it_has_restarted(
    platform: PlatformCluster,
) -> None:
    platform.upstreams["p1"].says_leaving = True
    await _call_until_answered_by(platform, "p1", PLAIN_SERVICE)
    await platform.restart_upstream("p1", PLAIN_SERVICE, born=NEXT_START_MS)
    host = platform.hosts["h1"]
    await platform.wait_until(lambda: host.count_open_upstreams(PLAIN_SERVICE) == 2)
    await _call_until_answered_by(platform, "p1", PLAIN_SERVICE)


@pytest.mark.asyncio
async def test_runs_move_off_an_engine_that_says_it_leaves_in_the_head_of_a_stream(
    platform: PlatformCluster,
) -> None:
    platform.disconnect_from_store("h1")
    for name in ("e1", "e2"):
        platform.upstreams[name].event_ms = SLOW_EVENT_MS
    platform.upstreams["e1"].says_leaving = True
    calls = [asyncio.create_task(platform.call("h1", "/draft/x", tokens=TOKENS)) for _ in range(6)]
    answers = await asyncio.gather(*calls)
    assert all(answer.is_complete for answer in answers)
    moved = [one for one in platform.ledger.received_requests if "Kv-From" in one.headers]
    assert {one.headers["Tanagerscale-Expect-Instance"] for one in moved} == {"e2"}


@pytest.mark.asyncio
async def test_control_calls_tell_that_their_engine_leaves(platform: PlatformCluster) -> None:
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=1000, idle_ms=1000)
    client = PlatformUpstreams(pool=pool)
    told: list[UpstreamId] = []
    client.notices.subscribe(lambda notice: told.append(notice.upstream))
    e1, e2 = (_entry_of(platform, name) for name in ("e1", "e2"))
    platform.upstreams["e1"].says_leaving = True
    await client.report(upstream=e1)
    await client.drop_copy(holder=e1, copy="none")
    await client.copy(source=e1, request=RequestId("none"), target=e2, stop=False)
    await client.report(upstream=e2)
    assert told == [e1.upstream] * 3
    pool.close()


@pytest.mark.asyncio
async def test_report_of_another_incarnation_says_nothing_of_this_one(
    platform: PlatformCluster,
) -> None:
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=1000, idle_ms=1000)
    client = PlatformUpstreams(pool=pool)
    told: list[UpstreamNotice] = []
    client.notices.subscribe(told.append)
    earlier = _entry_of(platform, "e1")
    restarted = await platform.restart_upstream("e1", MODEL_SERVICE, born=NEXT_START_MS)
    restarted.says_leaving = True
    await client.report(upstream=earlier)
    assert told == []
    pool.close()


@pytest.mark.asyncio
async def test_upstream_at_a_reassigned_address_says_nothing_of_the_former_one(
    platform: PlatformCluster,
) -> None:
    told: list[UpstreamNotice] = []
    platform.hosts["h1"]._platform.upstreams.notices.subscribe(told.append)
    other = platform.upstreams["p1"]
    other.upstream, other.says_leaving = "of-another-service", True
    for _ in range(CALLS):
        await _call(platform, PLAIN_SERVICE)
    assert told == []


@pytest.mark.asyncio
async def test_response_to_another_request_says_nothing_of_an_upstream(
    platform: PlatformCluster,
) -> None:
    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(
            b"HTTP/1.1 200 OK\r\nTanagerscale-Attempt-Id: earlier\r\nServer-Leaving: 1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        writer.close()

    server = await asyncio.start_server(respond, LOOPBACK, 0)
    address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=1000, idle_ms=1000)
    client = PlatformUpstreams(pool=pool)
    told: list[UpstreamNotice] = []
    client.notices.subscribe(told.append)
    entry = structs.replace(_entry_of(platform, "e1"), address=address)
    with pytest.raises(ExchangeError):
        await client.send(
            upstream_request=UpstreamRequest(
                request=make_request(), upstream=entry, account=None, time_left_ms=None
            )
        )
    await client.drop_copy(holder=entry, copy="none")
    assert told == []
    pool.close()
    server.close()


# An engine that had said in the head of a stream that it leaves got further streams.
@pytest.mark.asyncio
async def test_engine_that_says_it_leaves_gets_no_streams_when_the_store_is_cut_off(
    platform: PlatformCluster,
) -> None:
    platform.disconnect_from_store("h1")
    platform.upstreams["e1"].says_leaving = True
    await _call_until_answered_by(platform, "e1", MODEL_SERVICE)
    answered = [await _call(platform, MODEL_SERVICE) for _ in range(CALLS)]
    assert answered == ["e2"] * CALLS


# A host sent request after request to an upstream that had asked it for a pause.
@pytest.mark.asyncio
@pytest.mark.parametrize("service", [PLAIN_SERVICE, MODEL_SERVICE])
async def test_upstream_that_asks_for_a_pause_gets_no_requests_in_it(
    platform: PlatformCluster, service: str
) -> None:
    busy = platform.upstreams[NAMES[service][0]]
    busy.behavior, busy.refusal_pause_s = UpstreamBehavior.FULL, LONG_PAUSE_S
    async with asyncio.timeout(10):
        while not platform.requests_at(busy):
            await _call(platform, service)
    for _ in range(CALLS):
        assert await _call(platform, service) != busy.upstream
    assert platform.requests_at(busy) == 1


# Calls were refused with a short pause, and only after all upstreams had been asked again.
@pytest.mark.asyncio
@pytest.mark.parametrize("service", [PLAIN_SERVICE, MODEL_SERVICE])
async def test_call_is_refused_with_the_shortest_pause_when_all_upstreams_have_asked_for_one(
    platform: PlatformCluster, service: str
) -> None:
    busy = [platform.upstreams[name] for name in NAMES[service]]
    for number, upstream in enumerate(busy):
        upstream.behavior = UpstreamBehavior.FULL
        upstream.refusal_pause_s = LONG_PAUSE_S * (number + 1)
    path, tokens = PATHS[service]
    async with asyncio.timeout(10):
        while not all(platform.requests_at(upstream) for upstream in busy):
            await platform.call("h1", path, tokens=tokens)
    answer = await platform.call("h1", path, tokens=tokens)
    assert answer.status == 503
    assert LONG_PAUSE_S / 2 < float(answer.headers["Retry-After"]) < 2 * LONG_PAUSE_S
    assert [platform.requests_at(upstream) for upstream in busy] == [1, 1]


@pytest.mark.asyncio
@pytest.mark.parametrize("service", [PLAIN_SERVICE, MODEL_SERVICE])
async def test_upstream_gets_requests_again_when_its_pause_has_ended(
    platform: PlatformCluster, service: str
) -> None:
    name = NAMES[service][0]
    busy = platform.upstreams[name]
    busy.behavior, busy.refusal_pause_s = UpstreamBehavior.FULL, SHORT_PAUSE_S
    async with asyncio.timeout(10):
        while not platform.requests_at(busy):
            await _call(platform, service)
    busy.behavior = UpstreamBehavior.NORMAL
    await _call_until_answered_by(platform, name, service)


@pytest.mark.asyncio
async def test_pause_that_one_host_was_asked_for_does_not_bind_another_host(
    platform: PlatformCluster,
) -> None:
    other = await platform.add_host("h2", seeds=(platform.peers_address("h1"),))
    await platform.wait_until(lambda: other.ready and other.peers == ["h1"])
    busy = platform.upstreams["e1"]
    busy.behavior, busy.refusal_pause_s = UpstreamBehavior.FULL, LONG_PAUSE_S
    async with asyncio.timeout(10):
        while not platform.requests_at(busy):
            # A decider that has just been chosen may allow no retry, so the status can be 503.
            await platform.call("h1", "/draft/x", tokens=TOKENS)
    busy.behavior = UpstreamBehavior.NORMAL
    await _call_until_answered_by(platform, "e1", MODEL_SERVICE, host="h2")
