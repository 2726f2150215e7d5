"""Record of the requests that this host sends to upstreams more than once."""

from __future__ import annotations

from enum import Enum
from enum import unique

from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._types import RoutedRequest

_log = get_logger(part="repeats")


@unique
class RepeatPath(Enum):
    """How a request gets to one more upstream."""

    REPEATED = "repeated"
    """After an attempt that failed."""
    HEDGED = "hedged"
    """While another attempt is under way."""
    PLACED_AGAIN = "placed-again"
    """A generation that its engine did not run."""
    RESUMED = "resumed"
    """A run that continues, on whichever engine."""


def record_repeat(
    routed: RoutedRequest,
    context: ForwardingContext,
    upstream: UpstreamId,
    *,
    path: RepeatPath,
) -> None:
    """Log and count a request that has been sent before, which the retry budget has permitted.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param upstream: The upstream that it is sent to.
    :param path: How it gets there.
    """
    context.metrics.repeats.labels(path.value).inc()
    _log.info(
        "A request is sent once more.",
        request=routed.request.request,
        service=routed.service,
        upstream=upstream,
        path=path.value,
    )
