"""Upstreams that start again under the name they had, through real hosts on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio
from returns.result import Failure
from returns.result import Success

from standins.platform_engine import UpstreamBehavior
from standins.platform_engine import UpstreamEmulator
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from tanagerscale.core import Clock
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._registry import decode_entry
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import UpstreamEntry

STARTS = (1_700_000_000_000, 1_700_000_010_000, 1_700_000_020_000, 1_700_000_030_000)
TOKENS = (500, 2000)
MOST_CRASHES = 3


@pytest_asyncio.fixture
async def world() -> AsyncIterator[PlatformCluster]:
    """Start a platform with one host, one engine and one plain upstream."""
    made = PlatformCluster()
    await made.start()
    await made.add_upstream("e1", MODEL_SERVICE, born=STARTS[0])
    await made.add_upstream("p1", PLAIN_SERVICE, born=STARTS[0])
    await made.add_host("h1")
    host = made.hosts["h1"]
    await made.wait_until(lambda: host.ready and host.upstreams_known == 2)
    yield made
    await made.stop()


def _entry_of(world: PlatformCluster, name: str) -> UpstreamEntry:
    value = world.store.value(f"servers/{name}")
    assert value is not None
    return decode_entry(f"servers/{name}", value).unwrap()


async def _restart(world: PlatformCluster, name: str, service: str, born: int) -> UpstreamEmulator:
    started = await world.restart_upstream(name, service, born=born)
    host = world.hosts["h1"]
    upstream = _entry_of(world, name).upstream
    roster = host._control.roster
    await world.wait_until(lambda: roster.get(upstream) is not None)
    return started


@pytest.mark.asyncio
async def test_call_runs_at_the_later_start_when_the_earlier_one_was_leaving(
    world: PlatformCluster,
) -> None:
    world.register(world.upstreams["p1"], PLAIN_SERVICE, state="draining")
    await world.wait_until(lambda: world.hosts["h1"].upstreams_open(PLAIN_SERVICE) == 0)
    await _restart(world, "p1", PLAIN_SERVICE, STARTS[1])
    answer = await world.call("h1", "/book/x")
    assert answer.status == 200


@pytest.mark.asyncio
async def test_late_word_of_the_earlier_start_does_not_close_the_later_one(
    world: PlatformCluster,
) -> None:
    earlier = world.upstreams["p1"]
    await _restart(world, "p1", PLAIN_SERVICE, STARTS[1])
    world.register(earlier, PLAIN_SERVICE, state="draining")
    known = world.hosts["h1"].upstreams_known
    await world.add_upstream("p2", PLAIN_SERVICE, born=STARTS[0])
    await world.wait_until(lambda: world.hosts["h1"].upstreams_known > known)
    assert world.hosts["h1"].upstreams_open(PLAIN_SERVICE) == 2


@pytest.mark.asyncio
async def test_request_that_crashes_each_start_of_one_engine_is_refused_in_the_end(
    world: PlatformCluster,
) -> None:
    engine = world.upstreams["e1"]
    for born in STARTS[1 : MOST_CRASHES + 1]:
        engine.behavior = UpstreamBehavior.HANGS
        call = asyncio.create_task(world.call("h1", "/draft/x", tokens=TOKENS))
        await world.wait_until(lambda engine=engine: len(engine.running) == 1)
        engine = await _restart(world, "e1", MODEL_SERVICE, born)
        assert (await call).status != 200
    await world.call("h1", "/draft/x", tokens=TOKENS)
    arrivals = [arrival for arrival in world.ledger.received_requests if arrival.executed]
    assert len(arrivals) == MOST_CRASHES


@pytest.mark.asyncio
async def test_nothing_is_counted_on_a_start_that_is_over(world: PlatformCluster) -> None:
    await _restart(world, "e1", MODEL_SERVICE, STARTS[1])
    answer = await world.call("h1", "/draft/x", tokens=TOKENS)
    assert (answer.status, answer.is_complete) == (200, True)
    assert world.hosts["h1"].runs_known == 0


@pytest.mark.asyncio
@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe not an entry",
        b"[]",
        {"service": PLAIN_SERVICE, "address": "127.0.0.1:1"},
        {"service": 5, "address": None, "state": "ready", "born": "yesterday"},
    ],
)
async def test_entry_of_another_writer_names_no_upstream_and_the_others_serve(
    world: PlatformCluster, value: object
) -> None:
    world.put_entry("made-up", value)
    await world.add_upstream("p2", PLAIN_SERVICE, born=STARTS[0])
    await world.wait_until(lambda: world.hosts["h1"].upstreams_known == 3)
    answers = [await world.call("h1", "/book/x") for _ in range(6)]
    assert [answer.status for answer in answers] == [200] * 6


@pytest.mark.asyncio
async def test_report_of_another_start_is_not_taken_for_the_one_asked(
    world: PlatformCluster,
) -> None:
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=1000, idle_ms=1000)
    asker = PlatformUpstreams(pool=pool)
    earlier = _entry_of(world, "e1")
    assert isinstance(await asker.report(upstream=earlier), Success)
    await _restart(world, "e1", MODEL_SERVICE, STARTS[1])
    assert isinstance(await asker.report(upstream=earlier), Failure)
    assert isinstance(await asker.report(upstream=_entry_of(world, "e1")), Success)
    pool.close()


@pytest.mark.asyncio
async def test_idle_connections_to_a_start_that_is_over_are_not_used(
    world: PlatformCluster,
) -> None:
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=1000, idle_ms=60_000)
    asker = PlatformUpstreams(pool=pool)
    entry = _entry_of(world, "e1")
    await asker.report(upstream=entry)
    asker.forget(upstream=entry)
    await asker.report(upstream=entry)
    assert (pool.opened, pool.reused) == (2, 0)
    pool.close()
