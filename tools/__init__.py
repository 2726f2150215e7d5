"""Benches, measurements and the generator of types; not part of the package."""

from __future__ import annotations
