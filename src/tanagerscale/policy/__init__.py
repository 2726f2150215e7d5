"""Scheduling, placement, rate-limiting and outlier-ejection policies, without I/O."""

from __future__ import annotations

from tanagerscale.policy._copying import MIN_NOTICE_MS
from tanagerscale.policy._copying import copy_sort_key
from tanagerscale.policy._copying import estimate_copy_ms
from tanagerscale.policy._copying import evacuable_tokens
from tanagerscale.policy._forecast import ForecastScheduler
from tanagerscale.policy._forecast import make_scheduler
from tanagerscale.policy._host_budget import LIMITED_READ_BUFFER_BYTES
from tanagerscale.policy._host_budget import UNREAD_STREAM_BYTES
from tanagerscale.policy._host_budget import HostBudget
from tanagerscale.policy._host_budget import HostUse
from tanagerscale.policy._host_budget import make_host_budget
from tanagerscale.policy._lengths import LengthCurve
from tanagerscale.policy._lengths import LengthEstimator
from tanagerscale.policy._limits import AccountLimits
from tanagerscale.policy._limits import AccountUsage
from tanagerscale.policy._limits import Limit
from tanagerscale.policy._limits import LimitRefusal
from tanagerscale.policy._moves import MovableRun
from tanagerscale.policy._moves import Move
from tanagerscale.policy._moves import MoveSnapshot
from tanagerscale.policy._moves import copies_to_evict
from tanagerscale.policy._moves import next_move
from tanagerscale.policy._moves import reason_not_moved
from tanagerscale.policy._outliers import Tally
from tanagerscale.policy._outliers import is_outlier
from tanagerscale.policy._outliers import select_ejections
from tanagerscale.policy._placement import MAX_COPY_MEMORY_RATIO
from tanagerscale.policy._placement import MAX_SPARE_COPY_MEMORY_RATIO
from tanagerscale.policy._placement import EngineView
from tanagerscale.policy._placement import PlacementDecision
from tanagerscale.policy._placement import PlacementQuery
from tanagerscale.policy._placement import PlacementVerdict
from tanagerscale.policy._placement import has_capacity
from tanagerscale.policy._placement import has_capacity_for_copy
from tanagerscale.policy._placement import has_capacity_without_eviction
from tanagerscale.policy._placement import is_imbalanced
from tanagerscale.policy._placement import place
from tanagerscale.policy._placement import select_engine
from tanagerscale.policy._placement import tokens_to_evict
from tanagerscale.policy._retries import RetryBudget
from tanagerscale.policy._simple import ImmediateScheduler
from tanagerscale.policy._simple import LeastOutstanding
from tanagerscale.policy._tuning import Tuning
from tanagerscale.policy._tuning import tuning_for
from tanagerscale.policy._types import AccountSpec
from tanagerscale.policy._types import Decision
from tanagerscale.policy._types import DecisionKind
from tanagerscale.policy._types import EngineLoad
from tanagerscale.policy._types import EngineSpec
from tanagerscale.policy._types import PlacementRequest
from tanagerscale.policy._types import Scheduler

__all__ = [
    "LIMITED_READ_BUFFER_BYTES",
    "MAX_COPY_MEMORY_RATIO",
    "MAX_SPARE_COPY_MEMORY_RATIO",
    "MIN_NOTICE_MS",
    "UNREAD_STREAM_BYTES",
    "AccountLimits",
    "AccountSpec",
    "AccountUsage",
    "Decision",
    "DecisionKind",
    "EngineLoad",
    "EngineSpec",
    "EngineView",
    "ForecastScheduler",
    "HostBudget",
    "HostUse",
    "ImmediateScheduler",
    "LeastOutstanding",
    "LengthCurve",
    "LengthEstimator",
    "Limit",
    "LimitRefusal",
    "MovableRun",
    "Move",
    "MoveSnapshot",
    "PlacementDecision",
    "PlacementQuery",
    "PlacementRequest",
    "PlacementVerdict",
    "RetryBudget",
    "Scheduler",
    "Tally",
    "Tuning",
    "copies_to_evict",
    "copy_sort_key",
    "estimate_copy_ms",
    "evacuable_tokens",
    "has_capacity",
    "has_capacity_for_copy",
    "has_capacity_without_eviction",
    "is_imbalanced",
    "is_outlier",
    "make_host_budget",
    "make_scheduler",
    "next_move",
    "place",
    "reason_not_moved",
    "select_ejections",
    "select_engine",
    "tokens_to_evict",
    "tuning_for",
]
