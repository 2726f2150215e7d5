"""Crashes that a host learns of after the engine has been restarted."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import final

from returns.result import Result

from tanagerscale.core import AttemptId
from tanagerscale.core import Clock
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.delivery import BufferedSink
from tanagerscale.dispatch import Finish
from tanagerscale.dispatch import Generation
from tanagerscale.quarantine._rules import ANNOUNCEMENT_DELAY_MS
from testing._routing_fakes import MODEL
from testing._simulation import MAX_ANSWER_TOKENS
from testing._simulation import STEP_MS
from testing._simulation import SimulatedHost
from testing._simulation import Simulation
from testing._simulation import answer_length
from testing._simulation import generation_request
from testing._virtual_time import run_virtually

EPOCH_MS = 1_700_000_000_000
AT_ONCE_S = 0.001
COPIED = "copied"


def _start(
    host: SimulatedHost, fingerprint: str, generation: str
) -> asyncio.Task[Result[Finish, Problem]]:
    request = generation_request(fingerprint, generation)
    run = Generation(request=request, sink=BufferedSink(), context=host.context).run()
    return asyncio.create_task(run)


def _long_prompt(name: str) -> str:
    return next(
        prompt
        for number in range(10_000)
        if answer_length(prompt := f"{name}.{number}") == MAX_ANSWER_TOKENS
    )


def _simulation(**options: int) -> Simulation:
    clock = Clock(virtual_epoch_ms=EPOCH_MS)
    return Simulation(reserve=1000, clock=clock, **options)


def test_copy_on_a_restarted_engine_is_stopped_when_its_earlier_crash_convicts_the_request() -> (
    None
):
    # Guards against a copy that runs on because an earlier crash of its engine removed its stop.
    async def run() -> None:
        simulation = _simulation(hosts=1, engines=2, max_batch=2)
        (host,) = simulation.hosts
        await asyncio.sleep(1)
        first_call = _start(host, COPIED, _long_prompt(COPIED))
        first = await _running(simulation)
        await asyncio.sleep(20 * STEP_MS / 1000)
        simulation.engines[first].crash()
        last = await _running(simulation)
        await asyncio.sleep(20 * STEP_MS / 1000)
        simulation.engines[last].crash(keep_connections=True)
        simulation.engines[last].restart()
        copy = _start(host, COPIED, _long_prompt("second"))
        await asyncio.sleep(0.2)
        assert simulation.engines[last].attempts == 1
        simulation.engines[last].break_connections()
        known_at = simulation.clock.now()
        await asyncio.sleep((ANNOUNCEMENT_DELAY_MS + 1) / 1000)
        assert host.context.crash_watch.check(fingerprint=COPIED) is not None
        attempts = simulation.engines[last].attempts
        result = await copy
        ended_after_ms = simulation.clock.now() - known_at
        await first_call
        assert not attempts, f"the convicted copy ran for {ended_after_ms} ms more: {result}"

    run_virtually(run())


@final
class _BlockedSink:
    """Sink of a caller that stops reading after the first tokens."""

    def __init__(self) -> None:
        self.reading = asyncio.Event()

    @property
    def cancel_after_ms(self) -> int | None:
        """Cancel at once."""
        return 0

    async def begin(self, *, attempt: AttemptId, engine: UpstreamId) -> None:
        """Do nothing."""

    async def deliver(self, *, texts: Sequence[str], offset: int, checksum: int) -> None:
        """Wait until the caller reads again."""
        await self.reading.wait()

    def discard(self) -> bool:
        """Return that nothing has reached the caller."""
        return True


def test_request_on_a_restarted_engine_is_no_suspect_when_a_slow_caller_sees_the_crash_late() -> (
    None
):
    # Guards against requests that are suspected of a crash before they ran.
    async def run() -> None:
        simulation = _simulation(hosts=1, engines=1, max_batch=4)
        (host,) = simulation.hosts
        (engine,) = simulation.engines.values()
        await asyncio.sleep(1)
        sink = _BlockedSink()
        request = generation_request("slow", _long_prompt("slow"))
        slow = asyncio.create_task(
            Generation(request=request, sink=sink, context=host.context).run()
        )
        await asyncio.sleep(1)
        engine.crash()
        await asyncio.sleep(3)
        engine.restart()
        await asyncio.sleep(8)
        other = _start(host, "other", _long_prompt("other"))
        await asyncio.sleep(0.5)
        assert engine.attempts == 1
        sink.reading.set()
        await asyncio.sleep(0.2)
        excluded = host.context.crash_watch.excluded_engines(fingerprint="other", model=MODEL)
        await asyncio.gather(slow, other)
        assert not excluded, f"excluded from {sorted(excluded)} after running there"

    run_virtually(run())


async def _running(simulation: Simulation) -> UpstreamId:
    while True:
        for name, engine in simulation.engines.items():
            if engine.attempts:
                return name
        await asyncio.sleep(0.001)
