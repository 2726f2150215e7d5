"""Record of the requests that this host sends to upstreams with a rate limit."""

from __future__ import annotations

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._types import MIN_SERVER_ERROR_STATUS
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import UpstreamResponse

_log = get_logger(part="limits")


def record_limited_request(
    routed: RoutedRequest,
    context: ForwardingContext,
    upstream: UpstreamId,
    *,
    path: str,
) -> None:
    """Log and count a request that is sent to an upstream, if that names a rate limit.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param upstream: The upstream.
    :param path: How the request gets to it.
    """
    rate_per_s = context.named_limits.rate_per_s(upstream)
    if rate_per_s is None:
        return
    context.metrics.limited_requests.labels(path).inc()
    _log.info(
        "A request is sent to a rate-limited upstream.",
        request=routed.request.request,
        upstream=upstream,
        path=path,
        rate_per_s=rate_per_s,
        known_ms=context.named_limits.known_ms(upstream),
    )


def record_named_rate(
    context: ForwardingContext, upstream: UpstreamId, response: UpstreamResponse, *, sent_at: Millis
) -> None:
    """Record what a response says of the rate limit of its upstream.

    :param context: Dependencies shared by all requests.
    :param upstream: The upstream.
    :param response: Its response, of which the head has just arrived.
    :param sent_at: When the request was sent.
    """
    if response.is_address_reassigned:
        return
    context.named_limits.on_response(
        upstream=upstream,
        named=response.named_rates,
        is_success=not response.not_executed and response.status < MIN_SERVER_ERROR_STATUS,
        sent_at=sent_at,
    )
