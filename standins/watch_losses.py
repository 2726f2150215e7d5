"""Seeded loss of watches at a store that answers all other calls."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from random import Random
from typing import Final
from typing import final

from standins.platform_store import StoreEmulator
from tanagerscale.core import Clock

CONFIGURATION_KEY: Final = "op/config"
UPSTREAMS_PREFIX: Final = "servers/"
PREFIXES: Final = ("op/", UPSTREAMS_PREFIX, "")
"""Prefixes whose watches are lost together; the empty one stands for all."""
BURST_RANGE_MS: Final = (20, 200)
"""How long the watches that begin are lost after a change."""
INTERVAL_RANGE_MS: Final = (200, 4_000)


@final
class WatchLosses:
    """Leaves watches without an answer, with their connections open.

    :param store: The store.
    """

    def __init__(self, *, store: StoreEmulator) -> None:
        self._store = store
        self._clock = Clock()

    def end_watches(self, prefix: str = "") -> None:
        """Write a key that operators or upstreams wrote again, which ends the watches of it."""
        keys = self._store.keys()
        for written in (CONFIGURATION_KEY, UPSTREAMS_PREFIX):
            key = next((one for one in keys if one.startswith(written)), "")
            value = self._store.value(key)
            if key.startswith(prefix) and value is not None:
                self._store.put(key, value)

    async def lose(self, rng: Random) -> str:
        """Lose some watches, and return which."""
        lose: Callable[[Random, str], Awaitable[str]]
        lose = rng.choice((self._lose_waiting, self._lose_new, self._lose_new))
        return await lose(rng, rng.choice(PREFIXES))

    async def run(self, *, rng: Random, duration_ms: float) -> None:
        """Lose watches again and again for some time."""
        ends_at = self._clock.now() + duration_ms
        while self._clock.now() < ends_at:
            await self._clock.sleep(rng.randint(*INTERVAL_RANGE_MS))
            await self.lose(rng)

    async def _lose_waiting(self, rng: Random, prefix: str) -> str:
        """Lose the watches of one host, of some or of all."""
        waiting = [one for one in self._store.waiting_watches if one.prefix.startswith(prefix)]
        number = rng.choice((1, rng.randint(1, max(len(waiting), 1)), len(waiting)))
        for watch in rng.sample(waiting, min(number, len(waiting))):
            watch.is_lost = True
        return f"{number} waiting {prefix}"

    async def _lose_new(self, rng: Random, prefix: str) -> str:
        """Lose the watches that begin after a change, of most hosts or of all."""
        share = rng.choice((0.5, 1.0, 1.0))
        own = Random(rng.random())
        self._store.loses_watch = lambda other: (other.startswith(prefix) and own.random() < share)
        self.end_watches(prefix)
        burst_ms = rng.randint(*BURST_RANGE_MS)
        await self._clock.sleep(burst_ms)
        self._store.loses_watch = lambda _prefix: False
        return f"{share} of new {prefix} for {burst_ms} ms"
