"""Files in which upstream stand-ins note what they execute, so that it survives their death."""

from __future__ import annotations

import os
from pathlib import Path
from typing import final

import msgspec
from msgspec import Struct


class Execution(Struct, frozen=True, kw_only=True):
    """One thing that an upstream began to execute.

    :param id: Attempt id of a generation, or idempotency key of a booking.
    :param tag: What the caller named it in its prompt or its body.
    """

    id: str
    tag: str = ""


@final
class Journal:
    """Appends executions to a file.

    :param path: The file; the empty text writes nowhere.
    """

    def __init__(self, *, path: str) -> None:
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._file = os.open(path, flags, 0o600) if path else None

    def note(self, execution: Execution) -> None:
        """Write an execution down before it has any effect.

        :param execution: What is executed.
        """
        if self._file is not None:
            # One system call for each line: a killed process leaves whole lines.
            os.write(self._file, msgspec.json.encode(execution) + b"\n")


def read_journal(path: Path) -> list[Execution]:
    """Return what an upstream executed, in all its lives.

    :param path: The file.
    """
    if not path.exists():
        return []
    return [msgspec.json.decode(line, type=Execution) for line in path.read_bytes().splitlines()]
