"""Differences between two sets of sections."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from enum import unique
from typing import Any
from typing import final

import msgspec
from msgspec import Struct

from tanagerscale.generated.records import SectionDelta

SECRET_KEYS = frozenset({"key_hash"})
MAX_VALUE_LENGTH = 80


@unique
class ChangeKind(Enum):
    """How a section changed."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


@final
class Change(Struct, frozen=True, kw_only=True):
    """A difference in one section.

    :param kind: How the section changed.
    :param title: Title of the section.
    :param details: For a changed section, a description of each key that differs; else empty.
    """

    kind: ChangeKind
    title: str
    details: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return a one-line description that contains no secrets."""
        if self.details:
            return f"[{self.title}] {self.kind.value}: {'; '.join(self.details)}"
        return f"[{self.title}] {self.kind.value}"


def diff_sections(
    *, old: Mapping[str, bytes], new: Mapping[str, bytes]
) -> tuple[tuple[Change, ...], SectionDelta]:
    """Compare two sets of sections.

    :param old: JSON of the old sections by title.
    :param new: JSON of the new sections by title.
    :returns: The changes sorted by title, and the delta that turns ``old`` into ``new``.
    """
    changes = []
    put = {}
    removed = []
    for title in sorted(old.keys() | new.keys()):
        before, after = old.get(title), new.get(title)
        if before == after:
            continue
        if after is None:
            removed.append(title)
            changes.append(Change(kind=ChangeKind.REMOVED, title=title))
            continue
        put[title] = msgspec.json.decode(after)
        if before is None:
            changes.append(Change(kind=ChangeKind.ADDED, title=title))
            continue
        details = _describe_changed_keys(before=msgspec.json.decode(before), after=put[title])
        changes.append(Change(kind=ChangeKind.CHANGED, title=title, details=details))
    return tuple(changes), SectionDelta(put=put, removed=removed)


def _describe_changed_keys(*, before: dict[str, Any], after: dict[str, Any]) -> tuple[str, ...]:
    details = []
    for key in dict.fromkeys((*before, *after)):
        if before.get(key) == after.get(key):
            continue
        if key in SECRET_KEYS:
            details.append(f"{key} replaced")
            continue
        details.append(f"{key} {_format_value(before.get(key))} -> {_format_value(after.get(key))}")
    return tuple(details)


def _format_value(value: Any) -> str:
    if value is None:
        return "default"
    text = ", ".join(map(str, value)) if isinstance(value, list) else str(value)
    return text if len(text) <= MAX_VALUE_LENGTH else f"{text[:MAX_VALUE_LENGTH]}…"
