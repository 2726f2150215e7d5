"""What upstreams say of themselves in the heads of their responses."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import UpstreamId


class UpstreamNotice(Struct, frozen=True, kw_only=True):
    """What one incarnation of an upstream says of itself in a response.

    :param upstream: The incarnation that responded.
    :param is_leaving: Whether it is leaving.
    :param pause_ms: For how long it wants no further requests from this host; ``None`` if it did
        not ask for a pause.
    """

    upstream: UpstreamId
    is_leaving: bool = False
    pause_ms: int | None = None
