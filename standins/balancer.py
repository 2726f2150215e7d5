"""The platform's balancer as callers see it: it offers the hosts that say they are ready."""

from __future__ import annotations

import asyncio
from typing import final

import aiohttp

from standins.launcher import Cluster
from tanagerscale.core import Clock

INTERVAL_MS = 100
TIMEOUT = aiohttp.ClientTimeout(total=0.5)


@final
class Balancer:
    """Asks each host's ``/readyz`` again and again.

    :param cluster: Whose hosts.
    :param session: For its questions.
    """

    def __init__(self, *, cluster: Cluster, session: aiohttp.ClientSession) -> None:
        self._cluster = cluster
        self._session = session
        self._clock = Clock()
        self._ready: list[str] = []

    @property
    def ready(self) -> tuple[str, ...]:
        """Names of the hosts that were ready a moment ago."""
        return tuple(self._ready)

    def urls(self) -> list[str]:
        """Return base URLs of ready hosts; of all hosts when none is ready."""
        running = [name for name, host in self._cluster.hosts.items() if host.running]
        return [self._cluster.caller_url(name) for name in self._ready or running]

    async def run_forever(self) -> None:
        """Keep the list of ready hosts fresh."""
        while True:
            names = [name for name, host in self._cluster.hosts.items() if host.running]
            answers = await asyncio.gather(*(self._is_ready(name) for name in names))
            self._ready = [name for name, ready in zip(names, answers, strict=True) if ready]
            await self._clock.sleep(INTERVAL_MS)

    async def wait_for(self, count: int) -> None:
        """Wait until so many hosts are ready.

        :param count: How many.
        """
        while len(self._ready) < count:
            await self._clock.sleep(INTERVAL_MS)

    async def _is_ready(self, name: str) -> bool:
        try:
            url = f"{self._cluster.caller_url(name)}/readyz"
            async with self._session.get(url, timeout=TIMEOUT) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
