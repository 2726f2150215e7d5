"""INI sections read into a generated type."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Any
from typing import TypeVar

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.ini import IniSection
from tanagerscale.ini import InputError
from tanagerscale.ini import convert_section
from tanagerscale.ini import nearest
from tanagerscale.ini import read_sections

_Settings = TypeVar("_Settings", bound=msgspec.Struct)

Check = Callable[[IniSection, dict[str, Any]], list[InputError]]
"""Looks for mistakes in a section that its types don't show."""


def read_struct(
    *, path: Path, struct: type[_Settings], check: Check
) -> Result[_Settings, tuple[InputError, ...]]:
    """Read a file whose sections are the fields of a type.

    :param path: INI file.
    :param struct: Generated type; each field is a section.
    :param check: Looks at each section that could be converted.
    :returns: The settings, or everything that is wrong with them.
    """
    sections, errors = read_sections(path=path)
    kinds = {info.name: info for info in msgspec.structs.fields(struct)}
    values: dict[str, dict[str, Any]] = {}
    for section in sections:
        if section.title not in kinds:
            allowed = f"one of the sections {', '.join(kinds)}"
            suggestion = nearest(name=section.title, known=list(kinds))
            errors.append(section.error(allowed=allowed, suggestion=suggestion))
            continue
        converted, mistakes = convert_section(section=section, struct=kinds[section.title].type)
        values[section.title] = converted
        errors.extend(mistakes)
        errors.extend(check(section, converted))
    for name, info in kinds.items():
        if info.required and name not in values:
            errors.append(InputError(file=path, allowed=f"the section [{name}] is required"))
    if errors:
        return Failure(tuple(errors))
    return Success(msgspec.convert(values, struct))
