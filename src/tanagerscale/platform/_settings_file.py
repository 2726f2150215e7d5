"""Reading the settings file of a process."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Final
from typing import final

from returns.result import Failure
from returns.result import Result

from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.ini import InputError
from tanagerscale.settings import read_gateway_settings

MAX_REPORTED_ERRORS: Final = 20
"""Errors of one file that are reported each time."""


@final
class SettingsFile:
    """The settings file of a process.

    :param path: Path of the file.
    """

    def __init__(self, *, path: Path) -> None:
        self.path = path

    def read(self) -> Result[GatewaySettings, tuple[InputError, ...]]:
        """Return the settings, or all errors in the file."""
        return read_gateway_settings(path=self.path)

    def read_at_start(
        self, *, report: Callable[[str], None]
    ) -> Result[GatewaySettings, tuple[InputError, ...]]:
        """Read the settings.

        :param report: Receives one line for each error.
        :returns: The settings, or all errors in the file.
        """
        result = self.read()
        if isinstance(result, Failure):
            for error in result.failure()[:MAX_REPORTED_ERRORS]:
                report(f"The settings are invalid: {error}")
        return result
