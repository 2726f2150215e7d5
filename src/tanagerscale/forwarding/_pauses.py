"""Requests whose upstreams have all asked this host for a pause."""

from __future__ import annotations

from collections.abc import Set

from tanagerscale.coordination import eligible_upstreams
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._refusals import all_paused
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import RoutedRequest

_log = get_logger(part="pauses")


def get_pause_ms(
    routed: RoutedRequest, context: ForwardingContext, tried: Set[UpstreamId]
) -> int | None:
    """Return the time until a request can be sent, if only pauses prevent that.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param tried: Upstreams that did not accept the request.
    :returns: Milliseconds; ``None`` if an upstream takes it now or none would without the pauses.
    """
    paused = context.pauses.paused
    if not paused or eligible_upstreams(context, routed.service, tried | paused, routed.domains):
        return None
    entries = eligible_upstreams(context, routed.service, tried - paused, routed.domains)
    return context.pauses.shortest_ms(entry.upstream for entry in entries)


def refuse_if_paused(
    routed: RoutedRequest, context: ForwardingContext, tried: Set[UpstreamId]
) -> Refusal | None:
    """Return the refusal of a request that only pauses prevent from being sent; else ``None``.

    :param routed: The request, which has not run.
    :param context: Dependencies shared by all requests.
    :param tried: Upstreams that did not accept the request.
    """
    pause_ms = get_pause_ms(routed, context, tried)
    if pause_ms is None:
        return None
    context.metrics.pause_refusals.inc()
    _log.info(
        "All upstreams that could take a request are paused.",
        request=routed.request.request,
        service=routed.service,
        pause_ms=pause_ms,
        tried=len(tried),
    )
    return all_paused(service=routed.service, pause_ms=pause_ms, rng=context.rng)
