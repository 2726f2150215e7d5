"""What every request of a host uses."""

from __future__ import annotations

from random import Random
from typing import Protocol

from msgspec import Struct

from tanagerscale.coordination import Gate
from tanagerscale.coordination import RouteTableSource
from tanagerscale.coordination import UpstreamHealth
from tanagerscale.coordination import Upstreams
from tanagerscale.coordination import WarmupLimit
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._meters import Meters
from tanagerscale.forwarding._types import EngineControl
from tanagerscale.forwarding._types import UpstreamCaller
from tanagerscale.forwarding._work import OwnWork
from tanagerscale.quarantine import Suspects


class Repeats(Protocol):
    """Bounds repeats over all hosts together."""

    def count_request(self, *, service: ServiceId) -> None:
        """Count a request for a service; a part of all requests may be repeated."""

    async def may_repeat(self, *, service: ServiceId) -> bool:
        """Return whether a request may be repeated at another upstream."""


class Permits(Protocol):
    """Limits what upstreams get that warm up, over all hosts together."""

    async def may_send(self, *, upstream: UpstreamId) -> bool:
        """Return whether an upstream that warms up may get one more request."""


class ForwardingParts(Struct, frozen=True, kw_only=True):
    """What every request of a host uses.

    :param tables: The declarations in force.
    :param upstreams: The upstreams there are.
    :param gate: Takes what requests show of whether they can be reached.
    :param health: Takes what requests show of how they do.
    :param suspects: Requests that may crash upstreams.
    :param caller: Sends requests to them.
    :param engines: Asks engines to copy runs.
    :param work: What runs on engines.
    :param repeats: Bounds repeats.
    :param warmup: Which upstreams warm up.
    :param permits: Limits what these get.
    :param meters: Counts.
    :param failure_domain: Where this host stands.
    :param clock: Time.
    :param rng: Source of chance.
    """

    tables: RouteTableSource
    upstreams: Upstreams
    gate: Gate
    health: UpstreamHealth
    suspects: Suspects
    caller: UpstreamCaller
    engines: EngineControl
    work: OwnWork
    repeats: Repeats
    warmup: WarmupLimit
    permits: Permits
    meters: Meters
    failure_domain: FailureDomainId
    clock: Clock
    rng: Random
