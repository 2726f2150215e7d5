"""Seeded second answers of upstreams while a soak runs."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final
from typing import final

from standins.platform_engine import UpstreamEmulator
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_world import PlatformCluster
from tanagerscale.core import Clock

UPSTREAM_SHARE: Final = 0.6
"""Part of the upstreams that answer twice at the same time."""
ANSWER_SHARES: Final = (0.03, 0.3, 1.0)
STRIKE_RANGE_MS: Final = (1_000, 5_000)
PAUSE_RANGE_MS: Final = (100, 1_000)


@final
class SecondAnswerProvoker:
    """Lets upstreams answer twice, and records when.

    :param cluster: The upstreams.
    :param fault_log: Record of the faults.
    """

    def __init__(self, *, cluster: PlatformCluster, fault_log: FaultLog) -> None:
        self._cluster = cluster
        self._fault_log = fault_log
        self._clock = Clock()

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Let upstreams answer twice for some time.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        ends_at = self._clock.now() + duration_ms
        while self._clock.now() < ends_at:
            share, length_ms = rng.choice(ANSWER_SHARES), rng.randint(*STRIKE_RANGE_MS)
            names = sorted(self._cluster.upstreams)
            chosen = rng.sample(names, round(len(names) * UPSTREAM_SHARE))
            await asyncio.gather(
                *(self._strike(self._cluster.upstreams[name], share, length_ms) for name in chosen)
            )
            await self._clock.sleep(rng.randint(*PAUSE_RANGE_MS))

    async def _strike(self, upstream: UpstreamEmulator, share: float, length_ms: int) -> None:
        detail = f"{share:g} of the answers"
        with self._fault_log.lasting(FaultKind.SECOND_ANSWERS, upstream.upstream, detail=detail):
            upstream.second_answers.share = share
            await self._clock.sleep(length_ms)
            upstream.second_answers.share = 0.0
