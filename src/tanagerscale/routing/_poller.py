"""Polling of the load and the cache events of engines in owned cells."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import final

from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import TaskMonitor
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.upstream import CacheEvents
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.policy import EngineLoad
from tanagerscale.routing._owner import CellOwner
from tanagerscale.routing._protocol import UpstreamAvailability
from tanagerscale.upstreams import EngineClient
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind

POLL_INTERVAL_MS = 500
_LOST_AFTER_FAILURES = 2
"""Number of consecutive failed polls after which an unreachable engine is reported as lost."""

log = get_logger(part="routing")


@final
class EnginePollers:
    """Polls each engine in a task, which starts and stops when ownership of its cell changes.

    :param get_client: Returns the client of an engine; ``None`` disables polling.
    :param clock: Clock of this host.
    :param gate: Records which engines are reachable and which are leaving.
    :param get_owner: Returns the owner of an engine's cell on this host, or ``None``.
    """

    def __init__(
        self,
        *,
        get_client: Callable[[UpstreamId], EngineClient] | None,
        clock: Clock,
        gate: UpstreamAvailability,
        get_owner: Callable[[UpstreamId], CellOwner | None],
    ) -> None:
        self._get_client = get_client
        self._clock = clock
        self._gate = gate
        self._get_owner = get_owner
        self._monitor = TaskMonitor(clock=clock)
        self._tasks: dict[UpstreamId, asyncio.Task[None]] = {}

    def set_engines(self, engines: frozenset[UpstreamId]) -> None:
        """Replace the engines to poll."""
        if self._get_client is None:
            return
        for engine in self._tasks.keys() - engines:
            self._tasks.pop(engine).cancel()
        for engine in engines - self._tasks.keys():
            poll = partial(self._poll, engine=engine, get_client=self._get_client)
            self._tasks[engine] = self._monitor.start(poll, name="engine-poll")

    async def stop(self) -> None:
        """Stop polling."""
        tasks = tuple(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll(
        self, *, engine: UpstreamId, get_client: Callable[[UpstreamId], EngineClient]
    ) -> None:
        failures = 0
        after = 0
        while True:
            client = get_client(engine)  # New declarations may have changed its address.
            read = await client.load()
            if isinstance(read, Success):
                failures = 0
                self._on_load(engine, read.unwrap())
                after = await self._read_cache(engine=engine, client=client, after=after)
            else:
                failures += 1
                self._on_failure(engine, read.failure(), failures=failures)
            await self._clock.sleep(POLL_INTERVAL_MS)

    def _on_load(self, engine: UpstreamId, report: LoadReport) -> None:
        self._gate.record_success(upstream=engine)
        if report.leaving:
            self._gate.record_leaving(upstream=engine)
        owner = self._get_owner(engine)
        if owner is None:
            return
        owner.on_load(
            EngineLoad(
                engine=engine,
                measured=Millis(self._clock.now() - report.age_ms),
                running=report.running,
                waiting=report.waiting,
                used_tokens=report.used_tokens,
                preemptions=report.preemptions,
            )
        )

    async def _read_cache(self, *, engine: UpstreamId, client: EngineClient, after: int) -> int:
        read = await client.cache_events(after=after)
        if not isinstance(read, Success):
            return after
        events: CacheEvents = read.unwrap()
        owner = self._get_owner(engine)
        for event in events.events:
            if owner is not None:
                owner.on_cache(engine=engine, prefix=event.prefix, stored=event.stored)
        reached: int = events.next_sequence - 1
        return max(reached, 0)

    def _on_failure(self, engine: UpstreamId, error: UpstreamError, *, failures: int) -> None:
        if error.kind is UpstreamErrorKind.NOT_SENT:
            self._gate.record_failure(upstream=engine)
        if failures != _LOST_AFTER_FAILURES or error.kind is not UpstreamErrorKind.NOT_SENT:
            return
        log.warning("Engine lost.", engine=engine, cause=error.detail)
        owner = self._get_owner(engine)
        if owner is not None:
            owner.on_engine_lost(engine=engine)
