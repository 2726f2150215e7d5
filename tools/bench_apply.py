"""Measures how long an accepted revision takes until it is in force on nine real hosts.

Run it with ``python -m tools.bench_apply``. The clock starts before the operator's first call to
the store and ends when the last host's status shows the revision; the hosts are asked every few
milliseconds. In a second run some hosts never reach the store and learn it from their peers.
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

HOSTS = 9
ROUNDS = 20
PAUSE_S = 0.002
WITHOUT_STORE = 3
NO_STORE = "http://127.0.0.1:9"
STORE_TIMEOUT_MS = 5000
PREFIX = "/tanagerscale"
MS_PER_SECOND = 1000


async def measure(*, without_store: int) -> dict[str, object]:
    """Apply again and again; return how long it took to be in force everywhere.

    :param without_store: How many of the hosts never reach the store.
    """
    with tempfile.TemporaryDirectory() as directory:
        plan = ClusterPlan(hosts=HOSTS, engines=1, services=0)
        async with (
            Cluster(plan=plan, directory=Path(directory)) as cluster,
            aiohttp.ClientSession() as session,
        ):
            for number in range(1, HOSTS + 1):
                store_url = NO_STORE if number <= without_store else ""
                await cluster.start_host(f"host-{number}", store_url=store_url)
            store = EtcdStore(
                endpoints=[cluster.store.url], timeout_ms=STORE_TIMEOUT_MS, clock=Clock()
            )
            times = [
                await _one_round(cluster=cluster, session=session, store=store, number=number)
                for number in range(1, ROUNDS + 1)
            ]
            await store.close()
    # The first revision finds hosts that are just starting.
    later = sorted(times[1:])
    return {
        "hosts": HOSTS,
        "without_store": without_store,
        "rounds": len(later),
        "median_ms": round(later[len(later) // 2], 1),
        "max_ms": round(later[-1], 1),
    }


async def _one_round(
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
            _until_in_force(session=session, url=cluster.caller_url(host), revision=revision)
            for host in cluster.hosts
        )
    )
    return (time.monotonic() - started) * MS_PER_SECOND


async def _until_in_force(*, session: aiohttp.ClientSession, url: str, revision: int) -> None:
    while True:
        async with session.get(f"{url}/v1/status") as reply:
            status = msgspec.json.decode(await reply.read(), type=HostStatus)
        if status.revision >= revision:
            return
        await asyncio.sleep(PAUSE_S)


if __name__ == "__main__":
    for count in (0, WITHOUT_STORE):
        print(json.dumps(asyncio.run(measure(without_store=count))))
