"""Small adapters between the components of a host."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager
from contextlib import nullcontext
from typing import final

import aiohttp

from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.declarations import Declarations
from tanagerscale.membership import UpstreamGate
from tanagerscale.upstreams import EngineClient
from tanagerscale.upstreams import HttpEngineClient
from tanagerscale.upstreams import make_single_use_session

UNDECLARED_ADDRESS = "127.0.0.1:0"
"""Address on which nothing listens, so that a call fails like one to an unreachable engine."""


@final
class GateHealthRecorder:
    """Records the results of upstream calls in the upstream gate.

    :param gate: Tracks which upstreams accept new work.
    """

    def __init__(self, *, gate: UpstreamGate) -> None:
        self._gate = gate

    def record_leaving(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream announced that it accepts no new work."""
        self._gate.record_leaving(upstream=upstream)

    def record_failure(self, *, upstream: UpstreamId) -> None:
        """Record that a call to an upstream failed."""
        self._gate.record_failure(upstream=upstream)

    def record_success(self, *, upstream: UpstreamId) -> None:
        """Record that a call to an upstream succeeded."""
        self._gate.record_success(upstream=upstream)


@final
class EngineClients:
    """Caches one client per engine address, and has the HTTP sessions that they share.

    :param declarations: Returns the declarations in force, or ``None`` if there are none yet.
    """

    def __init__(self, *, declarations: Callable[[], Declarations | None]) -> None:
        self._session = make_single_use_session()
        self._poll_session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._declarations = declarations
        self._clients: dict[str, HttpEngineClient] = {}

    def get_client(self, engine: UpstreamId) -> EngineClient:
        """Return the client of an engine.

        :param engine: Declared name of the engine. Calls to an engine that is no longer declared
            fail as unreachable.
        """
        declarations = self._declarations()
        declared = declarations.engines.get(engine) if declarations is not None else None
        address = declared.address if declared is not None else UNDECLARED_ADDRESS
        client = self._clients.get(address)
        if client is None:
            client = HttpEngineClient(
                session=self._session, poll_session=self._poll_session, address=address
            )
            self._clients[address] = client
        return client

    async def close(self) -> None:
        """Close all connections."""
        await asyncio.gather(self._session.close(), self._poll_session.close())


@final
class NoQuarantine:
    """Allows every request on every engine; for benchmarks and tests of other components."""

    def check(self, *, fingerprint: str) -> Problem | None:
        """Return ``None``: no request is quarantined."""
        return None

    def excluded_engines(self, *, fingerprint: str, model: ModelId) -> frozenset[UpstreamId]:
        """Return no engines."""
        return frozenset()

    def engines_of_copies(self, *, fingerprint: str) -> frozenset[UpstreamId]:
        """Return no engines."""
        return frozenset()

    def watch(
        self, *, fingerprint: str, on_change: Callable[[], None]
    ) -> AbstractContextManager[None]:
        """Return an empty context: nothing ever changes."""
        return nullcontext()

    async def wait_change(self) -> None:
        """Return immediately."""

    async def admit(
        self,
        *,
        fingerprint: str,
        engine: UpstreamId,
        stop: asyncio.Event,
        progress: Callable[[], int],
    ) -> bool:
        """Return ``True``: every request may run."""
        return True

    def on_finished(
        self, *, fingerprint: str, engine: UpstreamId, stop: asyncio.Event, complete: bool
    ) -> None:
        """Do nothing."""

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Do nothing."""
