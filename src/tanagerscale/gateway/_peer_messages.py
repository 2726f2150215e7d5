"""Routing of messages between the components of a host and its peers."""

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
from tanagerscale.coordination import LimitReports
from tanagerscale.coordination import ListFeed
from tanagerscale.coordination import StoreSourceSelector
from tanagerscale.coordination import UpstreamHealth
from tanagerscale.core import HostId
from tanagerscale.core import get_logger
from tanagerscale.forwarding import MoveResult
from tanagerscale.generated.messages import AnswerTallies
from tanagerscale.generated.messages import Coordinators
from tanagerscale.generated.messages import EjectedUpstream
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.generated.messages import Suspect
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.generated.messages import UpstreamLimit
from tanagerscale.membership import Mesh
from tanagerscale.membership import Message
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import ReceivedMessage
from tanagerscale.membership import UpstreamGate
from tanagerscale.quarantine import SuspectTracker

_log = get_logger(part="peers")


class MessageReceivers(Struct, frozen=True, kw_only=True):
    """The components of a host that receive messages from other hosts.

    :param directory: Tracks which hosts are coordinators.
    :param store_source: Selects which hosts follow the store.
    :param feeds: Distribute the followed store entries to hosts that do not follow the store.
    :param coordinator: Places the requests of hosts that ask for it.
    :param client: Requests placements from the coordinators.
    :param relay: Forwards announcements to other hosts.
    :param limit_reports: Distributes the rate limits that upstreams name.
    :param gate: Tracks which upstreams are leaving.
    :param health: Tracks the health of upstreams as shown by the outcomes of requests.
    :param suspects: Requests that may crash upstreams.
    """

    directory: Directory
    store_source: StoreSourceSelector
    feeds: tuple[ListFeed, ...]
    coordinator: Coordinator
    client: CoordinationClient
    relay: AnnouncementRelay
    limit_reports: LimitReports
    gate: UpstreamGate
    health: UpstreamHealth
    suspects: SuspectTracker


