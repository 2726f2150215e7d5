"""Declared routes: what a caller's request may be, and which service answers it."""

from __future__ import annotations

from enum import Enum
from enum import unique
from typing import NewType

from msgspec import Struct

from tanagerscale.core import ClientAccountId
from tanagerscale.core import ModelId
from tanagerscale.core import RegionId
from tanagerscale.core import Revision
from tanagerscale.core import ServiceId

RouteId = NewType("RouteId", str)


@unique
class RouteKind(Enum):
    """What may be done again when the outcome of an attempt is not known."""

    IDEMPOTENT = "idempotent"
    """An attempt may be repeated on another upstream, whatever became of the first."""
    NON_IDEMPOTENT = "non-idempotent"
    """An attempt may be repeated only when it is known not to have run."""
    STREAMING = "streaming"
    """As a non-idempotent one; its answer is a stream of numbered events."""


class Target(Struct, frozen=True, kw_only=True):
    """One of the services a route sends to.

    :param service: The service.
    :param weight: Its share of the route's requests, relative to the other targets.
    """

    service: ServiceId
    weight: int


class Route(Struct, frozen=True, kw_only=True):
    """A host name and a path prefix, and how requests to them are treated.

    :param name: The operators' name of the route.
    :param host: Host name that requests carry, in lower case.
    :param path_prefix: Begins and ends with a slash.
    :param kind: What may be repeated.
    :param targets: Services that answer, with at least one weight above 0.
    :param attempts: Most upstreams that may run one request.
    :param timeout_ms: Longest time a caller is kept waiting for the end of its answer.
    :param target_ms: Time within which an answer, or the first event of a stream, is on time.
    :param gap_ms: Longest pause between two events of a stream that is still on time; 0 means
        that the route declares none.
    :param priority: 0 goes first.
    :param public: Whether requests need no key.
    :param resumable: Whether a stream may be asked for from a later event on.
    :param regions: Regions that its requests may run in; none means any.
    """

    name: RouteId
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    attempts: int
    timeout_ms: int
    target_ms: int
    gap_ms: int
    priority: int
    public: bool
    resumable: bool
    regions: frozenset[RegionId] = frozenset()


class EngineCapabilities(Struct, frozen=True, kw_only=True):
    """What the engines of a language model service have and can do.

    :param batch: Most generations decoded together.
    :param memory_tokens: Tokens of key-value memory of one engine.
    :param token_bytes: Bytes of key-value memory for each token.
    :param link_mbps: Speed at which engines copy memory to each other.
    :param can_move: Whether a running generation may be copied to another engine.
    :param tokens_per_event: Tokens that one event of a stream holds.
    :param copy_ttl_ms: How long an engine keeps a copy that nobody uses.
    :param pin_ms: Longest time that a finished run's memory may be kept.
    :param hold_ms: Longest time that a place may be reserved.
    :param models: Models the engines have.
    """

    batch: int
    memory_tokens: int
    token_bytes: int
    link_mbps: float
    can_move: bool
    tokens_per_event: int
    copy_ttl_ms: int
    pin_ms: int
    hold_ms: int
    models: tuple[ModelId, ...]


class Service(Struct, frozen=True, kw_only=True):
    """Upstreams that answer alike.

    :param name: Its name.
    :param health_path: Path that tells whether an upstream takes work.
    :param max_connections: Connections that one upstream takes from all callers together.
    :param engine: What its engines can do, or ``None`` when it runs no language model.
    :param cold_ms: How long an upstream warms up after its start.
    :param cold_per_s: Requests a second that one bears until it is warm; 0 for any number.
    """

    name: ServiceId
    health_path: str
    max_connections: int
    engine: EngineCapabilities | None
    cold_ms: int = 0
    cold_per_s: float = 0.0


class CallerLimits(Struct, frozen=True, kw_only=True):
    """What one caller's connection may send and how long it may take.

    :param header_bytes: Largest head of a request.
    :param body_bytes: Largest body.
    :param header_timeout_ms: Longest time for the head to arrive.
    :param idle_timeout_ms: How long a connection may stay idle between requests.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Account(Struct, frozen=True, kw_only=True):
    """A client account.

    :param name: Its id.
    :param keys: Keys that its requests may carry.
    :param priority: Goes before the route's priority; ``None`` leaves that in force.
    :param regions: Regions that its requests may run in; none means any.
    """

    name: ClientAccountId
    keys: tuple[str, ...]
    priority: int | None
    regions: frozenset[RegionId] = frozenset()


class Configuration(Struct, frozen=True, kw_only=True):
    """Everything the operators have declared, as one version.

    :param version: Grows with each change.
    :param routes: All routes.
    :param services: All services.
    :param accounts: All client accounts; none means that no request needs a key.
    :param limits: What callers may send.
    """

    version: Revision
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...]
    limits: CallerLimits
