"""What is known of the engines of a service, for the choice of one."""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set
from typing import Final

from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._parts import takers
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._work import EngineTotal
from tanagerscale.policy import EngineView
from tanagerscale.policy import Placement
from tanagerscale.policy import Wish
from tanagerscale.policy import cheapest
from tanagerscale.policy import easy_tokens
from tanagerscale.policy import has_room
from tanagerscale.policy import has_room_at_once
from tanagerscale.policy import has_room_for_copy
from tanagerscale.policy import place
from tanagerscale.routes import EngineCapabilities
from tanagerscale.upstreams import UpstreamEntry

LONG_ANSWER_TOKENS: Final = 200
"""Answers that may get this long outlive the notice that a leaving engine gives: at 9 ms a token
they run on for two seconds. Shorter ones end before it is gone."""


def is_long(routed: RoutedRequest) -> bool:
    """Return whether an answer may run on for seconds."""
    demand = routed.request.demand
    return demand is None or demand.max_tokens >= LONG_ANSWER_TOKENS


def left_until_late_ms(routed: RoutedRequest, parts: ForwardingParts) -> int:
    """Return the time left until the first event is late, counted from the caller's first try.

    A caller that comes back brings the same deadline with less time left.
    """
    request = routed.request
    waited = parts.clock.now() - request.arrived
    if request.time_left_ms is not None:
        waited += max(routed.route.timeout_ms - request.time_left_ms, 0)
    return routed.route.target_ms - waited


def place_prompt(
    *, routed: RoutedRequest, parts: ForwardingParts, excluded: Set[UpstreamId]
) -> Placement:
    """Decide where a prompt is read, or whether it waits."""
    entries = takers(parts, routed.service, excluded)
    demand = routed.request.demand
    wish = Wish(
        prompt_tokens=0 if demand is None else demand.prompt_tokens,
        is_long=is_long(routed),
        left_ms=left_until_late_ms(routed, parts),
    )
    return place(
        wish=wish,
        views=views_of(entries, routed, parts),
        arriving_tokens=leaving_tokens(parts),
        failure_domain=parts.failure_domain,
        rng=parts.rng,
    )


def leaving_tokens(parts: ForwardingParts) -> int:
    """Return the memory of long generations on leaving engines that have no copy elsewhere."""
    return sum(
        total.uncopied_tokens
        for upstream, total in parts.work.totals().items()
        if parts.notes.is_leaving(upstream)
    )


def choose_target(
    *,
    routed: RoutedRequest,
    parts: ForwardingParts,
    tokens: int,
    source: UpstreamEntry,
    excluded: Set[UpstreamId] = frozenset(),
) -> UpstreamEntry | None:
    """Return the engine that should take over a run that is elsewhere."""
    entries = takers(parts, routed.service, {*excluded, source.upstream})
    views = views_of(entries, routed, parts)
    at_once = [view for view in views if has_room_at_once(view=view, tokens=tokens)]
    roomy = at_once or [view for view in views if has_room(view=view, tokens=tokens)]
    return _nearest(roomy, entries, source, parts)


def choose_holder(
    *,
    routed: RoutedRequest,
    parts: ForwardingParts,
    tokens: int,
    source: UpstreamEntry,
    margin: float,
) -> UpstreamEntry | None:
    """Return the engine that should hold a copy of a run that goes on elsewhere.

    :param routed: The request.
    :param parts: What every request uses.
    :param tokens: Memory that the run holds.
    :param source: Where it runs.
    :param margin: Part of an engine's memory up to which it takes copies.
    """
    entries = takers(parts, routed.service, {source.upstream})
    views = views_of(entries, routed, parts)
    return _nearest(
        [view for view in views if has_room_for_copy(view=view, tokens=tokens, margin=margin)],
        entries,
        source,
        parts,
    )


def _nearest(
    views: Sequence[EngineView],
    entries: Sequence[UpstreamEntry],
    source: UpstreamEntry,
    parts: ForwardingParts,
) -> UpstreamEntry | None:
    """Return the least loaded engine; a copy within a failure domain takes half the time."""
    near = [view for view in views if view.failure_domain == source.failure_domain]
    chosen = cheapest(
        views=near or views,
        prompt_tokens=0,
        is_long=True,
        failure_domain=source.failure_domain,
        rng=parts.rng,
    )
    return None if chosen is None else _entry_of(chosen, entries)


def easy_tokens_of(engine: EngineCapabilities) -> int:
    """Return how many tokens can leave an engine after its notice."""
    return easy_tokens(token_bytes=engine.token_bytes, link_mbps=engine.link_mbps)


def views_of(
    entries: Sequence[UpstreamEntry], routed: RoutedRequest, parts: ForwardingParts
) -> list[EngineView]:
    """Return what is known of engines."""
    totals = parts.work.totals()
    engine = routed.engine
    views = []
    for entry in entries:
        total = totals.get(entry.upstream, EngineTotal())
        views.append(
            EngineView(
                upstream=entry.upstream,
                failure_domain=entry.failure_domain,
                memory_tokens=0 if engine is None else engine.memory_tokens,
                held_tokens=total.long_tokens + total.short_tokens,
                copy_tokens=total.copy_tokens,
                yielding_tokens=total.yielding_tokens,
                uncopied_tokens=total.uncopied_tokens,
                running=total.running,
                waiting_tokens=total.waiting_tokens,
                waiting=total.waiting,
                batch=entry.places if engine is None else engine.batch,
                cold_ms=max(entry.cold_ms - parts.upstreams.known_ms(entry.upstream), 0),
            )
        )
    return views


def _entry_of(view: EngineView, entries: Sequence[UpstreamEntry]) -> UpstreamEntry:
    return next(entry for entry in entries if entry.upstream == view.upstream)
