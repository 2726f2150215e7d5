"""Reads and encodes audit records, which are stored under one key for each revision."""

from __future__ import annotations

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Revision
from tanagerscale.core import decode_json
from tanagerscale.generated.records import AuditRecord
from tanagerscale.store import Store
from tanagerscale.store import StoreError

MAX_CHANGES = 500
MAX_SEARCHED_RECORDS = 200
REVISION_DIGITS = 12


def audit_key(*, prefix: str, revision: Revision) -> str:
    """Return the store key of a revision's audit record.

    :param prefix: Prefix of all store keys of the installation.
    :param revision: The accepted revision.
    """
    return f"{prefix}/audit/{revision:0{REVISION_DIGITS}d}"


def encode_audit(*, record: AuditRecord) -> bytes:
    """Encode a record for the store; its changes are truncated to ``MAX_CHANGES``."""
    if len(record.changes) > MAX_CHANGES:
        left_out = len(record.changes) - MAX_CHANGES
        changes = [*record.changes[:MAX_CHANGES], f"and {left_out} more"]
        record = msgspec.structs.replace(record, changes=changes)
    return msgspec.json.encode(record)


def decode_audit(*, value: bytes) -> AuditRecord | None:
    """Decode a stored record; return ``None`` if the value is not a valid record."""
    return decode_json(value, AuditRecord).value_or(None)


async def find_audit(
    *, store: Store, prefix: str, newest: Revision, apply_id: str
) -> Result[AuditRecord | None, StoreError]:
    """Find the audit record of an apply.

    :param store: The platform's key-value store.
    :param prefix: Prefix of all store keys of the installation.
    :param newest: Highest revision to search; older ones are searched in descending order.
    :param apply_id: Id of the apply.
    :returns: The record; ``None`` if it is not among the newest ``MAX_SEARCHED_RECORDS``.
    """
    found = await read_audit(store=store, prefix=prefix, newest=newest, limit=MAX_SEARCHED_RECORDS)
    return found.map(
        lambda records: next((record for record in records if record.apply_id == apply_id), None)
    )


async def read_audit(
    *, store: Store, prefix: str, newest: Revision, limit: int
) -> Result[tuple[AuditRecord, ...], StoreError]:
    """Read the most recent audit records, newest first.

    :param store: The platform's key-value store.
    :param prefix: Prefix of all store keys of the installation.
    :param newest: Revision of the first record to read.
    :param limit: Maximum number of revisions to read.
    :returns: The records, without missing or undecodable ones.
    """
    records = []
    for number in range(newest, max(newest - limit, 0), -1):
        result = await store.get(key=audit_key(prefix=prefix, revision=Revision(number)))
        if isinstance(result, Failure):
            return Failure(result.failure())
        entry = result.unwrap()
        record = decode_audit(value=entry.value) if entry is not None else None
        if record is not None:
            records.append(record)
    return Success(tuple(records))
