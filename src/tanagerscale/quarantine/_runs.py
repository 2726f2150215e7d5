"""Which suspects run where, at this host and at its peers."""

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
"""Returns how many tokens a run has made."""

FORGET_AFTER_MS: Final = 3_600_000
"""A peer's run of which nothing more is heard is forgotten after an hour."""

RECENT_MS: Final = 5000
"""A run that broke off so shortly before its engine was known to be dead ran in the crash."""


@unique
class RunEnd(Enum):
    """How a run ended that was not in a known crash."""

    COMPLETE = "complete"
    """It ran to its end, which clears it."""
    CANCELLED = "cancelled"
    """The engine refused it, or this host cancelled it."""
    BROKEN = "broken"
    """It broke off; a crash reported soon after counts it among its suspects."""


class Run(Struct, frozen=True, kw_only=True):
    """One request on one engine through one host.

    :param fingerprint: The request.
    :param engine: Where it runs or is about to.
    :param host: Through which host.
    :param since: When this host learnt of it.
    :param settled: Whether it runs already; otherwise it is only announced.
    """

    fingerprint: Fingerprint
    engine: UpstreamId
    host: HostId
    since: Millis
    settled: bool


class _OwnRun(Struct, kw_only=True):
    since: Millis
    copies: int = 0
    settled: bool = False
    progress: list[Progress] = field(default_factory=list)

    def tokens(self) -> int:
        """Return how far the copy that is farthest has come."""
        return max((progress() for progress in self.progress), default=0)


class _BrokenOff(Struct, frozen=True, kw_only=True):
    ended: Millis
    tokens: int


_Place = tuple[Fingerprint, UpstreamId]


@final
class Runs:
    """The runs that a host knows of: all of its own, and its peers' suspects.

    :param host: This host.
    """

    def __init__(self, *, host: HostId) -> None:
        self._host = host
        self._own: dict[Fingerprint, dict[UpstreamId, _OwnRun]] = {}
        self._broken_off: dict[_Place, _BrokenOff] = {}
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
        """Add a run of this host; several copies may run on one engine."""
        runs = self._own.setdefault(fingerprint, {})
        run = runs.setdefault(engine, _OwnRun(since=now))
        run.copies += 1
        run.settled = run.settled or settled
        run.progress.append(progress)

    def settle(self, *, fingerprint: Fingerprint, engine: UpstreamId) -> None:
        """Note that an announced run goes ahead."""
        run = self._own.get(fingerprint, {}).get(engine)
        if run is not None:
            run.settled = True

    def finish(
        self, *, fingerprint: Fingerprint, engine: UpstreamId, now: Millis, end: RunEnd
    ) -> None:
        """Remove a run of this host."""
        run = self._own.get(fingerprint, {}).get(engine)
        if run is None:
            return
        if end is RunEnd.BROKEN:
            self._broken_off = {
                known: broken
                for known, broken in self._broken_off.items()
                if now - broken.ended <= RECENT_MS
            }
            place = (fingerprint, engine)
            self._broken_off[place] = _BrokenOff(ended=now, tokens=run.tokens())
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
        """Take in where a peer runs a suspect; ``None`` when nowhere."""
        place = (host, fingerprint)
        if engine is None:
            self._peers.pop(place, None)
            return
        known = self._peers.get(place)
        if known is not None and known.engine == engine:
            now = known.since
            settled = settled or known.settled
        self._peers[place] = Run(
            fingerprint=fingerprint, engine=engine, host=host, since=now, settled=settled
        )

    def forget_peer(self, *, host: HostId) -> None:
        """Forget what a peer ran that has gone."""
        for place in [place for place in self._peers if place[0] == host]:
            del self._peers[place]

    def take_victims(
        self, *, engine: UpstreamId, now: Millis, settled_after_ms: int
    ) -> dict[Fingerprint, int]:
        """Remove and return all that ran on an engine when it died, and how far each was.

        :param settled_after_ms: A peer's announced run counts as begun after so long.
        """
        victims = {
            fingerprint: broken.tokens
            for (fingerprint, place), broken in self._broken_off.items()
            if place == engine and now - broken.ended <= RECENT_MS
        }
        for run in list(self.all(now=now)):
            begun = run.settled or (run.host != self._host and now - run.since >= settled_after_ms)
            if run.engine != engine or not begun:
                continue
            tokens = self._tokens_of(run)
            victims[run.fingerprint] = max(victims.get(run.fingerprint, tokens), tokens)
            if run.host == self._host:
                self._remove(run.fingerprint, engine)
            self._peers.pop((run.host, run.fingerprint), None)
        for place in [place for place in self._broken_off if place[1] == engine]:
            del self._broken_off[place]
        return victims

    def own(self) -> Iterator[Run]:
        """Return the runs of this host."""
        for fingerprint in self._own:
            yield from self.own_runs(fingerprint=fingerprint)

    def own_runs(self, *, fingerprint: Fingerprint) -> Iterator[Run]:
        """Return this host's runs of a request, one for each engine that runs copies of it."""
        for engine, run in self._own.get(fingerprint, {}).items():
            yield Run(
                fingerprint=fingerprint,
                engine=engine,
                host=self._host,
                since=run.since,
                settled=run.settled,
            )

    def own_run(self, *, fingerprint: Fingerprint) -> Run | None:
        """Return the first of this host's runs of a request; a suspect has no other."""
        return next(self.own_runs(fingerprint=fingerprint), None)

    def own_engines(self, *, fingerprint: Fingerprint) -> frozenset[UpstreamId]:
        """Return the engines that run copies of a request for this host."""
        return frozenset(self._own.get(fingerprint, ()))

    def all(self, *, now: Millis) -> Iterator[Run]:
        """Return all known runs."""
        yield from self.own()
        for run in self._peers.values():
            if now - run.since < FORGET_AFTER_MS:
                yield run

    def _tokens_of(self, run: Run) -> int:
        if run.host != self._host:
            return UNKNOWN_TOKENS
        return self._own[run.fingerprint][run.engine].tokens()

    def _remove(self, fingerprint: Fingerprint, engine: UpstreamId) -> None:
        runs = self._own.get(fingerprint)
        if runs is not None and runs.pop(engine, None) is not None and not runs:
            del self._own[fingerprint]
