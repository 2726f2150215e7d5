"""What an upstream says of itself where upstreams are listed."""

from __future__ import annotations

from enum import Enum
from enum import unique

from msgspec import Struct

from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName


@unique
class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    READY = "ready"
    LEAVING = "leaving"


class UpstreamEntry(Struct, frozen=True, kw_only=True):
    """One start of an upstream; another start is another upstream.

    :param upstream: Its id, which no other start shares, so that nothing that is known of one start
        is believed of another.
    :param name: What it is registered under; a later start may have the same name.
    :param started_ms: When it started, in milliseconds since 1970 by its own clock; 0 when it does
        not tell.
    :param service: The service it answers for.
    :param address: IP number and port. Another upstream may have it later.
    :param failure_domain: Where it stands.
    :param places: How many requests it works on at once.
    :param state: Whether it takes new work.
    :param cold_ms: How much longer it is slow after its start.
    """

    upstream: UpstreamId
    name: UpstreamName
    started_ms: int
    service: ServiceId
    address: str
    failure_domain: FailureDomainId
    places: int
    state: UpstreamState
    cold_ms: int
