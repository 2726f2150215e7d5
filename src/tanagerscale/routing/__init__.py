"""Assignment of generations to engines: cells of engines, their owner hosts and the router."""

from __future__ import annotations

from tanagerscale.routing._cells import Cell
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._cells import make_cells
from tanagerscale.routing._cells import select_owner
from tanagerscale.routing._protocol import PeerNetwork
from tanagerscale.routing._protocol import Placement
from tanagerscale.routing._protocol import PoolScheduler
from tanagerscale.routing._protocol import Router
from tanagerscale.routing._protocol import UpstreamAvailability
from tanagerscale.routing._router import PoolRouter

__all__ = [
    "Cell",
    "CellId",
    "PeerNetwork",
    "Placement",
    "PoolRouter",
    "PoolScheduler",
    "Router",
    "UpstreamAvailability",
    "make_cells",
    "select_owner",
]
