"""Forwarding of caller requests to upstreams: one dispatcher handles every kind of route."""

from __future__ import annotations

from tanagerscale.forwarding._admission import Admission
from tanagerscale.forwarding._admission import Placer
from tanagerscale.forwarding._crash_reports import CrashReports
from tanagerscale.forwarding._delegation import DelegateClient
from tanagerscale.forwarding._delegation import DelegatedHead
from tanagerscale.forwarding._delegation import DelegatedOutcome
from tanagerscale.forwarding._delegation import DelegateSelector
from tanagerscale.forwarding._dispatcher import Dispatcher
from tanagerscale.forwarding._metrics import ForwardingMetrics
from tanagerscale.forwarding._mover import StreamMover
from tanagerscale.forwarding._parts import ForwardingContext
from tanagerscale.forwarding._parts import RetryPermits
from tanagerscale.forwarding._refusals import host_full
from tanagerscale.forwarding._request_state import ConnectionEnd
from tanagerscale.forwarding._request_state import ConnectionState
from tanagerscale.forwarding._shutdown import ShutdownSchedule
from tanagerscale.forwarding._stopping import NOT_MOVED
from tanagerscale.forwarding._stopping import MoveResult
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
from tanagerscale.forwarding._types import UpstreamClient
from tanagerscale.forwarding._types import UpstreamRequest
from tanagerscale.forwarding._types import UpstreamResponse
from tanagerscale.forwarding._workload import LocalWorkload

__all__ = [
    "NOT_MOVED",
    "Admission",
    "CallerRequest",
    "ConnectionEnd",
    "ConnectionState",
    "Continuation",
    "CopyError",
    "CopyFailure",
    "CrashReports",
    "DelegateClient",
    "DelegateSelector",
    "DelegatedHead",
    "DelegatedOutcome",
    "Demand",
    "Dispatcher",
    "EngineControl",
    "ForwardingContext",
    "ForwardingMetrics",
    "Header",
    "LocalWorkload",
    "MoveResult",
    "Placer",
    "PromptPart",
    "Refusal",
    "RefusalKind",
    "Responder",
    "RetryPermits",
    "RoutedRequest",
    "RunCopy",
    "ShutdownSchedule",
    "StreamMover",
    "UpstreamClient",
    "UpstreamRequest",
    "UpstreamResponse",
    "host_full",
]
