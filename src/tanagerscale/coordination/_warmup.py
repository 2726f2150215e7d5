"""Rate limit of requests to warming upstreams, shared by all hosts.

The upstreams of a failure domain become available together and empty, so all hosts rank them as
least loaded. But until it is warm, each upstream handles only a limited number of requests a
second, and crashes when it gets many more.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
import hashlib
from typing import Final
from typing import Protocol
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.routes import RouteTable
from tanagerscale.routes import Service
from tanagerscale.upstreams import UpstreamEntry

GRANTED_SHARE: Final = 0.7
"""Fraction of an upstream's rate that is granted. When the decider changes, both deciders may grant
this much within one second."""

_DIGEST_BYTES: Final = 8
_DIGEST_RANGE: Final = 2 ** (8 * _DIGEST_BYTES)

_log = get_logger(part="warmup")


class WarmupTables(Protocol):
    """Provides the configuration in force."""

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force; ``None`` before one is known."""


class WarmupUpstreams(Protocol):
    """Provides the state of upstreams that limits their rate."""

    def warmup_ms(self, upstream: UpstreamId) -> int:
        """Return the remaining warm-up time of an upstream, as the upstream reports it."""

    def since_evacuation_ms(self, upstream: UpstreamId) -> int | None:
        """Return the time since the evacuation of its domain ended; ``None`` if long ago."""


@final
class WarmupLimit:
    """Limits the requests to each upstream while it is warming.

    A decider grants an upstream's rate multiplied by the fraction of all hosts that use this
    decider. Where that is less than one request a second, as for isolated hosts, only some hosts,
    selected by a hash, may send one request a second.

    :param host: This host.
    :param tables: Provides the configuration in force.
    :param upstreams: State of the upstreams.
    :param share: Returns the fraction of all hosts that use this decider, between 0 and 1.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        host: HostId,
        tables: WarmupTables,
        upstreams: WarmupUpstreams,
        share: Callable[[], float],
        clock: Clock,
    ) -> None:
        self._host = host
        self._tables = tables
        self._upstreams = upstreams
        self._share = share
        self._clock = clock
        self._sent: dict[UpstreamId, deque[Millis]] = {}
        """Times of the requests granted in the last second."""

    def is_warming(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream currently accepts only a limited rate."""
        service = self._service(entry.service)
        return (
            service is not None
            and service.warmup_requests_per_s > 0
            and self._remaining_ms(entry, service) > 0
        )

    def allows(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream may get one more request now."""
        if not self.is_warming(entry):
            return True
        return len(self._recent_requests(entry.upstream)) < self._limit_per_s(entry)

    def record(self, entry: UpstreamEntry) -> None:
        """Count a request that is sent to an upstream."""
        if self.is_warming(entry):
            self._sent.setdefault(entry.upstream, deque()).append(self._clock.now())

    def try_acquire(self, entry: UpstreamEntry) -> bool:
        """Count a request if the upstream may get one more.

        :returns: Whether it may.
        """
        if not self.allows(entry):
            _log.info(
                "A warming upstream has reached its rate limit.",
                upstream=entry.upstream,
                limit_per_s=self._limit_per_s(entry),
            )
            return False
        self.record(entry)
        return True

    def _service(self, name: ServiceId) -> Service | None:
        table = self._tables.table
        return None if table is None else table.service(name)

    def _remaining_ms(self, entry: UpstreamEntry, service: Service) -> int:
        """Return the remaining warm-up time of an upstream.

        Upstreams of an evacuated failure domain may have become cold unnoticed.
        """
        reported_ms = self._upstreams.warmup_ms(entry.upstream)
        since_evacuation_ms = self._upstreams.since_evacuation_ms(entry.upstream)
        return (
            reported_ms
            if since_evacuation_ms is None
            else max(reported_ms, service.warmup_ms - since_evacuation_ms)
        )

    def _limit_per_s(self, entry: UpstreamEntry) -> int:
        """Return the number of requests a second that this decider may grant for an upstream."""
        service = self._service(entry.service)
        share = self._share()
        rate = 0.0 if service is None else service.warmup_requests_per_s * GRANTED_SHARE * share
        if share >= 1:
            return max(int(rate), 1)
        return int(rate) if rate >= 1 else int(self._hash_fraction(entry.upstream) < rate)

    def _hash_fraction(self, upstream: UpstreamId) -> float:
        """Return a number between 0 and 1 that is derived from the host and the upstream."""
        text = f"{self._host}\n{upstream}".encode()
        digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
        return int.from_bytes(digest, "big") / _DIGEST_RANGE

    def _recent_requests(self, upstream: UpstreamId) -> deque[Millis]:
        sent = self._sent.get(upstream, deque())
        oldest = self._clock.now() - MS_PER_SECOND
        while sent and sent[0] < oldest:
            sent.popleft()
        if not sent:
            self._sent.pop(upstream, None)
        return sent
