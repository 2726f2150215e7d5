"""Measure the propagation of a change in a full mesh of hosts over loopback WebSockets."""

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
CHANGE_COUNT = 10
CHANGE_INTERVAL_S = 0.2
MS_PER_SECOND = 1000
DELTA_BYTES = 1560
"""Size of a head with a delta of one section, from ``tools/bench_declarations.py``."""
DIGEST = "0" * 64


@dataclass(frozen=True, kw_only=True, slots=True)
class SpreadCosts:
    """Cost of propagating one change.

    :param spread_ms: Mean time until the last host has the change.
    :param host_cpu_ms: Processor time per host, including heartbeats sent in the meantime.
    :param host_messages: Number of messages sent per host.
    :param host_bytes: Size of the frames sent per host, in bytes.
    """

    spread_ms: float
    host_cpu_ms: float
    host_messages: float
    host_bytes: float


class _FollowerStub:
    """Follower stub that holds only a revision and sends a payload of typical size."""

    def __init__(self) -> None:
        self.head_revision = Revision(1)
        self.spread: HeadReplicator | None = None

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, str]:
        """Accept a higher revision and announce it to the peers."""
        offered = Revision(int(head.strip()))
        if offered > self.head_revision:
            self.set_revision(offered)
        return Success(self.head_revision)

    def set_revision(self, revision: Revision) -> None:
        """Put a revision in force and announce it."""
        self.head_revision = revision
        assert self.spread is not None
        self.spread.announce(revision=revision, digest=DIGEST)

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return the current revision, padded to the size of a real head."""
        if have >= self.head_revision:
            return None
        return HeadContent(head=str(self.head_revision).ljust(DELTA_BYTES), chunks={})

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Do nothing."""


def measure_spread(hosts: int) -> SpreadCosts:
    """Measure changes that originate at different hosts of a mesh."""
    return asyncio.run(_measure(hosts))


async def _measure(hosts: int) -> SpreadCosts:
    followers = [_FollowerStub() for _ in range(hosts)]
    meshes = [_make_mesh(index, follower) for index, follower in enumerate(followers)]
    addresses = [PeerAddress(address=await mesh.start(), host=mesh.host) for mesh in meshes]
    for mesh, follower in zip(meshes, followers, strict=True):
        follower.spread = HeadReplicator(network=mesh, follower=follower, clock=Clock())
        follower.spread.start()
        mesh.set_peers(addresses)
    while any(len(mesh.live.value) < hosts - 1 for mesh in meshes):
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    before = _sum_sent(meshes)
    cpu_s, times_s = time.process_time(), []
    for change in range(CHANGE_COUNT):
        times_s.append(await _measure_change(followers, Revision(2 + change)))
        await asyncio.sleep(CHANGE_INTERVAL_S)
    cpu_s = time.process_time() - cpu_s
    after = _sum_sent(meshes)
    for mesh, follower in zip(meshes, followers, strict=True):
        assert follower.spread is not None
        await follower.spread.stop()
        await mesh.stop()
    host_changes = CHANGE_COUNT * hosts
    return SpreadCosts(
        spread_ms=sum(times_s) * MS_PER_SECOND / CHANGE_COUNT,
        host_cpu_ms=cpu_s * MS_PER_SECOND / host_changes,
        host_messages=(after[0] - before[0]) / host_changes,
        host_bytes=(after[1] - before[1]) / host_changes,
    )


async def _measure_change(followers: list[_FollowerStub], revision: Revision) -> float:
    started = time.perf_counter()
    followers[revision % len(followers)].set_revision(revision)
    while any(follower.head_revision < revision for follower in followers):
        await asyncio.sleep(0.001)
    return time.perf_counter() - started


def _make_mesh(index: int, follower: _FollowerStub) -> Mesh:
    return Mesh(
        host=HostId(f"host-{index:03}"),
        failure_domain=FailureDomainId("zone-a"),
        incarnation=1,
        listen="127.0.0.1:0",
        clock=Clock(),
        rng=Random(index),
        heartbeat_source=lambda: Heartbeat(revision=follower.head_revision),
    )


def _sum_sent(meshes: list[Mesh]) -> tuple[int, int]:
    return (
        sum(mesh.counters.sent_messages for mesh in meshes),
        sum(mesh.counters.sent_bytes for mesh in meshes),
    )
