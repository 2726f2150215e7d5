"""The platform's bodies as they stand on the wire; only this folder sees these types.

Fields keep the platform's names, turned from camel case by ``rename``; unknown ones are ignored, as
new ones may come. Where such a name says little, its type's docstring tells what it holds.
"""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Final

import msgspec

_MOST_MS: Final = 86_400_000
"""A day, more than any span of time in these bodies; a number beyond it was not meant."""


class WireItem(msgspec.Struct, kw_only=True, rename="camel"):
    """An entry of the store; ``value`` is base64."""

    key: str
    revision: int
    value: bytes = b""
    created_rev: int = 0
    lease: int = 0
    deleted: bool = False
    as_of: int = 0


class WireRange(msgspec.Struct, kw_only=True, rename="camel"):
    """Entries under a prefix; ``as_of`` is the store's revision."""

    items: list[WireItem] = []
    more_pages: bool = False
    as_of: int = 0


class WireChanges(msgspec.Struct, kw_only=True, rename="camel"):
    """What a watch returns; ``as_of`` is where the next one goes on."""

    events: list[WireItem] = []
    as_of: int = 0


class WireLease(msgspec.Struct, kw_only=True, rename="camel"):
    """A lease that was made or renewed."""

    ttl_ms: int = 0
    lease: int = 0


class WireCommitted(msgspec.Struct, kw_only=True, rename="camel"):
    """A transaction that was carried out."""

    revision: int = 0


class WireSplit(msgspec.Struct, kw_only=True, rename="camel"):
    """One service of a route that sends to several."""

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
    """A model that the engines of a service have."""

    name: str
    version: int = 1


class WireEngine(msgspec.Struct, kw_only=True, rename="camel"):
    """What the engines of a service can do.

    ``most`` bounds calls that wait for cache events, ``stride`` is the tokens of one event, and
    ``handle_s`` the time in seconds after which an unused copy is dropped.
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
    """What clients may send."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15000


class WireTenant(msgspec.Struct, kw_only=True, rename="camel"):
    """A client account; its priority goes before a route's."""

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
_Moment = Annotated[int, msgspec.Meta(gt=0, lt=2**53)]
"""Numbers from 2 to the power of 53 on are not exact in all JSON writers."""


class WireServer(msgspec.Struct, kw_only=True, rename="camel"):
    """An upstream's own entry in the store; ``sequence`` counts its heartbeats since its start.

    ``born`` is the Unix millisecond of its start. Some upstreams don't tell it; all else is always
    there. Fields that nothing uses are decoded so that an entry with others in their place is
    refused.
    """

    service: str
    address: str
    zone: str
    version: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=_MOST_MS)]
    sequence: _Count
    born: _Moment | msgspec.UnsetType = msgspec.UNSET


class WireReport(msgspec.Struct, kw_only=True, rename="camel"):
    """An engine's late report of itself.

    ``next`` is the tokens of the first waiting request, ``kv_cache_used`` the memory that can't be
    freed, and each of ``runs`` an id, its tokens in memory, its events made and its priority.
    ``born`` is the Unix millisecond of the start that answers.
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
    """Asks an engine to copy a run's memory to another engine."""

    id: str
    to: str
    last: bool


class WireMoved(msgspec.Struct, kw_only=True, rename="camel"):
    """A copy that is complete; ``created_rev`` is the number of events made so far."""

    handle: str = ""
    created_rev: int = 0
