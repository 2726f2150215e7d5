"""Tracks the generations of one engine and forecasts their memory use."""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
import math
from typing import final

from msgspec import Struct
from msgspec import field

from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.policy._lengths import LengthCurve
from tanagerscale.policy._types import EngineLoad
from tanagerscale.policy._types import EngineSpec
from tanagerscale.policy._types import PlacementRequest

HORIZON_STEPS = (0, 32, 96, 256, 640, 1536)
"""Decoding steps ahead at which memory use is forecast; each step adds one token per generation."""

FILL_HORIZON_INDEX = 3
"""Index of the horizon at which the expected memory use of engines is compared."""

MAX_FORECAST_AGE_MS = 250
"""Age at which a forecast is recomputed even if no generation started or ended."""

MAX_PREFIX_HINTS = 256
"""Maximum number of cached prefixes tracked for an engine."""

_NEVER_COMPUTED = Millis(-MAX_FORECAST_AGE_MS)

MAX_USAGE_SAMPLES = 16
"""Number of past samples of the ledger's own usage, kept to interpret delayed load reports."""


class RunningGeneration(Struct):
    """A generation on an engine.

    :param request: The request.
    :param curve: Distribution of its answer length at admission.
    :param private_tokens: Prompt tokens that it does not share with other generations.
    :param uncached_tokens: Prompt tokens expected to need prefill.
    :param tokens: Tokens generated so far.
    """

    request: PlacementRequest
    curve: LengthCurve
    private_tokens: int
    uncached_tokens: int
    tokens: int = 0


class _UsageSample(Struct, frozen=True):
    """Usage by the ledger's own generations at one time."""

    at: Millis
    tokens: int
    running: int


class _Forecast(Struct):
    """Mean and variance of the memory in use at each horizon."""

    computed: Millis = _NEVER_COMPUTED
    mean: list[float] = field(default_factory=lambda: [0.0] * len(HORIZON_STEPS))
    variance: list[float] = field(default_factory=lambda: [0.0] * len(HORIZON_STEPS))


