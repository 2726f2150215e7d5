"""Writes chunks and deletes those that the accepted revision no longer references.

Garbage collection may run while another operator is about to reference a chunk. After reading the
head, an operator therefore rewrites each chunk that the accepted revision lacks, even if the chunk
exists already. Garbage collection deletes only chunks older than its own head, on condition that
they have not been written since. If the other operator read the head after ours was accepted, its
chunks are newer than our head and are kept; if it read the head before, its compare-and-swap fails.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.audit import audit_key
from tanagerscale.core import Clock
from tanagerscale.core import Revision
from tanagerscale.declarations._chunks import ChunkedSections
from tanagerscale.declarations._keys import chunk_key
from tanagerscale.declarations._keys import chunk_prefix
from tanagerscale.generated.records import Head
from tanagerscale.store import ConditionalPut
from tanagerscale.store import Store
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

MAX_BATCH_BYTES = 512 * 1024
MAX_BATCH_KEYS = 32
MAX_WRITE_ATTEMPTS = 6
RETRY_DELAY_MS = 100
# Chunks left by interrupted applies are found only by listing all chunks, which is expensive.
FULL_SCAN_INTERVAL_REVISIONS = 256
# Three days of records at 34,000 changes per day.
MAX_AUDIT_RECORDS = 100_000


async def write_chunks(
    *,
    store: Store,
    prefix: str,
    chunked: ChunkedSections,
    valid_digests: Collection[str],
    clock: Clock,
) -> Result[None, StoreError]:
    """Write the chunks that the accepted revision lacks.

    :param store: Client of the store.
    :param prefix: Prefix of all store keys of the installation.
    :param chunked: Sections of the revision to publish.
    :param valid_digests: Digests of the accepted revision's chunks that were read intact.
    :param clock: Clock used for the delays between attempts.
    :returns: An error if the store fails or if ``MAX_WRITE_ATTEMPTS`` attempts were not enough.
    """
    missing = [digest for digest in dict.fromkeys(chunked.digests) if digest not in valid_digests]
    puts = [
        ConditionalPut(
            key=chunk_key(prefix=prefix, digest=digest),
            value=chunked.chunk(digest=digest),
            expected_mod_revision=StoreRevision(0),
        )
        for digest in missing
    ]
    for batch in _split_into_batches(puts):
        written = await _write_batch(store=store, puts=batch, clock=clock)
        if isinstance(written, Failure):
            return written
    return Success(None)


def _split_into_batches(puts: Sequence[ConditionalPut]) -> Iterator[list[ConditionalPut]]:
    batch: list[ConditionalPut] = []
    size = 0
    for put in puts:
        length = len(put.value or b"")
        if batch and (size + length > MAX_BATCH_BYTES or len(batch) == MAX_BATCH_KEYS):
            yield batch
            batch, size = [], 0
        batch.append(put)
        size += length
    if batch:
        yield batch


async def _write_batch(
    *, store: Store, puts: list[ConditionalPut], clock: Clock
) -> Result[None, StoreError]:
    failure = StoreError(
        kind=StoreErrorKind.REFUSED, detail="Other operators keep writing the same chunks."
    )
    for _ in range(MAX_WRITE_ATTEMPTS):
        result = await store.commit(puts=puts)
        if isinstance(result, Failure):
            failure = result.failure()
            if failure.kind is not StoreErrorKind.UNCERTAIN:
                return Failure(failure)
            # Writing a chunk twice is safe because its key is the digest of its content.
            await clock.sleep(RETRY_DELAY_MS)
            continue
        outcomes = result.unwrap()
        remaining = [
            _build_overwrite(put=put, present=outcome.current_entry)
            for put, outcome in zip(puts, outcomes, strict=True)
            if not outcome.written
        ]
        if not remaining:
            return Success(None)
        puts = remaining
    return Failure(failure)


def _build_overwrite(*, put: ConditionalPut, present: StoreEntry | None) -> ConditionalPut:
    revision = present.mod_revision if present is not None else StoreRevision(0)
    return ConditionalPut(key=put.key, value=put.value, expected_mod_revision=revision)


async def collect_garbage(
    *,
    store: Store,
    prefix: str,
    head: Head,
    head_mod_revision: StoreRevision,
    previous: Head | None,
) -> None:
    """Delete chunks that the accepted revision doesn't reference, and one expired audit record.

    The audit record is the one that exceeds ``MAX_AUDIT_RECORDS``. Errors are ignored: chunks that
    are not deleted are found by the full scan every ``FULL_SCAN_INTERVAL_REVISIONS`` revisions.

    :param store: Client of the store.
    :param prefix: Prefix of all store keys of the installation.
    :param head: The head that was just accepted.
    :param head_mod_revision: Store revision at which ``head`` was written.
    :param previous: The head it replaced; ``None`` if there was none.
    """
    if head.revision % FULL_SCAN_INTERVAL_REVISIONS == 0:
        found = await store.list(prefix=chunk_prefix(prefix=prefix))
        entries = list(found.unwrap().entries) if isinstance(found, Success) else []
    else:
        entries = await _read_obsolete_chunks(
            store=store, prefix=prefix, head=head, previous=previous
        )
    needed = {chunk_key(prefix=prefix, digest=digest) for digest in head.chunks}
    deletions = [
        ConditionalPut(key=entry.key, value=None, expected_mod_revision=entry.mod_revision)
        for entry in entries
        if entry.key not in needed and entry.mod_revision < head_mod_revision
    ]
    deletions += await _find_expired_audit(store=store, prefix=prefix, revision=head.revision)
    for batch in _split_into_batches(deletions):
        await store.commit(puts=batch)


async def _find_expired_audit(*, store: Store, prefix: str, revision: int) -> list[ConditionalPut]:
    if revision <= MAX_AUDIT_RECORDS:
        return []
    key = audit_key(prefix=prefix, revision=Revision(revision - MAX_AUDIT_RECORDS))
    entry = (await store.get(key=key)).value_or(None)
    if entry is None:
        return []
    return [ConditionalPut(key=key, value=None, expected_mod_revision=entry.mod_revision)]


async def _read_obsolete_chunks(
    *, store: Store, prefix: str, head: Head, previous: Head | None
) -> list[StoreEntry]:
    obsolete = set(previous.chunks if previous is not None else ()) - set(head.chunks)
    entries = []
    for digest in sorted(obsolete):
        found = await store.get(key=chunk_key(prefix=prefix, digest=digest))
        entry = found.value_or(None)
        if entry is not None:
            entries.append(entry)
    return entries
