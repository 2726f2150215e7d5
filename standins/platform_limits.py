"""Seeded rate limits that upstreams name while a soak runs."""

from __future__ import annotations

import asyncio
from random import Random
from typing import final

from standins.platform_engine import UpstreamEmulator
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_verdict import limit_target
from standins.platform_world import PlatformCluster
from tanagerscale.core import Clock

RATES_PER_S = (0.3, 2.0, 2.7, 50.0)
SENSELESS = ("", "0", "-2", "inf", "nan", "1e9", "two", "2,7", "99999999999999999999")
LIMIT_RANGE_MS = (4_000, 9_000)
INTERVAL_RANGE_MS = (500, 3_000)
ALL_SHARE = 0.2
"""Part of the limits that all upstreams of a service name together."""
SENSELESS_SHARE = 0.2


@final
class LimitNamer:
    """Lets upstreams name rate limits, and records when.

    :param cluster: The upstreams.
    :param fault_log: Record of the limits.
    """

    def __init__(self, *, cluster: PlatformCluster, fault_log: FaultLog) -> None:
        self._cluster = cluster
        self._fault_log = fault_log
        self._clock = Clock()

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Let upstreams name limits for some time.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        ends_at = self._clock.now() + duration_ms
        async with asyncio.TaskGroup() as tasks:
            while self._clock.now() < ends_at:
                rate_per_s, length_ms = rng.choice(RATES_PER_S), rng.randint(*LIMIT_RANGE_MS)
                for upstream in self._choose(rng):
                    is_senseless = rng.random() < SENSELESS_SHARE
                    name = self._name_senseless if is_senseless else self._name
                    value = rng.choice(SENSELESS) if is_senseless else f"{rate_per_s:g}"
                    tasks.create_task(name(upstream, value, length_ms))
                await self._clock.sleep(rng.randint(*INTERVAL_RANGE_MS))

    def _choose(self, rng: Random) -> list[UpstreamEmulator]:
        """Return one upstream, or all of its service, without those that name a limit."""
        free = {
            name: upstream
            for name, upstream in sorted(self._cluster.upstreams.items())
            if not upstream.named_rates
        }
        if not free:
            return []
        chosen = rng.choice(list(free))
        if rng.random() >= ALL_SHARE:
            return [free[chosen]]
        service = chosen.rpartition("-")[0]
        return [upstream for name, upstream in free.items() if name.startswith(f"{service}-")]

    async def _name(self, upstream: UpstreamEmulator, value: str, length_ms: int) -> None:
        target = limit_target(upstream.upstream, upstream.born)
        with self._fault_log.lasting(FaultKind.LIMIT, target, detail=value):
            upstream.named_rates = (value,)
            await self._clock.sleep(length_ms)
            upstream.named_rates = ()

    async def _name_senseless(self, upstream: UpstreamEmulator, value: str, length_ms: int) -> None:
        upstream.named_rates = (value,)
        await self._clock.sleep(length_ms)
        upstream.named_rates = ()
