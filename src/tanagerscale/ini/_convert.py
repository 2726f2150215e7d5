"""Values of a section, converted to the fields of a generated type."""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import difflib
from functools import cache
import math
from typing import Any

import msgspec
from msgspec import inspect

from tanagerscale.ini._errors import InputError
from tanagerscale.ini._sections import IniSection

SIMILAR_ENOUGH = 0.6


@cache
def _fields_of(struct: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    return {info.name: info for info in msgspec.structs.fields(struct)}


@cache
def _value_type(struct: type[msgspec.Struct], key: str) -> inspect.Type:
    return inspect.type_info(_fields_of(struct)[key].type)


def convert_section(
    *, section: IniSection, struct: type[msgspec.Struct], given: dict[str, Any] | None = None
) -> tuple[dict[str, Any], list[InputError]]:
    """Convert the keys of one section.

    :param section: The section.
    :param struct: Generated type whose fields are the keys allowed.
    :param given: Fields that don't come from keys, such as the name in the section's title.
    :returns: Values by field, and all that is wrong with them.
    """
    given = given or {}
    known = [name for name in _fields_of(struct) if name not in given]
    values: dict[str, Any] = dict(given)
    errors: list[InputError] = []
    misspelt: set[str] = set()
    for key, text in section.values.items():
        if key not in known:
            allowed = f"one of the keys {', '.join(known)}"
            suggestion = nearest(name=key, known=known)
            misspelt.add(suggestion)
            errors.append(section.error(key=key, allowed=allowed, suggestion=suggestion))
            continue
        try:
            values[key] = _convert(text=text or "", struct=struct, key=key)
        except (msgspec.ValidationError, ValueError):
            described = _describe(_value_type(struct, key))
            errors.append(section.error(key=key, found=text or "", allowed=described))
    for name in known:
        missing = name not in section.values and name not in misspelt
        if _fields_of(struct)[name].required and missing:
            described = _describe(_value_type(struct, name))
            allowed = f"this key is required: {described}"
            errors.append(section.error(key=name, allowed=allowed))
    return values, errors


def nearest(*, name: str, known: Collection[str]) -> str:
    """Return the known name that is most like the one given, or the empty string."""
    matches = difflib.get_close_matches(name.lower(), known, n=1, cutoff=SIMILAR_ENOUGH)
    return matches[0] if matches else ""


def _convert(*, text: str, struct: type[msgspec.Struct], key: str) -> Any:
    value_type = _fields_of(struct)[key].type
    if isinstance(_bare(_value_type(struct, key)), inspect.ListType):
        return msgspec.convert(_split(text), value_type, strict=False)
    value = msgspec.convert(text, value_type, strict=False)
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(key)
    return value


def _split(text: str) -> list[str]:
    parts = (part.strip() for line in text.splitlines() for part in line.split(","))
    return [part for part in parts if part]


def _bare(value_type: inspect.Type) -> inspect.Type:
    while isinstance(value_type, inspect.Metadata):
        value_type = value_type.type
    return value_type


def _describe(value_type: inspect.Type) -> str:
    note = ""
    if isinstance(value_type, inspect.Metadata):
        schema = value_type.extra_json_schema or {}
        note = str(schema.get("description", "")).rstrip(".")
    words = _describe_bare(_bare(value_type))
    return f"{words} ({note})" if note else words


def _describe_bare(value_type: inspect.Type) -> str:
    match value_type:
        case inspect.EnumType():
            return f"one of {', '.join(member.value for member in value_type.cls)}"
        case inspect.IntType():
            return f"a whole number{_bounds(value_type)}"
        case inspect.FloatType():
            return f"a number{_bounds(value_type)}"
        case inspect.BoolType():
            return "true or false"
        case inspect.ListType():
            least = f"at least {value_type.min_length}, " if value_type.min_length else ""
            return f"a list, {least}separated by commas or lines"
        case inspect.StrType(pattern=str() as pattern):
            return f"text that matches {pattern}"
        case inspect.StrType(min_length=int()):
            return "text that is not empty"
    return "text"


def _bounds(number: inspect.IntType | inspect.FloatType) -> str:
    pairs: Iterable[tuple[str, int | float | None]] = (
        ("at least", number.ge),
        ("more than", number.gt),
        ("at most", number.le),
        ("less than", number.lt),
    )
    return "".join(f", {words} {bound:g}" for words, bound in pairs if bound is not None)
