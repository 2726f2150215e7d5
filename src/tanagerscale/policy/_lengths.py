"""Estimates of answer lengths, learnt only from answers that have ended."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
import math
from typing import final

from tanagerscale.policy._types import PlacementRequest

BUCKETS_PER_E_FOLD = 5
LONGEST_TOKENS = 1 << 17
BUCKETS = int(math.log(LONGEST_TOKENS) * BUCKETS_PER_E_FOLD) + 2

HALF_LIFE = 400
"""Finished answers after which an observation counts half."""

PARENT_STRENGTH = 6.0
"""How many observations the coarser group's distribution is worth in the finer one."""

RESCALE_ABOVE = 1e12

MOST_GROUPS = 4_096
"""Most groups kept; callers choose class names, so the least recently learnt ones go."""


def _edge(bucket: int) -> float:
    return math.exp(bucket / BUCKETS_PER_E_FOLD) - 1.0


_EDGES = tuple(_edge(bucket) for bucket in range(BUCKETS + 1))


def _position(tokens: float) -> float:
    return math.log1p(tokens) * BUCKETS_PER_E_FOLD


@final
class LengthCurve:
    """The survival function of one group's answer lengths.

    :param density: Probability of each bucket; they sum to one.
    """

    __slots__ = ("_density", "_limited", "_survival", "mean")

    def __init__(self, *, density: Sequence[float]) -> None:
        self._density = density
        self._limited: dict[int, LengthCurve] = {}
        survival = [1.0]
        for probability in density:
            survival.append(max(survival[-1] - probability, 0.0))
        self._survival = survival
        self.mean = sum(
            (survival[bucket] + survival[bucket + 1]) / 2 * (_EDGES[bucket + 1] - _EDGES[bucket])
            for bucket in range(BUCKETS)
        )
        """Expected length in tokens."""

    @property
    def density(self) -> Sequence[float]:
        """Return the probability of each bucket."""
        return self._density

    def limited(self, longest: int) -> LengthCurve:
        """Return the distribution when answers are cut off after ``longest`` tokens."""
        bucket = int(_position(longest))
        if bucket >= BUCKETS or self._survival[bucket + 1] <= 0.0:
            return self
        curve = self._limited.get(bucket)
        if curve is None:
            density = list(self._density[: bucket + 1]) + [0.0] * (BUCKETS - bucket - 1)
            density[bucket] += self._survival[bucket + 1]
            curve = self._limited[bucket] = LengthCurve(density=density)
        return curve

    def survival(self, tokens: float) -> float:
        """Return the chance that an answer is longer than ``tokens``."""
        position = math.log1p(tokens) * BUCKETS_PER_E_FOLD
        bucket = int(position)
        if bucket >= BUCKETS:
            return 0.0
        left = self._survival[bucket]
        return left + (self._survival[bucket + 1] - left) * (position - bucket)


@final
class _Group:
    """Decayed counts of one group of requests and the curve made from them."""

    __slots__ = ("_growth", "_increment", "_since", "_total", "counts", "curve")

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.curve: LengthCurve | None = None
        self._growth = 2.0 ** (1.0 / HALF_LIFE)
        self._increment = 1.0
        self._total = 0.0
        self._since = 0

    def observe(self, bucket: int) -> None:
        self.counts[bucket] += self._increment
        self._total += self._increment
        # Growing the increment has the effect of decaying all older counts.
        self._increment *= self._growth
        self._since += 1
        if self._increment > RESCALE_ABOVE:
            self._rescale()

    def _rescale(self) -> None:
        scale = 1.0 / self._increment
        self.counts = [count * scale for count in self.counts]
        self._total *= scale
        self._increment = 1.0

    @property
    def observations(self) -> float:
        """Return the decayed number of observations."""
        return self._total / self._increment

    @property
    def stale(self) -> bool:
        """Return whether the curve should be made again."""
        return self.curve is None or self._since * 16 > self.observations

    def rebuild(self, *, parent: Sequence[float]) -> LengthCurve:
        seen = self.observations
        total = seen + PARENT_STRENGTH
        scale = 1.0 / (self._increment * total)
        share = PARENT_STRENGTH / total
        density = [
            count * scale + share * prior for count, prior in zip(self.counts, parent, strict=True)
        ]
        self.curve = LengthCurve(density=density)
        self._since = 0
        return self.curve


def _log_uniform() -> list[float]:
    used = int(_position(8192))
    return [1.0 / used if bucket < used else 0.0 for bucket in range(BUCKETS)]


@final
class LengthEstimator:
    """Learns lengths for (model, adapter, account, class), backing off to coarser groups."""

    def __init__(self) -> None:
        self._groups: OrderedDict[tuple[str, ...], _Group] = OrderedDict()
        self._prior = LengthCurve(density=_log_uniform())

    def observe(self, *, request: PlacementRequest, tokens: int) -> None:
        """Learn from an answer that has ended.

        :param request: What was asked for.
        :param tokens: Length of the whole answer.
        """
        bucket = min(int(_position(tokens)), BUCKETS - 1)
        for key in self._keys(request):
            self._groups.setdefault(key, _Group()).observe(bucket)
            self._groups.move_to_end(key)
        while len(self._groups) > MOST_GROUPS:
            self._groups.popitem(last=False)

    def curve(self, *, request: PlacementRequest) -> LengthCurve:
        """Return the survival function for a request that has not ended.

        :param request: What is asked for; its length is not known.
        """
        curve = self._prior
        for key in reversed(self._keys(request)):
            group = self._groups.get(key)
            if group is None:
                continue
            if group.stale or group.curve is None:
                group.rebuild(parent=curve.density)
            assert group.curve is not None
            curve = group.curve
        return curve.limited(request.max_tokens)

    @staticmethod
    def _keys(request: PlacementRequest) -> tuple[tuple[str, ...], ...]:
        """Return the groups of a request, the finest first."""
        return (
            (request.model, request.adapter, request.account, request.request_class),
            (request.model, request.request_class),
            (request.model,),
        )
