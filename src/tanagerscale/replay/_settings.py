"""Settings of replays: engine models, capacities, faults and delays."""

from __future__ import annotations

from enum import Enum
from enum import unique

from msgspec import Struct
from msgspec import field

from tanagerscale.generated.declarations import Objective
from tanagerscale.policy import Tuning
from tanagerscale.replay._engine import EngineModel

ENGINE_MODELS = {
    "standard": EngineModel(),
    "small-memory": EngineModel(memory_tokens=36_000),
    "slow": EngineModel(
        base_ms=24.0, sequence_ms=0.4, context_ms=0.0003, prefill_ms=0.1, memory_tokens=90_000
    ),
}
"""Engine models of the three settings of speed and memory, by setting name."""

CAPACITY_PER_S = {
    ("trois-rivieres", "standard"): 14.8,
    ("trois-rivieres", "small-memory"): 11.6,
    ("trois-rivieres", "slow"): 12.6,
    ("film-office", "standard"): 8.4,
    ("film-office", "small-memory"): 6.2,
    ("film-office", "slow"): 6.5,
}
"""Requests per second that five engines sustain, by user and engine setting.

The values come from ``measure_capacity_per_s``.
"""


FAULT_DETECTION_MS = 300.0
"""Time that hosts take to detect that the connections to an engine are broken."""

OUTAGE_DURATION_MS = 10_000.0
"""Duration of an owner freeze or of a network partition between hosts."""


@unique
class FaultCase(Enum):
    """Fault that is injected into a replay."""

    NONE = "none"
    ENGINE_LOST = "engine-lost"
    ENGINE_RECLAIMED = "engine-reclaimed"
    LATE_REPORTS = "late-news"
    CACHE_GAPS = "cache-gaps"
    OWNER_LOST = "owner-lost"
    OWNER_FROZEN = "owner-frozen"
    HOSTS_CUT = "hosts-cut"


class ReplaySettings(Struct, frozen=True, kw_only=True):
    """Settings of a simulation.

    :param engines: Number of engines.
    :param hosts: Number of hosts.
    :param model: Speed and memory of each engine.
    :param objective: Objective that the operators declare.
    :param tuning: Tuning of the forecast schedulers; ``None`` to derive it from the objective.
    :param case: Fault to inject.
    :param fault_at_ms: Simulated time at which the fault begins, in milliseconds.
    :param host_delay_ms: One-way network delay between hosts.
    :param engine_delay_ms: One-way network delay between a host and an engine.
    :param report_period_ms: Interval between the load reports of an engine.
    :param report_delay_ms: Delay of load reports.
    :param cache_delay_ms: Delay of cache events.
    :param cache_loss_ratio: Fraction of the cache events that is lost.
    :param progress_period_ms: Interval between the progress reports of a host to the owner.
    """

    engines: int = 5
    hosts: int = 9
    model: EngineModel = field(default_factory=EngineModel)
    objective: Objective = field(default_factory=Objective)
    tuning: Tuning | None = None
    case: FaultCase = FaultCase.NONE
    fault_at_ms: float = 150_000.0
    host_delay_ms: float = 1.5
    engine_delay_ms: float = 1.0
    report_period_ms: float = 500.0
    report_delay_ms: float = 1000.0
    cache_delay_ms: float = 500.0
    cache_loss_ratio: float = 0.05
    progress_period_ms: float = 500.0
