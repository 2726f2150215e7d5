"""What a host knows of requests that crash upstreams, shared with its peers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import random
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import Verdict
from tanagerscale.quarantine._announcements import Announcements
from tanagerscale.quarantine._persistence import RETRY_MS
from tanagerscale.quarantine._persistence import VerdictKeeper
from tanagerscale.quarantine._rules import MAX_SETTLE_MS
from tanagerscale.quarantine._rules import MERGE_MS
from tanagerscale.quarantine._rules import SETTLE_MS
from tanagerscale.quarantine._rules import Crash
from tanagerscale.quarantine._rules import Fingerprint
from tanagerscale.quarantine._rules import StopRequest
from tanagerscale.quarantine._rules import Suspicion
from tanagerscale.quarantine._rules import Suspicions
from tanagerscale.quarantine._rules import parse_crash
from tanagerscale.quarantine._runs import Progress
from tanagerscale.quarantine._runs import Run
from tanagerscale.quarantine._runs import RunEnd
from tanagerscale.quarantine._runs import Runs
from tanagerscale.store import Store

VERDICT_TTL_MS: Final = 3_600_000
log = get_logger(part="quarantine")


@final
class Quarantine:
    """Keeps requests that crash upstreams from more than two of them.

    For each attempt dispatch calls ``check``, leaves out ``excluded_engines``, awaits ``admit``
    for the engine it chose, and at the end calls ``on_finished``. When ``admit`` says no, it
    chooses again; when all engines are excluded, it waits for ``changes``.

    :param store: Where convictions stand.
    :param prefix: First part of all keys of this installation.
    :param host: This host.
    :param clock: Measures how long a verdict stands.
    :param rng: Spreads retries.
    :param verdict_ttl_ms: How long a verdict stands, in milliseconds.
    """

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        host: HostId,
        clock: Clock,
        rng: random.Random,
        verdict_ttl_ms: int = VERDICT_TTL_MS,
    ) -> None:
        self._host = host
        self._clock = clock
        self._ttl_ms = verdict_ttl_ms
        self._suspicions = Suspicions()
        self._runs = Runs(host=host)
        self._announcements = Announcements(runs=self._runs)
        self._keeper = VerdictKeeper(
            store=store, prefix=f"{prefix}/quarantine/", clock=clock, rng=rng
        )
        self._stops: Subject[StopRequest] = Subject()
        self._changes: Subject[None] = Subject()

    @property
    def verdicts(self) -> Observable[Verdict]:
        """What is to be sent to all peers at once."""
        return self._announcements.verdicts

    @property
    def stops(self) -> Observable[StopRequest]:
        """Copies to cancel and start again, where nothing has been delivered."""
        return self._stops

    @property
    def changes(self) -> Observable[None]:
        """Fires when an excluded engine may have become free, or a request convicted."""
        return self._changes

    def check(self, *, fingerprint: Fingerprint) -> Problem | None:
        """Return the final answer to a request that is quarantined."""
        known = self._known(fingerprint)
        if known is None or not known.convicted:
            return None
        return Problem(
            kind=ProblemKind.QUARANTINED,
            detail="This request has crashed engines and was not run again; change it, or send "
            "it after the time given.",
            execution=Execution.NOT_EXECUTED,
            retry_after_ms=max(known.expires - self._clock.now(), 1),
        )

    def is_suspect(self, *, fingerprint: Fingerprint) -> bool:
        """Tell whether a request ran in a crash that is not explained."""
        return self._known(fingerprint) is not None

    def runs_anywhere(self, *, fingerprint: Fingerprint) -> bool:
        """Tell whether no engine is excluded for a request, as for nearly all of them."""
        runs = self._runs.own_engines(fingerprint=fingerprint)
        return not runs and self._known(fingerprint) is None

    def excluded_engines(
        self, *, fingerprint: Fingerprint, engines: Iterable[UpstreamId]
    ) -> frozenset[UpstreamId]:
        """Return the engines that a request must not be sent to now.

        :param fingerprint: The request.
        :param engines: Engines to choose from.
        """
        return frozenset(engine for engine in engines if not self._may_run(fingerprint, engine))

    async def admit(
        self,
        *,
        fingerprint: Fingerprint,
        engine: UpstreamId,
        progress: Progress = lambda: 0,
    ) -> bool:
        """Ask, immediately before sending, to run a request on an engine.

        A suspect's run is announced to the peers first, so that two hosts that choose at the
        same moment see each other.

        :param progress: Returns how many tokens the run has made.
        :returns: Whether it may run; it is then counted as running until ``on_finished``.
        """
        if not self._may_run(fingerprint, engine):
            return False
        announced = self._clock.now()
        suspect = self.is_suspect(fingerprint=fingerprint)
        self._runs.start(
            fingerprint=fingerprint,
            engine=engine,
            now=announced,
            settled=not suspect,
            progress=progress,
        )
        if not suspect:
            return True
        self._announce(fingerprint)
        try:
            await self._clock.sleep(SETTLE_MS)
        except asyncio.CancelledError:
            self._withdraw(fingerprint, engine)
            raise
        on_time = self._clock.now() - announced <= MAX_SETTLE_MS
        if on_time and self._may_run(fingerprint, engine, announced=announced):
            self._runs.settle(fingerprint=fingerprint, engine=engine)
            return True
        self._withdraw(fingerprint, engine)
        return False

    def on_finished(self, *, fingerprint: Fingerprint, engine: UpstreamId, end: RunEnd) -> None:
        """Tell that a request no longer runs on an engine, for any reason but a crash.

        :param end: How it ended.
        """
        self._runs.finish(
            fingerprint=fingerprint,
            engine=engine,
            now=self._clock.now(),
            end=end,
        )
        known = self._known(fingerprint)
        if known is None or known.convicted:
            self._announce_run_end(fingerprint)
            return
        complete = end is RunEnd.COMPLETE
        if complete:
            self._suspicions.clear(fingerprint=fingerprint)
        self._announcements.send(verdict=self._to_verdict(fingerprint, known, cleared=complete))
        self._changes.on_next(None)

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Take in that an engine has died; all that ran there are suspects.

        To be called before anything that ran there is sent again, and only when the engine
        itself has died: a broken link proves nothing against a request.
        """
        wall_ms = self._clock.wall()
        victims = self._runs.take_victims(
            engine=engine, now=self._clock.now(), settled_after_ms=SETTLE_MS
        )
        # Those with crashes behind them go first: a conviction explains the crash for the rest.
        for fingerprint in sorted(victims, key=lambda one: (self._known(one) is None, one)):
            crash = Crash(engine=engine, wall_ms=wall_ms, tokens=victims[fingerprint])
            self._blame(fingerprint, (crash,))
            self._announce_run_end(fingerprint)
        self._changes.on_next(None)

    def on_peer_verdict(self, *, verdict: Verdict, peer: HostId) -> None:
        """Take in what a peer knows.

        :param verdict: Its message.
        :param peer: The peer.
        """
        fingerprint = Fingerprint(verdict.fingerprint)
        crashes = [crash for text in verdict.crashes if (crash := parse_crash(text)) is not None]
        engine = UpstreamId(verdict.engine) if verdict.engine else None
        self._runs.set_peer(
            host=peer,
            fingerprint=fingerprint,
            engine=engine,
            settled=verdict.settled,
            now=self._clock.now(),
        )
        if verdict.cleared:
            self._suspicions.clear(fingerprint=fingerprint)
        else:
            self._take_in(fingerprint, verdict, tuple(crashes))
        self._changes.on_next(None)

    def on_peer_gone(self, *, peer: HostId) -> None:
        """Forget what a dead peer ran."""
        self._runs.forget_peer(host=peer)
        self._changes.on_next(None)

    def snapshot(self) -> Sequence[Verdict]:
        """Return all that is known, for a peer that has just connected."""
        verdicts = [
            self._to_verdict(fingerprint, known)
            for fingerprint in list(self._suspicions.known)
            if (known := self._known(fingerprint)) is not None
        ]
        for verdict in verdicts:
            self._announcements.note_sent(verdict=verdict)
        return verdicts

    async def load(self) -> None:
        """Read the convictions from the store, trying until it answers."""
        while True:
            loaded = await self._keeper.load()
            if isinstance(loaded, Success):
                break
            await self._clock.sleep(RETRY_MS)
        for verdict in loaded.unwrap():
            if verdict.convicted:
                self._take_in(Fingerprint(verdict.fingerprint), verdict, ())

    async def close(self) -> None:
        """Stop background work."""
        await self._keeper.close()

    def _known(self, fingerprint: Fingerprint) -> Suspicion | None:
        return self._suspicions.get(fingerprint=fingerprint, now=self._clock.now())

    def _may_run(
        self, fingerprint: Fingerprint, engine: UpstreamId, *, announced: Millis | None = None
    ) -> bool:
        """Tell whether no other run speaks against this one.

        :param announced: When this run was announced, if it was.
        """
        known = self._known(fingerprint)
        if known is None:
            # Copies run side by side on one engine, so that they can crash only that one, and so
            # that peers can be told in one word where a suspect runs.
            return self._runs.own_engines(fingerprint=fingerprint) <= {engine}
        if known.convicted or self._crashed_lately(known, engine):
            return False
        for run in self._runs.all(now=self._clock.now()):
            if not self._conflicts(run, fingerprint, engine, known):
                continue
            # Of two runs announced at the same moment the lower one goes ahead.
            later = announced is not None and run.since >= announced and not run.settled
            if not later or (run.fingerprint, run.host) < (fingerprint, self._host):
                return False
        return True

    def _conflicts(
        self, run: Run, fingerprint: Fingerprint, engine: UpstreamId, known: Suspicion | None
    ) -> bool:
        if run.fingerprint == fingerprint:
            # A suspect's copies share one engine, so that they can crash only that one.
            return run.engine != engine
        # Suspects of different crashes are kept apart too: if one of them crashed the engine, the
        # other would have two crashes behind it as well.
        both = known is not None and self._known(run.fingerprint) is not None
        return both and run.engine == engine

    def _crashed_lately(self, known: Suspicion, engine: UpstreamId) -> bool:
        now = self._clock.wall()
        return any(
            crash.engine == engine and now - crash.wall_ms <= 2 * MERGE_MS
            for crash in known.crashes
        )

    def _blame(self, fingerprint: Fingerprint, crashes: tuple[Crash, ...]) -> None:
        suspicion = Suspicion(
            crashes=crashes,
            expires=Millis(self._clock.now() + self._ttl_ms),
            expires_wall_ms=self._clock.wall() + self._ttl_ms,
            convicted=False,
        )
        known = self._suspicions.blame(fingerprint=fingerprint, suspicion=suspicion)
        if known is None:
            return
        self._announce(fingerprint)
        self._stop_copies(fingerprint, known)
        if known.convicted:
            log.warning("A request was convicted.", fingerprint=fingerprint)
            self._keep(fingerprint, known)

    def _take_in(
        self, fingerprint: Fingerprint, verdict: Verdict, crashes: tuple[Crash, ...]
    ) -> None:
        # A peer's clock may be wrong, so its verdict stands no longer than one of ours.
        left = min(verdict.expires_wall_ms - self._clock.wall(), self._ttl_ms)
        if left <= 0:
            return
        before = self._known(fingerprint)
        suspicion = Suspicion(
            crashes=crashes,
            expires=Millis(self._clock.now() + left),
            expires_wall_ms=verdict.expires_wall_ms,
            convicted=verdict.convicted,
        )
        known = self._suspicions.blame(fingerprint=fingerprint, suspicion=suspicion)
        if known is None:
            return
        self._stop_copies(fingerprint, known)
        # Peers need to know of a run that began before the request was a suspect.
        if before is None and self._runs.own_run(fingerprint=fingerprint) is not None:
            self._announce(fingerprint)
        # Two peers' sights of two crashes may convict here first.
        if known.convicted and not verdict.convicted and not (before and before.convicted):
            self._announce(fingerprint)
            self._keep(fingerprint, known)

    def _keep(self, fingerprint: Fingerprint, known: Suspicion) -> None:
        verdict = self._to_verdict(fingerprint, known)
        self._keeper.keep(verdict=verdict, expires=known.expires)

    def _stop_copies(self, fingerprint: Fingerprint, known: Suspicion) -> None:
        """Ask to cancel this host's run of a convict, or one that a peer's run speaks against."""
        runs = [run for run in self._runs.own_runs(fingerprint=fingerprint) if run.settled]
        others = [run for run in self._runs.all(now=self._clock.now()) if run.settled]
        for place, own in enumerate(runs):
            if (
                place > 0
                or known.convicted
                or any(
                    self._conflicts(run, fingerprint, own.engine, known)
                    and (run.fingerprint, run.host) < (fingerprint, self._host)
                    for run in others
                )
            ):
                self._stops.on_next(StopRequest(fingerprint=fingerprint, engine=own.engine))

    def _announce(self, fingerprint: Fingerprint) -> None:
        known = self._known(fingerprint)
        if known is not None:
            self._announcements.send(verdict=self._to_verdict(fingerprint, known))

    def _announce_run_end(self, fingerprint: Fingerprint) -> None:
        if self._announcements.announce_run_end(fingerprint=fingerprint):
            self._changes.on_next(None)

    def _withdraw(self, fingerprint: Fingerprint, engine: UpstreamId) -> None:
        self._runs.finish(
            fingerprint=fingerprint, engine=engine, now=self._clock.now(), end=RunEnd.CANCELLED
        )
        self._announce(fingerprint)
        self._announce_run_end(fingerprint)
        self._changes.on_next(None)

    def _to_verdict(
        self, fingerprint: Fingerprint, known: Suspicion, *, cleared: bool = False
    ) -> Verdict:
        own = self._runs.own_run(fingerprint=fingerprint)
        return Verdict(
            fingerprint=fingerprint,
            crashes=[crash.id for crash in known.crashes],
            expires_wall_ms=known.expires_wall_ms,
            convicted=known.convicted,
            cleared=cleared,
            engine=own.engine if own is not None else "",
            settled=own is not None and own.settled,
        )
