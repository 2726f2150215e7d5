"""Host process: composition root and lifecycle."""

from __future__ import annotations

from tanagerscale.daemon._adapters import GateHealthRecorder
from tanagerscale.daemon._adapters import NoQuarantine
from tanagerscale.daemon._admission import RequestAdmission
from tanagerscale.daemon._limits import HostAccountLimits
from tanagerscale.daemon._main import main
from tanagerscale.daemon._scheduling import HostSchedulers

__all__ = [
    "GateHealthRecorder",
    "HostAccountLimits",
    "HostSchedulers",
    "NoQuarantine",
    "RequestAdmission",
    "main",
]
