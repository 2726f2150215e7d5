"""Conversion of declarations to and from sections, one JSON object for each INI section.

The title of a section is the text between the brackets, such as ``objective`` or ``engine e1``.
"""

from __future__ import annotations

from collections.abc import Mapping
from functools import cache
from typing import Any
from typing import final
from typing import get_args

import msgspec
from msgspec import Struct

from tanagerscale.generated.declarations import DeclarationSet

# Raised by msgspec if JSON is malformed, doesn't match its type or is nested too deeply.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


@final
class SectionKind(Struct, frozen=True, kw_only=True):
    """A kind of section, as defined by the schema of the declarations.

    :param keyword: First word of the title.
    :param field: Field of ``DeclarationSet`` that holds the sections of this kind.
    :param struct: Generated type of the section.
    :param named: Whether the title includes a name, so that the kind may occur several times.
    :param required: Whether a set must have at least one section of this kind.
    """

    keyword: str
    field: str
    struct: type[msgspec.Struct]
    named: bool
    required: bool


@cache
def get_section_kinds() -> Mapping[str, SectionKind]:
    """Return the section kinds by keyword, derived from the generated types."""
    kinds = {}
    for info in msgspec.structs.fields(DeclarationSet):
        element = get_args(info.type)
        keyword = info.name.removesuffix("s") if element else info.name
        kinds[keyword] = SectionKind(
            keyword=keyword,
            field=info.name,
            struct=element[0] if element else info.type,
            named=bool(element),
            required=info.required,
        )
    return kinds


def format_title(*, kind: SectionKind, name: str) -> str:
    """Return the title of a section.

    :param kind: Kind of the section.
    :param name: Name of the section; ignored if the kind is unnamed.
    """
    return f"{kind.keyword} {name}" if kind.named else kind.keyword


def parse_title(*, title: str) -> tuple[SectionKind | None, str]:
    """Return the kind and name in a title; the kind is ``None`` if it is unknown."""
    keyword, _, name = title.partition(" ")
    return get_section_kinds().get(keyword), name.strip()


def encode_sections(*, declarations: DeclarationSet) -> dict[str, bytes]:
    """Return the JSON of each section of a set by title."""
    sections = {}
    for kind in get_section_kinds().values():
        value = getattr(declarations, kind.field)
        for item in value if kind.named else [value]:
            title = format_title(kind=kind, name=getattr(item, "name", ""))
            sections[title] = msgspec.json.encode(item)
    return sections


def decode_section(*, title: str, content: bytes) -> tuple[SectionKind, Any] | None:
    """Decode a section.

    :param title: Title of the section.
    :param content: JSON of the section.
    :returns: Kind and typed value; ``None`` if the kind is unknown, as one from a later version is.
    :raises msgspec.MsgspecError: If the content doesn't match the type of its kind.
    :raises ValueError: If the name in the content differs from the name in the title.
    """
    kind, name = parse_title(title=title)
    if kind is None:
        return None
    value = msgspec.json.decode(content, type=kind.struct)
    if kind.named and getattr(value, "name", "") != name:
        raise ValueError(f"The name in the content of section {title!r} differs from the title.")
    return kind, value
