"""Failures that a soak run inflicts on a cluster, one after the other and overlapping."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random
from typing import final

import aiohttp
from msgspec import Struct

from standins._engine_types import ExecutionReports
from standins._engine_types import OutOfMemoryRequest
from standins._engine_types import StreamFault
from standins._engine_types import StreamFaultMode
from standins.launcher import Cluster
from standins.processes import ManagedProcess
from standins.service import ServiceFault
from standins.service import ServiceFaultMode
from standins.store import Fault
from standins.store import FaultMode
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import ListedState

FEWEST_ENGINES = 3
FEWEST_HOSTS = 3
FEWEST_SERVICES = 2
PAUSE_MS = (200, 2_000)
OUTAGE_MS = (500, 6_000)
LEARN_MS = 3_500
"""After this time, the list's lag included, a leaving engine gets no new work."""
LEAVING_MS = (1_000, 4_000)
STREAM_FAULTS = (
    StreamFaultMode.CUT,
    StreamFaultMode.DROP_END_MARKER,
    StreamFaultMode.CROSS,
    StreamFaultMode.GAP,
    StreamFaultMode.OVERLAP,
    StreamFaultMode.STALL,
    StreamFaultMode.GARBAGE,
)
SERVICE_FAULTS = (
    ServiceFaultMode.FAIL_AFTER,
    ServiceFaultMode.CUT_BEFORE,
    ServiceFaultMode.CUT_AFTER,
    ServiceFaultMode.HANG_AFTER,
)
STORE_FAULTS = (FaultMode.DOWN, FaultMode.HANG, FaultMode.LOSE_REPLY)


