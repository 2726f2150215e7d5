"""Length class and waiting-time limits of a generation."""

from __future__ import annotations

from typing import Final

from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._types import PUBLIC_ACCOUNT
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._workload import RunOrigin
from tanagerscale.routes import effective_priority

MIN_LONG_ANSWER_TOKENS: Final = 200
"""Answers of this length or more can outlast the notice that a leaving engine gives: at 9 ms a
token they take about two seconds. Shorter ones end before the engine is gone."""


MAX_LATE_WAIT_MS: Final = 3000
"""Maximum time that a generation waits for capacity after its first event is late. Callers abandon
a stream that has sent nothing for seven seconds, and an engine may need another 1.5 s to process
the prompt."""

RESPONSE_RESERVE_MS: Final = 1500
"""Time reserved for the answer of a generation that waits that long, so that it ends before its
deadline."""


def prompt_tokens(routed: RoutedRequest) -> int:
    """Return the length of the prompt in tokens; 0 if the caller does not tell it."""
    demand = routed.request.demand
    return 0 if demand is None else demand.prompt_tokens


def max_answer_tokens(routed: RoutedRequest) -> int:
    """Return the maximum length of the answer in tokens; 0 if the caller does not tell it."""
    demand = routed.request.demand
    return 0 if demand is None else demand.max_tokens


def run_origin(routed: RoutedRequest) -> RunOrigin:
    """Return who has sent a generation, and what it may need."""
    return RunOrigin(
        account=routed.caller.account or PUBLIC_ACCOUNT,
        priority=effective_priority(route=routed.route, caller=routed.caller),
        max_tokens=max_answer_tokens(routed),
    )


def is_long(routed: RoutedRequest) -> bool:
    """Return whether an answer may run for seconds."""
    demand = routed.request.demand
    return demand is None or demand.max_tokens >= MIN_LONG_ANSWER_TOKENS


def waited_ms(routed: RoutedRequest, context: ForwardingContext) -> int:
    """Return the time since a request arrived."""
    return context.clock.now() - routed.request.arrived


def time_until_late_ms(routed: RoutedRequest, context: ForwardingContext) -> int:
    """Return the time until the first event is late, counted from the caller's first attempt.

    A caller that retries sends the same deadline, so it has less time left.
    """
    request = routed.request
    waited = waited_ms(routed, context)
    if request.time_left_ms is not None:
        waited += max(routed.route.timeout_ms - request.time_left_ms, 0)
    return routed.route.target_ms - waited


def max_late_wait_ms(routed: RoutedRequest, context: ForwardingContext) -> int:
    """Return how long a generation may still wait for capacity once its first event is late."""
    left_ms = routed.deadline - context.clock.now() - max(time_until_late_ms(routed, context), 0)
    return max(min(MAX_LATE_WAIT_MS, left_ms - RESPONSE_RESERVE_MS), 0)
