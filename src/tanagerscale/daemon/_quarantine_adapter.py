"""Adapter between the quarantine and dispatch, the mesh and the declarations."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
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

MAX_CHANGE_WAIT_MS = 250
"""Maximum wait for a change notification. Exclusions also expire without a notification."""

RunId = tuple[str, UpstreamId]


@final
class QuarantineAdapter:
    """Applies the quarantine to dispatched requests and exchanges verdicts with the peers.

    :param quarantine: Tracks requests that crash upstreams.
    :param mesh: Connections to the other hosts.
    :param declarations: Returns the declarations in force.
    :param clock: Clock of the host.
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
        self._stop_events: defaultdict[RunId, set[asyncio.Event]] = defaultdict(set)
        self._peers: frozenset[HostId] = frozenset()
        self._watchers: dict[Fingerprint, set[Callable[[], None]]] = {}
        self._restricted: set[Fingerprint] = set()
        """Watched requests with excluded engines, which are also checked at intervals."""
        self._pending_notification: asyncio.Handle | None = None
        self._poll_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Subscribe to the quarantine and to peer messages."""
        self._quarantine.verdicts.subscribe(lambda verdict: self._mesh.broadcast(message=verdict))
        self._quarantine.changes.subscribe(lambda _change: self._on_change())
        self._quarantine.stops.subscribe(self._on_stop)
        self._mesh.messages.subscribe(self._on_message)
        self._mesh.joined.subscribe(self._on_peer_joined)
        self._mesh.live.subscribe(self._on_live_changed)

    def check(self, *, fingerprint: str) -> Problem | None:
        """Return the problem to reject a quarantined request with, or ``None`` if it may run."""
        return self._quarantine.check(fingerprint=Fingerprint(fingerprint))

    def excluded_engines(self, *, fingerprint: str, model: ModelId) -> frozenset[UpstreamId]:
        """Return the engines of a model on which the request must not run now."""
        if self._quarantine.is_unrestricted(fingerprint=Fingerprint(fingerprint)):
            return frozenset()
        engines = self._declarations().engines
        return self._quarantine.excluded_engines(
            fingerprint=Fingerprint(fingerprint),
            engines=[name for name, engine in engines.items() if model in engine.models],
        )

    def engines_of_copies(self, *, fingerprint: str) -> frozenset[UpstreamId]:
        """Return the engines that run copies of a request, for any host."""
        return self._quarantine.engines_of_copies(fingerprint=Fingerprint(fingerprint))

    @contextmanager
    def watch(self, *, fingerprint: str, on_change: Callable[[], None]) -> Iterator[None]:
        """Call a function when a request may be refused or its excluded engines may have changed.

        :param fingerprint: Fingerprint of the request.
        :param on_change: Called while the context is open; must not wait.
        """
        watched = Fingerprint(fingerprint)
        watchers = self._watchers.setdefault(watched, set())
        watchers.add(on_change)
        if not self._quarantine.is_unrestricted(fingerprint=watched):
            self._poll_until_unrestricted(watched)
        try:
            yield
        finally:
            watchers.remove(on_change)
            if not watchers:
                del self._watchers[watched]
                self._restricted.discard(watched)

    async def wait_change(self) -> None:
        """Wait until exclusions may have changed, for at most ``MAX_CHANGE_WAIT_MS``."""
        try:
            async with asyncio.timeout(MAX_CHANGE_WAIT_MS / MS_PER_SECOND):
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
        """Check immediately before sending whether a request may run on an engine.

        :param fingerprint: Fingerprint of the request.
        :param engine: Engine the request is about to be sent to.
        :param stop: Set when the quarantine requires the run to stop.
        :param progress: Returns the number of tokens generated so far.
        :returns: Whether the request may be sent.
        """
        admitted = await self._quarantine.admit(
            fingerprint=Fingerprint(fingerprint), engine=engine, progress=progress
        )
        if admitted:
            self._stop_events[fingerprint, engine].add(stop)
        return admitted

    def on_finished(
        self, *, fingerprint: str, engine: UpstreamId, stop: asyncio.Event, complete: bool
    ) -> None:
        """Record that a run on an engine ended for any reason other than a crash.

        :param stop: The event that ``admit`` was given; other copies on the engine keep theirs.
        """
        events = self._stop_events[fingerprint, engine]
        events.discard(stop)
        if not events:
            del self._stop_events[fingerprint, engine]
        end = RunEnd.COMPLETE if complete else RunEnd.BROKEN
        self._quarantine.on_finished(fingerprint=Fingerprint(fingerprint), engine=engine, end=end)

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Record that an engine crashed and lost all its runs."""
        for key in [key for key in self._stop_events if key[1] == engine]:
            del self._stop_events[key]
        self._quarantine.on_engine_crash(engine=engine)

    def _on_change(self) -> None:
        # Current waiters are woken. Later waiters use a new event and wait for the next change.
        self._changed.set()
        self._changed = asyncio.Event()
        if self._watchers and self._pending_notification is None:
            loop = asyncio.get_running_loop()
            self._pending_notification = loop.call_soon(self._notify_watchers)

    def _notify_watchers(self) -> None:
        """Notify the watchers of suspects; thousands of other requests may wait."""
        self._pending_notification = None
        for fingerprint in (self._watchers.keys() & self._quarantine.suspects) | self._restricted:
            for on_change in tuple(self._watchers.get(fingerprint, ())):
                on_change()
            if self._quarantine.is_unrestricted(fingerprint=fingerprint):
                self._restricted.discard(fingerprint)
            else:
                self._poll_until_unrestricted(fingerprint)

    def _poll_until_unrestricted(self, fingerprint: Fingerprint) -> None:
        self._restricted.add(fingerprint)
        if self._poll_timer is None:
            delay_s = MAX_CHANGE_WAIT_MS / MS_PER_SECOND
            self._poll_timer = asyncio.get_running_loop().call_later(delay_s, self._poll)

    def _poll(self) -> None:
        """Notify watchers of changes that only the passage of time causes."""
        self._poll_timer = None
        self._notify_watchers()

    def _on_stop(self, request: StopRequest) -> None:
        for stop in self._stop_events.get((request.fingerprint, request.engine), ()):
            stop.set()

    def _on_message(self, received: ReceivedMessage) -> None:
        if isinstance(received.message, Verdict):
            self._quarantine.on_peer_verdict(verdict=received.message, peer=received.host)

    def _on_peer_joined(self, peer: PeerInfo) -> None:
        # The peer's announcement that a run ended may have been lost with the previous connection.
        self._quarantine.on_peer_gone(peer=peer.host)
        for verdict in self._quarantine.snapshot():
            self._mesh.send(host=peer.host, message=verdict)

    def _on_live_changed(self, peers: tuple[PeerInfo, ...]) -> None:
        live = frozenset(peer.host for peer in peers)
        for lost_peer in self._peers - live:
            self._quarantine.on_peer_gone(peer=lost_peer)
        self._peers = live
