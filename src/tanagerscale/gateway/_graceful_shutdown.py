"""Phase of a graceful shutdown in which running requests are finished."""

from __future__ import annotations

from typing import Final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.gateway._caller_server import CallerServer

LOAD_BALANCER_DELAY_MS: Final = 2500
"""How long a stopping host keeps accepting connections. The load balancer checks readiness every
second and removes a host after two failed checks."""

TEARDOWN_RESERVE_MS: Final = 700
"""Part of the grace period reserved for aborting what is left and for ending the process."""

MIN_IDLE_MS: Final = 150
"""A connection idle for at least this long has no request in transit, which takes a few
milliseconds."""

DRAIN_POLL_INTERVAL_MS: Final = 20
"""How often a stopping host checks whether connections are left."""


async def drain_requests(*, server: CallerServer, grace_s: float, clock: Clock) -> int:
    """Wait until all requests are finished or the grace period is over.

    :param server: Server that already closes each connection after its response.
    :param grace_s: Time from the start of the shutdown until the process is killed.
    :param clock: Clock for the grace period.
    :returns: How long it took, in milliseconds.
    """
    started = clock.now()
    deadline = started + int(grace_s * MS_PER_SECOND) - TEARDOWN_RESERVE_MS
    await clock.sleep(LOAD_BALANCER_DELAY_MS)
    await server.stop_listening()
    while not server.drain(idle_ms=MIN_IDLE_MS) and clock.now() < deadline:
        await clock.sleep(DRAIN_POLL_INTERVAL_MS)
    return clock.now() - started
