"""Late second answers of engines that stay, while hosts have runs copied between engines."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from random import Random
import sys
import tempfile
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_callers import CONFIGURATION
from stand_callers import MODELS
from stand_callers import PROMISES
from stand_callers import Call
from stand_callers import Callers
from stand_callers import write_record
from stand_engines import Engine
from stand_engines import World
from stand_hosts import Host
from stand_hosts import make_hosts
from stand_http1 import Caller
from stand_store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["zone-a", "zone-b"]
ENGINES = 5
FAULTY_ENGINES = 3
"""Three of five: the largest share of servers in the site file is 0.6."""
STRIKE_S = 5.0
STRIKE_PAUSE_S = 0.5
"""Each strike lasts as long as the longest of this kind in the site file."""
EXTRA_SHARE = 0.03
"""Largest share of the answers of these servers in the site file."""
EVENT_MS = 28.0
"""Four tokens at the shortest step of the sheet."""
CLIENTS = 50
LONG_SHARE = 0.4
LOAD_S = 85.0
DEADLINE_S = 112.0


async def run_client(
    number: int, hosts: list[Host], callers: Callers, world: World, stop: asyncio.Event
) -> None:
    """Send one request after the other on a kept connection."""
    rng = Random(number)
    # The platform selects a machine by a hash of the client, so that the shares are uneven.
    host = hosts[number % 5 == 0]
    caller = Caller(host.front)
    try:
        while not stop.is_set():
            is_long = rng.random() < LONG_SHARE
            call = await callers.generate(
                host,
                caller,
                route="long" if is_long else "short",
                prompt=rng.randint(900, 1300) if is_long else rng.randint(400, 1600),
                most=800 if is_long else rng.randint(4, 12),
                body=f"prompt of {number}".encode(),
                own_part=f"{next(callers.numbers):x}",
            )
            if find_break(call, world):
                stop.set()
            await asyncio.sleep(rng.uniform(0.0, 0.1))
    finally:
        caller.close()


async def strike(engines: list[Engine]) -> None:
    """Have engines answer twice for some seconds, again and again."""
    while True:
        for engine in engines:
            engine.extra_share = EXTRA_SHARE
        await asyncio.sleep(STRIKE_S)
        for engine in engines:
            engine.extra_share = 0.0
        await asyncio.sleep(STRIKE_PAUSE_S)


def find_break(call: Call, world: World) -> str:
    """Return how a whole answer breaks MIXED or REFUSED; the empty string if it doesn't."""
    response = call.response
    has_stamp = "tanagerscale-server-stamp" in response.headers
    if not response.complete or has_stamp:
        return ""
    found = []
    if 200 <= response.status < 300:
        found.append("MIXED: a success without an engine's stamp")
    if response.headers.get("content-type") == "application/json":
        found.append("MIXED: the answer belongs to a copy order that the host sent to an engine")
    if response.status in PROMISES and world.runs_of(call.attempt):
        found.append("REFUSED: a request was answered as not run, and ran")
    return "; ".join(found)


def find_foreign_head(call: Call) -> str:
    """Return how an answer that broke off breaks MIXED."""
    response = call.response
    is_success = 200 <= response.status < 300
    if response.complete or not is_success or "tanagerscale-server-stamp" in response.headers:
        return ""
    return "MIXED: the head of a success without an engine's stamp; the answer broke off"


async def play(directory: Path) -> tuple[World, Callers, list[str]]:
    """Play the load and return the record."""
    seed = int(os.environ.get("SEED", time.time_ns() % 1_000_000))
    rng = Random(seed)
    store = Store()
    await store.start("127.0.0.1")
    store.put("op/config", CONFIGURATION)
    world = World(store)
    callers = Callers(world)
    engines = []
    hosts: list[Host] = []
    try:
        for number in range(ENGINES):
            engine = Engine(
                world,
                service=MODELS,
                zone=ZONES[number % len(ZONES)],
                ip="127.0.0.1",
                is_model=True,
                event_ms=EVENT_MS,
            )
            engine.rng = Random(seed + number)
            # Outputs have any length up to the most that a request allows, unknown ahead.
            engine.pick_events = lambda most, rng=engine.rng: min(most, rng.randint(13, 26))
            await engine.start()
            engines.append(engine)
        hosts = make_hosts(
            subnet=f"127.{rng.randrange(10, 250)}.{rng.randrange(1, 250)}",
            zones=ZONES,
            store=store.address,
            directory=directory,
            per_zone=1,
        )
        await asyncio.gather(*(host.start() for host in hosts))
        await asyncio.gather(*(host.wait_ready() for host in hosts))
        await asyncio.sleep(3)
        stop = asyncio.Event()
        asyncio.get_running_loop().call_later(LOAD_S, stop.set)
        strikes = asyncio.create_task(strike(engines[:FAULTY_ENGINES] if TROUBLE else []))
        await asyncio.gather(
            *(run_client(number, hosts, callers, world, stop) for number in range(CLIENTS))
        )
        strikes.cancel()
    finally:
        for host in hosts:
            await host.end()
        for engine in engines:
            await engine.stop()
        await store.stop()
    extras = sorted(one for engine in engines for one in engine.extras_sent)
    notes = [f"seed {seed}", *(f"{at:.3f} {text}" for at, text in extras)]
    return world, callers, notes


async def main() -> int:
    """Play the case, write the record and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        async with asyncio.timeout(DEADLINE_S):
            world, callers, notes = await play(Path(directory))
    broken = [(call, find_break(call, world)) for call in callers.calls]
    broken = [(call, found) for call, found in broken if found]
    heads = [call for call in callers.calls if find_foreign_head(call)]
    notes += [f"{call.attempt} at {call.sent:.3f} {found}" for call, found in broken]
    notes += [f"{call.attempt} at {call.sent:.3f} {find_foreign_head(call)}" for call in heads]
    summary = (
        f"{len(callers.calls)} requests, {len(broken)} whole answers that belong to something "
        f"else, {len(heads)} heads of such answers"
    )
    notes.append(summary)
    write_record(Path(__file__).with_name("record.txt"), world, callers, notes)
    print(summary)
    served = sum(call.response.complete for call in callers.calls)
    if served < len(callers.calls) / 2:
        return NOT_RUN
    return BROKEN if broken or heads else HELD


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as error:  # anything else means that the case could not run
        print(f"The case could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
