"""Connects the quarantine to dispatch, the mesh and the declarations."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.declarations import Declarations
from tanagerscale.generated.messages import Verdict
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import ReceivedMessage
from tanagerscale.quarantine import Fingerprint
from tanagerscale.quarantine import Quarantine
from tanagerscale.quarantine import RunEnd
from tanagerscale.quarantine import StopRequest

CHANGE_WAIT_MS = 250
"""Longest wait for word of a change; exclusions also end by time alone."""

RunKey = tuple[str, UpstreamId]


@final
class QuarantineWatch:
    """Answers dispatch's questions by the quarantine, and tells the peers what it learns.

    :param quarantine: What is known of requests that crash upstreams.
    :param mesh: The other hosts.
    :param declarations: Returns what is in force.
    :param clock: Time.
    """

    def __init__(
        self,
        *,
        quarantine: Quarantine,
        mesh: Mesh,
        declarations: Callable[[], Declarations],
        clock: Clock,
    ) -> None:
        self._quarantine = quarantine
        self._mesh = mesh
        self._declarations = declarations
        self._clock = clock
        self._changed = asyncio.Event()
        self._stops: defaultdict[RunKey, set[asyncio.Event]] = defaultdict(set)
        self._peers: frozenset[HostId] = frozenset()

    def start(self) -> None:
        """Listen to the quarantine and to the peers."""
        self._quarantine.verdicts.subscribe(lambda verdict: self._mesh.broadcast(message=verdict))
        self._quarantine.changes.subscribe(lambda _none: self._on_change())
        self._quarantine.stops.subscribe(self._on_stop)
        self._mesh.messages.subscribe(self._on_message)
        self._mesh.joined.subscribe(self._on_joined)
        self._mesh.live.subscribe(self._on_live)

    def check(self, *, fingerprint: str) -> Problem | None:
        """Return the final answer for a request that must not run."""
        return self._quarantine.check(fingerprint=Fingerprint(fingerprint))

    def excluded_engines(self, *, fingerprint: str, model: ModelId) -> frozenset[UpstreamId]:
        """Return the engines of a model where the request may not run now."""
        if self._quarantine.is_unrestricted(fingerprint=Fingerprint(fingerprint)):
            return frozenset()
        engines = self._declarations().engines
        return self._quarantine.excluded_engines(
            fingerprint=Fingerprint(fingerprint),
            engines=[name for name, engine in engines.items() if model in engine.models],
        )

    async def wait_change(self) -> None:
        """Wait until an excluded engine may have become free, or for a short while."""
        try:
            async with asyncio.timeout(CHANGE_WAIT_MS / MS_PER_SECOND):
                await self._changed.wait()
        except TimeoutError:
            return

    async def admit(
        self,
        *,
        fingerprint: str,
        engine: UpstreamId,
        stop: asyncio.Event,
        progress: Callable[[], int],
    ) -> bool:
        """Ask, immediately before sending, to run a request on an engine."""
        admitted = await self._quarantine.admit(
            fingerprint=Fingerprint(fingerprint), engine=engine, progress=progress
        )
        if admitted:
            self._stops[fingerprint, engine].add(stop)
        return admitted

    def on_finished(self, *, fingerprint: str, engine: UpstreamId, complete: bool) -> None:
        """Record that a request no longer runs on an engine, for any reason but a crash."""
        self._stops.pop((fingerprint, engine), None)
        end = RunEnd.COMPLETE if complete else RunEnd.BROKEN
        self._quarantine.on_finished(fingerprint=Fingerprint(fingerprint), engine=engine, end=end)

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Record that an engine died with all that it ran."""
        for key in [key for key in self._stops if key[1] == engine]:
            del self._stops[key]
        self._quarantine.on_engine_crash(engine=engine)

    def _on_change(self) -> None:
        # Whoever waits now is woken; those who wait from now on wait for the next change.
        self._changed.set()
        self._changed = asyncio.Event()

    def _on_stop(self, request: StopRequest) -> None:
        for stop in self._stops.get((request.fingerprint, request.engine), ()):
            stop.set()

    def _on_message(self, received: ReceivedMessage) -> None:
        if isinstance(received.message, Verdict):
            self._quarantine.on_peer_verdict(verdict=received.message, peer=received.host)

    def _on_joined(self, peer: PeerInfo) -> None:
        # Its announcement that a run ended may have been lost with the previous connection.
        self._quarantine.on_peer_gone(peer=peer.host)
        for verdict in self._quarantine.snapshot():
            self._mesh.send(host=peer.host, message=verdict)

    def _on_live(self, peers: tuple[PeerInfo, ...]) -> None:
        live = frozenset(peer.host for peer in peers)
        for gone in self._peers - live:
            self._quarantine.on_peer_gone(peer=gone)
        self._peers = live
