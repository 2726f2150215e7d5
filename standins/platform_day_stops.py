"""Two overlapping series of rolling stops, each of which stops hosts while they are in use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from random import Random
from typing import Final
from typing import final

from standins.platform_day_hosts import DayHost
from standins.platform_day_ledger import now_ms
from tanagerscale.core import MS_PER_SECOND

FIRST_STOP_MS: Final = 5_800
SECOND_SERIES_MS: Final = 36_000
GAP_RANGE_MS: Final = (200, 2_200)
RESTART_RANGE_MS: Final = (300, 600)
YOUNG_RANGE_MS: Final = (1_000, 2_000)
"""Age at which the second series stops some of the hosts that have just been started."""
YOUNG_SHARE: Final = 0.5
STARTING_SHARE: Final = 0.2
"""Part of them whose age counts from the start of the process and not from when it was ready."""
BUSY_TIMEOUT_MS: Final = 4_000
POLL_S: Final = 0.01
MIN_LEFT: Final = 2
"""Hosts that are left while others stop."""


@final
class RollingStops:
    """Stops hosts one after the other, in two series.

    :param hosts: Hosts.
    :param is_busy: Returns whether a host is answering a request.
    """

    def __init__(self, *, hosts: Sequence[DayHost], is_busy: Callable[[str], bool]) -> None:
        self._hosts = hosts
        self._is_busy = is_busy
        self._restarts: set[asyncio.Task[None]] = set()

    async def run(self, *, rng: Random, duration_ms: float) -> None:
        """Stop hosts for some time, and wait until all have been started again.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in which stops begin.
        """
        ends_at = now_ms() + duration_ms
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_series(Random(rng.random()), FIRST_STOP_MS, ends_at, False))
            if duration_ms > SECOND_SERIES_MS:
                tasks.create_task(
                    self._run_series(Random(rng.random()), SECOND_SERIES_MS, ends_at, True)
                )
        await asyncio.gather(*self._restarts)

    async def _run_series(
        self, rng: Random, delay_ms: int, ends_at: float, has_young: bool
    ) -> None:
        await asyncio.sleep(delay_ms / MS_PER_SECOND)
        order: list[DayHost] = []
        while now_ms() < ends_at:
            order = order or rng.sample(self._hosts, len(self._hosts))
            host = order.pop(0)
            if has_young and rng.random() < YOUNG_SHARE:
                host = await self._wait_for_young(rng, ends_at) or host
            if host.is_stopping or sum(not one.is_stopping for one in self._hosts) <= MIN_LEFT:
                await asyncio.sleep(POLL_S)
                continue
            await self._wait_until_busy(host)
            if host.is_stopping or now_ms() >= ends_at:
                continue
            await host.stop()
            restart = asyncio.create_task(_restart(host, rng.randint(*RESTART_RANGE_MS)))
            self._restarts.add(restart)
            await asyncio.sleep(rng.randint(*GAP_RANGE_MS) / MS_PER_SECOND)

    async def _wait_for_young(self, rng: Random, ends_at: float) -> DayHost | None:
        """Wait for a host that has just been started again, and until it has a chosen age."""
        age_ms = rng.randint(*YOUNG_RANGE_MS)
        is_starting = rng.random() < STARTING_SHARE
        while now_ms() < ends_at:
            for host in self._hosts:
                instance = host.instance
                since = instance.started if is_starting else instance.ready
                if instance.number == 1 or host.is_stopping or since is None:
                    continue
                if (age := now_ms() - since) < age_ms:
                    await asyncio.sleep((age_ms - age) / MS_PER_SECOND)
                    return host
            await asyncio.sleep(POLL_S)
        return None

    async def _wait_until_busy(self, host: DayHost) -> None:
        until = now_ms() + BUSY_TIMEOUT_MS
        while not self._is_busy(host.name) and now_ms() < until:
            await asyncio.sleep(POLL_S)


async def _restart(host: DayHost, delay_ms: int) -> None:
    await asyncio.sleep(delay_ms / MS_PER_SECOND)
    await host.start()
