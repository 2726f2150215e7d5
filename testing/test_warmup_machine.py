"""The rate limit of a cold upstream while deciders change and asks are lost, late or repeated.

An upstream becomes cold and all hosts rank it as least loaded. Hosts ask one decider, then another
when its answer is lost or late, or decide for themselves. The deciders' data on which hosts use
them is late too.
"""

from __future__ import annotations

from collections import deque
from typing import cast

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from tanagerscale.coordination import RateLimits
from tanagerscale.coordination import WarmupRates
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.generated.messages import RequestClass
from testing._gateway_fakes import FakeTables
from testing._gateway_fakes import FakeUpstreams
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_table
from testing._random_cases import random_case_settings

HOSTS = tuple(f"host-{number}" for number in range(8))
COORDINATORS = HOSTS[:3]
RATE_PER_S = 10.0
BURST_FACTOR = 1.5
BURST_SLACK = 5
ENTRY = make_entry("x")
MIN_CHANGE_INTERVAL_MS = 1000
"""Minimum time between two changes of the decider for all hosts; skipping a decider that does not
answer takes longer."""


class _ManualClock:
    """A clock that only advances when the test advances it."""

    def __init__(self) -> None:
        self.at = MIN_CHANGE_INTERVAL_MS

    def now(self) -> Millis:
        """Return the current time."""
        return Millis(self.at)


class WarmupMachine(RuleBasedStateMachine):
    """Hosts that ask for requests to one cold upstream, and their deciders."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = _ManualClock()
        self.decider = dict.fromkeys(HOSTS, COORDINATORS[0])
        self.reported = dict(self.decider)
        """Decider of each host as last reported to the deciders."""
        self.changed_at = 0
        self.sent: deque[int] = deque()
        self.limits = {host: self._make_limit(host) for host in HOSTS}

    def _make_limit(self, host: str) -> RateLimits:
        table = make_table(warmup_ms=60_000, warmup_requests_per_s=RATE_PER_S)
        rates = WarmupRates(
            tables=FakeTables(table=table),
            upstreams=FakeUpstreams(entries=[ENTRY], cold={"x": 60_000}),
        )
        return RateLimits(
            host=HostId(host),
            sources=[rates],
            share=lambda: self._share(host),
            clock=cast(Clock, self.clock),
        )

    def _share(self, decider: str) -> float:
        deciding = sum(reported == decider for reported in self.reported.values())
        return max(deciding, 1) / len(HOSTS)

    @rule(host=st.sampled_from(HOSTS), repeats=st.integers(1, 12))
    def ask(self, host: str, repeats: int) -> None:
        """Send the requests that the decider of a host allows."""
        for _ in range(repeats):
            if (
                self.limits[self.decider[host]]
                .acquire([ENTRY.upstream], RequestClass.PLAIN)
                .may_send
            ):
                self.sent.append(self.clock.at)

    @rule(host=st.sampled_from(HOSTS))
    def lose_answer(self, host: str) -> None:
        """Count a request at the decider whose answer its host does not receive."""
        self.limits[self.decider[host]].acquire([ENTRY.upstream], RequestClass.PLAIN)

    @rule(host=st.sampled_from(HOSTS))
    def isolate(self, host: str) -> None:
        """Make a host decide for itself; the deciders are informed later."""
        self.decider[host] = host

    @rule(host=st.sampled_from(HOSTS))
    def report(self, host: str) -> None:
        """Deliver the report of a host about its decider."""
        self.reported[host] = self.decider[host]

    @rule(coordinator=st.sampled_from(COORDINATORS))
    def change_decider(self, coordinator: str) -> None:
        """Change the decider of all hosts, which is informed immediately."""
        if self.clock.at - self.changed_at >= MIN_CHANGE_INTERVAL_MS:
            self.changed_at = self.clock.at
            self.decider = dict.fromkeys(HOSTS, coordinator)
            self.reported = dict(self.decider)

    @rule(ms=st.integers(1, 700))
    def advance(self, ms: int) -> None:
        """Advance the clock."""
        self.clock.at += ms

    @invariant()
    def rate_limit_holds_in_every_second(self) -> None:
        """The upstream never gets enough requests in a second to crash."""
        while self.sent and self.sent[0] <= self.clock.at - MS_PER_SECOND:
            self.sent.popleft()
        assert len(self.sent) <= RATE_PER_S * BURST_FACTOR + BURST_SLACK


TestWarmupMachine = WarmupMachine.TestCase
TestWarmupMachine.settings = random_case_settings(examples=150, steps=50)
