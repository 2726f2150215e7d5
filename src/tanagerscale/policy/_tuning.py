"""The numbers a forecasting scheduler works with."""

from __future__ import annotations

import math

from msgspec import Struct

from tanagerscale.generated.declarations import Objective

DEFAULT_DEVIATIONS = 1.75
DEVIATIONS_GAIN = 0.6
MOST_DEVIATIONS = 4.0
MEMORY_GAIN = 0.15
LEAST_MEMORY_PART = 0.5
LEAST_WEIGHT = 1e-3
"""Keeps ratios finite when a weight is 0."""


class Tuning(Struct, frozen=True, kw_only=True):
    """Settings of the scheduler, tuned by replay on seeds 1-5.

    :param deviations: Standard deviations of forecast memory kept free.
    :param memory_part: Part of an engine's memory to fill; less of it makes steps faster.
    :param short_tokens: Expected tokens up to which work counts as short.
    :param length_ms_per_token: How much later in the queue each expected token puts a request.
    :param priority_ms: How much later in the queue each step of priority puts a request.
    :param fairness_ms_per_token: How much later each token served above the least served
        waiting account, for its weight, puts an account's requests.
    :param neighbour_tokens: Prompt tokens that one more generation in the batch costs as much as.
    :param prompt_gain: How much more a prompt token to compute counts than one that waits.
    :param fill_tokens: Prompt tokens that a full engine costs as much as, against an empty one.
    :param use_prefixes: Whether cached prefixes count in placement.
    :param shed_after_ms: Forecast time to empty the queue above which newcomers are shed.
    """

    deviations: float = DEFAULT_DEVIATIONS
    memory_part: float = 1.0
    short_tokens: int = 128
    length_ms_per_token: float = 100.0
    priority_ms: float = 5000.0
    fairness_ms_per_token: float = 0.1
    neighbour_tokens: float = 60.0
    prompt_gain: float = 2.0
    fill_tokens: float = 8000.0
    use_prefixes: bool = True
    shed_after_ms: float = 8_000.0


def tuning_for(*, objective: Objective) -> Tuning:
    """Return the settings for what the operators weigh.

    :param objective: The declared weights; only their ratios count.
    """
    stall = max(objective.stall_weight, LEAST_WEIGHT)
    preemptions = max(objective.preemption_weight, LEAST_WEIGHT) / stall
    tail = max(objective.tail_weight, LEAST_WEIGHT) / stall
    deviations = DEFAULT_DEVIATIONS + DEVIATIONS_GAIN * math.log(preemptions)
    memory_part = 1.0 - MEMORY_GAIN * max(math.log(tail), 0.0)
    return Tuning(
        deviations=min(max(deviations, 0.0), MOST_DEVIATIONS),
        memory_part=max(memory_part, LEAST_MEMORY_PART),
    )
