"""Statuses of responses that can't be answers (RFC 9110, 15)."""

from __future__ import annotations

from typing import Final

from aiohttp.http import RawResponseMessage

HTTP_SWITCHING_PROTOCOLS: Final = 101

_INTERIM_STATUSES: Final = range(100, 200)

_FINAL_STATUSES: Final = range(200, 600)


def is_interim(message: RawResponseMessage) -> bool:
    """Return whether another head follows the head of a response.

    :param message: The head.
    """
    return (
        message.code in _INTERIM_STATUSES
        and message.code != HTTP_SWITCHING_PROTOCOLS
        and not _has_body(message)
    )


def find_status_fault(message: RawResponseMessage) -> str:
    """Return why the head of a response that is not interim can't be an answer; empty if it can.

    :param message: The head.
    """
    if message.code in _FINAL_STATUSES:
        return ""
    if message.code == HTTP_SWITCHING_PROTOCOLS:
        return "The peer switched to another protocol"
    if message.code in _INTERIM_STATUSES:
        return f"An interim answer ({message.code}) has a body"
    return f"The answer has the invalid status {message.code:03}"


def _has_body(message: RawResponseMessage) -> bool:
    """Return whether a head announces a body, which an interim one must not (RFC 9110, 8.6)."""
    return "Content-Length" in message.headers or "Transfer-Encoding" in message.headers
