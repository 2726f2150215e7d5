"""Lifecycle of the process of a host, from its validated settings to its exit code."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import Final
from typing import Protocol

from returns.result import Failure

from tanagerscale.core import Clock
from tanagerscale.core import JsonLinesHandler
from tanagerscale.core import get_logger
from tanagerscale.core import handle_signals
from tanagerscale.core import hold_signals
from tanagerscale.core import run_contained
from tanagerscale.core import set_up_json_lines_log
from tanagerscale.gateway._host import GatewayHost
from tanagerscale.gateway._listener import ListenError
from tanagerscale.gateway._platform import Platform
from tanagerscale.gateway._process_end import ExitCode
from tanagerscale.gateway._process_end import check_descriptors
from tanagerscale.gateway._settings_file import SettingsFile
from tanagerscale.generated.gateway import GatewaySettings

STANDARD_OUTPUT: Final = 1

_log = get_logger(part="host")


class PlatformFactory(Protocol):
    """Makes the adapters to a platform."""

    def __call__(self, *, settings: GatewaySettings, clock: Clock) -> Platform:
        """Return the adapters."""


async def run_host(
    *, file: SettingsFile, settings: GatewaySettings, make_platform: PlatformFactory
) -> ExitCode:
    """Run a host until a signal requests a graceful shutdown, or an error ends it.

    :param file: The settings file, which is read again as it changes.
    :param settings: The validated settings.
    :param make_platform: Returns the adapters to the platform.
    :returns: The exit code of the process.
    """
    clock = Clock()
    line_log = set_up_json_lines_log(
        descriptor=STANDARD_OUTPUT,
        host=settings.host.id,
        lines_per_s=settings.logs.lines_per_s,
        clock=clock,
    )
    try:
        check_descriptors()
        host = GatewayHost(
            settings=settings,
            platform=make_platform(settings=settings, clock=clock),
            clock=clock,
            count_dropped_lines=lambda: line_log.dropped_lines,
        )
        await _serve(file, host, line_log)
    except ListenError as error:
        return _log_error(error, ExitCode.BAD_SETTINGS)
    except (Exception, SystemExit) as error:
        return _log_error(error, ExitCode.ERROR)
    finally:
        hold_signals()
        line_log.flush()
    return ExitCode.STOPPED


async def _serve(file: SettingsFile, host: GatewayHost, line_log: JsonLinesHandler) -> None:
    """Start the host, serve until a signal requests a graceful shutdown, and shut down."""
    stop_requested = asyncio.Event()
    reload = partial(run_contained, "settings", partial(_reload, file, host, line_log))
    handle_signals(stop=stop_requested.set, reload=reload)
    start = asyncio.create_task(host.start(), name="start")
    stop = asyncio.create_task(stop_requested.wait(), name="stop")
    await asyncio.wait((start, stop), return_when=asyncio.FIRST_COMPLETED)
    if not start.done():
        start.cancel()
        await asyncio.wait((start,))
    if start.cancelled():
        _log.info("The host is stopped as it starts.", exit_code=ExitCode.STOPPED.value)
        return
    await start
    changes = asyncio.create_task(file.follow_changes(apply=reload), name="settings")
    await stop
    changes.cancel()
    await host.stop()


def _log_error(error: BaseException, code: ExitCode) -> ExitCode:
    """Log the error that ends the process, and return the exit code."""
    _log.critical(
        "The process ends by an error.",
        reason=repr(error) if code is ExitCode.ERROR else str(error),
        exit_code=code.value,
        exc_info=code is ExitCode.ERROR,
    )
    return code


def _reload(file: SettingsFile, host: GatewayHost, line_log: JsonLinesHandler) -> None:
    """Apply a changed settings file, as far as a running host can."""
    result = file.read()
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
