"""Measures latency and processor time of delegated requests beside those that are sent directly.

Run as ``python -m tools.bench_delegation REQUESTS``.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from statistics import mean
from statistics import quantiles
import sys
from tempfile import mkdtemp
from time import perf_counter

from standins.platform_fault_log import FaultLog
from standins.platform_hosts import PlatformHostProcess
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from standins.upstream_link import CutKind
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock

HOSTS = ("h0", "h1", "h2")
UPSTREAMS = 3
WARMUP_REQUESTS = 50
DETECTION_S = 3.0


def _processor_ms(process: PlatformHostProcess) -> float:
    """Return the processor time that a host has used, in milliseconds."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    return ticks * MS_PER_SECOND / os.sysconf("SC_CLK_TCK")


async def _measure(
    cluster: PlatformCluster, processes: list[PlatformHostProcess], label: str, requests: int
) -> None:
    """Send requests to the first host, and print their latency and the hosts' processor time."""
    for _ in range(WARMUP_REQUESTS):
        await cluster.call(HOSTS[0], "/book/x")
    before = [_processor_ms(process) for process in processes]
    took_ms = []
    served = 0
    for _ in range(requests):
        started = perf_counter()
        answer = await cluster.call(HOSTS[0], "/book/x")
        took_ms.append((perf_counter() - started) * MS_PER_SECOND)
        served += answer.status == 200
    used = [_processor_ms(process) - one for process, one in zip(processes, before, strict=True)]
    print(
        f"{label}: {served} of {requests} served, mean {mean(took_ms):.2f} ms, "
        f"95 in 100 within {quantiles(took_ms, n=20)[-1]:.2f} ms; processor time for each request: "
        f"own host {used[0] / requests:.2f} ms, others {sum(used[1:]) / requests:.2f} ms"
    )


async def run(*, requests: int) -> None:
    """Measure both ways in one run.

    :param requests: Number of requests for each way.
    """
    directory, cluster, fault_log = Path(mkdtemp()), PlatformCluster(has_links=True), FaultLog()
    await cluster.start()
    processes: list[PlatformHostProcess] = []
    seeds: tuple[str, ...] = ()
    try:
        for number in range(UPSTREAMS):
            await cluster.add_upstream(f"{PLAIN_SERVICE}-{number}", PLAIN_SERVICE)
        for name in HOSTS:
            settings = await cluster.make_settings(name, seeds=seeds, stop_grace_s=4)
            seeds = (*seeds, settings.host.peers)
            process = PlatformHostProcess(
                name=name, settings=settings, directory=directory, fault_log=fault_log
            )
            processes.append(process)
            await process.start()
        await asyncio.gather(*(process.wait_until_ready() for process in processes))
        await _measure(cluster, processes, "direct", requests)
        cluster.cut_off(HOSTS[0], CutKind.RESET)
        for _ in range(WARMUP_REQUESTS):
            await cluster.call(HOSTS[0], "/book/x")
        await Clock().sleep(int(DETECTION_S * MS_PER_SECOND))
        await _measure(cluster, processes, "delegated", requests)
        cluster.heal(HOSTS[0])
        await Clock().sleep(int(DETECTION_S * MS_PER_SECOND))
        await _measure(cluster, processes, "direct again", requests)
    finally:
        await asyncio.gather(*(process.end() for process in processes))
        for link in cluster.store_links.values():
            await link.__aexit__()
        await cluster.stop()


if __name__ == "__main__":
    asyncio.run(run(requests=int(sys.argv[1]) if len(sys.argv) > 1 else 1000))
