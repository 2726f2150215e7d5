"""The simple rules that the default policy is compared with."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.policy import ImmediateScheduler


@final
class RoundRobin(ImmediateScheduler):
    """Takes the engines in turn.

    :param rng: Chooses where to begin, so that hosts do not march in step.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__()
        self._turn = rng.randrange(1 << 16)

    def choose(self, *, candidates: Sequence[UpstreamId]) -> UpstreamId:
        """Return the next candidate in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


@final
class LateLeastLoad(ImmediateScheduler):
    """Takes the engine whose last report shows the fewest generations; memory breaks ties.

    :param rng: Breaks the ties that are left.
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
    """Draws two engines and takes the one with less reported load (Mitzenmacher, 2001).

    :param rng: Draws the engines.
    """

    def __init__(self, *, rng: Random) -> None:
        super().__init__()
        self._rng = rng

    def choose(self, *, candidates: Sequence[UpstreamId]) -> UpstreamId:
        """Return the less loaded of two candidates drawn at random."""
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=self._load)

    def _load(self, engine: UpstreamId) -> int:
        load = self.loads.get(engine)
        return 0 if load is None else load.running + load.waiting
