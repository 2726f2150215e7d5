"""Decisions under load, without I/O."""

from __future__ import annotations

from tanagerscale.policy._forecast import ForecastScheduler
from tanagerscale.policy._forecast import make_scheduler
from tanagerscale.policy._lengths import LengthCurve
from tanagerscale.policy._lengths import LengthEstimator
from tanagerscale.policy._limits import AccountLimits
from tanagerscale.policy._limits import AccountUsage
from tanagerscale.policy._limits import Limit
from tanagerscale.policy._limits import LimitRefusal
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
    "AccountLimits",
    "AccountSpec",
    "AccountUsage",
    "Decision",
    "DecisionKind",
    "EngineLoad",
    "EngineSpec",
    "ForecastScheduler",
    "ImmediateScheduler",
    "LeastOutstanding",
    "LengthCurve",
    "LengthEstimator",
    "Limit",
    "LimitRefusal",
    "PlacementRequest",
    "RetryBudget",
    "Scheduler",
    "Tuning",
    "make_scheduler",
    "tuning_for",
]