@final
class PeerMessageRouter:
    """Connects the components of a host to the mesh.

    :param mesh: Connections to the other hosts.
    :param receivers: Components that receive messages.
    :param execute_order: Copies or moves a run.
    """

    def __init__(
        self,
        *,
        mesh: Mesh,
        receivers: MessageReceivers,
        execute_order: Callable[[MoveOrder], Awaitable[MoveResult]],
    ) -> None:
        self._mesh = mesh
        self._receivers = receivers
        self._execute_order = execute_order
        self._live: frozenset[HostId] = frozenset()
        self._orders: set[asyncio.Task[None]] = set()
        self._subscriptions: list[DisposableBase] = []
        self._announced: Coordinators | None = None
        """The last ``Coordinators`` message that was broadcast."""

    def start(self) -> None:
        """Subscribe to messages of peers and to changes that are sent to them."""
        receivers = self._receivers
        self._subscriptions = [
            self._mesh.messages.subscribe(self._on_received),
            self._mesh.live.subscribe(self._on_live),
            self._mesh.joined.subscribe(self._on_joined),
            receivers.directory.changes.subscribe(lambda _: self._on_directory()),
            receivers.health.tally_updates.subscribe(self._send_tallies),
            receivers.health.ejections.subscribe(
                lambda ejected: self._mesh.broadcast(message=ejected)
            ),
            receivers.suspects.suspect_updates.subscribe(receivers.relay.announce),
        ]

    def stop(self) -> None:
        """Cancel all subscriptions, so that closing connections trigger no reaction."""
        for subscription in self._subscriptions:
            subscription.dispose()

    def on_message(self, host: HostId, message: Message) -> None:
        """Handle a message from a host, which may be this one."""
        receivers = self._receivers
        match message:
            case Heartbeat():
                receivers.store_source.on_heartbeat(host, message)
            case Coordinators():
                receivers.directory.on_message(message)
            case MoveOrder():
                self._start_order(host, message)
            case AnswerTallies():
                receivers.health.on_peer(host=host, tallies=message)
            case EjectedUpstream():
                receivers.health.on_ejected(message)
            case UpstreamLimit():
                receivers.limit_reports.on_message(message)
            case UpstreamLeaving() | HeadAnnouncement() | Suspect():
                receivers.relay.on_announcement(host, message)
        if isinstance(message, UpstreamLeaving):
            receivers.gate.on_peer(message, host=host)
        elif isinstance(message, Suspect):
            receivers.suspects.on_peer(message)
        for feed in receivers.feeds:
            feed.on_message(host, message)
        receivers.client.on_message(host, message)
        receivers.coordinator.on_message(host, message)

    def send(self, host: HostId, message: Message) -> bool:
        """Send a message to a host, which may be this one.

        :returns: Whether the host is connected; delivery is not guaranteed.
        """
        if host == self._mesh.host:
            self.on_message(host, message)
            return True
        return self._mesh.send(host=host, message=message)

    def _on_received(self, received: ReceivedMessage) -> None:
        self.on_message(received.host, received.message)

    def _on_live(self, peers: tuple[PeerInfo, ...]) -> None:
        receivers = self._receivers
        live = frozenset(peer.host for peer in peers)
        gone = self._live - live
        self._live = live
        receivers.directory.on_live(peers)
        for host in gone:
            receivers.coordinator.on_gone(host)
            receivers.client.on_gone(host)
            for feed in receivers.feeds:
                feed.on_gone(host)
            receivers.health.forget_peer(host=host)
        receivers.store_source.reevaluate()

    def _on_joined(self, peer: PeerInfo) -> None:
        receivers = self._receivers
        # The state of the host's previous process is lost. Its numbers may have been higher, if its
        # clock was set back.
        receivers.coordinator.on_joined(peer.host, peer.failure_domain)
        if receivers.directory.is_known:
            self._mesh.send(host=peer.host, message=receivers.directory.message())
        for feed in receivers.feeds:
            feed.on_joined(peer.host)
        if peer.host in receivers.directory.coordinators:
            receivers.client.report_to(peer.host)
        if receivers.directory.is_coordinator:
            self._send_current_state(peer.host)

    def _send_current_state(self, host: HostId) -> None:
        """Send a newly connected host the state that it has missed."""
        for leaving in self._receivers.gate.leaving_messages():
            self._mesh.send(host=host, message=leaving)
        for limit in self._receivers.limit_reports.messages():
            self._mesh.send(host=host, message=limit)
        for suspect in self._receivers.suspects.snapshot():
            self._mesh.send(host=host, message=suspect)

    def _on_directory(self) -> None:
        receivers = self._receivers
        self._mesh.set_peers(receivers.directory.targets())
        receivers.store_source.reevaluate()
        receivers.client.report_now()
        receivers.limit_reports.report_all()
        receivers.suspects.repeat_reports()
        self._announce_coordinators()

    def _announce_coordinators(self) -> None:
        """Broadcast the coordinators if this host is one of them and the list has changed.

        A host only announces a list that it has read from the store itself.
        """
        message = self._receivers.directory.message()
        if not self._receivers.directory.is_coordinator or message.revision == 0:
            return
        if (
            self._announced is None
            or replace(self._announced, revision=message.revision) != message
        ):
            self._announced = message
            self._mesh.broadcast(message=message)

    def _send_tallies(self, tallies: AnswerTallies) -> None:
        for host in self._receivers.directory.coordinators:
            self._mesh.send(host=host, message=tallies)

    def _start_order(self, host: HostId, order: MoveOrder) -> None:
        task = asyncio.create_task(self._run_order(host, order))
        self._orders.add(task)
        task.add_done_callback(self._finish_order)

    def _finish_order(self, task: asyncio.Task[None]) -> None:
        self._orders.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            _log.error("Execution of a move order failed.", detail=repr(error))

    async def _run_order(self, host: HostId, order: MoveOrder) -> None:
        result = await self._execute_order(order)
        # The coordinator must know where the memory is before it receives the result of its order.
        self._receivers.client.report_now()
        done = MoveDone(number=order.number, is_done=result.is_done, has_stopped=result.has_stopped)
        self.send(host, done)
