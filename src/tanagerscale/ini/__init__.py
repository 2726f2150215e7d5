"""Reads INI files into generated types and reports each error with its line."""

from __future__ import annotations

from tanagerscale.ini._address import check_address
from tanagerscale.ini._convert import convert_section
from tanagerscale.ini._convert import find_closest
from tanagerscale.ini._errors import InputError
from tanagerscale.ini._sections import IniSection
from tanagerscale.ini._sections import read_sections

__all__ = [
    "IniSection",
    "InputError",
    "check_address",
    "convert_section",
    "find_closest",
    "read_sections",
]
