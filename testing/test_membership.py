"""Peers, host list and upstreams' openness, in virtual time."""

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
from tanagerscale.membership import HeadSpread
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerAddress
from tanagerscale.membership import Received
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import spread_leaving
from testing._memory_links import MemoryNetwork
from testing._memory_links import MemoryTransport

pytestmark = pytest.mark.looptime

ENGINE = UpstreamId("engine-0")


@dataclass
class Revisions:
    """A follower of declarations, reduced to a number."""

    head_revision: Revision
    ready: bool = False
    delta_only: bool = False
    """Whether what it sends helps only hosts that are one revision behind."""
    mute: bool = False
    """Whether it answers no peer."""
    refused: int = 0
    unreadable: bool = False
    """Whether nothing that peers offer can be taken in."""

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, str]:
        """Take a higher revision; without chunks only the next one."""
        offered = Revision(int(head))
        if self.unreadable:
            self.refused += 1
            return Failure("a section of a newer schema")
        if not chunks and offered != self.head_revision + 1:
            self.refused += 1
            return Failure("chunks are missing")
        self.head_revision = max(self.head_revision, offered)
        return Success(self.head_revision)

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return this revision."""
        if have >= self.head_revision or self.mute:
            return None
        chunks = {} if self.delta_only and have > 0 else {"digest": "all"}
        return HeadContent(head=str(self.head_revision), chunks=chunks)

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Become ready on the peers' word."""
        self.ready = self.ready or 0 < max(revisions, default=0) <= self.head_revision


@dataclass
class MeshHost:
    """One host of the mesh with what it feeds."""

    mesh: Mesh
    gate: UpstreamGate
    revisions: Revisions
    spread: HeadSpread
    entries: BehaviorSubject[tuple[ListedEntry, ...]]


@dataclass
class Hosts:
    """Hosts on one network in memory."""

    network: MemoryNetwork = field(default_factory=MemoryNetwork)
    addresses: dict[str, str] = field(default_factory=dict)

    async def start(
        self,
        name: str,
        *,
        incarnation: int = 1,
        address: str = "",
        told: str = "",
        revision: int = 0,
    ) -> MeshHost:
        """Start a host that knows no address yet."""
        revisions = Revisions(head_revision=Revision(revision))
        mesh = Mesh(
            host=HostId(name),
            failure_domain=FailureDomainId("z1"),
            incarnation=incarnation,
            listen=address or name,
            clock=Clock(),
            rng=Random(name),
            heartbeat_source=lambda: Heartbeat(
                revision=revisions.head_revision, usage={"crew": AccountUse(d=1.5, r=2)}
            ),
            transport=MemoryTransport(network=self.network, address=address or name, told=told),
        )
        gate = UpstreamGate(
            clock=Clock(), rng=Random(1), spread=lambda message: mesh.broadcast(message=message)
        )
        entries: BehaviorSubject[tuple[ListedEntry, ...]] = BehaviorSubject(())
        spread_leaving(gate=gate, mesh=mesh, entries=entries)
        spread = HeadSpread(network=mesh, follower=revisions, clock=Clock())
        self.addresses[name] = await mesh.start()
        spread.start()
        return MeshHost(mesh=mesh, gate=gate, revisions=revisions, spread=spread, entries=entries)

    def connect(self, *hosts: MeshHost) -> None:
        """Tell hosts all addresses."""
        peers = [
            PeerAddress(address=address, host=HostId(name))
            for name, address in self.addresses.items()
        ]
        for host in hosts:
            host.mesh.set_peers(peers)

    def freeze(self, name: str) -> None:
        """Hold all frames from and to a host, without ending its connections."""
        mine = self.addresses[name]
        self.network.frozen |= {frozenset((mine, other)) for other in self.addresses.values()}


def _peers(host: MeshHost) -> list[str]:
    return [peer.host for peer in host.mesh.live.value]


def _entry(state: ListedState, *, incarnation: int = 1) -> ListedEntry:
    return ListedEntry(
        id=ENGINE,
        kind=ListedKind.UPSTREAM,
        address="127.0.0.1:9000",
        state=state,
        incarnation=incarnation,
    )


async def _three(revision: int = 0) -> tuple[Hosts, MeshHost, MeshHost, MeshHost]:
    hosts = Hosts()
    a, b, c = [await hosts.start(name, revision=revision) for name in "abc"]
    hosts.connect(a, b, c)
    await asyncio.sleep(4)
    assert (_peers(a), _peers(b), _peers(c)) == (["b", "c"], ["a", "c"], ["a", "b"])
    return hosts, a, b, c


