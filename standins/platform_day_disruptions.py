"""Seeded disruptions of a day beside its planned stops: signals, freezes, kills, configurations."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from itertools import count
from random import Random
from typing import Final
from typing import final

from standins.platform_day_engine import DayUpstream
from standins.platform_day_hosts import DayHost
from standins.platform_day_ledger import now_ms
from standins.platform_endless import ENDLESS
from standins.platform_endless import GARBAGE
from standins.platform_hups import HupSeries
from tanagerscale.core import MS_PER_SECOND

INTERVAL_RANGE_MS: Final = (200, 2_000)
FREEZE_RANGE_MS: Final = (500, 2_000)
OUTAGE_RANGE_MS: Final = (300, 3_500)
STRIKE_RANGE_S: Final = (2.0, 6.0)
GARBAGE_SHARES: Final = (0.02, 0.1, 0.3)
ENDLESS_SHARES: Final = (0.1, 0.5, 1.0)
ENDLESS_RANGE_S: Final = (3.0, 10.0)
MAX_ENDLESS: Final = 3
"""Upstreams that send answers without end at the same time, of one disruption."""
KILLED_SHARE: Final = 0.55
"""Part of the hosts that are killed at the same moment at times."""
SPARE_ROUTES_RANGE: Final = (300, 450)
MAX_SPARE_ROUTES: Final = 1_500
STORM_GAP_MS: Final = 330
STORM_VERSIONS: Final = 12
MAX_ADDED: Final = 3
MIN_LEFT: Final = 2
"""Hosts that are left while others are killed."""

Configure = Callable[[int, int, str], None]
"""Writes a configuration with a version, a number of spare routes and the key of an account."""


@final
class DayDisruptions:
    """Disturbs hosts, configuration and upstreams of a day.

    :param hosts: Hosts.
    :param upstreams: Upstreams.
    :param configure: Writes a configuration.
    :param add_host: Starts another host.
    :param hups: Sends series of SIGHUP.
    :param has_endless: Whether upstreams send answers without end.
    """

    def __init__(
        self,
        *,
        hosts: Sequence[DayHost],
        upstreams: Sequence[DayUpstream],
        configure: Configure,
        add_host: Callable[[], Awaitable[None]],
        hups: HupSeries,
        has_endless: bool,
    ) -> None:
        self._hosts = hosts
        self._upstreams = upstreams
        self._configure = configure
        self._add_host = add_host
        self._hups = hups
        self._has_endless = has_endless
        self._versions = count(3)
        self._spare_routes = 0
        self._added = 0
        self.done: list[str] = []
        """Names of the disruptions in their order."""

    async def run(self, *, rng: Random, duration_ms: float) -> None:
        """Disturb for some time, and wait until everything has recovered.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        handlers = {
            self._send_hups: 5,
            self._freeze: 3,
            self._kill: 3,
            self._change_configuration: 2,
            self._storm: 1,
            self._grow_configuration: 2,
            self._add: 1,
            self._send_garbage: 2,
        }
        if self._has_endless:
            handlers[self._send_endless] = 4
        ends_at = now_ms() + duration_ms
        async with asyncio.TaskGroup() as tasks:
            while now_ms() < ends_at:
                own = Random(rng.random())
                handler = own.choices(list(handlers), list(handlers.values()))[0]
                self.done.append(handler.__name__.strip("_"))
                tasks.create_task(handler(own))
                await asyncio.sleep(rng.randint(*INTERVAL_RANGE_MS) / MS_PER_SECOND)

    @property
    def _running(self) -> list[DayHost]:
        return [host for host in self._hosts if not host.is_stopping]

    async def _send_hups(self, rng: Random) -> None:
        chosen = rng.sample(self._hosts, rng.randint(1, len(self._hosts)))
        await asyncio.gather(*(self._hups.send(host, Random(rng.random())) for host in chosen))

    async def _freeze(self, rng: Random) -> None:
        if running := self._running:
            await rng.choice(running).freeze(rng.randint(*FREEZE_RANGE_MS))

    async def _kill(self, rng: Random) -> None:
        running = self._running
        wanted = 1 if rng.random() < 0.7 else round(len(self._hosts) * KILLED_SHARE)
        number = min(wanted, len(running) - MIN_LEFT)
        if number > 0:
            chosen = rng.sample(running, number)
            outage_ms = rng.randint(*OUTAGE_RANGE_MS)
            await asyncio.gather(*(_kill(host, outage_ms) for host in chosen))

    async def _change_configuration(self, rng: Random) -> None:
        self._write(rng)

    async def _storm(self, rng: Random) -> None:
        for _ in range(rng.randint(2, STORM_VERSIONS)):
            self._write(rng)
            await asyncio.sleep(STORM_GAP_MS / MS_PER_SECOND)

    async def _grow_configuration(self, rng: Random) -> None:
        more = self._spare_routes + rng.randint(*SPARE_ROUTES_RANGE)
        self._spare_routes = min(more, MAX_SPARE_ROUTES)
        self._write(rng)

    def _write(self, rng: Random) -> None:
        self._configure(next(self._versions), self._spare_routes, f"key-{rng.random()}")

    async def _add(self, rng: Random) -> None:
        if self._added < MAX_ADDED:
            self._added += 1
            await self._add_host()

    async def _send_garbage(self, rng: Random) -> None:
        share, seconds = rng.choice(GARBAGE_SHARES), rng.uniform(*STRIKE_RANGE_S)
        await rng.choice(self._serving).wrong.strike(share=share, kinds=GARBAGE, seconds=seconds)

    async def _send_endless(self, rng: Random) -> None:
        kinds = ENDLESS if rng.random() < 0.5 else (rng.choice(ENDLESS),)
        share, seconds = rng.choice(ENDLESS_SHARES), rng.uniform(*ENDLESS_RANGE_S)
        chosen = rng.sample(self._serving, rng.randint(1, MAX_ENDLESS))
        await asyncio.gather(
            *(one.wrong.strike(share=share, kinds=kinds, seconds=seconds) for one in chosen)
        )

    @property
    def _serving(self) -> list[DayUpstream]:
        return [upstream for upstream in self._upstreams if not upstream.has_ended]


async def _kill(host: DayHost, outage_ms: int) -> None:
    await host.kill()
    await asyncio.sleep(outage_ms / MS_PER_SECOND)
    await host.start()
