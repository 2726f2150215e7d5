"""Requests from callers to upstreams and answers back: one dispatcher for every kind of route."""

from __future__ import annotations

from tanagerscale.forwarding._admission import Admission
from tanagerscale.forwarding._admission import Placer
from tanagerscale.forwarding._dispatcher import Dispatcher
from tanagerscale.forwarding._meters import Meters
from tanagerscale.forwarding._movers import StreamMovers
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._parts import Repeats
from tanagerscale.forwarding._types import CallerRequest
from tanagerscale.forwarding._types import Continuation
from tanagerscale.forwarding._types import CopyError
from tanagerscale.forwarding._types import CopyFailure
from tanagerscale.forwarding._types import Demand
from tanagerscale.forwarding._types import EngineControl
from tanagerscale.forwarding._types import Header
from tanagerscale.forwarding._types import PromptPart
from tanagerscale.forwarding._types import Refusal
from tanagerscale.forwarding._types import RefusalKind
from tanagerscale.forwarding._types import Responder
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import RunCopy
from tanagerscale.forwarding._types import UpstreamAnswer
from tanagerscale.forwarding._types import UpstreamCaller
from tanagerscale.forwarding._types import UpstreamOrder
from tanagerscale.forwarding._work import OwnWork

__all__ = [
    "Admission",
    "CallerRequest",
    "Continuation",
    "CopyError",
    "CopyFailure",
    "Demand",
    "Dispatcher",
    "EngineControl",
    "ForwardingParts",
    "Header",
    "Meters",
    "OwnWork",
    "Placer",
    "PromptPart",
    "Refusal",
    "RefusalKind",
    "Repeats",
    "Responder",
    "RoutedRequest",
    "RunCopy",
    "StreamMovers",
    "UpstreamAnswer",
    "UpstreamCaller",
    "UpstreamOrder",
]
