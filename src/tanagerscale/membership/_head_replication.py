"""Replicates accepted declarations between hosts, including while the store is down."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import Protocol
from typing import final

from reactivex import Observable
from reactivex.abc import DisposableBase
from returns.result import Failure
from returns.result import Result

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import Revision
from tanagerscale.core import get_logger
from tanagerscale.core import run_contained
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import HeadContent
from tanagerscale.generated.messages import HeadRequest
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.membership._peers import PeerInfo
from tanagerscale.membership._peers import ReceivedMessage
from tanagerscale.membership._wire import Message

RESPONSE_TIMEOUT_MS = 500
"""How long a peer may take to send a head before another peer gets the request."""

NOT_PACKED = -1
"""Value of ``packed_after`` for a head in the form in which the store holds it."""

CHECK_INTERVAL_MS = 250
"""How often to check whether a pending request has timed out."""

_MIN_FULL_REQUEST_INTERVAL_MS = 5000
"""Minimum time between two requests for the full content, which can be several megabytes."""

log = get_logger(part="spread")


class HeadFollower(Protocol):
    """Holds the declarations in force on this host and applies newer ones."""

    @property
    def head_revision(self) -> Revision:
        """The revision in force on this host."""

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, Any]:
        """Apply the declarations that a peer has in force.

        :param head: The encoded head.
        :param chunks: Chunks that the receiver may lack, by digest.
        :param packed_after: As in ``HeadContent``.
        :returns: The revision in force afterwards, or why the offer was rejected.
        """

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return what a peer needs to apply this host's revision; ``None`` if it needs nothing.

        :param have: The revision that the peer has; 0 requests the full content.
        """

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Accept the revisions that all reachable live peers report as the accepted ones."""


class ReplicationNetwork(Protocol):
    """The part of the mesh that replication uses."""

    @property
    def messages(self) -> Observable[ReceivedMessage]:
        """Emits messages from the peers, including heartbeats."""

    @property
    def live(self) -> Observable[tuple[PeerInfo, ...]]:
        """Emits the connected peers on subscription and after each change."""

    @property
    def has_tried_all(self) -> bool:
        """Whether a connection to each known address has been attempted."""

    def send(self, *, host: HostId, message: Message) -> bool:
        """Send a message without waiting."""

    def broadcast(self, *, message: Message) -> None:
        """Send a message to all connected hosts."""


@final
class HeadReplicator:
    """Requests newer revisions from peers and announces new ones to them.

    :param network: Connections to the peers.
    :param follower: Applies revisions.
    :param clock: Source of the current time.
    :param request_delay_ms: Returns how long a host that is behind waits for its own watch of the
        store before it sends a request, in milliseconds.
    :param order_key: Sort key of the hosts to send requests to; it should differ between hosts, so
        that they do not all use the same peer.
    :param check_interval_ms: How often to check whether a pending request has timed out, in
        milliseconds.
    :param broadcast: Sends an announcement to the peers; ``None`` sends it to each peer directly.
    """

    def __init__(
        self,
        *,
        network: ReplicationNetwork,
        follower: HeadFollower,
        clock: Clock,
        request_delay_ms: Callable[[], int] = lambda: 0,
        order_key: Callable[[HostId], str] = str,
        check_interval_ms: int = CHECK_INTERVAL_MS,
        broadcast: Callable[[HeadAnnouncement], None] | None = None,
    ) -> None:
        self._network = network
        self._broadcast = broadcast or (lambda message: network.broadcast(message=message))
        self._follower = follower
        self._clock = clock
        self._request_delay_ms = request_delay_ms
        self._order_key = order_key
        self._check_interval_ms = check_interval_ms
        self._behind_since: Millis | None = None
        self._revisions: dict[HostId, Revision] = {}
        self._live: frozenset[HostId] = frozenset()
        self._requested_host: HostId | None = None
        self._requested_at = Millis(0)
        self._full_requested_at: Millis | None = None
        self._are_hosts_known = False
        self._subscriptions: list[DisposableBase] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Start to handle messages from the peers."""
        self._subscriptions = [
            self._network.live.subscribe(self._on_live),
            self._network.messages.subscribe(self._on_received),
        ]
        self._start_task(self._check_forever())

    async def stop(self) -> None:
        """Stop handling messages and cancel pending work."""
        for subscription in self._subscriptions:
            subscription.dispose()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def record_hosts_known(self) -> None:
        """Record that the host list has been read, or that there is none.

        Before that, the connected peers may be only a few of all hosts, so the revisions that they
        report are not sufficient.
        """
        self._are_hosts_known = True

    def announce(self, *, revision: Revision, digest: str) -> None:
        """Announce to all peers that a revision is in force on this host.

        :param revision: The revision; 0 means that there is none, so nothing is announced.
        :param digest: Digest of its head.
        """
        self._requested_host = None
        if revision > 0:
            self._broadcast(HeadAnnouncement(revision=revision, digest=digest))

    def _on_live(self, peers: tuple[PeerInfo, ...]) -> None:
        self._live = frozenset(peer.host for peer in peers)
        for disconnected in self._revisions.keys() - self._live:
            del self._revisions[disconnected]

    def _on_received(self, received: ReceivedMessage) -> None:
        message = received.message
        if isinstance(message, Heartbeat | HeadAnnouncement):
            self._revisions[received.host] = Revision(message.revision)
            self._request_if_behind()
        elif isinstance(message, HeadRequest):
            self._handle_request(received.host, message)
        elif isinstance(message, HeadContent):
            self._start_task(self._handle_content(received.host, message))

    def _handle_request(self, host: HostId, request: HeadRequest) -> None:
        content = self._follower.content_for_peer(have=Revision(request.have_revision))
        if content is not None:
            self._network.send(host=host, message=content)

    def _request_if_behind(self) -> None:
        """Send a request to one peer at a time, and to another one if it does not respond."""
        now = self._clock.now()
        if self._requested_host is not None and now - self._requested_at < RESPONSE_TIMEOUT_MS:
            return
        own_revision = self._follower.head_revision
        ahead = [host for host, revision in self._revisions.items() if revision > own_revision]
        if not ahead:
            self._requested_host = None
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < self._request_delay_ms():
            return
        self._send_request(host=self._select_host(self._requested_host, ahead), have=own_revision)

    def _select_host(self, previous: HostId | None, ahead: Sequence[HostId]) -> HostId:
        """Return the next host to send a request to, other than the one that did not respond."""
        in_order = sorted(ahead, key=self._order_key)
        if previous not in in_order:
            return in_order[0]
        return in_order[(in_order.index(previous) + 1) % len(in_order)]

    def _send_request(self, *, host: HostId, have: Revision) -> None:
        self._requested_host = host
        self._requested_at = self._clock.now()
        self._network.send(host=host, message=HeadRequest(have_revision=have))

    async def _handle_content(self, host: HostId, content: HeadContent) -> None:
        own_revision = self._follower.head_revision
        applied = await self._follower.offer_from_peer(
            head=content.head.encode(), chunks=content.chunks, packed_after=content.packed_after
        )
        if self._follower.head_revision > own_revision:
            self._requested_host = None
        elif isinstance(applied, Failure) and own_revision > 0 and self._can_request_full():
            # The delta was not sufficient, so request the full content.
            self._send_request(host=host, have=Revision(0))

    def _can_request_full(self) -> bool:
        """Limit the rate of full requests, since a failure can be permanent.

        An example is a section of a newer schema.
        """
        now = self._clock.now()
        if (
            self._full_requested_at is not None
            and now - self._full_requested_at < _MIN_FULL_REQUEST_INTERVAL_MS
        ):
            return False
        self._full_requested_at = now
        return True

    async def _check_forever(self) -> None:
        while True:
            await self._clock.sleep(self._check_interval_ms)
            run_contained("head-replication", self._check)

    def _check(self) -> None:
        self._request_if_behind()
        all_reported = self._revisions.keys() >= self._live
        if self._are_hosts_known and self._network.has_tried_all and all_reported:
            self._follower.peers_agree(revisions=tuple(self._revisions.values()))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
