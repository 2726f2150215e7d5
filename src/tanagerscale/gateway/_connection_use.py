"""How a caller uses a connection."""

from __future__ import annotations

import asyncio
from typing import Any

from aiohttp import web
from msgspec import Struct

from tanagerscale.core import Millis
from tanagerscale.core import RequestId


class ConnectionUse(Struct, kw_only=True, eq=False):
    """How a caller uses a connection.

    :param opened: When the connection was accepted.
    :param last_active: When data last arrived on it or a response ended.
    :param idle_ms: Time without a request as the checks for idle connections have seen it.
    :param head_began: When the head that is not complete began; ``None`` if there is none.
    :param head_ms: Time since then as the checks for idle connections have seen it.
    :param requests: Number of requests that have been handled on it.
    :param is_handling: Whether a request on it is being handled.
    :param has_begun_response: Whether the response to the request that is being handled has begun.
    :param has_unhandled_data: Whether data of a request has arrived whose handling has not begun.
    :param must_close: Whether to close it after its next response.
    :param request: The last request that was read on it; ``None`` while the next one is being read.
    :param next_request: Request whose handling is about to begin; ``None`` while there is none.
    :param handler: Task that handles a request on it; ``None`` while there is none.
    """

    opened: Millis
    last_active: Millis
    idle_ms: int = 0
    head_began: Millis | None = None
    head_ms: int = 0
    requests: int = 0
    is_handling: bool = False
    has_begun_response: bool = False
    has_unhandled_data: bool = False
    must_close: bool = False
    request: RequestId | None = None
    handler: asyncio.Task[Any] | None = None
    next_request: web.BaseRequest | None = None

    @property
    def is_unanswered(self) -> bool:
        """Whether a request has been read, at least in part, whose response has not begun."""
        return self.has_unhandled_data or (self.is_handling and not self.has_begun_response)

    def begin_request(self) -> None:
        """Record that the current task begins to handle a request."""
        self.is_handling = True
        self.has_begun_response = False
        self.request = self.next_request = None
        self.handler = asyncio.current_task()
        self.has_unhandled_data = False

    def begin_response(self) -> None:
        """Record that the response to the request has begun."""
        self.has_begun_response = True

    def end_request(self, *, now: Millis) -> None:
        """Record that the handling of a request has ended."""
        self.is_handling = False
        self.handler = None
        self.requests += 1
        self.record_activity(now=now)

    def record_activity(self, *, now: Millis) -> None:
        """Record that data has arrived or a response has ended."""
        self.last_active = now
        self.idle_ms = 0

    def end_head(self) -> None:
        """Record that no head is incomplete."""
        self.head_began = None
        self.head_ms = 0

    def add_idle_time(self, *, now: Millis, limit_ms: int) -> None:
        """Count the time since the last check for idle connections, or since the last activity.

        :param now: Current time.
        :param limit_ms: Longest time to count. An event loop that stood still for longer has not
            seen what arrived meanwhile.
        """
        self.idle_ms += min(now - self.last_active, limit_ms)
        if self.head_began is not None and not self.is_handling:
            self.head_ms += min(now - self.head_began, limit_ms)
