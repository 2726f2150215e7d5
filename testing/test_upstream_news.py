"""Many hosts of which only some watch the upstreams at any moment.

The load it answers: 73 hosts and a list of 27 upstreams that changes three times a second. When
each rested for a second or two after a change and read what had come meanwhile, they made 62 calls
a second together.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from random import Random
from typing import Any

import pytest
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.store import PrefixFollower
from tanagerscale.store import PutIf
from tanagerscale.store import StoreError
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import WatchBatch
from testing._fake_store import FakeStore
from testing._listed_upstreams import SERVICE
from testing._listed_upstreams import listed
from testing._many_hosts import Host
from testing._many_hosts import received_by
from testing._many_hosts import start_hosts
from testing._virtual_time import run_virtually

HOSTS = 24
DOMAINS = 3
FIRST = 10
HEARD_S = 0.3
LONG_AFTER_S = 5.0
"""By then entries that go are not taken to have lapsed while the store was away."""


def _play(scene: Callable[[list[Host]], Coroutine[Any, Any, Any]], *, count: int = HOSTS) -> Any:
    async def play() -> Any:
        hosts = await start_hosts(count=count, domains=DOMAINS)
        entries = tuple(listed(name, "ready@1", revision=FIRST) for name in "abc")
        for host in hosts:
            host.roster.on_store(reachable=True)
            host.roster.on_snapshot(StoreRange(entries=entries, revision=StoreRevision(FIRST)))
        await asyncio.sleep(LONG_AFTER_S)
        return await scene(hosts)

    return run_virtually(play())


def _watch(host: Host, *entries: tuple[str, str], removed: str = "", revision: int) -> None:
    host.roster.on_changes(
        WatchBatch(
            entries=tuple(listed(name, value, revision=revision) for name, value in entries),
            deleted=tuple(removed),
            revision=StoreRevision(revision),
        )
    )


def _open(host: Host) -> str:
    return " ".join(sorted(entry.upstream for entry in host.roster.open_for(SERVICE)))


def test_host_that_rests_uses_a_new_upstream_that_another_one_read() -> None:
    async def scene(hosts: list[Host]) -> set[tuple[str, int]]:
        _watch(hosts[3], ("d", "ready@1"), revision=11)
        await asyncio.sleep(HEARD_S)
        return {(_open(host), host.roster.covered) for host in hosts}

    assert _play(scene) == {("a1 b1 c1 d1", 11)}


def test_host_that_rests_leaves_an_upstream_whose_entry_is_gone() -> None:
    async def scene(hosts: list[Host]) -> set[str]:
        _watch(hosts[3], removed="b", revision=11)
        await asyncio.sleep(HEARD_S)
        return {_open(host) for host in hosts}

    assert _play(scene) == {"a1 c1"}


def test_host_without_the_store_keeps_what_may_have_lapsed_when_a_peer_reads_that_it_is_gone() -> (
    None
):
    async def scene(hosts: list[Host]) -> list[str]:
        cut_off = hosts[0]
        for host in hosts:
            host.roster.on_store(reachable=False)
        hosts[3].roster.on_store(reachable=True)
        _watch(hosts[3], removed="b", revision=11)
        await asyncio.sleep(HEARD_S)
        seen = [_open(cut_off), _open(hosts[3])]
        _watch(hosts[3], ("b", "ready@1"), revision=12)
        await asyncio.sleep(LONG_AFTER_S)
        return [*seen, _open(cut_off)]

    assert _play(scene) == ["a1 b1 c1"] * 3


def test_older_news_of_a_peer_changes_nothing() -> None:
    async def scene(hosts: list[Host]) -> str:
        _watch(hosts[0], ("b", "ready@2"), revision=14)
        await asyncio.sleep(HEARD_S)
        _watch(hosts[1], ("b", "leaving@1"), removed="c", revision=12)
        await asyncio.sleep(HEARD_S)
        return _open(hosts[0])

    # What was removed at 12 and not written since is gone; what was written at 14 stays.
    assert _play(scene) == "a1 b2"


def test_news_that_does_not_follow_what_is_known_leaves_a_gap_to_be_read() -> None:
    async def scene(hosts: list[Host]) -> tuple[str, int]:
        silent = hosts[0]
        hosts[5].roster._covered = StoreRevision(20)
        _watch(hosts[5], ("d", "ready@1"), revision=25)
        await asyncio.sleep(HEARD_S)
        return _open(silent), silent.roster.covered

    assert _play(scene) == ("a1 b1 c1 d1", FIRST)


def test_changes_that_cannot_be_read_are_left_to_each_host() -> None:
    async def scene(hosts: list[Host]) -> set[int]:
        _watch(hosts[3], ("d", "ready@1"), ("b", "bad"), revision=11)
        await asyncio.sleep(HEARD_S)
        return {host.roster.covered for host in hosts if host is not hosts[3]}

    assert _play(scene) == {FIRST}


def test_changes_that_many_read_together_cost_few_messages() -> None:
    async def scene(hosts: list[Host]) -> int:
        before = received_by(hosts)
        for host in hosts:
            _watch(host, ("d", "ready@1"), revision=11)
        await asyncio.sleep(HEARD_S)
        return received_by(hosts) - before

    # All to all would be 24 times 23.
    assert _play(scene) <= 8 * HOSTS


def test_few_hosts_tell_each_other_nothing_that_all_watch() -> None:
    async def scene(hosts: list[Host]) -> int:
        before = received_by(hosts)
        _watch(hosts[0], ("d", "ready@1"), revision=11)
        await asyncio.sleep(HEARD_S)
        return received_by(hosts) - before

    assert _play(scene, count=9) == 0


class _Listener:
    def __init__(self) -> None:
        self.batches: list[WatchBatch] = []

    def on_snapshot(self, found: StoreRange) -> None:
        """Do nothing."""

    def on_changes(self, batch: WatchBatch) -> None:
        """Keep it."""
        self.batches.append(batch)

    def on_store(self, *, reachable: bool) -> None:
        """Do nothing."""


@pytest.mark.parametrize(("told", "read"), [(0, 1), (10**6, 0)])
def test_watch_after_a_rest_begins_where_peers_have_told(told: int, read: int) -> None:
    async def play() -> int:
        store = FakeStore()
        listener = _Listener()
        follower = PrefixFollower(
            store=store,
            prefix="p/",
            listener=listener,
            clock=Clock(),
            rng=Random(1),
            told=lambda: StoreRevision(told),
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        task.cancel()
        follower = PrefixFollower(
            store=store,
            prefix="p/",
            listener=listener,
            clock=Clock(),
            rng=Random(1),
            told=lambda: StoreRevision(told),
        )
        follower._reached = StoreRevision(0)
        await _write(store)
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(1.0)
        task.cancel()
        return len(listener.batches)

    assert run_virtually(play()) == read


async def _write(store: FakeStore) -> Result[Any, StoreError]:
    put = PutIf(key="p/x", value=b"1", expected_mod_revision=StoreRevision(0))
    result = await store.commit(puts=[put])
    assert isinstance(result, Success)
    return result
