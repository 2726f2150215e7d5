"""What a host tells the others, and what it takes from them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

from msgspec import Struct
from msgspec.structs import replace
from reactivex.abc import DisposableBase

from tanagerscale.coordination import AnnouncementRelay
from tanagerscale.coordination import CoordinationClient
from tanagerscale.coordination import Coordinator
from tanagerscale.coordination import Directory
from tanagerscale.coordination import ListFeed
from tanagerscale.coordination import StoreSourceSelector
from tanagerscale.coordination import UpstreamHealth
from tanagerscale.core import HostId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import AnswerTallies
from tanagerscale.generated.messages import Coordinators
from tanagerscale.generated.messages import EjectedUpstream
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.generated.messages import Suspect
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.membership import Mesh
from tanagerscale.membership import Message
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import ReceivedMessage
from tanagerscale.membership import UpstreamGate
from tanagerscale.quarantine import SuspectTracker

_log = get_logger(part="peers")


class Talkers(Struct, frozen=True, kw_only=True):
    """The parts of a host that hear from other hosts.

    :param directory: Who coordinates.
    :param duties: Who follows the store.
    :param feeds: The entries of the store that are followed.
    :param coordinator: Decides for those that ask.
    :param client: Asks those that decide.
    :param relay: Tells news on.
    :param gate: Which upstreams leave.
    :param health: What requests show of upstreams.
    :param suspects: Requests that may crash upstreams.
    """

    directory: Directory
    duties: StoreSourceSelector
    feeds: tuple[ListFeed, ...]
    coordinator: Coordinator
    client: CoordinationClient
    relay: AnnouncementRelay
    gate: UpstreamGate
    health: UpstreamHealth
    suspects: SuspectTracker


@final
class PeerNews:
    """Joins the parts of a host to the mesh.

    :param mesh: The other hosts.
    :param parts: What hears from them.
    :param carry_out: Copies or moves a run, and returns whether its memory is where it was to go.
    """

    def __init__(
        self,
        *,
        mesh: Mesh,
        parts: Talkers,
        carry_out: Callable[[MoveOrder], Awaitable[bool]],
    ) -> None:
        self._mesh = mesh
        self._parts = parts
        self._carry_out = carry_out
        self._live: frozenset[HostId] = frozenset()
        self._orders: set[asyncio.Task[None]] = set()
        self._subscriptions: list[DisposableBase] = []
        self._told: Coordinators | None = None
        """What all were told last of who coordinates."""

    def start(self) -> None:
        """Begin to listen and to tell."""
        parts = self._parts
        self._subscriptions = [
            self._mesh.messages.subscribe(self._on_received),
            self._mesh.live.subscribe(self._on_live),
            self._mesh.joined.subscribe(self._on_joined),
            parts.directory.changes.subscribe(lambda _: self._on_directory()),
            parts.health.news.subscribe(self._tell_tallies),
            parts.health.ejections.subscribe(lambda ejected: self._mesh.broadcast(message=ejected)),
            parts.suspects.news.subscribe(parts.relay.tell),
        ]

    def stop(self) -> None:
        """Listen no more, so that the ends of connections lead to nothing."""
        for subscription in self._subscriptions:
            subscription.dispose()

    def on_message(self, host: HostId, message: Message) -> None:
        """Take in a message of a host, which may be this one."""
        parts = self._parts
        match message:
            case Heartbeat():
                parts.duties.on_peer_store(host, is_lost=message.store_lost)
            case Coordinators():
                parts.directory.on_message(message)
            case MoveOrder():
                self._begin_order(host, message)
            case AnswerTallies():
                parts.health.on_peer(host=host, tallies=message)
            case EjectedUpstream():
                parts.health.on_ejected(message)
            case UpstreamLeaving() | HeadAnnouncement() | Suspect():
                parts.relay.on_announcement(host, message)
        if isinstance(message, UpstreamLeaving):
            parts.gate.on_peer(message)
        elif isinstance(message, Suspect):
            parts.suspects.on_peer(message)
        for feed in parts.feeds:
            feed.on_message(host, message)
        parts.client.on_message(host, message)
        parts.coordinator.on_message(host, message)

    def tell(self, host: HostId, message: Message) -> bool:
        """Send a message to a host, which may be this one.

        :returns: Whether the host is connected; that the message arrives is not promised.
        """
        if host == self._mesh.host:
            self.on_message(host, message)
            return True
        return self._mesh.send(host=host, message=message)

    def _on_received(self, received: ReceivedMessage) -> None:
        self.on_message(received.host, received.message)

    def _on_live(self, peers: tuple[PeerInfo, ...]) -> None:
        parts = self._parts
        live = frozenset(peer.host for peer in peers)
        gone = self._live - live
        self._live = live
        parts.directory.on_live(peers)
        for host in gone:
            parts.coordinator.on_gone(host)
            parts.client.on_gone(host)
            for feed in parts.feeds:
                feed.on_gone(host)
            parts.health.forget_peer(host=host)
        parts.duties.reevaluate()

    def _on_joined(self, peer: PeerInfo) -> None:
        parts = self._parts
        # What its process before had is gone, and may have had higher numbers by a clock set back.
        parts.coordinator.on_joined(peer.host, peer.failure_domain)
        if parts.directory.is_known:
            self._mesh.send(host=peer.host, message=parts.directory.message())
        for feed in parts.feeds:
            feed.on_joined(peer.host)
        if peer.host in parts.directory.coordinators:
            parts.client.report_to(peer.host)
        if parts.directory.is_coordinator:
            self._tell_what_stands(peer.host)

    def _tell_what_stands(self, host: HostId) -> None:
        """Tell a host that has just connected which upstreams leave and what is suspect."""
        for leaving in self._parts.gate.leaving_messages():
            self._mesh.send(host=host, message=leaving)
        for suspect in self._parts.suspects.snapshot():
            self._mesh.send(host=host, message=suspect)

    def _on_directory(self) -> None:
        parts = self._parts
        self._mesh.set_peers(parts.directory.targets())
        parts.duties.reevaluate()
        parts.client.report_now()
        self._tell_coordinators()

    def _tell_coordinators(self) -> None:
        """Tell all who coordinates, when that is known by this host's own reading and is new."""
        message = self._parts.directory.message()
        if not self._parts.directory.is_coordinator or message.revision == 0:
            return
        if self._told is None or replace(self._told, revision=message.revision) != message:
            self._told = message
            self._mesh.broadcast(message=message)

    def _tell_tallies(self, tallies: AnswerTallies) -> None:
        for host in self._parts.directory.coordinators:
            self._mesh.send(host=host, message=tallies)

    def _begin_order(self, host: HostId, order: MoveOrder) -> None:
        task = asyncio.create_task(self._follow_order(host, order))
        self._orders.add(task)
        task.add_done_callback(self._end_order)

    def _end_order(self, task: asyncio.Task[None]) -> None:
        self._orders.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("Carrying out an order failed.", detail=repr(error))

    async def _follow_order(self, host: HostId, order: MoveOrder) -> None:
        is_done = await self._carry_out(order)
        # Who gave the order is to know of the new place of the memory by then.
        self._parts.client.report_now()
        self.tell(host, MoveDone(number=order.number, is_done=is_done))
