"""The one place at which requests are sent to upstreams, on whichever way they come."""

from __future__ import annotations

from enum import Enum
from enum import unique

from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._crash_evidence import is_quarantined
from tanagerscale.forwarding._limited_requests import record_limited_request
from tanagerscale.forwarding._limited_requests import record_named_rate
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._repeats import record_repeat
from tanagerscale.forwarding._suspected_requests import record_suspected_request
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import UpstreamRequest
from tanagerscale.forwarding._types import UpstreamResponse

_log = get_logger(part="forwarding")


@unique
class SendPath(Enum):
    """How a request gets to an upstream."""

    FIRST = "first"
    """The first attempt of a plain request."""
    REPEATED = "repeated"
    """A plain request after an attempt that failed."""
    HEDGED = "hedged"
    """A plain request while another attempt is under way."""
    PLACED = "placed"
    """A generation that has reached no engine before."""
    PLACED_AGAIN = "placed-again"
    """A generation that its engine did not run."""
    RESUMED = "resumed"
    """A run that continues, on whichever engine."""

    @property
    def is_repeat(self) -> bool:
        """Whether the retry budget counts it, since the request has reached an upstream before."""
        return self not in (SendPath.FIRST, SendPath.PLACED)


class QuarantinedError(Exception):
    """A request is not sent, since it has what crashes upstreams."""


async def send_request(
    routed: RoutedRequest,
    context: ForwardingContext,
    upstream_request: UpstreamRequest,
    *,
    path: SendPath,
    chosen_at: Millis,
) -> UpstreamResponse:
    """Send a request to an upstream and wait for the head of its response.

    :param routed: The request as it was received.
    :param context: Dependencies shared by all requests.
    :param upstream_request: The request to the upstream.
    :param path: How the request gets to it.
    :param chosen_at: When the upstream was chosen.
    :raises QuarantinedError: The request was not sent.
    :raises ExchangeError: The upstream did not respond.
    """
    upstream = upstream_request.upstream.upstream
    if is_quarantined(routed, context):
        context.metrics.unsent_requests.labels(path.value).inc()
        _log.info(
            "A request is not sent, since it has what crashes upstreams.",
            request=routed.request.request,
            upstream=upstream,
            path=path.value,
        )
        raise QuarantinedError
    _record_choice(routed, context, upstream, path=path, chosen_at=chosen_at)
    record_limited_request(routed, context, upstream, path=path.value)
    record_suspected_request(routed, context, upstream, path=path.value)
    if path.is_repeat:
        record_repeat(routed, context, upstream, path=path.value)
    sent_at = context.clock.now()
    response = await context.upstream_client.send(upstream_request=upstream_request)
    record_named_rate(context, upstream, response, sent_at=sent_at)
    return response


def _record_choice(
    routed: RoutedRequest,
    context: ForwardingContext,
    upstream: UpstreamId,
    *,
    path: SendPath,
    chosen_at: Millis,
) -> None:
    """Record what this host knows of an upstream as it sends a request there."""
    chosen_ms = context.clock.now() - chosen_at
    leaving_ms = context.gate.leaving_for_ms(upstream)
    context.metrics.choice_age_ms.labels(path.value).observe(chosen_ms)
    if leaving_ms is not None:
        context.metrics.leaving_requests.labels(path.value).inc()
    _log.info(
        "A request is sent.",
        request=routed.request.request,
        upstream=upstream,
        path=path.value,
        chosen_ms=chosen_ms,
        leaving_ms=leaving_ms,
        list_age_ms=context.list_age_ms(),
    )
