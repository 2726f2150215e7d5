"""Runs one host on the platform."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import os
from pathlib import Path
import signal
import sys
from typing import Final

from returns.result import Failure

from tanagerscale.core import Clock
from tanagerscale.core import get_logger
from tanagerscale.core import set_up_line_log
from tanagerscale.gateway import CallerRules
from tanagerscale.gateway import CallerServer
from tanagerscale.gateway import Edges
from tanagerscale.gateway import GatewayHost
from tanagerscale.gateway import Serve
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.platform._callers import PlatformCallers
from tanagerscale.platform._callers import serve_readiness
from tanagerscale.platform._configuration import CONFIGURATION_KEY
from tanagerscale.platform._configuration import decode_configuration
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._registry import REGISTRY_PREFIX
from tanagerscale.platform._registry import decode_entry
from tanagerscale.platform._registry import upstream_of
from tanagerscale.platform._store import PlatformStore
from tanagerscale.settings import read_gateway_settings
from tanagerscale.upstreams import ConnectionPool

SETTINGS_VARIABLE: Final = "TANAGERSCALE_CONFIG"

CONNECT_TIMEOUT_MS: Final = 400
"""Longest wait for a connection. It takes 3 ms between failure domains, and a lost first packet is
sent again only after a second, so trying another upstream is quicker."""

IDLE_MS: Final = 3000
"""How long an idle connection is counted on when its upstream does not tell."""

BAD_SETTINGS: Final = 2
"""Exit status, as for any command whose input is wrong."""

_log = get_logger(part="host")


def _edges(settings: GatewaySettings, clock: Clock) -> Edges:
    def pool() -> ConnectionPool:
        return ConnectionPool(clock=clock, connect_timeout_ms=CONNECT_TIMEOUT_MS, idle_ms=IDLE_MS)

    async def callers(serve: Serve, rules: CallerRules, address: str) -> CallerServer:
        server = PlatformCallers(serve=serve, rules=rules, clock=clock)
        await server.start(address=address)
        return server

    async def readiness(is_ready: Callable[[], bool], address: str) -> None:
        await serve_readiness(is_ready=is_ready, address=address)

    return Edges(
        store=PlatformStore(address=settings.store.address, pool=pool()),
        upstreams=PlatformUpstreams(pool=pool()),
        configuration_key=CONFIGURATION_KEY,
        decode_configuration=decode_configuration,
        registry_prefix=REGISTRY_PREFIX,
        decode_entry=decode_entry,
        upstream_of=upstream_of,
        serve_callers=callers,
        serve_readiness=readiness,
    )


async def _run(settings: GatewaySettings) -> None:
    clock = Clock()
    set_up_line_log(
        descriptor=sys.stdout.fileno(),
        host=settings.host.id,
        lines_per_s=settings.logs.lines_per_s,
        clock=clock,
    )
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _log.info("The settings file may be new."))
    host = GatewayHost(settings=settings, edges=_edges(settings, clock), clock=clock)
    await host.start()
    await stopped.wait()
    await host.stop()


def main() -> None:
    """Read the settings and serve until a planned stop."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    result = read_gateway_settings(path=path)
    if isinstance(result, Failure):
        for error in result.failure():
            print(error, file=sys.stderr)
        sys.exit(BAD_SETTINGS)
    asyncio.run(_run(result.unwrap()))


if __name__ == "__main__":
    main()
