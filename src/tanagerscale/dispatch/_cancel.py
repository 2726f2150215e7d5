"""Cancellation of attempts that were given up."""

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

TRIES = 5
FIRST_PAUSE_MS = 200
MAX_PENDING = 4096
MAX_LEFT_TO_PEERS = 4096
"""Attempts remembered whose callers went to other hosts, so that their leaving cancels nothing."""

_log = get_logger(part="dispatch")


@final
class Canceller:
    """Tells engines to stop attempts, in the background.

    An attempt that goes on costs engine time and nothing else, since no token of it is accepted;
    so a cancellation is tried a few times and then left.

    :param client_of: Returns the client of an engine.
    :param clock: Times the pauses.
    """

    def __init__(self, *, client_of: Callable[[UpstreamId], EngineClient], clock: Clock) -> None:
        self._client_of = client_of
        self._clock = clock
        self._tasks: dict[AttemptId, asyncio.Task[None]] = {}
        self._left_to_peers: OrderedDict[AttemptId, None] = OrderedDict()
        self._handing_over = False

    def cancel(self, *, attempt: AttemptId, engine: UpstreamId, after_ms: int = 0) -> None:
        """Start to cancel an attempt.

        :param attempt: The attempt.
        :param engine: Where it runs.
        :param after_ms: Pause before the first try.
        """
        # The word that a caller has come back may be quicker than the sight of its leaving.
        if after_ms > 0 and (self._handing_over or attempt in self._left_to_peers):
            return
        if len(self._tasks) >= MAX_PENDING:
            _log.warning("Too many cancellations wait; one was left out.", attempt=attempt)
            return
        task = asyncio.ensure_future(self._cancel(attempt, engine, after_ms))
        self._tasks[attempt] = task
        task.add_done_callback(lambda _task: self._tasks.pop(attempt, None))

    def hand_over(self) -> None:
        """Let attempts go on whose callers may come back, since this host is stopping."""
        self._handing_over = True

    def keep(self, *, attempt: AttemptId) -> None:
        """Let an attempt go on, since its caller has come back to this host.

        :param attempt: The attempt.
        """
        self._left_to_peers.pop(attempt, None)
        self._drop(attempt)

    def leave_to_peer(self, *, attempt: AttemptId) -> None:
        """Let an attempt go on, since its caller goes on with it at another host.

        :param attempt: The attempt.
        """
        self._left_to_peers[attempt] = None
        if len(self._left_to_peers) > MAX_LEFT_TO_PEERS:
            self._left_to_peers.popitem(last=False)
        self._drop(attempt)

    def _drop(self, attempt: AttemptId) -> None:
        task = self._tasks.pop(attempt, None)
        if task is not None:
            task.cancel()

    async def drain(self) -> None:
        """Wait for the cancellations under way."""
        if self._tasks:
            await asyncio.wait(set(self._tasks.values()))

    async def _cancel(self, attempt: AttemptId, engine: UpstreamId, after_ms: int) -> None:
        await self._clock.sleep(after_ms)
        pause = FIRST_PAUSE_MS
        for _ in range(TRIES):
            match await self._client_of(engine).cancel(attempt=attempt):
                case Failure(error) if error.kind is not UpstreamErrorKind.NOT_SENT:
                    await self._clock.sleep(pause)
                    pause *= 2
                case _:
                    return
        _log.warning("An attempt could not be cancelled.", attempt=attempt, engine=engine)
