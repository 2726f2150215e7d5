"""Benchmarks, log analysis and the code generator; not part of the package."""

from __future__ import annotations
