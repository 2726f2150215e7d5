"""Fault injection for the soak run: failures start one after another and may overlap."""

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

MIN_FREE_ENGINES = 3
MIN_FREE_HOSTS = 3
MIN_FREE_SERVICES = 2
FAULT_INTERVAL_RANGE_MS = (200, 2_000)
OUTAGE_RANGE_MS = (500, 6_000)
LEAVING_PROPAGATION_MS = 3_500
"""Time after which a leaving engine receives no new work, including the lag of the host list."""
LEAVING_RANGE_MS = (1_000, 4_000)
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
class FaultInjector:
    """Injects randomly selected failures into a cluster and recovers from each of them.

    :param cluster: Cluster into which failures are injected.
    :param rng: Seeded random number generator used to select failures, targets and durations.
    :param log: Prints a progress message.
    """

    def __init__(self, *, cluster: Cluster, rng: Random, log: Callable[[str], None]) -> None:
        self._cluster = cluster
        self._rng = rng
        self._log = log
        self._clock = Clock()
        self._affected: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._last_host_number = cluster.plan.hosts
        self.injected: list[str] = []

    async def run_forever(self) -> None:
        """Inject failures at random intervals until cancelled; failures may overlap."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_engine,
            self._freeze_engine,
            self._kill_host,
            self._freeze_host,
            self._stop_host,
            self._fail_store,
            self._kill_service,
            self._fail_service,
            self._reclaim_engine,
            self._fail_stream,
            self._fail_stream,
            self._fail_stream,
            self._exhaust_memory,
        ]
        while True:
            await self._clock.sleep(self._rng.randint(*FAULT_INTERVAL_RANGE_MS))
            task = asyncio.ensure_future(self._rng.choice(kinds)())
            self._tasks.add(task)
            task.add_done_callback(self._handle_task_done)

    async def wait_for_recovery(self) -> None:
        """Wait until the cluster has recovered from all injected failures."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _handle_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._record(f"FAULT INJECTION FAILED: {error!r}")

    async def _kill_engine(self) -> None:
        name = self._reserve(self._cluster.engines, MIN_FREE_ENGINES)
        if name is not None:
            self._record(f"kill {name}")
            await self._cluster.engines[name].kill()
            await self._wait_outage()
            await self._cluster.start_engine(name)
            self._affected.discard(name)

    async def _freeze_engine(self) -> None:
        await self._freeze(self._cluster.engines, MIN_FREE_ENGINES)

    async def _freeze_host(self) -> None:
        await self._freeze(self._cluster.hosts, MIN_FREE_HOSTS)

    async def _kill_host(self) -> None:
        name = self._reserve(self._cluster.hosts, MIN_FREE_HOSTS)
        if name is not None:
            self._record(f"kill {name}")
            await self._cluster.hosts[name].kill()
            await self._replace_host(name)

    async def _stop_host(self) -> None:
        name = self._reserve(self._cluster.hosts, MIN_FREE_HOSTS)
        if name is not None:
            self._record(f"graceful shutdown of {name}")
            await self._cluster.set_listed_state(name, ListedState.LEAVING)
            code = await self._cluster.hosts[name].stop()
            if code:
                self._record(f"BAD EXIT CODE of {name}: {code}")
            await self._replace_host(name)

    async def _replace_host(self, name: str) -> None:
        await self._wait_outage()
        del self._cluster.hosts[name]
        await self._cluster.remove_from_host_list(name)
        self._last_host_number += 1
        await self._cluster.start_host(f"host-{self._last_host_number}")
        self._affected.discard(name)

    async def _fail_store(self) -> None:
        if "store" in self._affected:
            return
        self._affected.add("store")
        mode = self._rng.choice(STORE_FAULTS)
        self._record(f"store {mode.value}")
        await self._post(self._cluster.store, Fault(mode=mode))
        await self._wait_outage()
        await self._post(self._cluster.store, Fault())
        self._affected.discard("store")

    async def _kill_service(self) -> None:
        name = self._reserve(self._cluster.services, MIN_FREE_SERVICES)
        if name is not None:
            self._record(f"kill {name}")
            await self._cluster.services[name].kill()
            await self._wait_outage()
            await self._cluster.start_service(name)
            self._affected.discard(name)

    async def _fail_service(self) -> None:
        name = self._reserve(self._cluster.services, 0)
        if name is not None:
            mode = self._rng.choice(SERVICE_FAULTS)
            self._record(f"{name} {mode.value}")
            fault = ServiceFault(mode=mode, count=self._rng.randint(1, 3))
            await self._post(self._cluster.services[name], fault)
            self._affected.discard(name)

    async def _reclaim_engine(self) -> None:
        name = self._reserve(self._cluster.engines, MIN_FREE_ENGINES)
        if name is not None:
            self._record(f"{name} is leaving")
            await self._cluster.set_listed_state(name, ListedState.LEAVING)
            await self._clock.sleep(LEAVING_PROPAGATION_MS)
            before = await self._fetch_attempt_ids(name)
            await self._clock.sleep(self._rng.randint(*LEAVING_RANGE_MS))
            after = await self._fetch_attempt_ids(name)
            if before is not None and after is not None and after != before:
                self._record(f"NEW WORK for leaving engine {name}: {sorted(after - before)}")
            # The platform ends a reclaimed engine even if answers are still running on it.
            await self._cluster.engines[name].kill()
            await self._cluster.start_engine(name)
            self._affected.discard(name)

    async def _fetch_attempt_ids(self, name: str) -> set[str] | None:
        engine = self._cluster.engines[name]
        try:
            reports = await self._cluster.get(engine, "/admin/executions", ExecutionReports)
        except aiohttp.ClientError:
            # A request may have crashed the engine in the meantime.
            return None
        return {report.attempt_id for report in reports.executions}

    async def _fail_stream(self) -> None:
        name = self._reserve(self._cluster.engines, 0)
        if name is not None:
            mode = self._rng.choice(STREAM_FAULTS)
            self._record(f"{name} {mode.value}")
            fault = StreamFault(mode=mode, count=2, at=self._rng.randint(0, 20))
            await self._post(self._cluster.engines[name], fault)
            self._affected.discard(name)

    async def _exhaust_memory(self) -> None:
        name = self._reserve(self._cluster.engines, 0)
        if name is not None:
            self._record(f"{name} out of memory")
            body = OutOfMemoryRequest(fail=self._rng.random() < 0.5)
            await self._post(self._cluster.engines[name], body, "/admin/oom")
            self._affected.discard(name)

    async def _freeze(self, group: dict[str, ManagedProcess], min_free: int) -> None:
        name = self._reserve(group, min_free)
        if name is not None:
            self._record(f"freeze {name}")
            group[name].freeze()
            await self._wait_outage()
            group[name].resume()
            self._affected.discard(name)

    def _reserve(self, group: dict[str, ManagedProcess], min_free: int) -> str | None:
        free = sorted(name for name in group if name not in self._affected)
        if len(free) <= min_free:
            return None
        name = self._rng.choice(free)
        self._affected.add(name)
        return name

    async def _wait_outage(self) -> None:
        await self._clock.sleep(self._rng.randint(*OUTAGE_RANGE_MS))

    async def _post(
        self, process: ManagedProcess, body: Struct, path: str = "/admin/fault"
    ) -> None:
        try:
            await self._cluster.post(process, path, body)
        except aiohttp.ClientError as error:
            self._record(f"{process.name} rejected POST {path}: {error!r}")

    def _record(self, text: str) -> None:
        self.injected.append(text)
        self._log(text)
