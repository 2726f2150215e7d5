"""Loops that serve all peers or engines go on after an unexpected error of one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from types import SimpleNamespace

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.core import UpstreamId
from tanagerscale.core import unexpected_errors
from tanagerscale.generated.messages import HeadContent
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.upstream import HostList
from tanagerscale.generated.upstream import ListedEntry
from tanagerscale.generated.upstream import ListedKind
from tanagerscale.generated.upstream import ListedState
from tanagerscale.membership import HeadReplicator
from tanagerscale.membership import HostListFollower
from tanagerscale.membership import Link
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerAddress
from tanagerscale.membership import decode_frame
from tanagerscale.membership import encode_frame
from tanagerscale.upstreams import EngineReport
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import FakeEngines
from testing._memory_links import MemoryNetwork
from testing._memory_links import MemoryTransport
from testing._move_harness import MoveHarness
from testing._routing_fakes import Cluster
from testing._virtual_time import run_virtually

SETTLE_S = 5


class Failing:
    """Raises an error for some calls."""

    def __init__(self) -> None:
        self.is_failing = False
        self.calls = 0

    def check(self) -> None:
        self.calls += 1
        if self.is_failing:
            raise ArithmeticError("This was not expected.")


def _make_mesh(
    network: MemoryNetwork, name: str, *, heartbeat: Callable[[], Heartbeat] | None = None
) -> Mesh:
    return Mesh(
        host=HostId(name),
        failure_domain=FailureDomainId("d"),
        incarnation=1,
        listen=name,
        clock=Clock(),
        rng=Random(name),
        heartbeat_source=heartbeat or (lambda: Heartbeat(revision=0)),
        transport=MemoryTransport(network=network, address=name),
    )


def _peers(mesh: Mesh) -> list[HostId]:
    return [peer.host for peer in mesh.live.value]


def test_heartbeats_go_on_when_one_could_not_be_built() -> None:
    async def run() -> None:
        network, failing = MemoryNetwork(), Failing()

        def build() -> Heartbeat:
            failing.check()
            return Heartbeat(revision=0)

        one, other = _make_mesh(network, "a", heartbeat=build), _make_mesh(network, "b")
        await one.start()
        await other.start()
        one.set_peers([PeerAddress(address="b")])
        await asyncio.sleep(SETTLE_S)
        failing.is_failing = True
        await asyncio.sleep(1.5)
        failing.is_failing = False
        # Peers disconnect a host from which they hear nothing for some intervals.
        live: list[object] = []
        other.live.subscribe(live.append)
        await asyncio.sleep(10 * SETTLE_S)
        assert () not in live
        assert _peers(other) == ["a"]

    run_virtually(run())


def test_host_dials_again_when_an_attempt_failed_unexpectedly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        network, failing = MemoryNetwork(), Failing()
        failing.is_failing = True
        connect = MemoryTransport.connect

        async def fail(transport: MemoryTransport, *, address: str) -> Link:
            failing.check()
            return await connect(transport, address=address)

        monkeypatch.setattr(MemoryTransport, "connect", fail)
        one, other = _make_mesh(network, "a"), _make_mesh(network, "b")
        await one.start()
        await other.start()
        one.set_peers([PeerAddress(address="b")])
        await asyncio.sleep(SETTLE_S)
        assert _peers(one) == []
        failing.is_failing = False
        await asyncio.sleep(2 * SETTLE_S)
        assert _peers(one) == ["b"]

    run_virtually(run())


@pytest.mark.parametrize("next_ms", [0, -1, 10**7, 2**63, 10**400])
def test_heartbeat_whose_interval_is_out_of_range_is_malformed(next_ms: int) -> None:
    frame = encode_frame(Heartbeat(revision=0, next_ms=next_ms))
    assert isinstance(decode_frame(frame), Failure)


class FailingFollower:
    """Fails to take the revisions on which all peers agree."""

    def __init__(self) -> None:
        self.failing = Failing()

    @property
    def head_revision(self) -> Revision:
        return Revision(1)

    async def offer_from_peer(self, **_: object) -> Result[Revision, str]:
        return Failure("Not used.")

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        return None

    def peers_agree(self, **_: object) -> None:
        self.failing.check()


def test_checks_of_revisions_go_on_when_one_failed() -> None:
    async def run() -> None:
        network, follower = MemoryNetwork(), FailingFollower()
        mesh = _make_mesh(network, "a")
        await mesh.start()
        replicator = HeadReplicator(network=mesh, follower=follower, clock=Clock())
        replicator.record_hosts_known()
        before = unexpected_errors["head-replication"]
        follower.failing.is_failing = True
        replicator.start()
        await asyncio.sleep(SETTLE_S)
        assert follower.failing.calls > 1
        assert unexpected_errors["head-replication"] == before + follower.failing.calls

    run_virtually(run())


def test_other_engines_are_polled_when_the_report_of_one_fails_unexpectedly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        harness = MoveHarness("x", "y")
        harness.disconnect_store()
        harness.add("1", at="x")
        harness.add("2", at="y")
        report = FakeEngines.report
        harness.fakes.engines.leaves_in_ms = 1800
        harness.fakes.engines.not_leaving.add("x")

        async def fail(
            engines: FakeEngines, *, upstream: UpstreamEntry
        ) -> Result[EngineReport, str]:
            if upstream.upstream == "x":
                raise RecursionError
            return await report(engines, upstream=upstream)

        monkeypatch.setattr(FakeEngines, "report", fail)
        task = asyncio.create_task(harness.coordinator.poll_engines())
        await asyncio.sleep(1.5)
        assert harness.fakes.upstreams.leaving == {UpstreamId("y")}
        assert not task.done()
        task.cancel()

    run_virtually(run())


def test_ticks_and_reports_of_the_router_go_on_when_one_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        failing = Failing()
        cluster = Cluster(hosts=("h1", "h2"), engines=())
        router = cluster.host("h1").router
        monkeypatch.setattr(router, "_owned", SimpleNamespace(tick=failing.check))
        failing.is_failing = True
        await asyncio.sleep(SETTLE_S)
        failing.is_failing = False
        calls = failing.calls
        await asyncio.sleep(SETTLE_S)
        assert failing.calls > calls > 0

    run_virtually(run())


def test_host_list_is_polled_again_when_a_subscriber_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def run() -> None:
        failing = Failing()
        failing.is_failing = True
        reads = 0

        async def read(_follower: object, _session: object) -> Result[HostList, str]:
            nonlocal reads
            reads += 1
            entry = ListedEntry(
                kind=ListedKind.HOST, id="a", address=f"127.0.0.1:{reads}", state=ListedState.LIVE
            )
            return Success(HostList(entries=[entry]))

        monkeypatch.setattr(HostListFollower, "_read", read)
        follower = HostListFollower(url="http://unused", interval_ms=1000, clock=Clock())
        follower.entries.subscribe(lambda entries: failing.check() if entries else None)
        follower.start()
        await asyncio.sleep(SETTLE_S)
        assert failing.calls > 1
        await follower.stop()

    run_virtually(run())
