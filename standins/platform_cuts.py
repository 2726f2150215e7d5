"""Seeded times in which hosts are cut off from all upstreams while a soak runs."""

from __future__ import annotations

import asyncio
from random import Random
from typing import final

from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_world import PlatformCluster
from standins.upstream_link import CutKind
from tanagerscale.core import Clock

SHORT_RANGE_MS = (300, 1_200)
LONG_RANGE_MS = (4_500, 8_000)
SHORT_SHARE = 0.3
INTERVAL_RANGE_MS = (1_500, 6_000)


@final
class HostCutter:
    """Cuts off one host, some, most or all but one, and heals them.

    :param cluster: Store and upstreams.
    :param hosts: Names of the hosts.
    :param fault_log: Record of the cuts.
    """

    def __init__(self, *, cluster: PlatformCluster, hosts: list[str], fault_log: FaultLog) -> None:
        self._cluster = cluster
        self._hosts = hosts
        self._fault_log = fault_log
        self._clock = Clock()
        self._cut: set[str] = set()

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Cut off hosts for some time; cuts may overlap.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        ends_at = self._clock.now() + duration_ms
        async with asyncio.TaskGroup() as tasks:
            while self._clock.now() < ends_at:
                kind = rng.choice(list(CutKind))
                is_short = rng.random() < SHORT_SHARE
                length_ms = rng.randint(*(SHORT_RANGE_MS if is_short else LONG_RANGE_MS))
                for host in self._choose(rng):
                    tasks.create_task(self._cut_off(host, kind, length_ms))
                await self._clock.sleep(rng.randint(*INTERVAL_RANGE_MS))

    def _choose(self, rng: Random) -> list[str]:
        hosts = len(self._hosts)
        number = rng.choice((1, hosts // 3, hosts // 2, hosts - 1))
        free = [host for host in self._hosts if host not in self._cut]
        return rng.sample(free, max(min(number, len(free) - 1), 0))

    async def _cut_off(self, host: str, kind: CutKind, length_ms: int) -> None:
        self._cut.add(host)
        with self._fault_log.lasting(FaultKind.CUT, host, detail=kind.value):
            self._cluster.cut_off(host, kind)
            await self._clock.sleep(length_ms)
            self._cluster.heal(host)
        self._cut.discard(host)
