"""Stateful test of the owners' reservations against actual placements under random faults."""

from __future__ import annotations

import asyncio
from typing import Any

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
import looptime
from returns.pipeline import is_successful

from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import ProblemKind
from tanagerscale.core import UpstreamId
from testing._random_cases import random_case_settings
from testing._routing_fakes import Cluster
from testing._routing_fakes import make_engines
from testing._routing_fakes import make_request

HOSTS = ("a", "b", "c")
ENGINES = ("engine-0", "engine-1")
SETTLE_S = 15
"""Longer than the lease of a reservation and than any repeat interval."""

PLACEMENT_TIMEOUT_S = 5
"""Longer than any repeat interval, so that a waiting request is placed if an engine has a slot."""

hosts = st.sampled_from(HOSTS)


class RoutingMachine(RuleBasedStateMachine):
    """Places and releases generations while messages and hosts fail.

    The model consists of ``placed`` and ``waiting``: the placements that callers at each host hold
    and wait for.
    """

    @initialize()
    def start(self) -> None:
        """Start three hosts and declare two engines with three slots each."""
        self.loop = looptime.new_event_loop()
        self.loop.run_until_complete(self._start())
        self.waiting: dict[str, tuple[str, asyncio.Task[Any]]] = {}
        self.placed: dict[str, tuple[str, UpstreamId]] = {}
        self.hosts_with_closed_engines: set[str] = set()
        """Hosts at which an engine has been closed, which may therefore refuse requests."""
        self.count = 0

    async def _start(self) -> None:
        self.cluster = Cluster(hosts=HOSTS, engines=make_engines(number=2, max_batch=3))

    @rule(host=hosts)
    def place(self, host: str) -> None:
        """Start to place a generation."""
        self.count += 1
        name = f"g{self.count}"
        self.waiting[name] = (host, self._start_placing(host, name))
        self._advance(0.01)

    @precondition(lambda self: self.waiting)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        """Cancel a waiting call."""
        name = data.draw(st.sampled_from(sorted(self.waiting)))
        _, task = self.waiting.pop(name)
        task.cancel()
        self._advance(0.001)

    @precondition(lambda self: self.placed)
    @rule(data=st.data(), lost=st.booleans())
    def release(self, data: st.DataObject, lost: bool) -> None:
        """End a generation."""
        name = data.draw(st.sampled_from(sorted(self.placed)))
        host, _ = self.placed.pop(name)
        self._run(self._release(host=host, name=name, lost=lost))
        self._advance(0.001)

    @precondition(lambda self: self.placed)
    @rule(data=st.data(), host=hosts)
    def resume_elsewhere(self, data: st.DataObject, host: str) -> None:
        """Resume a running generation at another host."""
        name = data.draw(st.sampled_from(sorted(self.placed)))
        previous, engine = self.placed[name]
        if previous == host:
            return
        self._run(self._release(host=previous, name=name, lost=False))
        self._run(self._adopt(host=host, name=name, engine=engine))
        self.placed[name] = (host, engine)

    async def _release(self, *, host: str, name: str, lost: bool) -> None:
        self.cluster.host(host).router.release(
            generation=GenerationId(name), tokens=5, complete=not lost, engine_lost=lost
        )

    async def _adopt(self, *, host: str, name: str, engine: UpstreamId) -> None:
        request = make_request(name)
        self.cluster.host(host).router.adopt(request=request, engine=engine, tokens=5)

    @rule(drop=st.sampled_from((0.0, 0.5, 1.0)), double=st.sampled_from((0.0, 0.5)))
    def change_loss(self, drop: float, double: float) -> None:
        """Set the probabilities that messages are lost or duplicated."""
        self.cluster.switch.drop_probability, self.cluster.switch.duplicate_probability = (
            drop,
            double,
        )

    @rule(jitter_ms=st.sampled_from((0, 50, 3000)))
    def change_jitter(self, jitter_ms: int) -> None:
        """Set the jitter, which reorders messages."""
        self.cluster.switch.jitter_ms = jitter_ms

    @rule(host=hosts)
    def freeze(self, host: str) -> None:
        """Delay all messages of a host, which stays live for its peers."""
        self.cluster.switch.frozen.add(HostId(host))

    @rule(host=hosts)
    def resume(self, host: str) -> None:
        """Resume a frozen host and deliver its delayed messages at once."""
        self._run(self._resume(host))

    async def _resume(self, host: str) -> None:
        self.cluster.switch.resume(host)

    @rule(host=hosts, engines=st.sets(st.sampled_from(ENGINES), min_size=1))
    def mark_engines_down(self, host: str, engines: set[str]) -> None:
        """Close engines as unreachable at one host only."""
        self.hosts_with_closed_engines.add(host)
        self._run(self._mark_engines_down(host, engines))
        self._advance(0.01)

    async def _mark_engines_down(self, host: str, engines: set[str]) -> None:
        for engine in engines:
            self.cluster.host(host).gate.record_failure(upstream=UpstreamId(engine))

    @rule(viewer=hosts, seen=st.sets(hosts))
    def change_live_peers(self, viewer: str, seen: set[str]) -> None:
        """Change the live peers of a host, so that a cell may have no owner or two."""
        self._run(self._set_live_peers(viewer, sorted({viewer, *seen})))

    async def _set_live_peers(self, viewer: str, seen: list[str]) -> None:
        self.cluster.switch.set_live_peers(viewer=viewer, hosts=seen)

    @rule(duration_s=st.sampled_from((0.05, 0.3, 1.2, 4.0, 12.0)))
    def wait(self, duration_s: float) -> None:
        """Advance the virtual time."""
        self._advance(duration_s)

    @rule()
    def remove_faults(self) -> None:
        """Remove all faults and check that the owner's reservations match the placements."""
        self._remove_faults()
        self._advance(SETTLE_S)
        self.check_placements()
        owner = self.cluster.owner()
        running = self.cluster.scheduler(owner).running if self.placed else {}
        assert running == {name: engine for name, (_, engine) in self.placed.items()}

    @invariant()
    def check_placements(self) -> None:
        """Check that only hosts with closed engines refuse requests and no placement is lost."""
        for name, (host, task) in list(self.waiting.items()):
            if task.done():
                del self.waiting[name]
                self._note_outcome(name, host, task.result())
        for name in HOSTS:
            expected = [each for each in self.placed.values() if each[0] == name]
            waiting = [each for each in self.waiting.values() if each[0] == name]
            assert self.cluster.host(name).router.held == len(expected) + len(waiting)

    def _note_outcome(self, name: str, host: str, engine: UpstreamId | None) -> None:
        """Record a placement, or check that the host was allowed to refuse the request."""
        if engine is not None:
            self.placed[name] = (host, engine)
        else:
            assert host in self.hosts_with_closed_engines

    def teardown(self) -> None:
        """Check that without faults all requests are placed and no reservation remains."""
        if not hasattr(self, "loop"):
            return
        self._remove_faults()
        while self.waiting or self.placed:
            self._advance(PLACEMENT_TIMEOUT_S)
            self.check_placements()
            assert self.placed
            for name, (host, _) in list(self.placed.items()):
                self._run(self._release(host=host, name=name, lost=False))
            self.placed.clear()
        self._advance(SETTLE_S)
        assert self.cluster.reservations() == 0
        assert all(
            not scheduler.running
            for name in HOSTS
            for scheduler in self.cluster.host(name).schedulers
        )
        self._run(self._stop())
        self.loop.close()

    async def _stop(self) -> None:
        for name in HOSTS:
            await self.cluster.host(name).router.stop()

    def _remove_faults(self) -> None:
        switch = self.cluster.switch
        switch.drop_probability, switch.duplicate_probability, switch.jitter_ms = 0.0, 0.0, 0
        for host in HOSTS:
            self._run(self._resume(host))
            self._run(self._set_live_peers(host, list(HOSTS)))
            self._run(self._mark_engines_up(host))

    async def _mark_engines_up(self, host: str) -> None:
        for engine in ENGINES:
            self.cluster.host(host).gate.record_success(upstream=UpstreamId(engine))

    def _start_placing(self, host: str, name: str) -> asyncio.Task[Any]:
        async def place() -> UpstreamId | None:
            placed = await self.cluster.host(host).router.place(request=make_request(name))
            if is_successful(placed):
                return placed.unwrap().engine
            assert placed.failure().kind is ProblemKind.NO_UPSTREAM
            return None

        async def start() -> asyncio.Task[UpstreamId | None]:
            return asyncio.create_task(place())

        task: asyncio.Task[Any] = self._run(start())
        return task

    def _advance(self, duration_s: float) -> None:
        self._run(asyncio.sleep(duration_s))

    def _run(self, work: Any) -> Any:
        return self.loop.run_until_complete(work)


RoutingMachine.TestCase.settings = random_case_settings(examples=25, steps=25)
TestRoutingMachine = RoutingMachine.TestCase
