"""Conditions of a placement's wait that change while it waits."""

from __future__ import annotations

import asyncio

import pytest

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import UpstreamId
from tanagerscale.membership._gate import _LEAVING_TTL_MS
from tanagerscale.routing import Placement
from testing._routing_fakes import Cluster
from testing._routing_fakes import make_engines

pytestmark = pytest.mark.looptime


async def _wait_with_rejected_engine(
    cluster: Cluster,
) -> tuple[str, UpstreamId, asyncio.Task[Placement]]:
    """Let a waiting request reject an engine that is closed at its host for under a second."""
    entry, owner = cluster.entry_and_owner()
    first = await cluster.place(owner, "g1")
    await cluster.place(owner, "g2")
    waiting = asyncio.create_task(cluster.place(entry, "g3"))
    await asyncio.sleep(0.5)
    cluster.host(entry).gate.record_failure(upstream=first.engine)
    cluster.release(owner, "g1")
    await asyncio.sleep(3)
    assert cluster.host(entry).gate.is_open(first.engine)
    return entry, first.engine, waiting


async def test_waiting_request_gets_an_engine_that_was_closed_at_its_host_for_a_moment() -> None:
    # Guards against waiting for a full engine while the engine rejected before is open and idle.
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=2, max_batch=1))
    _, engine, waiting = await _wait_with_rejected_engine(cluster)
    await asyncio.wait({waiting}, timeout=60)
    assert waiting.done()
    assert cluster.placements()["g3"] == engine


async def test_later_request_does_not_pass_one_that_rejected_the_engine() -> None:
    # Guards against an order in which a new request gets the engine before one that waits longer.
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=2, max_batch=1))
    entry, _, waiting = await _wait_with_rejected_engine(cluster)
    later = asyncio.create_task(cluster.place(entry, "g4"))
    await asyncio.sleep(5)
    placed = (waiting.done(), later.done())
    waiting.cancel()
    later.cancel()
    assert placed == (True, False)


async def test_waiting_request_is_not_refused_while_the_engine_that_it_rejected_is_open() -> None:
    # Guards against a refusal while an open engine is idle.
    cluster = Cluster(hosts=["a", "b"], engines=make_engines(number=2, max_batch=1))
    _, engine, waiting = await _wait_with_rejected_engine(cluster)
    other = cluster.placements()["g2"]
    for name in cluster.names:
        cluster.host(name).gate.record_leaving(upstream=other)
    await asyncio.sleep(5)
    await waiting
    assert cluster.placements()["g3"] == engine


@pytest.mark.parametrize("is_repeated", [False, True])
async def test_waiting_request_gets_a_leaving_engine_again_when_its_notice_has_expired(
    is_repeated: bool,
) -> None:
    # Guards against an engine that the gate opens without publishing the change.
    cluster = Cluster(hosts=["a"], engines=make_engines(number=2, max_batch=1))
    gate = cluster.host("a").gate
    await cluster.place("a", "g1")
    await cluster.place("a", "g2")
    engine = cluster.placements()["g1"]
    gate.record_leaving(upstream=engine)
    if is_repeated:
        await asyncio.sleep(0.5)
        gate.record_leaving(upstream=engine)
    cluster.release("a", "g1")
    await asyncio.sleep(_LEAVING_TTL_MS / MS_PER_SECOND + 5)
    assert gate.is_open(engine)
    waiting = asyncio.create_task(cluster.place("a", "g3"))
    await asyncio.wait({waiting}, timeout=60)
    assert waiting.done()
