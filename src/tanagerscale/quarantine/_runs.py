"""Runs of requests on this host, and of suspects on its peers."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
from enum import Enum
from enum import unique
from typing import Final
from typing import final

from msgspec import Struct
from msgspec import field

from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.quarantine._rules import UNKNOWN_TOKENS
from tanagerscale.quarantine._rules import Fingerprint

Progress = Callable[[], int]
"""Returns the number of tokens that a run has generated."""

PEER_RUN_TTL_MS: Final = 3_600_000
"""A peer's run is ignored one hour after the first report that it runs on its engine."""

MAX_CRASH_DETECTION_DELAY_MS: Final = 5000
"""A run that broke off at most this long before the crash of its engine was detected counts as
having run during the crash."""


@unique
class RunEnd(Enum):
    """How a run ended that did not end with a detected crash."""

    COMPLETE = "complete"
    """The run completed, which clears the request."""
    CANCELLED = "cancelled"
    """The engine refused it, or this host cancelled it."""
    BROKEN = "broken"
    """The run broke off; it becomes a suspect if a crash is reported shortly afterwards."""


class Run(Struct, frozen=True, kw_only=True):
    """Run of a request on one engine for one host.

    :param fingerprint: Fingerprint of the request.
    :param engine: Engine that runs it or will run it.
    :param host: Host that sends the request.
    :param since: When this host registered the run, on the monotonic clock.
    :param settled: Whether it has started; otherwise it is only announced.
    """

    fingerprint: Fingerprint
    engine: UpstreamId
    host: HostId
    since: Millis
    settled: bool


class _LocalRun(Struct, kw_only=True):
    since: Millis
    copies: int = 0
    settled: bool = False
    progress: list[Progress] = field(default_factory=list)

    def tokens(self) -> int:
        """Return the largest number of tokens that any of the copies has generated."""
        return max((progress() for progress in self.progress), default=0)


class _BrokenRun(Struct, frozen=True, kw_only=True):
    ended: Millis
    tokens: int


_RunKey = tuple[Fingerprint, UpstreamId]


