"""The limit: a scheduler that is told all lengths and sees the engines as they are."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
import heapq
from typing import final

from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.policy import Decision
from tanagerscale.policy import DecisionKind
from tanagerscale.policy import EngineLoad
from tanagerscale.policy import EngineSpec
from tanagerscale.policy import PlacementRequest

PREFILL_COST = 0.05
"""Engine time of a prompt token relative to an answer's token, for the order of the queue."""

MEMORY_MARGIN = 0.98
LOOK_AHEAD = 24


@final
class _Known:
    """What runs on one engine, lengths included."""

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
        self.running: dict[GenerationId, tuple[PlacementRequest, int]] = {}
        self.prefixes: dict[str, int] = {}

    def users(self, prefix: str) -> int:
        """Return how many of its generations share a prefix."""
        return self.prefixes.get(prefix, 0)


@final
class Clairvoyant:
    """Shortest remaining first; admits only what fits to its end; counts prefill.

    :param length: Returns the true length of a generation.
    :param made: Returns how many tokens a generation has made, without delay.
    :param cached: Returns whether an engine has a prefix, without delay.
    :param in_order: Take the queue in order of arrival instead; used to measure capacity.
    """

    def __init__(
        self,
        *,
        length: Callable[[GenerationId], int],
        made: Callable[[GenerationId], int],
        cached: Callable[[UpstreamId, str], bool],
        in_order: bool = False,
    ) -> None:
        self._length = length
        self._made = made
        self._cached = cached
        self._in_order = in_order
        self._engines: dict[UpstreamId, _Known] = {}
        self._open: set[UpstreamId] = set()
        self._queue: list[tuple[float, int, PlacementRequest]] = []
        self._queued: set[GenerationId] = set()
        self._where: dict[GenerationId, _Known] = {}
        self._number = 0

    def set_engines(self, *, engines: Sequence[EngineSpec], now: Millis) -> None:
        """Replace the engines that take new work."""
        self._open = {spec.engine for spec in engines}
        for spec in engines:
            self._engines.setdefault(spec.engine, _Known(spec=spec))

    def submit(self, *, request: PlacementRequest, now: Millis) -> None:
        """Queue a generation."""
        self._number += 1
        length = self._length(request.generation)
        key = float(request.arrived)
        if not self._in_order:
            key = length + PREFILL_COST * request.prompt_tokens
        heapq.heappush(self._queue, (key, self._number, request))
        self._queued.add(request.generation)

    def withdraw(self, *, generation: GenerationId, now: Millis) -> None:
        """Forget a queued generation."""
        self._queued.discard(generation)

    def on_progress(self, *, generation: GenerationId, tokens: int, now: Millis) -> None:
        """Ignore progress: it is seen without delay."""

    def on_finished(
        self, *, generation: GenerationId, tokens: int, complete: bool, now: Millis
    ) -> None:
        """Record that a generation left its engine."""
        known = self._where.pop(generation, None)
        if known is not None:
            request, _ = known.running.pop(generation)
            known.prefixes[request.prefix] -= 1

    def on_load(self, *, load: EngineLoad, now: Millis) -> None:
        """Ignore late reports."""

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool, now: Millis) -> None:
        """Ignore late events."""

    def on_engine_lost(self, *, engine: UpstreamId, now: Millis) -> None:
        """Forget an engine and all it ran."""
        known = self._engines.pop(engine, None)
        self._open.discard(engine)
        for generation in known.running if known else ():
            del self._where[generation]

    def decide(self, *, now: Millis) -> Sequence[Decision]:
        """Admit in order whatever fits, looking past what does not."""
        decisions = []
        passed: list[tuple[float, int, PlacementRequest]] = []
        while self._queue and len(passed) < LOOK_AHEAD:
            entry = heapq.heappop(self._queue)
            request = entry[2]
            if request.generation not in self._queued:
                continue
            known = self._place(request)
            if known is None:
                passed.append(entry)
                if self._in_order:
                    break
                continue
            self._queued.discard(request.generation)
            known.running[request.generation] = (request, self._length(request.generation))
            known.prefixes[request.prefix] = known.users(request.prefix) + 1
            self._where[request.generation] = known
            decisions.append(
                Decision(
                    kind=DecisionKind.ADMIT,
                    generation=request.generation,
                    engine=known.spec.engine,
                )
            )
        for entry in passed:
            heapq.heappush(self._queue, entry)
        return decisions

    def _place(self, request: PlacementRequest) -> _Known | None:
        best = None
        best_cost = 0.0
        for engine in self._open:
            known = self._engines[engine]
            if engine in request.excluded or not self._fits(known, request):
                continue
            cost = self._cost(known, request)
            if best is None or (cost, engine) < (best_cost, best.spec.engine):
                best, best_cost = known, cost
        return best

    def _cost(self, known: _Known, request: PlacementRequest) -> float:
        prompt = request.prompt_tokens
        if self._cached(known.spec.engine, request.prefix):
            prompt -= request.prefix_tokens
        backlog = sum(
            item.prompt_tokens - item.prefix_tokens
            for item, _ in known.running.values()
            if self._made(item.generation) == 0
        )
        return float(backlog + prompt + 30 * len(known.running))

    def _fits(self, known: _Known, request: PlacementRequest) -> bool:
        """Return whether memory suffices up to the end of everything that runs."""
        if len(known.running) >= known.spec.max_batch:
            return False
        shared = 0 if known.users(request.prefix) else request.prefix_tokens
        seen = set()
        rest = []
        for item, length in known.running.values():
            if item.prefix not in seen:
                seen.add(item.prefix)
                shared += item.prefix_tokens
            made = self._made(item.generation)
            rest.append((length - made, item.prompt_tokens - item.prefix_tokens + made))
        rest.append(
            (self._length(request.generation), request.prompt_tokens - request.prefix_tokens)
        )
        rest.sort(reverse=True)
        limit = known.spec.memory_tokens * MEMORY_MARGIN
        held = float(shared)
        # Whoever ends last is alive at every end before: sum from the longest down.
        for alive, (remaining, now_held) in enumerate(rest, start=1):
            held += now_held
            if held + alive * remaining > limit:
                return len(known.running) == 0
        return True
