"""Settings of one host, read from an INI file."""

from __future__ import annotations

from tanagerscale.settings._gateway import read_gateway_settings
from tanagerscale.settings._gateway import regions_of
from tanagerscale.settings._read import read_settings

__all__ = ["read_gateway_settings", "read_settings", "regions_of"]
