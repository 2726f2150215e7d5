"""The limit of a cold upstream while deciders change and asks are lost, late and repeated.

The pattern: an upstream comes back cold, all hosts find it empty, and hosts ask one decider, then
another when its answer is lost or late, or decide alone. What each decider knows of who lets it
decide is late too.
"""

from __future__ import annotations

from collections import deque
from typing import cast

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from tanagerscale.coordination import WarmupLimit
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from testing._gateway_fakes import FakeTables
from testing._gateway_fakes import FakeUpstreams
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_table
from testing._random_cases import random_case_settings

HOSTS = tuple(f"host-{number}" for number in range(8))
COORDINATORS = HOSTS[:3]
PER_S = 10.0
OVERSHOOT = 1.5
SLACK = 5
ENTRY = make_entry("x")
CHANGE_PAUSE_MS = 1000
"""Least time between two changes of the decider for all hosts; one that does not answer is passed
over for longer."""


class _StoppedClock:
    """Time that passes when it is told to."""

    def __init__(self) -> None:
        self.at = CHANGE_PAUSE_MS

    def now(self) -> Millis:
        """Return the time."""
        return Millis(self.at)


class WarmupMachine(RuleBasedStateMachine):
    """Hosts that ask for requests to one cold upstream, and those that decide."""

    def __init__(self) -> None:
        super().__init__()
        self.time = _StoppedClock()
        self.decider = dict.fromkeys(HOSTS, COORDINATORS[0])
        self.reported = dict(self.decider)
        """What the deciders know of who lets whom decide."""
        self.changed_at = 0
        self.sent: deque[int] = deque()
        self.limits = {host: self._limit(host) for host in HOSTS}

    def _limit(self, host: str) -> WarmupLimit:
        return WarmupLimit(
            host=HostId(host),
            tables=FakeTables(table=make_table(cold_ms=60_000, cold_per_s=PER_S)),
            upstreams=FakeUpstreams(entries=[ENTRY], cold={"x": 60_000}),
            share=lambda: self._share(host),
            clock=cast(Clock, self.time),
        )

    def _share(self, decider: str) -> float:
        deciding = sum(one == decider for one in self.reported.values())
        return max(deciding, 1) / len(HOSTS)

    @rule(host=st.sampled_from(HOSTS), repeats=st.integers(1, 12))
    def ask(self, host: str, repeats: int) -> None:
        """Send requests that the decider of a host allows."""
        for _ in range(repeats):
            if self.limits[self.decider[host]].take(ENTRY):
                self.sent.append(self.time.at)

    @rule(host=st.sampled_from(HOSTS))
    def lose_the_answer(self, host: str) -> None:
        """Let a decider count a request whose host does not hear of it."""
        self.limits[self.decider[host]].take(ENTRY)

    @rule(host=st.sampled_from(HOSTS))
    def be_cut_off(self, host: str) -> None:
        """Let a host decide for itself; the others hear of it later."""
        self.decider[host] = host

    @rule(host=st.sampled_from(HOSTS))
    def report(self, host: str) -> None:
        """Deliver what a host tells of its decider."""
        self.reported[host] = self.decider[host]

    @rule(coordinator=st.sampled_from(COORDINATORS))
    def change_decider(self, coordinator: str) -> None:
        """Let all hosts ask another decider, which hears of them at once."""
        if self.time.at - self.changed_at >= CHANGE_PAUSE_MS:
            self.changed_at = self.time.at
            self.decider = dict.fromkeys(HOSTS, coordinator)
            self.reported = dict(self.decider)

    @rule(ms=st.integers(1, 700))
    def wait(self, ms: int) -> None:
        """Let time pass."""
        self.time.at += ms

    @invariant()
    def bound_holds_in_every_second(self) -> None:
        """The upstream never gets so many requests in a second that it would crash."""
        while self.sent and self.sent[0] <= self.time.at - MS_PER_SECOND:
            self.sent.popleft()
        assert len(self.sent) <= PER_S * OVERSHOOT + SLACK


TestWarmup = WarmupMachine.TestCase
TestWarmup.settings = random_case_settings(examples=150, steps=50)
