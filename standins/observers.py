"""Background tasks of the soak run: revision checks, operators and restarts of crashed engines."""

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

POLL_INTERVAL_MS = 200
ENGINE_RESTART_DELAY_MS = 2_000
APPLY_INTERVAL_RANGE_MS = (3_000, 6_000)
CONVERGENCE_TIMEOUT_MS = 15_000
REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=0.5)
OPERATORS = ("operator-a", "operator-b")


@final
class RevisionMonitor:
    """Reads the revision in force at each host, and records inconsistent revisions.

    A violation is a host that returns to an older revision, or two hosts that have different
    declarations under the same revision.

    :param cluster: Cluster whose hosts are read.
    :param session: HTTP session used for the reads.
    """

    def __init__(self, *, cluster: Cluster, session: aiohttp.ClientSession) -> None:
        self._cluster = cluster
        self._session = session
        self._clock = Clock()
        self._highest_revisions: dict[str, int] = {}
        self._digests: dict[int, str] = {}
        self.violations: list[str] = []

    async def run_forever(self) -> None:
        """Check the revisions of all hosts until cancelled."""
        while True:
            await self.get_statuses()
            await self._clock.sleep(POLL_INTERVAL_MS)

    async def get_statuses(self) -> dict[str, HostStatus]:
        """Return the current status by host; hosts that do not answer are omitted."""
        names = [name for name, host in self._cluster.hosts.items() if host.running]
        answers = await asyncio.gather(*(self._fetch_status(name) for name in names))
        found = {
            name: status for name, status in zip(names, answers, strict=True) if status is not None
        }
        for name, status in found.items():
            self._check(name, status)
        return found

    async def wait_for_convergence(self) -> bool:
        """Wait until all running hosts have the highest revision seen.

        :returns: Whether they reached it within ``CONVERGENCE_TIMEOUT_MS``.
        """
        for _ in range(CONVERGENCE_TIMEOUT_MS // POLL_INTERVAL_MS):
            statuses = await self.get_statuses()
            running = [host for host in self._cluster.hosts.values() if host.running]
            revisions = {status.revision for status in statuses.values()}
            if len(statuses) == len(running) and revisions == {max(self._digests, default=0)}:
                return True
            await self._clock.sleep(POLL_INTERVAL_MS)
        return False

    def _check(self, name: str, status: HostStatus) -> None:
        previous = self._highest_revisions.get(name, 0)
        if status.revision < previous:
            self.violations.append(
                f"{name} went back from revision {previous} to {status.revision}"
            )
        self._highest_revisions[name] = max(previous, status.revision)
        if not status.revision:
            return
        known = self._digests.setdefault(status.revision, status.digest)
        if known != status.digest:
            self.violations.append(f"{name} has a different digest for revision {status.revision}")

    async def _fetch_status(self, name: str) -> HostStatus | None:
        try:
            url = f"{self._cluster.caller_url(name)}/v1/status"
            async with self._session.get(url, timeout=REQUEST_TIMEOUT) as reply:
                return msgspec.json.decode(await reply.read(), type=HostStatus)
        except (aiohttp.ClientError, TimeoutError, OSError, msgspec.MsgspecError):
            return None


@final
class Operators:
    """Two operators who repeatedly apply their declarations at the same time.

    :param cluster: Cluster to which the declarations are applied.
    :param rng: Random number generator used to choose the intervals.
    :param log: Prints a progress message.
    """

    def __init__(self, *, cluster: Cluster, rng: Random, log: Callable[[str], None]) -> None:
        self._cluster = cluster
        self._rng = rng
        self._log = log
        self._clock = Clock()
        self._apply_count = 0
        self.exit_codes: list[int] = []
        self.tracebacks: list[str] = []

    async def run_forever(self) -> None:
        """Apply declarations at random intervals until cancelled."""
        while True:
            await self._clock.sleep(self._rng.randint(*APPLY_INTERVAL_RANGE_MS))
            results = await asyncio.gather(
                *(
                    self._cluster.apply(declarations=self._next_declarations(), author=author)
                    for author in OPERATORS
                )
            )
            codes = [result.returncode for result in results]
            self.exit_codes += codes
            self.tracebacks += [item.errors for item in results if "Traceback" in item.errors]
            self._log(f"two operators applied concurrently: exit codes {codes}")

    def _next_declarations(self) -> DeclarationSet:
        self._apply_count += 1
        declared = self._cluster.declarations
        objective = msgspec.structs.replace(
            declared.objective, first_token_ms=2_000 + self._apply_count
        )
        return msgspec.structs.replace(declared, objective=objective)


@final
class EngineRestarter:
    """Restarts engines that were crashed by a request, as the platform does.

    :param cluster: Cluster whose engines are restarted.
    :param log: Prints a progress message.
    """

    def __init__(self, *, cluster: Cluster, log: Callable[[str], None]) -> None:
        self._cluster = cluster
        self._log = log
        self._clock = Clock()
        self.crashes = 0

    async def run_forever(self) -> None:
        """Restart crashed engines until cancelled."""
        while True:
            for name, engine in tuple(self._cluster.engines.items()):
                if engine.returncode == CRASH_EXIT_STATUS:
                    self.crashes += 1
                    self._log(f"a request crashed {name}")
                    await self._clock.sleep(ENGINE_RESTART_DELAY_MS)
                    # An injected failure may have replaced the engine in the meantime.
                    if self._cluster.engines[name] is engine:
                        await self._cluster.start_engine(name)
            await self._clock.sleep(POLL_INTERVAL_MS)
