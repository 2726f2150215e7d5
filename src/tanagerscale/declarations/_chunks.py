"""Sections grouped into chunks whose keys are digests of their content.

The hash of a section's title selects its chunk, so a change to one section changes one chunk. The
number of chunks stays the same until the total size changes considerably.
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
MIN_AVERAGE_CHUNK_BYTES = 16 * 1024
MAX_AVERAGE_CHUNK_BYTES = 128 * 1024
CHUNK_DIGEST_BYTES = 12
TOTAL_DIGEST_BYTES = 24
TITLE_HASH_BYTES = 8


class ChunkError(ValueError):
    """The content of a chunk doesn't match its digest, or a section is in the wrong chunk."""


def compute_digest(content: bytes) -> str:
    """Return the digest of a chunk's content, which is the last part of its store key."""
    raw = hashlib.blake2b(content, digest_size=CHUNK_DIGEST_BYTES).digest()
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")


def compute_chunk_count(*, total_bytes: int, current_count: int) -> int:
    """Compute the number of chunks, a power of two.

    :param total_bytes: Total size of all sections.
    :param current_count: Current number of chunks, which is kept while the average chunk size is
        within ``MIN_AVERAGE_CHUNK_BYTES`` and ``MAX_AVERAGE_CHUNK_BYTES``; 0 if there are none.
    """
    if (
        current_count
        and MIN_AVERAGE_CHUNK_BYTES <= total_bytes / current_count <= MAX_AVERAGE_CHUNK_BYTES
    ):
        return current_count
    count = 1
    while total_bytes > count * TARGET_CHUNK_BYTES:
        count *= 2
    return count


def _compute_chunk_index(*, title: str, count: int) -> int:
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
    if not canonical or any(
        _compute_chunk_index(title=title, count=count) != index for title in bucket
    ):
        raise ChunkError(
            "The chunk is not in canonical form or contains sections of another chunk."
        )
    return bucket


@final
class ChunkedSections:
    """Immutable sections of one revision, grouped into chunks.

    :param buckets: For each chunk, its sections by title.
    :param digests: Digests of the chunks; computed from ``buckets`` if omitted.
    """

    __slots__ = ("_buckets", "_digests")

    def __init__(
        self, *, buckets: Sequence[Mapping[str, bytes]], digests: Sequence[str] | None = None
    ) -> None:
        self._buckets = tuple(buckets)
        self._digests = tuple(digests or (compute_digest(_encode(bucket)) for bucket in buckets))

    @property
    def digests(self) -> tuple[str, ...]:
        """Digests of the chunks, by chunk index."""
        return self._digests

    @property
    def digest(self) -> str:
        """Digest of the whole set, computed from the digests of its chunks."""
        raw = hashlib.blake2b("\n".join(self._digests).encode(), digest_size=TOTAL_DIGEST_BYTES)
        return base64.urlsafe_b64encode(raw.digest()).decode()

    @classmethod
    def build(
        cls, *, sections: Mapping[str, bytes], previous_chunk_count: int = 0
    ) -> ChunkedSections:
        """Group sections into chunks.

        :param sections: JSON of each section by title.
        :param previous_chunk_count: Number of chunks of the previous revision; 0 if there is none.
        """
        total = sum(len(title) + len(content) for title, content in sections.items())
        count = compute_chunk_count(total_bytes=total, current_count=previous_chunk_count)
        buckets: list[dict[str, bytes]] = [{} for _ in range(count)]
        for title, content in sections.items():
            buckets[_compute_chunk_index(title=title, count=count)][title] = content
        return cls(buckets=buckets)

    @classmethod
    def decode(
        cls, *, digests: Sequence[str], chunks: Mapping[str, bytes], current: ChunkedSections
    ) -> ChunkedSections:
        """Decode a revision from its chunks.

        :param digests: Digests of the chunks, by chunk index.
        :param chunks: Content by digest; must include all chunks that ``current`` lacks.
        :param current: An earlier revision whose identical chunks are reused.
        :raises ChunkError: If a chunk doesn't match its digest or contains misplaced sections.
        :raises KeyError: If a chunk is missing from ``chunks``.
        """
        buckets: list[Mapping[str, bytes]] = []
        for index, digest in enumerate(digests):
            if len(current.digests) == len(digests) and current.digests[index] == digest:
                buckets.append(current._buckets[index])
                continue
            content = chunks[digest]
            if compute_digest(content) != digest:
                raise ChunkError(f"The content of chunk {digest} doesn't match its digest.")
            buckets.append(_decode(content=content, index=index, count=len(digests)))
        return cls(buckets=buckets, digests=digests)

    def find_missing(self, *, digests: Sequence[str]) -> tuple[str, ...]:
        """Return the digests of another revision's chunks that can't be reused from this one."""
        if len(digests) != len(self._digests):
            return tuple(dict.fromkeys(digests))
        pairs = zip(digests, self._digests, strict=True)
        return tuple(dict.fromkeys(digest for digest, current in pairs if digest != current))

    def chunk(self, *, digest: str) -> bytes:
        """Return the encoded content of a chunk."""
        return _encode(self._buckets[self._digests.index(digest)])

    def section(self, *, title: str) -> bytes:
        """Return the JSON of a section."""
        return self._buckets[_compute_chunk_index(title=title, count=len(self._buckets))][title]

    def sections(self) -> dict[str, bytes]:
        """Return the JSON of all sections by title."""
        return {title: content for bucket in self._buckets for title, content in bucket.items()}

    def with_delta(self, *, delta: SectionDelta) -> ChunkedSections:
        """Return a copy with the sections of a delta replaced, added or removed."""
        count = len(self._buckets)
        buckets: dict[int, dict[str, bytes]] = {}

        def get_bucket(title: str) -> dict[str, bytes]:
            index = _compute_chunk_index(title=title, count=count)
            if index not in buckets:
                buckets[index] = dict(self._buckets[index])
            return buckets[index]

        for title, value in delta.put.items():
            get_bucket(title)[title] = msgspec.json.encode(value)
        for title in delta.removed:
            get_bucket(title).pop(title, None)
        changed = {index: compute_digest(_encode(bucket)) for index, bucket in buckets.items()}
        return ChunkedSections(
            buckets=[buckets.get(index, old) for index, old in enumerate(self._buckets)],
            digests=[changed.get(index, old) for index, old in enumerate(self._digests)],
        )
