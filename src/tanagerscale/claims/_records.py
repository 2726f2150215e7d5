"""Encoding and decoding of claim records."""

from __future__ import annotations

import base64
import binascii
from typing import Final

import msgspec

from tanagerscale.claims._types import ClaimOutcome
from tanagerscale.core import decode_json
from tanagerscale.generated.records import ClaimRecord
from tanagerscale.generated.records import ClaimState

MAX_BODY_BYTES: Final = 256 * 1024
"""Maximum size of a recorded answer; its base64 form is well below the size limit of the store."""

BODY_NOT_RECORDED_STATUS: Final = 0
"""Status in the record of a completed call whose answer was too large to record."""


def decode_record(value: bytes) -> ClaimRecord | None:
    """Decode a claim.

    :returns: The claim; ``None`` if it is malformed.
    """
    return decode_json(value, ClaimRecord).value_or(None)


def to_record(*, claimed: ClaimRecord, outcome: ClaimOutcome) -> ClaimRecord:
    """Return a claim with an outcome; an answer above ``MAX_BODY_BYTES`` is omitted."""
    if len(outcome.body) > MAX_BODY_BYTES:
        return msgspec.structs.replace(
            claimed, state=outcome.state, status=BODY_NOT_RECORDED_STATUS
        )
    return msgspec.structs.replace(
        claimed,
        state=outcome.state,
        status=outcome.status,
        content_type=outcome.content_type,
        body=base64.b64encode(outcome.body).decode(),
    )


def to_outcome(record: ClaimRecord) -> ClaimOutcome | None:
    """Return the outcome of a completed claim.

    :returns: The outcome; ``None`` if its answer was not recorded or is malformed.
    """
    if record.status == BODY_NOT_RECORDED_STATUS:
        return None
    try:
        body = base64.b64decode(record.body, validate=True)
    except (binascii.Error, ValueError):
        return None
    return ClaimOutcome(
        state=record.state, status=record.status, content_type=record.content_type, body=body
    )


def is_final(record: ClaimRecord) -> bool:
    """Return whether the outcome of a claim has been recorded."""
    return record.state is not ClaimState.CLAIMED
