"""Orders to engines, sent by one controller per group of engines that holds a store lease."""

from __future__ import annotations

from tanagerscale.fleet._controller import FleetController
from tanagerscale.fleet._lease import ControlLease
from tanagerscale.fleet._lease import HeldLease
from tanagerscale.fleet._plan import PlannedOrder
from tanagerscale.fleet._plan import plan_orders

__all__ = ["ControlLease", "FleetController", "HeldLease", "PlannedOrder", "plan_orders"]
