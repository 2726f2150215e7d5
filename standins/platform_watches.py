"""Seeded loss of watches around changes of keys and leaving upstreams, while a soak runs."""

from __future__ import annotations

import asyncio
from collections import deque
from contextlib import ExitStack
from itertools import count
from random import Random
from typing import Any
from typing import Final
from typing import final

from standins.platform_callers import CallKind
from standins.platform_callers import PlatformCallers
from standins.platform_drains import CONTACT_MS
from standins.platform_drains import DrainProvoker
from standins.platform_fault_log import FaultKind
from standins.platform_fault_log import FaultLog
from standins.platform_faults import PlatformFaultInjector
from standins.platform_faults import soak_configuration
from standins.platform_hosts import PlatformHostProcess
from standins.platform_store import StoreBehavior
from standins.platform_world import PlatformCluster
from standins.watch_losses import WatchLosses
from tanagerscale.core import Clock

SILENCE_RANGE_MS: Final = (50, 5_000)
PROBE_INTERVAL_MS: Final = 200
KEPT_KEYS: Final = 4
"""Number of revoked keys that callers go on using."""
PAUSE_RANGE_MS: Final = (2_000, 3_500)
"""Time until watches are lost again; each loss is judged by itself."""


@final
class WatchLossProvoker:
    """Loses watches of the store, and changes keys and upstreams around that.

    :param cluster: Store and upstreams.
    :param injector: Writes configurations and starts upstreams.
    :param drainer: Lets upstreams leave.
    :param callers: Send requests with the keys.
    :param hosts: Host processes.
    :param fault_log: Record of the faults.
    """

    def __init__(
        self,
        *,
        cluster: PlatformCluster,
        injector: PlatformFaultInjector,
        drainer: DrainProvoker,
        callers: PlatformCallers,
        hosts: list[PlatformHostProcess],
        fault_log: FaultLog,
    ) -> None:
        self._cluster = cluster
        self._injector = injector
        self._drainer = drainer
        self._callers = callers
        self._hosts = hosts
        self._fault_log = fault_log
        self._clock = Clock()
        self._numbers = count(1)
        self._key = "key-0"
        self._revoked: deque[str] = deque(maxlen=KEPT_KEYS)
        self._validity = ExitStack()
        self._is_over = False
        self._losses = WatchLosses(store=cluster.store)

    def make_configuration(self, version: int) -> dict[str, Any]:
        """Return a configuration with the key that is valid at the moment."""
        value = soak_configuration(version)
        value["tenants"].append({"name": "three", "apiKeys": [self._key]})
        return value

    async def run(self, *, rng: Random, duration_ms: int) -> None:
        """Lose watches for some time.

        :param rng: Seeded random number generator.
        :param duration_ms: Time in milliseconds.
        """
        heartbeats = asyncio.create_task(self._drainer.write_heartbeats())
        uses = asyncio.create_task(self._use_keys(Random(rng.random())))
        ends_at = self._clock.now() + duration_ms
        try:
            async with asyncio.TaskGroup() as leaving:
                while self._clock.now() < ends_at:
                    disturb = rng.choice((self._lose_watches, self._lose_watches, self._silence))
                    await disturb(rng)
                    self._change_key()
                    if rng.random() < 0.5:
                        leaving.create_task(self._drainer.let_leave(Random(rng.random())))
                    await self._clock.sleep(rng.randint(*PAUSE_RANGE_MS))
            # The last key is judged as well.
            await self._clock.sleep(CONTACT_MS)
        finally:
            self._is_over = True
            heartbeats.cancel()
            await asyncio.gather(heartbeats, uses, return_exceptions=True)
            self._validity.close()

    async def _lose_watches(self, rng: Random) -> None:
        with self._fault_log.lasting(FaultKind.WATCHES) as fault:
            fault.detail = await self._losses.lose(rng)

    async def _silence(self, rng: Random) -> None:
        """Let the store answer nothing from the moment of a change on."""
        with self._fault_log.lasting(FaultKind.STORE, detail="silent after a change"):
            self._losses.end_watches()
            await asyncio.sleep(0)
            self._cluster.store.behavior = StoreBehavior.SILENT
            await self._clock.sleep(rng.randint(*SILENCE_RANGE_MS))
            self._cluster.store.behavior = StoreBehavior.NORMAL
        await self._clock.sleep(CONTACT_MS)

    def _change_key(self) -> None:
        """Revoke the key and grant another one."""
        previous, self._key = self._key, f"key-{next(self._numbers)}"
        self._injector.write_configuration()
        self._validity.close()
        self._validity.enter_context(self._fault_log.lasting(FaultKind.KEY, self._key))
        self._revoked.append(previous)

    async def _use_keys(self, rng: Random) -> None:
        """Send requests with the valid key and with revoked ones to all hosts."""
        async with asyncio.TaskGroup() as calls:
            while not self._is_over:
                for host in self._hosts:
                    key = rng.choice((self._key, *self._revoked))
                    calls.create_task(self._callers.call_newly(CallKind.UNSAFE, rng, host, key=key))
                await self._clock.sleep(PROBE_INTERVAL_MS)
