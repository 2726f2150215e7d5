"""Finds out whether an upstream has crashed after responses of it broke off.

The path of this host may have failed instead, for a moment or for all upstreams, or the upstream
may have closed connections and live on. None of that is evidence against the requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from enum import unique
from random import Random
from typing import Final
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.quarantine import Run
from tanagerscale.quarantine import SuspectTracker
from tanagerscale.upstreams import PROBE_TIMEOUT_MS
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamPaths

MAX_OTHERS: Final = 2
"""Other upstreams that are probed at a time to see whether this host has a path."""

RECHECK_INTERVAL_MS: Final = 300
"""Mean interval between two checks while this host reaches no upstream."""

PATH_GRACE_MS: Final = 1000
"""Time in which the other hosts notice that they reach no upstream either."""

MAX_CHECK_MS: Final = 15_000
"""Time after which a check ends without a finding."""

MAX_FINDING_MS: Final = 300
"""Longest time for which a suspected request waits for a finding."""

_log = get_logger(part="quarantine")


@unique
class Finding(Enum):
    """Why responses of an upstream broke off."""

    CRASHED = "crashed"
    """Other upstreams answer, and it does not."""
    ANSWERS = "answers"
    """The upstream answers."""
    NO_PATH = "no-path"
    """This host reaches no upstream, and others do."""
    LEAVING = "leaving"
    """The upstream has said meanwhile that it is leaving."""
    UNKNOWN = "unknown"
    """No upstream has answered for long."""


class _Check:
    """A check of one upstream, and the runs that depend on its finding."""

    __slots__ = ("runs", "task")

    def __init__(self) -> None:
        self.runs: list[Run] = []
        self.task: asyncio.Task[None] | None = None


@final
class CrashReports:
    """Reports the runs of an upstream to the suspects once it is known to have crashed.

    :param suspects: Receives the crashes.
    :param paths: Probes upstreams.
    :param is_leaving: Returns whether an upstream is leaving.
    :param have_peers_path: Returns whether another host reaches upstreams.
    :param clock: Source of the current time.
    :param rng: Random number generator that selects upstreams and spreads probes.
    """

    def __init__(
        self,
        *,
        suspects: SuspectTracker,
        paths: UpstreamPaths,
        is_leaving: Callable[[UpstreamId], bool],
        have_peers_path: Callable[[], bool],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._suspects = suspects
        self._paths = paths
        self._is_leaving = is_leaving
        self._have_peers_path = have_peers_path
        self._clock = clock
        self._rng = rng
        self._checks: dict[UpstreamId, _Check] = {}
        self.on_finding: Callable[[Finding, int], None] = lambda _finding, _runs: None
        """Called with each finding and the number of runs that it concerns."""

    def add(self, *, entry: UpstreamEntry, run: Run) -> None:
        """Check an upstream, and report a run that broke off there if it has crashed.

        :param entry: The upstream.
        :param run: Keys of the run that may have crashed it.
        """
        check = self._checks.get(entry.upstream)
        if check is None:
            check = self._checks[entry.upstream] = _Check()
            check.task = asyncio.create_task(self._run(entry, check))
        check.runs.append(run)

    async def wait_for_finding(self, upstream: UpstreamId) -> None:
        """Wait for a short time until it is known whether an upstream has crashed."""
        check = self._checks.get(upstream)
        if check is not None and check.task is not None:
            await asyncio.wait([check.task], timeout=MAX_FINDING_MS / MS_PER_SECOND)

    async def stop(self) -> None:
        """Stop all checks."""
        tasks = [check.task for check in self._checks.values() if check.task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _run(self, entry: UpstreamEntry, check: _Check) -> None:
        began = self._clock.now()
        try:
            finding = await self._find_out(entry, began)
        finally:
            del self._checks[entry.upstream]
        self.on_finding(finding, len(check.runs))
        _log.info(
            "It is known why responses broke off.",
            upstream=entry.upstream,
            finding=finding.value,
            runs=len(check.runs),
            took_ms=self._clock.now() - began,
        )
        if finding is Finding.CRASHED:
            self._suspects.record_crash(upstream=entry.upstream, runs=check.runs)

    async def _find_out(self, entry: UpstreamEntry, began: Millis) -> Finding:
        was_silent = False
        while True:
            # The path is checked first: it may have been reset only for a moment.
            has_path = await self._reaches_another(entry)
            probed_at = self._clock.now()
            if not self._is_replaced(entry) and await self._paths.answers([entry]):
                return Finding.ANSWERS
            is_silent = self._clock.now() - probed_at >= PROBE_TIMEOUT_MS
            waited_ms = self._clock.now() - began
            if has_path and is_silent and not was_silent:
                # An overloaded host may have read the answer too late.
                was_silent = True
                continue
            if has_path:
                # The entry of an upstream that has crashed is replaced, or removed seconds later.
                is_told = self._is_leaving(entry.upstream) and not self._is_replaced(entry)
                is_leaving = is_told and waited_ms < PATH_GRACE_MS
                return Finding.LEAVING if is_leaving else Finding.CRASHED
            if waited_ms >= PATH_GRACE_MS and self._have_peers_path():
                return Finding.NO_PATH
            if waited_ms >= MAX_CHECK_MS:
                return Finding.UNKNOWN
            interval_ms = RECHECK_INTERVAL_MS * self._rng.uniform(0.5, 1.5)
            await self._clock.sleep(int(interval_ms))

    async def _reaches_another(self, entry: UpstreamEntry) -> bool:
        others = [one for one in self._paths.known() if one.address != entry.address]
        self._rng.shuffle(others)
        others.sort(key=lambda one: one.upstream in self._checks)
        # The upstream itself has to be reached by a new connection, and open ones may live on while
        # the path is lost for those.
        for some in (others[:1], others[1 : 1 + MAX_OTHERS]):
            if await self._paths.answers(some, force_new=True):
                return True
        return False

    def _is_replaced(self, entry: UpstreamEntry) -> bool:
        """Return whether another upstream has the address now."""
        return any(
            one.address == entry.address and one.upstream != entry.upstream
            for one in self._paths.known()
        )
