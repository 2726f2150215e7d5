"""Sections grouped into chunks whose keys are digests of their content.

The hash of a section's title decides in which chunk it stands, so that a change of one section
changes one chunk, and the number of chunks stays the same until the whole grows or shrinks a lot.
"""

from __future__ import annotations

import base64
from collections.abc import Mapping
from collections.abc import Sequence
import hashlib
from typing import final

import msgspec

from tanagerscale.declarations._sections import DECODE_ERRORS
from tanagerscale.generated.records import SectionDelta

TARGET_CHUNK_BYTES = 64 * 1024
MIN_AVERAGE_BYTES = 16 * 1024
MAX_AVERAGE_BYTES = 128 * 1024
CHUNK_DIGEST_BYTES = 12
TOTAL_DIGEST_BYTES = 24
TITLE_HASH_BYTES = 8


class ChunkError(ValueError):
    """A chunk's content is not what its digest promises."""


def digest_of(content: bytes) -> str:
    """Return the digest that is a chunk's key."""
    raw = hashlib.blake2b(content, digest_size=CHUNK_DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")


def choose_count(*, total_bytes: int, present: int) -> int:
    """Choose a number of chunks, a power of two.

    :param total_bytes: Size of all sections.
    :param present: Number in use; it is kept while the chunks' average size is tolerable.
    """
    if present and MIN_AVERAGE_BYTES <= total_bytes / present <= MAX_AVERAGE_BYTES:
        return present
    count = 1
    while total_bytes > count * TARGET_CHUNK_BYTES:
        count *= 2
    return count


def _index_of(*, title: str, count: int) -> int:
    raw = hashlib.blake2b(title.encode(), digest_size=TITLE_HASH_BYTES).digest()
    return int.from_bytes(raw, "big") % count


def _encode(bucket: Mapping[str, bytes]) -> bytes:
    return msgspec.json.encode({title: msgspec.Raw(bucket[title]) for title in sorted(bucket)})


def _decode(*, content: bytes, index: int, count: int) -> dict[str, bytes]:
    try:
        decoded = msgspec.json.decode(content, type=dict[str, msgspec.Raw])
        bucket = {title: bytes(raw) for title, raw in decoded.items()}
        canonical = _encode(bucket) == content
    except DECODE_ERRORS as error:
        raise ChunkError(str(error)) from error
    if not canonical or any(_index_of(title=title, count=count) != index for title in bucket):
        raise ChunkError("The chunk holds sections that belong elsewhere.")
    return bucket


@final
class ChunkedSections:
    """All sections of one revision, immutable.

    :param buckets: Sections by title, chunk by chunk.
    :param digests: The chunks' digests.
    """

    __slots__ = ("_buckets", "_digests")

    def __init__(
        self, *, buckets: Sequence[Mapping[str, bytes]], digests: Sequence[str] | None = None
    ) -> None:
        self._buckets = tuple(buckets)
        self._digests = tuple(digests or (digest_of(_encode(bucket)) for bucket in buckets))

    @property
    def digests(self) -> tuple[str, ...]:
        """Digests of the chunks, in order."""
        return self._digests

    @property
    def digest(self) -> str:
        """Digest over all chunks."""
        raw = hashlib.blake2b("\n".join(self._digests).encode(), digest_size=TOTAL_DIGEST_BYTES)
        return base64.urlsafe_b64encode(raw.digest()).decode()

    @classmethod
    def build(cls, *, sections: Mapping[str, bytes], present_count: int = 0) -> ChunkedSections:
        """Group sections into chunks.

        :param sections: JSON by title.
        :param present_count: Number of chunks of the revision before; 0 when there is none.
        """
        total = sum(len(title) + len(content) for title, content in sections.items())
        count = choose_count(total_bytes=total, present=present_count)
        buckets: list[dict[str, bytes]] = [{} for _ in range(count)]
        for title, content in sections.items():
            buckets[_index_of(title=title, count=count)][title] = content
        return cls(buckets=buckets)

    @classmethod
    def decode(
        cls, *, digests: Sequence[str], chunks: Mapping[str, bytes], present: ChunkedSections
    ) -> ChunkedSections:
        """Put chunks together.

        :param digests: The chunks' digests, in order.
        :param chunks: Content by digest, at least of those that ``present`` lacks.
        :param present: An earlier revision, whose equal chunks are taken over.
        :raises ChunkError: When a chunk isn't what its digest promises.
        :raises KeyError: When a chunk is missing.
        """
        buckets: list[Mapping[str, bytes]] = []
        for index, digest in enumerate(digests):
            if len(present.digests) == len(digests) and present.digests[index] == digest:
                buckets.append(present._buckets[index])
                continue
            content = chunks[digest]
            if digest_of(content) != digest:
                raise ChunkError(f"The chunk {digest} has been altered.")
            buckets.append(_decode(content=content, index=index, count=len(digests)))
        return cls(buckets=buckets, digests=digests)

    def lacks(self, *, digests: Sequence[str]) -> tuple[str, ...]:
        """Return which chunks of another revision can't be taken over from this one."""
        if len(digests) != len(self._digests):
            return tuple(dict.fromkeys(digests))
        pairs = zip(digests, self._digests, strict=True)
        return tuple(dict.fromkeys(wanted for wanted, here in pairs if wanted != here))

    def chunk(self, *, digest: str) -> bytes:
        """Return the content of one chunk."""
        return _encode(self._buckets[self._digests.index(digest)])

    def section(self, *, title: str) -> bytes:
        """Return the JSON of one section."""
        return self._buckets[_index_of(title=title, count=len(self._buckets))][title]

    def sections(self) -> dict[str, bytes]:
        """Return all sections by title."""
        return {title: content for bucket in self._buckets for title, content in bucket.items()}

    def with_delta(self, *, delta: SectionDelta) -> ChunkedSections:
        """Return these sections with some replaced, added or removed."""
        count = len(self._buckets)
        buckets: dict[int, dict[str, bytes]] = {}

        def bucket_of(title: str) -> dict[str, bytes]:
            index = _index_of(title=title, count=count)
            if index not in buckets:
                buckets[index] = dict(self._buckets[index])
            return buckets[index]

        for title, value in delta.put.items():
            bucket_of(title)[title] = msgspec.json.encode(value)
        for title in delta.removed:
            bucket_of(title).pop(title, None)
        changed = {index: digest_of(_encode(bucket)) for index, bucket in buckets.items()}
        return ChunkedSections(
            buckets=[buckets.get(index, old) for index, old in enumerate(self._buckets)],
            digests=[changed.get(index, old) for index, old in enumerate(self._digests)],
        )
