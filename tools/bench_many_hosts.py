"""Measure message rates, traffic and delays by number of hosts, with real code in virtual time.

``PYTHONPATH=src:. python -m tools.bench_many_hosts`` prints a row for each number of hosts.
Generations are placed, start, stream and end at random hosts, at the rate of the larger
installation. In virtual time, messages, bytes, store calls and delays are measured, but not
processor time.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from testing._many_hosts import Fleet
from testing._many_hosts import Host
from testing._virtual_time import run_virtually

HOST_COUNTS: Final = (9, 30, 73, 195, 300, 390)
FAILURE_DOMAIN_COUNT: Final = 5
ENGINE_COUNT: Final = 31
ASKS_PER_S: Final = 28.0
ANSWER_DELAY_S: Final = 0.5
GENERATION_DURATION_S: Final = 5.0
WINDOW_S: Final = 10.0
PROBE_COUNT: Final = 20
POLL_INTERVAL_S: Final = 0.001


async def measure(count: int) -> str:
    """Return the table row for one number of hosts."""
    fleet = Fleet()
    await fleet.start(count=count, domains=FAILURE_DOMAIN_COUNT, engines=ENGINE_COUNT)
    rng = Random(1)
    load = asyncio.create_task(_run_load(fleet, rng))
    await asyncio.sleep(GENERATION_DURATION_S)
    messages_before, calls_before = fleet.received, _count_store_calls(fleet)
    member, coordinator = fleet.members[0], fleet.coordinators[0]
    traffic_before = {host: _get_traffic_bytes(host) for host in (member, coordinator)}
    await asyncio.sleep(WINDOW_S)
    message_rate = (fleet.received - messages_before) / count / WINDOW_S
    call_rate = (_count_store_calls(fleet) - calls_before) / WINDOW_S
    kilobytes = {
        host: (_get_traffic_bytes(host) - traffic_before[host]) / WINDOW_S / 1000
        for host in traffic_before
    }
    ask_ms = await _measure_ask_ms(fleet, rng)
    load.cancel()
    await asyncio.sleep(GENERATION_DURATION_S + 1)
    leaving_messages, leaving_ms = await _measure_leaving(fleet)
    return (
        f"{count:5}{message_rate:12.1f}{kilobytes[member]:11.2f}{kilobytes[coordinator]:11.2f}"
        f"{call_rate:9.1f}{ask_ms:8.0f}{leaving_messages:9}{leaving_ms:11.0f}"
    )


async def _run_load(fleet: Fleet, rng: Random) -> None:
    loop = asyncio.get_running_loop()
    number = 0
    while True:
        await asyncio.sleep(rng.expovariate(ASKS_PER_S))
        number += 1
        host, name = rng.choice(fleet.hosts), f"r{number}"
        ask_task = asyncio.create_task(host.ask(name, prompt=2500))
        loop.call_later(ANSWER_DELAY_S, _answer, host, name)
        loop.call_later(GENERATION_DURATION_S, _end, host, name, ask_task)


def _answer(host: Host, name: str) -> None:
    host.answer(name, tokens=2504)


def _end(host: Host, name: str, ask_task: asyncio.Task[object]) -> None:
    ask_task.cancel()
    host.work.end(request=RequestId(name))


async def _measure_ask_ms(fleet: Fleet, rng: Random) -> float:
    """Return the longest time until an ask was answered, in milliseconds."""
    durations_s = []
    loop = asyncio.get_running_loop()
    for number in range(PROBE_COUNT):
        host, name = rng.choice(fleet.hosts), f"probe{number}"
        start = loop.time()
        await host.ask(name, prompt=10, is_long=False)
        durations_s.append(loop.time() - start)
        host.work.end(request=RequestId(name))
    return max(durations_s) * 1000


async def _measure_leaving(fleet: Fleet) -> tuple[int, float]:
    """Return the messages and milliseconds needed until all hosts see an upstream as leaving."""
    before = fleet.received
    leaving_engine = UpstreamId("e0")
    fleet.set_engine(leaving_engine, state="leaving")
    wait_ms = await _measure_wait_ms(
        lambda: all(host.control.gate.is_leaving(leaving_engine) for host in fleet.hosts)
    )
    await asyncio.sleep(1)
    return fleet.received - before, wait_ms


async def _measure_wait_ms(condition: Callable[[], bool]) -> float:
    loop = asyncio.get_running_loop()
    start = loop.time()
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
    return (loop.time() - start) * 1000


def _get_traffic_bytes(host: Host) -> int:
    counters = host.control.mesh.counters
    return counters.received_bytes + counters.sent_bytes


def _count_store_calls(fleet: Fleet) -> int:
    calls = [host.store.calls for host in fleet.hosts]
    return sum(call.reads + call.writes + call.watches + call.leases for call in calls)


def main() -> None:
    """Print a row for each number of hosts."""
    print("hosts  messages/s  member KB/s first KB/s  calls/s  ask ms  leaving leaving ms")
    for host_count in HOST_COUNTS:
        print(run_virtually(measure(host_count)), flush=True)


if __name__ == "__main__":
    main()
