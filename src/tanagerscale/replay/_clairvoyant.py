"""Upper bound for comparison: a scheduler that knows output lengths and current engine state."""

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

PREFILL_TOKEN_COST = 0.05
"""Engine time of a prompt token relative to an output token, used to order the queue."""

MAX_MEMORY_FRACTION = 0.98
MAX_SKIPPED_REQUESTS = 24


@final
class _EngineState:
    """Running generations of one engine with their output lengths.

    :param spec: Memory and batch limit of the engine.
    """

    def __init__(self, *, spec: EngineSpec) -> None:
        self.spec = spec
        self.running: dict[GenerationId, tuple[PlacementRequest, int]] = {}
        self.prefixes: dict[str, int] = {}

    def count_prefix_users(self, prefix: str) -> int:
        """Return the number of running generations that use a prefix."""
        return self.prefixes.get(prefix, 0)


@final
class ClairvoyantScheduler:
    """Schedules the shortest request first, with the prefill counted in its length.

    It admits a request only if memory suffices until the request completes.

    :param output_length: Returns the true output length of a generation, in tokens.
    :param generated_tokens: Returns the number of tokens a generation has produced, without
        reporting delay.
    :param has_prefix: Returns whether an engine holds a prefix, without reporting delay.
    :param in_order: Whether to admit requests in order of arrival instead; used to measure
        capacity.
    """

    def __init__(
        self,
        *,
        output_length: Callable[[GenerationId], int],
        generated_tokens: Callable[[GenerationId], int],
        has_prefix: Callable[[UpstreamId, str], bool],
        in_order: bool = False,
    ) -> None:
        self._output_length = output_length
        self._generated_tokens = generated_tokens
        self._has_prefix = has_prefix
        self._in_order = in_order
        self._engines: dict[UpstreamId, _EngineState] = {}
        self._available_engines: set[UpstreamId] = set()
        self._queue: list[tuple[float, int, PlacementRequest]] = []
        self._queued: set[GenerationId] = set()
        self._engine_by_generation: dict[GenerationId, _EngineState] = {}
        self._last_number = 0

    def set_engines(self, *, engines: Sequence[EngineSpec], now: Millis) -> None:
        """Replace the engines that accept new requests."""
        self._available_engines = {spec.engine for spec in engines}
        for spec in engines:
            self._engines.setdefault(spec.engine, _EngineState(spec=spec))

    def submit(self, *, request: PlacementRequest, now: Millis) -> None:
        """Add a request to the queue."""
        self._last_number += 1
        output_length = self._output_length(request.generation)
        sort_key = float(request.arrived)
        if not self._in_order:
            sort_key = output_length + PREFILL_TOKEN_COST * request.prompt_tokens
        heapq.heappush(self._queue, (sort_key, self._last_number, request))
        self._queued.add(request.generation)

    def withdraw(self, *, generation: GenerationId, now: Millis) -> None:
        """Remove a request from the queue."""
        self._queued.discard(generation)

    def on_progress(self, *, generation: GenerationId, tokens: int, now: Millis) -> None:
        """Do nothing: progress is read from the engines without delay."""

    def on_finished(
        self, *, generation: GenerationId, tokens: int, complete: bool, now: Millis
    ) -> None:
        """Remove a generation that is no longer on its engine."""
        state = self._engine_by_generation.pop(generation, None)
        if state is not None:
            request, _ = state.running.pop(generation)
            state.prefixes[request.prefix] -= 1

    def on_load(self, *, load: EngineLoad, now: Millis) -> None:
        """Do nothing: delayed load reports are not used."""

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool, now: Millis) -> None:
        """Do nothing: delayed cache events are not used."""

    def on_engine_lost(self, *, engine: UpstreamId, now: Millis) -> None:
        """Remove an engine and its running generations."""
        state = self._engines.pop(engine, None)
        self._available_engines.discard(engine)
        for generation in state.running if state else ():
            del self._engine_by_generation[generation]

    def decide(self, *, now: Millis) -> Sequence[Decision]:
        """Admit the requests that fit in queue order, skipping those that do not fit."""
        decisions = []
        skipped: list[tuple[float, int, PlacementRequest]] = []
        while self._queue and len(skipped) < MAX_SKIPPED_REQUESTS:
            entry = heapq.heappop(self._queue)
            request = entry[2]
            if request.generation not in self._queued:
                continue
            state = self._select_engine(request)
            if state is None:
                skipped.append(entry)
                if self._in_order:
                    break
                continue
            self._queued.discard(request.generation)
            state.running[request.generation] = (request, self._output_length(request.generation))
            state.prefixes[request.prefix] = state.count_prefix_users(request.prefix) + 1
            self._engine_by_generation[request.generation] = state
            decisions.append(
                Decision(
                    kind=DecisionKind.ADMIT,
                    generation=request.generation,
                    engine=state.spec.engine,
                )
            )
        for entry in skipped:
            heapq.heappush(self._queue, entry)
        return decisions

    def _select_engine(self, request: PlacementRequest) -> _EngineState | None:
        best = None
        best_cost = 0.0
        for engine in self._available_engines:
            state = self._engines[engine]
            if engine in request.excluded or not self._fits(state, request):
                continue
            cost = self._cost(state, request)
            if best is None or (cost, engine) < (best_cost, best.spec.engine):
                best, best_cost = state, cost
        return best

    def _cost(self, state: _EngineState, request: PlacementRequest) -> float:
        prefill_tokens = request.prompt_tokens
        if self._has_prefix(state.spec.engine, request.prefix):
            prefill_tokens -= request.prefix_tokens
        backlog = sum(
            item.prompt_tokens - item.prefix_tokens
            for item, _ in state.running.values()
            if self._generated_tokens(item.generation) == 0
        )
        return float(backlog + prefill_tokens + 30 * len(state.running))

    def _fits(self, state: _EngineState, request: PlacementRequest) -> bool:
        """Return whether memory suffices until all running generations and the request complete.

        An idle engine accepts any request.
        """
        if len(state.running) >= state.spec.max_batch:
            return False
        shared = 0 if state.count_prefix_users(request.prefix) else request.prefix_tokens
        counted_prefixes = set()
        outputs = []
        for item, output_length in state.running.values():
            if item.prefix not in counted_prefixes:
                counted_prefixes.add(item.prefix)
                shared += item.prefix_tokens
            generated_tokens = self._generated_tokens(item.generation)
            outputs.append(
                (
                    output_length - generated_tokens,
                    item.prompt_tokens - item.prefix_tokens + generated_tokens,
                )
            )
        outputs.append(
            (self._output_length(request.generation), request.prompt_tokens - request.prefix_tokens)
        )
        outputs.sort(reverse=True)
        limit = state.spec.memory_tokens * MAX_MEMORY_FRACTION
        held_tokens = float(shared)
        # The generations that end later are all still running when a shorter one ends, so their
        # memory is summed from the longest remaining output to the shortest.
        for still_running, (remaining, current_tokens) in enumerate(outputs, start=1):
            held_tokens += current_tokens
            if held_tokens + still_running * remaining > limit:
                return len(state.running) == 0
        return True
