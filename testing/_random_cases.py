"""Random cases: few and the same ones in CI, many new ones by ``make fuzz``."""

from __future__ import annotations

import os

from hypothesis import HealthCheck
from hypothesis import settings

FUZZ_FACTOR = int(os.environ.get("FUZZ_FACTOR", "0"))
"""How many times as many cases to try; 0 means those of CI."""


def cases(*, examples: int, steps: int = 50) -> settings:
    """Return settings without any limit of time, so that a slow machine changes no verdict.

    :param examples: Cases in CI.
    :param steps: Most steps of a state machine.
    """
    return settings(
        max_examples=examples * max(FUZZ_FACTOR, 1),
        stateful_step_count=steps,
        derandomize=FUZZ_FACTOR == 0,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
