"""Settings of the forecasting scheduler."""

from __future__ import annotations

import math

from msgspec import Struct

from tanagerscale.generated.declarations import Objective

DEFAULT_DEVIATIONS = 1.75
DEVIATIONS_GAIN = 0.6
MAX_DEVIATIONS = 4.0
MEMORY_GAIN = 0.15
MIN_MEMORY_PART = 0.5
MIN_WEIGHT = 1e-3
"""Lower bound of a weight, which keeps the ratios of weights finite when one is 0."""


class Tuning(Struct, frozen=True, kw_only=True):
    """Settings of the forecasting scheduler.

    :param deviations: Standard deviations of forecast memory kept free.
    :param memory_part: Fraction of an engine's memory to fill; a smaller one makes decoding steps
        faster.
    :param short_tokens: Expected tokens up to which work counts as short.
    :param length_ms_per_token: Delay in the queue for each expected token.
    :param priority_ms: Delay in the queue for each step of priority.
    :param fairness_ms_per_token: Delay in the queue of an account's requests for each token it was
        served more than the least served waiting account, relative to its weight.
    :param neighbour_tokens: Cost of each generation already in the batch, in prompt tokens.
    :param prompt_gain: Cost of a prompt token to compute, relative to one already waiting for
        prefill.
    :param fill_tokens: Extra cost of a full engine over an empty one, in prompt tokens.
    :param use_prefixes: Whether cached prefixes count in placement.
    :param shed_after_ms: Forecast time to empty the queue above which new requests are shed.
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
    """Return the settings for the declared objective.

    :param objective: Declared weights; only their ratios matter.
    """
    stall_weight = max(objective.stall_weight, MIN_WEIGHT)
    preemption_ratio = max(objective.preemption_weight, MIN_WEIGHT) / stall_weight
    tail_ratio = max(objective.tail_weight, MIN_WEIGHT) / stall_weight
    deviations = DEFAULT_DEVIATIONS + DEVIATIONS_GAIN * math.log(preemption_ratio)
    memory_part = 1.0 - MEMORY_GAIN * max(math.log(tail_ratio), 0.0)
    return Tuning(
        deviations=min(max(deviations, 0.0), MAX_DEVIATIONS),
        memory_part=max(memory_part, MIN_MEMORY_PART),
    )
