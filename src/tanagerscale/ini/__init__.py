"""INI files read into generated types, with every error placed at its line."""

from __future__ import annotations

from tanagerscale.ini._address import address_problem
from tanagerscale.ini._convert import convert_section
from tanagerscale.ini._convert import nearest
from tanagerscale.ini._errors import InputError
from tanagerscale.ini._sections import IniSection
from tanagerscale.ini._sections import read_sections

__all__ = [
    "IniSection",
    "InputError",
    "address_problem",
    "convert_section",
    "nearest",
    "read_sections",
]
