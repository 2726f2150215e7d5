"""Command line of the daemon, and its lifecycle from start to graceful shutdown."""

from __future__ import annotations

import asyncio
from pathlib import Path
import signal
import sys

import fire
from fire.decorators import SetParseFns
from returns.result import Failure
from returns.result import Success

from tanagerscale.core import get_logger
from tanagerscale.core import log_tasks
from tanagerscale.core import set_up_logging
from tanagerscale.daemon._host import HostProcess
from tanagerscale.generated.settings import HostSettings
from tanagerscale.settings import read_settings

EXIT_BAD_SETTINGS = 2

_log = get_logger(part="daemon")


def main() -> None:
    """Run ``tanagerscaled --settings FILE``."""
    # The complete command line is parsed before the host starts.
    path = fire.Fire(_settings_path, name="tanagerscaled", serialize=lambda _path: None)
    if isinstance(path, Path):
        serve(settings=path)


@SetParseFns(settings=str)
def _settings_path(*, settings: str) -> Path:
    """Serve as one host until SIGTERM or SIGINT.

    :param settings: INI file with the host's settings.
    """
    return Path(settings)


def serve(*, settings: Path) -> None:
    """Serve as one host until SIGTERM or SIGINT.

    :param settings: INI file with the host's settings.
    :raises SystemExit: If the settings are invalid, with status ``EXIT_BAD_SETTINGS``.
    """
    match read_settings(path=settings):
        case Success(checked):
            set_up_logging(settings=checked.log)
            asyncio.run(_serve(checked))
        case Failure(errors):
            for error in errors:
                print(error, file=sys.stderr)
            sys.exit(EXIT_BAD_SETTINGS)


async def _serve(settings: HostSettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, log_tasks)
    host = HostProcess(settings=settings)
    addresses = await host.start()
    print(f"listening callers={addresses.callers} peers={addresses.peers}", flush=True)
    await stop.wait()
    _log.notice("Graceful shutdown started.")
    await host.stop()
    _log.notice("Host stopped.")
