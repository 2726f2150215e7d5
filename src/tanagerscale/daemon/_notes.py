"""Small adapters between the parts of a host."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

import aiohttp

from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.declarations import Declarations
from tanagerscale.membership import UpstreamGate
from tanagerscale.upstreams import EngineClient
from tanagerscale.upstreams import HttpEngineClient

UNDECLARED_ADDRESS = "127.0.0.1:0"
"""No engine is there; a call fails as one to an engine that can't be reached."""


@final
class GateNotes:
    """Tells the gate how upstreams behave.

    :param gate: Knows which upstreams take new work.
    """

    def __init__(self, *, gate: UpstreamGate) -> None:
        self._gate = gate

    def note_leaving(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream said that it takes no new work."""
        self._gate.note_leaving(upstream=upstream)

    def note_failure(self, *, upstream: UpstreamId) -> None:
        """Record that a call to an upstream failed."""
        self._gate.note_down(upstream=upstream)

    def note_success(self, *, upstream: UpstreamId) -> None:
        """Record that an upstream answered."""
        self._gate.note_up(upstream=upstream)


@final
class EngineClients:
    """Keeps one client for each engine address.

    :param session: Carries all calls.
    :param declarations: Returns what is in force.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        declarations: Callable[[], Declarations | None],
    ) -> None:
        self._session = session
        self._declarations = declarations
        self._clients: dict[str, HttpEngineClient] = {}

    def client_of(self, engine: UpstreamId) -> EngineClient:
        """Return the client of an engine.

        :param engine: Its declared name. An engine that is not declared any more can't be
            reached.
        """
        declarations = self._declarations()
        declared = declarations.engines.get(engine) if declarations is not None else None
        address = declared.address if declared is not None else UNDECLARED_ADDRESS
        client = self._clients.get(address)
        if client is None:
            client = HttpEngineClient(session=self._session, address=address)
            self._clients[address] = client
        return client


@final
class NoCrashWatch:
    """Lets every request run anywhere; for benches and tests of other parts."""

    def check(self, *, fingerprint: str) -> Problem | None:
        """Refuse nothing."""
        return None

    def excluded_engines(self, *, fingerprint: str, model: ModelId) -> frozenset[UpstreamId]:
        """Exclude nothing."""
        return frozenset()

    async def wait_change(self) -> None:
        """Wait for nothing."""

    async def admit(
        self,
        *,
        fingerprint: str,
        engine: UpstreamId,
        stop: asyncio.Event,
        progress: Callable[[], int],
    ) -> bool:
        """Admit everything."""
        return True

    def on_finished(self, *, fingerprint: str, engine: UpstreamId, complete: bool) -> None:
        """Take no note."""

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Take no note."""
