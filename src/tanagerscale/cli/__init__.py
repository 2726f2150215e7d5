"""Command-line interface for operators and callers."""

from __future__ import annotations

from tanagerscale.cli._exit import ExitCode
from tanagerscale.cli._main import main

__all__ = ["ExitCode", "main"]
