"""Measure the store calls of bookings against the stand-in store over HTTP.

Run as ``PYTHONPATH=src:. python tools/bench_claims.py``; all in one process on the loopback
address.
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

TTL_S = 86_400
SERVICE_MS = 20
ANSWER = b'{"crew": 7, "building": "library"}'


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """One measurement.

    :param rate: Bookings a second over all hosts.
    :param hosts: Hosts that share them evenly.
    :param count: Bookings in all.
    """

    rate: float
    hosts: int
    count: int


async def _book(claims: Claims, name: str, waits: list[float]) -> None:
    loop = asyncio.get_running_loop()
    key = ClaimKey(
        account=ClientAccountId("office"), service=ServiceId("booking"), idempotency_key=name
    )
    began = loop.time()
    claim = (await claims.claim(key=key, request_digest="d", ttl_s=TTL_S)).unwrap()
    waits.append((loop.time() - began) * MS_PER_SECOND)
    if not isinstance(claim, Granted):
        raise RuntimeError("a fresh key was not granted; start with an empty store")
    await asyncio.sleep(SERVICE_MS / MS_PER_SECOND)
    claims.settle(claim=claim, outcome=ClaimOutcome(state=ClaimState.DONE, status=201, body=ANSWER))


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
    await asyncio.gather(*(_book(claims, f"warm-up-{i}", []) for i, claims in enumerate(hosts)))
    await asyncio.gather(*(claims.drain() for claims in hosts))
    before = await _writes(url)
    waits: list[float] = []
    rng = random.Random(seed)
    tasks = []
    loop = asyncio.get_running_loop()
    due = began = loop.time()
    for number in range(load.count):
        due += rng.expovariate(load.rate)
        await asyncio.sleep(max(due - loop.time(), 0))
        tasks.append(asyncio.create_task(_book(hosts[number % load.hosts], f"b{number}", waits)))
    await asyncio.gather(*tasks)
    await asyncio.gather(*(claims.drain() for claims in hosts))
    seconds = loop.time() - began
    calls = await _writes(url) - before
    waits.sort()
    print(
        f"{load.rate:6.0f}/s over {load.hosts} hosts, {load.count} bookings: "
        f"{calls / load.count:.2f} store calls a booking, {calls / seconds:.0f} calls/s, "
        f"claim wait median {statistics.median(waits):.1f} ms, "
        f"p99 {waits[int(len(waits) * 0.99)]:.1f} ms"
    )
    for claims, store in zip(hosts, stores, strict=True):
        await claims.close()
        await store.close()
    await runner.cleanup()


async def _writes(url: str) -> int:
    async with aiohttp.ClientSession() as session, session.get(url + "/admin/stats") as response:
        return int((await response.json())["writes"])


def main(seed: int = 1) -> None:
    """Print one line for each load.

    :param seed: Seeds the arrivals.
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
