"""What upstreams say of themselves in the heads of their responses."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import UpstreamId


class UpstreamNotice(Struct, frozen=True, kw_only=True):
    """What one incarnation of an upstream says of itself in a response.

    :param upstream: The incarnation that responded.
    :param is_leaving: Whether it is leaving.
    """

    upstream: UpstreamId
    is_leaving: bool
