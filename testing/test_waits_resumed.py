"""Generations that another host has started: what the quarantine knows of them."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Result

from tanagerscale.core import AttemptId
from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import UpstreamId
from tanagerscale.dispatch import Finish
from tanagerscale.dispatch import Generation
from tanagerscale.dispatch import GenerationRequest
from tanagerscale.dispatch import ResumePoint
from tanagerscale.dispatch._requests import engine_request
from tanagerscale.generated.messages import Verdict
from testing._fake_engine import ListSink
from testing._fake_engine import Run
from testing._fake_engine import answer_tokens
from testing._routing_fakes import MODEL
from testing.test_waits_dispatch import HOST
from testing.test_waits_dispatch import Host

pytestmark = pytest.mark.looptime

ATTEMPT = AttemptId("att-1")
TTL_MS = 600_000


def _convict(host: Host) -> None:
    verdict = Verdict(
        fingerprint="f", crashes=[], expires_wall_ms=Clock().wall() + TTL_MS, convicted=True
    )
    host.quarantine.on_peer_verdict(verdict=verdict, peer=HostId("b"))


def _resume(host: Host, engine: UpstreamId) -> asyncio.Task[Result[Finish, Problem]]:
    """Resume a run of a request, whose fingerprint is that of ``Host.start``."""
    request = GenerationRequest(
        generation=GenerationId("resumed"),
        account=ClientAccountId("north"),
        model=ModelId(MODEL),
        version="1",
        adapter="",
        prompt="plan",
        prompt_tokens=1,
        max_tokens=4,
        seed=7,
        priority=1,
        request_class="",
        prefix="",
        prefix_tokens=0,
        whole=False,
        fingerprint="f",
    )
    sent = engine_request(request=request, attempt=ATTEMPT)
    host.engines[engine].runs[ATTEMPT] = Run(
        request=sent, tokens=answer_tokens(sent), started=Clock().now()
    )
    resume = ResumePoint(attempt=ATTEMPT, engine=engine, offset=0, checksum=0)
    generation = Generation(request=request, sink=ListSink(), context=host.context, resume=resume)
    return asyncio.create_task(generation.run())


@pytest.mark.parametrize("resumed", [False, True])
async def test_two_engines_at_most_are_lost_when_a_resumed_request_crashes_each(
    resumed: bool,
) -> None:
    # Guards against a crash that is not recorded because another host has started the run.
    host = Host(engines=5, max_batch=4, step_ms=50)
    for engine in host.engines.values():
        engine.faults.crash_at = 2
    running = _resume(host, next(iter(host.engines))) if resumed else host.start("g")
    await asyncio.wait({running}, timeout=120)
    crashed = [name for name, engine in host.engines.items() if engine.faults.crash_at is None]
    assert len(crashed) <= 2


@pytest.mark.parametrize("convicted_first", [False, True])
async def test_resumed_generation_is_stopped_when_it_is_convicted(convicted_first: bool) -> None:
    # Guards against a convicted request that runs on because another host has started it.
    host = Host(step_ms=5000)
    engine, _ = host.engines
    if convicted_first:
        _convict(host)
    running = _resume(host, engine)
    await asyncio.sleep(1)
    if not convicted_first:
        _convict(host)
    await asyncio.wait({running}, timeout=10)
    assert running.done()
    assert running.result().failure().kind is ProblemKind.QUARANTINED


async def test_copy_stays_registered_when_a_resumed_copy_on_its_engine_ends() -> None:
    # Guards against copies on two engines at once.
    host = Host(max_batch=4, step_ms=5000)
    copy = host.start("copy")
    await asyncio.sleep(0.1)
    engine = next(iter(host.cluster.scheduler(HOST).running.values()))
    before = host.context.crash_watch.excluded_engines(fingerprint="f", model=ModelId(MODEL))
    resumed = _resume(host, engine)
    await asyncio.sleep(0.1)
    resumed.cancel()
    await asyncio.wait({resumed})
    after = host.context.crash_watch.excluded_engines(fingerprint="f", model=ModelId(MODEL))
    copy.cancel()
    assert after == before
