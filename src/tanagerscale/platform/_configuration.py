"""Decoding of the configuration that operators write."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import ClientAccountId
from tanagerscale.core import FailureDomainId
from tanagerscale.core import ModelId
from tanagerscale.core import RegionId
from tanagerscale.core import Revision
from tanagerscale.core import ServiceId
from tanagerscale.core import decode_json
from tanagerscale.platform._wire import WireConfiguration
from tanagerscale.platform._wire import WireEngine
from tanagerscale.platform._wire import WireRoute
from tanagerscale.platform._wire import WireService
from tanagerscale.platform._wire import WireTenant
from tanagerscale.routes import Account
from tanagerscale.routes import CallerLimits
from tanagerscale.routes import Configuration
from tanagerscale.routes import EngineCapabilities
from tanagerscale.routes import Route
from tanagerscale.routes import RouteId
from tanagerscale.routes import RouteKind
from tanagerscale.routes import Service
from tanagerscale.routes import Target

OPERATOR_PREFIX: Final = "op/"
"""Prefix of the store keys that operators write."""

CONFIGURATION_KEY: Final = "op/config"
EVACUATION_PREFIX: Final = "op/evacuate/"

MS_PER_SECOND = 1000
_KINDS = {
    "safe": RouteKind.IDEMPOTENT,
    "unsafe": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAMING,
}


def parse_evacuated_domain(key: str) -> FailureDomainId | None:
    """Return the failure domain that a key evacuates while it exists, regardless of its value.

    :param key: A key of the store.
    :returns: The failure domain, or ``None`` if the key is not an evacuation key.
    """
    domain = key.removeprefix(EVACUATION_PREFIX)
    return FailureDomainId(domain) if domain and domain != key else None


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Decode the value stored under the configuration's key.

    :param value: JSON text.
    :returns: The configuration, or the reason why it cannot be decoded.
    """
    decoded = decode_json(value, WireConfiguration)
    if isinstance(decoded, Failure):
        cause = decoded.failure()
        return Failure(f"The configuration can't be read ({cause}); the older one stays in force.")
    wire = decoded.unwrap()
    limits = wire.limits
    return Success(
        Configuration(
            version=Revision(wire.version),
            routes=tuple(_to_route(route) for route in wire.routes),
            services=tuple(_to_service(service) for service in wire.services),
            accounts=tuple(_to_account(tenant) for tenant in wire.tenants),
            limits=CallerLimits(
                header_bytes=limits.max_header_bytes,
                body_bytes=limits.max_body_bytes,
                header_timeout_ms=limits.header_timeout_ms,
                idle_timeout_ms=limits.idle_timeout_ms,
            ),
        )
    )


def _to_route(wire: WireRoute) -> Route:
    targets = tuple(
        Target(service=ServiceId(split.service), weight=split.weight)
        for split in wire.traffic_split
        if split.weight > 0
    )
    if wire.service is not None:
        targets = (Target(service=ServiceId(wire.service), weight=1),)
    return Route(
        name=RouteId(wire.name),
        host=wire.host.lower(),
        path_prefix=wire.path_prefix,
        # A kind added by a later version is handled as the strictest known kind.
        kind=_KINDS.get(wire.kind, RouteKind.NON_IDEMPOTENT),
        targets=targets,
        attempts=wire.attempts,
        timeout_ms=wire.timeout_ms,
        target_ms=int(wire.target_latency_ms),
        gap_ms=int(wire.gap_aim_ms),
        priority=wire.priority,
        public=wire.public,
        resumable=wire.resumable,
        regions=_to_regions(wire.allowed_regions),
    )


def _to_service(wire: WireService) -> Service:
    return Service(
        name=ServiceId(wire.name),
        health_path=wire.health_path,
        max_connections=wire.max_connections,
        engine=None if wire.engine is None else _to_capabilities(wire.engine),
        warmup_ms=int(wire.cold_start_s * MS_PER_SECOND),
        warmup_requests_per_s=wire.cold_per_s,
    )


def _to_capabilities(wire: WireEngine) -> EngineCapabilities:
    return EngineCapabilities(
        max_batch=wire.slots,
        memory_tokens=wire.kv_cache_tokens,
        token_bytes=int(wire.kv_token_bytes),
        link_mbps=wire.link_mbps,
        can_move=wire.moves,
        tokens_per_event=wire.stride,
        copy_ttl_ms=int(wire.handle_s * MS_PER_SECOND),
        pin_ms=int(wire.pin_ms),
        hold_ms=int(wire.hold_ms),
        models=tuple(ModelId(model.name) for model in wire.models),
    )


def _to_account(wire: WireTenant) -> Account:
    return Account(
        name=ClientAccountId(wire.name),
        keys=tuple(wire.api_keys),
        priority=wire.priority,
        regions=_to_regions(wire.allowed_regions),
    )


def _to_regions(names: Sequence[str]) -> frozenset[RegionId]:
    return frozenset(RegionId(name) for name in names)
