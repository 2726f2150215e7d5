"""Connections between hosts over real loopback WebSockets."""

from __future__ import annotations

import asyncio
from random import Random

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerAddress
from tanagerscale.membership import Received


async def test_peer_receives_message_when_connected() -> None:
    a = Mesh(
        host=HostId("a"),
        failure_domain=FailureDomainId("z1"),
        incarnation=1,
        listen="127.0.0.1:0",
        clock=Clock(),
        rng=Random(1),
    )
    b = Mesh(
        host=HostId("b"),
        failure_domain=FailureDomainId("z2"),
        incarnation=1,
        listen="127.0.0.1:0",
        clock=Clock(),
        rng=Random(2),
    )
    aa, ba = await a.start(), await b.start()
    got: list[Received] = []
    b.messages.subscribe(got.append)
    a.set_peers([PeerAddress(address=ba, host=HostId("b")), PeerAddress(address=aa)])
    b.set_peers([PeerAddress(address=aa)])
    async with asyncio.timeout(20):
        while not (a.live.value and b.live.value):
            await asyncio.sleep(0.01)
        assert a.send(host=HostId("b"), message=HeadAnnouncement(revision=3, digest="x"))
        while not any(isinstance(each.message, HeadAnnouncement) for each in got):
            await asyncio.sleep(0.01)
    await asyncio.sleep(1.2)
    print(a.live.value, b.live.value, a.counters)
    await a.stop()
    await b.stop()
