"""Seeded times in which upstreams refuse so much that hosts repeat requests while a soak runs."""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from random import Random
from typing import final

from standins.platform_engine import UpstreamBehavior
from standins.platform_engine import UpstreamEmulator
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_world import MODEL_SERVICE
from standins.platform_world import NOTES_SERVICE
from standins.platform_world import PLAIN_SERVICE
from standins.platform_world import PlatformCluster
from tanagerscale.core import Clock

SERVICES = (MODEL_SERVICE, MODEL_SERVICE, NOTES_SERVICE, PLAIN_SERVICE)
LENGTH_RANGE_MS = (300, 2_500)
INTERVAL_RANGE_MS = (200, 2_000)


@final
class RepeatProvoker:
    """Lets all upstreams of a service refuse requests, or break off answers, at the same time.

    :param cluster: The upstreams.
    :param fault_log: Record of the faults.
    """

    def __init__(self, *, cluster: PlatformCluster, fault_log: FaultLog) -> None:
        self._cluster = cluster
        self._fault_log = fault_log
        self._clock = Clock()

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Disturb services for some time.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        ends_at = self._clock.now() + duration_ms
        async with asyncio.TaskGroup() as tasks:
            while self._clock.now() < ends_at:
                length_ms = rng.randint(*LENGTH_RANGE_MS)
                tasks.create_task(self._disturb(rng.choice(SERVICES), rng, length_ms))
                await self._clock.sleep(rng.randint(*INTERVAL_RANGE_MS))

    async def _disturb(self, service: str, rng: Random, length_ms: int) -> None:
        """Let some upstreams break off their answers, and all of them refuse requests."""
        upstreams = [
            upstream
            for name, upstream in sorted(self._cluster.upstreams.items())
            if name.startswith(f"{service}-") and upstream.behavior is UpstreamBehavior.NORMAL
        ]
        broken = rng.sample(upstreams, len(upstreams) // 2)
        with ExitStack() as faults:
            for upstream in upstreams:
                detail = "refuses, and has broken off" if upstream in broken else "refuses"
                faults.enter_context(
                    self._fault_log.lasting(FaultKind.UPSTREAM, upstream.upstream, detail=detail)
                )
                _refuse(upstream, breaks_off=upstream in broken)
            await self._clock.sleep(length_ms)
            for upstream in upstreams:
                upstream.behavior = UpstreamBehavior.NORMAL


def _refuse(upstream: UpstreamEmulator, *, breaks_off: bool) -> None:
    upstream.behavior = UpstreamBehavior.REFUSES
    if breaks_off:
        upstream.break_off()
