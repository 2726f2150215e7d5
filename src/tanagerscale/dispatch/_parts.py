"""What every generation of a host uses, and what it returns."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from msgspec import Struct

from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.dispatch._cancel import Canceller
from tanagerscale.dispatch._types import CrashWatch
from tanagerscale.dispatch._types import RetryAllowance
from tanagerscale.dispatch._types import UpstreamNotes
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.routing import Router
from tanagerscale.upstreams import EngineClient
from tanagerscale.usage import UsageMeter


class Finish(NamedTuple):
    """The end of a whole answer.

    :param reason: Why the engine ended it.
    :param tokens: Its length.
    """

    reason: FinishReason
    tokens: int


class DispatchParts(Struct, frozen=True, kw_only=True):
    """What every generation of a host uses.

    :param router: Finds engines.
    :param client_of: Returns the client of an engine.
    :param notes: Is told how engines behave.
    :param crashes: Keeps requests that crash engines away.
    :param retries: Bounds retries.
    :param canceller: Cancels attempts that were given up.
    :param meter: Sums what requests cost.
    :param clock: Times pauses.
    :param rng: Spreads the return of refused callers.
    """

    router: Router
    client_of: Callable[[UpstreamId], EngineClient]
    notes: UpstreamNotes
    crashes: CrashWatch
    retries: RetryAllowance
    canceller: Canceller
    meter: UsageMeter
    clock: Clock
    rng: Random
