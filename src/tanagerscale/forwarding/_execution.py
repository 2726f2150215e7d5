"""The truth about what has run, for one request."""

from __future__ import annotations

from typing import Final
from typing import final

from tanagerscale.core import UpstreamId
from tanagerscale.routes import Route
from tanagerscale.routes import RouteKind

MOST_ARRIVALS: Final = 4
"""Upstreams that one request reaches while none has run it; more would only add arrivals at a
service that is full."""

MOST_UNREACHED: Final = 8
"""Upstreams that can't be reached which one request is offered to. A crashed one refuses within 3
ms and looks empty until its entry goes, so that all requests choose it first."""


@final
class ExecutionRecord:
    """Keeps where a request was sent and whether it may have run there.

    Only an attempt that never left this host, or that its upstream refused before execution, leaves
    a request that has certainly not run.

    :param route: Decides what may be repeated.
    """

    def __init__(self, *, route: Route) -> None:
        self._route = route
        self._tried: set[UpstreamId] = set()
        self._in_flight: set[UpstreamId] = set()
        self._not_sent = 0
        self._ran = 0

    @property
    def tried(self) -> frozenset[UpstreamId]:
        """Upstreams that another attempt should not go to."""
        return frozenset(self._tried)

    @property
    def may_have_run(self) -> bool:
        """Whether a refusal must not say that the request did not run."""
        return self._ran > 0 or bool(self._in_flight)

    @property
    def sent(self) -> int:
        """How many attempts there were."""
        return len(self._tried)

    @property
    def arrived(self) -> int:
        """How many attempts reached an upstream, as far as is known."""
        return len(self._tried) - self._not_sent

    @property
    def may_try_another(self) -> bool:
        """Whether the search for an upstream that runs the request goes on."""
        return (
            self.allows_another()
            and self.arrived < MOST_ARRIVALS
            and self._not_sent < MOST_UNREACHED
        )

    def note_sent(self, upstream: UpstreamId) -> None:
        """Record an attempt that begins, which may run until the contrary is known."""
        self._tried.add(upstream)
        self._in_flight.add(upstream)

    def note_not_sent(self, upstream: UpstreamId) -> None:
        """Record an attempt that reached nobody."""
        self.note_not_run(upstream)
        self._not_sent += 1

    def note_not_run(self, upstream: UpstreamId) -> None:
        """Record an attempt that was refused before execution."""
        self._tried.add(upstream)
        self._in_flight.discard(upstream)

    def note_run(self, upstream: UpstreamId) -> None:
        """Record an attempt that ran or may have run."""
        self._tried.add(upstream)
        self._in_flight.discard(upstream)
        self._ran += 1

    def allows_another(self) -> bool:
        """Return whether the request may be sent to one more upstream."""
        may_have_run = self._ran + len(self._in_flight)
        if may_have_run == 0:
            return True
        return self._route.kind is RouteKind.IDEMPOTENT and may_have_run < self._route.attempts
