"""Composition and lifecycle of a host that forwards requests by route."""

from __future__ import annotations

from tanagerscale.gateway._host import GatewayHost
from tanagerscale.gateway._listener import ListenError
from tanagerscale.gateway._platform import Platform
from tanagerscale.gateway._process import run_host
from tanagerscale.gateway._process_end import ExitCode
from tanagerscale.gateway._process_end import open_standard_descriptors
from tanagerscale.gateway._process_end import write_error_line
from tanagerscale.gateway._settings_file import SettingsFile

__all__ = [
    "ExitCode",
    "GatewayHost",
    "ListenError",
    "Platform",
    "SettingsFile",
    "open_standard_descriptors",
    "run_host",
    "write_error_line",
]
