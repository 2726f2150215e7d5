"""Baseline schedulers that the default policy is compared with."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.policy import ImmediateScheduler


@final
class RoundRobin(ImmediateScheduler):
    """Selects the engines in rotation.

    :param rng: Random number generator that selects the start of the rotation, so that the
        hosts do not all select the same engine at once.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__()
        self._next_index = rng.randrange(1 << 16)

    def choose(self, *, candidates: Sequence[UpstreamId]) -> UpstreamId:
        """Return the next candidate of the rotation."""
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]


@final
class ReportedLeastLoad(ImmediateScheduler):
    """Selects the engine with the fewest generations in its last load report.

    Ties go to the engine that uses less memory.

    :param rng: Random number generator used to break the remaining ties.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__()
        self._rng = rng

    def choose(self, *, candidates: Sequence[UpstreamId]) -> UpstreamId:
        """Return the candidate with the least reported load."""
        return min(candidates, key=self._load)

    def _load(self, engine: UpstreamId) -> tuple[int, int, float]:
        load = self.loads.get(engine)
        if load is None:
            return 0, 0, self._rng.random()
        return load.running + load.waiting, load.used_tokens, self._rng.random()


@final
class TwoChoices(ImmediateScheduler):
    """Samples two engines and selects the one with less reported load (Mitzenmacher, 2001).

    :param rng: Random number generator that samples the engines.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__()
        self._rng = rng

    def choose(self, *, candidates: Sequence[UpstreamId]) -> UpstreamId:
        """Return the less loaded of two candidates sampled at random."""
        sampled = self._rng.sample(candidates, min(2, len(candidates)))
        return min(sampled, key=self._load)

    def _load(self, engine: UpstreamId) -> int:
        load = self.loads.get(engine)
        return 0 if load is None else load.running + load.waiting
