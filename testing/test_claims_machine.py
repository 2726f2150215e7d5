"""Bookings against a model: whatever fails, none runs twice and nobody is told a falsehood."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from testing._booking_hosts import BookingHost
from testing._booking_hosts import Platform
from testing._booking_hosts import Point
from testing._booking_hosts import Told
from testing._random_cases import random_case_settings
from testing._virtual_time import close_loop
from testing._virtual_time import new_virtual_loop

HOSTS = ("a", "b", "c")
NAMES = ("library", "town-hall")
TTL_S = 24 * 3600
RECOVERY_S = 200

hosts = st.sampled_from(HOSTS)
names = st.sampled_from(NAMES)


@dataclass(kw_only=True, slots=True)
class Call:
    """One call of one caller."""

    name: str
    executed: bool = False
    task: asyncio.Task[Told] | None = None

    def mark_executed(self) -> None:
        """The service ran this very call."""
        self.executed = True


class ClaimsMachine(RuleBasedStateMachine):
    """Three hosts, two bookings, and every fault in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = new_virtual_loop()
        self.loop.run_until_complete(self._start())
        self.calls: list[Call] = []
        self.deaths = 0

    @rule(host=hosts, name=names)
    def book(self, host: str, name: str) -> None:
        """Send a booking and let it get to any point."""
        call = Call(name=name)
        work = self.live[host].book(name, on_executed=call.mark_executed)
        call.task = self.loop.create_task(work)
        self.calls.append(call)

    @rule(wait_ms=st.sampled_from([0, 1, 3, 30, 200, 1500, 12_000, 40_000]))
    def wait(self, wait_ms: int) -> None:
        """Let time pass."""
        self._run(wait_ms)

    @rule(host=hosts, point=st.sampled_from(Point))
    def die_at(self, host: str, point: Point) -> None:
        """Let a host die when one of its calls gets to a point."""
        self.live[host].dies_at = point

    @rule(host=hosts)
    def replace_host(self, host: str) -> None:
        """Kill a host and start its next life."""
        old = self.live[host]
        old.die()
        self.deaths += 1
        self.live[host] = self.platform.start(host, incarnation=old.incarnation + 1, ttl_s=TTL_S)

    @rule(host=hosts)
    def freeze(self, host: str) -> None:
        """Freeze a host where it stands."""
        self.live[host].store.freeze()

    @rule(host=hosts)
    def thaw(self, host: str) -> None:
        """Let a frozen host go on; one that died stays where it is."""
        if not self.live[host].dead:
            self.live[host].store.thaw()

    @rule(host=hosts, down=st.booleans())
    def cut_store(self, host: str, down: bool) -> None:
        """Take the store from a host or give it back."""
        self.live[host].store.fake.down = down

    @rule(host=hosts, count=st.integers(1, 3))
    def lose_replies(self, host: str, count: int) -> None:
        """Let writes take effect without a reply."""
        self.live[host].store.fake.lose_replies = count

    @rule(host=hosts, count=st.integers(1, 3), late_ms=st.sampled_from([10, 1500, 60_000]))
    def delay_writes(self, host: str, count: int, late_ms: int) -> None:
        """Let writes take effect after their caller gave up."""
        self.live[host].store.late_writes = count
        self.live[host].store.late_ms = late_ms

    @rule(refuses=st.booleans(), delay_ms=st.sampled_from([0, 50, 20_000]))
    def change_service(self, refuses: bool, delay_ms: int) -> None:
        """Let the service refuse everything, or answer late."""
        self.platform.service.refuses = refuses
        self.platform.service.delay_ms = delay_ms

    @invariant()
    def runs_at_most_once(self) -> None:
        """No booking has run twice."""
        assert all(count <= 1 for count in self.platform.service.executions.values())

    @invariant()
    def callers_are_told_the_truth(self) -> None:
        """An answer means that the booking ran, and "not executed" that this call did not."""
        for call in self.calls:
            if call.task is None or not call.task.done():
                continue
            if call.task.result() is Told.ANSWER:
                assert self.platform.service.executions[call.name] == 1
            if call.task.result() is Told.NOT_EXECUTED:
                assert not call.executed

    def teardown(self) -> None:
        """Mend everything; then each booking has its outcome."""
        self.deaths += sum(host.dead for host in self.live.values())
        for host in self.live.values():
            host.dies_at = None
            host.store.late_writes = 0
            host.store.fake.down = False
            host.store.fake.lose_replies = 0
            if not host.dead:
                host.store.thaw()
        self.platform.service.refuses = False
        self.platform.service.delay_ms = 0
        self._run(RECOVERY_S * 1000)
        last = self.platform.start("last", ttl_s=TTL_S)
        for name in NAMES:
            told = self.loop.run_until_complete(last.book(name))
            assert told is Told.ANSWER or (self.deaths > 0 and told is Told.UNKNOWN)
        self._run(RECOVERY_S * 1000)
        self.runs_at_most_once()
        self.callers_are_told_the_truth()
        close_loop(self.loop)

    async def _start(self) -> None:
        self.platform = Platform()
        self.live: dict[str, BookingHost] = {
            name: self.platform.start(name, ttl_s=TTL_S) for name in HOSTS
        }

    def _run(self, wait_ms: int) -> None:
        self.loop.run_until_complete(asyncio.sleep(wait_ms / 1000))


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = random_case_settings(examples=150, steps=30)
