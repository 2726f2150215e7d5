"""Conversion of the values of a section to the fields of a generated type."""

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

MIN_SIMILARITY = 0.6


@cache
def _get_fields(struct: type[msgspec.Struct]) -> dict[str, msgspec.structs.FieldInfo]:
    return {info.name: info for info in msgspec.structs.fields(struct)}


@cache
def _get_value_type(struct: type[msgspec.Struct], key: str) -> inspect.Type:
    return inspect.type_info(_get_fields(struct)[key].type)


def convert_section(
    *, section: IniSection, struct: type[msgspec.Struct], preset: dict[str, Any] | None = None
) -> tuple[dict[str, Any], list[InputError]]:
    """Convert the values of a section to the types of the fields.

    :param section: Section to convert.
    :param struct: Generated type whose fields define the allowed keys.
    :param preset: Values of fields that are not keys, such as the name in the section's title.
    :returns: Converted values by field, and the errors of the section.
    """
    preset = preset or {}
    known = [name for name in _get_fields(struct) if name not in preset]
    values: dict[str, Any] = dict(preset)
    errors: list[InputError] = []
    misspelled_keys: set[str] = set()
    for key, text in section.values.items():
        if key not in known:
            allowed = f"one of the keys {', '.join(known)}"
            suggestion = find_closest(name=key, known_names=known)
            misspelled_keys.add(suggestion)
            errors.append(section.error(key=key, allowed=allowed, suggestion=suggestion))
            continue
        try:
            values[key] = _convert(text=text or "", struct=struct, key=key)
        except (msgspec.ValidationError, ValueError):
            described = _describe(_get_value_type(struct, key))
            errors.append(section.error(key=key, found=text or "", allowed=described))
    for name in known:
        missing = name not in section.values and name not in misspelled_keys
        if _get_fields(struct)[name].required and missing:
            described = _describe(_get_value_type(struct, name))
            allowed = f"this key is required: {described}"
            errors.append(section.error(key=name, allowed=allowed))
    return values, errors


def find_closest(*, name: str, known_names: Collection[str]) -> str:
    """Return the known name that is most similar to a name.

    :param name: Name as written in the file.
    :param known_names: Names to choose from.
    :returns: The closest known name; empty if the similarity of all is below ``MIN_SIMILARITY``.
    """
    matches = difflib.get_close_matches(name.lower(), known_names, n=1, cutoff=MIN_SIMILARITY)
    return matches[0] if matches else ""


def _convert(*, text: str, struct: type[msgspec.Struct], key: str) -> Any:
    value_type = _get_fields(struct)[key].type
    if isinstance(_strip_metadata(_get_value_type(struct, key)), inspect.ListType):
        return msgspec.convert(_split_list(text), value_type, strict=False)
    value = msgspec.convert(text, value_type, strict=False)
    if isinstance(value, float) and not math.isfinite(value):
        raise ValueError(key)
    return value


def _split_list(text: str) -> list[str]:
    parts = (part.strip() for line in text.splitlines() for part in line.split(","))
    return [part for part in parts if part]


def _strip_metadata(value_type: inspect.Type) -> inspect.Type:
    while isinstance(value_type, inspect.Metadata):
        value_type = value_type.type
    return value_type


def _describe(value_type: inspect.Type) -> str:
    note = ""
    if isinstance(value_type, inspect.Metadata):
        schema = value_type.extra_json_schema or {}
        note = str(schema.get("description", "")).rstrip(".")
    words = _describe_type(_strip_metadata(value_type))
    return f"{words} ({note})" if note else words


def _describe_type(value_type: inspect.Type) -> str:
    match value_type:
        case inspect.EnumType():
            return f"one of {', '.join(member.value for member in value_type.cls)}"
        case inspect.IntType():
            return f"a whole number{_describe_bounds(value_type)}"
        case inspect.FloatType():
            return f"a number{_describe_bounds(value_type)}"
        case inspect.BoolType():
            return "true or false"
        case inspect.ListType():
            minimum = f"at least {value_type.min_length}, " if value_type.min_length else ""
            return f"a list, {minimum}separated by commas or lines"
        case inspect.StrType(pattern=str() as pattern):
            return f"text that matches {pattern}"
        case inspect.StrType(min_length=int()):
            return "text that is not empty"
    return "text"


def _describe_bounds(number: inspect.IntType | inspect.FloatType) -> str:
    pairs: Iterable[tuple[str, int | float | None]] = (
        ("at least", number.ge),
        ("more than", number.gt),
        ("at most", number.le),
        ("less than", number.lt),
    )
    return "".join(f", {words} {bound:g}" for words, bound in pairs if bound is not None)
