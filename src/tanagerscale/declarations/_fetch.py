"""Reading chunks and the accepted declarations from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
from typing import final

from msgspec import Struct
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Revision
from tanagerscale.declarations._chunks import ChunkedSections
from tanagerscale.declarations._chunks import ChunkError
from tanagerscale.declarations._chunks import digest_of
from tanagerscale.declarations._errors import ApplyError
from tanagerscale.declarations._errors import ApplyErrorKind
from tanagerscale.declarations._head import decode_head
from tanagerscale.declarations._keys import chunk_key
from tanagerscale.declarations._keys import head_key
from tanagerscale.generated.records import Head
from tanagerscale.store import Store
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

CONCURRENT_READS = 8
MAX_REREADS = 5


@final
class Accepted(Struct, frozen=True, kw_only=True):
    """What the store says is accepted.

    :param head: The head record, or ``None`` before the first one.
    :param mod_revision: The store revision that made it; 0 before the first one.
    :param chunked: Its sections; ``None`` when chunks are missing or corrupt.
    :param sound: Digests of the chunks that could be read.
    """

    head: Head | None
    mod_revision: StoreRevision
    chunked: ChunkedSections | None
    sound: frozenset[str]

    @property
    def revision(self) -> Revision:
        """The accepted revision; 0 before the first one."""
        return Revision(self.head.revision if self.head is not None else 0)


async def read_chunks(
    *, store: Store, prefix: str, digests: Sequence[str]
) -> Result[Mapping[str, bytes], StoreError]:
    """Read chunks, a few at a time.

    :returns: Content by digest; chunks that are missing are left out.
    """
    slots = asyncio.Semaphore(CONCURRENT_READS)

    async def read(digest: str) -> Result[bytes | None, StoreError]:
        async with slots:
            result = await store.get(key=chunk_key(prefix=prefix, digest=digest))
            return result.map(lambda entry: entry.value if entry is not None else None)

    results = await asyncio.gather(*(read(digest) for digest in digests))
    chunks = {}
    for digest, result in zip(digests, results, strict=True):
        if isinstance(result, Failure):
            return Failure(result.failure())
        content = result.unwrap()
        if content is not None:
            chunks[digest] = content
    return Success(chunks)


async def read_accepted(*, store: Store, prefix: str) -> Result[Accepted, ApplyError]:
    """Read what is accepted, with all its sections where they can be read.

    Chunks of a revision are deleted once a later one is accepted, so a missing chunk is only
    believed when the head is still the same.
    """
    result = await _read_once(store=store, prefix=prefix)
    for _ in range(MAX_REREADS):
        if isinstance(result, Failure) or result.unwrap().chunked is not None:
            return result
        again = await _read_once(store=store, prefix=prefix)
        if isinstance(again, Success) and again.unwrap().revision == result.unwrap().revision:
            return again
        result = again
    return result


async def _read_once(*, store: Store, prefix: str) -> Result[Accepted, ApplyError]:
    result = await store.get(key=head_key(prefix=prefix))
    if isinstance(result, Failure):
        return Failure(apply_error(error=result.failure()))
    entry = result.unwrap()
    nothing = ChunkedSections.build(sections={})
    if entry is None:
        accepted = Accepted(
            head=None, mod_revision=StoreRevision(0), chunked=nothing, sound=frozenset()
        )
        return Success(accepted)
    decoded = decode_head(value=entry.value)
    if isinstance(decoded, Failure):
        detail = "The head record in the store can't be read; restore it from the store's backup."
        return Failure(ApplyError(kind=ApplyErrorKind.DAMAGED, detail=detail))
    head = decoded.unwrap()
    chunks = await read_chunks(store=store, prefix=prefix, digests=head.chunks)
    if isinstance(chunks, Failure):
        return Failure(apply_error(error=chunks.failure()))
    contents = chunks.unwrap()
    sound = {digest for digest, content in contents.items() if digest_of(content) == digest}
    chunked: ChunkedSections | None
    try:
        chunked = ChunkedSections.decode(digests=head.chunks, chunks=contents, present=nothing)
    except (ChunkError, KeyError):
        chunked = None
    accepted = Accepted(
        head=head, mod_revision=entry.mod_revision, chunked=chunked, sound=frozenset(sound)
    )
    return Success(accepted)


def apply_error(*, error: StoreError) -> ApplyError:
    """Return the error of a call before anything could have been accepted."""
    if error.kind is StoreErrorKind.REFUSED:
        return ApplyError(
            kind=ApplyErrorKind.REFUSED,
            detail=f"The store refused a call, so nothing was accepted: {error.detail}",
        )
    return ApplyError(
        kind=ApplyErrorKind.STORE_UNREACHABLE,
        detail=f"The store can't be reached, so nothing was accepted; try again: {error.detail}",
    )
