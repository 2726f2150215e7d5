"""What one engine runs and how much memory that will need."""

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

HORIZONS = (0, 32, 96, 256, 640, 1536)
"""Steps ahead at which memory is forecast; one step makes one token of each generation."""

FILL_HORIZON = 3
"""Index of the horizon at which engines are compared by how full they will be."""

REFRESH_MS = 250
"""Age at which a forecast is made again although nothing started or ended."""

PREFIX_HINTS = 256
"""Most cached prefixes remembered for an engine."""

_LONG_AGO = Millis(-REFRESH_MS)

USAGE_SAMPLES = 16
"""How many past values of the ledger's own usage are kept to compare late reports with."""


class Running(Struct):
    """A generation on an engine.

    :param request: What was asked for.
    :param curve: Length distribution when it was admitted.
    :param private: Prompt tokens that no other generation shares.
    :param uncached: Prompt tokens believed to need computing.
    :param tokens: Tokens made so far.
    """

    request: PlacementRequest
    curve: LengthCurve
    private: int
    uncached: int
    tokens: int = 0


class _Usage(Struct, frozen=True):
    """What the ledger held at one time."""

    when: Millis
    tokens: int
    running: int


class _Forecast(Struct):
    """Mean and variance of the memory in use at each horizon."""

    made: Millis = _LONG_AGO
    mean: list[float] = field(default_factory=lambda: [0.0] * len(HORIZONS))
    variance: list[float] = field(default_factory=lambda: [0.0] * len(HORIZONS))


