"""The engine's cache of prompt prefixes, and the events it publishes late."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
import hashlib
from random import Random
from typing import final

from standins.tokens import CHARACTERS_PER_TOKEN
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import CacheEvent
from tanagerscale.generated.upstream import CacheEvents

PREFIX_TOKENS = 64
PREFIX_CHARACTERS = PREFIX_TOKENS * CHARACTERS_PER_TOKEN
HASH_BYTES = 16
KEPT_EVENTS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _Stamped:
    event: CacheEvent
    at: int


def prefix_hash(prompt: str) -> str:
    """Return the published hash of a prompt's first block; empty when it is shorter than one.

    :param prompt: The prompt.
    """
    if len(prompt) < PREFIX_CHARACTERS:
        return ""
    text = prompt[:PREFIX_CHARACTERS].encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).hexdigest()


@final
class PrefixCache:
    """Prefixes in least-recently-used order.

    :param cache_tokens: Its size.
    :param lag_ms: How late events are published, in milliseconds.
    :param gap: Share of the events that are never published.
    :param random: Chooses these.
    :param clock: The time.
    """

    def __init__(
        self, *, cache_tokens: int, lag_ms: int, gap: float, random: Random, clock: Clock
    ) -> None:
        self._capacity = cache_tokens // PREFIX_TOKENS
        self._lag_ms = lag_ms
        self._gap = gap
        self._random = random
        self._clock = clock
        self._held: OrderedDict[str, None] = OrderedDict()
        self._events: list[_Stamped] = []
        self._sequence = 0

    def use(self, prompt: str) -> int:
        """Look a prompt's prefix up and store it.

        :param prompt: The prompt.
        :returns: How many tokens need no prefill.
        """
        prefix = prefix_hash(prompt)
        if not prefix or not self._capacity:
            return 0
        hit = prefix in self._held
        self._held[prefix] = None
        self._held.move_to_end(prefix)
        if hit:
            return PREFIX_TOKENS
        self._publish(prefix, stored=True)
        while len(self._held) > self._capacity:
            evicted, _ = self._held.popitem(last=False)
            self._publish(evicted, stored=False)
        return 0

    def events(self, *, after: int) -> CacheEvents:
        """Return the events that are old enough to be published.

        :param after: Last sequence number the reader has.
        """
        latest = self._clock.now() - self._lag_ms
        old = [item.event for item in self._events if item.at <= latest]
        reached = old[-1].sequence if old else 0
        return CacheEvents(
            events=[event for event in old if event.sequence > after],
            next_sequence=max(after, reached) + 1,
        )

    def _publish(self, prefix: str, *, stored: bool) -> None:
        self._sequence += 1
        if self._random.random() < self._gap:
            return
        event = CacheEvent(sequence=self._sequence, prefix=prefix, stored=stored)
        self._events.append(_Stamped(event=event, at=self._clock.now()))
        del self._events[:-KEPT_EVENTS]
