"""Files to which upstream stand-ins append their executions, so that they survive a crash."""

from __future__ import annotations

import os
from pathlib import Path
from typing import final

import msgspec
from msgspec import Struct


class Execution(Struct, frozen=True, kw_only=True):
    """One execution that an upstream started.

    :param id: Attempt id of a generation, or idempotency key of a booking.
    :param tag: Name that the caller gave it in the prompt or the body.
    """

    id: str
    tag: str = ""


@final
class Journal:
    """Appends executions to a file.

    :param path: Path of the file; empty disables the journal.
    """

    def __init__(self, *, path: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o600) if path else None

    def record(self, execution: Execution) -> None:
        """Append an execution; called before it has any effect.

        :param execution: Execution to append.
        """
        if self._file is not None:
            # One system call per line, so that a killed process leaves no partial line.
            os.write(self._file, msgspec.json.encode(execution) + b"\n")


def read_journal(path: Path) -> list[Execution]:
    """Return the executions of an upstream across all its restarts.

    :param path: Path of the file; a missing one is read as empty.
    """
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=Execution) for line in path.read_bytes().splitlines()]
