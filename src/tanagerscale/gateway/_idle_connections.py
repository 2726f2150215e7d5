"""Closes connections that are idle, or on which a head does not arrive in time."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import find_unread
from tanagerscale.gateway._connections import CallerProtocol

MAX_CHECK_DELAY_RATIO: Final = 2
"""Multiple of the interval of checks for idle connections that one check counts at most."""

EVICTED_FRACTION: Final = 32
"""Fraction of all connections, as a divisor, that is closed at a time for new ones."""


@final
class IdleConnections:
    """Closes connections that are idle, or on which a head does not arrive in time.

    Nothing is closed on which input waits to be read, and times for which the event loop stood
    still do not count.

    :param clock: Clock that measures idle times.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._checked: Millis | None = None

    def close(
        self,
        connections: Sequence[CallerProtocol],
        *,
        idle_timeout_ms: int,
        header_timeout_ms: int,
        interval_ms: int,
    ) -> None:
        """Close what is overdue.

        A connection on which a request is arriving is closed after its response. It is closed
        without one only if the request does not arrive in time.

        :param connections: All connections.
        :param idle_timeout_ms: Longest idle time.
        :param header_timeout_ms: Longest time for a head to arrive.
        :param interval_ms: Interval of the checks in milliseconds.
        """
        self._add_idle_time(connections, interval_ms)
        idle: list[CallerProtocol] = []
        late: list[CallerProtocol] = []
        for protocol in connections:
            use = protocol.use
            if use.is_handling:
                continue
            if use.head_ms > header_timeout_ms:
                late.append(protocol)
            elif use.idle_ms > idle_timeout_ms:
                if use.has_unhandled_data and use.idle_ms <= header_timeout_ms:
                    use.must_close = True
                else:
                    idle.append(protocol)
        for protocol in _without_input(idle):
            protocol.force_close()
        for protocol in _without_input(late):
            protocol.end_late_head()

    def _add_idle_time(self, connections: Sequence[CallerProtocol], interval_ms: int) -> None:
        now = self._clock.now()
        since_check = 0 if self._checked is None else now - self._checked
        self._checked = now
        limit_ms = min(since_check, interval_ms * MAX_CHECK_DELAY_RATIO)
        for protocol in connections:
            protocol.use.add_idle_time(now=now, limit_ms=limit_ms)


def _without_input(protocols: Sequence[CallerProtocol]) -> list[CallerProtocol]:
    """Return those connections on which no input waits to be read."""
    unread = find_unread(one.transport for one in protocols if one.transport is not None)
    return [one for one in protocols if one.transport not in unread]


def close_unserved(connections: Sequence[CallerProtocol]) -> int:
    """Close the oldest connections without a request; return how many.

    Several are closed at a time, so that not each new connection has all others looked at.

    :param connections: The connections of which one is too many.
    """
    unserved = [one for one in connections if one.is_unserved and not one.is_evicted]
    unserved.sort(key=lambda one: one.use.opened)
    closed = unserved[: max(1, len(connections) // EVICTED_FRACTION)]
    for one in closed:
        one.end_at_once()
    return len(closed)


def close_idle_one(connections: Sequence[CallerProtocol]) -> int:
    """Close the connection that has been idle for longest; return how many were closed.

    :param connections: The connections of which one is too many.
    """
    idle = [one for one in connections if one.is_idle and not one.is_evicted]
    if not idle:
        return 0
    min(idle, key=lambda one: one.use.last_active).end_at_once()
    return 1
