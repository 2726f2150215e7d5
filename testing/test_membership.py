"""Peer connections, host list and upstream availability, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from random import Random

import pytest
from reactivex.subject import BehaviorSubject
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import AccountUse
from tanagerscale.generated.messages import HeadContent
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.generated.upstream import ListedKind
from tanagerscale.generated.upstream import ListedState
from tanagerscale.membership import NOT_PACKED
from tanagerscale.membership import HeadReplicator
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerAddress
from tanagerscale.membership import ReceivedMessage
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import subscribe_gate
from testing._memory_links import MemoryNetwork
from testing._memory_links import MemoryTransport

pytestmark = pytest.mark.looptime

ENGINE = UpstreamId("engine-0")


@dataclass
class FakeFollower:
    """Declarations follower that holds only a revision number."""

    head_revision: Revision
    ready: bool = False
    sends_deltas_only: bool = False
    """Whether its content is sufficient only for hosts that are one revision behind."""
    ignores_requests: bool = False
    """Whether it does not respond to requests from peers."""
    rejected_offers: int = 0
    rejects_offers: bool = False
    """Whether it rejects all content from peers."""

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, str]:
        """Apply a higher revision; without chunks only the next one."""
        offered = Revision(int(head))
        if self.rejects_offers:
            self.rejected_offers += 1
            return Failure("a section of a newer schema")
        if not chunks and offered != self.head_revision + 1:
            self.rejected_offers += 1
            return Failure("chunks are missing")
        self.head_revision = max(self.head_revision, offered)
        return Success(self.head_revision)

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return the revision held here, unless the peer has it already."""
        if have >= self.head_revision or self.ignores_requests:
            return None
        chunks = {} if self.sends_deltas_only and have > 0 else {"digest": "all"}
        return HeadContent(head=str(self.head_revision), chunks=chunks)

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Become ready when this host holds the highest revision that the peers report."""
        self.ready = self.ready or 0 < max(revisions, default=0) <= self.head_revision


@dataclass
class MeshHost:
    """One host of the mesh and the components that use it."""

    mesh: Mesh
    gate: UpstreamGate
    follower: FakeFollower
    replicator: HeadReplicator
    entries: BehaviorSubject[tuple[ListedEntry, ...]]


@dataclass
class MemoryCluster:
    """Hosts on one in-memory network."""

    network: MemoryNetwork = field(default_factory=MemoryNetwork)
    addresses: dict[str, str] = field(default_factory=dict)

    async def start(
        self,
        name: str,
        *,
        incarnation: int = 1,
        address: str = "",
        advertised: str = "",
        revision: int = 0,
    ) -> MeshHost:
        """Start a host that has no peer addresses yet."""
        follower = FakeFollower(head_revision=Revision(revision))
        mesh = Mesh(
            host=HostId(name),
            failure_domain=FailureDomainId("z1"),
            incarnation=incarnation,
            listen=address or name,
            clock=Clock(),
            rng=Random(name),
            heartbeat_source=lambda: Heartbeat(
                revision=follower.head_revision, usage={"crew": AccountUse(d=1.5, r=2)}
            ),
            transport=MemoryTransport(
                network=self.network, address=address or name, advertised=advertised
            ),
        )
        gate = UpstreamGate(
            clock=Clock(), rng=Random(1), broadcast=lambda message: mesh.broadcast(message=message)
        )
        entries: BehaviorSubject[tuple[ListedEntry, ...]] = BehaviorSubject(())
        subscribe_gate(gate=gate, mesh=mesh, entries=entries)
        replicator = HeadReplicator(network=mesh, follower=follower, clock=Clock())
        self.addresses[name] = await mesh.start()
        replicator.start()
        return MeshHost(
            mesh=mesh, gate=gate, follower=follower, replicator=replicator, entries=entries
        )

    def connect(self, *hosts: MeshHost) -> None:
        """Set the addresses of all hosts as peers of the given hosts."""
        peers = [
            PeerAddress(address=address, host=HostId(name))
            for name, address in self.addresses.items()
        ]
        for host in hosts:
            host.mesh.set_peers(peers)

    def freeze(self, name: str) -> None:
        """Hold back all frames from and to a host without closing its connections."""
        mine = self.addresses[name]
        self.network.frozen |= {frozenset((mine, other)) for other in self.addresses.values()}


def _get_peers(host: MeshHost) -> list[str]:
    return [peer.host for peer in host.mesh.live.value]


def _make_entry(state: ListedState, *, incarnation: int = 1) -> ListedEntry:
    return ListedEntry(
        id=ENGINE,
        kind=ListedKind.UPSTREAM,
        address="127.0.0.1:9000",
        state=state,
        incarnation=incarnation,
    )


async def _start_three_hosts(
    revision: int = 0,
) -> tuple[MemoryCluster, MeshHost, MeshHost, MeshHost]:
    cluster = MemoryCluster()
    a, b, c = [await cluster.start(name, revision=revision) for name in "abc"]
    cluster.connect(a, b, c)
    await asyncio.sleep(4)
    assert (_get_peers(a), _get_peers(b), _get_peers(c)) == (["b", "c"], ["a", "c"], ["a", "b"])
    return cluster, a, b, c


@pytest.mark.parametrize("seed", range(12))
async def test_one_connection_is_kept_when_two_hosts_connect_simultaneously(seed: int) -> None:
    cluster = MemoryCluster(network=MemoryNetwork(rng=Random(seed)))
    a, b = await cluster.start("a"), await cluster.start("b")
    a.mesh.set_peers([PeerAddress(address="b")])
    b.mesh.set_peers([PeerAddress(address="a")])
    await asyncio.sleep(0.1)
    assert (_get_peers(a), _get_peers(b)) == (["b"], ["a"])
    await asyncio.sleep(10)
    assert (_get_peers(a), _get_peers(b)) == (["b"], ["a"])
    assert cluster.network.links <= 2


async def test_peer_is_not_redialed_when_it_reports_another_address_than_its_seed() -> None:
    cluster = MemoryCluster()
    a, b = await cluster.start("a", advertised="0.0.0.0:1"), await cluster.start("b")
    a.mesh.set_peers([PeerAddress(address="b")])
    b.mesh.set_peers([PeerAddress(address="a")])
    await asyncio.sleep(30)
    assert (_get_peers(a), _get_peers(b)) == (["b"], ["a"])
    assert cluster.network.links <= 2


async def test_frozen_peer_counts_as_failed_and_reconnects_when_it_resumes() -> None:
    cluster, a, b, c = await _start_three_hosts()
    cluster.freeze("c")
    await asyncio.sleep(4)
    assert (_get_peers(a), _get_peers(b), _get_peers(c)) == (["b"], ["a"], [])
    cluster.network.resume()
    await asyncio.sleep(10)
    assert (_get_peers(a), _get_peers(b), _get_peers(c)) == (["b", "c"], ["a", "c"], ["a", "b"])


async def test_new_incarnation_replaces_old_one_which_is_rejected() -> None:
    cluster, a, old, _ = await _start_three_hosts()
    new = await cluster.start("b", incarnation=2, address="b2")
    cluster.connect(a, new)
    await asyncio.sleep(10)
    peer = next(peer for peer in a.mesh.live.value if peer.host == "b")
    assert (peer.incarnation, peer.address) == (2, "b2")
    assert "a" not in _get_peers(old)


async def test_connection_is_kept_when_host_list_omits_or_renames_the_host() -> None:
    cluster, a, b, c = await _start_three_hosts()
    links = cluster.network.links
    a.mesh.set_peers([PeerAddress(address="b", host=HostId("former"))])
    c.mesh.set_peers([])
    await asyncio.sleep(10)
    assert (_get_peers(a), _get_peers(b), _get_peers(c)) == (["b", "c"], ["a", "c"], ["a", "b"])
    assert cluster.network.links == links


async def test_account_usage_is_received_with_heartbeats() -> None:
    _, a, _, _ = await _start_three_hosts()
    received: list[ReceivedMessage] = []
    a.mesh.messages.subscribe(received.append)
    await asyncio.sleep(2.5)
    reported = {
        (each.host, use.d, use.r)
        for each in received
        if isinstance(each.message, Heartbeat)
        for use in each.message.usage.values()
    }
    assert reported == {("b", 1.5, 2), ("c", 1.5, 2)}


async def test_refusal_at_one_host_closes_upstream_on_all_hosts_when_host_list_lags() -> None:
    _, a, b, c = await _start_three_hosts()
    for host in (a, b, c):
        host.entries.on_next((_make_entry(ListedState.LIVE),))
    a.gate.record_leaving(upstream=ENGINE)
    await asyncio.sleep(0.1)
    assert not any(host.gate.is_open(ENGINE) for host in (a, b, c))
    for host in (a, b, c):
        host.entries.on_next((_make_entry(ListedState.LIVE),))
    assert not any(host.gate.is_open(ENGINE) for host in (a, b, c))
    a.entries.on_next((_make_entry(ListedState.LIVE, incarnation=2),))
    assert a.gate.is_open(ENGINE)


async def test_upstream_without_incarnation_reopens_after_leaving_notice_expires() -> None:
    gate = UpstreamGate(clock=Clock(), rng=Random(1), broadcast=lambda _message: None)
    live, leaving = (
        _make_entry(state, incarnation=0) for state in (ListedState.LIVE, ListedState.LEAVING)
    )
    gate.on_host_list([leaving])
    await asyncio.sleep(3600)
    assert not gate.is_open(ENGINE)
    gate.record_leaving(upstream=ENGINE)
    gate.on_host_list([live])
    await asyncio.sleep(300)
    assert not gate.is_open(ENGINE)
    await asyncio.sleep(301)
    assert gate.is_open(ENGINE)


async def test_host_list_closes_leaving_upstream_on_host_that_is_disconnected_from_peers() -> None:
    cluster, a, b, c = await _start_three_hosts()
    cluster.freeze("c")
    a.gate.record_leaving(upstream=ENGINE)
    await asyncio.sleep(1)
    assert not b.gate.is_open(ENGINE)
    assert c.gate.is_open(ENGINE)
    c.entries.on_next((_make_entry(ListedState.LEAVING),))
    assert not c.gate.is_open(ENGINE)


async def test_newly_connected_host_receives_leaving_notices() -> None:
    cluster, a, _, _ = await _start_three_hosts()
    a.gate.record_leaving(upstream=ENGINE)
    late = await cluster.start("d")
    cluster.connect(late)
    await asyncio.sleep(3)
    assert not late.gate.is_open(ENGINE)


async def test_backoff_of_unreachable_upstream_grows_with_failures_and_ends_with_a_response() -> (
    None
):
    gate = UpstreamGate(clock=Clock(), rng=Random(1), broadcast=lambda _message: None)
    changes: list[UpstreamId] = []
    gate.changes.subscribe(changes.append)
    gate.record_failure(upstream=ENGINE)
    assert not gate.is_open(ENGINE)
    await asyncio.sleep(1)
    assert gate.is_open(ENGINE)
    assert len(changes) == 2
    gate.record_failure(upstream=ENGINE)
    await asyncio.sleep(1)
    assert not gate.is_open(ENGINE)
    gate.record_success(upstream=ENGINE)
    assert gate.is_open(ENGINE)


async def test_revision_is_replicated_between_peers_without_the_store() -> None:
    _, a, b, c = await _start_three_hosts(revision=4)
    a.follower.head_revision = Revision(5)
    a.replicator.announce(revision=Revision(5), digest="x")
    await asyncio.sleep(0.1)
    assert [each.follower.head_revision for each in (b, c)] == [5, 5]


async def test_full_requests_are_rate_limited_when_received_content_is_unreadable() -> None:
    _, a, b, _ = await _start_three_hosts(revision=4)
    b.follower.rejects_offers = True
    a.follower.head_revision = Revision(5)
    a.replicator.announce(revision=Revision(5), digest="x")
    await asyncio.sleep(10)
    # At most one request per half second, and only a few of them for the full content.
    assert 2 <= b.follower.rejected_offers <= 25


async def test_full_content_is_requested_when_the_delta_is_insufficient() -> None:
    _, a, b, _ = await _start_three_hosts(revision=4)
    a.follower.sends_deltas_only = True
    a.follower.head_revision = Revision(9)
    a.replicator.announce(revision=Revision(9), digest="x")
    await asyncio.sleep(0.2)
    assert b.follower.rejected_offers == 1
    assert b.follower.head_revision == 9


async def test_request_goes_to_another_peer_when_the_first_does_not_respond() -> None:
    _, a, b, c = await _start_three_hosts(revision=4)
    a.follower.ignores_requests = True
    a.follower.head_revision = Revision(5)
    a.replicator.announce(revision=Revision(5), digest="x")
    await asyncio.sleep(0.1)
    b.follower.head_revision = Revision(5)
    await asyncio.sleep(2)
    assert c.follower.head_revision == 5


async def test_starting_host_is_ready_only_after_every_reachable_peer_reported() -> None:
    cluster, a, b, _ = await _start_three_hosts(revision=4)
    a.follower.head_revision = Revision(5)
    b.follower.head_revision = Revision(5)
    late = await cluster.start("d")
    late.mesh.set_peers([PeerAddress(address="c")])
    await asyncio.sleep(0.1)
    before = late.follower.ready
    await asyncio.sleep(5)
    with_one_peer = late.follower.ready
    cluster.connect(late)
    late.replicator.record_hosts_known()
    await asyncio.sleep(5)
    assert (before, with_one_peer, late.follower.ready) == (False, False, True)
    assert late.follower.head_revision == 5


async def test_host_without_peers_is_not_ready() -> None:
    cluster = MemoryCluster()
    host = await cluster.start("a", revision=3)
    host.replicator.record_hosts_known()
    await asyncio.sleep(5)
    assert not host.follower.ready