@final
class Disturbances:
    """Inflicts failures chosen by a seeded generator, and mends them again.

    :param cluster: The victim.
    :param rng: Chooses.
    :param say: Tells people what happens.
    """

    def __init__(self, *, cluster: Cluster, rng: Random, say: Callable[[str], None]) -> None:
        self._cluster = cluster
        self._rng = rng
        self._say = say
        self._clock = Clock()
        self._busy: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._hosts = cluster.plan.hosts
        self.done: list[str] = []

    async def run_forever(self) -> None:
        """Inflict one failure after the other; they overlap."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_engine,
            self._freeze_engine,
            self._kill_host,
            self._freeze_host,
            self._stop_host,
            self._fail_store,
            self._kill_service,
            self._fail_service,
            self._leave,
            self._fail_stream,
            self._fail_stream,
            self._fail_stream,
            self._lose_memory,
        ]
        while True:
            await self._clock.sleep(self._rng.randint(*PAUSE_MS))
            task = asyncio.ensure_future(self._rng.choice(kinds)())
            self._tasks.add(task)
            task.add_done_callback(self._end)

    async def mend(self) -> None:
        """Wait until all failures under way are mended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._note(f"THIS FAILURE FAILED: {error!r}")

    async def _kill_engine(self) -> None:
        name = self._take(self._cluster.engines, FEWEST_ENGINES)
        if name is not None:
            self._note(f"kill {name}")
            await self._cluster.engines[name].kill()
            await self._pause()
            await self._cluster.start_engine(name)
            self._busy.discard(name)

    async def _freeze_engine(self) -> None:
        await self._freeze(self._cluster.engines, FEWEST_ENGINES)

    async def _freeze_host(self) -> None:
        await self._freeze(self._cluster.hosts, FEWEST_HOSTS)

    async def _kill_host(self) -> None:
        name = self._take(self._cluster.hosts, FEWEST_HOSTS)
        if name is not None:
            self._note(f"kill {name}")
            await self._cluster.hosts[name].kill()
            await self._replace_host(name)

    async def _stop_host(self) -> None:
        name = self._take(self._cluster.hosts, FEWEST_HOSTS)
        if name is not None:
            self._note(f"planned stop of {name}")
            await self._cluster.list_state(name, ListedState.LEAVING)
            code = await self._cluster.hosts[name].stop()
            if code:
                self._note(f"BAD EXIT of {name}: {code}")
            await self._replace_host(name)

    async def _replace_host(self, name: str) -> None:
        await self._pause()
        del self._cluster.hosts[name]
        await self._cluster.unlist(name)
        self._hosts += 1
        await self._cluster.start_host(f"host-{self._hosts}")
        self._busy.discard(name)

    async def _fail_store(self) -> None:
        if "store" in self._busy:
            return
        self._busy.add("store")
        mode = self._rng.choice(STORE_FAULTS)
        self._note(f"store {mode.value}")
        await self._post(self._cluster.store, Fault(mode=mode))
        await self._pause()
        await self._post(self._cluster.store, Fault())
        self._busy.discard("store")

    async def _kill_service(self) -> None:
        name = self._take(self._cluster.services, FEWEST_SERVICES)
        if name is not None:
            self._note(f"kill {name}")
            await self._cluster.services[name].kill()
            await self._pause()
            await self._cluster.start_service(name)
            self._busy.discard(name)

    async def _fail_service(self) -> None:
        name = self._take(self._cluster.services, 0)
        if name is not None:
            mode = self._rng.choice(SERVICE_FAULTS)
            self._note(f"{name} {mode.value}")
            fault = ServiceFault(mode=mode, count=self._rng.randint(1, 3))
            await self._post(self._cluster.services[name], fault)
            self._busy.discard(name)

    async def _leave(self) -> None:
        name = self._take(self._cluster.engines, FEWEST_ENGINES)
        if name is not None:
            self._note(f"{name} leaves")
            await self._cluster.list_state(name, ListedState.LEAVING)
            await self._clock.sleep(LEARN_MS)
            before = await self._received(name)
            await self._clock.sleep(self._rng.randint(*LEAVING_MS))
            after = await self._received(name)
            if before is not None and after is not None and after != before:
                self._note(f"NEW WORK for {name}, which is leaving: {sorted(after - before)}")
            # A reclaimed engine ends whether or not its answers have.
            await self._cluster.engines[name].kill()
            await self._cluster.start_engine(name)
            self._busy.discard(name)

    async def _received(self, name: str) -> set[str] | None:
        engine = self._cluster.engines[name]
        try:
            reports = await self._cluster.get(engine, "/admin/executions", ExecutionReports)
        except aiohttp.ClientError:
            # A request may have crashed it meanwhile.
            return None
        return {report.attempt_id for report in reports.executions}

    async def _fail_stream(self) -> None:
        name = self._take(self._cluster.engines, 0)
        if name is not None:
            mode = self._rng.choice(STREAM_FAULTS)
            self._note(f"{name} {mode.value}")
            fault = StreamFault(mode=mode, count=2, at=self._rng.randint(0, 20))
            await self._post(self._cluster.engines[name], fault)
            self._busy.discard(name)

    async def _lose_memory(self) -> None:
        name = self._take(self._cluster.engines, 0)
        if name is not None:
            self._note(f"{name} out of memory")
            body = OutOfMemoryRequest(fail=self._rng.random() < 0.5)
            await self._post(self._cluster.engines[name], body, "/admin/oom")
            self._busy.discard(name)

    async def _freeze(self, group: dict[str, ManagedProcess], fewest: int) -> None:
        name = self._take(group, fewest)
        if name is not None:
            self._note(f"freeze {name}")
            group[name].freeze()
            await self._pause()
            group[name].thaw()
            self._busy.discard(name)

    def _take(self, group: dict[str, ManagedProcess], fewest: int) -> str | None:
        free = sorted(name for name in group if name not in self._busy)
        if len(free) <= fewest:
            return None
        name = self._rng.choice(free)
        self._busy.add(name)
        return name

    async def _pause(self) -> None:
        await self._clock.sleep(self._rng.randint(*OUTAGE_MS))

    async def _post(
        self, process: ManagedProcess, body: Struct, path: str = "/admin/fault"
    ) -> None:
        try:
            await self._cluster.post(process, path, body)
        except aiohttp.ClientError as error:
            self._note(f"{process.name} took no {path}: {error!r}")

    def _note(self, text: str) -> None:
        self.done.append(text)
        self._say(text)
