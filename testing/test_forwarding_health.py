"""Upstreams that pass health checks but fail requests are ejected by all hosts together."""

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


def _make_health() -> UpstreamHealth:
    return UpstreamHealth(service_of=lambda _: ServiceId("service"), clock=Clock())


def _usable(health: UpstreamHealth) -> list[str]:
    return [entry.upstream for entry in health.exclude_ejected(ENTRIES)]


def test_upstream_is_ejected_after_failures_and_readmitted_later() -> None:
    async def scenario() -> None:
        health = _make_health()
        for _ in range(3):
            health.record_failure(upstream=X)
        assert _usable(health) == ["y", "z"]
        await asyncio.sleep((BASE_EJECTION_MS + 10) / 1000)
        assert _usable(health) == ["x", "y", "z"]

    run_virtually(scenario())


def test_upstream_is_ejected_for_longer_when_it_fails_again() -> None:
    async def scenario() -> None:
        health = _make_health()
        for _ in range(2):
            for _ in range(3):
                health.record_failure(upstream=X)
            await asyncio.sleep((BASE_EJECTION_MS + 10) / 1000)
        assert _usable(health) == ["y", "z"]

    run_virtually(scenario())


def test_failures_are_ignored_when_they_are_older_than_the_window() -> None:
    async def scenario() -> None:
        health = _make_health()
        health.record_failure(upstream=X)
        health.record_failure(upstream=X)
        await asyncio.sleep((WINDOW_MS + 10) / 1000)
        health.record_failure(upstream=X)
        assert _usable(health) == ["x", "y", "z"]

    run_virtually(scenario())


def test_upstream_is_ejected_when_all_hosts_together_saw_enough_failures() -> None:
    async def scenario() -> None:
        health = _make_health()
        health.record_failure(upstream=X)
        for host in ("a", "b"):
            tallies = AnswerTallies(upstreams={"x": [1, 1]})
            health.on_peer(host=HostId(host), tallies=tallies)
        assert _usable(health) == ["y", "z"]

    run_virtually(scenario())


def test_failures_seen_by_a_host_are_dropped_when_the_host_is_gone() -> None:
    async def scenario() -> None:
        health = _make_health()
        health.record_failure(upstream=X)
        health.on_peer(host=HostId("a"), tallies=AnswerTallies(upstreams={"x": [0, 1]}))
        health.forget_peer(host=HostId("a"))
        health.record_failure(upstream=X)
        assert _usable(health) == ["x", "y", "z"]

    run_virtually(scenario())


def test_failures_are_published_until_there_are_none() -> None:
    async def scenario() -> list[AnswerTallies]:
        health = _make_health()
        published: list[AnswerTallies] = []
        health.tally_updates.subscribe(published.append)
        health.record_success(upstream=Y)
        await asyncio.sleep(TALLY_INTERVAL_MS / 1000)
        assert published == []
        health.record_success(upstream=X)
        health.record_failure(upstream=X)
        await asyncio.sleep((2 * WINDOW_MS) / 1000)
        return published

    assert run_virtually(scenario()) == [
        AnswerTallies(upstreams={"x": [1, 1]}),
        AnswerTallies(upstreams={}),
    ]


def test_upstream_is_not_ejected_when_its_service_is_unknown() -> None:
    async def scenario() -> None:
        health = UpstreamHealth(service_of=lambda _: None, clock=Clock())
        for _ in range(9):
            health.record_failure(upstream=X)
        assert _usable(health) == ["x", "y", "z"]

    run_virtually(scenario())
