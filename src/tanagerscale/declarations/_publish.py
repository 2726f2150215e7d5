"""Having a set accepted: chunks first, then one compare-and-swap of the head."""

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
from tanagerscale.declarations._fetch import Accepted
from tanagerscale.declarations._fetch import apply_error
from tanagerscale.declarations._fetch import read_accepted
from tanagerscale.declarations._head import decode_head
from tanagerscale.declarations._keys import head_key
from tanagerscale.declarations._sections import to_sections
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
COMMIT_TRIES = 8
FIRST_BACKOFF_MS = 100
MAX_BACKOFF_MS = 2000
OTHERS_SHOWN = 20


@final
class _Stamp(Struct, frozen=True, kw_only=True):
    author: str
    apply_id: str
    wall_ms: int


@final
class _Proposal(Struct, frozen=True, kw_only=True):
    head: Head
    audit: AuditRecord
    base: Accepted


async def publish(
    *,
    store: Store,
    prefix: str,
    declarations: DeclarationSet,
    author: str,
    apply_id: str,
    clock: Clock,
    expected: Revision | None,
    repeated: bool = False,
) -> Result[Head, ApplyError]:
    """Have a set accepted as the next revision.

    :param store: The platform's key-value service.
    :param prefix: What all keys of the installation start with.
    :param declarations: The set, as ``read_declarations`` returned it.
    :param author: Who applies it.
    :param apply_id: Unique to this set and attempt of the operator.
    :param clock: Tells the time that is recorded.
    :param expected: Revision that the set was made from; ``None`` takes the present one.
    :param repeated: Whether an earlier call with this ``apply_id`` had an uncertain outcome; if it
        was accepted after all, that is what is returned, even when others went on from it.
    :returns: The head record accepted; when nothing differs, the present one. Of a revision that
        others went on from, digest and chunks are left empty.
    """
    read = await read_accepted(store=store, prefix=prefix)
    if isinstance(read, Failure):
        return Failure(read.failure())
    base = read.unwrap()
    if repeated:
        earlier = await _accepted_earlier(store=store, prefix=prefix, apply_id=apply_id, base=base)
        if isinstance(earlier, Failure):
            return Failure(earlier.failure())
        accepted = earlier.unwrap()
        if accepted is not None:
            return Success(accepted)
    if expected is not None and base.revision != expected:
        return Failure(await _conflict(store=store, prefix=prefix, since=expected, now=base))
    stamp = _Stamp(author=author, apply_id=apply_id, wall_ms=clock.wall())
    return await _accept(
        store=store, prefix=prefix, declarations=declarations, base=base, stamp=stamp, clock=clock
    )


async def _accept(
    *,
    store: Store,
    prefix: str,
    declarations: DeclarationSet,
    base: Accepted,
    stamp: _Stamp,
    clock: Clock,
) -> Result[Head, ApplyError]:
    """Have a set accepted on top of a revision, unless it is the same."""
    sections = to_sections(declarations=declarations)
    too_large = [title for title, text in sections.items() if len(text) > MAX_SECTION_BYTES]
    if too_large:
        return Failure(_too_large(title=too_large[0]))
    present_count = len(base.head.chunks) if base.head is not None else 0
    chunked = ChunkedSections.build(sections=sections, present_count=present_count)
    if base.head is not None and base.chunked is not None and chunked.digest == base.head.digest:
        return Success(base.head)
    proposal = _propose(base=base, chunked=chunked, stamp=stamp)
    written = await write_chunks(
        store=store, prefix=prefix, chunked=chunked, sound=base.sound, clock=clock
    )
    if isinstance(written, Failure):
        return Failure(apply_error(error=written.failure()))
    return await _commit(store=store, prefix=prefix, proposal=proposal, clock=clock)


