"""What the spread of a change costs in a full mesh of real hosts over loopback WebSockets."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
import time

from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.generated.messages import HeadContent
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.membership import NOT_PACKED
from tanagerscale.membership import HeadReplicator
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerAddress

MESH_SIZES = (4, 8, 16, 32)
CHANGES = 10
SETTLE_S = 0.2
MS_PER_SECOND = 1000
DELTA_BYTES = 1560
"""A head with the difference of one section, from ``tools/bench_declarations.py``."""
DIGEST = "0" * 64


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadFigures:
    """What one change costs.

    :param spread_ms: Until the last host has it, mean.
    :param host_cpu_ms: Processor time of one host, heartbeats of the time included.
    :param host_messages: Messages that one host sends.
    :param host_bytes: Bytes of frames that one host sends.
    """

    spread_ms: float
    host_cpu_ms: float
    host_messages: float
    host_bytes: float


class _Revisions:
    """A follower of declarations, reduced to a number and a payload of usual size."""

    def __init__(self) -> None:
        self.head_revision = Revision(1)
        self.spread: HeadReplicator | None = None

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, str]:
        """Take a higher revision and tell the peers."""
        offered = Revision(int(head.strip()))
        if offered > self.head_revision:
            self.put(offered)
        return Success(self.head_revision)

    def put(self, revision: Revision) -> None:
        """Put a revision in force."""
        self.head_revision = revision
        assert self.spread is not None
        self.spread.announce(revision=revision, digest=DIGEST)

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return this revision, padded to the size of a real one."""
        if have >= self.head_revision:
            return None
        return HeadContent(head=str(self.head_revision).ljust(DELTA_BYTES), chunks={})

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Ignore readiness."""


def measure_spread(hosts: int) -> SpreadFigures:
    """Measure changes that begin at one of a number of hosts."""
    return asyncio.run(_measure(hosts))


async def _measure(hosts: int) -> SpreadFigures:
    followers = [_Revisions() for _ in range(hosts)]
    meshes = [_mesh(index, follower) for index, follower in enumerate(followers)]
    addresses = [PeerAddress(address=await mesh.start(), host=mesh.host) for mesh in meshes]
    for mesh, follower in zip(meshes, followers, strict=True):
        follower.spread = HeadReplicator(network=mesh, follower=follower, clock=Clock())
        follower.spread.start()
        mesh.set_peers(addresses)
    while any(len(mesh.live.value) < hosts - 1 for mesh in meshes):
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    before = _sent(meshes)
    cpu, times = time.process_time(), []
    for change in range(CHANGES):
        times.append(await _change(followers, Revision(2 + change)))
        await asyncio.sleep(SETTLE_S)
    cpu = time.process_time() - cpu
    after = _sent(meshes)
    for mesh, follower in zip(meshes, followers, strict=True):
        assert follower.spread is not None
        await follower.spread.stop()
        await mesh.stop()
    share = CHANGES * hosts
    return SpreadFigures(
        spread_ms=sum(times) * MS_PER_SECOND / CHANGES,
        host_cpu_ms=cpu * MS_PER_SECOND / share,
        host_messages=(after[0] - before[0]) / share,
        host_bytes=(after[1] - before[1]) / share,
    )


async def _change(followers: list[_Revisions], revision: Revision) -> float:
    started = time.perf_counter()
    followers[revision % len(followers)].put(revision)
    while any(follower.head_revision < revision for follower in followers):
        await asyncio.sleep(0.001)
    return time.perf_counter() - started


def _mesh(index: int, follower: _Revisions) -> Mesh:
    return Mesh(
        host=HostId(f"host-{index:03}"),
        failure_domain=FailureDomainId("zone-a"),
        incarnation=1,
        listen="127.0.0.1:0",
        clock=Clock(),
        rng=Random(index),
        heartbeat_source=lambda: Heartbeat(revision=follower.head_revision),
    )


def _sent(meshes: list[Mesh]) -> tuple[int, int]:
    return (
        sum(mesh.counters.sent_messages for mesh in meshes),
        sum(mesh.counters.sent_bytes for mesh in meshes),
    )
