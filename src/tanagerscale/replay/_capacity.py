"""Measures the request rate that the engines sustain for a user's workload mix."""

from __future__ import annotations

from random import Random

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.replay._layouts import POLICIES
from tanagerscale.replay._settings import ENGINE_MODELS
from tanagerscale.replay._settings import ReplaySettings
from tanagerscale.replay._trace import generate_trace
from tanagerscale.replay._world import Simulation

SATURATING_RATE_PER_S = 40.0
WARM_UP_S = 60
MEASUREMENT_S = 180


def measure_capacity_per_s(*, user: str, setting: str, seed: int) -> float:
    """Return the requests per second that five engines complete under saturation.

    The clairvoyant scheduler keeps the engines full without preemption and admits requests in
    order of arrival, so that the completed requests have the same mix as the submitted ones.

    :param user: A key of ``USER_PROFILES``.
    :param setting: A key of ``ENGINE_MODELS``.
    :param seed: Seed of the trace and of the simulation.
    """
    end_s = WARM_UP_S + MEASUREMENT_S
    trace = generate_trace(user=user, rate=SATURATING_RATE_PER_S, seed=seed, duration_s=end_s)
    settings = ReplaySettings(model=ENGINE_MODELS[setting])
    simulation = Simulation(trace=trace, settings=settings, seed=seed)
    simulation.schedule_at(float(end_s * MS_PER_SECOND), simulation.stop)
    simulation.run(topology=POLICIES["in-order"](simulation, Random(seed)))
    completed = [
        job
        for job in simulation.jobs
        if job.complete and WARM_UP_S * MS_PER_SECOND <= job.ended_at < end_s * MS_PER_SECOND
    ]
    return len(completed) / MEASUREMENT_S
