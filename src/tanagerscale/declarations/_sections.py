"""Declarations as sections: one piece of JSON for each section of the INI files.

A section's title is the one between the brackets: ``objective`` or ``engine e1``.
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

# What msgspec raises on JSON that is malformed, doesn't fit its type or is nested too deep.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)


@final
class SectionKind(Struct, frozen=True, kw_only=True):
    """A kind of section, as the schema of the declarations has it.

    :param word: First word of the title.
    :param field: Field of ``DeclarationSet``.
    :param struct: Generated type of the section.
    :param named: Whether the title holds a name and the kind may occur often.
    :param required: Whether at least one must be there.
    """

    word: str
    field: str
    struct: type[msgspec.Struct]
    named: bool
    required: bool


@cache
def section_kinds() -> Mapping[str, SectionKind]:
    """Return the kinds of sections by their word, taken from the generated types."""
    kinds = {}
    for info in msgspec.structs.fields(DeclarationSet):
        element = get_args(info.type)
        word = info.name.removesuffix("s") if element else info.name
        kinds[word] = SectionKind(
            word=word,
            field=info.name,
            struct=element[0] if element else info.type,
            named=bool(element),
            required=info.required,
        )
    return kinds


def title_of(*, kind: SectionKind, name: str) -> str:
    """Return the title of a section."""
    return f"{kind.word} {name}" if kind.named else kind.word


def split_title(*, title: str) -> tuple[SectionKind | None, str]:
    """Return a title's kind and name; the kind is ``None`` when it isn't known."""
    word, _, name = title.partition(" ")
    return section_kinds().get(word), name.strip()


def to_sections(*, declarations: DeclarationSet) -> dict[str, bytes]:
    """Return a set as sections, by title."""
    sections = {}
    for kind in section_kinds().values():
        value = getattr(declarations, kind.field)
        for item in value if kind.named else [value]:
            title = title_of(kind=kind, name=getattr(item, "name", ""))
            sections[title] = msgspec.json.encode(item)
    return sections


def decode_section(*, title: str, content: bytes) -> tuple[SectionKind, Any] | None:
    """Decode one section.

    :param title: Its title.
    :param content: Its JSON.
    :returns: Its kind and typed value, or ``None`` for a kind of a later version.
    :raises msgspec.MsgspecError: When the content doesn't fit its kind.
    :raises ValueError: When the section holds another name than its title.
    """
    kind, name = split_title(title=title)
    if kind is None:
        return None
    value = msgspec.json.decode(content, type=kind.struct)
    if kind.named and getattr(value, "name", "") != name:
        raise ValueError(f"The section {title!r} holds another name.")
    return kind, value
