"""Errors in input files, with their location."""

from __future__ import annotations

from pathlib import Path
from typing import final

from msgspec import Struct

MAX_FOUND_CHARS = 120


@final
class InputError(Struct, frozen=True, kw_only=True):
    """An error in an input file.

    :param file: Path of the file.
    :param line: Line number, starting at 1; 0 if the error has no line.
    :param section: Title of the section; empty if the error is outside a section.
    :param key: Key with the invalid value; empty if the error does not concern a key.
    :param found: The invalid value; empty if there is none or it may be a secret.
    :param allowed: Description of valid values.
    :param suggestion: Closest known name; empty if no name is similar.
    """

    file: Path
    line: int = 0
    section: str = ""
    key: str = ""
    found: str = ""
    allowed: str
    suggestion: str = ""

    def __str__(self) -> str:
        """Return a one-line message for the operator."""
        location = f"{self.file}:{self.line}" if self.line else str(self.file)
        parts = [f"{location}:"]
        if self.section:
            parts.append(f"[{self.section}]")
        if self.key:
            parts.append(f"{self.key}:")
        if self.found:
            parts.append(f"found {_truncate(self.found)!r};")
        parts.append(f"allowed: {self.allowed}.")
        if self.suggestion:
            parts.append(f"Did you mean {self.suggestion!r}?")
        return " ".join(parts)


def _truncate(text: str) -> str:
    return text if len(text) <= MAX_FOUND_CHARS else f"{text[:MAX_FOUND_CHARS]}…"
