"""Reads the settings of a host from an INI file."""

from __future__ import annotations

from tanagerscale.settings._gateway import get_regions_by_domain
from tanagerscale.settings._gateway import read_gateway_settings
from tanagerscale.settings._read import read_settings

__all__ = ["get_regions_by_domain", "read_gateway_settings", "read_settings"]
