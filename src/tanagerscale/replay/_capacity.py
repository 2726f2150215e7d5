"""How many requests of a user's mix the engines carry."""

from __future__ import annotations

from random import Random

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.replay._layouts import POLICIES
from tanagerscale.replay._settings import ENGINE_MODELS
from tanagerscale.replay._settings import ReplaySettings
from tanagerscale.replay._trace import make_trace
from tanagerscale.replay._world import World

SATURATING_RATE = 40.0
WARM_UP_S = 60
WATCHED_S = 180


def measure_capacity(*, user: str, setting: str, seed: int) -> float:
    """Return the requests a second that five engines finish when there always is work.

    The clairvoyant keeps engines full without preemption and takes requests in order of
    arrival, so that what it finishes has the mix that callers ask for.

    :param user: A key of ``USERS``.
    :param setting: A key of ``ENGINE_MODELS``.
    :param seed: Seed of the trace.
    """
    until = WARM_UP_S + WATCHED_S
    trace = make_trace(user=user, rate=SATURATING_RATE, seed=seed, duration_s=until)
    settings = ReplaySettings(model=ENGINE_MODELS[setting])
    world = World(trace=trace, settings=settings, seed=seed)
    world.at(float(until * MS_PER_SECOND), world.stop)
    world.run(layout=POLICIES["in-order"](world, Random(seed)))
    finished = [
        job
        for job in world.jobs
        if job.complete and WARM_UP_S * MS_PER_SECOND <= job.ended_at < until * MS_PER_SECOND
    ]
    return len(finished) / WATCHED_S
