"""How far a request has come at its upstream and on its caller's connection, for the log."""

from __future__ import annotations

from enum import Enum
from enum import unique

from msgspec import Struct

from tanagerscale.core import Millis


@unique
class UpstreamEnd(Enum):
    """How an upstream's part of a request has ended."""

    NEVER_SENT = "never-sent"
    AT_WORK = "at-work"
    WHOLE = "whole"
    """Its whole answer has been read."""
    REFUSED = "refused"
    """It was not reached, or has refused the request."""
    BROKEN_OFF = "broken-off"
    STOPPED = "stopped"
    """It has stopped the run, which moves to another one."""


class UpstreamPart(Struct, kw_only=True):
    """The part of the upstream that had a request last.

    :param upstream: The upstream, or the host to which the request was delegated.
    :param end: How its part has ended.
    :param last_event: When its last event was relayed; ``None`` before the first one.
    """

    upstream: str = ""
    end: UpstreamEnd = UpstreamEnd.NEVER_SENT
    last_event: Millis | None = None


@unique
class ConnectionEnd(Enum):
    """How a caller's connection has ended."""

    OPEN = "open"
    END_OF_FILE = "end-of-file"
    """The caller has sent all that it sends."""
    RESET = "reset"
    """The caller, or the network, has ended it with an error."""
    THIS_HOST = "this-host"
    UNKNOWN = "unknown"
    """It has ended in one of these ways."""


class ConnectionState(Struct, frozen=True, kw_only=True):
    """State of a caller's connection.

    :param unread_response_bytes: Bytes written to it that its other side has not acknowledged.
    :param unsent_response_bytes: Those of them that wait at this host, since the other side has no
        space for them.
    :param unread_request_bytes: Bytes that have arrived on it and were not read.
    :param end: How it has ended.
    :param errno: Number of the error that ended it; 0 for none.
    """

    unread_response_bytes: int = 0
    unsent_response_bytes: int = 0
    unread_request_bytes: int = 0
    end: ConnectionEnd = ConnectionEnd.OPEN
    errno: int = 0
