"""Hosts that learn from each other's calls that the store is away.

The load it answers: a store that refuses all calls for eight seconds but leaves watches waiting. A
host calls it each ten seconds, so that alone it would not know for five of them on average.
"""

from __future__ import annotations

import asyncio
from random import Random

from tanagerscale.core import Clock
from tanagerscale.gateway._presence import MIN_CHECK_INTERVAL_MS
from tanagerscale.gateway._presence import RENEW_INTERVAL_MS
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.generated.records import HostRecord
from testing._fake_store import FakeStore
from testing._virtual_time import run_virtually

SETTLED_S = 3


class Scene:
    """One host's entry."""

    def __init__(self) -> None:
        self.store = FakeStore()
        self.answers: list[bool] = []
        self.presence = HostPresence(
            store=self.store,
            prefix="p/",
            record=HostRecord(host="a", peers="a:1", incarnation=1),
            on_records=lambda _records, _revision: None,
            on_availability=self.answers.append,
            clock=Clock(),
            rng=Random(1),
        )
        self.task = asyncio.create_task(self.presence.run())


def test_host_tells_when_its_calls_begin_to_fail_and_are_answered_again() -> None:
    async def play() -> list[bool]:
        scene = Scene()
        await asyncio.sleep(SETTLED_S)
        scene.store.down = True
        await asyncio.sleep(RENEW_INTERVAL_MS / 1000)
        seen = [scene.presence.store_lost]
        scene.store.down = False
        await asyncio.sleep(SETTLED_S)
        assert [*seen, scene.presence.store_lost] == [True, False]
        return scene.answers

    assert run_virtually(play()) == [False, True]


def test_host_calls_the_store_at_once_when_a_peer_tells_that_it_is_lost() -> None:
    async def play() -> None:
        scene = Scene()
        await asyncio.sleep(SETTLED_S)
        scene.store.down = True
        scene.presence.check_soon()
        await asyncio.sleep(0.1)
        assert scene.presence.store_lost

    run_virtually(play())


def test_word_of_peers_that_the_store_refuses_causes_few_calls_where_it_answers() -> None:
    async def play() -> int:
        scene = Scene()
        await asyncio.sleep(SETTLED_S)
        before = scene.store.calls.leases
        for _ in range(100):
            scene.presence.check_soon()
            await asyncio.sleep(0.1)
        assert not scene.presence.store_lost
        return scene.store.calls.leases - before

    assert run_virtually(play()) <= 10_000 // MIN_CHECK_INTERVAL_MS + 1
