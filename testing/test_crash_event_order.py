"""Calls end, in whatever order hosts see a crash, a conviction and a change of the owner."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from itertools import count
from random import Random
from typing import final

import pytest
from returns.result import Result

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.daemon._quarantine_adapter import MAX_CHANGE_WAIT_MS
from tanagerscale.delivery import BufferedSink
from tanagerscale.dispatch import Finish
from tanagerscale.dispatch import Generation
from tanagerscale.generated.messages import Verdict
from tanagerscale.membership import Message
from tanagerscale.membership import ReceivedMessage
from tanagerscale.quarantine._rules import ANNOUNCEMENT_DELAY_MS
from tanagerscale.quarantine._rules import CRASH_MERGE_WINDOW_MS
from tanagerscale.routing._placement_table import ANSWER_TIMEOUT_MS
from tanagerscale.routing._placement_table import ASK_INTERVAL_MS
from tanagerscale.routing._poller import POLL_INTERVAL_MS
from tanagerscale.routing._router import TICK_INTERVAL_MS
from testing._crash_event_scenarios import Event
from testing._crash_event_scenarios import OwnerChange
from testing._crash_event_scenarios import Role
from testing._crash_event_scenarios import Scenario
from testing._crash_event_scenarios import random_scenario
from testing._random_cases import FUZZ_FACTOR
from testing._routing_fakes import MODEL
from testing._simulation import MAX_ANSWER_TOKENS
from testing._simulation import STEP_MS
from testing._simulation import SimulatedHost
from testing._simulation import Simulation
from testing._simulation import answer_length
from testing._simulation import generation_request
from testing._virtual_time import run_virtually

SEEDS = 10 * max(FUZZ_FACTOR, 1)
HOSTS = 4
MAX_CALLS = 1 + 3 * HOSTS
EPOCH_MS = 1_700_000_000_000
STABLE_MS = 1000
"""Time after which all hosts agree on the owner, which has polled the engines."""

RETRY_RESERVE = 1000
"""Large enough that no call is refused because the retry budget is used up."""

UNSERVED_LIMIT_MS = (
    ASK_INTERVAL_MS
    + ANSWER_TIMEOUT_MS
    + TICK_INTERVAL_MS
    + POLL_INTERVAL_MS
    + 2 * MAX_CHANGE_WAIT_MS
)
"""Time from the last event until calls are refused that no engine can serve: a repeated request to
a new owner that does not answer, and the first poll of the engines."""

EXCLUSION_MS = 2 * CRASH_MERGE_WINDOW_MS
"""Time after a crash for which a suspect must not run on the engine."""

CALL_LIMIT_MS = EXCLUSION_MS + UNSERVED_LIMIT_MS + MAX_CALLS * MAX_ANSWER_TOKENS * STEP_MS
"""Time from the last event until all calls end if the only engine serves them one after another."""

CONVICTED_LIMIT_MS = MAX_CHANGE_WAIT_MS + ANNOUNCEMENT_DELAY_MS
"""Time from the conviction until a call ends that waits for a change or announces a run."""

SETTLE_MS = EXCLUSION_MS + STABLE_MS
"""Time after which no exclusion holds; longer than the lease of a reservation."""

COPIED = "copied"
"""Fingerprint of the request that crashes engines."""

CRASH_TOKENS = 20
"""Tokens after which it crashes an engine, so that its second crash convicts it."""


@dataclass(kw_only=True)
class Call:
    """One call, and when it ended."""

    host: HostId
    fingerprint: str
    task: asyncio.Task[Result[Finish, Problem]]
    ended_at: Millis | None = None


@final
class Case:
    """Simulation in which the events of a scenario happen.

    :param scenario: The scenario.
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._clock = Clock(virtual_epoch_ms=EPOCH_MS)
        self._simulation = Simulation(
            hosts=HOSTS, engines=2, max_batch=1, reserve=RETRY_RESERVE, clock=self._clock
        )
        self._hosts = {host.network.host: host for host in self._simulation.hosts}
        self._calls: list[Call] = []
        self._roles: dict[Role, SimulatedHost] = {}
        self._crashed: list[UpstreamId] = []
        self._absent: HostId | None = None
        self._dead: HostId | None = None
        self._stopping: asyncio.Task[None] | None = None
        self._last_event_at = Millis(0)
        self._conviction_known_at: dict[HostId, Millis] = {}

    async def run(self) -> None:
        """Run the calls and the events, and wait until nothing can still change."""
        for host in self._hosts.values():
            host.network.messages.subscribe(partial(self._note_conviction, host))
        await self._clock.sleep(STABLE_MS)
        self._assign_roles()
        await self._clock.sleep(STABLE_MS)
        await self._start_calls()
        await self._crash_last_engine()
        await self._apply_events()
        tasks = [call.task for call in self._calls]
        await asyncio.wait(tasks, timeout=CALL_LIMIT_MS / MS_PER_SECOND)
        await self._clock.sleep(SETTLE_MS)

    def assert_calls_ended(self) -> None:
        """Check that each call has ended in time, whether served or refused."""
        for call in self.live_calls:
            assert call.ended_at is not None, call
            call.task.result()
            assert call.ended_at - self._last_event_at <= CALL_LIMIT_MS
            if self._scenario.restarted is None and call.fingerprint != COPIED:
                assert call.ended_at - self._last_event_at <= UNSERVED_LIMIT_MS

    def assert_convicted_calls_refused(self, *, within_ms: int) -> None:
        """Check that no call of the convicted request lasted after its host knew the conviction.

        :param within_ms: Longest time after that.
        """
        for call in self.live_calls:
            known_at = self._conviction_known_at.get(call.host)
            if call.fingerprint != COPIED or known_at is None:
                continue
            assert call.ended_at is not None, call
            assert call.ended_at - known_at <= within_ms, call

    def assert_nothing_left(self) -> None:
        """Check that no placement, reservation, exclusion or attempt is left."""
        for engine in self._simulation.engines.values():
            assert engine.attempts == 0
        for name, host in self._hosts.items():
            if name == self._dead:
                continue
            assert host.router.held == 0
            assert host.router.reservations == 0
            crashes = host.context.crash_watch
            for fingerprint in {call.fingerprint for call in self._calls}:
                if crashes.check(fingerprint=fingerprint) is None:
                    assert not crashes.excluded_engines(fingerprint=fingerprint, model=MODEL)

    @property
    def live_calls(self) -> list[Call]:
        """Calls at hosts that have not died."""
        return [call for call in self._calls if call.host != self._dead]

    def _note_conviction(self, host: SimulatedHost, _received: ReceivedMessage) -> None:
        if host.context.crash_watch.check(fingerprint=COPIED) is not None:
            self._conviction_known_at.setdefault(host.network.host, self._clock.now())

    def _assign_roles(self) -> None:
        """Select hosts for the roles; an owner that returns later is cut off first."""
        if self._scenario.owner_change is OwnerChange.RETURNS:
            self._absent = self._find_owner()
            present = self._present_hosts()
            switch = self._simulation.switch
            switch.unreachable = {frozenset((host, self._absent)) for host in present}
            switch.set_live_peers(viewer=self._absent, hosts=[])
            switch.connect_all(present)
        owner = self._find_owner()
        others = [host for host in self._present_hosts() if host != owner]
        runner = owner if self._scenario.runner_at_owner else others.pop()
        waiting = owner if self._scenario.waiting_at_owner else others.pop()
        self._roles = {
            Role.OWNER: self._hosts[owner],
            Role.RUNNER: self._hosts[runner],
            Role.WAITING: self._hosts[waiting],
        }

    def _present_hosts(self) -> list[HostId]:
        return [host for host in self._hosts if host != self._absent]

    def _find_owner(self) -> HostId:
        return next(host for host in self._present_hosts() if self._hosts[host].router.owned)

    async def _start_calls(self) -> None:
        """Crash the first engine, and let other calls wait for the only one that is left."""
        self._start_call(self._roles[Role.RUNNER], COPIED, _find_long_prompt())
        first = await self._wait_for_run()
        await self._clock.sleep(CRASH_TOKENS * STEP_MS)
        self._simulation.engines[first].crash()
        last = await self._wait_for_run()
        self._crashed = [first, last]
        await self._clock.sleep(CRASH_TOKENS * STEP_MS // 2)
        for name in self._present_hosts():
            self._start_call(self._hosts[name], COPIED, f"{COPIED}.{name}")
            if self._scenario.others_waiting:
                self._start_call(self._hosts[name], "other", f"other.{name}")
                self._start_call(self._hosts[name], name, f"single.{name}")
        await self._clock.sleep(CRASH_TOKENS * STEP_MS // 2)

    async def _wait_for_run(self) -> UpstreamId:
        engines = self._simulation.engines
        while not any(engine.attempts for engine in engines.values()):
            await self._clock.sleep(1)
        return next(name for name, engine in engines.items() if engine.attempts)

    def _start_call(self, host: SimulatedHost, fingerprint: str, generation: str) -> None:
        request = generation_request(fingerprint, generation)
        generating = Generation(request=request, sink=BufferedSink(), context=host.context).run()
        task = asyncio.create_task(generating)
        call = Call(host=host.network.host, fingerprint=fingerprint, task=task)
        task.add_done_callback(lambda _task: setattr(call, "ended_at", self._clock.now()))
        self._calls.append(call)

    async def _crash_last_engine(self) -> None:
        """Crash the engine that runs the copy; hosts see that only by the events."""
        waiting = self._roles[Role.WAITING].network.host

        def is_held(_source: HostId, target: HostId, message: Message) -> bool:
            return target == waiting and isinstance(message, Verdict)

        self._simulation.switch.is_held = is_held
        engine = self._simulation.engines[self._crashed[1]]
        engine.polls_fail.clear()
        engine.crash(keep_connections=True)
        await self._clock.sleep(self._scenario.start_ms)

    async def _apply_events(self) -> None:
        restarted = self._scenario.restarted
        for index, group in enumerate(self._scenario.order):
            if restarted is not None and restarted[1] == index:
                self._simulation.engines[self._crashed[restarted[0]]].restart()
            for event in group:
                self._apply_event(event)
            self._last_event_at = self._clock.now()
            await self._clock.sleep(self._scenario.gap_ms)

    def _apply_event(self, event: Event) -> None:
        name = self._crashed[1]
        engine = self._simulation.engines[name]
        frozen = self._roles[self._scenario.frozen].network.host
        switch = self._simulation.switch
        match event:
            case Event.CRASH_SEEN_BY_RUNNER:
                engine.break_connections()
            case Event.CONVICTION_SEEN:
                switch.release_held()
            case Event.LOSS_SEEN_BY_OWNER:
                engine.polls_fail.set()
            case Event.LOSS_SEEN_BY_HOST:
                self._roles[Role.WAITING].context.observer.record_failure(upstream=name)
            case Event.OWNER_CHANGED:
                self._change_owner()
            case Event.FROZEN:
                switch.frozen.add(frozen)
            case Event.RESUMED:
                switch.resume(frozen)

    def _change_owner(self) -> None:
        owner = self._roles[Role.OWNER]
        name = owner.network.host
        switch = self._simulation.switch
        match self._scenario.owner_change:
            case OwnerChange.LEAVES:
                owner.router.set_leaving(leaving=True)
                switch.connect_all(list(self._hosts), leaving=[name])
            case OwnerChange.DIES:
                self._dead = name
                self._kill(owner)
                switch.connect_all([host for host in self._hosts if host != name])
            case OwnerChange.RETURNS:
                switch.unreachable.clear()
                switch.connect_all(list(self._hosts))
                self._announce_joins()

    def _kill(self, host: SimulatedHost) -> None:
        name = host.network.host
        del self._simulation.switch.networks[name]
        for call in self._calls:
            if call.host == name:
                call.task.cancel()
        self._stopping = asyncio.create_task(host.router.stop())

    def _announce_joins(self) -> None:
        """Announce new connections between the host that was cut off and each other host."""
        for name, host in self._hosts.items():
            for peer in host.network.live.value:
                if self._absent in (name, peer.host):
                    host.network.joined.on_next(peer)


def _find_long_prompt() -> str:
    """Return a prompt whose answer is longer than its run until the crash."""
    prompts = (f"{COPIED}.{number}" for number in count())
    return next(prompt for prompt in prompts if answer_length(prompt) == MAX_ANSWER_TOKENS)


async def _run_case(seed: int, *, waiting_at_owner: bool) -> None:
    case = Case(random_scenario(Random(seed), waiting_at_owner=waiting_at_owner))
    await case.run()
    case.assert_calls_ended()
    case.assert_convicted_calls_refused(within_ms=CONVICTED_LIMIT_MS)
    case.assert_nothing_left()


@pytest.mark.parametrize("seed", range(SEEDS))
@pytest.mark.parametrize("waiting_at_owner", [False, True])
def test_every_call_ends_when_hosts_see_a_crash_in_any_order(
    seed: int, waiting_at_owner: bool
) -> None:
    # Guards against waiting requests that miss a conviction, a lost engine or a new owner.
    run_virtually(_run_case(seed, waiting_at_owner=waiting_at_owner))
