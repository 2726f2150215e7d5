"""What the ends of requests show of whether they crash upstreams."""

from __future__ import annotations

from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.upstreams import UpstreamEntry


def note_broken(routed: RoutedRequest, parts: ForwardingParts, entry: UpstreamEntry) -> None:
    """Record that an answer broke off, unless its upstream leaves."""
    if not parts.notes.is_leaving(entry.upstream):
        parts.suspects.note_broken(fingerprint=routed.fingerprint, upstream=entry.upstream)


def note_whole(routed: RoutedRequest, parts: ForwardingParts, entry: UpstreamEntry) -> None:
    """Record a whole answer; the fingerprint is only worked out while there are suspects."""
    if parts.suspects.known:
        parts.suspects.note_whole(fingerprint=routed.fingerprint, upstream=entry.upstream)
