"""When each run is copied away from an engine that leaves, and which runs have a copy before.

The load it answers: an engine with a handful of long generations goes two seconds after its notice,
as one does every few seconds. Its link copies one run at a time, in the order asked; 3,500 tokens
take 0.2 s to an engine of its failure domain and 0.4 s to another one. The last, short copy of a
run, during which it stands still, waits behind whatever was asked for before it, so copies that
all begin at once hold up each other's streams.
"""

from __future__ import annotations

from typing import Final

from tanagerscale.core import MS_PER_SECOND

BITS_PER_BYTE: Final = 8

AWAY_FACTOR: Final = 2.0
"""A copy to another failure domain takes twice as long."""

NOTICE_MS: Final = 1500
"""Least time between an engine's notice and its end; engines that know more tell."""

EASY_MS: Final = 1100
"""Runs that can be copied within so long of a notice need no copy beforehand; it leaves time for
the notice to be heard and for young runs to begin."""


def copy_ms(*, tokens: int, token_bytes: int, link_mbps: float, away: bool) -> float:
    """Return how long a run's memory takes from one engine to another, in milliseconds.

    :param tokens: Memory it holds.
    :param token_bytes: Bytes for each token.
    :param link_mbps: Speed of the engines' links.
    :param away: Whether they stand in different failure domains.
    """
    if link_mbps <= 0:
        return 0.0
    bits = tokens * token_bytes * BITS_PER_BYTE
    alone = bits / (link_mbps * 1_000_000) * MS_PER_SECOND
    return alone * (AWAY_FACTOR if away else 1.0)


def easy_tokens(*, token_bytes: int, link_mbps: float) -> int:
    """Return how many tokens can leave an engine after its notice, to another failure domain."""
    each = copy_ms(tokens=1, token_bytes=token_bytes, link_mbps=link_mbps, away=True)
    return int(EASY_MS / each) if each else 0


def order_of(*, tokens: int, made: int) -> int:
    """Return the place of a run in the order of copying, the smallest first.

    What an answer is worth grows with its length, and the time to copy it with its memory, so the
    run with the largest part of its memory in its answer goes first.

    :param tokens: Memory it holds.
    :param made: Tokens of its answer so far.
    """
    return -1000 * made // max(tokens, 1)
