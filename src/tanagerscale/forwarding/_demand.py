"""What a generation asks of engines, and how much time it has."""

from __future__ import annotations

from typing import Final

from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._types import RoutedRequest

LONG_ANSWER_TOKENS: Final = 200
"""Answers that may get this long outlive the notice that a leaving engine gives: at 9 ms a token
they run on for two seconds. Shorter ones end before it is gone."""


LATE_PATIENCE_MS: Final = 3000
"""How long a generation that is late may wait on for room. Callers give up a stream that has sent
nothing for seven seconds, and an engine may take another 1.5 for its prompt."""

ANSWER_MS: Final = 1500
"""Time that is left for the answer of one that waits so long, so that it ends before its
deadline."""


def is_long(routed: RoutedRequest) -> bool:
    """Return whether an answer may run on for seconds."""
    demand = routed.request.demand
    return demand is None or demand.max_tokens >= LONG_ANSWER_TOKENS


def waited_ms(routed: RoutedRequest, parts: ForwardingParts) -> int:
    """Return the time since a request came."""
    return parts.clock.now() - routed.request.arrived


def left_until_late_ms(routed: RoutedRequest, parts: ForwardingParts) -> int:
    """Return the time left until the first event is late, counted from the caller's first try.

    A caller that comes back brings the same deadline with less time left.
    """
    request = routed.request
    waited = waited_ms(routed, parts)
    if request.time_left_ms is not None:
        waited += max(routed.route.timeout_ms - request.time_left_ms, 0)
    return routed.route.target_ms - waited


def late_patience_ms(routed: RoutedRequest, parts: ForwardingParts) -> int:
    """Return how long a generation may wait on once its first event is late."""
    left_ms = routed.deadline - parts.clock.now() - max(left_until_late_ms(routed, parts), 0)
    return max(min(LATE_PATIENCE_MS, left_ms - ANSWER_MS), 0)
