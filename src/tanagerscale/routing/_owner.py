"""The owner's side: one cell's scheduler and who holds what of it."""

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
from tanagerscale.routing._convert import request_of
from tanagerscale.routing._problems import NO_UPSTREAM_RETRY_MS
from tanagerscale.routing._protocol import PoolScheduler

RESERVATION_LEASE_MS = 10_000
"""What no entry host has mentioned for this long is given up."""

_PAUSE_MS = 2000
"""A gap between two ticks that tells that this process was paused."""


class _Held(Struct, kw_only=True):
    """A placement as its owner knows it; without an engine it waits."""

    host: HostId
    ask: Ask
    heard: Millis
    engine: UpstreamId | None = None
    tokens: int = 0


@final
class CellOwner:
    """Decides for one cell, and tells entry hosts.

    Each message may come twice, late or never. Entry hosts repeat what matters, and what
    they no longer mention is given up after ``RESERVATION_LEASE_MS``.

    :param cell: The cell.
    :param scheduler: Decides.
    :param clock: Time.
    :param tell: Sends a message to an entry host, which may be this one.
    """

    def __init__(
        self,
        *,
        cell: CellId,
        scheduler: PoolScheduler,
        clock: Clock,
        tell: Callable[[HostId, Grant | RunningRequest], None],
    ) -> None:
        self._cell = cell
        self._scheduler = scheduler
        self._clock = clock
        self._tell = tell
        self._held: dict[GenerationId, _Held] = {}
        self._by_serial: dict[tuple[HostId, int], GenerationId] = {}
        self._unanswered: set[GenerationId] = set()
        self._open_engines: frozenset[UpstreamId] | None = None
        self._open_engines_changed = False
        self._deciding: asyncio.Handle | None = None
        self._last_tick = clock.now()

    @property
    def reservations(self) -> int:
        """How many placements are held, waiting ones included."""
        return len(self._held)

    @property
    def running(self) -> dict[GenerationId, UpstreamId]:
        """Where each admitted generation runs."""
        return {
            generation: held.engine
            for generation, held in self._held.items()
            if held.engine is not None
        }

    def set_engines(self, specs: Sequence[EngineSpec]) -> None:
        """Replace the engines that take new work."""
        self._open_engines = frozenset(spec.engine for spec in specs)
        self._open_engines_changed = True
        self._scheduler.set_engines(engines=specs, now=self._clock.now())
        self.touch()

    def configure(self, apply: Callable[[PoolScheduler], None]) -> None:
        """Change the scheduler in use."""
        apply(self._scheduler)
        self.touch()

    def on_ask(self, *, host: HostId, ask: Ask) -> None:
        """Queue a placement, or tell again what was decided about it."""
        held = self._held.get(GenerationId(ask.generation))
        if held is not None and held.host == host and held.ask.serial > ask.serial:
            return
        if held is None or held.host != host or held.ask.serial != ask.serial:
            self._submit(host=host, ask=ask)
            return
        held.heard = self._clock.now()
        if held.engine is None:
            self._unanswered.add(GenerationId(ask.generation))
            self.touch()
        else:
            self._tell_admitted(held)

    def on_running(self, *, host: HostId, running: Running) -> None:
        """Enter a placement that was decided elsewhere; the entry host's word is final."""
        ask = running.ask
        generation = GenerationId(ask.generation)
        held = self._held.get(generation)
        if held is not None:
            if held.host == host and held.ask.serial > ask.serial:
                return
            if held.host == host and held.engine == running.upstream:
                held.heard = self._clock.now()
                return
            self._drop(generation, tokens=held.tokens, complete=False)
        engine = UpstreamId(running.upstream)
        self._hold(host=host, ask=ask, engine=engine, tokens=running.tokens)
        self._scheduler.adopt(
            request=request_of(ask=ask, now=self._clock.now()),
            engine=engine,
            tokens=running.tokens,
            now=self._clock.now(),
        )

    def on_progress(self, *, host: HostId, progress: Progress) -> None:
        """Take in the tokens made, and ask about placements that are not known here."""
        now = self._clock.now()
        unknown = []
        for serial, tokens in zip(progress.serials, progress.tokens, strict=False):
            generation = self._by_serial.get((host, serial))
            if generation is None:
                unknown.append(serial)
                continue
            held = self._held[generation]
            held.heard = now
            if held.engine is not None and tokens > held.tokens:
                held.tokens = tokens
                self._scheduler.on_progress(generation=generation, tokens=tokens, now=now)
        if unknown:
            self._tell(host, RunningRequest(cell=self._cell, serials=unknown))
        self.touch()

    def on_finished(self, *, host: HostId, finished: Finished) -> None:
        """Give up a placement."""
        generation = self._by_serial.get((host, finished.serial))
        if generation is None or generation != finished.generation:
            return
        self._drop(generation, tokens=finished.tokens, complete=finished.complete)
        self.touch()

    def on_load(self, load: EngineLoad) -> None:
        """Take in an engine's late report."""
        self._scheduler.on_load(load=load, now=self._clock.now())
        self.touch()

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool) -> None:
        """Take in an engine's late word on its prefix cache."""
        self._scheduler.on_cache(engine=engine, prefix=prefix, stored=stored, now=self._clock.now())

    def on_engine_lost(self, *, engine: UpstreamId) -> None:
        """Forget an engine and all it ran."""
        lost = [name for name, held in self._held.items() if held.engine == engine]
        for generation in lost:
            self._forget(generation)
        self._scheduler.on_engine_lost(engine=engine, now=self._clock.now())

    def tick(self) -> None:
        """Give up what no host mentions any more, then decide."""
        now = self._clock.now()
        if now - self._last_tick > _PAUSE_MS:
            # This process stood still, so silence says nothing of the others.
            for held in self._held.values():
                held.heard = now
        self._last_tick = now
        silent = [
            generation
            for generation, held in self._held.items()
            if now - held.heard > RESERVATION_LEASE_MS
        ]
        for generation in silent:
            self._drop(generation, tokens=self._held[generation].tokens, complete=False)
        self._decide()

    def touch(self) -> None:
        """Decide once the events at hand have been taken in."""
        if self._deciding is None:
            self._deciding = asyncio.get_running_loop().call_soon(self._decide)

    def close(self) -> None:
        """Decide no more."""
        if self._deciding is not None:
            self._deciding.cancel()

    def _submit(self, *, host: HostId, ask: Ask) -> None:
        generation = GenerationId(ask.generation)
        held = self._held.get(generation)
        if held is not None:
            self._drop(generation, tokens=held.tokens, complete=False)
        self._hold(host=host, ask=ask, engine=None, tokens=0)
        self._unanswered.add(generation)
        now = self._clock.now()
        self._scheduler.submit(request=request_of(ask=ask, now=now), now=now)
        self.touch()

    def _hold(self, *, host: HostId, ask: Ask, engine: UpstreamId | None, tokens: int) -> None:
        held = _Held(host=host, ask=ask, heard=self._clock.now(), engine=engine, tokens=tokens)
        self._held[GenerationId(ask.generation)] = held
        self._by_serial[(host, ask.serial)] = GenerationId(ask.generation)

    def _drop(self, generation: GenerationId, *, tokens: int, complete: bool) -> None:
        held = self._forget(generation)
        now = self._clock.now()
        if held.engine is None:
            self._scheduler.withdraw(generation=generation, now=now)
        else:
            self._scheduler.on_finished(
                generation=generation, tokens=tokens, complete=complete, now=now
            )

    def _forget(self, generation: GenerationId) -> _Held:
        held = self._held.pop(generation)
        self._by_serial.pop((held.host, held.ask.serial), None)
        self._unanswered.discard(generation)
        return held

    def _decide(self) -> None:
        self._deciding = None
        for decision in self._scheduler.decide(now=self._clock.now()):
            self._carry_out(decision)
        self._shed_unserved()
        queued = [self._held[generation] for generation in self._unanswered]
        self._unanswered.clear()
        for held in queued:
            self._tell(held.host, self._grant(held, kind=GrantKind.QUEUED))

    def _shed_unserved(self) -> None:
        """Shed waiting placements that may not run on any open engine."""
        candidates = self._held.keys() if self._open_engines_changed else self._unanswered
        self._open_engines_changed = False
        for generation in tuple(candidates):
            held = self._held.get(generation)
            if held is None or held.engine is not None or not self._is_unserved(held.ask):
                continue
            self._drop(generation, tokens=0, complete=False)
            # Engines closed at the owner may be open at the entry host, which decides in this case.
            grant = self._grant(held, kind=GrantKind.SHED, retry_after_ms=NO_UPSTREAM_RETRY_MS)
            self._tell(held.host, msgspec.structs.replace(grant, unserved=True))

    def _is_unserved(self, ask: Ask) -> bool:
        return self._open_engines is not None and self._open_engines.issubset(ask.excluded)

    def _carry_out(self, decision: Decision) -> None:
        held = self._held.get(decision.generation)
        if held is None:
            return
        self._unanswered.discard(decision.generation)
        if decision.kind is DecisionKind.ADMIT:
            held.engine = decision.engine
            self._tell_admitted(held)
        elif decision.kind is DecisionKind.SHED:
            self._forget(decision.generation)
            grant = self._grant(held, kind=GrantKind.SHED, retry_after_ms=decision.retry_after_ms)
            self._tell(held.host, grant)
        else:
            # The entry host asks again once it has cancelled the generation, and tells with its
            # next progress when it could not.
            self._forget(decision.generation)
            self._scheduler.withdraw(generation=decision.generation, now=self._clock.now())
            self._tell(held.host, self._grant(held, kind=GrantKind.MOVE, engine=held.engine))

    def _tell_admitted(self, held: _Held) -> None:
        self._tell(held.host, self._grant(held, kind=GrantKind.ADMIT, engine=held.engine))

    def _grant(
        self,
        held: _Held,
        *,
        kind: GrantKind,
        engine: UpstreamId | None = None,
        retry_after_ms: int = 0,
    ) -> Grant:
        return Grant(
            cell=self._cell,
            serial=held.ask.serial,
            generation=held.ask.generation,
            kind=kind,
            upstream=engine or "",
            retry_after_ms=retry_after_ms,
        )
