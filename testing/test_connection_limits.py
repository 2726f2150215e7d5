"""Connections that all hosts together open to one upstream."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from standins.platform_engine import UpstreamBehavior
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from standins.platform_world import configuration

MAX_CONNECTIONS = 12
HOSTS = ("h1", "h2", "h3")
CALLS_PER_HOST = 8


@pytest_asyncio.fixture
async def platform() -> AsyncIterator[PlatformCluster]:
    """Start a platform with three hosts and one plain upstream that accepts few connections."""
    created = PlatformCluster()
    await created.start()
    services = [{"name": PLAIN_SERVICE, "maxConnections": MAX_CONNECTIONS}]
    created.configure(configuration(version=2, services=services))
    await created.add_upstream("p1", PLAIN_SERVICE)
    seeds: tuple[str, ...] = ()
    for name in HOSTS:
        await created.add_host(name, seeds=seeds)
        seeds = (*seeds, created.peers_address(name))
    await created.wait_until(
        lambda: all(host.ready and host.known_upstreams for host in created.hosts.values())
    )
    yield created
    await created.stop()


# Each host opens as many connections as it has requests, and an upstream resets those beyond its
# limit.
@pytest.mark.asyncio
async def test_hosts_together_open_no_more_connections_than_an_upstream_accepts(
    platform: PlatformCluster,
) -> None:
    upstream = platform.upstreams["p1"]
    upstream.behavior = UpstreamBehavior.HANGS
    calls = [
        asyncio.create_task(platform.call(host, "/read/x", method="GET"))
        for host in HOSTS
        for _ in range(CALLS_PER_HOST)
    ]
    await asyncio.sleep(0.5)
    opened = sum(not transport.is_closing() for transport in upstream._transports)
    for call in calls:
        call.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    assert 0 < opened <= MAX_CONNECTIONS
