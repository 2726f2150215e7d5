"""Declarations over real processes: the command line, the store, hosts cut off and started late."""

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

PAUSE_S = 0.02
# Only keeps a failing test from hanging.
GUARD_S = 60
PLAN = ClusterPlan(engines=1, services=0)


async def _status(*, session: aiohttp.ClientSession, url: str) -> HostStatus:
    async with session.get(f"{url}/v1/status") as reply:
        return msgspec.json.decode(await reply.read(), type=HostStatus)


async def _until_in_force(
    *, cluster: Cluster, session: aiohttp.ClientSession, revision: int
) -> set[str]:
    """Wait until all hosts have a revision and are ready; return the digests they have."""
    async with asyncio.timeout(GUARD_S):
        while True:
            statuses = [
                await _status(session=session, url=cluster.caller_url(host))
                for host in cluster.hosts
            ]
            assert all(status.revision <= revision for status in statuses)
            if all(status.revision == revision and status.ready for status in statuses):
                return {status.digest for status in statuses}
            await asyncio.sleep(PAUSE_S)


def _with_stall_weight(declared: DeclarationSet, *, weight: float) -> DeclarationSet:
    objective = msgspec.structs.replace(declared.objective, stall_weight=weight)
    return msgspec.structs.replace(declared, objective=objective)


async def test_revision_reaches_all_hosts_when_one_has_no_store_and_then_none_has(
    start_cluster: StartCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_cluster(PLAN)
    async with TcpRelay(target=cluster.store.address) as relay:
        await cluster.start_host("host-1")
        await cluster.start_host("host-2")
        await cluster.start_host("host-3", store_url=f"http://{relay.address}")
        assert (await cluster.apply()).returncode == 0
        await _until_in_force(cluster=cluster, session=session, revision=1)
        relay.freeze()
        second = _with_stall_weight(cluster.declarations, weight=5)
        assert (await cluster.apply(declarations=second)).returncode == 0
        cluster.store.freeze()
        digests = await _until_in_force(cluster=cluster, session=session, revision=2)
        assert len(digests) == 1
        # Started while the store is away, it can know the head from its peers alone.
        await cluster.start_host("host-4")
        assert await _until_in_force(cluster=cluster, session=session, revision=2) == digests
        cluster.store.thaw()
        cluster.hosts["host-1"].freeze()
        third = _with_stall_weight(cluster.declarations, weight=7)
        assert (await cluster.apply(declarations=third)).returncode == 0
        cluster.hosts["host-1"].thaw()
        assert len(await _until_in_force(cluster=cluster, session=session, revision=3)) == 1


async def test_one_of_two_operators_is_refused_when_both_apply_at_once(
    start_cluster: StartCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_cluster(PLAN)
    await cluster.start_host("host-1")
    assert (await cluster.apply()).returncode == 0
    results = await asyncio.gather(
        *(
            _apply_from_first(cluster=cluster, author=author, weight=weight)
            for author, weight in (("ana", 5), ("bo", 7))
        )
    )
    assert sorted(result.returncode for result in results) == [0, 1]
    [refused] = [result for result in results if result.returncode == 1]
    assert "[objective] changed: stall_weight" in refused.errors
    await _until_in_force(cluster=cluster, session=session, revision=2)


async def _apply_from_first(*, cluster: Cluster, author: str, weight: float) -> CommandResult:
    path = cluster.directory / f"{author}.ini"
    declared = _with_stall_weight(cluster.declarations, weight=weight)
    write_declarations(path=path, declarations=declared)
    store = cluster.store.url
    return await cluster.command(
        "apply", str(path), "--store", store, "--author", author, "--expect", "1"
    )
