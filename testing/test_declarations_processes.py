"""Declarations with real processes: command line, store, and hosts without a store connection."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from standins.cluster_files import write_declarations
from standins.command_line import CommandResult
from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.tcp_relay import TcpRelay
from tanagerscale.generated.callers import HostStatus
from tanagerscale.generated.declarations import DeclarationSet
from testing.conftest import StartCluster

POLL_INTERVAL_S = 0.02
# Prevents a failing test from hanging.
TIMEOUT_S = 60
PLAN = ClusterPlan(engines=1, services=0)


async def _status(*, session: aiohttp.ClientSession, url: str) -> HostStatus:
    async with session.get(f"{url}/v1/status") as reply:
        return msgspec.json.decode(await reply.read(), type=HostStatus)


async def _wait_until_in_force(
    *, cluster: Cluster, session: aiohttp.ClientSession, revision: int
) -> set[str]:
    """Wait until a revision is in force on all hosts and they are ready; return their digests."""
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            statuses = [
                await _status(session=session, url=cluster.caller_url(host))
                for host in cluster.hosts
            ]
            assert all(status.revision <= revision for status in statuses)
            if all(status.revision == revision and status.ready for status in statuses):
                return {status.digest for status in statuses}
            await asyncio.sleep(POLL_INTERVAL_S)


def _replace_stall_weight(declared: DeclarationSet, *, weight: float) -> DeclarationSet:
    objective = msgspec.structs.replace(declared.objective, stall_weight=weight)
    return msgspec.structs.replace(declared, objective=objective)


async def test_revision_reaches_all_hosts_when_one_and_then_all_lose_the_store(
    start_cluster: StartCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_cluster(PLAN)
    async with TcpRelay(target=cluster.store.address) as relay:
        await cluster.start_host("host-1")
        await cluster.start_host("host-2")
        await cluster.start_host("host-3", store_url=f"http://{relay.address}")
        assert (await cluster.apply()).returncode == 0
        await _wait_until_in_force(cluster=cluster, session=session, revision=1)
        relay.freeze()
        second = _replace_stall_weight(cluster.declarations, weight=5)
        assert (await cluster.apply(declarations=second)).returncode == 0
        cluster.store.freeze()
        digests = await _wait_until_in_force(cluster=cluster, session=session, revision=2)
        assert len(digests) == 1
        # The store is unavailable, so the new host can receive the head only from its peers.
        await cluster.start_host("host-4")
        assert await _wait_until_in_force(cluster=cluster, session=session, revision=2) == digests
        cluster.store.resume()
        cluster.hosts["host-1"].freeze()
        third = _replace_stall_weight(cluster.declarations, weight=7)
        assert (await cluster.apply(declarations=third)).returncode == 0
        cluster.hosts["host-1"].resume()
        assert len(await _wait_until_in_force(cluster=cluster, session=session, revision=3)) == 1


async def test_one_of_two_concurrent_applies_is_refused(
    start_cluster: StartCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_cluster(PLAN)
    await cluster.start_host("host-1")
    assert (await cluster.apply()).returncode == 0
    results = await asyncio.gather(
        *(
            _apply_to_first_revision(cluster=cluster, author=author, weight=weight)
            for author, weight in (("ana", 5), ("bo", 7))
        )
    )
    assert sorted(result.returncode for result in results) == [0, 1]
    [refused] = [result for result in results if result.returncode == 1]
    assert "[objective] changed: stall_weight" in refused.errors
    await _wait_until_in_force(cluster=cluster, session=session, revision=2)


async def _apply_to_first_revision(
    *, cluster: Cluster, author: str, weight: float
) -> CommandResult:
    path = cluster.directory / f"{author}.ini"
    declared = _replace_stall_weight(cluster.declarations, weight=weight)
    write_declarations(path=path, declarations=declared)
    store = cluster.store.url
    return await cluster.command(
        "apply", str(path), "--store", store, "--author", author, "--expect", "1"
    )
