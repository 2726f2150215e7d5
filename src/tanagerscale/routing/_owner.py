"""Scheduling of one cell: its scheduler and the reservations of entry hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import final

import msgspec
from msgspec import Struct

from tanagerscale.core import Clock
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import Ask
from tanagerscale.generated.messages import Finished
from tanagerscale.generated.messages import Grant
from tanagerscale.generated.messages import GrantKind
from tanagerscale.generated.messages import Progress
from tanagerscale.generated.messages import Running
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.policy import Decision
from tanagerscale.policy import DecisionKind
from tanagerscale.policy import EngineLoad
from tanagerscale.policy import EngineSpec
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._convert import parse_ask
from tanagerscale.routing._problems import NO_UPSTREAM_RETRY_MS
from tanagerscale.routing._protocol import PoolScheduler

RESERVATION_LEASE_MS = 10_000
"""Time after which a reservation that its entry host has not renewed is released."""

_PAUSE_THRESHOLD_MS = 2000
"""Time between two ticks above which this process is assumed to have been paused."""


class _Reservation(Struct, kw_only=True):
    """A placement as known to the owner of its cell.

    :param host: Entry host of the request.
    :param ask: Message that describes the request.
    :param renewed_at: When the entry host last renewed the reservation.
    :param engine: Engine that the request is placed on; ``None`` while it waits.
    :param tokens: Number of tokens generated so far.
    """

    host: HostId
    ask: Ask
    renewed_at: Millis
    engine: UpstreamId | None = None
    tokens: int = 0


@final
class CellOwner:
    """Runs the scheduler of one cell and sends its decisions to entry hosts.

    Messages may be duplicated, delayed or lost. Entry hosts repeat the messages that matter, and
    reservations that they have not renewed for ``RESERVATION_LEASE_MS`` are released.

    :param cell: Id of the cell.
    :param scheduler: Scheduler of the cell.
    :param clock: Clock of this host.
    :param send: Sends a message to an entry host, which may be this host.
    """

    def __init__(
        self,
        *,
        cell: CellId,
        scheduler: PoolScheduler,
        clock: Clock,
        send: Callable[[HostId, Grant | RunningRequest], None],
    ) -> None:
        self._cell = cell
        self._scheduler = scheduler
        self._clock = clock
        self._send = send
        self._reservations: dict[GenerationId, _Reservation] = {}
        self._by_serial: dict[tuple[HostId, int], GenerationId] = {}
        self._unanswered: set[GenerationId] = set()
        self._open_engines: frozenset[UpstreamId] | None = None
        self._open_engines_changed = False
        self._pending_decision: asyncio.Handle | None = None
        self._last_tick = clock.now()

    @property
    def reservations(self) -> int:
        """Number of reservations, including those of waiting requests."""
        return len(self._reservations)

    @property
    def running(self) -> dict[GenerationId, UpstreamId]:
        """Engine of each admitted generation."""
        return {
            generation: reservation.engine
            for generation, reservation in self._reservations.items()
            if reservation.engine is not None
        }

    def set_engines(self, specs: Sequence[EngineSpec]) -> None:
        """Replace the engines that accept new work."""
        self._open_engines = frozenset(spec.engine for spec in specs)
        self._open_engines_changed = True
        self._scheduler.set_engines(engines=specs, now=self._clock.now())
        self.schedule_decision()

    def configure(self, apply: Callable[[PoolScheduler], None]) -> None:
        """Apply a change to the scheduler."""
        apply(self._scheduler)
        self.schedule_decision()

    def on_ask(self, *, host: HostId, ask: Ask) -> None:
        """Queue a request, or send the decision again if it has already been placed."""
        reservation = self._reservations.get(GenerationId(ask.generation))
        if (
            reservation is not None
            and reservation.host == host
            and reservation.ask.serial > ask.serial
        ):
            return
        if reservation is None or reservation.host != host or reservation.ask.serial != ask.serial:
            self._submit(host=host, ask=ask)
            return
        reservation.renewed_at = self._clock.now()
        if reservation.engine is None:
            self._unanswered.add(GenerationId(ask.generation))
            self.schedule_decision()
        else:
            self._send_admit(reservation)

    def on_running(self, *, host: HostId, running: Running) -> None:
        """Add a placement that was decided elsewhere; the entry host's state takes precedence."""
        ask = running.ask
        generation = GenerationId(ask.generation)
        reservation = self._reservations.get(generation)
        if reservation is not None:
            if reservation.host == host and reservation.ask.serial > ask.serial:
                return
            if reservation.host == host and reservation.engine == running.upstream:
                reservation.renewed_at = self._clock.now()
                return
            self._release(generation, tokens=reservation.tokens, complete=False)
        engine = UpstreamId(running.upstream)
        self._add_reservation(host=host, ask=ask, engine=engine, tokens=running.tokens)
        self._scheduler.adopt(
            request=parse_ask(ask=ask, now=self._clock.now()),
            engine=engine,
            tokens=running.tokens,
            now=self._clock.now(),
        )

    def on_progress(self, *, host: HostId, progress: Progress) -> None:
        """Update token counts and renew reservations; request details of unknown placements."""
        now = self._clock.now()
        unknown = []
        for serial, tokens in zip(progress.serials, progress.tokens, strict=False):
            generation = self._by_serial.get((host, serial))
            if generation is None:
                unknown.append(serial)
                continue
            reservation = self._reservations[generation]
            reservation.renewed_at = now
            if reservation.engine is not None and tokens > reservation.tokens:
                reservation.tokens = tokens
                self._scheduler.on_progress(generation=generation, tokens=tokens, now=now)
        if unknown:
            self._send(host, RunningRequest(cell=self._cell, serials=unknown))
        self.schedule_decision()

    def on_finished(self, *, host: HostId, finished: Finished) -> None:
        """Release a placement that its entry host has ended."""
        generation = self._by_serial.get((host, finished.serial))
        if generation is None or generation != finished.generation:
            return
        self._release(generation, tokens=finished.tokens, complete=finished.complete)
        self.schedule_decision()

    def on_load(self, load: EngineLoad) -> None:
        """Pass a load report of an engine, which may be outdated, to the scheduler."""
        self._scheduler.on_load(load=load, now=self._clock.now())
        self.schedule_decision()

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool) -> None:
        """Pass a prefix cache event of an engine, which may be outdated, to the scheduler."""
        self._scheduler.on_cache(engine=engine, prefix=prefix, stored=stored, now=self._clock.now())

    def on_engine_lost(self, *, engine: UpstreamId) -> None:
        """Remove all reservations on an engine that was lost."""
        lost = [
            name for name, reservation in self._reservations.items() if reservation.engine == engine
        ]
        for generation in lost:
            self._remove(generation)
        self._scheduler.on_engine_lost(engine=engine, now=self._clock.now())

    def tick(self) -> None:
        """Release expired reservations, then run the scheduler."""
        now = self._clock.now()
        if now - self._last_tick > _PAUSE_THRESHOLD_MS:
            # This process was paused, so missing messages do not mean that entry hosts are gone.
            for reservation in self._reservations.values():
                reservation.renewed_at = now
        self._last_tick = now
        expired = [
            generation
            for generation, reservation in self._reservations.items()
            if now - reservation.renewed_at > RESERVATION_LEASE_MS
        ]
        for generation in expired:
            self._release(generation, tokens=self._reservations[generation].tokens, complete=False)
        self._decide()

    def schedule_decision(self) -> None:
        """Run the scheduler once the pending events have been handled."""
        if self._pending_decision is None:
            self._pending_decision = asyncio.get_running_loop().call_soon(self._decide)

    def close(self) -> None:
        """Cancel the scheduled run of the scheduler."""
        if self._pending_decision is not None:
            self._pending_decision.cancel()

    def _submit(self, *, host: HostId, ask: Ask) -> None:
        generation = GenerationId(ask.generation)
        reservation = self._reservations.get(generation)
        if reservation is not None:
            self._release(generation, tokens=reservation.tokens, complete=False)
        self._add_reservation(host=host, ask=ask, engine=None, tokens=0)
        self._unanswered.add(generation)
        now = self._clock.now()
        self._scheduler.submit(request=parse_ask(ask=ask, now=now), now=now)
        self.schedule_decision()

    def _add_reservation(
        self, *, host: HostId, ask: Ask, engine: UpstreamId | None, tokens: int
    ) -> None:
        reservation = _Reservation(
            host=host, ask=ask, renewed_at=self._clock.now(), engine=engine, tokens=tokens
        )
        self._reservations[GenerationId(ask.generation)] = reservation
        self._by_serial[(host, ask.serial)] = GenerationId(ask.generation)

    def _release(self, generation: GenerationId, *, tokens: int, complete: bool) -> None:
        reservation = self._remove(generation)
        now = self._clock.now()
        if reservation.engine is None:
            self._scheduler.withdraw(generation=generation, now=now)
        else:
            self._scheduler.on_finished(
                generation=generation, tokens=tokens, complete=complete, now=now
            )

    def _remove(self, generation: GenerationId) -> _Reservation:
        reservation = self._reservations.pop(generation)
        self._by_serial.pop((reservation.host, reservation.ask.serial), None)
        self._unanswered.discard(generation)
        return reservation

    def _decide(self) -> None:
        self._pending_decision = None
        for decision in self._scheduler.decide(now=self._clock.now()):
            self._apply_decision(decision)
        self._shed_unserved()
        queued = [self._reservations[generation] for generation in self._unanswered]
        self._unanswered.clear()
        for reservation in queued:
            self._send(reservation.host, self._build_grant(reservation, kind=GrantKind.QUEUED))

    def _shed_unserved(self) -> None:
        """Shed waiting requests that exclude every open engine."""
        candidates = self._reservations.keys() if self._open_engines_changed else self._unanswered
        self._open_engines_changed = False
        for generation in tuple(candidates):
            reservation = self._reservations.get(generation)
            if (
                reservation is None
                or reservation.engine is not None
                or not self._is_unserved(reservation.ask)
            ):
                continue
            self._release(generation, tokens=0, complete=False)
            # Engines closed at the owner may be open at the entry host, which then uses a fallback.
            grant = self._build_grant(
                reservation, kind=GrantKind.SHED, retry_after_ms=NO_UPSTREAM_RETRY_MS
            )
            self._send(reservation.host, msgspec.structs.replace(grant, unserved=True))

    def _is_unserved(self, ask: Ask) -> bool:
        return self._open_engines is not None and self._open_engines.issubset(ask.excluded)

    def _apply_decision(self, decision: Decision) -> None:
        reservation = self._reservations.get(decision.generation)
        if reservation is None:
            return
        self._unanswered.discard(decision.generation)
        if decision.kind is DecisionKind.ADMIT:
            reservation.engine = decision.engine
            self._send_admit(reservation)
        elif decision.kind is DecisionKind.SHED:
            self._remove(decision.generation)
            grant = self._build_grant(
                reservation, kind=GrantKind.SHED, retry_after_ms=decision.retry_after_ms
            )
            self._send(reservation.host, grant)
        else:
            # The entry host asks again once it has cancelled the generation. If it cannot cancel
            # it, its next progress message reports the generation as still running.
            self._remove(decision.generation)
            self._scheduler.withdraw(generation=decision.generation, now=self._clock.now())
            self._send(
                reservation.host,
                self._build_grant(reservation, kind=GrantKind.MOVE, engine=reservation.engine),
            )

    def _send_admit(self, reservation: _Reservation) -> None:
        self._send(
            reservation.host,
            self._build_grant(reservation, kind=GrantKind.ADMIT, engine=reservation.engine),
        )

    def _build_grant(
        self,
        reservation: _Reservation,
        *,
        kind: GrantKind,
        engine: UpstreamId | None = None,
        retry_after_ms: int = 0,
    ) -> Grant:
        return Grant(
            cell=self._cell,
            serial=reservation.ask.serial,
            generation=reservation.ask.generation,
            kind=kind,
            upstream=engine or "",
            retry_after_ms=retry_after_ms,
        )
