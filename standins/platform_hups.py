"""Series of SIGHUP with changed settings, also at hosts that have just been started."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Final
from typing import Protocol
from typing import final

from standins._common import cancel_task
from tanagerscale.core import MS_PER_SECOND

MAX_SIGNALS: Final = 6
GAPS_MS: Final = (0, 5, 50, 400, 2_000)
YOUNG_SHARE: Final = 0.5
"""Part of the starts that a series follows."""
YOUNG_MS: Final = 1_000
SETTLING_S: Final = 3.0


class Reloadable(Protocol):
    """A host whose settings can be changed."""

    name: str

    def reload(self, retry_slack: float) -> None:
        """Change the settings file and send SIGHUP.

        :param retry_slack: Changed setting: retries allowed in addition to the ratio.
        """


@final
class HupSeries:
    """Sends series of SIGHUP.

    :param seed: Seed of the series at hosts that have just been started.
    :param slacks: Range of the changed setting.
    """

    def __init__(self, *, seed: int, slacks: tuple[int, int]) -> None:
        self._rng = Random(seed)
        self._slacks = slacks
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_over = False

    async def send(self, host: Reloadable, rng: Random) -> None:
        """Send a series to one host."""
        gap_ms = rng.choice(GAPS_MS)
        for _ in range(rng.randint(1, MAX_SIGNALS)):
            host.reload(rng.randint(*self._slacks))
            await asyncio.sleep(gap_ms * rng.random() / MS_PER_SECOND)

    def on_start(self, host: Reloadable) -> None:
        """Send a series to some of the hosts within the first second of their start."""
        rng = Random(self._rng.random())
        if rng.random() < YOUNG_SHARE and not self._is_over:
            task = asyncio.create_task(self._send_to_young(host, rng))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self) -> None:
        """Send no more signals."""
        self._is_over = True
        for task in list(self._tasks):
            await cancel_task(task)

    async def run(self, hosts: Sequence[Reloadable], *, rng: Random, duration_ms: int) -> None:
        """Send series to hosts for some time.

        :param hosts: All hosts.
        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + duration_ms / MS_PER_SECOND
        while loop.time() < ends_at:
            await asyncio.sleep(rng.uniform(0.0, SETTLING_S))
            chosen = rng.sample(hosts, rng.randint(1, len(hosts)))
            await asyncio.gather(*(self.send(host, Random(rng.random())) for host in chosen))

    async def _send_to_young(self, host: Reloadable, rng: Random) -> None:
        await asyncio.sleep(rng.uniform(0.0, YOUNG_MS) / MS_PER_SECOND)
        await self.send(host, rng)
