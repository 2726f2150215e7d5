"""The upstreams, configuration and health data that decisions are based on."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from random import Random
from typing import Protocol

from msgspec import Struct

from tanagerscale.coordination._engine_speeds import EngineSpeeds
from tanagerscale.coordination._health import UpstreamHealth
from tanagerscale.coordination._ledger import EngineTotal
from tanagerscale.coordination._rate_limits import RateLimits
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.policy import EngineView
from tanagerscale.routes import ANY_FAILURE_DOMAIN
from tanagerscale.routes import EngineCapabilities
from tanagerscale.routes import RouteTable
from tanagerscale.upstreams import UpstreamEntry


class Upstreams(Protocol):
    """The known upstreams."""

    @property
    def is_current(self) -> bool:
        """Whether the store delivers changes; if not, upstreams may leave without notice."""

    def get(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return the entry of an upstream, also for a while after it has been removed."""

    def warmup_ms(self, upstream: UpstreamId) -> int:
        """Return the remaining warm-up time of an upstream, as the upstream reports it."""

    def is_evacuated(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream gets no requests because its failure domain is evacuated."""

    def has_evacuated(self, service: ServiceId) -> bool:
        """Return whether a service has upstreams that get no requests because of an evacuation."""

    def open_for(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that accept new work."""

    def not_leaving(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that are not leaving, including failing ones."""


class Gate(Protocol):
    """Availability of upstreams, as observed by requests."""

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is known to be leaving."""

    def leaving_for_ms(self, upstream: UpstreamId) -> int | None:
        """Return how long an upstream has been known to be leaving; ``None`` if it is not."""

    def is_broken(self, upstream: UpstreamId) -> bool:
        """Return whether calls to an upstream failed and the next probe is not due yet."""

    def record_own_notice(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream itself says that it is leaving."""

    def record_gone(self, *, upstream: UpstreamId) -> None:
        """Record that the address of an upstream now belongs to another one."""

    def record_failure(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream did not answer correctly."""

    def record_success(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream has answered."""


class RouteTableSource(Protocol):
    """Provides the configuration in force."""

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force; ``None`` before one is known."""


class UpstreamView(Protocol):
    """The known upstreams and their health."""

    @property
    def upstreams(self) -> Upstreams:
        """The known upstreams."""

    @property
    def health(self) -> UpstreamHealth:
        """Health of the upstreams, as observed by requests."""


class DecisionContext(Struct, frozen=True, kw_only=True):
    """Inputs of decisions about engines, except the runs on them.

    :param tables: Provides the configuration in force.
    :param upstreams: The known upstreams.
    :param gate: Which upstreams are leaving or unreachable.
    :param health: Which upstreams are ejected.
    :param rate_limits: Grants requests to upstreams with rate limits.
    :param clock: Source of the current time.
    :param rng: Random number generator.
    """

    tables: RouteTableSource
    upstreams: Upstreams
    gate: Gate
    health: UpstreamHealth
    rate_limits: RateLimits
    clock: Clock
    rng: Random

    def get_engine_capabilities(self, service: ServiceId) -> EngineCapabilities | None:
        """Return the capabilities of the engines of a service; ``None`` when it has no engines."""
        table = self.tables.table
        declared = None if table is None else table.service(service)
        return None if declared is None else declared.engine


def eligible_upstreams(
    view: UpstreamView,
    service: ServiceId,
    excluded: Set[UpstreamId] = frozenset(),
    domains: Set[FailureDomainId] = ANY_FAILURE_DOMAIN,
) -> list[UpstreamEntry]:
    """Return the upstreams of a service for new work, only healthy ones if there are any.

    :param view: The known upstreams and their health.
    :param service: The service.
    :param excluded: Upstreams that have already been tried.
    :param domains: Failure domains that may be used; empty means any.
    """

    def usable(entries: Sequence[UpstreamEntry]) -> list[UpstreamEntry]:
        return [
            entry
            for entry in entries
            if entry.upstream not in excluded and (not domains or entry.failure_domain in domains)
        ]

    open_now = usable(view.upstreams.open_for(service))
    healthy = view.health.exclude_ejected(open_now)
    return healthy or open_now or usable(view.upstreams.not_leaving(service))


def build_engine_view(
    entry: UpstreamEntry,
    *,
    engine: EngineCapabilities | None,
    totals: Mapping[UpstreamId, EngineTotal],
    upstreams: Upstreams,
    speeds: EngineSpeeds,
) -> EngineView:
    """Build the view of an engine that the policy works with.

    :param entry: Entry of the engine.
    :param engine: Capabilities of the engine; ``None`` if unknown.
    :param totals: Sums of the runs on each engine.
    :param upstreams: The known upstreams.
    :param speeds: Speeds of the engines.
    """
    total = totals.get(entry.upstream) or EngineTotal()
    return EngineView(
        upstream=entry.upstream,
        failure_domain=entry.failure_domain,
        memory_tokens=0 if engine is None else engine.memory_tokens,
        held_tokens=total.long_tokens + total.short_tokens,
        copy_tokens=total.copy_tokens,
        evictable_tokens=total.evictable_tokens,
        uncopied_tokens=total.uncopied_tokens,
        running=total.running,
        waiting_tokens=total.waiting_tokens,
        waiting=total.waiting,
        max_batch=entry.max_concurrency if engine is None else engine.max_batch,
        warmup_ms=upstreams.warmup_ms(entry.upstream),
        prefill_tokens_per_ms=speeds.prefill_tokens_per_ms(entry.upstream),
        slowness=speeds.slowness(entry.upstream),
    )
