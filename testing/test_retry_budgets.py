"""Repeats stay within one allowance over all hosts, however many there are and whom each hears."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

import msgspec

from tanagerscale.coordination import Directory
from tanagerscale.coordination import RepeatAllowance
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


def _allowance(
    *,
    share: Callable[[], float] = lambda: 1.0,
    slack: float = 430.0,
    since: Callable[[], Millis] = lambda: LONG_AGO,
) -> RepeatAllowance:
    return RepeatAllowance(
        ratio=0.2, slack=slack, window_s=10.0, share=share, since=since, clock=Clock()
    )


def _take_all(allowance: RepeatAllowance) -> int:
    taken = 0
    while allowance.take(service=SERVICE, requests=0):
        taken += 1
    return taken


def test_host_among_many_that_reaches_no_other_can_repeat_a_request() -> None:
    async def play() -> int:
        allowance = _allowance(share=lambda: 1 / 78, slack=182.0)
        return allowance.take(service=SERVICE, requests=1) + _take_all(allowance)

    assert run_virtually(play()) == 1


def test_hosts_that_all_decide_alone_stay_within_the_allowance_when_all_requests_fail() -> None:
    async def play() -> int:
        alone = [_allowance(share=lambda: 1 / 78, slack=182.0) for _ in range(78)]
        taken = 0
        for _ in range(100):
            taken += sum(_take_all(one) for one in alone)
            await asyncio.sleep(0.1)
        return taken

    assert 78 <= run_virtually(play()) <= 182


def test_decider_gives_the_whole_allowance_to_whoever_needs_it() -> None:
    async def play() -> int:
        allowance = _allowance()
        taken = 0
        for _ in range(100):
            taken += _take_all(allowance)
            await asyncio.sleep(0.1)
        return taken

    # Eight tenths of 430.
    assert 330 <= run_virtually(play()) <= 344


def test_part_of_the_requests_may_be_repeated_beside_the_fixed_number() -> None:
    async def play() -> int:
        allowance = _allowance(slack=0.0)
        return sum(allowance.take(service=SERVICE, requests=5) for _ in range(100))

    # 500 requests, of which eight tenths of a fifth.
    assert 75 <= run_virtually(play()) <= 80


def test_next_decider_gives_nothing_that_was_saved_up_before_it_decided() -> None:
    async def play() -> int:
        first, second = _allowance(), _allowance(since=lambda: Millis(5000))
        taken = 0
        for step in range(100):
            taken += _take_all(first if step < 50 else second)
            await asyncio.sleep(0.1)
        return taken

    assert run_virtually(play()) <= 344


def test_two_deciders_at_a_time_give_no_more_than_one() -> None:
    async def play() -> int:
        parts = [_allowance(share=lambda: 0.4), _allowance(share=lambda: 0.6)]
        taken = 0
        for _ in range(100):
            taken += sum(_take_all(part) for part in parts)
            await asyncio.sleep(0.1)
        return taken

    assert run_virtually(play()) <= 344


def _entry(name: str) -> StoreEntry:
    record = HostRecord(host=name, peers=f"{name}:1", incarnation=1)
    key = f"{PREFIX}hosts/{name}"
    value = msgspec.json.encode(record)
    return StoreEntry(key=key, value=value, create_revision=REVISION, mod_revision=REVISION)


def test_host_that_hears_nobody_counts_the_hosts_that_have_an_entry() -> None:
    async def play() -> list[int]:
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

    assert run_virtually(play()) == [3, 2]
