"""The platform as the product's edges."""

from __future__ import annotations

from typing import Final

from tanagerscale.core import Clock
from tanagerscale.gateway import Edges
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.platform._callers import PlatformCallers
from tanagerscale.platform._configuration import CONFIGURATION_KEY
from tanagerscale.platform._configuration import OPERATOR_PREFIX
from tanagerscale.platform._configuration import decode_configuration
from tanagerscale.platform._configuration import evacuated_domain
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._registry import REGISTRY_PREFIX
from tanagerscale.platform._registry import decode_entry
from tanagerscale.platform._registry import name_of
from tanagerscale.platform._store import PlatformStore
from tanagerscale.upstreams import DEAD_PEER_TIMEOUT_S
from tanagerscale.upstreams import ConnectionPool

CONNECT_TIMEOUT_MS: Final = 400
"""Longest wait for a connection. It takes 3 ms between failure domains, and a lost first packet is
sent again only after a second, so trying another upstream is quicker."""

IDLE_MS: Final = 3000
"""How long an idle connection is counted on when its upstream does not tell."""


STORE_SILENCE_S: Final = 3
"""Connections to the store that went silent are found within this time, by probes that cost no
call. A configuration must be in force two seconds after that."""


def make_edges(*, settings: GatewaySettings, clock: Clock) -> Edges:
    """Return the platform as a host sees it.

    :param settings: The host's settings.
    :param clock: Time.
    """

    def pool(silence_s: int) -> ConnectionPool:
        return ConnectionPool(
            clock=clock,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            idle_ms=IDLE_MS,
            dead_peer_timeout_s=silence_s,
        )

    store_pool = pool(STORE_SILENCE_S)
    upstream_pool = pool(DEAD_PEER_TIMEOUT_S)

    async def close() -> None:
        store_pool.close()
        upstream_pool.close()

    return Edges(
        store=PlatformStore(address=settings.store.address, pool=store_pool),
        upstreams=PlatformUpstreams(pool=upstream_pool),
        operator_prefix=OPERATOR_PREFIX,
        configuration_key=CONFIGURATION_KEY,
        decode_configuration=decode_configuration,
        evacuated_domain=evacuated_domain,
        registry_prefix=REGISTRY_PREFIX,
        decode_entry=decode_entry,
        name_of=name_of,
        callers=PlatformCallers(),
        close=close,
    )
