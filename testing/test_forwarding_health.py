"""Upstreams that fail with good health checks are found from requests, by all hosts together."""

from __future__ import annotations

import asyncio

from tanagerscale.coordination import UpstreamHealth
from tanagerscale.coordination._health import BASE_EJECTION_MS
from tanagerscale.coordination._health import TALLY_INTERVAL_MS
from tanagerscale.coordination._health import WINDOW_MS
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import AnswerTallies
from testing._gateway_fakes import make_entry
from testing._virtual_time import run_virtually

X, Y = UpstreamId("x"), UpstreamId("y")
ENTRIES = [make_entry(name) for name in ("x", "y", "z")]


def _health() -> UpstreamHealth:
    return UpstreamHealth(service_of=lambda _: ServiceId("service"), clock=Clock())


def _usable(health: UpstreamHealth) -> list[str]:
    return [entry.upstream for entry in health.exclude_ejected(ENTRIES)]


def test_upstream_rests_after_bad_answers_and_is_tried_again() -> None:
    async def play() -> None:
        health = _health()
        for _ in range(3):
            health.note_bad(upstream=X)
        assert _usable(health) == ["y", "z"]
        await asyncio.sleep((BASE_EJECTION_MS + 10) / 1000)
        assert _usable(health) == ["x", "y", "z"]

    run_virtually(play())


def test_upstream_rests_longer_when_it_fails_again_after_its_rest() -> None:
    async def play() -> None:
        health = _health()
        for _ in range(2):
            for _ in range(3):
                health.note_bad(upstream=X)
            await asyncio.sleep((BASE_EJECTION_MS + 10) / 1000)
        assert _usable(health) == ["y", "z"]

    run_virtually(play())


def test_bad_answers_of_long_ago_do_not_count() -> None:
    async def play() -> None:
        health = _health()
        health.note_bad(upstream=X)
        health.note_bad(upstream=X)
        await asyncio.sleep((WINDOW_MS + 10) / 1000)
        health.note_bad(upstream=X)
        assert _usable(health) == ["x", "y", "z"]

    run_virtually(play())


def test_upstream_rests_when_hosts_saw_enough_together() -> None:
    async def play() -> None:
        health = _health()
        health.note_bad(upstream=X)
        for host in ("a", "b"):
            tallies = AnswerTallies(upstreams={"x": [1, 1]})
            health.on_peer(host=HostId(host), tallies=tallies)
        assert _usable(health) == ["y", "z"]

    run_virtually(play())


def test_what_a_host_saw_is_dropped_when_it_is_gone() -> None:
    async def play() -> None:
        health = _health()
        health.note_bad(upstream=X)
        health.on_peer(host=HostId("a"), tallies=AnswerTallies(upstreams={"x": [0, 1]}))
        health.forget_peer(host=HostId("a"))
        health.note_bad(upstream=X)
        assert _usable(health) == ["x", "y", "z"]

    run_virtually(play())


def test_peers_hear_of_bad_answers_until_there_are_none() -> None:
    async def play() -> list[AnswerTallies]:
        health = _health()
        told: list[AnswerTallies] = []
        health.news.subscribe(told.append)
        health.note_good(upstream=Y)
        await asyncio.sleep(TALLY_INTERVAL_MS / 1000)
        assert told == []
        health.note_good(upstream=X)
        health.note_bad(upstream=X)
        await asyncio.sleep((2 * WINDOW_MS) / 1000)
        return told

    assert run_virtually(play()) == [
        AnswerTallies(upstreams={"x": [1, 1]}),
        AnswerTallies(upstreams={}),
    ]


def test_upstream_does_not_rest_when_its_service_is_unknown() -> None:
    async def play() -> None:
        health = UpstreamHealth(service_of=lambda _: None, clock=Clock())
        for _ in range(9):
            health.note_bad(upstream=X)
        assert _usable(health) == ["x", "y", "z"]

    run_virtually(play())
