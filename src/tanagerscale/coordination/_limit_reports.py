"""Distribution of the rate limits that upstreams name, through the coordinators.

Only the hosts that an upstream responds to learn of its limit, but it limits the requests of all. A
host reports what it learns to the coordinators, since one of them decides for all hosts. The first
coordinator informs the other hosts when a limit begins or ends, so that these ask before they send
anything. A host that isn't informed learns of the limit with the first response that it gets.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.coordination._directory import Directory
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import UpstreamLimit
from tanagerscale.membership import Message
from tanagerscale.upstreams import NamedLimits
from tanagerscale.upstreams import RateObservation

REPORT_REFRESH_MS: Final = 1000
"""Interval at which a host reports a limit again while responses name it, in case a coordinator has
missed it."""

MIN_INTERVAL_MS: Final = 100
"""Shortest interval between two messages about one upstream, whose limit may change with each
response."""


@final
class LimitReports:
    """Reports limits to the coordinators, and informs all hosts if this host is the first of them.

    :param directory: Which hosts are coordinators.
    :param named: The limits known to this host.
    :param send: Sends a message to a host; returns whether it can be reached.
    :param broadcast: Sends a message to each connected host.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        directory: Directory,
        named: NamedLimits,
        send: Callable[[HostId, Message], bool],
        broadcast: Callable[[Message], None],
        clock: Clock,
    ) -> None:
        self._directory = directory
        self._named = named
        self._send = send
        self._broadcast = broadcast
        self._clock = clock
        self._reported: dict[UpstreamId, tuple[float | None, Millis]] = {}
        """Limit in the last report, and when it was sent."""
        self._limited: set[UpstreamId] = set()
        """Upstreams with a limit when ``on_change`` was last called for them."""
        self._reports = _Throttle(act=self._report)
        self._announcements = _Throttle(act=self._announce)

    def on_heard(self, upstream: UpstreamId) -> None:
        """Report what a response to this host has said of a limit, unless that is known."""
        reported_per_s, reported_at = self._reported.get(upstream, (None, Millis(0)))
        passed_ms = self._clock.now() - reported_at
        if self._named.rate_per_s(upstream) == reported_per_s and passed_ms < REPORT_REFRESH_MS:
            return
        self._reports.request(upstream)

    def on_message(self, message: UpstreamLimit) -> None:
        """Handle what another host says of a limit."""
        now = self._clock.now()
        self._named.record(
            RateObservation(
                upstream=UpstreamId(message.upstream),
                rate_per_s=message.per_s or None,
                sent_at=Millis(now - max(message.sent_ms_ago, 0)),
                received_at=Millis(now - max(message.received_ms_ago, 0)),
            )
        )

    def on_change(self, upstream: UpstreamId) -> None:
        """Inform all hosts when a limit has begun or ended, if this host is the first."""
        is_limited = self._named.rate_per_s(upstream) is not None
        if is_limited is (upstream in self._limited):
            return
        self._limited ^= {upstream}
        if not is_limited:
            self._reported.pop(upstream, None)
        if self._directory.is_first:
            self._announcements.request(upstream)

    def report_all(self) -> None:
        """Report all limits again after a change of the coordinators."""
        for upstream in self._named.limited:
            self._reports.request(upstream)

    def messages(self) -> list[UpstreamLimit]:
        """Return the limits to send to a newly connected host."""
        return [self._build_message(upstream) for upstream in self._named.limited]

    def _report(self, upstream: UpstreamId) -> None:
        if upstream in self._limited:
            self._reported[upstream] = self._named.rate_per_s(upstream), self._clock.now()
        message = self._build_message(upstream)
        for host in self._directory.coordinators:
            self._send(host, message)

    def _announce(self, upstream: UpstreamId) -> None:
        self._broadcast(self._build_message(upstream))

    def _build_message(self, upstream: UpstreamId) -> UpstreamLimit:
        now = self._clock.now()
        observation = self._named.observation(upstream)
        return UpstreamLimit(
            upstream=upstream,
            per_s=observation.rate_per_s or 0.0,
            sent_ms_ago=now - observation.sent_at,
            received_ms_ago=now - observation.received_at,
        )


@final
class _Throttle:
    """Acts at once, but for each upstream at most once in ``MIN_INTERVAL_MS``.

    :param act: The action.
    """

    def __init__(self, *, act: Callable[[UpstreamId], None]) -> None:
        self._act = act
        self._timers: dict[UpstreamId, asyncio.TimerHandle] = {}
        self._requested: set[UpstreamId] = set()

    def request(self, upstream: UpstreamId) -> None:
        """Act now, or once at the end of the interval."""
        if upstream in self._timers:
            self._requested.add(upstream)
            return
        self._act(upstream)
        self._timers[upstream] = asyncio.get_running_loop().call_later(
            MIN_INTERVAL_MS / MS_PER_SECOND, self._end_interval, upstream
        )

    def _end_interval(self, upstream: UpstreamId) -> None:
        del self._timers[upstream]
        if upstream in self._requested:
            self._requested.discard(upstream)
            self.request(upstream)
