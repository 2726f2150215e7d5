"""Spreads accepted declarations from host to host, also while the store is down."""

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
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import HeadContent
from tanagerscale.generated.messages import HeadRequest
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.membership._peers import PeerInfo
from tanagerscale.membership._peers import Received
from tanagerscale.membership._wire import Message

ANSWER_LIMIT_MS = 500
"""How long one peer may take to send a head before another is asked."""

NOT_PACKED = -1
"""Tells that a head is as it stands in the store."""

CHECK_MS = 250
"""How often it is looked whether a peer that was asked does not answer."""

_ALL_INTERVAL_MS = 5000
"""Least time between two requests for a whole set, which may take megabytes."""

log = get_logger(part="spread")


class HeadFollower(Protocol):
    """What the spread asks of the declarations' follower."""

    @property
    def head_revision(self) -> Revision:
        """The revision in force here."""

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, Any]:
        """Take in what a peer has in force."""

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return what a peer needs to put this host's revision in force."""

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Take the word of every reachable live peer for what is accepted."""


class SpreadNetwork(Protocol):
    """What the spread asks of the mesh."""

    @property
    def messages(self) -> Observable[Received]:
        """Messages from the peers, heartbeats included."""

    @property
    def live(self) -> Observable[tuple[PeerInfo, ...]]:
        """The peers connected now, at once and after each change."""

    @property
    def all_tried(self) -> bool:
        """Whether each known address has been tried."""

    def send(self, *, host: HostId, message: Message) -> bool:
        """Send a message without waiting."""

    def broadcast(self, *, message: Message) -> None:
        """Send a message to each connected host."""


@final
class HeadSpread:
    """Asks a peer that has a higher revision for it, and tells the peers of new ones.

    :param network: The other hosts.
    :param follower: Puts revisions in force.
    :param clock: Time.
    :param patience_ms: Returns how long a host that is behind waits for its own watch before it
        asks.
    :param distance: Orders the hosts to ask, so that not all ask the same one.
    :param check_ms: How often it is looked whether a peer that was asked does not answer.
    :param tell: Tells the peers of a new revision; ``None`` tells each at once.
    """

    def __init__(
        self,
        *,
        network: SpreadNetwork,
        follower: HeadFollower,
        clock: Clock,
        patience_ms: Callable[[], int] = lambda: 0,
        distance: Callable[[HostId], str] = str,
        check_ms: int = CHECK_MS,
        tell: Callable[[HeadAnnouncement], None] | None = None,
    ) -> None:
        self._network = network
        self._tell = tell or (lambda message: network.broadcast(message=message))
        self._follower = follower
        self._clock = clock
        self._patience_ms = patience_ms
        self._distance = distance
        self._check_ms = check_ms
        self._behind_since: Millis | None = None
        self._revisions: dict[HostId, Revision] = {}
        self._live: frozenset[HostId] = frozenset()
        self._asked: HostId | None = None
        self._asked_at = Millis(0)
        self._asked_for_all_at: Millis | None = None
        self._hosts_known = False
        self._subscriptions: list[DisposableBase] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to listen."""
        self._subscriptions = [
            self._network.live.subscribe(self._on_live),
            self._network.messages.subscribe(self._on_received),
        ]
        self._start(self._check_forever())

    async def stop(self) -> None:
        """Listen no more."""
        for subscription in self._subscriptions:
            subscription.dispose()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def hosts_are_known(self) -> None:
        """Record that the host list has been read, or that there is none.

        Before that, the peers reached may be a few of many, and their word does not suffice.
        """
        self._hosts_known = True

    def announce(self, *, revision: Revision, digest: str) -> None:
        """Tell all peers that a revision is in force here."""
        self._asked = None
        if revision > 0:
            self._tell(HeadAnnouncement(revision=revision, digest=digest))

    def _on_live(self, peers: tuple[PeerInfo, ...]) -> None:
        self._live = frozenset(peer.host for peer in peers)
        for gone in self._revisions.keys() - self._live:
            del self._revisions[gone]

    def _on_received(self, received: Received) -> None:
        message = received.message
        if isinstance(message, Heartbeat | HeadAnnouncement):
            self._revisions[received.host] = Revision(message.revision)
            self._ask_if_behind()
        elif isinstance(message, HeadRequest):
            self._answer(received.host, message)
        elif isinstance(message, HeadContent):
            self._start(self._take(received.host, message))

    def _answer(self, host: HostId, request: HeadRequest) -> None:
        content = self._follower.content_for_peer(have=Revision(request.have_revision))
        if content is not None:
            self._network.send(host=host, message=content)

    def _ask_if_behind(self) -> None:
        """Ask one peer at a time, and another when it does not answer."""
        now = self._clock.now()
        if self._asked is not None and now - self._asked_at < ANSWER_LIMIT_MS:
            return
        mine = self._follower.head_revision
        ahead = [host for host, revision in self._revisions.items() if revision > mine]
        if not ahead:
            self._asked = None
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        if now - self._behind_since < self._patience_ms():
            return
        self._ask(host=self._next_after(self._asked, ahead), have=mine)

    def _next_after(self, asked: HostId | None, ahead: Sequence[HostId]) -> HostId:
        """Return the host to ask now, another one than that which has not answered."""
        in_order = sorted(ahead, key=self._distance)
        if asked not in in_order:
            return in_order[0]
        return in_order[(in_order.index(asked) + 1) % len(in_order)]

    def _ask(self, *, host: HostId, have: Revision) -> None:
        self._asked = host
        self._asked_at = self._clock.now()
        self._network.send(host=host, message=HeadRequest(have_revision=have))

    async def _take(self, host: HostId, content: HeadContent) -> None:
        mine = self._follower.head_revision
        taken = await self._follower.offer_from_peer(
            head=content.head.encode(), chunks=content.chunks, packed_after=content.packed_after
        )
        if self._follower.head_revision > mine:
            self._asked = None
        elif isinstance(taken, Failure) and mine > 0 and self._may_ask_for_all():
            # The difference did not suffice, so ask for all of it.
            self._ask(host=host, have=Revision(0))

    def _may_ask_for_all(self) -> bool:
        """Bound the large answers, for a failure may stay, such as a section of a newer schema."""
        now = self._clock.now()
        if self._asked_for_all_at is not None and now - self._asked_for_all_at < _ALL_INTERVAL_MS:
            return False
        self._asked_for_all_at = now
        return True

    async def _check_forever(self) -> None:
        while True:
            await self._clock.sleep(self._check_ms)
            self._ask_if_behind()
            heard_all = self._revisions.keys() >= self._live
            if self._hosts_known and self._network.all_tried and heard_all:
                self._follower.peers_agree(revisions=tuple(self._revisions.values()))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
