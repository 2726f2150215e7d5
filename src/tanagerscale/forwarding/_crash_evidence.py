"""Records evidence from request results on whether a request crashes upstreams.

A request's fingerprint is a hash of its body, so it is computed only while there are suspects.
"""

from __future__ import annotations

from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.upstreams import UpstreamEntry


def is_quarantined(routed: RoutedRequest, parts: ForwardingParts) -> bool:
    """Return whether a request has crashed too many upstreams to be run again."""
    suspects = parts.suspects
    return suspects.suspect_count > 0 and suspects.is_refused(routed.fingerprint)


def record_broken_response(
    routed: RoutedRequest, parts: ForwardingParts, entry: UpstreamEntry
) -> None:
    """Record a truncated response, unless its upstream is leaving."""
    if not parts.gate.is_leaving(entry.upstream):
        parts.suspects.note_broken(fingerprint=routed.fingerprint, upstream=entry.upstream)


def record_complete_response(
    routed: RoutedRequest, parts: ForwardingParts, entry: UpstreamEntry
) -> None:
    """Record a complete response."""
    if parts.suspects.suspect_count:
        parts.suspects.note_whole(fingerprint=routed.fingerprint, upstream=entry.upstream)
