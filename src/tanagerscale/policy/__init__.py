"""Decisions under load, without I/O."""

from __future__ import annotations

from tanagerscale.policy._types import Decision
from tanagerscale.policy._types import DecisionKind
from tanagerscale.policy._types import EngineLoad
from tanagerscale.policy._types import EngineSpec
from tanagerscale.policy._types import PlacementRequest
from tanagerscale.policy._types import Scheduler

__all__ = [
    "Decision",
    "DecisionKind",
    "EngineLoad",
    "EngineSpec",
    "PlacementRequest",
    "Scheduler",
]
