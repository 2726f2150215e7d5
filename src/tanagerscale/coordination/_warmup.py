"""Requests to upstreams that warm up, limited over all hosts together.

The load it answers: the upstreams of a failure domain come back together, empty, so that all hosts
find them the least loaded; but each bears only some requests a second until it is warm, and crashes
when it gets many more.
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

GIVEN_SHARE: Final = 0.7
"""Part of what an upstream bears that is given out. When another host becomes the decider, both may
give so much within one second."""

_DIGEST_BYTES: Final = 8
_MOST: Final = 2 ** (8 * _DIGEST_BYTES)

_log = get_logger(part="warmup")


class WarmupTables(Protocol):
    """The declarations in force."""

    @property
    def table(self) -> RouteTable | None:
        """What is in force now, or ``None`` before anything is known."""


class WarmupUpstreams(Protocol):
    """The upstreams there are."""

    def cold_ms(self, upstream: UpstreamId) -> int:
        """Return how much longer an upstream is cold by its own word."""

    def taken_back_ms(self, upstream: UpstreamId) -> int | None:
        """Return how long ago its failure domain's evacuation ended; ``None`` for long ago."""


@final
class WarmupLimit:
    """Counts the requests that each upstream gets while it warms up.

    A decider gives out what an upstream bears, by the part of all hosts that let it decide. Where
    that is less than one request a second, as for hosts that are cut off from all others, only some
    hosts may send one a second, drawn by a hash.

    :param host: This host.
    :param tables: The declarations in force.
    :param upstreams: The upstreams there are.
    :param share: Returns how many of all hosts let this one decide, between 0 and 1.
    :param clock: Time.
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
        """When requests were given in the last second."""

    def is_warming(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream bears only a limited rate now."""
        service = self._service(entry.service)
        return service is not None and service.cold_per_s > 0 and self._left_ms(entry, service) > 0

    def allows(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream may get one more request now."""
        if not self.is_warming(entry):
            return True
        return len(self._recent(entry.upstream)) < self._limit(entry)

    def note(self, entry: UpstreamEntry) -> None:
        """Count a request that is given to an upstream."""
        if self.is_warming(entry):
            self._sent.setdefault(entry.upstream, deque()).append(self._clock.now())

    def take(self, entry: UpstreamEntry) -> bool:
        """Count a request if an upstream may get one more.

        :returns: Whether it may.
        """
        if not self.allows(entry):
            _log.info(
                "An upstream that warms up gets no more now.",
                upstream=entry.upstream,
                limit_per_s=self._limit(entry),
            )
            return False
        self.note(entry)
        return True

    def _service(self, name: ServiceId) -> Service | None:
        table = self._tables.table
        return None if table is None else table.service(name)

    def _left_ms(self, entry: UpstreamEntry, service: Service) -> int:
        """Return how much longer an upstream is cold.

        Those of an evacuated failure domain may have grown cold unnoticed.
        """
        told_ms = self._upstreams.cold_ms(entry.upstream)
        back_ms = self._upstreams.taken_back_ms(entry.upstream)
        return told_ms if back_ms is None else max(told_ms, service.cold_ms - back_ms)

    def _limit(self, entry: UpstreamEntry) -> int:
        """Return how many requests an upstream may get from this decider in a second."""
        service = self._service(entry.service)
        share = self._share()
        given = 0.0 if service is None else service.cold_per_s * GIVEN_SHARE * share
        if share >= 1:
            return max(int(given), 1)
        return int(given) if given >= 1 else int(self._draw(entry.upstream) < given)

    def _draw(self, upstream: UpstreamId) -> float:
        """Return a number between 0 and 1, another one for each host and upstream."""
        text = f"{self._host}\n{upstream}".encode()
        digest = hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
        return int.from_bytes(digest, "big") / _MOST

    def _recent(self, upstream: UpstreamId) -> deque[Millis]:
        sent = self._sent.get(upstream, deque())
        oldest = self._clock.now() - MS_PER_SECOND
        while sent and sent[0] < oldest:
            sent.popleft()
        if not sent:
            self._sent.pop(upstream, None)
        return sent
