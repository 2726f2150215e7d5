"""The host's process: composition root and life cycle."""

from __future__ import annotations

from tanagerscale.daemon._main import main

__all__ = ["main"]
