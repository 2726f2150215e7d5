"""What a replay is run with."""

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
"""Three settings of engine memory and speed."""

CAPACITY = {
    ("trois-rivieres", "standard"): 14.8,
    ("trois-rivieres", "small-memory"): 11.6,
    ("trois-rivieres", "slow"): 12.6,
    ("film-office", "standard"): 8.4,
    ("film-office", "small-memory"): 6.2,
    ("film-office", "slow"): 6.5,
}
"""Requests a second that five engines carry, by user and engine setting, as measured."""


DETECTION_MS = 300.0
"""How long hosts take to notice that an engine's links broke."""

OUTAGE_MS = 10_000.0
"""How long an owner is frozen, or hosts are cut from one another."""


@unique
class Case(Enum):
    """What goes wrong in a replay."""

    NONE = "none"
    ENGINE_LOST = "engine-lost"
    ENGINE_RECLAIMED = "engine-reclaimed"
    LATE_NEWS = "late-news"
    CACHE_GAPS = "cache-gaps"
    OWNER_LOST = "owner-lost"
    OWNER_FROZEN = "owner-frozen"
    HOSTS_CUT = "hosts-cut"


class ReplaySettings(Struct, frozen=True, kw_only=True):
    """The world that a trace is replayed in.

    :param engines: How many engines.
    :param hosts: How many hosts.
    :param model: Speed and memory of each engine.
    :param objective: What the operators weigh.
    :param tuning: Replaces the tuning that follows from the objective.
    :param case: What goes wrong.
    :param fault_at_ms: When it does.
    :param host_delay_ms: One way between hosts.
    :param engine_delay_ms: One way between a host and an engine.
    :param report_period_ms: Time between an engine's load reports.
    :param report_delay_ms: How late they come.
    :param cache_delay_ms: How late cache events come.
    :param cache_loss: Part of the cache events that go missing.
    :param progress_period_ms: Time between a host's words of progress to the owner.
    """

    engines: int = 5
    hosts: int = 9
    model: EngineModel = field(default_factory=EngineModel)
    objective: Objective = field(default_factory=Objective)
    tuning: Tuning | None = None
    case: Case = Case.NONE
    fault_at_ms: float = 150_000.0
    host_delay_ms: float = 1.5
    engine_delay_ms: float = 1.0
    report_period_ms: float = 500.0
    report_delay_ms: float = 1000.0
    cache_delay_ms: float = 500.0
    cache_loss: float = 0.05
    progress_period_ms: float = 500.0
