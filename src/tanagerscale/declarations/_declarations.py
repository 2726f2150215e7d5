"""The declarations of one revision, ready for use."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any
from typing import cast
from typing import final

from tanagerscale.core import ClientAccountId
from tanagerscale.core import ModelId
from tanagerscale.core import Revision
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.declarations._chunks import ChunkedSections
from tanagerscale.declarations._sections import decode_section
from tanagerscale.declarations._sections import to_sections
from tanagerscale.generated.declarations import Adapter
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.declarations import Service
from tanagerscale.generated.records import SectionDelta

_Typed = Mapping[str, Mapping[str, Any]]


@final
class Declarations:
    """A validated set with indexes, immutable.

    :param revision: Its revision; 0 before anything was ever accepted.
    :param chunked: Its sections.
    :param typed: Typed sections by kind and name; decoded from ``chunked`` when left out.
    :raises ValueError: When a section doesn't fit the schema.
    """

    __slots__ = ("_chunked", "_revision", "_typed")

    def __init__(
        self, *, revision: Revision, chunked: ChunkedSections, typed: _Typed | None = None
    ) -> None:
        self._revision = revision
        self._chunked = chunked
        self._typed = typed if typed is not None else _decode_all(chunked.sections())

    @property
    def revision(self) -> Revision:
        """The revision; hosts only ever take a higher one."""
        return self._revision

    @property
    def digest(self) -> str:
        """Digest of the whole set."""
        return self._chunked.digest

    @property
    def chunked(self) -> ChunkedSections:
        """The sections as they are kept in the store."""
        return self._chunked

    @property
    def objective(self) -> Objective:
        """What the operators weigh."""
        return cast(Objective, self._typed.get("objective", {}).get("", Objective()))

    @property
    def models(self) -> Mapping[ModelId, Model]:
        """Models by id."""
        return cast(Mapping[ModelId, Model], self._of("model"))

    @property
    def adapters(self) -> Mapping[str, Adapter]:
        """Adapters by name."""
        return self._of("adapter")

    @property
    def accounts(self) -> Mapping[ClientAccountId, ClientAccount]:
        """Client accounts by id."""
        return cast(Mapping[ClientAccountId, ClientAccount], self._of("account"))

    @property
    def engines(self) -> Mapping[UpstreamId, Engine]:
        """Engines by id."""
        return cast(Mapping[UpstreamId, Engine], self._of("engine"))

    @property
    def services(self) -> Mapping[ServiceId, Service]:
        """Plain services by id."""
        return cast(Mapping[ServiceId, Service], self._of("service"))

    @classmethod
    def empty(cls) -> Declarations:
        """Return the declarations before anything was accepted."""
        return cls(revision=Revision(0), chunked=ChunkedSections.build(sections={}))

    @classmethod
    def from_set(
        cls, *, declarations: DeclarationSet, revision: Revision, present_count: int = 0
    ) -> Declarations:
        """Return a set as it would stand at a revision.

        :param declarations: The set.
        :param revision: The revision.
        :param present_count: Number of chunks of the revision before; 0 when there is none.
        """
        sections = to_sections(declarations=declarations)
        chunked = ChunkedSections.build(sections=sections, present_count=present_count)
        return cls(revision=revision, chunked=chunked)

    def with_delta(
        self, *, revision: Revision, chunked: ChunkedSections, delta: SectionDelta
    ) -> Declarations:
        """Return the next revision, in which only the sections of a delta differ.

        :param revision: The next revision.
        :param chunked: Its sections, verified.
        :param delta: What differs.
        :raises ValueError: When a changed section doesn't fit the schema.
        """
        typed = {word: dict(named) for word, named in self._typed.items()}
        for title in (*delta.put, *delta.removed):
            word, _, name = title.partition(" ")
            typed.get(word, {}).pop(name, None)
        contents = {title: chunked.section(title=title) for title in delta.put}
        for word, named in _decode_all(contents).items():
            typed.setdefault(word, {}).update(named)
        return Declarations(revision=revision, chunked=chunked, typed=typed)

    def _of(self, word: str) -> Mapping[str, Any]:
        return MappingProxyType(cast(dict[str, Any], self._typed.get(word, {})))


def _decode_all(sections: Mapping[str, bytes]) -> dict[str, dict[str, Any]]:
    typed: dict[str, dict[str, Any]] = {}
    for title, content in sections.items():
        decoded = decode_section(title=title, content=content)
        if decoded is not None:
            kind, value = decoded
            typed.setdefault(kind.word, {})[getattr(value, "name", "")] = value
    return typed
