"""Coordinators, their placement and move decisions, and the messages about them."""

from __future__ import annotations

from tanagerscale.coordination._announcements import AnnouncementRelay
from tanagerscale.coordination._client import CoordinationClient
from tanagerscale.coordination._context import DecisionContext
from tanagerscale.coordination._context import Gate
from tanagerscale.coordination._context import RouteTableSource
from tanagerscale.coordination._context import Upstreams
from tanagerscale.coordination._context import eligible_upstreams
from tanagerscale.coordination._coordinator import Coordinator
from tanagerscale.coordination._coordinator import EngineReports
from tanagerscale.coordination._delegates import DelegateList
from tanagerscale.coordination._directory import Directory
from tanagerscale.coordination._engine_speeds import EngineSpeeds
from tanagerscale.coordination._feed import FeedListener
from tanagerscale.coordination._feed import ListFeed
from tanagerscale.coordination._health import AttemptHealthRecorder
from tanagerscale.coordination._health import UpstreamHealth
from tanagerscale.coordination._ledger import EngineTotal
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.coordination._limit_reports import LimitReports
from tanagerscale.coordination._ranking import distance
from tanagerscale.coordination._ranking import heartbeat_interval_ms
from tanagerscale.coordination._rate_limits import NamedRates
from tanagerscale.coordination._rate_limits import Permit
from tanagerscale.coordination._rate_limits import RateLimits
from tanagerscale.coordination._rate_permits import RatePermits
from tanagerscale.coordination._retry_budgets import RepeatPermit
from tanagerscale.coordination._retry_budgets import SharedRetryBudgets
from tanagerscale.coordination._store_source import StoreSourceSelector
from tanagerscale.coordination._warmup import WarmupRates

__all__ = [
    "AnnouncementRelay",
    "AttemptHealthRecorder",
    "CoordinationClient",
    "Coordinator",
    "DecisionContext",
    "DelegateList",
    "Directory",
    "EngineReports",
    "EngineSpeeds",
    "EngineTotal",
    "FeedListener",
    "Gate",
    "LimitReports",
    "ListFeed",
    "NamedRates",
    "Permit",
    "RateLimits",
    "RatePermits",
    "RepeatPermit",
    "RouteTableSource",
    "RunLedger",
    "SharedRetryBudgets",
    "StoreSourceSelector",
    "UpstreamHealth",
    "Upstreams",
    "WarmupRates",
    "distance",
    "eligible_upstreams",
    "heartbeat_interval_ms",
]
