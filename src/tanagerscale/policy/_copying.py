"""Estimates how long copies of runs take, their order, and which engines need copies made ahead.

Workload: an engine with a handful of long generations is gone two seconds after its notice, and
this happens to some engine every few seconds. Its link copies one run at a time, in the order of
the requests; 3,500 tokens take 0.2 s to an engine in the same failure domain and 0.4 s to one in
another. The last, short copy of a run, during which the run is paused, waits behind all copies
requested before it, so copies that all start at once delay each other's streams.
"""

from __future__ import annotations

from typing import Final

from tanagerscale.core import MS_PER_SECOND

BITS_PER_BYTE: Final = 8

CROSS_DOMAIN_FACTOR: Final = 2.0
"""A copy to another failure domain takes twice as long."""

MIN_NOTICE_MS: Final = 1500
"""Minimum time between an engine's notice and its end, used when the engine does not report one."""

EVACUATION_BUDGET_MS: Final = 1100
"""Runs that can be copied within this time after a notice need no copy ahead of time. The rest of
the notice covers its propagation and the start of newly placed runs."""


def estimate_copy_ms(
    *, tokens: int, token_bytes: int, link_mbps: float, is_cross_domain: bool
) -> float:
    """Return how long copying a run's memory between two engines takes, in milliseconds.

    :param tokens: Memory the run holds.
    :param token_bytes: Bytes for each token.
    :param link_mbps: Bandwidth of the engines' links, in megabits per second; 0 if not declared.
    :param is_cross_domain: Whether the engines are in different failure domains.
    :returns: The time, or 0 if the bandwidth is not declared.
    """
    if link_mbps <= 0:
        return 0.0
    bits = tokens * token_bytes * BITS_PER_BYTE
    same_domain_ms = bits / (link_mbps * 1_000_000) * MS_PER_SECOND
    return same_domain_ms * (CROSS_DOMAIN_FACTOR if is_cross_domain else 1.0)


def evacuable_tokens(*, token_bytes: int, link_mbps: float) -> int:
    """Return how many tokens can be copied to another failure domain after an engine's notice.

    :returns: The number of tokens, or 0 if the bandwidth is not declared.
    """
    ms_per_token = estimate_copy_ms(
        tokens=1, token_bytes=token_bytes, link_mbps=link_mbps, is_cross_domain=True
    )
    return int(EVACUATION_BUDGET_MS / ms_per_token) if ms_per_token else 0


def copy_sort_key(*, tokens: int, answer_tokens: int) -> int:
    """Return the position of a run in the order of copying; the smallest is copied first.

    The value of an answer grows with its length and the time to copy a run with its memory, so the
    run whose answer is the largest part of its memory is copied first.

    :param tokens: Memory the run holds.
    :param answer_tokens: Tokens of its answer so far.
    """
    return -1000 * answer_tokens // max(tokens, 1)
