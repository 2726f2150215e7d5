"""Which hosts decide for all, what they know, and how the others ask and tell them."""

from __future__ import annotations

from tanagerscale.coordination._client import CoordinationClient
from tanagerscale.coordination._coordinator import Coordinator
from tanagerscale.coordination._coordinator import EngineReports
from tanagerscale.coordination._directory import Directory
from tanagerscale.coordination._duties import Duties
from tanagerscale.coordination._feed import FeedListener
from tanagerscale.coordination._feed import ListFeed
from tanagerscale.coordination._health import LateNote
from tanagerscale.coordination._health import UpstreamHealth
from tanagerscale.coordination._ledger import EngineTotal
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.coordination._parts import DecisionParts
from tanagerscale.coordination._parts import Gate
from tanagerscale.coordination._parts import Tables
from tanagerscale.coordination._parts import Upstreams
from tanagerscale.coordination._parts import eligible_upstreams
from tanagerscale.coordination._ranking import beat_ms
from tanagerscale.coordination._ranking import distance
from tanagerscale.coordination._relay import NewsRelay
from tanagerscale.coordination._repeats import RepeatAllowance
from tanagerscale.coordination._warmup import WarmupLimit

__all__ = [
    "CoordinationClient",
    "Coordinator",
    "DecisionParts",
    "Directory",
    "Duties",
    "EngineReports",
    "EngineTotal",
    "FeedListener",
    "Gate",
    "LateNote",
    "ListFeed",
    "NewsRelay",
    "RepeatAllowance",
    "RunLedger",
    "Tables",
    "UpstreamHealth",
    "Upstreams",
    "WarmupLimit",
    "beat_ms",
    "distance",
    "eligible_upstreams",
]
