"""Hosts that send requests to engines, some of which crash the engine that runs them."""

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

MESSAGE_MS = 2
RESTART_S = 5
VERDICT_TTL_MS = 600_000
EPOCH_MS = 1_700_000_000_000


@unique
class Ended(Enum):
    """How a run ended."""

    DONE = "done"
    CRASHED = "crashed"
    STOPPED = "stopped"


@final
class CrashingEngine:
    """An engine that dies with all it runs when a poisonous request has run long enough."""

    def __init__(self, *, name: str, cluster: Cluster) -> None:
        self.name = UpstreamId(name)
        self.up = True
        self.runs: dict[asyncio.Future[Ended], tuple[Fingerprint, str]] = {}
        self._cluster = cluster

    async def run(self, *, host: str, fingerprint: Fingerprint, duration_s: float) -> Ended:
        """Run a request to its end."""
        loop = asyncio.get_running_loop()
        end: asyncio.Future[Ended] = loop.create_future()
        self.runs[end] = (fingerprint, host)
        poisonous = fingerprint in self._cluster.poison
        timer = loop.call_later(
            self._cluster.poison_s if poisonous else duration_s,
            lambda: self._crash(fingerprint) if poisonous else end.set_result(Ended.DONE),
        )
        try:
            return await end
        finally:
            timer.cancel()
            self.runs.pop(end, None)

    def stop(self, *, host: str, fingerprint: Fingerprint) -> None:
        """Cancel a host's run."""
        for end, place in list(self.runs.items()):
            if place == (fingerprint, host) and not end.done():
                end.set_result(Ended.STOPPED)

    def _crash(self, culprit: Fingerprint) -> None:
        self._cluster.losses[culprit] += 1
        self.up = False
        asyncio.get_running_loop().call_later(RESTART_S, self._restart)
        for end in [end for end in self.runs if not end.done()]:
            end.set_result(Ended.CRASHED)
        self._cluster.report_crash(self.name)

    def _restart(self) -> None:
        self.up = True


@final
class SendingHost:
    """Sends requests as dispatch does."""

    def __init__(self, *, name: str, cluster: Cluster, wall_offset_ms: int) -> None:
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
        self.crash_seen = asyncio.Condition()
        self.crashes_seen: Counter[str] = Counter()
        self._cluster = cluster
        self._outbox: deque[Verdict] = deque()
        self.quarantine.verdicts.subscribe(self._spread)
        self.quarantine.stops.subscribe(self._stop)

    async def call(
        self, name: str, *, duration_s: float = 1.0, first: str | None = None
    ) -> Problem | None:
        """Run a request until it has its whole answer, or a problem."""
        fingerprint = Fingerprint(name)
        quarantine = self.quarantine
        while True:
            problem = quarantine.check(fingerprint=fingerprint)
            if problem is not None:
                return problem
            engine = self._choose(fingerprint, first=first)
            first = None
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
            seen = self.crashes_seen[engine.name]
            ended = await engine.run(host=self.name, fingerprint=fingerprint, duration_s=duration_s)
            if ended is Ended.CRASHED:
                await self._await_crash_report(engine.name, seen)
                continue
            end = RunEnd.COMPLETE if ended is Ended.DONE else RunEnd.CANCELLED
            quarantine.on_finished(fingerprint=fingerprint, engine=engine.name, end=end)
            if ended is Ended.DONE:
                return None

    async def see_crash(self, engine: UpstreamId) -> None:
        """Notice a crash, each host at its own time."""
        await asyncio.sleep(self._cluster.rng.random() * self._cluster.notice_s)
        self.quarantine.on_engine_crash(engine=engine)
        self.crashes_seen[engine] += 1
        async with self.crash_seen:
            self.crash_seen.notify_all()

    async def _await_crash_report(self, engine: UpstreamId, seen: int) -> None:
        async with self.crash_seen:
            await self.crash_seen.wait_for(lambda: self.crashes_seen[engine] > seen)

    def _choose(self, fingerprint: Fingerprint, *, first: str | None) -> CrashingEngine | None:
        engines = self._cluster.engines
        excluded = self.quarantine.excluded_engines(fingerprint=fingerprint, engines=engines)
        free = [engine for name, engine in engines.items() if name not in excluded and engine.up]
        wished = [engine for engine in free if engine.name == first]
        return self._cluster.rng.choice(wished or free) if free else None

    def _spread(self, verdict: Verdict) -> None:
        # Equal times are delivered in any order, while a connection keeps the order.
        self._outbox.append(verdict)
        asyncio.get_running_loop().call_later(MESSAGE_MS / 1000, self._deliver_next)

    def _deliver_next(self) -> None:
        verdict = self._outbox.popleft()
        for peer in self._cluster.hosts:
            if peer is not self:
                peer.quarantine.on_peer_verdict(verdict=verdict, peer=self.name)

    def _stop(self, request: StopRequest) -> None:
        engine = self._cluster.engines[request.engine]
        engine.stop(host=self.name, fingerprint=request.fingerprint)


@final
class Cluster:
    """All hosts and engines, and which requests are poisonous.

    :param hosts: How many hosts.
    :param engines: How many engines.
    :param seed: Seeds all choices.
    """

    def __init__(self, *, hosts: int, engines: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.backend = FakeBackend()
        self.poison: set[Fingerprint] = set()
        self.poison_s = 0.3
        self.notice_s = 0.005
        self.losses: Counter[Fingerprint] = Counter()
        names = [UpstreamId(f"e{number}") for number in range(engines)]
        self.engines = {name: CrashingEngine(name=name, cluster=self) for name in names}
        self.hosts = [
            SendingHost(name=f"h{number}", cluster=self, wall_offset_ms=number * 100)
            for number in range(hosts)
        ]
        self._tasks: set[asyncio.Task[None]] = set()

    def report_crash(self, engine: UpstreamId) -> None:
        """Let each host notice."""
        for host in self.hosts:
            task = asyncio.get_running_loop().create_task(host.see_crash(engine))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
