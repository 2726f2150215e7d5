"""Reads the load and the cache events of the engines this host decides for."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.upstream import CacheEvents
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.policy import EngineLoad
from tanagerscale.routing._owner import CellOwner
from tanagerscale.routing._protocol import UpstreamOpenness
from tanagerscale.upstreams import EngineClient
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind

POLL_MS = 500
_FAILURES_OF_LOST_ENGINE = 2

log = get_logger(part="routing")


@final
class EnginePollers:
    """One task for each engine, started and stopped as cells change hands.

    :param clients: Gives an engine's client; ``None`` means that no engine is read.
    :param clock: Time.
    :param gate: Is told which engines answer, and which are leaving.
    :param decider: Returns who decides for an engine here now.
    """

    def __init__(
        self,
        *,
        clients: Callable[[UpstreamId], EngineClient] | None,
        clock: Clock,
        gate: UpstreamOpenness,
        decider: Callable[[UpstreamId], CellOwner | None],
    ) -> None:
        self._clients = clients
        self._clock = clock
        self._gate = gate
        self._decider = decider
        self._tasks: dict[UpstreamId, asyncio.Task[None]] = {}

    def set_engines(self, engines: frozenset[UpstreamId]) -> None:
        """Replace the engines to read."""
        if self._clients is None:
            return
        for engine in self._tasks.keys() - engines:
            self._tasks.pop(engine).cancel()
        for engine in engines - self._tasks.keys():
            self._tasks[engine] = asyncio.create_task(
                self._poll(engine=engine, clients=self._clients)
            )

    async def stop(self) -> None:
        """Read no more."""
        tasks = tuple(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll(
        self, *, engine: UpstreamId, clients: Callable[[UpstreamId], EngineClient]
    ) -> None:
        failures = 0
        after = 0
        while True:
            client = clients(engine)  # New declarations may have given it another address.
            read = await client.load()
            if isinstance(read, Success):
                failures = 0
                self._on_load(engine, read.unwrap())
                after = await self._read_cache(engine=engine, client=client, after=after)
            else:
                failures += 1
                self._on_failure(engine, read.failure(), failures=failures)
            await self._clock.sleep(POLL_MS)

    def _on_load(self, engine: UpstreamId, report: LoadReport) -> None:
        self._gate.note_up(upstream=engine)
        if report.leaving:
            self._gate.note_leaving(upstream=engine)
        decider = self._decider(engine)
        if decider is None:
            return
        decider.on_load(
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
        decider = self._decider(engine)
        for event in events.events:
            if decider is not None:
                decider.on_cache(engine=engine, prefix=event.prefix, stored=event.stored)
        reached: int = events.next_sequence - 1
        return max(reached, 0)

    def _on_failure(self, engine: UpstreamId, error: UpstreamError, *, failures: int) -> None:
        if error.kind is UpstreamErrorKind.NOT_SENT:
            self._gate.note_down(upstream=engine)
        if failures != _FAILURES_OF_LOST_ENGINE or error.kind is not UpstreamErrorKind.NOT_SENT:
            return
        log.warning("Engine lost.", engine=engine, cause=error.detail)
        decider = self._decider(engine)
        if decider is not None:
            decider.on_engine_lost(engine=engine)
