"""Translation between the platform's wire formats and the project's own types."""

from __future__ import annotations

from tanagerscale.platform._factory import make_platform

__all__ = ["make_platform"]
