"""Measure the time until an accepted revision is in force on nine real hosts.

Run it with ``python -m tools.bench_apply``. The time is measured from before the operator's first
call to the store until the status of the last host shows the revision; hosts are polled every few
milliseconds. In a second run, some hosts cannot reach the store and get the revision from peers.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
import tempfile
import time

import aiohttp
import msgspec
from returns.result import Success

from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from tanagerscale.core import Clock
from tanagerscale.core import new_id
from tanagerscale.declarations import publish
from tanagerscale.generated.callers import HostStatus
from tanagerscale.store import EtcdStore

HOST_COUNT = 9
ROUND_COUNT = 20
POLL_INTERVAL_S = 0.002
HOSTS_WITHOUT_STORE = 3
UNREACHABLE_STORE_URL = "http://127.0.0.1:9"
STORE_TIMEOUT_MS = 5000
PREFIX = "/tanagerscale"
MS_PER_SECOND = 1000


async def measure(*, hosts_without_store: int) -> dict[str, object]:
    """Apply revisions repeatedly; return statistics of the time until each is in force everywhere.

    :param hosts_without_store: Number of hosts that cannot reach the store.
    """
    with tempfile.TemporaryDirectory() as directory:
        plan = ClusterPlan(hosts=HOST_COUNT, engines=1, services=0)
        async with (
            Cluster(plan=plan, directory=Path(directory)) as cluster,
            aiohttp.ClientSession() as session,
        ):
            for number in range(1, HOST_COUNT + 1):
                store_url = UNREACHABLE_STORE_URL if number <= hosts_without_store else ""
                await cluster.start_host(f"host-{number}", store_url=store_url)
            store = EtcdStore(
                endpoints=[cluster.store.url], timeout_ms=STORE_TIMEOUT_MS, clock=Clock()
            )
            times_ms = [
                await _measure_round(cluster=cluster, session=session, store=store, number=number)
                for number in range(1, ROUND_COUNT + 1)
            ]
            await store.close()
    # The first round is left out because the hosts are still starting.
    sorted_ms = sorted(times_ms[1:])
    return {
        "hosts": HOST_COUNT,
        "without_store": hosts_without_store,
        "rounds": len(sorted_ms),
        "median_ms": round(sorted_ms[len(sorted_ms) // 2], 1),
        "max_ms": round(sorted_ms[-1], 1),
    }


async def _measure_round(
    *, cluster: Cluster, session: aiohttp.ClientSession, store: EtcdStore, number: int
) -> float:
    declared = cluster.declarations
    objective = msgspec.structs.replace(declared.objective, stall_weight=float(number))
    started = time.monotonic()
    accepted = await publish(
        store=store,
        prefix=PREFIX,
        declarations=msgspec.structs.replace(declared, objective=objective),
        author="bench",
        apply_id=new_id(prefix="apply"),
        clock=Clock(),
        expected_revision=None,
    )
    assert isinstance(accepted, Success)
    revision = accepted.unwrap().revision
    await asyncio.gather(
        *(
            _wait_until_in_force(session=session, url=cluster.caller_url(host), revision=revision)
            for host in cluster.hosts
        )
    )
    return (time.monotonic() - started) * MS_PER_SECOND


async def _wait_until_in_force(*, session: aiohttp.ClientSession, url: str, revision: int) -> None:
    while True:
        async with session.get(f"{url}/v1/status") as reply:
            status = msgspec.json.decode(await reply.read(), type=HostStatus)
        if status.revision >= revision:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


if __name__ == "__main__":
    for count in (0, HOSTS_WITHOUT_STORE):
        print(json.dumps(asyncio.run(measure(hosts_without_store=count))))
