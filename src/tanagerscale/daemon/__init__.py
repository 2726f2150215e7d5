"""The host's process: composition root and life cycle."""

from __future__ import annotations

from tanagerscale.daemon._admission import DoorKeeper
from tanagerscale.daemon._limits import HostLimits
from tanagerscale.daemon._main import main
from tanagerscale.daemon._notes import GateNotes
from tanagerscale.daemon._notes import NoCrashWatch
from tanagerscale.daemon._scheduling import HostSchedulers

__all__ = ["DoorKeeper", "GateNotes", "HostLimits", "HostSchedulers", "NoCrashWatch", "main"]
