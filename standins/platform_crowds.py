"""Seeded times in which most new connections of callers go to one host, while a soak runs."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final
from typing import final

from standins.platform_callers import CallKind
from standins.platform_callers import PlatformCallers
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_hosts import PlatformHostProcess
from tanagerscale.core import Clock

CROWD: Final = 400
"""Callers that open a new connection for each request."""
LENGTH_RANGE_MS: Final = (5_000, 7_000)
PAUSE_RANGE_MS: Final = (2_500, 4_000)
SHARE: Final = 0.9
"""Part of these connections that go to one host."""
KINDS: Final = {CallKind.UNSAFE: 10, CallKind.SAFE: 4, CallKind.SHORT: 2}


@final
class CrowdMaker:
    """Lets callers come in crowds to one host after the other.

    :param callers: Send the requests.
    :param hosts: The hosts.
    :param fault_log: Record of the crowds.
    """

    def __init__(
        self,
        *,
        callers: PlatformCallers,
        hosts: list[PlatformHostProcess],
        fault_log: FaultLog,
    ) -> None:
        self._callers = callers
        self._hosts = hosts
        self._fault_log = fault_log
        self._clock = Clock()

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Let crowds come for some time.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        ends_at = self._clock.now() + duration_ms
        while True:
            await self._clock.sleep(rng.randint(*PAUSE_RANGE_MS))
            length_ms = rng.randint(*LENGTH_RANGE_MS)
            if self._clock.now() + length_ms > ends_at:
                return
            host = rng.choice(self._hosts)
            with self._fault_log.lasting(FaultKind.CROWD, host.name):
                until = self._clock.now() + length_ms
                async with asyncio.TaskGroup() as callers:
                    for _ in range(CROWD):
                        callers.create_task(self._call_until(until, host, Random(rng.random())))

    async def _call_until(self, until: int, host: PlatformHostProcess, rng: Random) -> None:
        while self._clock.now() < until:
            kind = rng.choices(list(KINDS), list(KINDS.values()))[0]
            await self._callers.call_newly(kind, rng, host if rng.random() < SHARE else None)
