"""Runs one host on the platform."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import signal
import sys
from typing import Final

from returns.result import Failure

from tanagerscale.core import Clock
from tanagerscale.core import JsonLinesHandler
from tanagerscale.core import get_logger
from tanagerscale.core import log_tasks
from tanagerscale.core import set_up_json_lines_log
from tanagerscale.gateway import GatewayHost
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.platform._edges import make_edges
from tanagerscale.settings import read_gateway_settings

SETTINGS_VARIABLE: Final = "TANAGERSCALE_CONFIG"
"""The platform puts the path of the settings file there."""

BAD_SETTINGS: Final = 2
"""Exit status, as for any command whose input is wrong."""

_log = get_logger(part="host")


async def _run(path: Path, settings: GatewaySettings) -> None:
    clock = Clock()
    lines = set_up_json_lines_log(
        descriptor=sys.stdout.fileno(),
        host=settings.host.id,
        lines_per_s=settings.logs.lines_per_s,
        clock=clock,
    )
    host = GatewayHost(
        settings=settings, edges=make_edges(settings=settings, clock=clock), clock=clock
    )
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path, host, lines)
    loop.add_signal_handler(signal.SIGUSR1, log_tasks)
    await host.start()
    await stopped.wait()
    await host.stop()


def _reload(path: Path, host: GatewayHost, lines: JsonLinesHandler) -> None:
    """Put a changed settings file in force, as far as a running host can."""
    result = read_gateway_settings(path=path)
    if isinstance(result, Failure):
        for error in result.failure():
            _log.error("The changed settings are refused; the old ones stay.", detail=str(error))
        return
    settings = result.unwrap()
    lines.set_limit(lines_per_s=settings.logs.lines_per_s)
    host.reload(settings=settings)


def main() -> None:
    """Read the settings and serve until a planned stop."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    result = read_gateway_settings(path=path)
    if isinstance(result, Failure):
        for error in result.failure():
            print(error, file=sys.stderr)
        sys.exit(BAD_SETTINGS)
    asyncio.run(_run(path, result.unwrap()))


if __name__ == "__main__":
    main()
