"""Attempts and placements of a generation that waits or is given up while it may be served."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.dispatch import Finish
from tanagerscale.generated.messages import Verdict
from tanagerscale.generated.upstream import FinishReason
from testing.test_waits_dispatch import HOST
from testing.test_waits_dispatch import Host

pytestmark = pytest.mark.looptime

SERVED = Success(Finish(FinishReason.STOP, 4))
PEER = HostId("b")
TTL_MS = 600_000


def _add_suspicion(host: Host, crashed: UpstreamId) -> None:
    wall_ms = Clock().wall()
    verdict = Verdict(
        fingerprint="f",
        crashes=[f"{crashed}@{wall_ms}@3"],
        expires_wall_ms=wall_ms + TTL_MS,
        convicted=False,
    )
    host.quarantine.on_peer_verdict(verdict=verdict, peer=PEER)


def _convict_other_request(host: Host) -> None:
    verdict = Verdict(
        fingerprint="other", crashes=[], convicted=True, expires_wall_ms=Clock().wall() + TTL_MS
    )
    host.quarantine.on_peer_verdict(verdict=verdict, peer=PEER)


async def test_cancelled_admission_leaves_no_placement() -> None:
    # Guards against a slot that stays taken because its caller left during the admission.
    host = Host()
    first, _ = host.engines
    _add_suspicion(host, first)
    running = host.start("g")
    await asyncio.sleep(0.02)
    assert host.cluster.scheduler(HOST).running
    running.cancel()
    await asyncio.wait({running})
    assert running.cancelled()
    await asyncio.sleep(0.1)
    assert not host.cluster.scheduler(HOST).running
