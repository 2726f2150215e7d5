"""Construction of the platform adapters that a host uses."""

from __future__ import annotations

from typing import Final

from tanagerscale.core import Clock
from tanagerscale.gateway import Platform
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.platform._callers import PlatformCallers
from tanagerscale.platform._configuration import CONFIGURATION_KEY
from tanagerscale.platform._configuration import OPERATOR_PREFIX
from tanagerscale.platform._configuration import decode_configuration
from tanagerscale.platform._configuration import parse_evacuated_domain
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._registry import REGISTRY_PREFIX
from tanagerscale.platform._registry import decode_entry
from tanagerscale.platform._registry import parse_upstream_name
from tanagerscale.platform._store import PlatformStore
from tanagerscale.policy import get_read_buffer_bytes
from tanagerscale.policy import make_byte_account
from tanagerscale.upstreams import DEAD_PEER_TIMEOUT_S
from tanagerscale.upstreams import READ_BUFFER_BYTES
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import ExchangeLog

STORE_SILENCE_TIMEOUT_S: Final = 3
"""Time within which TCP probes detect a silent connection to the store; a probe costs no call.
A configuration must be in force two seconds after that."""


def make_platform(*, settings: GatewaySettings, clock: Clock) -> Platform:
    """Return the adapters to the platform.

    :param settings: The host's settings.
    :param clock: Clock for the timeouts of connections.
    """
    exchange_log = ExchangeLog()
    account = make_byte_account(settings.host.memory_mb)
    read_bytes = get_read_buffer_bytes(settings.host.memory_mb, usual_bytes=READ_BUFFER_BYTES)

    def make_pool(silence_s: int, source_ip: str = "") -> ConnectionPool:
        return ConnectionPool(
            clock=clock,
            dead_peer_timeout_s=silence_s,
            source_ip=source_ip,
            read_buffer_bytes=read_bytes,
            log=exchange_log,
            account=account,
        )

    store_pool = make_pool(STORE_SILENCE_TIMEOUT_S)
    upstream_pool = make_pool(DEAD_PEER_TIMEOUT_S, settings.host.source_ip)

    async def close() -> None:
        store_pool.close()
        upstream_pool.close()

    return Platform(
        store=PlatformStore(address=settings.store.address, pool=store_pool),
        upstreams=PlatformUpstreams(pool=upstream_pool),
        operator_prefix=OPERATOR_PREFIX,
        configuration_key=CONFIGURATION_KEY,
        decode_configuration=decode_configuration,
        parse_evacuated_domain=parse_evacuated_domain,
        registry_prefix=REGISTRY_PREFIX,
        decode_entry=decode_entry,
        parse_upstream_name=parse_upstream_name,
        callers=PlatformCallers(),
        close=close,
        exchange_log=exchange_log,
        account=account,
    )
