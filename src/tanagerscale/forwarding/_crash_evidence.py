"""Records evidence from request results on what crashes upstreams.

The key of a whole request needs a hash of its body, so it is computed only while there are
suspects.
"""

from __future__ import annotations

from typing import Final

from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.forwarding._crash_reports import Finding
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._suspected_requests import get_keys
from tanagerscale.forwarding._suspected_requests import get_part_keys
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.quarantine import request_key
from tanagerscale.upstreams import UpstreamEntry

SOUND_AFTER_MS: Final = 1000
"""Time after the first event of an answer for which an upstream has to write on for the parts of
the prompt to be sound. A part that crashes upstreams does so as they begin to write."""

_log = get_logger(part="quarantine")


def is_quarantined(routed: RoutedRequest, context: ForwardingContext) -> bool:
    """Return whether a request has what crashes upstreams."""
    suspects = context.suspects
    return suspects.refused_count > 0 and suspects.is_refused(get_keys(routed))


def record_broken_response(
    routed: RoutedRequest, context: ForwardingContext, entry: UpstreamEntry, *, written_ms: int = 0
) -> None:
    """Record a truncated response, which is evidence if its upstream turns out to have crashed.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param entry: The upstream.
    :param written_ms: Time since the first event of the answer; 0 before that.
    """
    upstream = entry.upstream
    is_leaving = context.gate.is_leaving(upstream)
    _log.info(
        "A response broke off.",
        request=routed.request.request,
        upstream=upstream,
        parts=sorted(get_part_keys(routed)),
        written_ms=written_ms,
        is_leaving=is_leaving,
        is_cut_off=context.paths.is_cut_off,
    )
    context.paths.record_unreached(upstream)
    if is_leaving:
        context.metrics.broken_responses.labels(Finding.LEAVING.value).inc()
        return
    keys = {request_key(routed.fingerprint)}
    if written_ms < SOUND_AFTER_MS:
        keys |= get_part_keys(routed)
    context.crash_reports.add(entry=entry, run=frozenset(keys))


async def wait_if_suspected(
    routed: RoutedRequest, context: ForwardingContext, entry: UpstreamEntry
) -> None:
    """Wait until it is known whether an upstream has crashed, if that may convict a request.

    :param routed: The request, whose response from the upstream broke off.
    :param context: Dependencies shared by all requests.
    :param entry: The upstream.
    """
    suspects = context.suspects
    if suspects.suspect_count and suspects.are_near_conviction(get_keys(routed)):
        await context.crash_reports.wait_for_finding(entry.upstream)


def record_complete_response(
    routed: RoutedRequest, context: ForwardingContext, entry: UpstreamEntry, *, sent_at: Millis
) -> None:
    """Record a complete response.

    :param routed: The request.
    :param context: Dependencies shared by all requests.
    :param entry: The upstream.
    :param sent_at: When the request was sent to it.
    """
    suspects = context.suspects
    suspects.record_alive(upstream=entry.upstream, sent_at=sent_at)
    suspects.record_sound(
        keys=get_keys(routed) if suspects.suspect_count else get_part_keys(routed)
    )


def record_sound_parts(routed: RoutedRequest, context: ForwardingContext) -> None:
    """Record that an upstream writes on for long, which the parts of the prompt let it do."""
    context.suspects.record_sound(keys=get_part_keys(routed))
