"""Record of the requests that this host sends to upstreams more than once."""

from __future__ import annotations

from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._types import RoutedRequest

_log = get_logger(part="repeats")


def record_repeat(
    routed: RoutedRequest,
    context: ForwardingContext,
    upstream: UpstreamId,
    *,
    path: str,
) -> None:
    """Log and count a request that has been sent before, which the retry budget has permitted.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param upstream: The upstream that it is sent to.
    :param path: How it gets there.
    """
    context.metrics.repeats.labels(path).inc()
    _log.info(
        "A request is sent once more.",
        request=routed.request.request,
        service=routed.service,
        upstream=upstream,
        path=path,
    )
