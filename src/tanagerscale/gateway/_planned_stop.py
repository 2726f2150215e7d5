"""The part of a planned stop in which callers get the answers they wait for."""

from __future__ import annotations

from typing import Final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.gateway._caller_server import CallerServer

ROTATION_MS: Final = 2500
"""How long a stopping host goes on taking connections: the load balancer asks each second and
takes a host out after two misses."""

LAST_MS: Final = 700
"""Kept of the grace time for ending what is left and the process itself."""

CROSSING_MS: Final = 150
"""A connection idle for so long has no request on its way: that takes a few milliseconds."""

STOP_LOOK_MS: Final = 20
"""How often a stopping host looks whether anything is left."""


async def finish_requests(*, server: CallerServer, grace_s: float, clock: Clock) -> int:
    """Go on until nothing is left to answer, or the time is over.

    :param server: Ends each connection after its answer by now.
    :param grace_s: Time from the beginning of the stop until the process is killed.
    :param clock: Time.
    :returns: How long it took, in milliseconds.
    """
    began = clock.now()
    until = began + int(grace_s * MS_PER_SECOND) - LAST_MS
    await clock.sleep(ROTATION_MS)
    await server.stop_listening()
    while not server.end_idle(idle_ms=CROSSING_MS) and clock.now() < until:
        await clock.sleep(STOP_LOOK_MS)
    return clock.now() - began
