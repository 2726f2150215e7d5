"""Prefix cache of the engine, with delayed publication of its events."""

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
MAX_EVENTS = 10_000


@dataclass(frozen=True, kw_only=True, slots=True)
class _TimedEvent:
    event: CacheEvent
    created_at_ms: int


def prefix_hash(prompt: str) -> str:
    """Return the hash under which the first block of a prompt is published.

    :param prompt: The prompt.
    :returns: Hexadecimal digest; empty when the prompt is shorter than one block.
    """
    if len(prompt) < PREFIX_CHARACTERS:
        return ""
    text = prompt[:PREFIX_CHARACTERS].encode()
    return hashlib.blake2b(text, digest_size=HASH_BYTES).hexdigest()


@final
class PrefixCache:
    """Least-recently-used cache of prompt prefixes.

    :param cache_tokens: Capacity in tokens.
    :param lag_ms: Delay before an event is published, in milliseconds.
    :param drop_ratio: Fraction of the events that are never published.
    :param rng: Random number generator that selects the events to drop.
    :param clock: Source of the current time.
    """

    def __init__(
        self, *, cache_tokens: int, lag_ms: int, drop_ratio: float, rng: Random, clock: Clock
    ) -> None:
        self._capacity = cache_tokens // PREFIX_TOKENS
        self._lag_ms = lag_ms
        self._drop_ratio = drop_ratio
        self._rng = rng
        self._clock = clock
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: list[_TimedEvent] = []
        self._sequence = 0

    def lookup(self, prompt: str) -> int:
        """Look up the prefix of a prompt, and store it if it is missing.

        :param prompt: The prompt.
        :returns: Number of prompt tokens that need no prefill.
        """
        prefix = prefix_hash(prompt)
        if not prefix or not self._capacity:
            return 0
        is_hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if is_hit:
            return PREFIX_TOKENS
        self._publish(prefix, stored=True)
        while len(self._prefixes) > self._capacity:
            evicted, _ = self._prefixes.popitem(last=False)
            self._publish(evicted, stored=False)
        return 0

    def events(self, *, after: int) -> CacheEvents:
        """Return the published events after a sequence number.

        :param after: Last sequence number that the reader has seen.
        """
        cutoff_ms = self._clock.now() - self._lag_ms
        published = [item.event for item in self._events if item.created_at_ms <= cutoff_ms]
        last_sequence = published[-1].sequence if published else 0
        return CacheEvents(
            events=[event for event in published if event.sequence > after],
            next_sequence=max(after, last_sequence) + 1,
        )

    def _publish(self, prefix: str, *, stored: bool) -> None:
        self._sequence += 1
        if self._rng.random() < self._drop_ratio:
            return
        event = CacheEvent(sequence=self._sequence, prefix=prefix, stored=stored)
        self._events.append(_TimedEvent(event=event, created_at_ms=self._clock.now()))
        del self._events[:-MAX_EVENTS]
