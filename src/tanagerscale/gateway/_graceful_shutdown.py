"""Phase of a graceful shutdown in which running requests are finished."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import Protocol

from tanagerscale.forwarding import ShutdownSchedule

MIN_IDLE_MS: Final = 150
"""A connection idle for at least this long has no request in transit, which takes a few
milliseconds."""

DRAIN_POLL_INTERVAL_MS: Final = 20
"""How often a stopping host checks whether connections are left."""

MAX_FINAL_CHECKS: Final = 10
"""Number of checks at the end for requests without a response. It is no time, since all timers are
due after an event loop has stood still."""


class DrainingServer(Protocol):
    """Server that closes each connection after its response."""

    async def stop_listening(self) -> None:
        """Stop accepting connections."""

    def drain(self, *, idle_ms: int) -> bool:
        """Close connections that have been idle for a time; return whether none is left."""

    def has_unanswered(self) -> bool:
        """Return whether a request has arrived whose response has not begun."""


async def drain_requests(
    *,
    servers: Sequence[DrainingServer],
    schedule: ShutdownSchedule,
    end_unfinishable: Callable[[], None],
    sleep: Callable[[int], Awaitable[None]],
) -> None:
    """Wait until all requests are finished or the time for that is over.

    :param servers: Servers that callers, and other hosts for theirs, have sent the requests to.
    :param schedule: Schedule of the shutdown, which has begun.
    :param end_unfinishable: Ends each request without a response that the shutdown leaves no time
        for, so that it gets a final one.
    :param sleep: Suspends the task for a number of milliseconds.
    """
    while schedule.accepts_connections and not schedule.are_responses_due:
        end_unfinishable()
        await sleep(DRAIN_POLL_INTERVAL_MS)
    for server in servers:
        await server.stop_listening()
    while not _are_drained(servers) and not schedule.is_over:
        end_unfinishable()
        await sleep(DRAIN_POLL_INTERVAL_MS)
    # A late event loop or a short grace period skips the time reserved for final responses.
    for _ in range(MAX_FINAL_CHECKS):
        end_unfinishable()
        await sleep(DRAIN_POLL_INTERVAL_MS)
        if not any(server.has_unanswered() for server in servers):
            break


def _are_drained(servers: Sequence[DrainingServer]) -> bool:
    """Close idle connections of all servers; return whether none is left."""
    drained = [server.drain(idle_ms=MIN_IDLE_MS) for server in servers]
    return all(drained)
