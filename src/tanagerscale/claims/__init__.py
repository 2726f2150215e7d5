"""At-most-once dispatch of calls that are not idempotent.

The caller's idempotency key is claimed in the store before the call is sent, and the outcome is
recorded there. Without a key, a repeated call cannot be distinguished from a new one, so a call
without a key is sent by one host without a claim, and never resent.
"""

from __future__ import annotations

from tanagerscale.claims._claims import Claims
from tanagerscale.claims._types import ClaimCancelled
from tanagerscale.claims._types import ClaimKey
from tanagerscale.claims._types import ClaimOutcome
from tanagerscale.claims._types import Granted
from tanagerscale.claims._types import InProgress
from tanagerscale.claims._types import Recorded

__all__ = [
    "ClaimCancelled",
    "ClaimKey",
    "ClaimOutcome",
    "Claims",
    "Granted",
    "InProgress",
    "Recorded",
]
