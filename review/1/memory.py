"""Late second answers of engines that leave, while hosts have their runs moved away."""

from __future__ import annotations

import asyncio
import itertools
import os
from pathlib import Path
from random import Random
import sys
import tempfile
import time

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_callers import CONFIGURATION
from stand_callers import MODELS
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
ENGINES = 4
LEAVING_ENGINES = 2
"""The engines that leave in turn; they are the faulty ones, half of all. The largest share of
servers in the site file is 0.6."""
EXTRA_SHARE = 0.03
"""Largest share of the answers of these servers in the site file."""
LEAVE_INTERVAL_S = 6.5
NOTICE_S = 1.9
BACK_S = 4.0
"""Engines leave each 3.3 s in the site file, with 1.5 to 2.1 s of notice; others come 4 s later."""
EVENT_MS = 28.0
"""Four tokens at the shortest step of the sheet."""
LONG_CLIENTS = 45
SHORT_CLIENTS = 16
LOAD_S = 88.0
DEADLINE_S = 114.0


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
            is_long = number < LONG_CLIENTS
            await callers.generate(
                host,
                caller,
                route="long" if is_long else "short",
                prompt=rng.randint(500, 700) if is_long else rng.randint(200, 400),
                most=rng.randint(800, 1200) if is_long else rng.randint(4, 12),
                body=f"prompt of {number}".encode(),
                own_part=f"{next(callers.numbers):x}",
            )
            await asyncio.sleep(rng.uniform(0.0, 0.1))
    finally:
        caller.close()


def find_foreign_event(call: Call) -> str:
    """Return the first event of an answer that comes from another request's run."""
    for line in call.response.body.decode().split("\n"):
        if line.startswith("data: ") and not line.startswith(f"data: {call.attempt}."):
            return line
    return ""


async def let_engines_leave(engines: list[Engine], world: World, notes: list[str]) -> None:
    """Have one engine after the other leave with a notice, and a new one come some time later."""

    async def leave(engine: Engine) -> None:
        notes.append(f"{world.now():.3f} engine {engine.id} is going to leave")
        await engine.leave(NOTICE_S)
        await asyncio.sleep(BACK_S - NOTICE_S)
        await engine.start()

    async with asyncio.TaskGroup() as group:
        for engine in itertools.cycle(engines):
            group.create_task(leave(engine))
            await asyncio.sleep(LEAVE_INTERVAL_S)


async def play(directory: Path) -> tuple[World, Callers, list[str]]:
    """Play the load and return the record."""
    seed = int(os.environ.get("SEED", time.time_ns() % 1_000_000))
    rng = Random(seed)
    store = Store()
    await store.start("127.0.0.1")
    store.put("op/config", CONFIGURATION)
    world = World(store)
    callers = Callers(world)
    engines: list[Engine] = []
    hosts: list[Host] = []
    notes = [f"seed {seed}"]
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
            if TROUBLE and number < LEAVING_ENGINES:
                engine.extra_share = EXTRA_SHARE
                engine.extras_when_leaving = True
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
        leaving = asyncio.create_task(let_engines_leave(engines[:LEAVING_ENGINES], world, notes))
        clients = [
            asyncio.create_task(run_client(number, hosts, callers, world, stop))
            for number in range(LONG_CLIENTS + SHORT_CLIENTS)
        ]
        while not stop.is_set() and not any(
            find_foreign_event(one) for one in callers.calls[-200:]
        ):
            await asyncio.sleep(0.2)
        for task in (leaving, *clients):
            task.cancel()
        await asyncio.gather(leaving, *clients, return_exceptions=True)
    finally:
        for host in hosts:
            await host.end()
        for engine in engines:
            await engine.stop()
        await store.stop()
    extras = sorted(one for engine in engines for one in engine.extras_sent)
    notes += [f"{at:.3f} {text}" for at, text in extras]
    notes += [
        f"{at:.3f} at engine {engine} request {attempt} is sent on with the copy of {other}"
        for at, engine, attempt, other in world.mixed
    ]
    return world, callers, notes


async def main() -> int:
    """Play the case, write the record and return the exit code."""
    with tempfile.TemporaryDirectory() as directory:
        async with asyncio.timeout(DEADLINE_S):
            world, callers, notes = await play(Path(directory))
    foreign = [(call, find_foreign_event(call)) for call in callers.calls]
    foreign = [(call, event) for call, event in foreign if event]
    notes += [
        f"{call.attempt} at {call.sent:.3f} MIXED: its stream has {event!r}; answered "
        f"{call.response.status}, {'whole' if call.response.complete else 'broken off'}"
        for call, event in foreign
    ]
    summary = (
        f"{len(callers.calls)} requests, {len(foreign)} streams with events of another request, "
        f"{len(world.mixed)} requests sent on with the copy of another one"
    )
    notes.append(summary)
    write_record(Path(__file__).with_name("record-memory.txt"), world, callers, notes)
    print(summary)
    served = sum(call.response.complete for call in callers.calls)
    if served < len(callers.calls) / 2:
        return NOT_RUN
    return BROKEN if foreign else HELD


if __name__ == "__main__":
    try:
        code = asyncio.run(main())
    except Exception as error:  # anything else means that the case could not run
        print(f"The case could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    sys.exit(code)
