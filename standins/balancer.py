"""Stand-in for the load balancer of the platform, which offers callers the ready hosts."""

from __future__ import annotations

import asyncio
from typing import final

import aiohttp

from standins.launcher import Cluster
from tanagerscale.core import Clock

POLL_INTERVAL_MS = 100
REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=0.5)


@final
class Balancer:
    """Polls the ``/readyz`` endpoint of each running host.

    :param cluster: Cluster whose hosts are polled.
    :param session: HTTP session used for the polls.
    """

    def __init__(self, *, cluster: Cluster, session: aiohttp.ClientSession) -> None:
        self._cluster = cluster
        self._session = session
        self._clock = Clock()
        self._ready: list[str] = []

    @property
    def ready_hosts(self) -> tuple[str, ...]:
        """Names of the hosts that were ready at the last poll."""
        return tuple(self._ready)

    def urls(self) -> list[str]:
        """Return the base URLs of the ready hosts; of all running hosts when none is ready."""
        running = [name for name, host in self._cluster.hosts.items() if host.running]
        return [self._cluster.caller_url(name) for name in self._ready or running]

    async def run_forever(self) -> None:
        """Poll the hosts and update the list of ready hosts until cancelled."""
        while True:
            names = [name for name, host in self._cluster.hosts.items() if host.running]
            answers = await asyncio.gather(*(self._is_ready(name) for name in names))
            self._ready = [name for name, ready in zip(names, answers, strict=True) if ready]
            await self._clock.sleep(POLL_INTERVAL_MS)

    async def wait_until_ready(self, count: int) -> None:
        """Wait until a number of hosts are ready.

        :param count: Number of ready hosts to wait for.
        """
        while len(self._ready) < count:
            await self._clock.sleep(POLL_INTERVAL_MS)

    async def _is_ready(self, name: str) -> bool:
        try:
            url = f"{self._cluster.caller_url(name)}/readyz"
            async with self._session.get(url, timeout=REQUEST_TIMEOUT) as reply:
                return reply.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
