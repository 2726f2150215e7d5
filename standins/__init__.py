"""Stand-ins for the outside systems, for tests and the demo; not part of the package."""

from __future__ import annotations
