"""Which engine runs a generation: pools, their owner hosts, and the way to ask them."""

from __future__ import annotations

from tanagerscale.routing._protocol import Placement
from tanagerscale.routing._protocol import Router

__all__ = ["Placement", "Router"]
