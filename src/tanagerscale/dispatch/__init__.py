"""Dispatch: attempts on upstreams, retries, and the truth about execution."""

from __future__ import annotations

from tanagerscale.dispatch._attempt import Attempt
from tanagerscale.dispatch._attempt import AttemptEnd
from tanagerscale.dispatch._attempt import AttemptOutcome
from tanagerscale.dispatch._cancel import Canceller
from tanagerscale.dispatch._generation import Generation
from tanagerscale.dispatch._parts import DispatchParts
from tanagerscale.dispatch._parts import Finish
from tanagerscale.dispatch._relay import Relay
from tanagerscale.dispatch._relay import RelayFault
from tanagerscale.dispatch._returns import spread_return
from tanagerscale.dispatch._types import CrashWatch
from tanagerscale.dispatch._types import GenerationRequest
from tanagerscale.dispatch._types import ResumePoint
from tanagerscale.dispatch._types import RetryAllowance
from tanagerscale.dispatch._types import Sink
from tanagerscale.dispatch._types import UpstreamNotes

__all__ = [
    "Attempt",
    "AttemptEnd",
    "AttemptOutcome",
    "Canceller",
    "CrashWatch",
    "DispatchParts",
    "Finish",
    "Generation",
    "GenerationRequest",
    "Relay",
    "RelayFault",
    "ResumePoint",
    "RetryAllowance",
    "Sink",
    "UpstreamNotes",
    "spread_return",
]
