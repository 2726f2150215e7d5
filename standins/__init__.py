"""Stand-ins for external systems, used by the tests and the demo; not part of the package."""

from __future__ import annotations