@final
class EngineLedger:
    """State of one engine as known to one scheduler.

    :param spec: Declared properties of the engine.
    :param ignores_foreign_work: Whether load of other schedulers is ignored, because this scheduler
        may fill only a share of the engine.
    """

    def __init__(self, *, spec: EngineSpec, ignores_foreign_work: bool = False) -> None:
        self.spec = spec
        self.ignores_foreign_work = ignores_foreign_work
        self.is_open = True
        """Whether the engine accepts new work."""
        self.running: dict[GenerationId, RunningGeneration] = {}
        self.prefill_tokens = 0
        """Prompt tokens expected to be waiting for prefill."""
        self._prefixes_in_use: dict[str, int] = {}
        self._prefix_tokens = 0
        self._prefix_hints: OrderedDict[str, None] = OrderedDict()
        self._forecast = _Forecast()
        self.refused_tokens: dict[LengthCurve, int] = {}
        """Smallest memory that did not fit since the last forecast, by length distribution."""
        self._is_dirty = True
        self._usage: deque[_UsageSample] = deque(maxlen=MAX_USAGE_SAMPLES)
        self._foreign_tokens = 0
        self._foreign_running = 0

    @property
    def batch_size(self) -> int:
        """Return the expected number of generations on the engine, including foreign ones."""
        return len(self.running) + self._foreign_running

    def has_prefix_hint(self, prefix: str) -> bool:
        """Return whether a prefix is expected to be in the engine's cache."""
        return prefix in self._prefix_hints

    def prompt_cost(self, request: PlacementRequest, *, use_prefixes: bool) -> int:
        """Return how many prompt tokens the engine would have to compute."""
        if use_prefixes and request.prefix and request.prefix in self._prefix_hints:
            return request.prompt_tokens - request.prefix_tokens
        return request.prompt_tokens

    @property
    def own_tokens(self) -> int:
        """Return the memory that this scheduler's generations hold, in tokens."""
        private_tokens = sum(item.private_tokens + item.tokens for item in self.running.values())
        return private_tokens + self._prefix_tokens

    def added_tokens(self, request: PlacementRequest) -> int:
        """Return the memory that a request's prompt would add; shared prefixes are counted once."""
        if request.prefix and request.prefix in self._prefixes_in_use:
            return request.prompt_tokens - request.prefix_tokens
        return request.prompt_tokens

    def can_fit(
        self,
        request: PlacementRequest,
        curve: LengthCurve,
        *,
        deviations: float,
        limit_tokens: float,
    ) -> bool:
        """Return whether the forecast with one more request stays in a limit at all horizons.

        :param request: The candidate.
        :param curve: Distribution of its answer length.
        :param deviations: Number of standard deviations kept free.
        :param limit_tokens: Memory that may be used.
        """
        base_tokens = self.added_tokens(request)
        refused_tokens = self.refused_tokens.get(curve)
        if refused_tokens is not None and base_tokens >= refused_tokens:
            return False
        for index, horizon in enumerate(HORIZON_STEPS):
            p_running = curve.survival(horizon)
            size_tokens = base_tokens + horizon
            mean = self._forecast.mean[index] + p_running * size_tokens
            total_variance = (
                self._forecast.variance[index]
                + p_running * (1.0 - p_running) * size_tokens * size_tokens
            )
            if mean + deviations * math.sqrt(total_variance) > limit_tokens:
                self.refused_tokens[curve] = base_tokens
                return False
        return True

    def expected_fill(self) -> float:
        """Return the fraction of the memory expected to be in use some seconds ahead."""
        return self._forecast.mean[FILL_HORIZON_INDEX] / self.spec.memory_tokens

    def add(self, running: RunningGeneration, *, now: Millis) -> None:
        """Add a generation that is sent to the engine."""
        request = running.request
        self.running[request.generation] = running
        self.prefill_tokens += running.uncached_tokens
        if request.prefix:
            users = self._prefixes_in_use.get(request.prefix, 0)
            self._prefixes_in_use[request.prefix] = users + 1
            if users == 0:
                self._prefix_tokens += request.prefix_tokens
                self._forecast.mean = [
                    value + request.prefix_tokens for value in self._forecast.mean
                ]
            self.record_prefix_hint(request.prefix, stored=True)
        self._extend_forecast(running)

    def remove(self, generation: GenerationId) -> RunningGeneration | None:
        """Remove a generation that left the engine.

        :returns: The generation, or ``None`` if it is not known.
        """
        running = self.running.pop(generation, None)
        if running is None:
            return None
        if running.tokens == 0:
            self.prefill_tokens -= running.uncached_tokens
        self._release_prefix(running.request)
        self._is_dirty = True
        return running

    def progress(self, generation: GenerationId, *, tokens: int) -> int:
        """Record the number of tokens that a generation has generated.

        :returns: How many of them are new.
        """
        running = self.running.get(generation)
        if running is None or tokens <= running.tokens:
            return 0
        if running.tokens == 0:
            self.prefill_tokens -= running.uncached_tokens
        new = tokens - running.tokens
        running.tokens = tokens
        return new

    def record_prefix_hint(self, prefix: str, *, stored: bool) -> None:
        """Record whether a prefix is expected to be in the engine's cache."""
        if not stored:
            self._prefix_hints.pop(prefix, None)
            return
        self._prefix_hints[prefix] = None
        self._prefix_hints.move_to_end(prefix)
        if len(self._prefix_hints) > MAX_PREFIX_HINTS:
            self._prefix_hints.popitem(last=False)

    def apply_load(self, load: EngineLoad) -> None:
        """Apply a delayed load report; load beyond the own usage at that time is foreign."""
        if self.ignores_foreign_work:
            return
        own = self._own_usage(load.measured)
        self._foreign_tokens = max(load.used_tokens - own.tokens, 0)
        self._foreign_running = max(load.running + load.waiting - own.running, 0)
        self._is_dirty = True

    def refresh(self, *, now: Millis) -> None:
        """Recompute the forecast if it is old or out of date."""
        if not self._is_dirty and now - self._forecast.computed < MAX_FORECAST_AGE_MS:
            return
        mean = [0.0] * len(HORIZON_STEPS)
        variance = [0.0] * len(HORIZON_STEPS)
        for running in self.running.values():
            tokens = running.tokens
            base_tokens = running.private_tokens + tokens
            survival = running.curve.survival
            p_current = max(survival(tokens), 1e-9)
            for index, horizon in enumerate(HORIZON_STEPS):
                p_running = min(survival(tokens + horizon) / p_current, 1.0)
                size_tokens = base_tokens + horizon
                mean[index] += p_running * size_tokens
                variance[index] += p_running * (1.0 - p_running) * size_tokens * size_tokens
        own = int(mean[0]) + self._prefix_tokens
        self._usage.append(_UsageSample(at=now, tokens=own, running=len(self.running)))
        shared = self._prefix_tokens + self._foreign_tokens
        self._forecast = _Forecast(
            computed=now, mean=[value + shared for value in mean], variance=variance
        )
        self._is_dirty = False
        self.refused_tokens.clear()

    def _own_usage(self, at: Millis) -> _UsageSample:
        latest = _UsageSample(at=at, tokens=0, running=0)
        for sample in self._usage:
            if sample.at > at:
                break
            latest = sample
        return latest

    def _extend_forecast(self, running: RunningGeneration) -> None:
        curve = running.curve
        base_tokens = running.private_tokens
        for index, horizon in enumerate(HORIZON_STEPS):
            p_running = curve.survival(horizon)
            size_tokens = base_tokens + horizon
            self._forecast.mean[index] += p_running * size_tokens
            self._forecast.variance[index] += (
                p_running * (1.0 - p_running) * size_tokens * size_tokens
            )

    def _release_prefix(self, request: PlacementRequest) -> None:
        if not request.prefix:
            return
        users = self._prefixes_in_use[request.prefix] - 1
        if users:
            self._prefixes_in_use[request.prefix] = users
        else:
            del self._prefixes_in_use[request.prefix]
            self._prefix_tokens -= request.prefix_tokens
