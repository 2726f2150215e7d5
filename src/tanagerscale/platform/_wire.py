"""Wire format of the platform's request and response bodies, used only in this package.

Fields keep the platform's names, converted from camel case by ``rename``. Unknown fields are
ignored because later versions may add some. Docstrings explain fields whose names are unclear.
"""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Final

import msgspec

_MAX_MS: Final = 86_400_000
"""One day, more than any duration in these bodies; a larger number is invalid."""


class WireItem(msgspec.Struct, kw_only=True, rename="camel"):
    """An entry of the store; ``value`` is base64 on the wire."""

    key: str
    revision: int
    value: bytes = b""
    created_rev: int = 0
    lease: int = 0
    deleted: bool = False
    as_of: int = 0


class WireRange(msgspec.Struct, kw_only=True, rename="camel"):
    """Entries under a prefix; ``as_of`` is the revision of the store."""

    items: list[WireItem] = []
    more_pages: bool = False
    as_of: int = 0


class WireChanges(msgspec.Struct, kw_only=True, rename="camel"):
    """Result of a watch; ``as_of`` is the revision after which the next watch continues."""

    events: list[WireItem] = []
    as_of: int = 0


class WireLease(msgspec.Struct, kw_only=True, rename="camel"):
    """A lease that was granted or renewed."""

    ttl_ms: int = 0
    lease: int = 0


class WireCommitted(msgspec.Struct, kw_only=True, rename="camel"):
    """A committed transaction."""

    revision: int = 0


class WireSplit(msgspec.Struct, kw_only=True, rename="camel"):
    """One of several services among which a route splits its requests."""

    service: str
    weight: int = 1


class WireRoute(msgspec.Struct, kw_only=True, rename="camel"):
    """A route of the configuration."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: int
    service: str | None = None
    traffic_split: list[WireSplit] = []
    attempts: int = 1
    target_latency_ms: float = 0
    gap_aim_ms: float = 0
    priority: int = 0
    public: bool = False
    resumable: bool = False
    allowed_regions: list[str] = []


class WireModel(msgspec.Struct, kw_only=True, rename="camel"):
    """A model that the engines of a service serve."""

    name: str
    version: int = 1


class WireEngine(msgspec.Struct, kw_only=True, rename="camel"):
    """Capabilities of the engines of a service.

    ``most`` limits calls that wait for cache events, ``stride`` is the number of tokens in one
    event, and ``handle_s`` is the time in seconds after which an unused copy is dropped.
    """

    slots: int
    kv_cache_tokens: int
    kv_token_bytes: float = 0
    link_mbps: float = 0
    moves: bool = False
    stride: int = 1
    pin_ms: float = 0
    hold_ms: float = 0
    handle_s: float = 0
    models: list[WireModel] = []


class WireService(msgspec.Struct, kw_only=True, rename="camel"):
    """A service of the configuration."""

    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_start_s: float = 0
    cold_per_s: float = 0
    engine: WireEngine | None = None


class WireLimits(msgspec.Struct, kw_only=True, rename="camel"):
    """Limits that apply to callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class WireTenant(msgspec.Struct, kw_only=True, rename="camel"):
    """A client account; its priority overrides a route's."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None
    allowed_regions: list[str] = []


class WireConfiguration(msgspec.Struct, kw_only=True, rename="camel"):
    """The whole configuration."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    tenants: list[WireTenant] = []


_Count = Annotated[int, msgspec.Meta(ge=0)]
_Timestamp = Annotated[int, msgspec.Meta(gt=0, lt=2**53)]
"""Unix milliseconds. JSON writers may not represent numbers from 2**53 upwards exactly."""


class WireServer(msgspec.Struct, kw_only=True, rename="camel"):
    """An upstream's entry in the store; ``sequence`` counts its heartbeats since its start.

    ``born`` is the Unix time of its start in milliseconds. Some upstreams omit it; all other fields
    are required. Unused fields are decoded so that an entry with invalid values in them is refused.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=_MAX_MS)]
    sequence: _Count
    born: _Timestamp | msgspec.UnsetType = msgspec.UNSET


class WireReport(msgspec.Struct, kw_only=True, rename="camel"):
    """An engine's report of its load, which lags behind its actual state.

    ``next`` is the number of tokens of the first waiting request, and ``kv_cache_used`` is the
    memory that cannot be freed. Each item of ``runs`` holds a request id, the run's tokens in
    memory, the number of events it has produced and its priority. ``born`` is the Unix time in
    milliseconds at which the incarnation that answers was started.
    """

    waiting: int = 0
    running: int = 0
    kv_cache_used: float = 0
    kv_cache_total: float = 0
    handles: int = 0
    state: str = ""
    leaves_ms: float | None = msgspec.field(default=None, name="leaves_ms")
    next: float = 0
    pinned: float = 0
    held: float = 0
    runs: list[list[Any]] = []
    born: int | msgspec.UnsetType = msgspec.UNSET


class WireMove(msgspec.Struct, kw_only=True, rename="camel"):
    """Request to an engine to copy a run's memory to another engine."""

    id: str
    to: str
    last: bool


class WireMoved(msgspec.Struct, kw_only=True, rename="camel"):
    """A completed copy; ``created_rev`` is the number of events the run has produced so far."""

    handle: str = ""
    created_rev: int = 0
