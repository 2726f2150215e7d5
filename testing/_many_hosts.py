"""Hosts as far as they talk to each other, on links in memory."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from random import Random

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import EngineWork
from tanagerscale.forwarding import UpstreamHealth
from tanagerscale.gateway._peers import PeerNews
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerAddress
from tanagerscale.membership import Received
from tanagerscale.membership import Rumours
from tanagerscale.membership import UpstreamGate
from tanagerscale.quarantine import Suspects
from testing._memory_links import MemoryNetwork
from testing._memory_links import MemoryTransport

ENGINE = UpstreamId("engine")

SETTLE_S = 5.0
"""By then hosts beat as rarely as their number asks, and no longer all at one moment."""


@dataclass(kw_only=True)
class Host:
    """What of a host talks to its peers."""

    network: MemoryNetwork
    mesh: Mesh
    gate: UpstreamGate
    work: EngineWork
    received: int = 0
    """Messages from peers, heartbeats left out."""

    def count(self, received: Received) -> None:
        """Count a message."""
        self.received += not isinstance(received.message, Heartbeat)

    def begin(self, name: str, *, upstream: UpstreamId = ENGINE) -> None:
        """Count a generation that is sent to an engine."""
        self.work.begin(
            request=RequestId(name), upstream=upstream, prompt_tokens=10, tokens=10, is_long=True
        )

    def waiting_at(self, upstream: UpstreamId) -> int:
        """Return how many generations this host knows to wait at an engine."""
        total = self.work.totals().get(upstream)
        return 0 if total is None else total.waiting


def make_host(network: MemoryNetwork, name: str, domain: int = 0, *, incarnation: int = 1) -> Host:
    """Make a host that is not started yet.

    :param network: Where its peers are.
    :param name: Its id and address.
    :param domain: Number of its failure domain.
    :param incarnation: Wall clock at its start, in milliseconds.
    """
    clock, rng = Clock(), Random(name)
    mesh = Mesh(
        host=HostId(name),
        failure_domain=FailureDomainId(f"domain-{domain}"),
        incarnation=incarnation,
        listen=name,
        clock=clock,
        rng=rng,
        transport=MemoryTransport(network=network, address=name),
    )
    rumours = Rumours(mesh=mesh, rng=rng)
    gate = UpstreamGate(clock=clock, rng=rng, spread=rumours.tell)
    work = EngineWork(host=HostId(name))
    news = PeerNews(
        mesh=mesh,
        gate=gate,
        work=work,
        health=UpstreamHealth(service_of=lambda _: None, clock=clock),
        suspects=Suspects(clock=clock),
        rumours=rumours,
        incarnation=incarnation,
        on_store_lost=lambda: None,
    )
    news.start()
    host = Host(network=network, mesh=mesh, gate=gate, work=work)
    mesh.messages.subscribe(host.count)
    return host


async def start_hosts(*, count: int, domains: int) -> list[Host]:
    """Start hosts that know each other, and wait until they have settled.

    :param count: How many hosts.
    :param domains: How many failure domains they are spread over.
    """
    network = MemoryNetwork()
    names = [f"host-{number:02}" for number in range(count)]
    hosts = [make_host(network, name, number % domains) for number, name in enumerate(names)]
    for host in hosts:
        await host.mesh.start()
        host.mesh.set_peers([PeerAddress(address=name, host=HostId(name)) for name in names])
    while any(len(host.mesh.live.value) < count - 1 for host in hosts):
        await asyncio.sleep(0.1)
    await asyncio.sleep(SETTLE_S)
    return hosts


def received_by(hosts: list[Host]) -> int:
    """Return how many messages hosts took in, heartbeats left out."""
    return sum(host.received for host in hosts)
