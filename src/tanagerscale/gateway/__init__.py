"""A host that forwards by routes: its parts, joined and ended in order."""

from __future__ import annotations

from tanagerscale.gateway._edges import CallerRules
from tanagerscale.gateway._edges import CallerServer
from tanagerscale.gateway._edges import Edges
from tanagerscale.gateway._edges import Serve
from tanagerscale.gateway._host import GatewayHost

__all__ = ["CallerRules", "CallerServer", "Edges", "GatewayHost", "Serve"]