def _propose(*, base: Accepted, chunked: ChunkedSections, stamp: _Stamp) -> _Proposal:
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
        author=stamp.author,
        apply_id=stamp.apply_id,
        applied_wall_ms=stamp.wall_ms,
        delta=_inline(delta) if base.chunked is not None and same_chunks else None,
    )
    audit = AuditRecord(
        revision=revision,
        previous_revision=base.revision,
        author=stamp.author,
        apply_id=stamp.apply_id,
        applied_wall_ms=stamp.wall_ms,
        changes=lines,
    )
    return _Proposal(head=head, audit=audit, base=base)


def _inline(delta: SectionDelta) -> SectionDelta | None:
    return delta if len(msgspec.json.encode(delta)) <= MAX_INLINE_DELTA_BYTES else None


async def _commit(
    *, store: Store, prefix: str, proposal: _Proposal, clock: Clock
) -> Result[Head, ApplyError]:
    head = proposal.head
    puts = _commit_puts(prefix=prefix, proposal=proposal)
    uncertain = False
    backoff_ms = FIRST_BACKOFF_MS
    for _ in range(COMMIT_TRIES):
        result = await store.commit(puts=puts)
        if isinstance(result, Success):
            return await _settle(
                store=store, prefix=prefix, proposal=proposal, outcomes=result.unwrap()
            )
        error = result.failure()
        uncertain = uncertain or error.kind is StoreErrorKind.UNCERTAIN
        if not uncertain:
            return Failure(apply_error(error=error))
        # The same conditions and the same apply id, so a repeat can't be accepted twice.
        await clock.sleep(backoff_ms)
        backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)
    detail = (
        f"The store did not say whether revision {head.revision} was accepted; run the same apply "
        f"again with --apply-id {head.apply_id}, which settles it."
    )
    return Failure(ApplyError(kind=ApplyErrorKind.UNCERTAIN, detail=detail))


def _commit_puts(*, prefix: str, proposal: _Proposal) -> list[ConditionalPut]:
    """Return the writes that have a revision accepted.

    The audit key of a revision exists exactly when that revision was accepted, so both conditions
    hold together or fail together, and no accepted revision lacks its audit record.
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


async def _settle(
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
        # An earlier try was accepted and its reply lost.
        return Success(head)
    present = head_outcome.current_entry
    now = decode_head(value=present.value) if present is not None else None
    base = proposal.base
    accepted = now.unwrap() if isinstance(now, Success) else None
    after = Accepted(head=accepted, mod_revision=base.mod_revision, chunked=None, sound=frozenset())
    return Failure(await _conflict(store=store, prefix=prefix, since=base.revision, now=after))


async def _accepted_earlier(
    *, store: Store, prefix: str, apply_id: str, base: Accepted
) -> Result[Head | None, ApplyError]:
    """Return what this very apply had accepted, also when others went on from it."""
    if base.head is None or base.head.apply_id == apply_id:
        return Success(base.head)
    found = await find_audit(store=store, prefix=prefix, newest=base.revision, apply_id=apply_id)
    if isinstance(found, Failure):
        return Failure(apply_error(error=found.failure()))
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


async def _conflict(*, store: Store, prefix: str, since: Revision, now: Accepted) -> ApplyError:
    last = min(max(now.revision - since, 1), OTHERS_SHOWN)
    records = await read_audit(store=store, prefix=prefix, newest=now.revision, last=last)
    others = records.value_or(())
    author = now.head.author if now.head is not None else ""
    changes = tuple(
        f"revision {record.revision} by {record.author}: {line}"
        for record in reversed(others)
        for line in record.changes
    )
    detail = (
        f"Revision {now.revision} by {author or 'another operator'} was accepted first, so nothing "
        f"of this set was; take in the changes made since revision {since} and apply again."
    )
    return ApplyError(
        kind=ApplyErrorKind.CONFLICT,
        detail=detail,
        in_force=now.revision,
        author=author,
        changes=changes,
    )


def _too_large(*, title: str) -> ApplyError:
    detail = f"The section [{title}] is over {MAX_SECTION_BYTES} bytes; shorten its lists."
    return ApplyError(kind=ApplyErrorKind.TOO_LARGE, detail=detail)
