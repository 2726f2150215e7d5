"""Hypothesis settings: few and reproducible cases in CI, many new ones with ``make fuzz``."""

from __future__ import annotations

import os

from hypothesis import HealthCheck
from hypothesis import settings

FUZZ_FACTOR = int(os.environ.get("FUZZ_FACTOR", "0"))
"""Multiplier of the number of cases; 0 runs the reproducible cases of CI."""


def random_case_settings(*, examples: int, steps: int = 50) -> settings:
    """Return settings without a time limit, so that a slow machine does not cause failures.

    :param examples: Number of cases in CI.
    :param steps: Maximum number of steps of a state machine.
    """
    return settings(
        max_examples=examples * max(FUZZ_FACTOR, 1),
        stateful_step_count=steps,
        derandomize=FUZZ_FACTOR == 0,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
