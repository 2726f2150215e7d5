"""Reading the settings file of a process that starts, while the file may be being written."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
import time
from typing import Final
from typing import final

from returns.result import Failure
from returns.result import Result

from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.ini import InputError
from tanagerscale.settings import read_gateway_settings

READ_INTERVAL_S: Final = 0.1
"""How often an invalid file is read again; a host is ready within a second after its repair."""

UNCHANGED_LIMIT_S: Final = 5.0
"""How long an invalid file may stay unchanged before the process ends. Whoever writes the file does
so in a much shorter time."""

UNTERMINATED_LIMIT_S: Final = 0.3
"""How long a valid file without a line feed at its end must stay unchanged before it is used."""

MAX_REPORTED_ERRORS: Final = 20
"""Errors of one file that are reported each time."""


CHECK_INTERVAL_S: Final = 0.5
CHECKS_AFTER_START: Final = 20
"""Checks for a change after the start: a file that was read while it was being written may be valid
without its last sections, and no signal tells of the rest."""


@final
class SettingsFile:
    """The settings file of a process.

    :param path: Path of the file.
    """

    def __init__(self, *, path: Path) -> None:
        self.path = path
        self._state = self._get_state()
        """State of the file before it was last read."""

    def read(self) -> Result[GatewaySettings, tuple[InputError, ...]]:
        """Return the settings, or all errors in the file."""
        self._state = self._get_state()
        return read_gateway_settings(path=self.path)

    def read_at_start(
        self, *, report: Callable[[str], None]
    ) -> Result[GatewaySettings, tuple[InputError, ...]]:
        """Read the settings, and read them again while the file is invalid or cut, and changes.

        :param report: Receives one line for each error, whenever the errors change.
        :returns: The settings, or the errors of a file that stayed as it is.
        """
        reported: tuple[str, ...] = ()
        unchanged_since = time.monotonic()
        while True:
            is_terminated = self._is_terminated()
            result = self.read()
            limit_s = UNTERMINATED_LIMIT_S
            if isinstance(result, Failure):
                limit_s = UNCHANGED_LIMIT_S
                errors = tuple(str(error) for error in result.failure()[:MAX_REPORTED_ERRORS])
                if errors != reported:
                    reported = errors
                    for error in errors:
                        report(f"The settings are invalid and are read again: {error}")
            elif is_terminated:
                return result
            if time.monotonic() - unchanged_since > limit_s:
                return result
            time.sleep(READ_INTERVAL_S)
            if self.has_changed():
                unchanged_since = time.monotonic()

    def has_changed(self) -> bool:
        """Return whether the file was written or replaced since it was last read."""
        return self._get_state() != self._state

    async def follow_changes(self, *, apply: Callable[[], object]) -> None:
        """Look for changes of the file during the first seconds after the start.

        :param apply: Reads the file and applies it.
        """
        for _ in range(CHECKS_AFTER_START):
            if self.has_changed():
                apply()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_terminated(self) -> bool:
        """Return whether the file ends with a line feed; if not, it may be cut within a value."""
        try:
            return self.path.read_bytes().endswith(b"\n")
        except (OSError, ValueError):
            return False

    def _get_state(self) -> tuple[int, ...] | None:
        """Return what changes with each write or replacement; ``None`` without the file."""
        try:
            status = self.path.stat()
        except (OSError, ValueError):
            return None
        return status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns
