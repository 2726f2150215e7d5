"""Upstreams of a day with their entries in the store, and how engines are replaced."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any
from typing import Final
from typing import final

from standins._common import cancel_task
from standins.platform_day_batch import SLOTS
from standins.platform_day_batch import Batch
from standins.platform_day_engine import PLAIN_SLOTS
from standins.platform_day_engine import DayUpstream
from standins.platform_day_ledger import DayLedger
from standins.platform_day_ledger import now_ms
from standins.platform_day_sites import DaySite
from standins.platform_world import PlatformCluster
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock

HEARTBEAT_S: Final = 1.2
LEAVING_INTERVAL_S: Final = 8.0
LEAVING_NOTICE_S: Final = 2.0


@final
class DayUpstreams:
    """All upstreams of a day.

    :param cluster: The store.
    :param ledger: Record of the upstreams.
    :param rng: Random number generator.
    :param slowness: Factor of the duration of the engines' steps.
    :param site: The deployment.
    """

    def __init__(
        self,
        *,
        cluster: PlatformCluster,
        ledger: DayLedger,
        rng: Random,
        slowness: float,
        site: DaySite,
    ) -> None:
        self.all: list[DayUpstream] = []
        """Upstreams in the order in which they were started."""
        self._cluster = cluster
        self._ledger = ledger
        self._rng = rng
        self._slowness = slowness
        self._site = site
        self._engines: dict[str, DayUpstream] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def add(self, service: str, zone: str) -> None:
        """Start an upstream of a service in a failure domain, and keep its entry written."""
        upstream = DayUpstream(
            name=f"i-{self._rng.getrandbits(32):08x}",
            zone=zone,
            ledger=self._ledger,
            engines=self._engines,
            max_connections=self._site.max_connections(service),
            is_model=service == self._site.model_service,
            rng=Random(self._rng.random()),
            batch=Batch(slowness=self._slowness, memory_tokens=self._site.memory_tokens),
        )
        await upstream.start()
        self.all.append(upstream)
        self._tasks.append(asyncio.create_task(self._beat(upstream, service)))

    async def stop(self) -> None:
        """End all upstreams."""
        for upstream in self.all:
            await upstream.stop()
        for task in self._tasks:
            await cancel_task(task)

    async def _beat(self, upstream: DayUpstream, service: str) -> None:
        """Write the entry of an upstream at intervals until it has ended."""
        sequence, born = 0, Clock().wall()
        while not upstream.has_ended:
            sequence += 1
            entry: dict[str, Any] = {
                "service": service,
                "address": upstream.address,
                "zone": upstream.zone,
                "version": "v1",
                "slots": SLOTS if upstream.is_model else PLAIN_SLOTS,
                "state": "ready" if upstream.leaves_at is None else "draining",
                "coldRemainingMs": 0,
                "sequence": sequence,
                "born": born,
            }
            self._cluster.put_entry(upstream.name, entry)
            await upstream.wait_for_change(HEARTBEAT_S)
        self._cluster.store.delete(f"servers/{upstream.name}")

    async def replace_engines(self, ends_at: float) -> None:
        """Let engines leave one after the other, each after another one has been added."""
        while now_ms() + LEAVING_INTERVAL_S * MS_PER_SECOND < ends_at:
            await asyncio.sleep(LEAVING_INTERVAL_S)
            engines = [one for one in self.all if one.is_model and not one.has_ended]
            engine = self._rng.choice(engines)
            await self.add(self._site.model_service, engine.zone)
            engine.leave(at=now_ms() + LEAVING_NOTICE_S * MS_PER_SECOND)
            await asyncio.sleep(LEAVING_NOTICE_S)
            await engine.stop()
