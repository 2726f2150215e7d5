"""Dependencies shared by all generations of a host, and the result of a generation."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from msgspec import Struct

from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.dispatch._cancel import Canceller
from tanagerscale.dispatch._reachability import EngineReachability
from tanagerscale.dispatch._types import CrashWatch
from tanagerscale.dispatch._types import RetryLimiter
from tanagerscale.dispatch._types import UpstreamObserver
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.routing import Router
from tanagerscale.upstreams import EngineClient
from tanagerscale.usage import UsageMeter


class Finish(NamedTuple):
    """Finish reason and length of a complete answer.

    :param reason: Why the engine ended the answer.
    :param tokens: Number of tokens in the answer.
    """

    reason: FinishReason
    tokens: int


class DispatchContext(Struct, frozen=True, kw_only=True):
    """Dependencies shared by all generations of a host.

    :param router: Places generations on engines.
    :param get_client: Returns the client of an engine.
    :param observer: Records successes and failures of engines.
    :param reachability: Tells which engines are alive.
    :param crash_watch: Keeps requests that crash engines away from other engines.
    :param retries: Limits retries.
    :param canceller: Cancels abandoned attempts.
    :param meter: Accounts for the cost of requests.
    :param clock: Clock used for delays.
    :param rng: Random number generator used to add jitter to Retry-After.
    """

    router: Router
    get_client: Callable[[UpstreamId], EngineClient]
    observer: UpstreamObserver
    reachability: EngineReachability
    crash_watch: CrashWatch
    retries: RetryLimiter
    canceller: Canceller
    meter: UsageMeter
    clock: Clock
    rng: Random
