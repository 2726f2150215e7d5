"""Quarantine state of one host, synchronized with its peers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import KeysView
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
from tanagerscale.quarantine._persistence import RETRY_DELAY_MS
from tanagerscale.quarantine._persistence import ConvictionStore
from tanagerscale.quarantine._rules import ANNOUNCEMENT_DELAY_MS
from tanagerscale.quarantine._rules import CRASH_MERGE_WINDOW_MS
from tanagerscale.quarantine._rules import MAX_ANNOUNCEMENT_DELAY_MS
from tanagerscale.quarantine._rules import Crash
from tanagerscale.quarantine._rules import Fingerprint
from tanagerscale.quarantine._rules import StopRequest
from tanagerscale.quarantine._rules import Suspicion
from tanagerscale.quarantine._rules import SuspicionTable
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
    """Prevents requests that crash engines at the same token from crashing more than two of them.

    For each attempt, dispatch calls ``check``, skips ``excluded_engines``, awaits ``admit`` for
    the selected engine, and calls ``on_finished`` at the end. If ``admit`` returns ``False``, it
    selects another engine; if all engines are excluded, it waits for ``changes``.

    :param store: Store that holds the convictions.
    :param prefix: Prefix of all store keys of this installation.
    :param host: Id of this host.
    :param clock: Clock that times the expiry of verdicts.
    :param rng: Random number generator for the jitter of retry delays.
    :param verdict_ttl_ms: Lifetime of a verdict, in milliseconds.
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
        self._suspicions = SuspicionTable()
        self._runs = Runs(host=host)
        self._announcements = Announcements(runs=self._runs)
        self._conviction_store = ConvictionStore(
            store=store, prefix=f"{prefix}/quarantine/", clock=clock, rng=rng
        )
        self._stops: Subject[StopRequest] = Subject()
        self._changes: Subject[None] = Subject()

    @property
    def verdicts(self) -> Observable[Verdict]:
        """Verdicts that must be sent to all peers immediately."""
        return self._announcements.verdicts

    @property
    def stops(self) -> Observable[StopRequest]:
        """Runs on this host to cancel; they may be restarted if nothing has been delivered."""
        return self._stops

    @property
    def changes(self) -> Observable[None]:
        """Emits when an excluded engine may be available or a request may be convicted."""
        return self._changes

    @property
    def suspects(self) -> KeysView[Fingerprint]:
        """Requests that are suspects or convicted; those of expired entries may be included."""
        return self._suspicions.entries.keys()

    def check(self, *, fingerprint: Fingerprint) -> Problem | None:
        """Return the problem to answer a convicted request with.

        :returns: The problem; ``None`` if the request is not convicted.
        """
        suspicion = self._get_suspicion(fingerprint)
        if suspicion is None or not suspicion.convicted:
            return None
        return Problem(
            kind=ProblemKind.QUARANTINED,
            detail="This request has crashed engines and was not run again; change it, or send "
            "it after the time given.",
            execution=Execution.NOT_EXECUTED,
            retry_after_ms=max(suspicion.expires - self._clock.now(), 1),
        )

    def is_suspect(self, *, fingerprint: Fingerprint) -> bool:
        """Return whether a request is a suspect of an unexplained crash, or convicted."""
        return self._get_suspicion(fingerprint) is not None

    def is_unrestricted(self, *, fingerprint: Fingerprint) -> bool:
        """Return whether no engine is excluded for a request, which holds for nearly all."""
        runs = self._runs.get_local_engines(fingerprint=fingerprint)
        return not runs and self._get_suspicion(fingerprint) is None

    def excluded_engines(
        self, *, fingerprint: Fingerprint, engines: Iterable[UpstreamId]
    ) -> frozenset[UpstreamId]:
        """Return the engines that a request must not be sent to at present.

        :param fingerprint: Fingerprint of the request.
        :param engines: Candidate engines.
        """
        return frozenset(engine for engine in engines if not self._may_run(fingerprint, engine))

    def engines_of_copies(self, *, fingerprint: Fingerprint) -> frozenset[UpstreamId]:
        """Return the engines that run copies of a request; those of peers only for suspects."""
        runs = self._runs.get_runs(now=self._clock.now())
        return frozenset(run.engine for run in runs if run.fingerprint == fingerprint)

    async def admit(
        self,
        *,
        fingerprint: Fingerprint,
        engine: UpstreamId,
        progress: Progress = lambda: 0,
    ) -> bool:
        """Register a run of a request on an engine; to be called immediately before sending.

        The run of a suspect is announced to the peers first, so that two hosts that select an
        engine concurrently detect the conflict.

        :param fingerprint: Fingerprint of the request.
        :param engine: Selected engine.
        :param progress: Returns the number of tokens that the run has generated.
        :returns: Whether the request may run; if so, it counts as running until ``on_finished``.
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
            await self._clock.sleep(ANNOUNCEMENT_DELAY_MS)
        except asyncio.CancelledError:
            self._withdraw(fingerprint, engine)
            raise
        on_time = self._clock.now() - announced <= MAX_ANNOUNCEMENT_DELAY_MS
        if on_time and self._may_run(fingerprint, engine, announced=announced):
            self._runs.mark_settled(fingerprint=fingerprint, engine=engine)
            return True
        self._withdraw(fingerprint, engine)
        return False

    def on_finished(self, *, fingerprint: Fingerprint, engine: UpstreamId, end: RunEnd) -> None:
        """Record that a request no longer runs on an engine, for any reason but a crash.

        :param fingerprint: Fingerprint of the request.
        :param engine: Engine that ran it.
        :param end: How the run ended.
        """
        self._runs.finish(
            fingerprint=fingerprint,
            engine=engine,
            now=self._clock.now(),
            end=end,
        )
        suspicion = self._get_suspicion(fingerprint)
        if suspicion is None or suspicion.convicted:
            self._announce_run_end(fingerprint)
            return
        complete = end is RunEnd.COMPLETE
        if complete:
            self._suspicions.clear(fingerprint=fingerprint)
        self._announcements.send(verdict=self._to_verdict(fingerprint, suspicion, cleared=complete))
        self._changes.on_next(None)

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Record that an engine crashed, which makes every request that ran on it a suspect.

        To be called before any of these requests is sent again, and only if the engine itself has
        crashed: a broken connection is no evidence against a request.
        """
        wall_ms = self._clock.wall()
        crashed_runs = self._runs.take_crashed_runs(
            engine=engine, now=self._clock.now(), settled_after_ms=ANNOUNCEMENT_DELAY_MS
        )
        # Existing suspects are processed first: a conviction explains the crash for all others.
        for fingerprint in sorted(
            crashed_runs, key=lambda candidate: (self._get_suspicion(candidate) is None, candidate)
        ):
            crash = Crash(engine=engine, wall_ms=wall_ms, tokens=crashed_runs[fingerprint])
            self._add_crash(fingerprint, (crash,))
            self._announce_run_end(fingerprint)
        self._changes.on_next(None)

    def on_peer_verdict(self, *, verdict: Verdict, peer: HostId) -> None:
        """Apply a verdict from a peer.

        :param verdict: Message of the peer.
        :param peer: Host that sent it.
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
            self._apply_verdict(fingerprint, verdict, tuple(crashes))
        self._changes.on_next(None)

    def on_peer_gone(self, *, peer: HostId) -> None:
        """Remove the runs of a peer that has disconnected or crashed."""
        self._runs.remove_peer(host=peer)
        self._changes.on_next(None)

    def snapshot(self) -> Sequence[Verdict]:
        """Return all current verdicts, for a peer that has just connected."""
        verdicts = [
            self._to_verdict(fingerprint, suspicion)
            for fingerprint in list(self._suspicions.entries)
            if (suspicion := self._get_suspicion(fingerprint)) is not None
        ]
        for verdict in verdicts:
            self._announcements.record_sent(verdict=verdict)
        return verdicts

    async def load(self) -> None:
        """Load the convictions from the store, retrying until it answers."""
        while True:
            loaded = await self._conviction_store.load()
            if isinstance(loaded, Success):
                break
            await self._clock.sleep(RETRY_DELAY_MS)
        for verdict in loaded.unwrap():
            if verdict.convicted:
                self._apply_verdict(Fingerprint(verdict.fingerprint), verdict, ())

    async def close(self) -> None:
        """Cancel the background writes."""
        await self._conviction_store.close()

    def _get_suspicion(self, fingerprint: Fingerprint) -> Suspicion | None:
        return self._suspicions.get(fingerprint=fingerprint, now=self._clock.now())

    def _may_run(
        self, fingerprint: Fingerprint, engine: UpstreamId, *, announced: Millis | None = None
    ) -> bool:
        """Return whether a request may run on an engine, given all other runs.

        :param announced: When this run was announced; ``None`` if it was not.
        """
        suspicion = self._get_suspicion(fingerprint)
        if suspicion is None:
            # All copies share one engine, so that they can crash only that one, and so that one
            # engine name in a verdict is enough to report where a suspect runs.
            return self._runs.get_local_engines(fingerprint=fingerprint) <= {engine}
        if suspicion.convicted or self._crashed_recently(suspicion, engine):
            return False
        for run in self._runs.get_runs(now=self._clock.now()):
            if not self._conflicts(run, fingerprint, engine, suspicion):
                continue
            # Of two runs announced concurrently, the lower (fingerprint, host) has priority.
            is_later = announced is not None and run.since >= announced and not run.settled
            if not is_later or (run.fingerprint, run.host) < (fingerprint, self._host):
                return False
        return True

    def _conflicts(
        self, run: Run, fingerprint: Fingerprint, engine: UpstreamId, suspicion: Suspicion | None
    ) -> bool:
        if run.fingerprint == fingerprint:
            # All copies of a suspect share one engine, so that they can crash only that one.
            return run.engine != engine
        # Suspects of different crashes must not share an engine either: if one of them crashed
        # it, the other would have a second crash recorded against it as well.
        both_suspects = suspicion is not None and self._get_suspicion(run.fingerprint) is not None
        return both_suspects and run.engine == engine

    def _crashed_recently(self, suspicion: Suspicion, engine: UpstreamId) -> bool:
        now = self._clock.wall()
        return any(
            crash.engine == engine and now - crash.wall_ms <= 2 * CRASH_MERGE_WINDOW_MS
            for crash in suspicion.crashes
        )

    def _add_crash(self, fingerprint: Fingerprint, crashes: tuple[Crash, ...]) -> None:
        reported = Suspicion(
            crashes=crashes,
            expires=Millis(self._clock.now() + self._ttl_ms),
            expires_wall_ms=self._clock.wall() + self._ttl_ms,
            convicted=False,
        )
        suspicion = self._suspicions.add_crashes(fingerprint=fingerprint, suspicion=reported)
        if suspicion is None:
            return
        self._announce(fingerprint)
        self._stop_copies(fingerprint, suspicion)
        if suspicion.convicted:
            log.warning("Request quarantined for crashing engines.", fingerprint=fingerprint)
            self._persist(fingerprint, suspicion)

    def _apply_verdict(
        self, fingerprint: Fingerprint, verdict: Verdict, crashes: tuple[Crash, ...]
    ) -> None:
        # The clock of a peer may be wrong, so its verdict lasts no longer than a local one.
        remaining_ms = min(verdict.expires_wall_ms - self._clock.wall(), self._ttl_ms)
        if remaining_ms <= 0:
            return
        previous = self._get_suspicion(fingerprint)
        reported = Suspicion(
            crashes=crashes,
            expires=Millis(self._clock.now() + remaining_ms),
            expires_wall_ms=verdict.expires_wall_ms,
            convicted=verdict.convicted,
        )
        suspicion = self._suspicions.add_crashes(fingerprint=fingerprint, suspicion=reported)
        if suspicion is None:
            return
        self._stop_copies(fingerprint, suspicion)
        # Peers have no record of a run that began before the request became a suspect.
        if previous is None and self._runs.find_local_run(fingerprint=fingerprint) is not None:
            self._announce(fingerprint)
        # Crashes reported by two different peers may lead to a conviction on this host first.
        if suspicion.convicted and not verdict.convicted and not (previous and previous.convicted):
            self._announce(fingerprint)
            self._persist(fingerprint, suspicion)

    def _persist(self, fingerprint: Fingerprint, suspicion: Suspicion) -> None:
        verdict = self._to_verdict(fingerprint, suspicion)
        self._conviction_store.save(verdict=verdict, expires=suspicion.expires)

    def _stop_copies(self, fingerprint: Fingerprint, suspicion: Suspicion) -> None:
        """Request the cancellation of local runs that are convicted or conflict with other runs."""
        runs = [run for run in self._runs.local_runs_of(fingerprint=fingerprint) if run.settled]
        others = [run for run in self._runs.get_runs(now=self._clock.now()) if run.settled]
        for index, local_run in enumerate(runs):
            if (
                index > 0
                or suspicion.convicted
                or any(
                    self._conflicts(run, fingerprint, local_run.engine, suspicion)
                    and (run.fingerprint, run.host) < (fingerprint, self._host)
                    for run in others
                )
            ):
                self._stops.on_next(StopRequest(fingerprint=fingerprint, engine=local_run.engine))

    def _announce(self, fingerprint: Fingerprint) -> None:
        suspicion = self._get_suspicion(fingerprint)
        if suspicion is not None:
            self._announcements.send(verdict=self._to_verdict(fingerprint, suspicion))

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
        self, fingerprint: Fingerprint, suspicion: Suspicion, *, cleared: bool = False
    ) -> Verdict:
        local_run = self._runs.find_local_run(fingerprint=fingerprint)
        return Verdict(
            fingerprint=fingerprint,
            crashes=[crash.id for crash in suspicion.crashes],
            expires_wall_ms=suspicion.expires_wall_ms,
            convicted=suspicion.convicted,
            cleared=cleared,
            engine=local_run.engine if local_run is not None else "",
            settled=local_run is not None and local_run.settled,
        )
