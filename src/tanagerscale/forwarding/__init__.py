"""Requests from callers to upstreams and answers back: one dispatcher for every kind of route."""

from __future__ import annotations

from tanagerscale.forwarding._admission import Admission
from tanagerscale.forwarding._balance import Balance
from tanagerscale.forwarding._budgets import RetryBudgets
from tanagerscale.forwarding._copier import Copier
from tanagerscale.forwarding._departure_watch import DepartureWatch
from tanagerscale.forwarding._departures import Departures
from tanagerscale.forwarding._dispatcher import Dispatcher
from tanagerscale.forwarding._evacuation import Evacuation
from tanagerscale.forwarding._health import UpstreamHealth
from tanagerscale.forwarding._links import LinkTurns
from tanagerscale.forwarding._meters import Meters
from tanagerscale.forwarding._moving import MovingParts
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._protection import Protection
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._types import CallerRequest
from tanagerscale.forwarding._types import Continuation
from tanagerscale.forwarding._types import CopyError
from tanagerscale.forwarding._types import CopyFailure
from tanagerscale.forwarding._types import Demand
from tanagerscale.forwarding._types import EngineControl
from tanagerscale.forwarding._types import EngineReport
from tanagerscale.forwarding._types import Header
from tanagerscale.forwarding._types import PromptPart
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import RefusalKind
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import RunCopy
from tanagerscale.forwarding._types import RunState
from tanagerscale.forwarding._types import UpstreamAnswer
from tanagerscale.forwarding._types import UpstreamCaller
from tanagerscale.forwarding._types import UpstreamOrder
from tanagerscale.forwarding._work import EngineWork
from tanagerscale.forwarding._work import Urgency

__all__ = [
    "Admission",
    "Balance",
    "CallerRequest",
    "Continuation",
    "Copier",
    "CopyError",
    "CopyFailure",
    "Demand",
    "DepartureWatch",
    "Departures",
    "Dispatcher",
    "EngineControl",
    "EngineReport",
    "EngineWork",
    "Evacuation",
    "ForwardingParts",
    "Header",
    "LinkTurns",
    "Meters",
    "MovingParts",
    "PromptPart",
    "Protection",
    "Refusal",
    "RefusalKind",
    "Responder",
    "RetryBudgets",
    "RoutedRequest",
    "RunCopy",
    "RunState",
    "StreamRun",
    "UpstreamAnswer",
    "UpstreamCaller",
    "UpstreamHealth",
    "UpstreamOrder",
    "Urgency",
]
