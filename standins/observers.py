"""What a soak run watches while failures happen: revisions in force, and engines that crash."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import final

import aiohttp
import msgspec

from standins.engine import CRASH_EXIT_STATUS
from standins.launcher import Cluster
from tanagerscale.core import Clock
from tanagerscale.generated.callers import HostStatus
from tanagerscale.generated.declarations import DeclarationSet

INTERVAL_MS = 200
RESTART_MS = 2_000
APPLY_PAUSE_MS = (3_000, 6_000)
SETTLE_MS = 15_000
TIMEOUT = aiohttp.ClientTimeout(total=0.5)
OPERATORS = ("operator-a", "operator-b")


@final
class RevisionWatch:
    """Reads which revision each host has in force, and notes when one goes back.

    :param cluster: Whose hosts.
    :param session: For its questions.
    """

    def __init__(self, *, cluster: Cluster, session: aiohttp.ClientSession) -> None:
        self._cluster = cluster
        self._session = session
        self._clock = Clock()
        self._highest: dict[str, int] = {}
        self._digests: dict[int, str] = {}
        self.broken: list[str] = []

    async def run_forever(self) -> None:
        """Watch."""
        while True:
            await self.statuses()
            await self._clock.sleep(INTERVAL_MS)

    async def statuses(self) -> dict[str, HostStatus]:
        """Return what the hosts say now, by host; those that don't answer are left out."""
        names = [name for name, host in self._cluster.hosts.items() if host.running]
        answers = await asyncio.gather(*(self._ask(name) for name in names))
        found = {
            name: status for name, status in zip(names, answers, strict=True) if status is not None
        }
        for name, status in found.items():
            self._check(name, status)
        return found

    async def settle(self) -> bool:
        """Wait until all hosts have the highest revision seen; false when they don't get there."""
        for _ in range(SETTLE_MS // INTERVAL_MS):
            statuses = await self.statuses()
            running = [host for host in self._cluster.hosts.values() if host.running]
            revisions = {status.revision for status in statuses.values()}
            if len(statuses) == len(running) and revisions == {max(self._digests, default=0)}:
                return True
            await self._clock.sleep(INTERVAL_MS)
        return False

    def _check(self, name: str, status: HostStatus) -> None:
        before = self._highest.get(name, 0)
        if status.revision < before:
            self.broken.append(f"{name} went from revision {before} to {status.revision}")
        self._highest[name] = max(before, status.revision)
        if not status.revision:
            return
        known = self._digests.setdefault(status.revision, status.digest)
        if known != status.digest:
            self.broken.append(f"{name} has another set as revision {status.revision}")

    async def _ask(self, name: str) -> HostStatus | None:
        try:
            url = f"{self._cluster.caller_url(name)}/v1/status"
            async with self._session.get(url, timeout=TIMEOUT) as reply:
                return msgspec.json.decode(await reply.read(), type=HostStatus)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            return None


@final
class Operators:
    """Two operators who apply their files at the same moment, again and again.

    :param cluster: Where.
    :param rng: Chooses when.
    :param say: Tells people what happens.
    """

    def __init__(self, *, cluster: Cluster, rng: Random, say: Callable[[str], None]) -> None:
        self._cluster = cluster
        self._rng = rng
        self._say = say
        self._clock = Clock()
        self._number = 0
        self.codes: list[int] = []
        self.tracebacks: list[str] = []

    async def run_forever(self) -> None:
        """Apply."""
        while True:
            await self._clock.sleep(self._rng.randint(*APPLY_PAUSE_MS))
            results = await asyncio.gather(
                *(
                    self._cluster.apply(declarations=self._next(), author=author)
                    for author in OPERATORS
                )
            )
            codes = [result.returncode for result in results]
            self.codes += codes
            self.tracebacks += [item.errors for item in results if "Traceback" in item.errors]
            self._say(f"two operators applied at once: exit codes {codes}")

    def _next(self) -> DeclarationSet:
        self._number += 1
        declared = self._cluster.declarations
        objective = msgspec.structs.replace(declared.objective, first_token_ms=2_000 + self._number)
        return msgspec.structs.replace(declared, objective=objective)


@final
class Restarter:
    """Restarts engines that a request has crashed, as the platform does.

    :param cluster: Whose engines.
    :param say: Tells people what happens.
    """

    def __init__(self, *, cluster: Cluster, say: Callable[[str], None]) -> None:
        self._cluster = cluster
        self._say = say
        self._clock = Clock()
        self.crashes = 0

    async def run_forever(self) -> None:
        """Restart."""
        while True:
            for name, engine in tuple(self._cluster.engines.items()):
                if engine.returncode == CRASH_EXIT_STATUS:
                    self.crashes += 1
                    self._say(f"a request crashed {name}")
                    await self._clock.sleep(RESTART_MS)
                    # A failure that was inflicted meanwhile has its own restart.
                    if self._cluster.engines[name] is engine:
                        await self._cluster.start_engine(name)
            await self._clock.sleep(INTERVAL_MS)
