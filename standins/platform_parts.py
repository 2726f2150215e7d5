"""Seeded requests with a part of their prompt that crashes upstreams, while a soak runs."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final
from typing import final

from standins.platform_callers import CallKind
from standins.platform_callers import PlatformCallers
from standins.platform_engine import UpstreamEmulator
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_faults import PlatformFaultInjector
from tanagerscale.core import Clock

OUTAGE_RANGE_MS: Final = (1_000, 3_000)
FIRST_RANGE_MS: Final = (2_500, 4_000)
"""Time in which sound requests have been answered before a part crashes upstreams."""
INTERVAL_RANGES_MS: Final = ((15, 40), (200, 700), (600, 1_500))
"""Ranges of the intervals between two requests with the part; one is selected for each part."""
MAX_BURST: Final = 12
"""Requests that come at the shortest intervals."""


@final
class PartCrasher:
    """Sends requests that crash the upstreams which begin to answer them.

    :param injector: Replaces upstreams that have crashed.
    :param callers: Send the requests.
    :param fault_log: Record of the parts.
    """

    def __init__(
        self, *, injector: PlatformFaultInjector, callers: PlatformCallers, fault_log: FaultLog
    ) -> None:
        self._injector = injector
        self._callers = callers
        self._fault_log = fault_log
        self._clock = Clock()
        self._parts: set[str] = set()
        self._outage_rng = Random(0)
        self._background: set[asyncio.Task[None]] = set()
        injector.on_added = self._prepare

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Send such requests for some time.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        self._outage_rng = Random(rng.random())
        await self._clock.sleep(rng.randint(*FIRST_RANGE_MS))
        ends_at = self._clock.now() + duration_ms - FIRST_RANGE_MS[1]
        part = f"bad{rng.randrange(16**6):06x}"
        self._parts.add(part)
        async with asyncio.TaskGroup() as calls:
            with self._fault_log.lasting(FaultKind.PART, part):
                await self._send_until(ends_at, part, rng, calls)
        await asyncio.gather(*self._background)

    async def _send_until(
        self, ends_at: int, part: str, rng: Random, calls: asyncio.TaskGroup
    ) -> None:
        interval = rng.choice(INTERVAL_RANGES_MS)
        sent = 0
        while self._clock.now() < ends_at:
            kind = rng.choice((CallKind.SHORT, CallKind.LONG))
            calls.create_task(self._callers.call_once(kind, Random(rng.random()), part=part))
            sent += 1
            if interval == INTERVAL_RANGES_MS[0] and sent == MAX_BURST:
                interval = INTERVAL_RANGES_MS[1]
            await self._clock.sleep(rng.randint(*interval))

    def _prepare(self, upstream: UpstreamEmulator) -> None:
        upstream.crashing_parts = self._parts
        upstream.on_crash = lambda: self._replace(upstream)

    def _replace(self, upstream: UpstreamEmulator) -> None:
        outage_ms = self._outage_rng.randint(*OUTAGE_RANGE_MS)
        task = asyncio.create_task(self._injector.replace_crashed(upstream, outage_ms=outage_ms))
        self._background.add(task)
        task.add_done_callback(self._background.discard)
