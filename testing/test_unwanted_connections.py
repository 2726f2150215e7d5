"""Connections between hosts that one of them no longer wants."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerAddress
from tanagerscale.membership import _mesh

GRACE_MS = 1000


def _make_mesh(name: str, **options: object) -> Mesh:
    return Mesh(
        host=HostId(name),
        failure_domain=FailureDomainId("z1"),
        incarnation=1,
        listen="127.0.0.1:0",
        clock=Clock(),
        rng=Random(name),
        heartbeat_interval_ms=lambda _: 20,
        **options,  # type: ignore[arg-type]
    )


# Guards against a connection that is closed at once as its host stops being a coordinator, since
# it had been unwanted for a moment before the host became one.
@pytest.mark.asyncio
async def test_connection_is_kept_for_its_grace_period_when_it_is_unwanted_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_mesh, "_UNWANTED_GRACE_MS", GRACE_MS)
    monkeypatch.setattr(_mesh, "HEARTBEAT_INTERVAL_MS", 20)
    clock = Clock()
    is_coordinator = False
    one = _make_mesh("a", closes_unwanted=lambda: not is_coordinator)
    other = _make_mesh("b")
    await one.start()
    address = await other.start()
    peer = PeerAddress(address=address, host=HostId("b"))
    try:
        one.set_peers([peer])
        while not one.live.value:
            await asyncio.sleep(0.01)
        one.set_peers([])  # Unwanted for a moment, at a member.
        await asyncio.sleep(0.3)
        is_coordinator = True
        one.set_peers([peer])  # Wanted again.
        await asyncio.sleep(2 * GRACE_MS / MS_PER_SECOND)
        assert one.live.value
        is_coordinator = False
        one.set_peers([])
        again_at = clock.now()
        while not one._unwanted_since and one.live.value:
            await asyncio.sleep(0.01)
        assert one._unwanted_since[HostId("b")] >= again_at
    finally:
        await one.stop()
        await other.stop()
