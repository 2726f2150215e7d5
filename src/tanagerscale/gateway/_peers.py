"""What a host tells its peers, and what it takes from them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final
from typing import final

import msgspec

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import HostId
from tanagerscale.forwarding import EngineWork
from tanagerscale.forwarding import UpstreamHealth
from tanagerscale.forwarding import Urgency
from tanagerscale.gateway._use_relay import UseRelay
from tanagerscale.generated.messages import AnswerTallies
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import HostUse
from tanagerscale.generated.messages import HostUses
from tanagerscale.generated.messages import Suspect
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import Received
from tanagerscale.membership import Rumours
from tanagerscale.membership import UpstreamGate
from tanagerscale.quarantine import Suspects

USE_PAUSE_MS: Final = 20
"""Changes of this host's work within so long go out as one message. Prompts take some 200 ms to
read, so what a peer knows is rarely older than the decision it is needed for."""

NUMBERS_PER_MS: Final = 1000
"""Reports are numbered from the start of the process on. A host sends far fewer in a millisecond,
so those of a later process of the same host have higher numbers."""


@final
class PeerNews:
    """Joins the gate and the work on engines to the mesh.

    :param mesh: The other hosts.
    :param gate: Which upstreams leave.
    :param work: What runs on engines.
    :param health: What requests show of upstreams.
    :param suspects: Requests that may crash upstreams.
    :param rumours: Tells what most peers know already.
    :param incarnation: Wall clock at this process's start, in milliseconds.
    :param on_store_lost: Called when a peer tells that the store does not answer it.
    """

    def __init__(
        self,
        *,
        mesh: Mesh,
        gate: UpstreamGate,
        work: EngineWork,
        health: UpstreamHealth,
        suspects: Suspects,
        rumours: Rumours,
        incarnation: int,
        on_store_lost: Callable[[], None],
    ) -> None:
        self._mesh = mesh
        self._on_store_lost = on_store_lost
        self._gate = gate
        self._work = work
        self._health = health
        self._suspects = suspects
        self._rumours = rumours
        self._relay = UseRelay(mesh=mesh)
        self._number = incarnation * NUMBERS_PER_MS
        self._pending: asyncio.TimerHandle | None = None
        self._live: frozenset[HostId] = frozenset()

    def start(self) -> None:
        """Begin to listen and to tell."""
        self._mesh.messages.subscribe(self._on_received)
        self._mesh.joined.subscribe(self._on_joined)
        self._mesh.live.subscribe(self._on_live)
        self._work.changes.subscribe(self._on_change)
        self._health.news.subscribe(lambda tallies: self._mesh.broadcast(message=tallies))
        self._suspects.news.subscribe(lambda suspect: self._mesh.broadcast(message=suspect))

    def _on_received(self, received: Received) -> None:
        message = received.message
        if isinstance(message, HostUse):
            self._work.on_peer(host=received.host, use=message)
            self._relay.on_report(received.host, message)
        elif isinstance(message, HostUses):
            self._on_passed_on(received.host, message)
        elif isinstance(message, AnswerTallies):
            self._health.on_peer(host=received.host, tallies=message)
        elif isinstance(message, Suspect):
            self._suspects.on_peer(message)
        elif isinstance(message, UpstreamLeaving):
            self._gate.on_peer(message)
        elif isinstance(message, Heartbeat) and message.store_lost:
            self._on_store_lost()
        self._rumours.on_received(received)

    def _on_passed_on(self, sender: HostId, uses: HostUses) -> None:
        for use in uses.uses:
            host = HostId(use.host)
            if host in self._live:
                # Of others this host would not hear that they are gone.
                self._work.on_peer(host=host, use=use)
        self._relay.on_passed_on(sender, uses)

    def _on_joined(self, peer: PeerInfo) -> None:
        # What its process before had is gone, and may have had higher numbers by a clock set back.
        self._work.forget_peer(host=peer.host)
        for message in self._gate.leaving_messages():
            self._mesh.send(host=peer.host, message=message)
        for suspect in self._suspects.snapshot():
            self._mesh.send(host=peer.host, message=suspect)
        self._mesh.send(host=peer.host, message=self._own_use())

    def _on_live(self, peers: tuple[PeerInfo, ...]) -> None:
        live = frozenset(peer.host for peer in peers)
        gone = self._live - live
        self._live = live
        for host in gone:
            self._work.forget_peer(host=host)
            self._health.forget_peer(host=host)
        if gone and self._relay.is_needed:
            # The last report may have gone to one that did not pass it on any more.
            self._tell_soon()

    def _on_change(self, urgency: Urgency) -> None:
        if urgency is Urgency.BEGUN or (urgency is Urgency.LINKS and not self._relay.is_needed):
            self._tell_all()
            return
        if urgency is Urgency.LINKS:
            self._tell_concerned()
        self._tell_soon()

    def _tell_all(self) -> None:
        """Tell every peer directly, and with that all that waited to be told."""
        self._forget_pending()
        self._mesh.broadcast(message=self._own_use())

    def _tell_concerned(self) -> None:
        """Tell those at once who wait for the links that this host uses or has left."""
        use = self._own_use()
        for host in self._work.concerned:
            self._mesh.send(host=host, message=use)

    def _tell_soon(self) -> None:
        if self._pending is None:
            loop = asyncio.get_running_loop()
            self._pending = loop.call_later(USE_PAUSE_MS / MS_PER_SECOND, self._tell)

    def _tell(self) -> None:
        """Tell every peer, by way of others where there are many."""
        if self._relay.is_needed:
            self._forget_pending()
            self._relay.report(self._own_use())
        else:
            self._tell_all()

    def _forget_pending(self) -> None:
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None

    def _own_use(self) -> HostUse:
        self._number += 1
        return msgspec.structs.replace(self._work.own_use(), number=self._number)
