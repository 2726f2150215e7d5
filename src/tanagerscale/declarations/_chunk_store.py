"""Writing chunks and deleting those that no revision needs any more.

A chunk may be deleted while another operator is about to refer to it. So an operator writes each
chunk that the accepted revision lacks anew, even when it stands there already, after having read
the head; and only chunks older than the head are deleted, on condition that nobody wrote them
since. Either the other's head was read later than ours was accepted, then its chunks are newer
than our head; or it was read earlier, then its compare-and-swap fails.
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

BATCH_BYTES = 512 * 1024
BATCH_KEYS = 32
WRITE_TRIES = 6
BACKOFF_MS = 100
# Chunks of operators who gave up half way are found by reading all, which is done seldom.
SWEEP_EVERY = 256
# At 34,000 changes a day these are the records of three days.
AUDIT_KEPT = 100_000


async def write_chunks(
    *,
    store: Store,
    prefix: str,
    chunked: ChunkedSections,
    sound: Collection[str],
    clock: Clock,
) -> Result[None, StoreError]:
    """Write the chunks that the accepted revision lacks.

    :param sound: Digests of the accepted revision's chunks that could be read.
    """
    wanted = [digest for digest in dict.fromkeys(chunked.digests) if digest not in sound]
    puts = [
        ConditionalPut(
            key=chunk_key(prefix=prefix, digest=digest),
            value=chunked.chunk(digest=digest),
            expected_mod_revision=StoreRevision(0),
        )
        for digest in wanted
    ]
    for batch in _batches(puts):
        written = await _write_batch(store=store, puts=batch, clock=clock)
        if isinstance(written, Failure):
            return written
    return Success(None)


def _batches(puts: Sequence[ConditionalPut]) -> Iterator[list[ConditionalPut]]:
    batch: list[ConditionalPut] = []
    size = 0
    for put in puts:
        length = len(put.value or b"")
        if batch and (size + length > BATCH_BYTES or len(batch) == BATCH_KEYS):
            yield batch
            batch, size = [], 0
        batch.append(put)
        size += length
    if batch:
        yield batch


async def _write_batch(
    *, store: Store, puts: list[ConditionalPut], clock: Clock
) -> Result[None, StoreError]:
    failure = StoreError(kind=StoreErrorKind.REFUSED, detail="Others keep writing the same chunks.")
    for _ in range(WRITE_TRIES):
        result = await store.commit(puts=puts)
        if isinstance(result, Failure):
            failure = result.failure()
            if failure.kind is not StoreErrorKind.UNCERTAIN:
                return Failure(failure)
            # Writing a chunk twice does no harm: its key is the digest of its content.
            await clock.sleep(BACKOFF_MS)
            continue
        outcomes = result.unwrap()
        left = [
            _put_over(put=put, present=outcome.current_entry)
            for put, outcome in zip(puts, outcomes, strict=True)
            if not outcome.written
        ]
        if not left:
            return Success(None)
        puts = left
    return Failure(failure)


def _put_over(*, put: ConditionalPut, present: StoreEntry | None) -> ConditionalPut:
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
    """Delete what the accepted revision makes superfluous; failures leave it for a sweep.

    That is chunks that it doesn't need, and the oldest audit record beyond ``AUDIT_KEPT``.

    :param head: The head just accepted.
    :param head_mod_revision: The store revision that made it.
    :param previous: The head before.
    """
    if head.revision % SWEEP_EVERY == 0:
        found = await store.list(prefix=chunk_prefix(prefix=prefix))
        entries = list(found.unwrap().entries) if isinstance(found, Success) else []
    else:
        entries = await _read_obsolete(store=store, prefix=prefix, head=head, previous=previous)
    needed = {chunk_key(prefix=prefix, digest=digest) for digest in head.chunks}
    deletions = [
        ConditionalPut(key=entry.key, value=None, expected_mod_revision=entry.mod_revision)
        for entry in entries
        if entry.key not in needed and entry.mod_revision < head_mod_revision
    ]
    deletions += await _old_audit(store=store, prefix=prefix, revision=head.revision)
    for batch in _batches(deletions):
        await store.commit(puts=batch)


async def _old_audit(*, store: Store, prefix: str, revision: int) -> list[ConditionalPut]:
    if revision <= AUDIT_KEPT:
        return []
    key = audit_key(prefix=prefix, revision=Revision(revision - AUDIT_KEPT))
    entry = (await store.get(key=key)).value_or(None)
    if entry is None:
        return []
    return [ConditionalPut(key=key, value=None, expected_mod_revision=entry.mod_revision)]


async def _read_obsolete(
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
