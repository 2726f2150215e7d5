"""Estimates of answer lengths, based only on completed answers."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
import math
from typing import final

from tanagerscale.policy._types import PlacementRequest

BUCKETS_PER_E_FOLD = 5
MAX_ANSWER_TOKENS = 1 << 17
BUCKETS = int(math.log(MAX_ANSWER_TOKENS) * BUCKETS_PER_E_FOLD) + 2

HALF_LIFE_ANSWERS = 400
"""Number of completed answers after which an observation counts half."""

PARENT_OBSERVATIONS = 6.0
"""Number of observations that the coarser group's distribution counts as in the finer one."""

RESCALE_THRESHOLD = 1e12

MAX_GROUPS = 4_096
"""Maximum number of groups; callers choose class names, so the least recently updated are evicted.
"""


def _edge(bucket: int) -> float:
    return math.exp(bucket / BUCKETS_PER_E_FOLD) - 1.0


_EDGES = tuple(_edge(bucket) for bucket in range(BUCKETS + 1))


def _bucket_position(tokens: float) -> float:
    return math.log1p(tokens) * BUCKETS_PER_E_FOLD


@final
class LengthCurve:
    """Survival function of the answer lengths of one group.

    :param density: Probability of each bucket; the sum is 1.
    """

    __slots__ = ("_beyond", "_density", "_survival", "_truncated", "mean")

    def __init__(self, *, density: Sequence[float]) -> None:
        self._density = density
        self._truncated: dict[int, LengthCurve] = {}
        survival = [1.0]
        for probability in density:
            survival.append(max(survival[-1] - probability, 0.0))
        self._survival = survival
        beyond = [0.0] * (BUCKETS + 1)
        for bucket in reversed(range(BUCKETS)):
            width = _EDGES[bucket + 1] - _EDGES[bucket]
            beyond[bucket] = (
                beyond[bucket + 1] + (survival[bucket] + survival[bucket + 1]) / 2 * width
            )
        self._beyond = beyond
        self.mean = sum(
            (survival[bucket] + survival[bucket + 1]) / 2 * (_EDGES[bucket + 1] - _EDGES[bucket])
            for bucket in range(BUCKETS)
        )
        """Expected length in tokens."""

    @property
    def density(self) -> Sequence[float]:
        """Return the probability of each bucket."""
        return self._density

    def truncated(self, max_tokens: int) -> LengthCurve:
        """Return the distribution of answers cut off after ``max_tokens`` tokens."""
        bucket = int(_bucket_position(max_tokens))
        if bucket >= BUCKETS or self._survival[bucket + 1] <= 0.0:
            return self
        curve = self._truncated.get(bucket)
        if curve is None:
            density = list(self._density[: bucket + 1]) + [0.0] * (BUCKETS - bucket - 1)
            density[bucket] += self._survival[bucket + 1]
            curve = self._truncated[bucket] = LengthCurve(density=density)
        return curve

    def survival(self, tokens: float) -> float:
        """Return the probability that an answer is longer than ``tokens``."""
        position = math.log1p(tokens) * BUCKETS_PER_E_FOLD
        bucket = int(position)
        if bucket >= BUCKETS:
            return 0.0
        lower = self._survival[bucket]
        return lower + (self._survival[bucket + 1] - lower) * (position - bucket)

    def expected_left(self, tokens: float) -> float:
        """Return the expected number of further tokens of an answer that has ``tokens`` so far."""
        bucket = int(_bucket_position(tokens))
        surviving = self.survival(tokens)
        if bucket >= BUCKETS or surviving <= 0.0:
            return 0.0
        until_edge = (surviving + self._survival[bucket + 1]) / 2 * (_EDGES[bucket + 1] - tokens)
        return (until_edge + self._beyond[bucket + 1]) / surviving


@final
class _Group:
    """Decayed counts of one group of requests and the curve computed from them."""

    __slots__ = ("_growth", "_increment", "_since_rebuild", "_total", "counts", "curve")

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKETS
        self.curve: LengthCurve | None = None
        self._growth = 2.0 ** (1.0 / HALF_LIFE_ANSWERS)
        self._increment = 1.0
        self._total = 0.0
        self._since_rebuild = 0

    def observe(self, bucket: int) -> None:
        self.counts[bucket] += self._increment
        self._total += self._increment
        # A growing increment decays all older counts in relation to new ones.
        self._increment *= self._growth
        self._since_rebuild += 1
        if self._increment > RESCALE_THRESHOLD:
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
    def is_stale(self) -> bool:
        """Return whether the curve must be recomputed."""
        return self.curve is None or self._since_rebuild * 16 > self.observations

    def rebuild(self, *, parent: Sequence[float]) -> LengthCurve:
        observed = self.observations
        total = observed + PARENT_OBSERVATIONS
        scale = 1.0 / (self._increment * total)
        parent_share = PARENT_OBSERVATIONS / total
        density = [
            count * scale + parent_share * prior
            for count, prior in zip(self.counts, parent, strict=True)
        ]
        self.curve = LengthCurve(density=density)
        self._since_rebuild = 0
        return self.curve


def _log_uniform() -> list[float]:
    used = int(_bucket_position(8192))
    return [1.0 / used if bucket < used else 0.0 for bucket in range(BUCKETS)]


@final
class LengthEstimator:
    """Estimates lengths for (model, adapter, account, class), backing off to coarser groups."""

    def __init__(self) -> None:
        self._groups: OrderedDict[tuple[str, ...], _Group] = OrderedDict()
        self._prior = LengthCurve(density=_log_uniform())

    def observe(self, *, request: PlacementRequest, tokens: int) -> None:
        """Record the length of a completed answer.

        :param request: Request of the answer.
        :param tokens: Length of the whole answer.
        """
        bucket = min(int(_bucket_position(tokens)), BUCKETS - 1)
        for key in self._keys(request):
            self._groups.setdefault(key, _Group()).observe(bucket)
            self._groups.move_to_end(key)
        while len(self._groups) > MAX_GROUPS:
            self._groups.popitem(last=False)

    def curve(self, *, request: PlacementRequest) -> LengthCurve:
        """Return the survival function of the answer length of a request.

        :param request: The request; its answer length is unknown.
        """
        curve = self._prior
        for key in reversed(self._keys(request)):
            group = self._groups.get(key)
            if group is None:
                continue
            if group.is_stale or group.curve is None:
                group.rebuild(parent=curve.density)
            assert group.curve is not None
            curve = group.curve
        return curve.truncated(request.max_tokens)

    @staticmethod
    def _keys(request: PlacementRequest) -> tuple[tuple[str, ...], ...]:
        """Return the groups of a request, the finest first."""
        return (
            (request.model, request.adapter, request.account, request.request_class),
            (request.model, request.request_class),
            (request.model,),
        )
