"""Schedulers without a forecast, which send each request to an engine immediately."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.policy._types import Decision
from tanagerscale.policy._types import DecisionKind
from tanagerscale.policy._types import EngineLoad
from tanagerscale.policy._types import EngineSpec
from tanagerscale.policy._types import PlacementRequest


class ImmediateScheduler:
    """Sends each request as soon as any engine accepts work; the engines do the queueing."""

    def __init__(self) -> None:
        self._engines: dict[UpstreamId, EngineSpec] = {}
        self._queue: dict[GenerationId, PlacementRequest] = {}
        self._running: dict[GenerationId, UpstreamId] = {}
        self._outstanding: dict[UpstreamId, int] = {}
        self.loads: dict[UpstreamId, EngineLoad] = {}
        """Latest load report of each engine."""

    def choose(self, *, candidates: Sequence[UpstreamId]) -> UpstreamId:
        """Return the engine for the next request.

        :param candidates: Engines that accept work, never empty.
        """
        raise NotImplementedError

    def outstanding(self, engine: UpstreamId) -> int:
        """Return how many requests of this scheduler are on an engine."""
        return self._outstanding.get(engine, 0)

    def set_engines(self, *, engines: Sequence[EngineSpec], now: Millis) -> None:
        """Replace the engines that accept new work."""
        self._engines = {spec.engine: spec for spec in engines}

    def submit(self, *, request: PlacementRequest, now: Millis) -> None:
        """Queue a generation."""
        self._queue[request.generation] = request

    def withdraw(self, *, generation: GenerationId, now: Millis) -> None:
        """Remove a queued generation."""
        self._queue.pop(generation, None)

    def on_progress(self, *, generation: GenerationId, tokens: int, now: Millis) -> None:
        """Ignore progress."""

    def on_finished(
        self, *, generation: GenerationId, tokens: int, complete: bool, now: Millis
    ) -> None:
        """Record that a generation left its engine."""
        engine = self._running.pop(generation, None)
        if engine is not None:
            self._outstanding[engine] -= 1

    def on_load(self, *, load: EngineLoad, now: Millis) -> None:
        """Store the latest load report of an engine."""
        self.loads[load.engine] = load

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool, now: Millis) -> None:
        """Ignore cache events."""

    def on_engine_lost(self, *, engine: UpstreamId, now: Millis) -> None:
        """Remove an engine and all generations on it."""
        self._engines.pop(engine, None)
        self._outstanding.pop(engine, None)
        for generation in [
            item for item, running_on in self._running.items() if running_on == engine
        ]:
            del self._running[generation]

    def decide(self, *, now: Millis) -> Sequence[Decision]:
        """Admit every generation that some engine may run."""
        decisions = []
        for generation, request in list(self._queue.items()):
            candidates = [item for item in self._engines if item not in request.excluded]
            if not candidates:
                continue
            engine = self.choose(candidates=candidates)
            del self._queue[generation]
            self._running[generation] = engine
            self._outstanding[engine] = self.outstanding(engine) + 1
            decisions.append(
                Decision(kind=DecisionKind.ADMIT, generation=generation, engine=engine)
            )
        return decisions


@final
class LeastOutstanding(ImmediateScheduler):
    """Sends each request to the engine with the fewest requests of this scheduler."""

    def choose(self, *, candidates: Sequence[UpstreamId]) -> UpstreamId:
        """Return the candidate with the fewest requests of this scheduler."""
        return min(candidates, key=self.outstanding)
