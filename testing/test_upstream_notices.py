"""What upstreams say of themselves in their answers, with real hosts on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from standins.platform_engine import UpstreamEmulator
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster

FIRST_START_MS = 1_700_000_000_000
NEXT_START_MS = 1_700_000_010_000
TOKENS = (500, 2000)
PATHS = {PLAIN_SERVICE: ("/book/x", None), MODEL_SERVICE: ("/draft/x", TOKENS)}
CALLS = 8


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


async def _call(platform: PlatformCluster, service: str) -> str:
    """Send one call to a service and return the upstream that answered."""
    path, tokens = PATHS[service]
    answer = await platform.call("h1", path, tokens=tokens)
    assert (answer.status, answer.is_complete) == (200, True)
    return answer.headers["Tanagerscale-Server-Stamp"]


async def _call_until_answered_by(platform: PlatformCluster, name: str, service: str) -> None:
    async with asyncio.timeout(10):
        while await _call(platform, service) != name:
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
