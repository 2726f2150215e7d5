"""Dispatch: attempts on upstreams, retries, and whether a failed request was executed."""

from __future__ import annotations

from tanagerscale.dispatch._attempt import Attempt
from tanagerscale.dispatch._attempt import AttemptEnd
from tanagerscale.dispatch._attempt import AttemptOutcome
from tanagerscale.dispatch._cancel import Canceller
from tanagerscale.dispatch._context import DispatchContext
from tanagerscale.dispatch._context import Finish
from tanagerscale.dispatch._generation import Generation
from tanagerscale.dispatch._reachability import EngineReachability
from tanagerscale.dispatch._relay import Relay
from tanagerscale.dispatch._relay import RelayFault
from tanagerscale.dispatch._retry_after import add_retry_jitter
from tanagerscale.dispatch._types import CrashWatch
from tanagerscale.dispatch._types import GenerationRequest
from tanagerscale.dispatch._types import ResumePoint
from tanagerscale.dispatch._types import RetryLimiter
from tanagerscale.dispatch._types import Sink
from tanagerscale.dispatch._types import UpstreamObserver

__all__ = [
    "Attempt",
    "AttemptEnd",
    "AttemptOutcome",
    "Canceller",
    "CrashWatch",
    "DispatchContext",
    "EngineReachability",
    "Finish",
    "Generation",
    "GenerationRequest",
    "Relay",
    "RelayFault",
    "ResumePoint",
    "RetryLimiter",
    "Sink",
    "UpstreamObserver",
    "add_retry_jitter",
]
