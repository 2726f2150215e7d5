"""Names of the platform's header fields, and which of them pass from callers to upstreams."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Final

REQUEST_ID: Final = "Tanagerscale-Attempt-Id"
"""Names one try of a caller; its repeats have other ids, so it is a request id to us."""
TIME_LEFT: Final = "Tanagerscale-Deadline-Remaining"
PROMPT_PARTS: Final = "Tanagerscale-Prompt-Prefix"
"""The whole prompt as a chain of parts, not only its shared beginning."""
LAST_EVENT: Final = "Last-Event-Id"
SIGNATURE: Final = "Tanagerscale-Server-Stamp"
ACCOUNT: Final = "Tanagerscale-Tenant"
EXPECTED_UPSTREAM: Final = "Tanagerscale-Expect-Instance"
NOT_EXECUTED: Final = "Tanagerscale-Not-Executed"
UPSTREAM: Final = "Tanagerscale-Instance-Id"
MODEL: Final = "Tanagerscale-Model"
TOKENS: Final = "Tanagerscale-Token-Usage"
"""Tokens of the prompt and most tokens of the answer, not what was used."""
PRIORITY: Final = "Tanagerscale-Request-Priority"
EXPECTED_VERSION: Final = "Tanagerscale-Expect-Version"
PIN: Final = "Tanagerscale-Pin-Duration"
HOLD: Final = "Tanagerscale-Hold"
EXPECTED_LENGTH: Final = "Tanagerscale-Length-Hint"
BACKUP_TO: Final = "Tanagerscale-Kv-Backup"
CONTINUE_FROM: Final = "Kv-From"
FETCH_FROM: Final = "Kv-Fetch"

_CONNECTION_FIELDS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
_OUR_FIELDS: Final = frozenset(
    name.lower()
    for name in (
        "Host",
        "Content-Length",
        "Authorization",
        TIME_LEFT,
        LAST_EVENT,
        ACCOUNT,
        EXPECTED_UPSTREAM,
        EXPECTED_VERSION,
        NOT_EXECUTED,
        PRIORITY,
        PIN,
        HOLD,
        BACKUP_TO,
        CONTINUE_FROM,
        FETCH_FROM,
    )
)
_PROTECTED: Final = frozenset(
    name.lower() for name in (REQUEST_ID, MODEL, TOKENS, PROMPT_PARTS, EXPECTED_LENGTH)
)
"""A caller can't have these taken out by naming them as fields of its connection."""


def passed_on(
    headers: Mapping[str, str], fields: Iterable[tuple[str, str]]
) -> tuple[tuple[str, str], ...]:
    """Return the fields of a request that go to the upstream as they are.

    :param headers: All fields, by name.
    :param fields: The same in order, repeated ones included.
    """
    left_out = _CONNECTION_FIELDS | _OUR_FIELDS | _named_by_connection(headers)
    return tuple((name, value) for name, value in fields if name.lower() not in left_out)


def returned(
    headers: Mapping[str, str], fields: Iterable[tuple[str, str]]
) -> tuple[tuple[str, str], ...]:
    """Return the fields of an answer that go to the caller as they are."""
    left_out = _CONNECTION_FIELDS | _named_by_connection(headers) | {"content-length"}
    return tuple((name, value) for name, value in fields if name.lower() not in left_out)


def _named_by_connection(headers: Mapping[str, str]) -> frozenset[str]:
    named = headers.get("Connection")
    if named is None:
        return frozenset()
    return frozenset(part.strip().lower() for part in named.split(",")) - _PROTECTED
