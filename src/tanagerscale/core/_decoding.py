"""Decoding of bytes that other processes wrote.

Decoders raise many kinds of errors on hostile input. Here all of them become a reason for which the
input is rejected, so that no input ends the task that reads it.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import accumulate
import re
from typing import Final
from typing import TypeVar

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

MAX_DOCUMENT_BYTES: Final = 16 * 1024 * 1024
"""As much as the body of a response may have."""

MAX_DEPTH: Final = 32
"""Levels of arrays and objects; the formats in use have at most eight. Without a limit the caller's
stack would decide which documents are valid."""

MAX_REASON_CHARS: Final = 300
"""Decoders quote the input in their messages."""

_STRINGS: Final = re.compile(rb'"(?:[^"\\]++|\\.)*+"?', re.DOTALL)
_STEPS: Final = bytes.maketrans(b"[]{}", b"\x01\xff\x01\xff")
"""Maps opening brackets to 1 and closing ones to -1, as signed bytes."""

_NOT_BRACKETS: Final = bytes(byte for byte in range(256) if byte not in b"[]{}")

T = TypeVar("T")


def decode_json(
    data: bytes, kind: type[T], *, strict: bool = True, max_bytes: int = MAX_DOCUMENT_BYTES
) -> Result[T, str]:
    """Decode a JSON document.

    :param data: The document; it is untrusted.
    :param kind: Type of the value.
    :param strict: Whether numbers must not be written as strings.
    :param max_bytes: Size in bytes above which the document is rejected.
    :returns: The value, or the reason why the document is rejected.
    """
    if len(data) > max_bytes:
        return Failure(f"it has {len(data)} bytes, and at most {max_bytes} are allowed")
    if _is_too_deep(data):
        return Failure(f"it is nested more than {MAX_DEPTH} levels deep")
    return attempt_decoding(lambda: _decode_utf8_json(data, kind, strict))


def attempt_decoding(decode: Callable[[], T]) -> Result[T, str]:
    """Run a decoder on untrusted input.

    :param decode: Decodes the input, and raises any exception if it can't.
    :returns: The value, or the reason why the input is rejected.
    """
    try:
        return Success(decode())
    # RecursionError, OverflowError and the errors of nested decoders have no other common base.
    except Exception as error:
        return Failure((str(error) or type(error).__name__)[:MAX_REASON_CHARS])


def _decode_utf8_json(data: bytes, kind: type[T], strict: bool) -> T:
    if not data.isascii():
        # The decoder does not check what it skips.
        data.decode()
    return msgspec.json.decode(data, type=kind, strict=strict)


def _is_too_deep(document: bytes) -> bool:
    """Return whether a document has too many levels of arrays and objects."""
    if document.count(b"[") + document.count(b"{") <= MAX_DEPTH:
        return False
    steps = _STRINGS.sub(b"", document).translate(_STEPS, _NOT_BRACKETS)
    return max(accumulate(memoryview(steps).cast("b")), default=0) > MAX_DEPTH
