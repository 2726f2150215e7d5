"""At most one dispatch for each call that may not be repeated.

A caller's key is claimed in the store before its call is sent, and the outcome is recorded there.
A call without a key has nothing by which a repeat could be told from a new call: it is sent once
by one host, without a claim, and never again after it was sent.
"""

from __future__ import annotations

from tanagerscale.claims._claims import Claims
from tanagerscale.claims._types import ClaimKey
from tanagerscale.claims._types import ClaimOutcome
from tanagerscale.claims._types import Granted
from tanagerscale.claims._types import InProgress
from tanagerscale.claims._types import Recorded

__all__ = ["ClaimKey", "ClaimOutcome", "Claims", "Granted", "InProgress", "Recorded"]
