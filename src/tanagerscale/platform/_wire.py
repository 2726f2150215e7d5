"""Wire format of the platform's request and response bodies, used only in this package.

Fields keep the platform's names, converted from camel case by ``rename``. Unknown fields are
ignored because later versions may add some. Docstrings explain fields whose names are unclear.
"""

from __future__ import annotations

from typing import Annotated
from typing import Final

import msgspec

from tanagerscale.core import Amount
from tanagerscale.core import BoundedFloat
from tanagerscale.core import BoundedInt
from tanagerscale.core import Count
from tanagerscale.core import UnixMillis
from tanagerscale.store import LeaseNumber
from tanagerscale.store import RevisionNumber

_MAX_SLOTS: Final = 1_000_000
"""Requests at a time; more than any upstream processes."""
_MAX_MS: Final = 86_400_000
"""One day, more than the warm-up time of any upstream."""


class WireItem(msgspec.Struct, kw_only=True, rename="camel"):
    """An entry of the store; ``value`` is base64 on the wire."""

    key: str
    revision: RevisionNumber
    value: bytes = b""
    created_rev: RevisionNumber = 0
    lease: LeaseNumber = 0
    deleted: bool = False
    as_of: RevisionNumber = 0


class WireRange(msgspec.Struct, kw_only=True, rename="camel"):
    """Entries under a prefix; ``as_of`` is the revision of the store."""

    items: list[WireItem] = []
    more_pages: bool = False
    as_of: RevisionNumber = 0


class WireChanges(msgspec.Struct, kw_only=True, rename="camel"):
    """Result of a watch; ``as_of`` is the revision after which the next watch continues."""

    events: list[WireItem] = []
    as_of: RevisionNumber = 0


class WireLease(msgspec.Struct, kw_only=True, rename="camel"):
    """A lease that was granted or renewed."""

    ttl_ms: BoundedInt = 0
    lease: LeaseNumber = 0


class WireCommitted(msgspec.Struct, kw_only=True, rename="camel"):
    """A committed transaction."""

    revision: RevisionNumber = 0


class WireSplit(msgspec.Struct, kw_only=True, rename="camel"):
    """One of several services among which a route splits its requests."""

    service: str
    weight: BoundedInt = 1


class WireRoute(msgspec.Struct, kw_only=True, rename="camel"):
    """A route of the configuration."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: BoundedInt
    service: str | None = None
    traffic_split: list[WireSplit] = []
    attempts: BoundedInt = 1
    target_latency_ms: BoundedFloat = 0
    gap_aim_ms: BoundedFloat = 0
    priority: BoundedInt = 0
    public: bool = False
    resumable: bool = False
    allowed_regions: list[str] = []


class WireModel(msgspec.Struct, kw_only=True, rename="camel"):
    """A model that the engines of a service serve."""

    name: str


class WireEngine(msgspec.Struct, kw_only=True, rename="camel"):
    """Capabilities of the engines of a service.

    ``most`` limits calls that wait for cache events, ``stride`` is the number of tokens in one
    event, and ``handle_s`` is the time in seconds after which an unused copy is dropped.
    """

    slots: BoundedInt
    kv_cache_tokens: BoundedInt
    kv_token_bytes: BoundedFloat = 0
    link_mbps: BoundedFloat = 0
    moves: bool = False
    stride: BoundedInt = 1
    pin_ms: BoundedFloat = 0
    hold_ms: BoundedFloat = 0
    handle_s: BoundedFloat = 0
    models: list[WireModel] = []


class WireService(msgspec.Struct, kw_only=True, rename="camel"):
    """A service of the configuration."""

    name: str
    health_path: str = "/"
    max_connections: BoundedInt = 0
    cold_start_s: BoundedFloat = 0
    cold_per_s: BoundedFloat = 0
    engine: WireEngine | None = None


class WireLimits(msgspec.Struct, kw_only=True, rename="camel"):
    """Limits that apply to callers."""

    max_header_bytes: BoundedInt = 16384
    max_body_bytes: BoundedInt = 4194304
    header_timeout_ms: BoundedInt = 3000
    idle_timeout_ms: BoundedInt = 15000


class WireTenant(msgspec.Struct, kw_only=True, rename="camel"):
    """A client account; its priority overrides a route's."""

    name: str
    api_keys: list[str] = []
    priority: BoundedInt | None = None
    allowed_regions: list[str] = []


class WireConfiguration(msgspec.Struct, kw_only=True, rename="camel"):
    """The whole configuration."""

    version: BoundedInt
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] = []


class WireServer(msgspec.Struct, kw_only=True, rename="camel"):
    """An upstream's entry in the store; ``sequence`` counts its heartbeats since its start.

    ``born`` is the Unix time of its start in milliseconds. Some upstreams omit it; all other fields
    are required. Unused fields are decoded so that an entry with invalid values in them is refused.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    state: str
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_MS)]
    sequence: Count
    born: UnixMillis | msgspec.UnsetType = msgspec.UNSET


class WireRun(msgspec.Struct, kw_only=True, array_like=True):
    """A run in a report; an array, whose further items are ignored."""

    id: str
    tokens: Amount
    events: Count


class WireReport(msgspec.Struct, kw_only=True, rename="camel"):
    """An engine's report of its load, which lags behind its actual state.

    ``kv_cache_used`` is the memory that cannot be freed, and ``born`` the Unix time in milliseconds
    at which the incarnation that answers was started.
    """

    waiting: Count = 0
    running: Count = 0
    kv_cache_used: Amount = 0
    kv_cache_total: Amount = 0
    state: str = ""
    leaves_ms: BoundedFloat | None = msgspec.field(default=None, name="leaves_ms")
    runs: list[WireRun] = []
    born: BoundedInt | msgspec.UnsetType = msgspec.UNSET


class WireMove(msgspec.Struct, kw_only=True, rename="camel"):
    """Request to an engine to copy a run's memory to another engine."""

    id: str
    to: str
    last: bool


class WireMoved(msgspec.Struct, kw_only=True, rename="camel"):
    """A completed copy; ``created_rev`` is the number of events the run has produced so far."""

    handle: str = ""
    created_rev: Count = 0
