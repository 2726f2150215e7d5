"""Cancellation of abandoned attempts on engines."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from typing import final

from returns.result import Failure

from tanagerscale.core import AttemptId
from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.upstreams import EngineClient
from tanagerscale.upstreams import UpstreamErrorKind

MAX_TRIES = 5
INITIAL_BACKOFF_MS = 200
MAX_PENDING_CANCELLATIONS = 4096
MAX_MOVED_ATTEMPTS = 4096
"""Number of attempts remembered as moved to other hosts, whose delayed cancellation is skipped."""

_log = get_logger(part="dispatch")


@final
class Canceller:
    """Cancels attempts on engines in background tasks.

    An attempt that is not cancelled only costs engine time, because none of its tokens are
    accepted. A cancellation is therefore tried a limited number of times and then abandoned.

    :param get_client: Returns the client of an engine.
    :param clock: Clock used for delays.
    """

    def __init__(self, *, get_client: Callable[[UpstreamId], EngineClient], clock: Clock) -> None:
        self._get_client = get_client
        self._clock = clock
        self._tasks: dict[AttemptId, asyncio.Task[None]] = {}
        self._moved_to_peers: OrderedDict[AttemptId, None] = OrderedDict()
        self._delayed_cancellations_disabled = False

    def cancel(self, *, attempt: AttemptId, engine: UpstreamId, after_ms: int = 0) -> None:
        """Start to cancel an attempt.

        :param attempt: Id of the attempt.
        :param engine: Engine that runs it.
        :param after_ms: Delay before the first try; a delayed cancellation is skipped if the
            caller continues the attempt at another host.
        """
        # The message that the caller moved may arrive before its disconnection is detected.
        if after_ms > 0 and (
            self._delayed_cancellations_disabled or attempt in self._moved_to_peers
        ):
            return
        if len(self._tasks) >= MAX_PENDING_CANCELLATIONS:
            _log.warning("Too many pending cancellations; one was skipped.", attempt=attempt)
            return
        task = asyncio.ensure_future(self._cancel(attempt, engine, after_ms))
        self._tasks[attempt] = task
        task.add_done_callback(lambda _task: self._tasks.pop(attempt, None))

    def disable_delayed_cancellations(self) -> None:
        """Skip new delayed cancellations, as callers may reconnect elsewhere after a host stop."""
        self._delayed_cancellations_disabled = True

    def on_caller_returned(self, *, attempt: AttemptId) -> None:
        """Abort the cancellation of an attempt whose caller has reconnected to this host.

        :param attempt: Id of the attempt.
        """
        self._moved_to_peers.pop(attempt, None)
        self._abort_cancellation(attempt)

    def on_caller_moved(self, *, attempt: AttemptId) -> None:
        """Abort the cancellation of an attempt whose caller continues it at another host.

        :param attempt: Id of the attempt.
        """
        self._moved_to_peers[attempt] = None
        if len(self._moved_to_peers) > MAX_MOVED_ATTEMPTS:
            self._moved_to_peers.popitem(last=False)
        self._abort_cancellation(attempt)

    def _abort_cancellation(self, attempt: AttemptId) -> None:
        task = self._tasks.pop(attempt, None)
        if task is not None:
            task.cancel()

    async def drain(self) -> None:
        """Wait for the pending cancellations."""
        if self._tasks:
            await asyncio.wait(set(self._tasks.values()))

    async def _cancel(self, attempt: AttemptId, engine: UpstreamId, after_ms: int) -> None:
        await self._clock.sleep(after_ms)
        backoff_ms = INITIAL_BACKOFF_MS
        for _ in range(MAX_TRIES):
            match await self._get_client(engine).cancel(attempt=attempt):
                case Failure(error) if error.kind is not UpstreamErrorKind.NOT_SENT:
                    await self._clock.sleep(backoff_ms)
                    backoff_ms *= 2
                case _:
                    return
        _log.warning("An attempt could not be cancelled.", attempt=attempt, engine=engine)
