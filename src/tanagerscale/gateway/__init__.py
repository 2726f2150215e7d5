"""A host that forwards by routes: its parts, joined and ended in order."""

from __future__ import annotations

from tanagerscale.gateway._edges import Edges
from tanagerscale.gateway._host import GatewayHost

__all__ = ["Edges", "GatewayHost"]
