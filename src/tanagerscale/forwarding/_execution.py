"""Tracks where one request has been sent and whether it may have been executed."""

from __future__ import annotations

from typing import Final
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._request_state import UpstreamEnd
from tanagerscale.forwarding._request_state import UpstreamPart
from tanagerscale.routes import Route
from tanagerscale.routes import RouteKind

MAX_REACHED_UPSTREAMS: Final = 4
"""Maximum number of upstreams that one request reaches without being executed. More attempts would
only add load to a service that is full."""

MAX_UNREACHABLE_UPSTREAMS: Final = 8
"""Maximum number of unreachable upstreams that one request is sent to. A crashed upstream refuses
connections within 3 ms and appears to be idle until its entry is removed, so all requests choose it
first."""


@final
class ExecutionRecord:
    """Records the attempts of one request and whether any of them may have executed it.

    A request has certainly not been executed only if each attempt either never left this host or
    was refused by its upstream before execution.

    :param route: Determines whether and how often the request may be executed again.
    """

    def __init__(self, *, route: Route) -> None:
        self._route = route
        self._tried: set[UpstreamId] = set()
        self._in_flight: set[UpstreamId] = set()
        self._not_sent = 0
        self._executed = 0
        self.part: Final = UpstreamPart()
        """The part of the upstream that had the request last."""

    @property
    def tried(self) -> frozenset[UpstreamId]:
        """Upstreams to exclude from the next attempt."""
        return frozenset(self._tried)

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have been executed, so that a refusal must not deny it."""
        return self._executed > 0 or bool(self._in_flight)

    @property
    def has_reached_none(self) -> bool:
        """Whether upstreams were tried, and none of them was reached."""
        return bool(self._tried) and not self.reached and not self.may_have_run

    @property
    def is_in_flight(self) -> bool:
        """Whether the result of an attempt is not known yet."""
        return bool(self._in_flight)

    @property
    def sent(self) -> int:
        """Number of attempts."""
        return len(self._tried)

    @property
    def reached(self) -> int:
        """Number of attempts that reached an upstream, as far as is known."""
        return len(self._tried) - self._not_sent

    @property
    def has_attempts_left(self) -> bool:
        """Whether another upstream may be tried within the limits on attempts."""
        return (
            self.is_retry_allowed()
            and self.reached < MAX_REACHED_UPSTREAMS
            and self._not_sent < MAX_UNREACHABLE_UPSTREAMS
        )

    def record_sent(self, upstream: UpstreamId) -> None:
        """Record the start of an attempt; it may have executed until its result is known."""
        self._tried.add(upstream)
        self._in_flight.add(upstream)
        self.part.upstream, self.part.end = upstream, UpstreamEnd.AT_WORK

    def record_not_sent(self, upstream: UpstreamId) -> None:
        """Record an attempt that did not reach an upstream."""
        self.record_not_run(upstream)
        self._not_sent += 1

    def record_withheld(self, upstream: UpstreamId) -> None:
        """Record that an attempt was not made, since its upstream began to leave."""
        self._tried.discard(upstream)
        self._end(upstream, UpstreamEnd.REFUSED)

    def record_not_run(self, upstream: UpstreamId) -> None:
        """Record an attempt that was refused before execution."""
        self._tried.add(upstream)
        self._end(upstream, UpstreamEnd.REFUSED)

    def record_run(self, upstream: UpstreamId, *, is_whole: bool = False) -> None:
        """Record an attempt that executed the request or may have done so.

        :param upstream: The upstream.
        :param is_whole: Whether its whole answer has been read.
        """
        self._tried.add(upstream)
        self._end(upstream, UpstreamEnd.WHOLE if is_whole else UpstreamEnd.BROKEN_OFF)
        self._executed += 1

    def _end(self, upstream: UpstreamId, end: UpstreamEnd) -> None:
        self._in_flight.discard(upstream)
        if self.part.upstream == upstream or not self._in_flight:
            self.part.upstream, self.part.end = upstream, end

    def is_retry_allowed(self) -> bool:
        """Return whether the route allows one more attempt after those that may have executed."""
        may_have_run = self._executed + len(self._in_flight)
        if may_have_run == 0:
            return True
        return self._route.kind is RouteKind.IDEMPOTENT and may_have_run < self._route.attempts
