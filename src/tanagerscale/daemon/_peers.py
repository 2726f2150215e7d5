"""Handling of host list updates, peer messages and new declarations."""

from __future__ import annotations

from typing import final

from tanagerscale.accounts import KeyChecker
from tanagerscale.core import AttemptId
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import get_logger
from tanagerscale.daemon._limits import HostAccountLimits
from tanagerscale.daemon._scheduling import HostSchedulers
from tanagerscale.declarations import Declarations
from tanagerscale.declarations import Follower
from tanagerscale.dispatch import Canceller
from tanagerscale.generated.messages import Attached
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.generated.upstream import ListedKind
from tanagerscale.generated.upstream import ListedState
from tanagerscale.membership import HeadReplicator
from tanagerscale.membership import HostListFollower
from tanagerscale.membership import Mesh
from tanagerscale.membership import ReceivedMessage
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import peer_addresses
from tanagerscale.membership import subscribe_gate
from tanagerscale.routing import PoolRouter

_log = get_logger(part="peers")


@final
class PeerEventHandler:
    """Passes updates of the host list, the mesh and the declarations to the other components.

    :param mesh: Connections to the other hosts.
    :param gate: Tracks which upstreams accept new work.
    :param follower: Follows the declarations in the store.
    :param host_list: Follows the host list of the platform.
    :param router: Receives the declared engines and the number of live hosts.
    :param schedulers: Receive the objective and the client accounts.
    :param canceller: Receives the attempts whose callers have moved to other hosts.
    :param keys: Receives the client accounts.
    :param limits: Receives the client accounts and their usage on other hosts.
    :param seeds: Peer addresses to connect to in addition to the listed ones.
    :param clock: Clock used by the announcement of new revisions.
    """

    def __init__(
        self,
        *,
        mesh: Mesh,
        gate: UpstreamGate,
        follower: Follower,
        host_list: HostListFollower,
        router: PoolRouter,
        schedulers: HostSchedulers,
        canceller: Canceller,
        keys: KeyChecker,
        limits: HostAccountLimits,
        seeds: tuple[str, ...],
        clock: Clock,
    ) -> None:
        self._mesh = mesh
        self._gate = gate
        self._follower = follower
        self._host_list = host_list
        self._router = router
        self._schedulers = schedulers
        self._canceller = canceller
        self._keys = keys
        self._limits = limits
        self._seeds = seeds
        self._head_replicator = HeadReplicator(network=mesh, follower=follower, clock=clock)

    def start(self) -> None:
        """Subscribe to all sources of updates."""
        subscribe_gate(gate=self._gate, mesh=self._mesh, entries=self._host_list.entries)
        self._host_list.entries.subscribe(self._on_host_list)
        self._mesh.messages.subscribe(self._on_message)
        self._head_replicator.start()
        self._follower.in_force.subscribe(self._on_declarations)

    async def stop(self) -> None:
        """Stop announcing revisions to the peers."""
        await self._head_replicator.stop()

    def connect_to_seeds(self) -> None:
        """Connect to the seeds only; used when there is no host list."""
        self._mesh.set_peers(peer_addresses(entries=(), seeds=self._seeds))
        self._head_replicator.record_hosts_known()

    def is_live(self, host: HostId, incarnation: int) -> bool:
        """Return whether a host is live and has not restarted since it wrote a record.

        :param host: Host that wrote the record.
        :param incarnation: Incarnation of the host in the record.
        """
        return any(
            peer.host == host and peer.incarnation == incarnation for peer in self._mesh.live.value
        )

    def _on_host_list(self, entries: tuple[ListedEntry, ...]) -> None:
        self._mesh.set_peers(peer_addresses(entries=entries, seeds=self._seeds))
        hosts = [entry for entry in entries if entry.kind is ListedKind.HOST]
        if not hosts:
            return
        live = [entry for entry in hosts if entry.state is ListedState.LIVE]
        self._router.set_expected_hosts(max(1, len(live)))
        others = frozenset(HostId(entry.id) for entry in live) - {self._mesh.host}
        self._limits.set_peers(peers=others)
        self._head_replicator.record_hosts_known()

    def _on_message(self, received: ReceivedMessage) -> None:
        if isinstance(received.message, Heartbeat):
            self._limits.on_heartbeat(host=received.host, heartbeat=received.message)
        elif isinstance(received.message, Attached):
            self._canceller.on_caller_moved(attempt=AttemptId(received.message.attempt))

    def _on_declarations(self, declarations: Declarations) -> None:
        self._keys.set_accounts(accounts=declarations.accounts)
        self._limits.set_declarations(declarations=declarations)
        self._schedulers.set_declarations(declarations=declarations, router=self._router)
        self._router.set_engines(tuple(declarations.engines.values()))
        if declarations.revision == 0:
            return
        self._head_replicator.announce(revision=declarations.revision, digest=declarations.digest)
        _log.info("Declarations are in force.", revision=declarations.revision)