@final
class Runs:
    """Registry of all runs on this host, and of the runs of suspects on its peers.

    :param host: Id of this host.
    """

    def __init__(self, *, host: HostId) -> None:
        self._host = host
        self._local: dict[Fingerprint, dict[UpstreamId, _LocalRun]] = {}
        self._broken_runs: dict[_RunKey, _BrokenRun] = {}
        self._peers: dict[tuple[HostId, Fingerprint], Run] = {}

    def start(
        self,
        *,
        fingerprint: Fingerprint,
        engine: UpstreamId,
        now: Millis,
        settled: bool,
        progress: Progress,
    ) -> None:
        """Add a local run; several copies may run on one engine.

        :param now: Current time on the monotonic clock.
        :param settled: Whether the run starts now; otherwise it is only announced.
        :param progress: Returns the number of tokens that the run has generated.
        """
        runs = self._local.setdefault(fingerprint, {})
        run = runs.setdefault(engine, _LocalRun(since=now))
        run.copies += 1
        run.settled = run.settled or settled
        run.progress.append(progress)

    def mark_settled(self, *, fingerprint: Fingerprint, engine: UpstreamId) -> None:
        """Record that an announced run starts."""
        run = self._local.get(fingerprint, {}).get(engine)
        if run is not None:
            run.settled = True

    def finish(
        self, *, fingerprint: Fingerprint, engine: UpstreamId, now: Millis, end: RunEnd
    ) -> None:
        """Remove a local run; one that broke off is remembered in case a crash is reported."""
        run = self._local.get(fingerprint, {}).get(engine)
        if run is None:
            return
        if end is RunEnd.BROKEN:
            self._broken_runs = {
                key: broken
                for key, broken in self._broken_runs.items()
                if now - broken.ended <= MAX_CRASH_DETECTION_DELAY_MS
            }
            key = (fingerprint, engine)
            self._broken_runs[key] = _BrokenRun(ended=now, tokens=run.tokens())
        run.copies -= 1
        if run.copies <= 0:
            self._remove(fingerprint, engine)

    def set_peer(
        self,
        *,
        host: HostId,
        fingerprint: Fingerprint,
        engine: UpstreamId | None,
        settled: bool,
        now: Millis,
    ) -> None:
        """Record where a peer runs a suspect.

        :param engine: Engine that runs it; ``None`` if the peer does not run it.
        :param settled: Whether the run has started; otherwise it is only announced.
        """
        key = (host, fingerprint)
        if engine is None:
            self._peers.pop(key, None)
            return
        previous = self._peers.get(key)
        if previous is not None and previous.engine == engine:
            now = previous.since
            settled = settled or previous.settled
        self._peers[key] = Run(
            fingerprint=fingerprint, engine=engine, host=host, since=now, settled=settled
        )

    def remove_peer(self, *, host: HostId) -> None:
        """Remove all runs of a peer."""
        for key in [key for key in self._peers if key[0] == host]:
            del self._peers[key]

    def take_crashed_runs(
        self, *, engine: UpstreamId, now: Millis, settled_after_ms: int
    ) -> dict[Fingerprint, int]:
        """Remove and return the runs on an engine that has crashed.

        :param settled_after_ms: Time after which an announced run of a peer counts as started.
        :returns: The number of generated tokens, by fingerprint.
        """
        crashed_runs = {
            fingerprint: broken.tokens
            for (fingerprint, broken_on), broken in self._broken_runs.items()
            if broken_on == engine and now - broken.ended <= MAX_CRASH_DETECTION_DELAY_MS
        }
        for run in list(self.get_runs(now=now)):
            started = run.settled or (
                run.host != self._host and now - run.since >= settled_after_ms
            )
            if run.engine != engine or not started:
                continue
            tokens = self._tokens_of(run)
            crashed_runs[run.fingerprint] = max(crashed_runs.get(run.fingerprint, tokens), tokens)
            if run.host == self._host:
                self._remove(run.fingerprint, engine)
            self._peers.pop((run.host, run.fingerprint), None)
        for key in [key for key in self._broken_runs if key[1] == engine]:
            del self._broken_runs[key]
        return crashed_runs

    def local_runs(self) -> Iterator[Run]:
        """Return all runs of this host."""
        for fingerprint in self._local:
            yield from self.local_runs_of(fingerprint=fingerprint)

    def local_runs_of(self, *, fingerprint: Fingerprint) -> Iterator[Run]:
        """Return the local runs of a request, one for each engine that runs copies of it."""
        for engine, run in self._local.get(fingerprint, {}).items():
            yield Run(
                fingerprint=fingerprint,
                engine=engine,
                host=self._host,
                since=run.since,
                settled=run.settled,
            )

    def find_local_run(self, *, fingerprint: Fingerprint) -> Run | None:
        """Return the first local run of a request; a suspect has at most one."""
        return next(self.local_runs_of(fingerprint=fingerprint), None)

    def get_local_engines(self, *, fingerprint: Fingerprint) -> frozenset[UpstreamId]:
        """Return the engines that run local copies of a request."""
        return frozenset(self._local.get(fingerprint, ()))

    def get_runs(self, *, now: Millis) -> Iterator[Run]:
        """Return all local runs and all recent runs of peers."""
        yield from self.local_runs()
        for run in self._peers.values():
            if now - run.since < PEER_RUN_TTL_MS:
                yield run

    def _tokens_of(self, run: Run) -> int:
        if run.host != self._host:
            return UNKNOWN_TOKENS
        return self._local[run.fingerprint][run.engine].tokens()

    def _remove(self, fingerprint: Fingerprint, engine: UpstreamId) -> None:
        runs = self._local.get(fingerprint)
        if runs is not None and runs.pop(engine, None) is not None and not runs:
            del self._local[fingerprint]
