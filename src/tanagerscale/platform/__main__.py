"""Runs one host on the platform."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import sys
from typing import Final

from returns.result import Failure

from tanagerscale.core import Clock
from tanagerscale.core import JsonLinesHandler
from tanagerscale.core import defer_signals
from tanagerscale.core import get_logger
from tanagerscale.core import handle_signals
from tanagerscale.core import hold_signals
from tanagerscale.core import set_up_json_lines_log
from tanagerscale.gateway import GatewayHost
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.platform._factory import make_platform
from tanagerscale.settings import read_gateway_settings

SETTINGS_VARIABLE: Final = "TANAGERSCALE_CONFIG"
"""Environment variable in which the platform passes the path of the settings file."""

EXIT_BAD_SETTINGS: Final = 2
"""Exit status for invalid settings, as for any command with invalid input."""

_log = get_logger(part="host")


async def _run(path: Path, settings: GatewaySettings) -> None:
    clock = Clock()
    line_log = set_up_json_lines_log(
        descriptor=sys.stdout.fileno(),
        host=settings.host.id,
        lines_per_s=settings.logs.lines_per_s,
        clock=clock,
    )
    host = GatewayHost(
        settings=settings,
        platform=make_platform(settings=settings, clock=clock),
        clock=clock,
        count_dropped_lines=lambda: line_log.dropped_lines,
    )
    stop_requested = asyncio.Event()
    handle_signals(stop=stop_requested.set, reload=lambda: _reload(path, host, line_log))
    try:
        await host.start()
        await stop_requested.wait()
        await host.stop()
    finally:
        hold_signals()
        line_log.flush()


def _reload(path: Path, host: GatewayHost, line_log: JsonLinesHandler) -> None:
    """Apply a changed settings file, as far as a running host can."""
    result = read_gateway_settings(path=path)
    if isinstance(result, Failure):
        for error in result.failure():
            _log.error(
                "The changed settings are invalid; the previous ones stay in force.",
                detail=str(error),
            )
        return
    settings = result.unwrap()
    line_log.set_limit(lines_per_s=settings.logs.lines_per_s)
    host.reload(settings=settings)


def main() -> None:
    """Read the settings and serve until a signal requests a graceful shutdown."""
    defer_signals()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    result = read_gateway_settings(path=path)
    if isinstance(result, Failure):
        for error in result.failure():
            print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    asyncio.run(_run(path, result.unwrap()))


if __name__ == "__main__":
    main()
