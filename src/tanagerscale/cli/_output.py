"""Output for people and for programs."""

from __future__ import annotations

from collections.abc import Sequence
import sys
from typing import Any
from typing import final

import msgspec
from rich.console import Console
from rich.table import Table

PLAIN_WIDTH = 160


@final
class Output:
    """Writes results to standard output and progress to standard error.

    :param as_json: Whether results are one JSON document instead of tables.
    """

    def __init__(self, *, as_json: bool) -> None:
        self._as_json = as_json
        # Without a terminal, lines are not broken to a guessed width.
        width = None if sys.stdout.isatty() else PLAIN_WIDTH
        self._out = Console(file=sys.stdout, width=width, highlight=False, soft_wrap=True)
        self._err = Console(file=sys.stderr, width=width, highlight=False, soft_wrap=True)

    @property
    def as_json(self) -> bool:
        """Whether a program reads the output."""
        return self._as_json

    def document(self, value: Any) -> None:
        """Print the command's result for programs; people see nothing."""
        if self._as_json:
            sys.stdout.write(msgspec.json.encode(value, enc_hook=str).decode() + "\n")

    def line(self, text: str) -> None:
        """Print a line for people."""
        if not self._as_json:
            self._out.print(text, markup=False)

    def table(self, *, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        """Print a table for people."""
        if self._as_json:
            return
        table = Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        self._out.print(table, markup=False)

    def progress(self, text: str) -> None:
        """Tell people that something takes its time."""
        if not self._as_json:
            self._err.print(text, markup=False)

    def text(self, text: str) -> None:
        """Print a piece of a streamed answer without a line break."""
        sys.stdout.write(text)
        sys.stdout.flush()
