"""The head record, which names the accepted revision and its chunks."""

from __future__ import annotations

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import decode_json
from tanagerscale.declarations._errors import FollowError
from tanagerscale.declarations._errors import FollowErrorKind
from tanagerscale.generated.records import Head

MAX_HEAD_BYTES = 512 * 1024
MAX_CHUNKS = 4096


def decode_head(*, value: bytes) -> Result[Head, FollowError]:
    """Decode and validate a head record.

    :param value: JSON from the store or from a peer.
    """
    decoded = decode_json(value, Head)
    if isinstance(decoded, Failure):
        return Failure(_bad_head(reason=decoded.failure()))
    head = decoded.unwrap()
    if head.revision < 1 or not 0 < len(head.chunks) <= MAX_CHUNKS:
        return Failure(_bad_head(reason="its revision or its number of chunks is out of range"))
    return Success(head)


def _bad_head(*, reason: str) -> FollowError:
    return FollowError(
        kind=FollowErrorKind.BAD_HEAD,
        detail=f"The head record can't be decoded ({reason}); apply the declarations again.",
    )
