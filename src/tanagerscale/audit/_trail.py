"""Audit records in the store, one key for each revision."""

from __future__ import annotations

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Revision
from tanagerscale.generated.records import AuditRecord
from tanagerscale.store import Store
from tanagerscale.store import StoreError

MAX_CHANGES = 500
MAX_SEARCHED = 200
REVISION_DIGITS = 12


def audit_key(*, prefix: str, revision: Revision) -> str:
    """Return the store key of one revision's record.

    :param prefix: What all keys of the installation start with.
    :param revision: The revision that was accepted.
    """
    return f"{prefix}/audit/{revision:0{REVISION_DIGITS}d}"


def encode_audit(*, record: AuditRecord) -> bytes:
    """Return a record as it stands in the store; a very long list of changes is cut short."""
    if len(record.changes) > MAX_CHANGES:
        left_out = len(record.changes) - MAX_CHANGES
        changes = [*record.changes[:MAX_CHANGES], f"and {left_out} more"]
        record = msgspec.structs.replace(record, changes=changes)
    return msgspec.json.encode(record)


def decode_audit(*, value: bytes) -> AuditRecord | None:
    """Return the record that stands in a value, or ``None`` when the value is none."""
    try:
        return msgspec.json.decode(value, type=AuditRecord)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None


async def find_audit(
    *, store: Store, prefix: str, newest: Revision, apply_id: str
) -> Result[AuditRecord | None, StoreError]:
    """Find what one apply had accepted, however many others went on from it.

    :param store: The platform's key-value service.
    :param prefix: What all keys of the installation start with.
    :param newest: Revision to begin with.
    :param apply_id: The id of the apply.
    :returns: Its record, or ``None`` when it isn't among the newest ``MAX_SEARCHED``.
    """
    found = await read_audit(store=store, prefix=prefix, newest=newest, last=MAX_SEARCHED)
    return found.map(
        lambda records: next((record for record in records if record.apply_id == apply_id), None)
    )


async def read_audit(
    *, store: Store, prefix: str, newest: Revision, last: int
) -> Result[tuple[AuditRecord, ...], StoreError]:
    """Read the most recent records, newest first.

    :param store: The platform's key-value service.
    :param prefix: What all keys of the installation start with.
    :param newest: Revision to begin with.
    :param last: How many records to read at most.
    :returns: The records; unreadable or missing ones are left out.
    """
    records = []
    for number in range(newest, max(newest - last, 0), -1):
        result = await store.get(key=audit_key(prefix=prefix, revision=Revision(number)))
        if isinstance(result, Failure):
            return Failure(result.failure())
        entry = result.unwrap()
        record = decode_audit(value=entry.value) if entry is not None else None
        if record is not None:
            records.append(record)
    return Success(tuple(records))
