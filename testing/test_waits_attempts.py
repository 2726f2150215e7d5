"""Attempts and placements of a generation that waits or is given up while it may be served."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.dispatch import Finish
from tanagerscale.dispatch._exclusions import NOT_ADMITTED_MS
from tanagerscale.dispatch._reachability import PROBE_INTERVAL_MS
from tanagerscale.generated.messages import Verdict
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.quarantine import Fingerprint
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind
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


@pytest.mark.parametrize("loading", [1, 3])
async def test_waiting_request_gets_an_engine_that_has_loaded_while_another_stays_full(
    loading: int,
) -> None:
    # Guards against engines that are excluded without an end after many refusals.
    host = Host(engines=loading + 1)
    await host.fill_engines()
    names = [host.cluster.placements()[f"filler-{number}"] for number in range(1, loading + 1)]
    for number, name in enumerate(names, start=1):
        host.engines[name].faults.refuse = RefusalKind.NOT_LOADED
        host.cluster.release(HOST, f"filler-{number}")
    running = host.start("g")
    await asyncio.sleep(30 if loading == 3 else 150)
    for name in names:
        host.engines[name].faults.refuse = None
    await asyncio.wait({running}, timeout=1800)
    assert running.done()
    assert running.result() == SERVED


async def test_suspect_is_served_when_its_only_engine_refuses_for_some_seconds() -> None:
    # Guards against using up the attempts as the end of each wait clears the exclusions.
    host = Host()
    first, second = host.engines
    _add_suspicion(host, first)
    host.engines[second].faults.refuse = RefusalKind.NOT_LOADED
    running = host.start("g")
    await asyncio.wait({running}, timeout=8)
    host.engines[second].faults.refuse = None
    await asyncio.wait({running}, timeout=60)
    assert running.result() == SERVED


async def test_admission_is_requested_at_intervals_when_other_requests_change_the_quarantine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a loop of placements and refused admissions that other requests drive.
    host = Host()
    first, _ = host.engines
    _add_suspicion(host, first)
    calls = 0

    async def refuse(*, fingerprint: Fingerprint, engine: UpstreamId, progress: object) -> bool:
        nonlocal calls
        calls += 1
        return False

    monkeypatch.setattr(host.quarantine, "admit", refuse)
    running = host.start("g")
    for _ in range(1000):
        await asyncio.sleep(0.01)
        _convict_other_request(host)
    running.cancel()
    assert calls <= 10_000 // NOT_ADMITTED_MS + 1


async def test_request_is_not_refused_when_an_engine_opens_while_another_is_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a refusal by the state of the gate from before engines were asked.
    host = Host()
    first, second = host.engines
    assert await host.quarantine.admit(fingerprint=Fingerprint("f"), engine=first)
    # The gate is closed for a fraction of a second.
    host.gate.record_failure(upstream=first)

    async def time_out() -> Result[LoadReport, UpstreamError]:
        await asyncio.sleep(2)
        return Failure(UpstreamError(kind=UpstreamErrorKind.UNRESPONSIVE, detail="No answer."))

    monkeypatch.setattr(host.engines[second], "load", time_out)
    running = host.start("g")
    await asyncio.sleep(1.5)
    assert host.gate.is_open(first)
    await asyncio.wait({running}, timeout=10)
    assert running.result() == SERVED


async def test_few_engines_are_asked_for_their_load_when_one_is_alive(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against asking a whole pool to learn whether one engine is alive.
    host = Host(engines=20)
    running, *others = host.engines
    assert await host.quarantine.admit(fingerprint=Fingerprint("f"), engine=running)
    host.gate.record_leaving(upstream=running)
    calls = 0
    for name in others:
        load = host.engines[name].load

        async def count_load(
            load: Callable[[], Awaitable[Result[LoadReport, UpstreamError]]] = load,
        ) -> Result[LoadReport, UpstreamError]:
            nonlocal calls
            calls += 1
            return await load()

        monkeypatch.setattr(host.engines[name], "load", count_load)
    waiting = host.start("g")
    await asyncio.sleep(10)
    assert not waiting.done()
    waiting.cancel()
    assert calls <= len(others) + 10_000 // PROBE_INTERVAL_MS
