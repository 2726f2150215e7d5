"""Requests in progress, which are answered early when the host stops."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from enum import Enum
from enum import unique
from typing import final

from aiohttp import web

from tanagerscale.claims import ClaimCancelled


@unique
class Interruption(Enum):
    """What is known about a request whose handler was interrupted."""

    NOT_EXECUTED = "not-executed"
    UNKNOWN = "unknown"
    """An upstream may have executed it."""


@final
class RunningRequests:
    """Runs handlers and interrupts those that have not started their response."""

    def __init__(self) -> None:
        # Requests can't be hashed, so both collections contain their ids.
        self._tasks: dict[int, asyncio.Task[object]] = {}
        self._interrupted: set[int] = set()

    async def run(
        self, *, request: web.Request, handling: Awaitable[web.StreamResponse]
    ) -> web.StreamResponse | Interruption:
        """Run the handler of a request in the current task.

        :param request: Request that is handled.
        :param handling: Call of its handler.
        :returns: Response of the handler, or what is known of the request if it was interrupted.
        """
        task = asyncio.current_task()
        assert task is not None
        self._tasks[id(request)] = task
        try:
            return await handling
        except asyncio.CancelledError as error:
            # The remaining cancellations are those of a caller that has disconnected.
            if id(request) not in self._interrupted or task.uncancel() > 0:
                raise
            # Nothing runs before the body has been read completely.
            is_unsent = isinstance(error, ClaimCancelled) or not request.content.is_eof()
            return Interruption.NOT_EXECUTED if is_unsent else Interruption.UNKNOWN
        finally:
            self._tasks.pop(id(request), None)
            self._interrupted.discard(id(request))

    def on_response_started(self, *, request: web.Request) -> None:
        """Exempt a request from interruption, because its response can't be replaced anymore.

        :param request: Request whose response header is about to be sent.
        """
        self._tasks.pop(id(request), None)

    def interrupt(self) -> None:
        """Interrupt all handlers that have not started their response."""
        for request_id, task in self._tasks.items():
            if request_id not in self._interrupted:
                self._interrupted.add(request_id)
                task.cancel()
