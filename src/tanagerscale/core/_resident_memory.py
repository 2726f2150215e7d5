"""Resident memory of the process."""

from __future__ import annotations

import os
from typing import Final
from typing import final

_STATUS_FILE: Final = "/proc/self/statm"
_MAX_STATUS_BYTES: Final = 128
_RESIDENT_FIELD: Final = 1


@final
class ResidentMemory:
    """Reads the resident memory of the process from a file that stays open."""

    def __init__(self) -> None:
        self._page_bytes = os.sysconf("SC_PAGE_SIZE")
        try:
            self._descriptor: int | None = os.open(_STATUS_FILE, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            # Some systems do not have this file.
            self._descriptor = None

    def __del__(self) -> None:
        """Close the file."""
        if self._descriptor is not None:
            os.close(self._descriptor)

    def read(self) -> int | None:
        """Return the resident memory in bytes; ``None`` if the system does not tell it."""
        if self._descriptor is None:
            return None
        try:
            fields = os.pread(self._descriptor, _MAX_STATUS_BYTES, 0).split()
            return int(fields[_RESIDENT_FIELD]) * self._page_bytes
        except (OSError, ValueError, IndexError):
            return None
