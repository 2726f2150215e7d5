"""Decoding of what upstreams say of themselves in the heads of their responses."""

from __future__ import annotations

from math import ceil
import re
from typing import Final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import UpstreamId
from tanagerscale.platform._headers import LEAVING
from tanagerscale.platform._headers import RETRY_AFTER
from tanagerscale.upstreams import ResponseHead
from tanagerscale.upstreams import UpstreamNotice

HTTP_UNAVAILABLE: Final = 503

MAX_PAUSE_MS: Final = 600_000
"""Longest pause that one response can ask for, in case an upstream sends a wrong number."""

_DECIMAL = re.compile(r"[0-9]+(\.[0-9]*)?|\.[0-9]+", re.ASCII)


def decode_notice(*, upstream: UpstreamId, reply: ResponseHead) -> UpstreamNotice | None:
    """Return what an upstream says of itself in a response; ``None`` if it says nothing.

    :param upstream: The upstream that responded.
    :param reply: Head of the response.
    """
    is_leaving = any(value.strip() == "1" for value in reply.headers.getall(LEAVING, ()))
    pauses_ms: list[int] = []
    if reply.status == HTTP_UNAVAILABLE:
        decoded = (_decode_pause_ms(value) for value in reply.headers.getall(RETRY_AFTER, ()))
        pauses_ms = [pause_ms for pause_ms in decoded if pause_ms is not None]
    pause_ms = max(pauses_ms, default=None)
    if not is_leaving and pause_ms is None:
        return None
    return UpstreamNotice(upstream=upstream, is_leaving=is_leaving, pause_ms=pause_ms)


def _decode_pause_ms(value: str) -> int | None:
    """Return a pause given in seconds; ``None`` for any other value, such as a date."""
    seconds = decode_decimal(value)
    return None if seconds is None else ceil(min(seconds * MS_PER_SECOND, MAX_PAUSE_MS))


def decode_decimal(value: str) -> float | None:
    """Return a decimal number without a sign; ``None`` for any other value."""
    number = value.strip()
    return float(number) if _DECIMAL.fullmatch(number) else None
