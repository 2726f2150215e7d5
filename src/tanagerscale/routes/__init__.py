"""Configured routes, services and client accounts, and their lookup for requests."""

from __future__ import annotations

from tanagerscale.routes._regions import ANY_FAILURE_DOMAIN
from tanagerscale.routes._regions import AllowedRegions
from tanagerscale.routes._table import ANONYMOUS_CALLER
from tanagerscale.routes._table import Caller
from tanagerscale.routes._table import RouteTable
from tanagerscale.routes._table import choose_target
from tanagerscale.routes._table import effective_priority
from tanagerscale.routes._types import Account
from tanagerscale.routes._types import CallerLimits
from tanagerscale.routes._types import Configuration
from tanagerscale.routes._types import EngineCapabilities
from tanagerscale.routes._types import Route
from tanagerscale.routes._types import RouteId
from tanagerscale.routes._types import RouteKind
from tanagerscale.routes._types import Service
from tanagerscale.routes._types import Target

__all__ = [
    "ANONYMOUS_CALLER",
    "ANY_FAILURE_DOMAIN",
    "Account",
    "AllowedRegions",
    "Caller",
    "CallerLimits",
    "Configuration",
    "EngineCapabilities",
    "Route",
    "RouteId",
    "RouteKind",
    "RouteTable",
    "Service",
    "Target",
    "choose_target",
    "effective_priority",
]
