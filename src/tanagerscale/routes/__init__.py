"""Declared routes, services and client accounts, and how requests find theirs."""

from __future__ import annotations

from tanagerscale.routes._homes import ANYWHERE
from tanagerscale.routes._homes import Homes
from tanagerscale.routes._table import ANYBODY
from tanagerscale.routes._table import Caller
from tanagerscale.routes._table import RouteTable
from tanagerscale.routes._table import choose_target
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
    "ANYBODY",
    "ANYWHERE",
    "Account",
    "Caller",
    "CallerLimits",
    "Configuration",
    "EngineCapabilities",
    "Homes",
    "Route",
    "RouteId",
    "RouteKind",
    "RouteTable",
    "Service",
    "Target",
    "choose_target",
]
