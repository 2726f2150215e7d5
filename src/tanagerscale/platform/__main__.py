"""Runs one host on the platform."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
import sys
from typing import Final

from returns.result import Failure

from tanagerscale.core import defer_signals
from tanagerscale.gateway import ExitCode
from tanagerscale.gateway import SettingsFile
from tanagerscale.gateway import open_standard_descriptors
from tanagerscale.gateway import run_host
from tanagerscale.gateway import write_error_line
from tanagerscale.platform._factory import make_platform

SETTINGS_VARIABLE: Final = "TANAGERSCALE_CONFIG"
"""Environment variable in which the platform passes the path of the settings file."""


def main() -> None:
    """Read the settings and serve until a signal requests a graceful shutdown."""
    defer_signals()
    open_standard_descriptors()
    try:
        code = _read_and_run()
    except (Exception, SystemExit) as error:
        exit_code = error.code if isinstance(error, SystemExit) else ExitCode.ERROR.value
        write_error_line(f"The process ends by {error!r}. Exit code {exit_code}.")
        raise
    sys.exit(code)


def _read_and_run() -> ExitCode:
    path = os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        write_error_line(f"Set {SETTINGS_VARIABLE} to the path of the settings file.")
        return ExitCode.BAD_SETTINGS
    file = SettingsFile(path=Path(path))
    result = file.read_at_start(report=write_error_line)
    if isinstance(result, Failure):
        write_error_line(
            f"The process ends, as the settings in {path} stay invalid. "
            f"Exit code {ExitCode.BAD_SETTINGS.value}."
        )
        return ExitCode.BAD_SETTINGS
    return asyncio.run(run_host(file=file, settings=result.unwrap(), make_platform=make_platform))


if __name__ == "__main__":
    main()
