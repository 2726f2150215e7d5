"""What every request of a host uses."""

from __future__ import annotations

from collections.abc import Sequence
from collections.abc import Set
from random import Random
from typing import Protocol

from msgspec import Struct

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._budgets import RetryBudgets
from tanagerscale.forwarding._health import UpstreamHealth
from tanagerscale.forwarding._meters import Meters
from tanagerscale.forwarding._types import EngineControl
from tanagerscale.forwarding._types import UpstreamCaller
from tanagerscale.forwarding._work import EngineWork
from tanagerscale.quarantine import Suspects
from tanagerscale.routes import RouteTable
from tanagerscale.upstreams import UpstreamEntry


class Upstreams(Protocol):
    """The upstreams there are."""

    @property
    def is_current(self) -> bool:
        """Whether the store tells of changes; otherwise upstreams may leave without notice."""

    def get(self, upstream: UpstreamId) -> UpstreamEntry | None:
        """Return the entry of an upstream, also for a while after it is gone."""

    def known_ms(self, upstream: UpstreamId) -> int:
        """Return for how long an upstream has been known here."""

    def open_for(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that take new work."""

    def staying(self, service: ServiceId) -> list[UpstreamEntry]:
        """Return the upstreams of a service that are not leaving, failing ones included."""


class Notes(Protocol):
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


class ForwardingParts(Struct, frozen=True, kw_only=True):
    """What every request of a host uses.

    :param tables: The declarations in force.
    :param upstreams: The upstreams there are.
    :param notes: Takes what requests show of whether they can be reached.
    :param health: Takes what requests show of how they do.
    :param suspects: Requests that may crash upstreams.
    :param caller: Sends requests to them.
    :param engines: Asks engines to copy runs.
    :param work: What runs on engines.
    :param budgets: Bounds repeats.
    :param meters: Counts.
    :param failure_domain: Where this host stands.
    :param clock: Time.
    :param rng: Source of chance.
    """

    tables: Tables
    upstreams: Upstreams
    notes: Notes
    health: UpstreamHealth
    suspects: Suspects
    caller: UpstreamCaller
    engines: EngineControl
    work: EngineWork
    budgets: RetryBudgets
    meters: Meters
    failure_domain: FailureDomainId
    clock: Clock
    rng: Random


def takers(
    parts: ForwardingParts, service: ServiceId, excluded: Set[UpstreamId]
) -> list[UpstreamEntry]:
    """Return the upstreams of a service that new work may go to, the sound ones if there are any.

    :param parts: What every request uses.
    :param service: The service.
    :param excluded: Upstreams that were tried.
    """
    open_now = without(parts.upstreams.open_for(service), excluded)
    sound = parts.health.usable(open_now)
    return sound or open_now or without(parts.upstreams.staying(service), excluded)


def without(entries: Sequence[UpstreamEntry], excluded: Set[UpstreamId]) -> list[UpstreamEntry]:
    """Return the entries whose upstream is not excluded."""
    return [entry for entry in entries if entry.upstream not in excluded]