@pytest.mark.parametrize("seed", range(12))
async def test_two_hosts_keep_one_connection_when_both_connect_at_once(seed: int) -> None:
    hosts = Hosts(network=MemoryNetwork(rng=Random(seed)))
    a, b = await hosts.start("a"), await hosts.start("b")
    a.mesh.set_peers([PeerAddress(address="b")])
    b.mesh.set_peers([PeerAddress(address="a")])
    await asyncio.sleep(0.1)
    assert (_peers(a), _peers(b)) == (["b"], ["a"])
    await asyncio.sleep(10)
    assert (_peers(a), _peers(b)) == (["b"], ["a"])
    assert hosts.network.links <= 2


async def test_peer_is_not_called_again_when_it_tells_another_address_than_its_seed() -> None:
    hosts = Hosts()
    a, b = await hosts.start("a", told="0.0.0.0:1"), await hosts.start("b")
    a.mesh.set_peers([PeerAddress(address="b")])
    b.mesh.set_peers([PeerAddress(address="a")])
    await asyncio.sleep(30)
    assert (_peers(a), _peers(b)) == (["b"], ["a"])
    assert hosts.network.links <= 2


async def test_frozen_peer_is_taken_as_failed_and_comes_back_when_thawed() -> None:
    hosts, a, b, c = await _three()
    hosts.freeze("c")
    await asyncio.sleep(4)
    assert (_peers(a), _peers(b), _peers(c)) == (["b"], ["a"], [])
    hosts.network.thaw()
    await asyncio.sleep(10)
    assert (_peers(a), _peers(b), _peers(c)) == (["b", "c"], ["a", "c"], ["a", "b"])


async def test_new_incarnation_replaces_the_old_which_stays_refused() -> None:
    hosts, a, old, _ = await _three()
    new = await hosts.start("b", incarnation=2, address="b2")
    hosts.connect(a, new)
    await asyncio.sleep(10)
    peer = next(peer for peer in a.mesh.live.value if peer.host == "b")
    assert (peer.incarnation, peer.address) == (2, "b2")
    assert "a" not in _peers(old)


async def test_connection_stays_when_the_list_forgets_a_host_or_names_another_there() -> None:
    hosts, a, b, c = await _three()
    links = hosts.network.links
    a.mesh.set_peers([PeerAddress(address="b", host=HostId("former"))])
    c.mesh.set_peers([])
    await asyncio.sleep(10)
    assert (_peers(a), _peers(b), _peers(c)) == (["b", "c"], ["a", "c"], ["a", "b"])
    assert hosts.network.links == links


async def test_usage_of_accounts_is_heard_when_a_peer_beats() -> None:
    _, a, _, _ = await _three()
    heard: list[Received] = []
    a.mesh.messages.subscribe(heard.append)
    await asyncio.sleep(2.5)
    told = {
        (each.host, use.d, use.r)
        for each in heard
        if isinstance(each.message, Heartbeat)
        for use in each.message.usage.values()
    }
    assert told == {("b", 1.5, 2), ("c", 1.5, 2)}


async def test_refusal_at_one_host_closes_an_upstream_everywhere_though_the_list_lags() -> None:
    _, a, b, c = await _three()
    for host in (a, b, c):
        host.entries.on_next((_entry(ListedState.LIVE),))
    a.gate.note_leaving(upstream=ENGINE)
    await asyncio.sleep(0.1)
    assert not any(host.gate.is_open(ENGINE) for host in (a, b, c))
    for host in (a, b, c):
        host.entries.on_next((_entry(ListedState.LIVE),))
    assert not any(host.gate.is_open(ENGINE) for host in (a, b, c))
    a.entries.on_next((_entry(ListedState.LIVE, incarnation=2),))
    assert a.gate.is_open(ENGINE)


async def test_upstream_without_incarnations_opens_long_after_the_last_word_of_leaving() -> None:
    gate = UpstreamGate(clock=Clock(), rng=Random(1), spread=lambda _message: None)
    live, leaving = (
        _entry(state, incarnation=0) for state in (ListedState.LIVE, ListedState.LEAVING)
    )
    gate.on_list([leaving])
    await asyncio.sleep(3600)
    assert not gate.is_open(ENGINE)
    gate.note_leaving(upstream=ENGINE)
    gate.on_list([live])
    await asyncio.sleep(300)
    assert not gate.is_open(ENGINE)
    await asyncio.sleep(301)
    assert gate.is_open(ENGINE)


