"""What a host knows of upstreams and declarations, as far as decisions need it."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from random import Random
from typing import Protocol

from msgspec import Struct

from tanagerscale.coordination._health import UpstreamHealth
from tanagerscale.coordination._ledger import EngineTotal
from tanagerscale.coordination._warmup import WarmupLimit
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
    """The upstreams there are."""

    @property
    def is_current(self) -> bool:
        """Whether the store tells of changes; otherwise upstreams may leave without notice."""

    def get(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return the entry of an upstream, also for a while after it is gone."""

    def cold_ms(self, upstream: UpstreamId) -> int:
        """Return how much longer an upstream is cold by its own word."""

    def is_evacuated(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream gets no requests since its failure domain is evacuated."""

    def has_evacuated(self, service: ServiceId) -> bool:
        """Return whether upstreams of a service stay that get no requests."""

    def open_for(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that take new work."""

    def staying(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that are not leaving, failing ones included."""


class Gate(Protocol):
    """Takes what requests show of upstreams."""

    def is_leaving(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is known to leave."""

    def is_broken(self, upstream: UpstreamId) -> bool:
        """Return whether calls to an upstream failed and it is not yet time for a probe."""

    def note_leaving(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream leaves, by its own word."""

    def note_gone(self, *, upstream: UpstreamId) -> None:
        """Record that another upstream has the address of one."""

    def note_down(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream did not answer as it should."""

    def note_up(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream has answered."""


class Tables(Protocol):
    """The declarations in force."""

    @property
    def table(self) -> RouteTable | None:
        """What is in force now, or ``None`` before anything is known."""


class UpstreamKnowledge(Protocol):
    """Which upstreams there are, and how they do."""

    @property
    def upstreams(self) -> Upstreams:
        """The upstreams there are."""

    @property
    def health(self) -> UpstreamHealth:
        """What requests showed of how they do."""


class DecisionParts(Struct, frozen=True, kw_only=True):
    """What decisions about engines go by, besides what runs there.

    :param tables: The declarations in force.
    :param upstreams: The upstreams there are.
    :param gate: Which of them leave or can't be reached.
    :param health: How they do.
    :param warmup: What those get that warm up.
    :param clock: Time.
    :param rng: Source of chance.
    """

    tables: Tables
    upstreams: Upstreams
    gate: Gate
    health: UpstreamHealth
    warmup: WarmupLimit
    clock: Clock
    rng: Random

    def engine_of(self, service: ServiceId) -> EngineCapabilities | None:
        """Return what the engines of a service can do; ``None`` when it has none."""
        table = self.tables.table
        declared = None if table is None else table.service(service)
        return None if declared is None else declared.engine


def eligible_upstreams(
    known: UpstreamKnowledge,
    service: ServiceId,
    excluded: Set[UpstreamId] = frozenset(),
    domains: Set[FailureDomainId] = ANY_FAILURE_DOMAIN,
) -> list[UpstreamEntry]:
    """Return the upstreams of a service that new work may go to, the sound ones if there are any.

    :param known: Which upstreams there are.
    :param service: The service.
    :param excluded: Upstreams that were tried.
    :param domains: Failure domains that may be used; none means any.
    """

    def usable(entries: Sequence[UpstreamEntry]) -> list[UpstreamEntry]:
        return [
            entry
            for entry in entries
            if entry.upstream not in excluded and (not domains or entry.failure_domain in domains)
        ]

    open_now = usable(known.upstreams.open_for(service))
    sound = known.health.usable(open_now)
    return sound or open_now or usable(known.upstreams.staying(service))


def view_of(
    entry: UpstreamEntry,
    *,
    engine: EngineCapabilities | None,
    totals: Mapping[UpstreamId, EngineTotal],
    upstreams: Upstreams,
) -> EngineView:
    """Return what is known of an engine.

    :param entry: Its entry.
    :param engine: What it can do.
    :param totals: What runs on engines.
    :param upstreams: The upstreams there are.
    """
    total = totals.get(entry.upstream) or EngineTotal()
    return EngineView(
        upstream=entry.upstream,
        failure_domain=entry.failure_domain,
        memory_tokens=0 if engine is None else engine.memory_tokens,
        held_tokens=total.long_tokens + total.short_tokens,
        copy_tokens=total.copy_tokens,
        yielding_tokens=total.yielding_tokens,
        uncopied_tokens=total.uncopied_tokens,
        running=total.running,
        waiting_tokens=total.waiting_tokens,
        waiting=total.waiting,
        batch=entry.places if engine is None else engine.batch,
        cold_ms=upstreams.cold_ms(entry.upstream),
    )
