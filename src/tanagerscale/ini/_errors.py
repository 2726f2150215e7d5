"""What is wrong with an input file, and where."""

from __future__ import annotations

from pathlib import Path
from typing import final

from msgspec import Struct

MAX_SHOWN = 120


@final
class InputError(Struct, frozen=True, kw_only=True):
    """One mistake in an input file.

    :param file: The file.
    :param line: Line, counted from 1; 0 when the mistake has no line.
    :param section: Section as written between the brackets, or the empty string.
    :param key: Key, or the empty string.
    :param found: What stands there.
    :param allowed: What may stand there.
    :param suggestion: The nearest known name, or the empty string.
    """

    file: Path
    line: int = 0
    section: str = ""
    key: str = ""
    found: str = ""
    allowed: str
    suggestion: str = ""

    def __str__(self) -> str:
        """Return the mistake as one line for a person."""
        place = f"{self.file}:{self.line}" if self.line else str(self.file)
        parts = [f"{place}:"]
        if self.section:
            parts.append(f"[{self.section}]")
        if self.key:
            parts.append(f"{self.key}:")
        if self.found:
            parts.append(f"found {_shorten(self.found)!r};")
        parts.append(f"allowed: {self.allowed}.")
        if self.suggestion:
            parts.append(f"Did you mean {self.suggestion!r}?")
        return " ".join(parts)


def _shorten(text: str) -> str:
    return text if len(text) <= MAX_SHOWN else f"{text[:MAX_SHOWN]}…"
