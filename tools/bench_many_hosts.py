"""What hosts take in and how soon they know, by their number: real meshes and news in virtual time.

``PYTHONPATH=src:. python -m tools.bench_many_hosts`` prints a row for each number of hosts.
Generations begin, answer and end at random hosts and engines, at the rate of the larger grown
installation. Virtual time counts messages, bytes and delays; it says nothing of processor time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from testing._many_hosts import Host
from testing._many_hosts import received_by
from testing._many_hosts import start_hosts
from testing._virtual_time import run_virtually

SIZES: Final = (9, 17, 40, 78)
DOMAINS: Final = 4
ENGINES: Final = 22
BEGINS_PER_S: Final = 29.0
ANSWERS_AFTER_S: Final = 0.5
LASTS_S: Final = 5.0
WINDOW_S: Final = 10.0
PROBES: Final = 20
PROBE_ENGINE: Final = UpstreamId("probe")
STEP_S: Final = 0.001


async def measure(count: int) -> str:
    """Return the row of one size."""
    hosts = await start_hosts(count=count, domains=DOMAINS)
    rng = Random(1)
    load = asyncio.create_task(_load(hosts, rng))
    await asyncio.sleep(LASTS_S)
    messages = received_by(hosts)
    volume = _bytes_of(hosts)
    await asyncio.sleep(WINDOW_S)
    per_host_s = count * WINDOW_S
    message_rate = (received_by(hosts) - messages) / per_host_s
    kilobytes = (_bytes_of(hosts) - volume) / per_host_s / 1000
    begin_ms, end_ms = await _probe(hosts, rng)
    load.cancel()
    await asyncio.sleep(LASTS_S + 1)
    leaving = await _leaving_cost(hosts)
    return (
        f"{count:5}{message_rate:12.1f}{kilobytes:8.2f}{begin_ms:10.0f}{end_ms:10.0f}{leaving:10}"
    )


async def _load(hosts: list[Host], rng: Random) -> None:
    loop = asyncio.get_running_loop()
    number = 0
    while True:
        await asyncio.sleep(rng.expovariate(BEGINS_PER_S))
        number += 1
        host, name = rng.choice(hosts), f"r{number}"
        host.begin(name, upstream=UpstreamId(f"e{rng.randrange(ENGINES)}"))
        loop.call_later(ANSWERS_AFTER_S, _answer, host, name)
        loop.call_later(LASTS_S, _end, host, name)


def _answer(host: Host, name: str) -> None:
    host.work.progress(request=RequestId(name), tokens=14)


def _end(host: Host, name: str) -> None:
    host.work.end(request=RequestId(name))


async def _probe(hosts: list[Host], rng: Random) -> tuple[float, float]:
    """Return the longest time until all hosts knew of a begin and of an end, in milliseconds."""
    begins, ends = [], []
    for number in range(PROBES):
        host, name = rng.choice(hosts), f"probe{number}"
        host.begin(name, upstream=PROBE_ENGINE)
        begins.append(await _until(lambda: all(one.waiting_at(PROBE_ENGINE) for one in hosts)))
        host.work.end(request=RequestId(name))
        ends.append(await _until(lambda: not any(one.waiting_at(PROBE_ENGINE) for one in hosts)))
    return max(begins), max(ends)


async def _until(holds: Callable[[], bool]) -> float:
    loop = asyncio.get_running_loop()
    began = loop.time()
    while not holds():
        await asyncio.sleep(STEP_S)
    return (loop.time() - began) * 1000


async def _leaving_cost(hosts: list[Host]) -> int:
    """Return how many messages it takes that all hosts see an upstream leave."""
    before = received_by(hosts)
    for host in hosts:
        host.gate.note_leaving(upstream=PROBE_ENGINE, incarnation=1)
    await asyncio.sleep(1)
    return received_by(hosts) - before


def _bytes_of(hosts: list[Host]) -> int:
    return sum(host.mesh.counters.received_bytes for host in hosts)


def main() -> None:
    """Print a row for each size."""
    print("hosts  messages/s    KB/s  begin ms    end ms   leaving")
    for size in SIZES:
        print(run_virtually(measure(size)), flush=True)


if __name__ == "__main__":
    main()
