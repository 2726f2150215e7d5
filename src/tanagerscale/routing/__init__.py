"""Which engine runs a generation: cells of engines, their owner hosts, and how to ask them."""

from __future__ import annotations

from tanagerscale.routing._cells import Cell
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._cells import make_cells
from tanagerscale.routing._cells import owner_of
from tanagerscale.routing._protocol import PeerNetwork
from tanagerscale.routing._protocol import Placement
from tanagerscale.routing._protocol import PoolScheduler
from tanagerscale.routing._protocol import Router
from tanagerscale.routing._protocol import UpstreamOpenness
from tanagerscale.routing._router import PoolRouter

__all__ = [
    "Cell",
    "CellId",
    "PeerNetwork",
    "Placement",
    "PoolRouter",
    "PoolScheduler",
    "Router",
    "UpstreamOpenness",
    "make_cells",
    "owner_of",
]
