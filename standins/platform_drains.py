"""Seeded leaving of upstreams around returns of the store from copies, while a soak runs."""

from __future__ import annotations

import asyncio
from collections import deque
from random import Random
from typing import Final
from typing import final

from standins.platform_engine import UpstreamEmulator
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_faults import PlatformFaultInjector
from standins.platform_store import StoreCopy
from standins.platform_world import PlatformCluster
from tanagerscale.core import Clock

REGISTRY_PREFIX: Final = "servers/"
HEARTBEAT_MS: Final = 1_200
ENTRY_TTL_MS: Final = 3 * HEARTBEAT_MS
COPY_INTERVAL_MS: Final = 500
COPY_AGES_MS: Final = (1_000, 4_000, 8_000, 12_000)
FIRST_COPY_AGE_MS: Final = 4_000
"""Time before the first disturbance, in which copies get that old."""
AWAY_RANGE_MS: Final = (200, 1_200)
STALL_RANGE_MS: Final = (200, 1_000)
LATE_RANGE_MS: Final = (20, 2_500)
"""How late the heartbeat from before a notice is applied."""
CONTACT_MS: Final = 3_100
"""Time after a disturbance of the store in which the bound doesn't hold yet."""
NOTICE_MS: Final = 2_000
LINGER_RANGE_MS: Final = (1_500, 4_000)
"""How long a leaving upstream serves beyond the time for which it has to."""
MAX_LEAVING: Final = 3
PAUSE_RANGE_MS: Final = (0, 800)


@final
class DrainProvoker:
    """Lets upstreams leave, at times after the store has come back from an older copy.

    :param cluster: Store and upstreams.
    :param injector: Starts upstreams.
    :param fault_log: Record of the faults.
    """

    def __init__(
        self, *, cluster: PlatformCluster, injector: PlatformFaultInjector, fault_log: FaultLog
    ) -> None:
        self._cluster = cluster
        self._injector = injector
        self._fault_log = fault_log
        self._clock = Clock()
        self._leaving: dict[str, tuple[UpstreamEmulator, str]] = {}
        """Upstreams that report that they leave, with their services."""
        self._returned_at = self._clock.now()
        self._copies: deque[tuple[int, StoreCopy]] = deque()

    async def write_heartbeats(self) -> None:
        """Write the entries of all upstreams again and again, until cancelled."""
        while True:
            for upstream, service in self._injector.living:
                self._cluster.register(upstream, service)
            for upstream, service in self._leaving.values():
                self._cluster.register(upstream, service, state="draining")
            self._expire_entries()
            await self._clock.sleep(HEARTBEAT_MS)

    def _expire_entries(self) -> None:
        """Remove the entries of ended upstreams that the store has brought back."""
        if self._clock.now() < self._returned_at + ENTRY_TTL_MS:
            return
        known = {upstream.upstream for upstream, _ in self._injector.living} | set(self._leaving)
        keys = self._cluster.store.keys()
        for key in keys:
            if key.startswith(REGISTRY_PREFIX) and key.removeprefix(REGISTRY_PREFIX) not in known:
                self._cluster.store.delete(key)

    async def take_copies(self) -> None:
        """Copy the store again and again, until cancelled."""
        while True:
            now = self._clock.now()
            self._copies.append((now, self._cluster.store.copy()))
            while self._copies[0][0] < now - 2 * max(COPY_AGES_MS):
                self._copies.popleft()
            await self._clock.sleep(COPY_INTERVAL_MS)

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Disturb the store and let upstreams leave for some time.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        tasks = [
            asyncio.create_task(self.write_heartbeats()),
            asyncio.create_task(self.take_copies()),
        ]
        ends_at = self._clock.now() + duration_ms
        try:
            await self._clock.sleep(FIRST_COPY_AGE_MS)
            while self._clock.now() < ends_at:
                disturb = rng.choice((self._come_back_older, self._come_back_older, self._stall))
                await disturb(rng)
                await self._clock.sleep(CONTACT_MS)
                await self.let_leave(rng)
                await self._clock.sleep(rng.randint(*PAUSE_RANGE_MS))
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _come_back_older(self, rng: Random) -> None:
        """Let the store go away and come back from an older copy, at times twice."""
        for _ in range(rng.choice((1, 1, 2))):
            wanted = self._clock.now() - rng.choice(COPY_AGES_MS)
            _, copy = min(self._copies, key=lambda one: abs(one[0] - wanted))
            with self._fault_log.lasting(FaultKind.STORE, detail="older copy"):
                self._cluster.store.go_away()
                await self._clock.sleep(rng.randint(*AWAY_RANGE_MS))
                configuration = self._cluster.store.value("op/config")
                self._cluster.store.come_back_from(copy)
                self._returned_at = self._clock.now()
                if configuration is not None:
                    self._cluster.store.put("op/config", configuration)

    async def _stall(self, rng: Random) -> None:
        with self._fault_log.lasting(FaultKind.STORE, detail="watches stand still"):
            self._cluster.store.stall_watches()
            await self._clock.sleep(rng.randint(*STALL_RANGE_MS))
            self._cluster.store.compact()

    async def let_leave(self, rng: Random) -> None:
        """Let some upstreams of a service leave together."""
        living = self._injector.living
        service = rng.choice(sorted({service for _, service in living}))
        candidates = [one for one, of in living if of == service]
        number = min(rng.randint(1, MAX_LEAVING), len(candidates) - 1)
        chosen = rng.sample(sorted(candidates, key=lambda one: one.upstream), max(number, 1))
        async with asyncio.TaskGroup() as tasks:
            for upstream in chosen:
                tasks.create_task(self._leave(upstream, service, Random(rng.random())))

    async def _leave(self, upstream: UpstreamEmulator, service: str, rng: Random) -> None:
        name = upstream.upstream
        options = self._injector.retire(name)
        reports = rng.random() < 0.75
        await self._injector.add_upstream(service, options)
        upstream.leaving = True
        with self._fault_log.lasting(FaultKind.NOTICE, name, detail=str(upstream.born)):
            if reports:
                self._leaving[name] = upstream, service
                sequence = self._cluster.register(upstream, service, state="draining")
                if rng.random() < 0.5:
                    await self._clock.sleep(rng.randint(*LATE_RANGE_MS))
                    self._cluster.register(upstream, service, sequence=sequence - 1)
            else:
                self._cluster.store.delete(f"{REGISTRY_PREFIX}{name}")
            await self._clock.sleep(NOTICE_MS + rng.randint(*LINGER_RANGE_MS))
            self._leaving.pop(name, None)
            self._cluster.store.delete(f"{REGISTRY_PREFIX}{name}")
        with self._fault_log.lasting(FaultKind.UPSTREAM, name, detail="has left"):
            await upstream.stop()
