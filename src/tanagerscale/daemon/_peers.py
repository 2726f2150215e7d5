"""What a host does with the host list, its peers' messages and new declarations."""

from __future__ import annotations

import asyncio
from typing import final

from tanagerscale.accounts import KeyChecker
from tanagerscale.core import AttemptId
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.core import get_logger
from tanagerscale.declarations import Declarations
from tanagerscale.declarations import Follower
from tanagerscale.declarations import FollowErrorKind
from tanagerscale.dispatch import Canceller
from tanagerscale.generated.messages import Attached
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import HeadContent
from tanagerscale.generated.messages import HeadRequest
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.generated.upstream import ListedKind
from tanagerscale.generated.upstream import ListedState
from tanagerscale.membership import HostListFollower
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import Received
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import peer_addresses
from tanagerscale.routing import PoolRouter

_log = get_logger(part="peers")


@final
class PeerGlue:
    """Connects the host list, the mesh, the declarations and the parts that depend on them.

    :param mesh: The other hosts.
    :param gate: Which upstreams take new work.
    :param follower: The declarations.
    :param host_list: The platform's list.
    :param router: Is told which engines and hosts there are.
    :param canceller: Is told when callers have gone to other hosts.
    :param keys: Is told the accounts.
    :param seeds: Peer addresses to try besides the listed ones.
    """

    def __init__(
        self,
        *,
        mesh: Mesh,
        gate: UpstreamGate,
        follower: Follower,
        host_list: HostListFollower,
        router: PoolRouter,
        canceller: Canceller,
        keys: KeyChecker,
        seeds: tuple[str, ...],
    ) -> None:
        self._mesh = mesh
        self._gate = gate
        self._follower = follower
        self._host_list = host_list
        self._router = router
        self._canceller = canceller
        self._keys = keys
        self._seeds = seeds
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Subscribe to everything."""
        self._host_list.entries.subscribe(self._on_list)
        self._mesh.messages.subscribe(self._on_message)
        self._mesh.joined.subscribe(self._on_joined)
        self._follower.in_force.subscribe(self._on_declarations)

    def use_seeds(self) -> None:
        """Connect to the seeds, when there is no host list."""
        self._mesh.set_peers(peer_addresses(entries=(), seeds=self._seeds))

    def is_live(self, host: HostId, incarnation: int) -> bool:
        """Return whether a host is in the same life as when it made a record.

        :param host: The host.
        :param incarnation: Its life at that time.
        """
        return any(
            peer.host == host and peer.incarnation == incarnation for peer in self._mesh.live.value
        )

    def _on_list(self, entries: tuple[ListedEntry, ...]) -> None:
        self._gate.on_list(entries)
        self._mesh.set_peers(peer_addresses(entries=entries, seeds=self._seeds))
        live = [
            entry
            for entry in entries
            if entry.kind is ListedKind.HOST and entry.state is ListedState.LIVE
        ]
        self._router.set_known_hosts(max(1, len(live)))

    def _on_joined(self, peer: PeerInfo) -> None:
        for message in self._gate.leaving_messages():
            self._mesh.send(host=peer.host, message=message)
        self._announce_to(peer.host)

    def _announce_to(self, host: HostId) -> None:
        declarations = self._follower.declarations
        message = HeadAnnouncement(revision=declarations.revision, digest=declarations.digest)
        self._mesh.send(host=host, message=message)

    def _on_message(self, received: Received) -> None:
        match received.message:
            case UpstreamLeaving() as leaving:
                self._gate.on_peer(leaving)
            case Attached(attempt=attempt):
                self._canceller.keep(attempt=AttemptId(attempt))
            case HeadAnnouncement(revision=revision) | Heartbeat(revision=revision):
                self._compare(received.host, Revision(revision))
            case HeadRequest(have_revision=have):
                self._answer(received.host, Revision(have))
            case HeadContent() as content:
                self._offer(received.host, content)

    def _compare(self, host: HostId, revision: Revision) -> None:
        own = self._follower.head_revision
        if revision > own:
            self._mesh.send(host=host, message=HeadRequest(have_revision=own))
        elif self._mesh.all_tried:
            self._follower.peers_agree(revisions=[peer.revision for peer in self._mesh.live.value])

    def _answer(self, host: HostId, have: Revision) -> None:
        content = self._follower.content_for_peer(have=have)
        if content is not None:
            self._mesh.send(host=host, message=content)

    def _offer(self, host: HostId, content: HeadContent) -> None:
        task = asyncio.ensure_future(self._take(host, content))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _take(self, host: HostId, content: HeadContent) -> None:
        result = await self._follower.offer_from_peer(
            head=content.head.encode(), chunks=content.chunks
        )
        error = result.swap().value_or(None)
        if error is not None and error.kind is FollowErrorKind.CHUNK_MISSING:
            self._mesh.send(host=host, message=HeadRequest(have_revision=0))

    def _on_declarations(self, declarations: Declarations) -> None:
        self._keys.set_accounts(accounts=declarations.accounts)
        self._router.set_engines(tuple(declarations.engines.values()))
        if declarations.revision == 0:
            return
        message = HeadAnnouncement(revision=declarations.revision, digest=declarations.digest)
        self._mesh.broadcast(message=message)
        _log.info("A revision is in force.", revision=declarations.revision)
