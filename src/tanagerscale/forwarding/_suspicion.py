"""What the ends of requests show of whether they crash upstreams.

A request's fingerprint is a hash of its body, so it is only worked out while there are suspects.
"""

from __future__ import annotations

from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.upstreams import UpstreamEntry


def is_refused(routed: RoutedRequest, parts: ForwardingParts) -> bool:
    """Return whether a request has crashed too many upstreams to be run again."""
    suspects = parts.suspects
    return suspects.suspect_count > 0 and suspects.is_refused(routed.fingerprint)


def note_broken(routed: RoutedRequest, parts: ForwardingParts, entry: UpstreamEntry) -> None:
    """Record that an answer broke off, unless its upstream leaves."""
    if not parts.gate.is_leaving(entry.upstream):
        parts.suspects.note_broken(fingerprint=routed.fingerprint, upstream=entry.upstream)


def note_whole(routed: RoutedRequest, parts: ForwardingParts, entry: UpstreamEntry) -> None:
    """Record a whole answer."""
    if parts.suspects.suspect_count:
        parts.suspects.note_whole(fingerprint=routed.fingerprint, upstream=entry.upstream)
