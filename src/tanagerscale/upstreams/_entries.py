"""Entries that upstreams publish about themselves."""

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
    """Whether an upstream accepts new requests."""

    READY = "ready"
    LEAVING = "leaving"


class UpstreamEntry(Struct, frozen=True, kw_only=True):
    """One incarnation of an upstream; each restart counts as a new upstream.

    :param upstream: Id of this incarnation. No other incarnation shares it, so that state recorded
        for one incarnation is not applied to another.
    :param name: Name under which the upstream is registered; later incarnations may share it.
    :param started_ms: When it started, in milliseconds since 1970 by its own clock; 0 if it does
        not report that.
    :param service: Service that it provides.
    :param address: IP address and port; may later be reassigned to another upstream.
    :param failure_domain: Failure domain in which it runs.
    :param max_concurrency: Number of requests that it processes at the same time.
    :param state: Whether it accepts new requests.
    :param warmup_ms: Remaining warm-up time, in milliseconds; until then it is slow.
    :param sequence: Number of the entry among those that this incarnation has written, from 1 on;
        0 if it numbers none.
    """

    upstream: UpstreamId
    name: UpstreamName
    started_ms: int
    service: ServiceId
    address: str
    failure_domain: FailureDomainId
    max_concurrency: int
    state: UpstreamState
    warmup_ms: int
    sequence: int = 0
