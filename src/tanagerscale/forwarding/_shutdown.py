"""Schedule of a host's graceful shutdown, and which requests it still accepts."""

from __future__ import annotations

from typing import Final
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.forwarding._demand import is_long
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.routes import RouteKind

LOAD_BALANCER_DELAY_MS: Final = 2500
"""How long a stopping host keeps accepting connections. The load balancer checks readiness every
second and removes a host after two failed checks."""

TEARDOWN_RESERVE_MS: Final = 700
"""Part of the grace period reserved for aborting what is left and for ending the process."""

FINAL_RESPONSE_RESERVE_MS: Final = 200
"""Time before the teardown in which requests without a response get their final one."""

SHORT_STREAM_MS: Final = 2000
"""Time from the first to the last event of a stream that is not long."""


@final
class ShutdownSchedule:
    """Times of a graceful shutdown, and whether a request can be finished before its end.

    :param clock: Clock for the grace period.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._began: Millis | None = None
        self._ends = Millis(0)

    @property
    def has_begun(self) -> bool:
        """Whether the host is shutting down."""
        return self._began is not None

    @property
    def elapsed_ms(self) -> int:
        """Time since the shutdown began; 0 before it."""
        return 0 if self._began is None else self._clock.now() - self._began

    @property
    def accepts_connections(self) -> bool:
        """Whether the load balancer may still send connections to this host."""
        return self.elapsed_ms < LOAD_BALANCER_DELAY_MS

    @property
    def are_responses_due(self) -> bool:
        """Whether requests without a response must get their final one now."""
        return self.has_begun and self._time_left_ms() <= 0

    @property
    def is_over(self) -> bool:
        """Whether the time for finishing requests is over and the teardown is due."""
        return self.has_begun and self._time_left_ms() <= -FINAL_RESPONSE_RESERVE_MS

    def begin(self, *, grace_s: float, signalled: Millis | None = None) -> None:
        """Record the start of the shutdown.

        :param grace_s: Time from the start until the process is killed, in seconds.
        :param signalled: When the process was told to stop, which is the start; ``None`` for now.
        """
        self._began = self._clock.now() if signalled is None else signalled
        reserve_ms = TEARDOWN_RESERVE_MS + FINAL_RESPONSE_RESERVE_MS
        self._ends = Millis(self._began + int(grace_s * MS_PER_SECOND) - reserve_ms)

    def accepts(self, routed: RoutedRequest) -> bool:
        """Return whether a request that has just arrived is accepted.

        After the load balancer has removed this host, requests come on connections that are about
        to be closed. Their callers need another host anyway, so a request is only accepted if it
        can't outlast the shutdown.
        """
        if self.accepts_connections:
            return self.can_start(routed)
        return routed.deadline - self._clock.now() <= self._time_left_ms()

    def can_start(self, routed: RoutedRequest) -> bool:
        """Return whether a request that has not been sent yet is expected to be finished in time.

        An upstream is expected to meet the target of the request's route. A plain request that
        has missed it by the time at which others are no longer accepted may take until its
        deadline: upstreams have refused it after long, or don't accept connections in time.
        """
        if not self.has_begun:
            return True
        now = self._clock.now()
        limit_ms = routed.deadline - now
        expected_ms = routed.route.target_ms
        if routed.route.kind is RouteKind.STREAMING:
            if is_long(routed):
                return False
            expected_ms += SHORT_STREAM_MS
        elif not self.accepts_connections and now - routed.request.arrived > expected_ms:
            expected_ms = limit_ms
        return min(expected_ms, limit_ms) <= self._time_left_ms()

    def _time_left_ms(self) -> int:
        """Return the time until the final responses are due; negative after that."""
        return self._ends - self._clock.now()
