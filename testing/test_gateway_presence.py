"""Tests that hosts detect an unavailable store through reports of their peers.

They guard against a store that refuses all calls for eight seconds but keeps watches waiting. A
host calls the store every ten seconds, so that without reports of peers it would detect the failure
only after five seconds on average.
"""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from tanagerscale.core import Clock
from tanagerscale.gateway._presence import MIN_CHECK_INTERVAL_MS
from tanagerscale.gateway._presence import RENEW_INTERVAL_MS
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.generated.records import HostRecord
from testing._fake_store import FakeStore
from testing._virtual_time import run_virtually

SETTLE_S = 3
GRACE_MS = 12_000


class PresenceHarness:
    """The presence of one host, running against a fake store."""

    def __init__(self, *, is_coordinator: bool = False) -> None:
        self.store = FakeStore()
        self.answers: list[bool] = []
        self.presence = HostPresence(
            store=self.store,
            prefix="p/",
            record=HostRecord(host="a", peers="a:1", incarnation=1),
            on_records=lambda _records, _revision: None,
            is_coordinator=lambda: is_coordinator,
            on_availability=self.answers.append,
            clock=Clock(),
            rng=Random(1),
        )
        self.task = asyncio.create_task(self.presence.run())


def test_host_reports_when_its_store_calls_start_to_fail_and_succeed_again() -> None:
    async def scenario() -> list[bool]:
        harness = PresenceHarness()
        await asyncio.sleep(SETTLE_S)
        harness.store.down = True
        await asyncio.sleep(RENEW_INTERVAL_MS / 1000)
        seen = [harness.presence.store_lost]
        harness.store.down = False
        await asyncio.sleep(SETTLE_S)
        assert [*seen, harness.presence.store_lost] == [True, False]
        return harness.answers

    assert run_virtually(scenario()) == [False, True]


def test_host_calls_the_store_at_once_when_a_peer_reports_it_lost() -> None:
    async def scenario() -> None:
        harness = PresenceHarness()
        await asyncio.sleep(SETTLE_S)
        harness.store.down = True
        harness.presence.check_soon()
        await asyncio.sleep(0.1)
        assert harness.presence.store_lost

    run_virtually(scenario())


def test_peer_reports_of_a_lost_store_cause_few_calls_where_it_answers() -> None:
    async def scenario() -> int:
        harness = PresenceHarness()
        await asyncio.sleep(SETTLE_S)
        before = harness.store.calls.leases
        for _ in range(100):
            harness.presence.check_soon()
            await asyncio.sleep(0.1)
        assert not harness.presence.store_lost
        return harness.store.calls.leases - before

    assert run_virtually(scenario()) <= 10_000 // MIN_CHECK_INTERVAL_MS + 1


# Guards against a host that stops and enters itself among the hosts again: others would count it,
# and rank it among the coordinators, for 30 s after its end.
@pytest.mark.parametrize("is_coordinator", [False, True])
def test_host_stays_withdrawn_until_it_ends(is_coordinator: bool) -> None:
    async def scenario() -> list[str]:
        harness = PresenceHarness(is_coordinator=is_coordinator)
        await asyncio.sleep(SETTLE_S)
        assert list(harness.store.backend.entries) == ["p/hosts/a"]
        await harness.presence.withdraw()
        seen: list[str] = []
        for _ in range(GRACE_MS // 100):
            await asyncio.sleep(0.1)
            seen += harness.store.backend.entries
        return seen

    assert run_virtually(scenario()) == []


# Guards against the same entry when the host stops while it is being written.
def test_entry_that_was_being_written_is_removed_when_the_host_withdraws() -> None:
    async def scenario() -> list[str]:
        harness = PresenceHarness()
        await asyncio.sleep(0)
        await harness.presence.withdraw()
        await asyncio.sleep(SETTLE_S)
        assert harness.task.done()
        return list(harness.store.backend.entries)

    assert run_virtually(scenario()) == []
