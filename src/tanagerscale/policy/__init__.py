"""Scheduling, placement, rate-limiting and outlier-ejection policies, without I/O."""

from __future__ import annotations

from tanagerscale.policy._byte_account import ByteAccount
from tanagerscale.policy._byte_account import Holding
from tanagerscale.policy._capacity_forecast import FORECAST_HORIZON_MS
from tanagerscale.policy._capacity_forecast import AdmissionOutlook
from tanagerscale.policy._capacity_forecast import CapacityForecast
from tanagerscale.policy._capacity_forecast import Claim
from tanagerscale.policy._capacity_forecast import Release
from tanagerscale.policy._capacity_forecast import RetryTime
from tanagerscale.policy._capacity_forecast import choose_retry_time
from tanagerscale.policy._capacity_forecast import is_hopeless
from tanagerscale.policy._copying import MIN_NOTICE_MS
from tanagerscale.policy._copying import copy_sort_key
from tanagerscale.policy._copying import estimate_copy_ms
from tanagerscale.policy._copying import evacuable_tokens
from tanagerscale.policy._fair_order import WaitingGeneration
from tanagerscale.policy._fair_order import lift_returning_accounts
from tanagerscale.policy._fair_order import order_fairly
from tanagerscale.policy._forecast import ForecastScheduler
from tanagerscale.policy._forecast import make_scheduler
from tanagerscale.policy._host_budget import LIMITED_READ_BUFFER_BYTES
from tanagerscale.policy._host_budget import UNREAD_STREAM_BYTES
from tanagerscale.policy._host_budget import HostBudget
from tanagerscale.policy._host_budget import HostUse
from tanagerscale.policy._host_budget import get_read_buffer_bytes
from tanagerscale.policy._host_budget import make_byte_account
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
from tanagerscale.policy._placement import GROWTH_RESERVE_TOKENS
from tanagerscale.policy._placement import MAX_COPY_MEMORY_RATIO
from tanagerscale.policy._placement import MAX_PLANNED_MEMORY_RATIO
from tanagerscale.policy._placement import MAX_SPARE_COPY_MEMORY_RATIO
from tanagerscale.policy._placement import PREFILL_TOKENS_PER_MS
from tanagerscale.policy._placement import QUEUES_TOO_LONG
from tanagerscale.policy._placement import EngineView
from tanagerscale.policy._placement import PlacementDecision
from tanagerscale.policy._placement import PlacementQuery
from tanagerscale.policy._placement import PlacementVerdict
from tanagerscale.policy._placement import has_capacity
from tanagerscale.policy._placement import has_capacity_for_copy
from tanagerscale.policy._placement import has_capacity_without_eviction
from tanagerscale.policy._placement import is_imbalanced
from tanagerscale.policy._placement import is_lack_of_capacity
from tanagerscale.policy._placement import place
from tanagerscale.policy._placement import select_engine
from tanagerscale.policy._placement import tokens_to_evict
from tanagerscale.policy._recent_usage import MIN_USAGE_TOKENS
from tanagerscale.policy._recent_usage import USAGE_HALF_LIFE_MS
from tanagerscale.policy._recent_usage import RecentUsage
from tanagerscale.policy._retries import RetryBudget
from tanagerscale.policy._retry_schedule import MAX_OVERDUE_MS
from tanagerscale.policy._retry_schedule import Reservation
from tanagerscale.policy._retry_schedule import RetrySchedule
from tanagerscale.policy._simple import ImmediateScheduler
from tanagerscale.policy._simple import LeastOutstanding
from tanagerscale.policy._speeds import DEFAULT_DECODE_MS_PER_TOKEN
from tanagerscale.policy._speeds import DEFAULT_SPEEDS
from tanagerscale.policy._speeds import UNKNOWN_SPEED
from tanagerscale.policy._speeds import EngineSpeed
from tanagerscale.policy._speeds import ServiceSpeeds
from tanagerscale.policy._speeds import add_decode_sample
from tanagerscale.policy._speeds import add_prefill_sample
from tanagerscale.policy._speeds import expected_prefill_tokens
from tanagerscale.policy._speeds import get_prefill_tokens_per_ms
from tanagerscale.policy._speeds import get_slowness
from tanagerscale.policy._speeds import summarize_speeds
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
    "DEFAULT_DECODE_MS_PER_TOKEN",
    "DEFAULT_SPEEDS",
    "FORECAST_HORIZON_MS",
    "GROWTH_RESERVE_TOKENS",
    "LIMITED_READ_BUFFER_BYTES",
    "MAX_COPY_MEMORY_RATIO",
    "MAX_OVERDUE_MS",
    "MAX_PLANNED_MEMORY_RATIO",
    "MAX_SPARE_COPY_MEMORY_RATIO",
    "MIN_NOTICE_MS",
    "MIN_USAGE_TOKENS",
    "PREFILL_TOKENS_PER_MS",
    "QUEUES_TOO_LONG",
    "UNKNOWN_SPEED",
    "UNREAD_STREAM_BYTES",
    "USAGE_HALF_LIFE_MS",
    "AccountLimits",
    "AccountSpec",
    "AccountUsage",
    "AdmissionOutlook",
    "ByteAccount",
    "CapacityForecast",
    "Claim",
    "Decision",
    "DecisionKind",
    "EngineLoad",
    "EngineSpec",
    "EngineSpeed",
    "EngineView",
    "ForecastScheduler",
    "Holding",
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
    "RecentUsage",
    "Release",
    "Reservation",
    "RetryBudget",
    "RetrySchedule",
    "RetryTime",
    "Scheduler",
    "ServiceSpeeds",
    "Tally",
    "Tuning",
    "WaitingGeneration",
    "add_decode_sample",
    "add_prefill_sample",
    "choose_retry_time",
    "copies_to_evict",
    "copy_sort_key",
    "estimate_copy_ms",
    "evacuable_tokens",
    "expected_prefill_tokens",
    "get_prefill_tokens_per_ms",
    "get_read_buffer_bytes",
    "get_slowness",
    "has_capacity",
    "has_capacity_for_copy",
    "has_capacity_without_eviction",
    "is_hopeless",
    "is_imbalanced",
    "is_lack_of_capacity",
    "is_outlier",
    "lift_returning_accounts",
    "make_byte_account",
    "make_host_budget",
    "make_scheduler",
    "next_move",
    "order_fairly",
    "place",
    "reason_not_moved",
    "select_ejections",
    "select_engine",
    "summarize_speeds",
    "tokens_to_evict",
    "tuning_for",
]
