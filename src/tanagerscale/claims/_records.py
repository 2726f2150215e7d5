"""Claims as they stand in the store."""

from __future__ import annotations

import base64
import binascii
from typing import Final

import msgspec

from tanagerscale.claims._types import ClaimOutcome
from tanagerscale.generated.records import ClaimRecord
from tanagerscale.generated.records import ClaimState

MAX_BODY_BYTES: Final = 256 * 1024
"""Longest answer that is recorded; in base64 it stays well inside one value of the store."""

NOT_KEPT_STATUS: Final = 0
"""Status of a call that is done while its answer was too large to keep."""


def decode_record(value: bytes) -> ClaimRecord | None:
    """Decode a claim; ``None`` when it is malformed."""
    try:
        return msgspec.json.decode(value, type=ClaimRecord)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None


def to_record(*, claimed: ClaimRecord, outcome: ClaimOutcome) -> ClaimRecord:
    """Add an outcome to a claim; an answer that is too large is left out."""
    if len(outcome.body) > MAX_BODY_BYTES:
        return msgspec.structs.replace(claimed, state=outcome.state, status=NOT_KEPT_STATUS)
    return msgspec.structs.replace(
        claimed,
        state=outcome.state,
        status=outcome.status,
        content_type=outcome.content_type,
        body=base64.b64encode(outcome.body).decode(),
    )


def to_outcome(record: ClaimRecord) -> ClaimOutcome | None:
    """Return the outcome of a claim that is done; ``None`` when its answer was not kept."""
    if record.status == NOT_KEPT_STATUS:
        return None
    try:
        body = base64.b64decode(record.body, validate=True)
    except (binascii.Error, ValueError):
        return None
    return ClaimOutcome(
        state=record.state, status=record.status, content_type=record.content_type, body=body
    )


def is_final(record: ClaimRecord) -> bool:
    """Tell whether the claim's outcome has been recorded."""
    return record.state is not ClaimState.CLAIMED
