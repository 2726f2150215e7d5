"""Retries stay within one budget for all hosts, regardless of host count and reachable deciders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from tanagerscale.coordination import Directory
from tanagerscale.coordination import SharedRetryBudgets
from tanagerscale.coordination._request_counts import RequestCounts
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ServiceId
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.generated.records import HostRecord
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from testing._fake_store import FakeBackend
from testing._fake_store import FakeStore
from testing._virtual_time import run_virtually

SERVICE = ServiceId("bookings")
REVISION = StoreRevision(1)
PREFIX = "tanagerscale/"


LONG_AGO = Millis(-60_000)


def _make_budgets(
    *,
    share: Callable[[], float] = lambda: 1.0,
    slack: float = 430.0,
    since: Callable[[], Millis] = lambda: LONG_AGO,
) -> SharedRetryBudgets:
    return SharedRetryBudgets(
        ratio=0.2, slack=slack, window_s=10.0, share=share, since=since, clock=Clock()
    )


def _acquire_all(budgets: SharedRetryBudgets) -> int:
    acquired = 0
    while budgets.try_acquire(service=SERVICE, requests=0):
        acquired += 1
    return acquired


def test_isolated_host_among_many_may_retry_once() -> None:
    async def scenario() -> int:
        budgets = _make_budgets(share=lambda: 1 / 78, slack=182.0)
        return budgets.try_acquire(service=SERVICE, requests=1) + _acquire_all(budgets)

    assert run_virtually(scenario()) == 1


def test_isolated_hosts_together_stay_within_the_retry_budget() -> None:
    async def scenario() -> int:
        isolated = [_make_budgets(share=lambda: 1 / 78, slack=182.0) for _ in range(78)]
        acquired = 0
        for _ in range(100):
            acquired += sum(_acquire_all(budgets) for budgets in isolated)
            await asyncio.sleep(0.1)
        return acquired

    assert 78 <= run_virtually(scenario()) <= 182


def test_single_decider_grants_the_whole_retry_budget() -> None:
    async def scenario() -> int:
        budgets = _make_budgets()
        acquired = 0
        for _ in range(100):
            acquired += _acquire_all(budgets)
            await asyncio.sleep(0.1)
        return acquired

    # Eight tenths of 430.
    assert 330 <= run_virtually(scenario()) <= 344


def test_retry_ratio_applies_without_slack() -> None:
    async def scenario() -> int:
        budgets = _make_budgets(slack=0.0)
        return sum(budgets.try_acquire(service=SERVICE, requests=5) for _ in range(100))

    # Eight tenths of a fifth of 500 requests.
    assert 75 <= run_virtually(scenario()) <= 80


# A retry was granted for each request of a calm time, however long ago it was.
def test_requests_of_earlier_windows_allow_no_retries() -> None:
    async def scenario() -> int:
        budgets = _make_budgets(slack=0.0)
        budgets.try_acquire(service=SERVICE, requests=500)
        await asyncio.sleep(5.1)
        return _acquire_all(budgets)

    # The fixed number allows one retry.
    assert run_virtually(scenario()) <= 1


def test_only_recent_requests_are_reported_to_a_decider() -> None:
    async def scenario() -> list[int]:
        counts = RequestCounts(max_age_ms=lambda: 5000, clock=Clock())
        for _ in range(80):
            counts.add(SERVICE)
            await asyncio.sleep(0.1)
        return [counts.take(SERVICE), counts.take(SERVICE)]

    assert run_virtually(scenario()) == [50, 0]


def test_new_decider_does_not_grant_retries_accrued_before_it_took_over() -> None:
    async def scenario() -> int:
        first, second = _make_budgets(), _make_budgets(since=lambda: Millis(5000))
        acquired = 0
        for step in range(100):
            acquired += _acquire_all(first if step < 50 else second)
            await asyncio.sleep(0.1)
        return acquired

    assert run_virtually(scenario()) <= 344


# A host to which all others turned granted what had accrued while another one decided.
def test_decider_grants_nothing_for_a_time_in_which_no_host_used_it() -> None:
    async def scenario() -> list[int]:
        share = 1 / 195
        budgets = _make_budgets(share=lambda: share)
        acquired = [_acquire_all(budgets)]
        await asyncio.sleep(10)
        share = 1.0
        budgets.on_hosts_changed()
        acquired.append(_acquire_all(budgets))
        await asyncio.sleep(1)
        return [*acquired, _acquire_all(budgets)]

    # 0.88 retries accrue in 10 s as one of 195 hosts, and 17.2 in one second as the only decider.
    assert run_virtually(scenario()) == [1, 0, 18]


def test_reloaded_budget_grants_nothing_again() -> None:
    async def scenario() -> list[int]:
        budgets = _make_budgets(slack=100.0)
        acquired = _acquire_all(budgets)
        budgets.reconfigure(ratio=0.2, slack=100.0, window_s=10.0)
        unchanged = _acquire_all(budgets)
        budgets.reconfigure(ratio=0.2, slack=120.0, window_s=10.0)
        return [acquired, unchanged, _acquire_all(budgets)]

    assert run_virtually(scenario()) == [40, 0, 0]


def test_two_concurrent_deciders_grant_no_more_than_one() -> None:
    async def scenario() -> int:
        deciders = [_make_budgets(share=lambda: 0.4), _make_budgets(share=lambda: 0.6)]
        acquired = 0
        for _ in range(100):
            acquired += sum(_acquire_all(decider) for decider in deciders)
            await asyncio.sleep(0.1)
        return acquired

    assert run_virtually(scenario()) <= 344


def _entry(name: str) -> StoreEntry:
    record = HostRecord(host=name, peers=f"{name}:1", incarnation=1)
    key = f"{PREFIX}hosts/{name}"
    value = msgspec.json.encode(record)
    return StoreEntry(key=key, value=value, create_revision=REVISION, mod_revision=REVISION)


def test_isolated_host_counts_hosts_with_a_store_entry() -> None:
    async def scenario() -> list[int]:
        clock = Clock()
        directory = Directory(host=HostId("a"), seeds=(), clock=clock)
        presence = HostPresence(
            store=FakeStore(backend=FakeBackend()),
            prefix=PREFIX,
            record=HostRecord(host="a", peers="a:1", incarnation=1),
            on_records=lambda records, revision: directory.on_records(records, revision=revision),
            clock=clock,
            rng=Random(1),
        )
        entries = tuple(_entry(name) for name in ("a", "b", "c"))
        presence.on_snapshot(StoreRange(entries=entries, revision=REVISION))
        seen = [directory.hosts]
        gone = (f"{PREFIX}hosts/c",)
        presence.on_changes(WatchBatch(entries=(), deleted=gone, revision=REVISION))
        return [*seen, directory.hosts]

    assert run_virtually(scenario()) == [3, 2]
