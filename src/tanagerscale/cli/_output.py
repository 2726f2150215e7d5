"""Output of commands as text or as JSON."""

from __future__ import annotations

from collections.abc import Sequence
import sys
from typing import Any
from typing import final

import msgspec
from rich.console import Console
from rich.table import Table

DEFAULT_WIDTH = 160


@final
class Output:
    """Writes results to standard output and progress messages to standard error.

    :param as_json: Whether results are written as one JSON document instead of text and tables.
    """

    def __init__(self, *, as_json: bool) -> None:
        self._as_json = as_json
        # Without a terminal, a fixed width replaces the one that rich would guess.
        width = None if sys.stdout.isatty() else DEFAULT_WIDTH
        self._out = Console(file=sys.stdout, width=width, highlight=False, soft_wrap=True)
        self._err = Console(file=sys.stderr, width=width, highlight=False, soft_wrap=True)

    @property
    def as_json(self) -> bool:
        """Whether results are written as JSON."""
        return self._as_json

    def document(self, value: Any) -> None:
        """Print the command's result as JSON; does nothing in text mode."""
        if self._as_json:
            sys.stdout.write(msgspec.json.encode(value, enc_hook=str).decode() + "\n")

    def line(self, text: str) -> None:
        """Print a line of text; does nothing in JSON mode."""
        if not self._as_json:
            self._out.print(text, markup=False)

    def table(self, *, columns: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
        """Print a table; does nothing in JSON mode."""
        if self._as_json:
            return
        table = Table(box=None, pad_edge=False, header_style="bold")
        for column in columns:
            table.add_column(column, overflow="fold")
        for row in rows:
            table.add_row(*(str(cell) for cell in row))
        self._out.print(table, markup=False)

    def progress(self, text: str) -> None:
        """Print a progress message to standard error; does nothing in JSON mode."""
        if not self._as_json:
            self._err.print(text, markup=False)

    def text(self, text: str) -> None:
        """Print a fragment of a streamed answer without a line break, in either mode."""
        sys.stdout.write(text)
        sys.stdout.flush()
