"""Stateful test of claims: under any faults no booking runs twice and all results are correct."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from testing._booking_hosts import BookingCluster
from testing._booking_hosts import BookingHost
from testing._booking_hosts import CallResult
from testing._booking_hosts import CrashPoint
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
    """One call of a caller.

    :param name: Name of the booking.
    :param executed: Whether the service has executed this call.
    :param task: Task that runs the call.
    """

    name: str
    executed: bool = False
    task: asyncio.Task[CallResult] | None = None

    def mark_executed(self) -> None:
        """Record that the service has executed this call."""
        self.executed = True


class ClaimsMachine(RuleBasedStateMachine):
    """Three hosts and two bookings, with all faults in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = new_virtual_loop()
        self.loop.run_until_complete(self._start())
        self.calls: list[Call] = []
        self.crashes = 0

    @rule(host=hosts, name=names)
    def book(self, host: str, name: str) -> None:
        """Start a booking without waiting for it."""
        call = Call(name=name)
        work = self.hosts_by_name[host].book(name, on_executed=call.mark_executed)
        call.task = self.loop.create_task(work)
        self.calls.append(call)

    @rule(wait_ms=st.sampled_from([0, 1, 3, 30, 200, 1500, 12_000, 40_000]))
    def wait(self, wait_ms: int) -> None:
        """Advance the virtual time."""
        self._run(wait_ms)

    @rule(host=hosts, point=st.sampled_from(CrashPoint))
    def crash_at(self, host: str, point: CrashPoint) -> None:
        """Let a host crash when one of its calls reaches a point."""
        self.hosts_by_name[host].crash_point = point

    @rule(host=hosts)
    def replace_host(self, host: str) -> None:
        """Crash a host and start its next incarnation."""
        previous = self.hosts_by_name[host]
        previous.crash()
        self.crashes += 1
        self.hosts_by_name[host] = self.cluster.start(
            host, incarnation=previous.incarnation + 1, ttl_s=TTL_S
        )

    @rule(host=hosts)
    def freeze(self, host: str) -> None:
        """Freeze a host."""
        self.hosts_by_name[host].store.freeze()

    @rule(host=hosts)
    def resume(self, host: str) -> None:
        """Resume a frozen host, unless it has crashed."""
        if not self.hosts_by_name[host].crashed:
            self.hosts_by_name[host].store.resume()

    @rule(host=hosts, down=st.booleans())
    def set_store_down(self, host: str, down: bool) -> None:
        """Make the store unreachable or reachable for a host."""
        self.hosts_by_name[host].store.fake.down = down

    @rule(host=hosts, count=st.integers(1, 3))
    def lose_replies(self, host: str, count: int) -> None:
        """Let the next writes take effect and lose their replies."""
        self.hosts_by_name[host].store.fake.lose_replies = count

    @rule(host=hosts, count=st.integers(1, 3), late_ms=st.sampled_from([10, 1500, 60_000]))
    def delay_writes(self, host: str, count: int, late_ms: int) -> None:
        """Let the next writes take effect only after their caller has got an error."""
        self.hosts_by_name[host].store.late_writes = count
        self.hosts_by_name[host].store.late_ms = late_ms

    @rule(refuses_calls=st.booleans(), delay_ms=st.sampled_from([0, 50, 20_000]))
    def set_service_faults(self, refuses_calls: bool, delay_ms: int) -> None:
        """Let the service refuse all calls, or answer late."""
        self.cluster.service.refuses_calls = refuses_calls
        self.cluster.service.delay_ms = delay_ms

    @invariant()
    def bookings_run_at_most_once(self) -> None:
        """Check that no booking has run twice."""
        assert all(count <= 1 for count in self.cluster.service.executions.values())

    @invariant()
    def results_match_executions(self) -> None:
        """Check the result of each completed call.

        An answer means that the booking ran, and "not executed" that this call did not run.
        """
        for call in self.calls:
            if call.task is None or not call.task.done():
                continue
            if call.task.result() is CallResult.ANSWER:
                assert self.cluster.service.executions[call.name] == 1
            if call.task.result() is CallResult.NOT_EXECUTED:
                assert not call.executed

    def teardown(self) -> None:
        """Remove all faults and check that each booking gets a result on a new host."""
        self.crashes += sum(host.crashed for host in self.hosts_by_name.values())
        for host in self.hosts_by_name.values():
            host.crash_point = None
            host.store.late_writes = 0
            host.store.fake.down = False
            host.store.fake.lose_replies = 0
            if not host.crashed:
                host.store.resume()
        self.cluster.service.refuses_calls = False
        self.cluster.service.delay_ms = 0
        self._run(RECOVERY_S * 1000)
        verifier = self.cluster.start("last", ttl_s=TTL_S)
        for name in NAMES:
            result = self.loop.run_until_complete(verifier.book(name))
            assert result is CallResult.ANSWER or (
                self.crashes > 0 and result is CallResult.UNKNOWN
            )
        self._run(RECOVERY_S * 1000)
        self.bookings_run_at_most_once()
        self.results_match_executions()
        close_loop(self.loop)

    async def _start(self) -> None:
        self.cluster = BookingCluster()
        self.hosts_by_name: dict[str, BookingHost] = {
            name: self.cluster.start(name, ttl_s=TTL_S) for name in HOSTS
        }

    def _run(self, wait_ms: int) -> None:
        self.loop.run_until_complete(asyncio.sleep(wait_ms / 1000))


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = random_case_settings(examples=150, steps=30)
