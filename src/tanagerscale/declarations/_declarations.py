"""The decoded declarations of one revision."""

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
from tanagerscale.declarations._sections import encode_sections
from tanagerscale.generated.declarations import Adapter
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.declarations import Service
from tanagerscale.generated.records import SectionDelta

_TypedSections = Mapping[str, Mapping[str, Any]]


@final
class Declarations:
    """Immutable validated set of declarations, indexed by kind and name.

    :param revision: Revision of the set; 0 if no set has been accepted yet.
    :param chunked: Encoded sections of the set.
    :param typed: Typed sections by kind and name; decoded from ``chunked`` if omitted.
    :raises ValueError: If a section doesn't match the schema.
    """

    __slots__ = ("_chunked", "_revision", "_typed")

    def __init__(
        self, *, revision: Revision, chunked: ChunkedSections, typed: _TypedSections | None = None
    ) -> None:
        self._revision = revision
        self._chunked = chunked
        self._typed = typed if typed is not None else _decode_sections(chunked.sections())

    @property
    def revision(self) -> Revision:
        """Revision of the set; a host replaces it only with a higher one."""
        return self._revision

    @property
    def digest(self) -> str:
        """Digest of the whole set."""
        return self._chunked.digest

    @property
    def chunked(self) -> ChunkedSections:
        """Encoded sections, grouped into chunks as in the store."""
        return self._chunked

    @property
    def objective(self) -> Objective:
        """Weights of the optimization goals; defaults if the set has no objective section."""
        return cast(Objective, self._typed.get("objective", {}).get("", Objective()))

    @property
    def models(self) -> Mapping[ModelId, Model]:
        """Models by id."""
        return cast(Mapping[ModelId, Model], self._get_sections("model"))

    @property
    def adapters(self) -> Mapping[str, Adapter]:
        """Adapters by name."""
        return self._get_sections("adapter")

    @property
    def accounts(self) -> Mapping[ClientAccountId, ClientAccount]:
        """Client accounts by id."""
        return cast(Mapping[ClientAccountId, ClientAccount], self._get_sections("account"))

    @property
    def engines(self) -> Mapping[UpstreamId, Engine]:
        """Engines by id."""
        return cast(Mapping[UpstreamId, Engine], self._get_sections("engine"))

    @property
    def services(self) -> Mapping[ServiceId, Service]:
        """Plain services by id."""
        return cast(Mapping[ServiceId, Service], self._get_sections("service"))

    @classmethod
    def empty(cls) -> Declarations:
        """Return an empty set with revision 0."""
        return cls(revision=Revision(0), chunked=ChunkedSections.build(sections={}))

    @classmethod
    def from_set(
        cls, *, declarations: DeclarationSet, revision: Revision, previous_chunk_count: int = 0
    ) -> Declarations:
        """Build declarations from a set.

        :param declarations: The set.
        :param revision: Revision to give to the set.
        :param previous_chunk_count: Number of chunks of the previous revision; 0 if there is none.
        """
        sections = encode_sections(declarations=declarations)
        chunked = ChunkedSections.build(
            sections=sections, previous_chunk_count=previous_chunk_count
        )
        return cls(revision=revision, chunked=chunked)

    def with_delta(
        self, *, revision: Revision, chunked: ChunkedSections, delta: SectionDelta
    ) -> Declarations:
        """Build the next revision by decoding only the sections that a delta changes.

        :param revision: Number of the next revision.
        :param chunked: Sections of the next revision, already verified against its digests.
        :param delta: Changes from this revision to the next.
        :raises ValueError: If a changed section doesn't match the schema.
        """
        typed = {keyword: dict(named) for keyword, named in self._typed.items()}
        for title in (*delta.put, *delta.removed):
            keyword, _, name = title.partition(" ")
            typed.get(keyword, {}).pop(name, None)
        contents = {title: chunked.section(title=title) for title in delta.put}
        for keyword, named in _decode_sections(contents).items():
            typed.setdefault(keyword, {}).update(named)
        return Declarations(revision=revision, chunked=chunked, typed=typed)

    def _get_sections(self, keyword: str) -> Mapping[str, Any]:
        return MappingProxyType(cast(dict[str, Any], self._typed.get(keyword, {})))


def _decode_sections(sections: Mapping[str, bytes]) -> dict[str, dict[str, Any]]:
    typed: dict[str, dict[str, Any]] = {}
    for title, content in sections.items():
        decoded = decode_section(title=title, content=content)
        if decoded is not None:
            kind, value = decoded
            typed.setdefault(kind.keyword, {})[getattr(value, "name", "")] = value
    return typed
