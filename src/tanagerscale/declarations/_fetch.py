"""Reads chunks and the accepted revision from the store."""

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
from tanagerscale.declarations._chunks import compute_digest
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

MAX_CONCURRENT_READS = 8
MAX_READ_RETRIES = 5


@final
class AcceptedRevision(Struct, frozen=True, kw_only=True):
    """The revision that is accepted according to the store.

    :param head: The head record; ``None`` if no revision has been accepted yet.
    :param mod_revision: Store revision at which the head was written; 0 if there is no head.
    :param chunked: Sections of the revision; ``None`` if chunks are missing or corrupt.
    :param valid_digests: Digests of the chunks that were read intact.
    """

    head: Head | None
    mod_revision: StoreRevision
    chunked: ChunkedSections | None
    valid_digests: frozenset[str]

    @property
    def revision(self) -> Revision:
        """Number of the accepted revision; 0 if there is none."""
        return Revision(self.head.revision if self.head is not None else 0)


async def read_chunks(
    *, store: Store, prefix: str, digests: Sequence[str]
) -> Result[Mapping[str, bytes], StoreError]:
    """Read chunks, at most ``MAX_CONCURRENT_READS`` at a time.

    :param store: Client of the store.
    :param prefix: Prefix of all store keys of the installation.
    :param digests: Digests of the chunks to read.
    :returns: Content by digest, without the chunks that don't exist.
    """
    slots = asyncio.Semaphore(MAX_CONCURRENT_READS)

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


async def read_accepted_revision(
    *, store: Store, prefix: str
) -> Result[AcceptedRevision, ApplyError]:
    """Read the accepted revision and its sections.

    Chunks of a revision are deleted once a later one is accepted, so a chunk is reported as missing
    only if the head is unchanged on a second read.

    :param store: Client of the store.
    :param prefix: Prefix of all store keys of the installation.
    """
    result = await _read_once(store=store, prefix=prefix)
    for _ in range(MAX_READ_RETRIES):
        if isinstance(result, Failure) or result.unwrap().chunked is not None:
            return result
        retried = await _read_once(store=store, prefix=prefix)
        if isinstance(retried, Success) and retried.unwrap().revision == result.unwrap().revision:
            return retried
        result = retried
    return result


async def _read_once(*, store: Store, prefix: str) -> Result[AcceptedRevision, ApplyError]:
    result = await store.get(key=head_key(prefix=prefix))
    if isinstance(result, Failure):
        return Failure(to_apply_error(error=result.failure()))
    entry = result.unwrap()
    empty = ChunkedSections.build(sections={})
    if entry is None:
        accepted = AcceptedRevision(
            head=None, mod_revision=StoreRevision(0), chunked=empty, valid_digests=frozenset()
        )
        return Success(accepted)
    decoded = decode_head(value=entry.value)
    if isinstance(decoded, Failure):
        detail = (
            "The head record in the store can't be decoded; restore it from the store's backup."
        )
        return Failure(ApplyError(kind=ApplyErrorKind.DAMAGED, detail=detail))
    head = decoded.unwrap()
    chunks = await read_chunks(store=store, prefix=prefix, digests=head.chunks)
    if isinstance(chunks, Failure):
        return Failure(to_apply_error(error=chunks.failure()))
    contents = chunks.unwrap()
    valid_digests = {
        digest for digest, content in contents.items() if compute_digest(content) == digest
    }
    chunked: ChunkedSections | None
    try:
        chunked = ChunkedSections.decode(digests=head.chunks, chunks=contents, current=empty)
    except (ChunkError, KeyError):
        chunked = None
    accepted = AcceptedRevision(
        head=head,
        mod_revision=entry.mod_revision,
        chunked=chunked,
        valid_digests=frozenset(valid_digests),
    )
    return Success(accepted)


def to_apply_error(*, error: StoreError) -> ApplyError:
    """Convert the error of a store call that can't have accepted a revision."""
    if error.kind is StoreErrorKind.REFUSED:
        return ApplyError(
            kind=ApplyErrorKind.REFUSED,
            detail=f"The store rejected a call, so nothing was accepted: {error.detail}",
        )
    return ApplyError(
        kind=ApplyErrorKind.STORE_UNREACHABLE,
        detail=f"The store is unreachable, so nothing was accepted; try again: {error.detail}",
    )
