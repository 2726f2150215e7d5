"""Orders to engines, given by one controller for each group of engines under a store lease."""

from __future__ import annotations

from tanagerscale.fleet._controller import FleetController
from tanagerscale.fleet._lease import ControlLease
from tanagerscale.fleet._lease import Hold
from tanagerscale.fleet._plan import PlannedOrder
from tanagerscale.fleet._plan import plan_orders

__all__ = ["ControlLease", "FleetController", "Hold", "PlannedOrder", "plan_orders"]
