"""Decoding of what upstreams say of themselves in the heads of their responses."""

from __future__ import annotations

from tanagerscale.core import UpstreamId
from tanagerscale.platform._headers import LEAVING
from tanagerscale.upstreams import ResponseHead
from tanagerscale.upstreams import UpstreamNotice


def decode_notice(*, upstream: UpstreamId, reply: ResponseHead) -> UpstreamNotice | None:
    """Return what an upstream says of itself in a response; ``None`` if it says nothing.

    :param upstream: The upstream that responded.
    :param reply: Head of the response.
    """
    is_leaving = reply.headers.get(LEAVING, "").strip() == "1"
    return UpstreamNotice(upstream=upstream, is_leaving=True) if is_leaving else None
