"""Record of requests that are sent while they, or parts of their prompts, are suspected."""

from __future__ import annotations

from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.quarantine import SuspectKey
from tanagerscale.quarantine import part_keys
from tanagerscale.quarantine import request_key

_log = get_logger(part="quarantine")


def get_part_keys(routed: RoutedRequest) -> frozenset[SuspectKey]:
    """Return the keys of the parts of a prompt that other requests may share."""
    demand = routed.request.demand
    if demand is None:
        return frozenset()
    return part_keys(part.part for part in demand.parts[:-1])


def get_keys(routed: RoutedRequest) -> frozenset[SuspectKey]:
    """Return the keys of a request and of the parts of its prompt that others may share."""
    return get_part_keys(routed) | {request_key(routed.fingerprint)}


def record_suspected_request(
    routed: RoutedRequest, context: ForwardingContext, upstream: UpstreamId, *, path: str
) -> None:
    """Log and count a request that is sent while it, or a part of it, is suspected of crashes.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param upstream: The upstream that it is sent to.
    :param path: How the request gets to it.
    """
    suspects = context.suspects
    if not suspects.suspect_count:
        return
    crashes = {key: suspects.count_crashes(key) for key in sorted(get_keys(routed))}
    if not any(crashes.values()):
        return
    context.metrics.suspected_requests.labels(path).inc()
    _log.info(
        "A suspected request is sent.",
        request=routed.request.request,
        upstream=upstream,
        path=path,
        crashes=crashes,
    )
