"""Names of the platform's header fields, and which fields are forwarded."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Mapping
from typing import Final

REQUEST_ID: Final = "Tanagerscale-Attempt-Id"
"""Identifies one attempt of a caller. Retries by the caller have other ids, so that the gateway
treats it as a request id."""
TIME_LEFT: Final = "Tanagerscale-Deadline-Remaining"
PROMPT_PARTS: Final = "Tanagerscale-Prompt-Prefix"
"""The complete prompt as a chain of parts, not only a shared prefix."""
LAST_EVENT: Final = "Last-Event-Id"
SIGNATURE: Final = "Tanagerscale-Server-Stamp"
ACCOUNT: Final = "Tanagerscale-Tenant"
EXPECTED_UPSTREAM: Final = "Tanagerscale-Expect-Instance"
NOT_EXECUTED: Final = "Tanagerscale-Not-Executed"
UPSTREAM: Final = "Tanagerscale-Instance-Id"
MODEL: Final = "Tanagerscale-Model"
TOKENS: Final = "Tanagerscale-Token-Usage"
"""Prompt tokens and maximum output tokens of the request, not the actual usage."""
PRIORITY: Final = "Tanagerscale-Request-Priority"
EXPECTED_VERSION: Final = "Tanagerscale-Expect-Version"
PIN: Final = "Tanagerscale-Pin-Duration"
HOLD: Final = "Tanagerscale-Hold"
EXPECTED_LENGTH: Final = "Tanagerscale-Length-Hint"
LEAVING: Final = "Server-Leaving"
RETRY_AFTER: Final = "Retry-After"
RATE_LIMIT: Final = "Server-Limit"
"""Requests a second that an upstream takes from all hosts together."""
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
_GATEWAY_FIELDS: Final = frozenset(
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
"""Fields that a caller cannot remove by listing them in its ``Connection`` field."""


def forwarded_request_headers(
    headers: Mapping[str, str], fields: Iterable[tuple[str, str]]
) -> tuple[tuple[str, str], ...]:
    """Return the header fields of a request that are forwarded unchanged to the upstream.

    :param headers: All fields by name.
    :param fields: The same fields in order, including repeated ones.
    """
    excluded = _CONNECTION_FIELDS | _GATEWAY_FIELDS | _connection_options(headers)
    return tuple((name, value) for name, value in fields if name.lower() not in excluded)


def forwarded_response_headers(
    headers: Mapping[str, str], fields: Iterable[tuple[str, str]]
) -> tuple[tuple[str, str], ...]:
    """Return the header fields of a response that are forwarded unchanged to the caller."""
    excluded = _CONNECTION_FIELDS | _connection_options(headers) | {"content-length"}
    return tuple((name, value) for name, value in fields if name.lower() not in excluded)


def _connection_options(headers: Mapping[str, str]) -> frozenset[str]:
    named = headers.get("Connection")
    if named is None:
        return frozenset()
    return frozenset(part.strip().lower() for part in named.split(",")) - _PROTECTED
