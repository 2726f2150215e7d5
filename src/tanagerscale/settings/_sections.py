"""Reads an INI file into a generated type."""

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
from tanagerscale.ini import find_closest
from tanagerscale.ini import read_sections

_Settings = TypeVar("_Settings", bound=msgspec.Struct)

SectionCheck = Callable[[IniSection, dict[str, Any]], list[InputError]]
"""Returns the errors in a section that the types of its fields can't express."""


def read_struct(
    *, path: Path, struct: type[_Settings], check: SectionCheck
) -> Result[_Settings, tuple[InputError, ...]]:
    """Read an INI file whose sections are the fields of a type.

    :param path: INI file to read.
    :param struct: Generated type whose fields define the allowed sections.
    :param check: Additional check, called with each known section and its converted values.
    :returns: The settings, or all errors in the file.
    """
    sections, errors = read_sections(path=path)
    section_fields = {info.name: info for info in msgspec.structs.fields(struct)}
    values: dict[str, dict[str, Any]] = {}
    for section in sections:
        if section.title not in section_fields:
            allowed = f"one of the sections {', '.join(section_fields)}"
            suggestion = find_closest(name=section.title, known_names=list(section_fields))
            errors.append(section.error(allowed=allowed, suggestion=suggestion))
            continue
        converted, new_errors = convert_section(
            section=section, struct=section_fields[section.title].type
        )
        values[section.title] = converted
        errors.extend(new_errors)
        errors.extend(check(section, converted))
    for name, info in section_fields.items():
        if info.required and name not in values:
            errors.append(InputError(file=path, allowed=f"the section [{name}] is required"))
    if errors:
        return Failure(tuple(errors))
    return Success(msgspec.convert(values, struct))
