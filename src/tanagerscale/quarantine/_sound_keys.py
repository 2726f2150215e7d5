"""Record of the requests and parts of prompts that upstreams have answered."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.quarantine._suspect_keys import SuspectKey

SOUND_TTL_MS: Final = 600_000
"""Time after an answer for which a key counts as one that was answered before."""

MAX_SOUND_KEYS: Final = 20_000
"""Maximum number of keys; the one whose last answer is the oldest is evicted first. Keys that many
requests share are answered again all the time."""

TOLD_TTL_MS: Final = 300_000
"""Time for which the other hosts need not be told again that a key was answered."""


@final
class SoundKeys:
    """Remembers which keys were answered, at this host or, as far as it was told, at others.

    :param clock: Source of the current time.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._answered: OrderedDict[SuspectKey, Millis] = OrderedDict()
        self._told: dict[SuspectKey, Millis] = {}
        """When all hosts were told last of a key."""

    def record(self, keys: Collection[SuspectKey]) -> None:
        """Record that a request with some keys was answered."""
        now = self._clock.now()
        for key in keys:
            self._answered[key] = now
            self._answered.move_to_end(key)
        while len(self._answered) > MAX_SOUND_KEYS:
            self._answered.popitem(last=False)

    def record_told(self, keys: Collection[SuspectKey]) -> None:
        """Record that a host has told all others that requests with some keys were answered."""
        self.record(keys)
        self._mark_told(keys)

    def is_known(self, key: SuspectKey) -> bool:
        """Return whether a request with a key was answered in the last minutes."""
        at = self._answered.get(key)
        return at is not None and self._clock.now() - at < SOUND_TTL_MS

    def take_untold(self, keys: Collection[SuspectKey]) -> list[SuspectKey]:
        """Return the answered ones among some keys of which all hosts have to be told now."""
        now = self._clock.now()
        self._told = {key: at for key, at in self._told.items() if now - at < TOLD_TTL_MS}
        untold = sorted(key for key in keys if key not in self._told and self.is_known(key))
        self._mark_told(untold)
        return untold

    def _mark_told(self, keys: Collection[SuspectKey]) -> None:
        now = self._clock.now()
        for key in keys:
            self._told[key] = now
