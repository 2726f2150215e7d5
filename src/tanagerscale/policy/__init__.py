"""Decisions under load, without I/O."""

from __future__ import annotations

from tanagerscale.policy._copying import NOTICE_MS
from tanagerscale.policy._copying import copy_ms
from tanagerscale.policy._copying import easy_tokens
from tanagerscale.policy._copying import order_of
from tanagerscale.policy._forecast import ForecastScheduler
from tanagerscale.policy._forecast import make_scheduler
from tanagerscale.policy._lengths import LengthCurve
from tanagerscale.policy._lengths import LengthEstimator
from tanagerscale.policy._limits import AccountLimits
from tanagerscale.policy._limits import AccountUsage
from tanagerscale.policy._limits import Limit
from tanagerscale.policy._limits import LimitRefusal
from tanagerscale.policy._moves import MovableRun
from tanagerscale.policy._moves import Move
from tanagerscale.policy._moves import MoveSnapshot
from tanagerscale.policy._moves import copies_to_drop
from tanagerscale.policy._moves import next_move
from tanagerscale.policy._moves import reason_not_moved
from tanagerscale.policy._outliers import Tally
from tanagerscale.policy._outliers import is_outlier
from tanagerscale.policy._outliers import may_eject
from tanagerscale.policy._placement import COPY_MARGIN
from tanagerscale.policy._placement import SPARE_MARGIN
from tanagerscale.policy._placement import EngineView
from tanagerscale.policy._placement import Placement
from tanagerscale.policy._placement import PlacementQuery
from tanagerscale.policy._placement import Verdict
from tanagerscale.policy._placement import cheapest
from tanagerscale.policy._placement import has_room
from tanagerscale.policy._placement import has_room_at_once
from tanagerscale.policy._placement import has_room_for_copy
from tanagerscale.policy._placement import is_uneven
from tanagerscale.policy._placement import place
from tanagerscale.policy._placement import tokens_to_yield
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
    "COPY_MARGIN",
    "NOTICE_MS",
    "SPARE_MARGIN",
    "AccountLimits",
    "AccountSpec",
    "AccountUsage",
    "Decision",
    "DecisionKind",
    "EngineLoad",
    "EngineSpec",
    "EngineView",
    "ForecastScheduler",
    "ImmediateScheduler",
    "LeastOutstanding",
    "LengthCurve",
    "LengthEstimator",
    "Limit",
    "LimitRefusal",
    "MovableRun",
    "Move",
    "MoveSnapshot",
    "Placement",
    "PlacementQuery",
    "PlacementRequest",
    "RetryBudget",
    "Scheduler",
    "Tally",
    "Tuning",
    "Verdict",
    "cheapest",
    "copies_to_drop",
    "copy_ms",
    "easy_tokens",
    "has_room",
    "has_room_at_once",
    "has_room_for_copy",
    "is_outlier",
    "is_uneven",
    "make_scheduler",
    "may_eject",
    "next_move",
    "order_of",
    "place",
    "reason_not_moved",
    "tokens_to_yield",
    "tuning_for",
]
