"""Measure the store calls and claim latency of bookings against the stand-in store over HTTP.

Run as ``PYTHONPATH=src:. python tools/bench_claims.py``; everything runs in one process over
loopback.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import random
import statistics

import aiohttp
from aiohttp import web
import fire

from standins.store import StoreServer
from tanagerscale.claims import ClaimKey
from tanagerscale.claims import ClaimOutcome
from tanagerscale.claims import Claims
from tanagerscale.claims import Granted
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import ServiceId
from tanagerscale.generated.records import ClaimState
from tanagerscale.store import EtcdStore

CLAIM_TTL_S = 86_400
SERVICE_TIME_MS = 20
RESPONSE_BODY = b'{"crew": 7, "building": "library"}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Load of one measurement.

    :param rate: Bookings per second across all hosts.
    :param hosts: Number of hosts; bookings are distributed evenly.
    :param count: Total number of bookings.
    """

    rate: float
    hosts: int
    count: int


async def _run_booking(claims: Claims, booking_key: str, waits_ms: list[float]) -> None:
    loop = asyncio.get_running_loop()
    key = ClaimKey(
        account=ClientAccountId("office"), service=ServiceId("booking"), idempotency_key=booking_key
    )
    start = loop.time()
    claim = (await claims.claim(key=key, request_digest="d", ttl_s=CLAIM_TTL_S)).unwrap()
    waits_ms.append((loop.time() - start) * MS_PER_SECOND)
    if not isinstance(claim, Granted):
        raise RuntimeError(
            "claim of a new key was not granted; the store must be empty at the start"
        )
    await asyncio.sleep(SERVICE_TIME_MS / MS_PER_SECOND)
    claims.settle(
        claim=claim, outcome=ClaimOutcome(state=ClaimState.DONE, status=201, body=RESPONSE_BODY)
    )


async def _measure(load: Load, *, seed: int) -> None:
    runner = web.AppRunner(StoreServer().app())
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    url = f"http://127.0.0.1:{runner.addresses[0][1]}"
    clock = Clock()
    stores = [EtcdStore(endpoints=[url], timeout_ms=1000, clock=clock) for _ in range(load.hosts)]
    hosts = [
        Claims(
            store=store,
            prefix="/bench",
            host=HostId(f"h{number}"),
            incarnation=1,
            clock=clock,
            rng=random.Random(f"{seed}-{number}"),
            is_live=lambda _host, _incarnation: True,
        )
        for number, store in enumerate(stores)
    ]
    await asyncio.gather(
        *(_run_booking(claims, f"warm-up-{i}", []) for i, claims in enumerate(hosts))
    )
    await asyncio.gather(*(claims.drain() for claims in hosts))
    writes_before = await _get_write_count(url)
    waits_ms: list[float] = []
    rng = random.Random(seed)
    tasks = []
    loop = asyncio.get_running_loop()
    next_arrival = start = loop.time()
    for number in range(load.count):
        next_arrival += rng.expovariate(load.rate)
        await asyncio.sleep(max(next_arrival - loop.time(), 0))
        tasks.append(
            asyncio.create_task(_run_booking(hosts[number % load.hosts], f"b{number}", waits_ms))
        )
    await asyncio.gather(*tasks)
    await asyncio.gather(*(claims.drain() for claims in hosts))
    elapsed_s = loop.time() - start
    write_count = await _get_write_count(url) - writes_before
    waits_ms.sort()
    print(
        f"{load.rate:6.0f}/s over {load.hosts} hosts, {load.count} bookings: "
        f"{write_count / load.count:.2f} store calls a booking, "
        f"{write_count / elapsed_s:.0f} calls/s, "
        f"claim wait median {statistics.median(waits_ms):.1f} ms, "
        f"p99 {waits_ms[int(len(waits_ms) * 0.99)]:.1f} ms"
    )
    for claims, store in zip(hosts, stores, strict=True):
        await claims.close()
        await store.close()
    await runner.cleanup()


async def _get_write_count(url: str) -> int:
    async with aiohttp.ClientSession() as session, session.get(url + "/admin/stats") as response:
        return int((await response.json())["writes"])


def main(seed: int = 1) -> None:
    """Print one line for each load.

    :param seed: Seed of the random arrival times.
    """
    loads = (
        Load(rate=1, hosts=1, count=10),
        Load(rate=50, hosts=1, count=500),
        Load(rate=400, hosts=1, count=4000),
        Load(rate=50, hosts=9, count=500),
        Load(rate=400, hosts=9, count=4000),
    )
    for load in loads:
        asyncio.run(_measure(load, seed=seed))


if __name__ == "__main__":
    fire.Fire(main)