async def test_host_cut_from_its_peers_learns_of_a_leaving_upstream_from_the_list() -> None:
    hosts, a, b, c = await _three()
    hosts.freeze("c")
    a.gate.note_leaving(upstream=ENGINE)
    await asyncio.sleep(1)
    assert not b.gate.is_open(ENGINE)
    assert c.gate.is_open(ENGINE)
    c.entries.on_next((_entry(ListedState.LEAVING),))
    assert not c.gate.is_open(ENGINE)


async def test_host_that_connects_later_is_told_of_leaving_upstreams() -> None:
    hosts, a, _, _ = await _three()
    a.gate.note_leaving(upstream=ENGINE)
    late = await hosts.start("d")
    hosts.connect(late)
    await asyncio.sleep(3)
    assert not late.gate.is_open(ENGINE)


async def test_unreachable_upstream_rests_longer_after_each_failure_and_opens_when_up() -> None:
    gate = UpstreamGate(clock=Clock(), rng=Random(1), spread=lambda _message: None)
    changes: list[UpstreamId] = []
    gate.changes.subscribe(changes.append)
    gate.note_down(upstream=ENGINE)
    assert not gate.is_open(ENGINE)
    await asyncio.sleep(1)
    assert gate.is_open(ENGINE)
    assert len(changes) == 2
    gate.note_down(upstream=ENGINE)
    await asyncio.sleep(1)
    assert not gate.is_open(ENGINE)
    gate.note_up(upstream=ENGINE)
    assert gate.is_open(ENGINE)


async def test_revision_spreads_from_peer_to_peer_without_the_store() -> None:
    _, a, b, c = await _three(revision=4)
    a.revisions.head_revision = Revision(5)
    a.spread.announce(revision=Revision(5), digest="x")
    await asyncio.sleep(0.1)
    assert [each.revisions.head_revision for each in (b, c)] == [5, 5]


async def test_host_asks_for_all_seldom_when_it_can_not_read_what_it_gets() -> None:
    _, a, b, _ = await _three(revision=4)
    b.revisions.unreadable = True
    a.revisions.head_revision = Revision(5)
    a.spread.announce(revision=Revision(5), digest="x")
    await asyncio.sleep(10)
    # One request each half second at most, and few of them for the whole set.
    assert 2 <= b.revisions.refused <= 25


async def test_host_asks_for_all_when_the_difference_does_not_suffice() -> None:
    _, a, b, _ = await _three(revision=4)
    a.revisions.delta_only = True
    a.revisions.head_revision = Revision(9)
    a.spread.announce(revision=Revision(9), digest="x")
    await asyncio.sleep(0.2)
    assert b.revisions.refused == 1
    assert b.revisions.head_revision == 9


async def test_host_asks_another_peer_when_the_first_does_not_answer() -> None:
    _, a, b, c = await _three(revision=4)
    a.revisions.mute = True
    a.revisions.head_revision = Revision(5)
    a.spread.announce(revision=Revision(5), digest="x")
    await asyncio.sleep(0.1)
    b.revisions.head_revision = Revision(5)
    await asyncio.sleep(2)
    assert c.revisions.head_revision == 5


async def test_starting_host_is_ready_only_with_the_word_of_every_reachable_peer() -> None:
    hosts, a, b, _ = await _three(revision=4)
    a.revisions.head_revision = Revision(5)
    b.revisions.head_revision = Revision(5)
    late = await hosts.start("d")
    late.mesh.set_peers([PeerAddress(address="c")])
    await asyncio.sleep(0.1)
    before = late.revisions.ready
    await asyncio.sleep(5)
    with_one_peer = late.revisions.ready
    hosts.connect(late)
    late.spread.hosts_are_known()
    await asyncio.sleep(5)
    assert (before, with_one_peer, late.revisions.ready) == (False, False, True)
    assert late.revisions.head_revision == 5


async def test_host_without_any_peer_is_not_ready_on_its_own_word() -> None:
    hosts = Hosts()
    alone = await hosts.start("a", revision=3)
    alone.spread.hosts_are_known()
    await asyncio.sleep(5)
    assert not alone.revisions.ready
