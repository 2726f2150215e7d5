"""Which engines answer, asked when a request can only wait for engines that it must not use now."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import Final
from typing import final

from returns.pipeline import is_successful

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.upstreams import EngineClient

PROBE_INTERVAL_MS: Final = 500
"""How long the answer of an engine holds, for all requests of a host together."""


@final
class EngineReachability:
    """Asks engines whether they are alive.

    Only the owner of a cell polls its engines. The gate of any other host opens a dead engine again
    after each backoff, so it does not tell whether waiting for the engine can succeed.

    :param get_client: Returns the client of an engine.
    :param clock: Clock that times the answers.
    """

    def __init__(self, *, get_client: Callable[[UpstreamId], EngineClient], clock: Clock) -> None:
        self._get_client = get_client
        self._clock = clock
        self._probes: dict[UpstreamId, tuple[Millis, asyncio.Task[bool]]] = {}

    async def is_any_reachable(self, *, engines: Iterable[UpstreamId]) -> bool:
        """Return whether at least one of some engines answers.

        :param engines: The engines.
        """
        asked = frozenset(engines)
        last_reachable = next((engine for engine in asked if self._was_reachable(engine)), None)
        # Normally this one answers again, and the others need not be asked.
        if last_reachable is not None and await asyncio.shield(self._probe(last_reachable)):
            return True
        probes = [asyncio.shield(self._probe(engine)) for engine in asked]
        for finished in asyncio.as_completed(probes):
            if await finished:
                return True
        return False

    def _was_reachable(self, engine: UpstreamId) -> bool:
        probe = self._probes.get(engine)
        return probe is not None and probe[1].done() and probe[1].result()

    def _probe(self, engine: UpstreamId) -> asyncio.Task[bool]:
        """Return the current probe of an engine, which several requests may await."""
        now = self._clock.now()
        probe = self._probes.get(engine)
        if probe is None or (probe[1].done() and now - probe[0] >= PROBE_INTERVAL_MS):
            probe = now, asyncio.create_task(self._is_reachable(engine))
            self._probes[engine] = probe
        return probe[1]

    async def _is_reachable(self, engine: UpstreamId) -> bool:
        return is_successful(await self._get_client(engine).load())
