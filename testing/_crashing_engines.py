"""Simulated hosts and engines, and requests that crash the engine that runs them."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import deque
from enum import Enum
from enum import unique
import random
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import Verdict
from tanagerscale.quarantine import Fingerprint
from tanagerscale.quarantine import Quarantine
from tanagerscale.quarantine import RunEnd
from tanagerscale.quarantine import StopRequest
from testing._fake_store import FakeBackend
from testing._fake_store import FakeStore

MESSAGE_DELAY_MS = 2
RESTART_S = 5
VERDICT_TTL_MS = 600_000
EPOCH_MS = 1_700_000_000_000


@unique
class RunOutcome(Enum):
    """How a run on an engine ended."""

    DONE = "done"
    CRASHED = "crashed"
    STOPPED = "stopped"


@final
class CrashingEngine:
    """Engine that crashes, with all its runs, when a crashing request has run long enough."""

    def __init__(self, *, name: str, cluster: QuarantineCluster) -> None:
        self.name = UpstreamId(name)
        self.up = True
        self.runs: dict[asyncio.Future[RunOutcome], tuple[Fingerprint, str]] = {}
        self._cluster = cluster

    async def run(self, *, host: str, fingerprint: Fingerprint, duration_s: float) -> RunOutcome:
        """Run a request until it completes, is cancelled or crashes with the engine."""
        loop = asyncio.get_running_loop()
        end: asyncio.Future[RunOutcome] = loop.create_future()
        self.runs[end] = (fingerprint, host)
        crashes_engine = fingerprint in self._cluster.crashing_requests
        timer = loop.call_later(
            self._cluster.crash_delay_s if crashes_engine else duration_s,
            lambda: self._crash(fingerprint) if crashes_engine else end.set_result(RunOutcome.DONE),
        )
        try:
            return await end
        finally:
            timer.cancel()
            self.runs.pop(end, None)

    def stop(self, *, host: str, fingerprint: Fingerprint) -> None:
        """Cancel the runs of a request for a host."""
        for end, run in list(self.runs.items()):
            if run == (fingerprint, host) and not end.done():
                end.set_result(RunOutcome.STOPPED)

    def _crash(self, crashing_request: Fingerprint) -> None:
        self._cluster.lost_engines[crashing_request] += 1
        self.up = False
        asyncio.get_running_loop().call_later(RESTART_S, self._restart)
        for end in [end for end in self.runs if not end.done()]:
            end.set_result(RunOutcome.CRASHED)
        self._cluster.report_crash(self.name)

    def _restart(self) -> None:
        self.up = True


@final
class RequestingHost:
    """Host that sends requests in the same way as dispatch."""

    def __init__(self, *, name: str, cluster: QuarantineCluster, wall_offset_ms: int) -> None:
        self.name = HostId(name)
        self.store = FakeStore(backend=cluster.backend)
        self.clock = Clock(wall_offset_ms=wall_offset_ms, virtual_epoch_ms=EPOCH_MS)
        self.quarantine = Quarantine(
            store=self.store,
            prefix="/t",
            host=self.name,
            clock=self.clock,
            rng=random.Random(name),
            verdict_ttl_ms=VERDICT_TTL_MS,
        )
        self.crash_detected = asyncio.Condition()
        self.detected_crashes: Counter[str] = Counter()
        self._cluster = cluster
        self._outbox: deque[Verdict] = deque()
        self.quarantine.verdicts.subscribe(self._broadcast)
        self.quarantine.stops.subscribe(self._stop)

    async def call(
        self, name: str, *, duration_s: float = 1.0, preferred_engine: str | None = None
    ) -> Problem | None:
        """Run a request, with retries, and return ``None`` when it completes, or a problem.

        :param name: Fingerprint of the request.
        :param duration_s: Duration of a run that does not crash the engine, in seconds.
        :param preferred_engine: Engine for the first attempt, if it is available.
        """
        fingerprint = Fingerprint(name)
        quarantine = self.quarantine
        while True:
            problem = quarantine.check(fingerprint=fingerprint)
            if problem is not None:
                return problem
            engine = self._choose(fingerprint, preferred_engine=preferred_engine)
            preferred_engine = None
            if engine is None:
                await asyncio.sleep(0.02)
                continue
            if not await quarantine.admit(fingerprint=fingerprint, engine=engine.name):
                await asyncio.sleep(self._cluster.rng.random() * 0.02)
                continue
            if not engine.up:
                quarantine.on_finished(
                    fingerprint=fingerprint, engine=engine.name, end=RunEnd.CANCELLED
                )
                continue
            detected_before = self.detected_crashes[engine.name]
            outcome = await engine.run(
                host=self.name, fingerprint=fingerprint, duration_s=duration_s
            )
            if outcome is RunOutcome.CRASHED:
                await self._await_crash_report(engine.name, detected_before)
                continue
            end = RunEnd.COMPLETE if outcome is RunOutcome.DONE else RunEnd.CANCELLED
            quarantine.on_finished(fingerprint=fingerprint, engine=engine.name, end=end)
            if outcome is RunOutcome.DONE:
                return None

    async def detect_crash(self, engine: UpstreamId) -> None:
        """Report a crash to the quarantine after a random delay."""
        await asyncio.sleep(self._cluster.rng.random() * self._cluster.max_detection_delay_s)
        self.quarantine.on_engine_crash(engine=engine)
        self.detected_crashes[engine] += 1
        async with self.crash_detected:
            self.crash_detected.notify_all()

    async def _await_crash_report(self, engine: UpstreamId, detected_before: int) -> None:
        async with self.crash_detected:
            await self.crash_detected.wait_for(
                lambda: self.detected_crashes[engine] > detected_before
            )

    def _choose(
        self, fingerprint: Fingerprint, *, preferred_engine: str | None
    ) -> CrashingEngine | None:
        engines = self._cluster.engines
        excluded = self.quarantine.excluded_engines(fingerprint=fingerprint, engines=engines)
        free = [engine for name, engine in engines.items() if name not in excluded and engine.up]
        preferred = [engine for engine in free if engine.name == preferred_engine]
        return self._cluster.rng.choice(preferred or free) if free else None

    def _broadcast(self, verdict: Verdict) -> None:
        # Timers with equal times fire in any order, but a connection preserves the order.
        self._outbox.append(verdict)
        asyncio.get_running_loop().call_later(MESSAGE_DELAY_MS / 1000, self._deliver_next)

    def _deliver_next(self) -> None:
        verdict = self._outbox.popleft()
        for peer in self._cluster.hosts:
            if peer is not self:
                peer.quarantine.on_peer_verdict(verdict=verdict, peer=self.name)

    def _stop(self, request: StopRequest) -> None:
        engine = self._cluster.engines[request.engine]
        engine.stop(host=self.name, fingerprint=request.fingerprint)


@final
class QuarantineCluster:
    """Hosts, engines and the set of requests that crash engines.

    :param hosts: Number of hosts.
    :param engines: Number of engines.
    :param seed: Seed of the random number generator for all choices.
    """

    def __init__(self, *, hosts: int, engines: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.backend = FakeBackend()
        self.crashing_requests: set[Fingerprint] = set()
        self.crash_delay_s = 0.3
        self.max_detection_delay_s = 0.005
        self.lost_engines: Counter[Fingerprint] = Counter()
        names = [UpstreamId(f"e{number}") for number in range(engines)]
        self.engines = {name: CrashingEngine(name=name, cluster=self) for name in names}
        self.hosts = [
            RequestingHost(name=f"h{number}", cluster=self, wall_offset_ms=number * 100)
            for number in range(hosts)
        ]
        self._tasks: set[asyncio.Task[None]] = set()

    def report_crash(self, engine: UpstreamId) -> None:
        """Let each host detect the crash of an engine."""
        for host in self.hosts:
            task = asyncio.get_running_loop().create_task(host.detect_crash(engine))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
