"""Publishes a set: writes its chunks, then replaces the head with one compare-and-swap."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import msgspec
from msgspec import Struct
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.audit import audit_key
from tanagerscale.audit import decode_audit
from tanagerscale.audit import encode_audit
from tanagerscale.audit import find_audit
from tanagerscale.audit import read_audit
from tanagerscale.core import Clock
from tanagerscale.core import Revision
from tanagerscale.declarations._chunk_store import collect_garbage
from tanagerscale.declarations._chunk_store import write_chunks
from tanagerscale.declarations._chunks import ChunkedSections
from tanagerscale.declarations._diff import diff_sections
from tanagerscale.declarations._errors import ApplyError
from tanagerscale.declarations._errors import ApplyErrorKind
from tanagerscale.declarations._fetch import AcceptedRevision
from tanagerscale.declarations._fetch import read_accepted_revision
from tanagerscale.declarations._fetch import to_apply_error
from tanagerscale.declarations._head import decode_head
from tanagerscale.declarations._keys import head_key
from tanagerscale.declarations._sections import encode_sections
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.records import AuditRecord
from tanagerscale.generated.records import Head
from tanagerscale.generated.records import SectionDelta
from tanagerscale.store import ConditionalPut
from tanagerscale.store import PutOutcome
from tanagerscale.store import Store
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

MAX_INLINE_DELTA_BYTES = 16 * 1024
MAX_SECTION_BYTES = 256 * 1024
MAX_COMMIT_ATTEMPTS = 8
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2000
MAX_CONFLICTING_RECORDS = 20


@final
class _ApplyMetadata(Struct, frozen=True, kw_only=True):
    author: str
    apply_id: str
    wall_ms: int


@final
class _Proposal(Struct, frozen=True, kw_only=True):
    head: Head
    audit: AuditRecord
    base: AcceptedRevision


async def publish(
    *,
    store: Store,
    prefix: str,
    declarations: DeclarationSet,
    author: str,
    apply_id: str,
    clock: Clock,
    expected_revision: Revision | None,
    is_retry: bool = False,
) -> Result[Head, ApplyError]:
    """Publish a set as the next revision.

    :param store: Client of the store.
    :param prefix: Prefix of all store keys of the installation.
    :param declarations: The set, as returned by ``read_declarations``.
    :param author: Name of the operator, recorded with the revision.
    :param apply_id: Id of this apply; only retries of the same apply share it.
    :param clock: Clock used for the recorded time and for backoff.
    :param expected_revision: Revision that the set is based on; ``None`` for the accepted one.
    :param is_retry: Whether an earlier call with this ``apply_id`` had an uncertain outcome; if it
        was accepted, its head is returned, even if later revisions have been accepted since.
    :returns: The accepted head record; the current one if the set doesn't differ from it. If a
        retry finds its revision followed by later ones, digest and chunks of the head are empty.
    """
    read = await read_accepted_revision(store=store, prefix=prefix)
    if isinstance(read, Failure):
        return Failure(read.failure())
    base = read.unwrap()
    if is_retry:
        earlier = await _find_earlier_acceptance(
            store=store, prefix=prefix, apply_id=apply_id, base=base
        )
        if isinstance(earlier, Failure):
            return Failure(earlier.failure())
        accepted = earlier.unwrap()
        if accepted is not None:
            return Success(accepted)
    if expected_revision is not None and base.revision != expected_revision:
        return Failure(
            await _build_conflict_error(
                store=store, prefix=prefix, since=expected_revision, current=base
            )
        )
    metadata = _ApplyMetadata(author=author, apply_id=apply_id, wall_ms=clock.wall())
    return await _publish_on_base(
        store=store,
        prefix=prefix,
        declarations=declarations,
        base=base,
        metadata=metadata,
        clock=clock,
    )


async def _publish_on_base(
    *,
    store: Store,
    prefix: str,
    declarations: DeclarationSet,
    base: AcceptedRevision,
    metadata: _ApplyMetadata,
    clock: Clock,
) -> Result[Head, ApplyError]:
    """Publish a set on top of a base revision, unless it is identical."""
    sections = encode_sections(declarations=declarations)
    too_large = [title for title, text in sections.items() if len(text) > MAX_SECTION_BYTES]
    if too_large:
        return Failure(_build_too_large_error(title=too_large[0]))
    previous_chunk_count = len(base.head.chunks) if base.head is not None else 0
    chunked = ChunkedSections.build(sections=sections, previous_chunk_count=previous_chunk_count)
    if base.head is not None and base.chunked is not None and chunked.digest == base.head.digest:
        return Success(base.head)
    proposal = _build_proposal(base=base, chunked=chunked, metadata=metadata)
    written = await write_chunks(
        store=store, prefix=prefix, chunked=chunked, valid_digests=base.valid_digests, clock=clock
    )
    if isinstance(written, Failure):
        return Failure(to_apply_error(error=written.failure()))
    return await _commit(store=store, prefix=prefix, proposal=proposal, clock=clock)


def _build_proposal(
    *, base: AcceptedRevision, chunked: ChunkedSections, metadata: _ApplyMetadata
) -> _Proposal:
    old = base.chunked.sections() if base.chunked is not None else {}
    changes, delta = diff_sections(old=old, new=chunked.sections())
    lines = [str(change) for change in changes]
    if base.chunked is None:
        lines.insert(0, "The revision before could not be read, so this is the whole set.")
    revision = base.revision + 1
    same_chunks = base.head is not None and len(base.head.chunks) == len(chunked.digests)
    head = Head(
        revision=revision,
        digest=chunked.digest,
        chunks=list(chunked.digests),
        author=metadata.author,
        apply_id=metadata.apply_id,
        applied_wall_ms=metadata.wall_ms,
        delta=_select_inline_delta(delta) if base.chunked is not None and same_chunks else None,
    )
    audit = AuditRecord(
        revision=revision,
        previous_revision=base.revision,
        author=metadata.author,
        apply_id=metadata.apply_id,
        applied_wall_ms=metadata.wall_ms,
        changes=lines,
    )
    return _Proposal(head=head, audit=audit, base=base)


def _select_inline_delta(delta: SectionDelta) -> SectionDelta | None:
    return delta if len(msgspec.json.encode(delta)) <= MAX_INLINE_DELTA_BYTES else None


async def _commit(
    *, store: Store, prefix: str, proposal: _Proposal, clock: Clock
) -> Result[Head, ApplyError]:
    head = proposal.head
    puts = _commit_puts(prefix=prefix, proposal=proposal)
    uncertain = False
    backoff_ms = MIN_BACKOFF_MS
    for _ in range(MAX_COMMIT_ATTEMPTS):
        result = await store.commit(puts=puts)
        if isinstance(result, Success):
            return await _resolve_commit(
                store=store, prefix=prefix, proposal=proposal, outcomes=result.unwrap()
            )
        error = result.failure()
        uncertain = uncertain or error.kind is StoreErrorKind.UNCERTAIN
        if not uncertain:
            return Failure(to_apply_error(error=error))
        # Retries have the same conditions and apply id, so a set can't be accepted twice.
        await clock.sleep(backoff_ms)
        backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
    detail = (
        f"The store did not confirm whether revision {head.revision} was accepted; run the same "
        f"apply again with --apply-id {head.apply_id} to get the outcome."
    )
    return Failure(ApplyError(kind=ApplyErrorKind.UNCERTAIN, detail=detail))


def _commit_puts(*, prefix: str, proposal: _Proposal) -> list[ConditionalPut]:
    """Return the conditional writes that accept a revision.

    The audit record of a revision exists if and only if that revision was accepted. Both conditions
    therefore hold or fail together, and each accepted revision has an audit record.
    """
    head = proposal.head
    return [
        ConditionalPut(
            key=head_key(prefix=prefix),
            value=msgspec.json.encode(head),
            expected_mod_revision=proposal.base.mod_revision,
        ),
        ConditionalPut(
            key=audit_key(prefix=prefix, revision=Revision(head.revision)),
            value=encode_audit(record=proposal.audit),
            expected_mod_revision=StoreRevision(0),
        ),
    ]


async def _resolve_commit(
    *, store: Store, prefix: str, proposal: _Proposal, outcomes: Sequence[PutOutcome]
) -> Result[Head, ApplyError]:
    head = proposal.head
    head_outcome, audit_outcome = outcomes
    if head_outcome.written:
        await collect_garbage(
            store=store,
            prefix=prefix,
            head=head,
            head_mod_revision=head_outcome.revision,
            previous=proposal.base.head,
        )
        return Success(head)
    recorded = audit_outcome.current_entry
    audit = decode_audit(value=recorded.value) if recorded is not None else None
    if audit is not None and audit.apply_id == head.apply_id:
        # An earlier attempt was accepted, but its reply was lost.
        return Success(head)
    present = head_outcome.current_entry
    decoded = decode_head(value=present.value) if present is not None else None
    base = proposal.base
    accepted = decoded.unwrap() if isinstance(decoded, Success) else None
    current = AcceptedRevision(
        head=accepted, mod_revision=base.mod_revision, chunked=None, valid_digests=frozenset()
    )
    return Failure(
        await _build_conflict_error(
            store=store, prefix=prefix, since=base.revision, current=current
        )
    )


async def _find_earlier_acceptance(
    *, store: Store, prefix: str, apply_id: str, base: AcceptedRevision
) -> Result[Head | None, ApplyError]:
    """Return the head accepted for this apply id, or ``None``; later revisions may exist."""
    if base.head is None or base.head.apply_id == apply_id:
        return Success(base.head)
    found = await find_audit(store=store, prefix=prefix, newest=base.revision, apply_id=apply_id)
    if isinstance(found, Failure):
        return Failure(to_apply_error(error=found.failure()))
    record = found.unwrap()
    if record is None:
        return Success(None)
    return Success(
        msgspec.structs.replace(
            base.head,
            revision=record.revision,
            digest="",
            chunks=[],
            author=record.author,
            apply_id=apply_id,
            applied_wall_ms=record.applied_wall_ms,
            delta=None,
        )
    )


async def _build_conflict_error(
    *, store: Store, prefix: str, since: Revision, current: AcceptedRevision
) -> ApplyError:
    limit = min(max(current.revision - since, 1), MAX_CONFLICTING_RECORDS)
    records = await read_audit(store=store, prefix=prefix, newest=current.revision, limit=limit)
    others = records.value_or(())
    author = current.head.author if current.head is not None else ""
    changes = tuple(
        f"revision {record.revision} by {record.author}: {line}"
        for record in reversed(others)
        for line in record.changes
    )
    detail = (
        f"Revision {current.revision} by {author or 'another operator'} was accepted first, so "
        f"this set was not; merge the changes made since revision {since} and apply again."
    )
    return ApplyError(
        kind=ApplyErrorKind.CONFLICT,
        detail=detail,
        in_force=current.revision,
        author=author,
        changes=changes,
    )


def _build_too_large_error(*, title: str) -> ApplyError:
    detail = f"The section [{title}] is larger than {MAX_SECTION_BYTES} bytes; shorten its lists."
    return ApplyError(kind=ApplyErrorKind.TOO_LARGE, detail=detail)
