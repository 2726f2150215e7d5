"""Types of the configuration: routes, services, client accounts and limits."""

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
    """How a route may be retried when the outcome of an attempt is unknown."""

    IDEMPOTENT = "idempotent"
    """An attempt may be repeated on another upstream, whatever the outcome of the first."""
    NON_IDEMPOTENT = "non-idempotent"
    """An attempt may be repeated only if it is known not to have run."""
    STREAMING = "streaming"
    """Like ``NON_IDEMPOTENT``; the response is a stream of numbered events."""


class Target(Struct, frozen=True, kw_only=True):
    """One of the services to which a route sends requests.

    :param service: Id of the service.
    :param weight: Its share of the route's requests, relative to the other targets.
    """

    service: ServiceId
    weight: int


class Route(Struct, frozen=True, kw_only=True):
    """A host name and a path prefix, and how requests to them are handled.

    :param name: Name that the operators gave the route.
    :param host: Host name of the requests, in lower case.
    :param path_prefix: Prefix of the request path; it starts and ends with a slash.
    :param kind: How attempts may be repeated.
    :param targets: Services that handle the requests; at least one has a weight above 0.
    :param attempts: Maximum number of upstreams that may run one request.
    :param timeout_ms: Longest time that a caller waits for the end of its response.
    :param target_ms: Target latency of a response, or of the first event of a stream.
    :param gap_ms: Target for the longest pause between two events of a stream; 0 means that the
        route has no such target.
    :param priority: Priority of the requests; 0 is the highest.
    :param public: Whether requests need no key.
    :param resumable: Whether a caller may request a stream from a later event on.
    :param regions: Regions in which the requests may run; empty means any.
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
    """Capacity and features of the engines of a language model service.

    :param max_batch: Maximum number of generations that an engine decodes together.
    :param memory_tokens: Capacity of one engine's KV cache in tokens.
    :param token_bytes: Bytes of KV cache per token.
    :param link_mbps: Bandwidth at which engines copy cache contents to each other.
    :param can_move: Whether a running generation may be copied to another engine.
    :param tokens_per_event: Number of tokens in one event of a stream.
    :param copy_ttl_ms: How long an engine keeps an unused copy.
    :param pin_ms: Longest time for which the memory of a finished run may be kept.
    :param hold_ms: Longest time for which a slot may be reserved.
    :param models: Models that the engines serve.
    """

    max_batch: int
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
    """A group of interchangeable upstreams.

    :param name: Id of the service.
    :param health_path: Path of the health check of an upstream.
    :param max_connections: Connections that one upstream accepts from all hosts together.
    :param engine: Capabilities of its engines, or ``None`` if it runs no language model.
    :param warmup_ms: How long an upstream warms up after its start.
    :param warmup_requests_per_s: Requests per second that one upstream can handle until it is warm;
        0 means no limit.
    """

    name: ServiceId
    health_path: str
    max_connections: int
    engine: EngineCapabilities | None
    warmup_ms: int = 0
    warmup_requests_per_s: float = 0.0


class CallerLimits(Struct, frozen=True, kw_only=True):
    """Size limits and timeouts of a caller's connection.

    :param header_bytes: Largest accepted head of a request.
    :param body_bytes: Largest accepted body.
    :param header_timeout_ms: Longest time for the head of a request to arrive.
    :param idle_timeout_ms: How long a connection may stay idle between requests.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


class Account(Struct, frozen=True, kw_only=True):
    """A client account.

    :param name: Id of the account.
    :param keys: Keys that identify requests of the account.
    :param priority: Overrides the route's priority; ``None`` keeps it.
    :param regions: Regions in which the account's requests may run; empty means any.
    """

    name: ClientAccountId
    keys: tuple[str, ...]
    priority: int | None
    regions: frozenset[RegionId] = frozenset()


class Configuration(Struct, frozen=True, kw_only=True):
    """One version of everything that the operators have configured.

    :param version: Number that increases with each change.
    :param routes: All routes.
    :param services: All services.
    :param accounts: All client accounts; if there are none, no request needs a key.
    :param limits: Limits that apply to callers.
    """

    version: Revision
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[Account, ...]
    limits: CallerLimits