@final
class EngineLedger:
    """Everything one scheduler knows of one engine.

    :param spec: What is declared of it.
    :param alone: Whether work of other schedulers is none of this ledger's business, because
        it may only fill a share.
    """

    def __init__(self, *, spec: EngineSpec, alone: bool = False) -> None:
        self.spec = spec
        self.alone = alone
        self.open = True
        """Whether it takes new work."""
        self.running: dict[GenerationId, Running] = {}
        self.prefill_tokens = 0
        """Prompt tokens believed to wait for computing."""
        self._prefixes_in_use: dict[str, int] = {}
        self._prefix_tokens = 0
        self._hints: OrderedDict[str, None] = OrderedDict()
        self._forecast = _Forecast()
        self.refused: dict[LengthCurve, int] = {}
        """Least memory refused by length distribution since the forecast was made."""
        self._dirty = True
        self._usage: deque[_Usage] = deque(maxlen=USAGE_SAMPLES)
        self._foreign = 0
        self._foreign_running = 0

    @property
    def batch(self) -> int:
        """Return how many generations it is believed to run."""
        return len(self.running) + self._foreign_running

    def caches(self, prefix: str) -> bool:
        """Return whether a prefix is believed to be in the engine's cache."""
        return prefix in self._hints

    def prompt_cost(self, request: PlacementRequest, *, use_prefixes: bool) -> int:
        """Return how many prompt tokens the engine would have to compute."""
        if use_prefixes and request.prefix and request.prefix in self._hints:
            return request.prompt_tokens - request.prefix_tokens
        return request.prompt_tokens

    @property
    def own_tokens(self) -> int:
        """Return the memory its own generations hold."""
        private = sum(item.private + item.tokens for item in self.running.values())
        return private + self._prefix_tokens

    def new_memory(self, request: PlacementRequest) -> int:
        """Return the memory a request's prompt would add, shared prefixes counted once."""
        if request.prefix and request.prefix in self._prefixes_in_use:
            return request.prompt_tokens - request.prefix_tokens
        return request.prompt_tokens

    def fits(
        self, request: PlacementRequest, curve: LengthCurve, *, deviations: float, memory: float
    ) -> bool:
        """Return whether the forecast stays inside ``memory`` at every horizon.

        :param request: The candidate.
        :param curve: Its length distribution.
        :param deviations: Standard deviations to keep free.
        :param memory: Tokens of memory it may count on.
        """
        base = self.new_memory(request)
        refused = self.refused.get(curve)
        if refused is not None and base >= refused:
            return False
        for index, horizon in enumerate(HORIZONS):
            alive = curve.survival(horizon)
            size = base + horizon
            mean = self._forecast.mean[index] + alive * size
            spread = self._forecast.variance[index] + alive * (1.0 - alive) * size * size
            if mean + deviations * math.sqrt(spread) > memory:
                self.refused[curve] = base
                return False
        return True

    def fill(self) -> float:
        """Return the part of the memory that is expected in use some seconds ahead."""
        return self._forecast.mean[FILL_HORIZON] / self.spec.memory_tokens

    def add(self, running: Running, *, now: Millis) -> None:
        """Enter a generation that is sent to the engine."""
        request = running.request
        self.running[request.generation] = running
        self.prefill_tokens += running.uncached
        if request.prefix:
            users = self._prefixes_in_use.get(request.prefix, 0)
            self._prefixes_in_use[request.prefix] = users + 1
            if users == 0:
                self._prefix_tokens += request.prefix_tokens
                self._forecast.mean = [
                    value + request.prefix_tokens for value in self._forecast.mean
                ]
            self.hint(request.prefix, stored=True)
        self._extend_forecast(running)

    def remove(self, generation: GenerationId) -> Running | None:
        """Take out a generation that left the engine."""
        running = self.running.pop(generation, None)
        if running is None:
            return None
        if running.tokens == 0:
            self.prefill_tokens -= running.uncached
        self._release_prefix(running.request)
        self._dirty = True
        return running

    def progress(self, generation: GenerationId, *, tokens: int) -> int:
        """Record how far a generation is.

        :returns: How many tokens are new.
        """
        running = self.running.get(generation)
        if running is None or tokens <= running.tokens:
            return 0
        if running.tokens == 0:
            self.prefill_tokens -= running.uncached
        new = tokens - running.tokens
        running.tokens = tokens
        return new

    def hint(self, prefix: str, *, stored: bool) -> None:
        """Note that a prefix is likely, or not, in the engine's cache."""
        if not stored:
            self._hints.pop(prefix, None)
            return
        self._hints[prefix] = None
        self._hints.move_to_end(prefix)
        if len(self._hints) > PREFIX_HINTS:
            self._hints.popitem(last=False)

    def report(self, load: EngineLoad) -> None:
        """Take in a late report: what it shows beyond our own usage then is foreign."""
        if self.alone:
            return
        own = self._own_usage(load.measured)
        self._foreign = max(load.used_tokens - own.tokens, 0)
        self._foreign_running = max(load.running + load.waiting - own.running, 0)
        self._dirty = True

    def refresh(self, *, now: Millis) -> None:
        """Make the forecast again when it is old or something ended."""
        if not self._dirty and now - self._forecast.made < REFRESH_MS:
            return
        mean = [0.0] * len(HORIZONS)
        variance = [0.0] * len(HORIZONS)
        for running in self.running.values():
            tokens = running.tokens
            base = running.private + tokens
            survival = running.curve.survival
            now_alive = max(survival(tokens), 1e-9)
            for index, horizon in enumerate(HORIZONS):
                alive = min(survival(tokens + horizon) / now_alive, 1.0)
                size = base + horizon
                mean[index] += alive * size
                variance[index] += alive * (1.0 - alive) * size * size
        own = int(mean[0]) + self._prefix_tokens
        self._usage.append(_Usage(when=now, tokens=own, running=len(self.running)))
        shared = self._prefix_tokens + self._foreign
        self._forecast = _Forecast(
            made=now, mean=[value + shared for value in mean], variance=variance
        )
        self._dirty = False
        self.refused.clear()

    def _own_usage(self, when: Millis) -> _Usage:
        best = _Usage(when=when, tokens=0, running=0)
        for sample in self._usage:
            if sample.when > when:
                break
            best = sample
        return best

    def _extend_forecast(self, running: Running) -> None:
        curve = running.curve
        base = running.private
        for index, horizon in enumerate(HORIZONS):
            alive = curve.survival(horizon)
            size = base + horizon
            self._forecast.mean[index] += alive * size
            self._forecast.variance[index] += alive * (1.0 - alive) * size * size

    def _release_prefix(self, request: PlacementRequest) -> None:
        if not request.prefix:
            return
        users = self._prefixes_in_use[request.prefix] - 1
        if users:
            self._prefixes_in_use[request.prefix] = users
        else:
            del self._prefixes_in_use[request.prefix]
            self._prefix_tokens -= request.prefix_tokens
