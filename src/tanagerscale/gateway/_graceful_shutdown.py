"""Phase of a graceful shutdown in which running requests are finished."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Final
from typing import Protocol

from tanagerscale.forwarding import ShutdownSchedule

MIN_IDLE_MS: Final = 150
"""A connection idle for at least this long has no request in transit, which takes a few
milliseconds."""

DRAIN_POLL_INTERVAL_MS: Final = 20
"""How often a stopping host checks whether connections are left."""


class DrainingServer(Protocol):
    """Server that closes each connection after its response."""

    async def stop_listening(self) -> None:
        """Stop accepting connections."""

    def drain(self, *, idle_ms: int) -> bool:
        """Close connections that have been idle for a time; return whether none is left."""


async def drain_requests(
    *,
    server: DrainingServer,
    schedule: ShutdownSchedule,
    end_unfinishable: Callable[[], None],
    sleep: Callable[[int], Awaitable[None]],
) -> None:
    """Wait until all requests are finished or the time for that is over.

    :param server: Server of the callers' connections.
    :param schedule: Schedule of the shutdown, which has begun.
    :param end_unfinishable: Ends each request without a response that the shutdown leaves no time
        for, so that it gets a final one.
    :param sleep: Suspends the task for a number of milliseconds.
    """
    while schedule.accepts_connections and not schedule.are_responses_due:
        end_unfinishable()
        await sleep(DRAIN_POLL_INTERVAL_MS)
    await server.stop_listening()
    while not server.drain(idle_ms=MIN_IDLE_MS) and not schedule.is_over:
        end_unfinishable()
        await sleep(DRAIN_POLL_INTERVAL_MS)
    # A late event loop or a short grace period skips the time reserved for final responses.
    end_unfinishable()
    await sleep(DRAIN_POLL_INTERVAL_MS)
