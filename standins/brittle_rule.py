"""The users' rule on brittle upstreams, computed from what they had to turn away."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

SPAN_MS = 1_000
FREE_FALLS = 2
UPSTREAMS_PER_FALL = 10


def count_falls(refusals: Sequence[int], *, limit: float, down_ms: int) -> int:
    """Return how often an upstream falls over.

    :param refusals: Sorted times at which it turned a request away for want of room.
    :param limit: Requests that it may turn away within a second.
    :param down_ms: How long it is down after it has fallen over.
    """
    falls = 0
    back_at = 0
    recent: deque[int] = deque()
    for at in refusals:
        if at < back_at:
            continue
        recent.append(at)
        while recent[0] <= at - SPAN_MS:
            recent.popleft()
        if len(recent) > limit:
            falls += 1
            back_at = at + down_ms
            recent.clear()
    return falls


def allowed_falls(upstreams: int) -> float:
    """Return how often the upstreams of a service may fall over together."""
    return FREE_FALLS + upstreams / UPSTREAMS_PER_FALL
