"""Seeded answers without end, and other wrong bytes, of upstreams while a soak runs."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final
from typing import final

from standins.platform_endless import ENDLESS
from standins.platform_endless import GARBAGE
from standins.platform_engine import UpstreamEmulator
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_world import PlatformCluster
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock

UPSTREAM_SHARE: Final = 0.3
"""Part of the upstreams that send wrong bytes at the same time, at most."""
ANSWER_SHARES: Final = (0.1, 0.5, 1.0)
STRIKE_RANGE_MS: Final = (1_000, 5_000)
PAUSE_RANGE_MS: Final = (200, 1_500)
BREAK_OFF_MS: Final = 200
"""Time after a strike in which its last connections are closed."""


@final
class GarbageProvoker:
    """Lets upstreams send wrong bytes, most of them without end, and records when.

    :param cluster: The upstreams.
    :param fault_log: Record of the faults.
    """

    def __init__(self, *, cluster: PlatformCluster, fault_log: FaultLog) -> None:
        self._cluster = cluster
        self._fault_log = fault_log
        self._clock = Clock()

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Let upstreams send wrong bytes for some time.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        ends_at = self._clock.now() + duration_ms
        while self._clock.now() < ends_at:
            names = sorted(self._cluster.upstreams)
            most = max(1, round(len(names) * UPSTREAM_SHARE))
            chosen = rng.sample(names, rng.randint(1, most))
            await asyncio.gather(
                *(
                    self._strike(self._cluster.upstreams[name], Random(rng.random()))
                    for name in chosen
                )
            )
            await self._clock.sleep(rng.randint(*PAUSE_RANGE_MS))

    async def _strike(self, upstream: UpstreamEmulator, rng: Random) -> None:
        kinds = rng.choice((ENDLESS, (rng.choice(ENDLESS),), GARBAGE))
        share, length_ms = rng.choice(ANSWER_SHARES), rng.randint(*STRIKE_RANGE_MS)
        detail = f"{share:g} of the answers: {', '.join(kind.value for kind in kinds)}"
        with self._fault_log.lasting(FaultKind.UPSTREAM, upstream.upstream, detail=detail):
            seconds = length_ms / MS_PER_SECOND
            await upstream.wrong.strike(share=share, kinds=kinds, seconds=seconds)
            await self._clock.sleep(BREAK_OFF_MS)
