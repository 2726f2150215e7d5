"""A serving system for generations of unknown length on crowded engines."""

from __future__ import annotations

__version__ = "0.1.0"
