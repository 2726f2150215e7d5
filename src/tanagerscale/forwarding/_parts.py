"""Dependencies shared by all requests of a host."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random
from typing import Protocol

from msgspec import Struct
from msgspec import field

from tanagerscale.coordination import Gate
from tanagerscale.coordination import Permit
from tanagerscale.coordination import RateLimits
from tanagerscale.coordination import RepeatPermit
from tanagerscale.coordination import RouteTableSource
from tanagerscale.coordination import UpstreamHealth
from tanagerscale.coordination import Upstreams
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._crash_reports import CrashReports
from tanagerscale.forwarding._metrics import ForwardingMetrics
from tanagerscale.forwarding._types import EngineControl
from tanagerscale.forwarding._types import RoutedRequest
from tanagerscale.forwarding._types import UpstreamClient
from tanagerscale.forwarding._workload import LocalWorkload
from tanagerscale.generated.messages import RequestClass
from tanagerscale.policy import ByteAccount
from tanagerscale.quarantine import SuspectTracker
from tanagerscale.upstreams import NamedLimits
from tanagerscale.upstreams import UpstreamPaths
from tanagerscale.upstreams import UpstreamPauses


class RetryPermits(Protocol):
    """Limits retries of all hosts together."""

    def count_request(self, *, service: ServiceId) -> None:
        """Count a request for a service; the budget is a fraction of all requests."""

    async def may_repeat(self, *, service: ServiceId) -> bool:
        """Return whether a request may be retried at another upstream."""

    async def acquire_resume(self, *, service: ServiceId) -> RepeatPermit:
        """Return whether a run may continue on an upstream, or when it can ask again."""


class RatePermitSource(Protocol):
    """Limits the requests that all hosts together send to upstreams with rate limits."""

    async def acquire(
        self,
        *,
        upstreams: Sequence[UpstreamId],
        kind: RequestClass,
        wait_ms: int = 0,
        prompt_ms: int = 0,
    ) -> Permit:
        """Return whether and when a request may be sent to one of some upstreams."""


def _unknown_age() -> int | None:
    return None


def _has_no_end(_routed: RoutedRequest) -> bool:
    return True


class ForwardingContext(Struct, frozen=True, kw_only=True):
    """Dependencies shared by all requests of a host.

    :param tables: Provides the configuration in force.
    :param upstreams: Provides the known upstreams.
    :param gate: Receives reachability observations from requests.
    :param paths: Whether this host reaches any upstream.
    :param pauses: Upstreams that asked this host for a pause.
    :param named_limits: Rate limits that upstreams name.
    :param health: Receives successes and failures of requests.
    :param suspects: Tracks requests that may crash upstreams.
    :param crash_reports: Finds out whether upstreams have crashed whose responses broke off.
    :param upstream_client: Sends requests to upstreams.
    :param engines: Copies runs between engines.
    :param work: Tracks this host's requests on upstreams.
    :param retry_permits: Limits the retries of all hosts together.
    :param rate_limits: Returns which upstreams have rate limits.
    :param rate_permits: Limits requests to upstreams with rate limits.
    :param metrics: Exported metrics that requests update.
    :param can_start: Returns whether a request that has not run can be finished before this host
        ends.
    :param list_age_ms: Returns the age of the list of upstreams in milliseconds, if known.
    :param failure_domain: Failure domain of this host.
    :param clock: Clock used for deadlines and durations.
    :param rng: Random number generator used for jitter, tie breaking and weighted selection.
    :param has_bounded_buffers: Whether buffers are so small that writing an event often waits for a
        caller that reads slowly. That time is then no gap of the engine.
    :param account: Account of incomplete answers.
    """

    tables: RouteTableSource
    upstreams: Upstreams
    gate: Gate
    paths: UpstreamPaths
    pauses: UpstreamPauses
    named_limits: NamedLimits
    health: UpstreamHealth
    suspects: SuspectTracker
    crash_reports: CrashReports
    upstream_client: UpstreamClient
    engines: EngineControl
    work: LocalWorkload
    retry_permits: RetryPermits
    rate_limits: RateLimits
    rate_permits: RatePermitSource
    metrics: ForwardingMetrics
    failure_domain: FailureDomainId
    clock: Clock
    rng: Random
    can_start: Callable[[RoutedRequest], bool] = _has_no_end
    list_age_ms: Callable[[], int | None] = _unknown_age
    has_bounded_buffers: bool = False
    account: ByteAccount = field(default_factory=ByteAccount)
