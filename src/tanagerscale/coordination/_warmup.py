"""Rate limits of upstreams that are warming.

The upstreams of a failure domain become available together and empty, so all hosts rank them as
least loaded. But until it is warm, each upstream handles only a limited number of requests a
second, and crashes when it gets many more.
"""

from __future__ import annotations

from typing import Final
from typing import Protocol
from typing import final

from tanagerscale.coordination._rate_limits import Rate
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.routes import RouteTable
from tanagerscale.routes import Service
from tanagerscale.upstreams import UpstreamEntry

GRANTED_SHARE: Final = 0.7
"""Fraction of an upstream's rate that is granted continuously; the rest may be sent at once after a
pause, so that no second has more than the rate."""


class WarmupTables(Protocol):
    """Provides the configuration in force."""

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force; ``None`` before one is known."""


class WarmupUpstreams(Protocol):
    """Provides the state of upstreams that limits their rate."""

    def get(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return the entry of an upstream, also for a while after it has been removed."""

    def warmup_ms(self, upstream: UpstreamId) -> int:
        """Return the remaining warm-up time of an upstream, as the upstream reports it."""

    def since_evacuation_ms(self, upstream: UpstreamId) -> int | None:
        """Return the time since the evacuation of its domain ended; ``None`` if long ago."""


@final
class WarmupRates:
    """Provides the limits of upstreams while they are warming.

    :param tables: Provides the configuration in force.
    :param upstreams: State of the upstreams.
    """

    def __init__(self, *, tables: WarmupTables, upstreams: WarmupUpstreams) -> None:
        self._tables = tables
        self._upstreams = upstreams

    def rate(self, upstream: UpstreamId) -> Rate | None:
        """Return the limit of an upstream that is warming; ``None`` for any other one."""
        entry = self._upstreams.get(upstream)
        service = None if entry is None else self._service(entry.service)
        if service is None or not self._is_warming(upstream, service):
            return None
        declared_per_s = service.warmup_requests_per_s
        granted_per_s = declared_per_s * GRANTED_SHARE
        return Rate(per_s=granted_per_s, burst=max(declared_per_s - granted_per_s, 1.0))

    def _is_warming(self, upstream: UpstreamId, service: Service) -> bool:
        return service.warmup_requests_per_s > 0 and self._remaining_ms(upstream, service) > 0

    def _service(self, name: ServiceId) -> Service | None:
        table = self._tables.table
        return None if table is None else table.service(name)

    def _remaining_ms(self, upstream: UpstreamId, service: Service) -> int:
        """Return the remaining warm-up time of an upstream.

        Upstreams of an evacuated failure domain may have become cold unnoticed.
        """
        reported_ms = self._upstreams.warmup_ms(upstream)
        since_evacuation_ms = self._upstreams.since_evacuation_ms(upstream)
        return (
            reported_ms
            if since_evacuation_ms is None
            else max(reported_ms, service.warmup_ms - since_evacuation_ms)
        )
