"""A host knows within a second whether it is cut off from all upstreams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from random import Random
from typing import Any

import pytest

from tanagerscale.core import Clock
from tanagerscale.core import UpstreamId
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamPaths
from testing._gateway_fakes import make_entry
from testing._virtual_time import run_virtually

NAMES = ("a", "b", "c", "d")


class Network:
    """Upstreams of which some answer, and the paths of a host to them."""

    def __init__(self) -> None:
        self.answering = set(NAMES)
        self.is_silent = False
        self.probes: list[float] = []
        self.changes: list[bool] = []
        entries = [make_entry(name) for name in NAMES]
        self.paths = UpstreamPaths(
            probe=self._probe, known=lambda: entries, clock=Clock(), rng=Random(1)
        )
        self.paths.changes.subscribe(self.changes.append)

    async def _probe(self, entry: UpstreamEntry, force_new: bool) -> bool:
        self.probes.append(asyncio.get_running_loop().time())
        await asyncio.sleep(60 if self.is_silent else 0.002)
        return entry.upstream in self.answering

    def fail(self, *names: str) -> None:
        """Let requests fail, one after the other."""
        for name in names:
            self.paths.record_unreached(UpstreamId(name))


def _run(scenario: Callable[[Network], Coroutine[Any, Any, None]]) -> Network:
    async def run() -> Network:
        network = Network()
        await asyncio.sleep(5)
        await scenario(network)
        await network.paths.stop()
        return network

    return run_virtually(run())


@pytest.mark.parametrize("failing", [("a",), ("a", "a", "a")])
def test_host_is_not_cut_off_when_a_single_upstream_fails(failing: tuple[str, ...]) -> None:
    async def scenario(network: Network) -> None:
        network.answering = set()
        network.fail(*failing)
        await asyncio.sleep(2)

    network = _run(scenario)
    assert (network.probes, network.changes) == ([], [])


def test_host_is_not_cut_off_when_other_upstreams_answer_a_probe() -> None:
    async def scenario(network: Network) -> None:
        network.answering = {"c", "d"}
        network.fail("a", "b")
        await asyncio.sleep(2)

    network = _run(scenario)
    assert (len(network.probes), network.changes) == (1, [])


def test_upstreams_are_not_probed_when_one_answers_between_two_failures() -> None:
    async def scenario(network: Network) -> None:
        network.fail("a")
        network.paths.record_reached()
        network.fail("b")
        await asyncio.sleep(2)

    assert _run(scenario).probes == []


@pytest.mark.parametrize("is_silent", [False, True])
def test_host_is_cut_off_within_a_second_when_no_upstream_answers(is_silent: bool) -> None:
    async def scenario(network: Network) -> None:
        network.answering, network.is_silent = set(), is_silent
        network.fail("a", "b")
        await asyncio.sleep(1)
        assert network.paths.is_cut_off

    assert _run(scenario).changes == [True]


def test_host_is_cut_off_within_a_second_and_a_half_when_requests_stay_unanswered() -> None:
    async def scenario(network: Network) -> None:
        network.answering, network.is_silent = set(), True
        network.paths.begin_request()
        await asyncio.sleep(1.5)
        assert network.paths.is_cut_off

    assert _run(scenario).changes == [True]


def test_host_is_not_cut_off_when_one_upstream_is_silent_for_a_second() -> None:
    async def scenario(network: Network) -> None:
        number = network.paths.begin_request()
        await asyncio.sleep(1)
        network.paths.end_request(number)
        network.paths.record_reached()
        await asyncio.sleep(2)

    network = _run(scenario)
    assert (len(network.probes), network.changes) == (1, [])


def test_upstreams_are_not_probed_when_no_request_is_under_way() -> None:
    async def scenario(network: Network) -> None:
        network.paths.end_request(network.paths.begin_request())
        await asyncio.sleep(10)

    assert _run(scenario).probes == []


def test_host_has_a_path_again_within_a_second_when_upstreams_answer() -> None:
    async def scenario(network: Network) -> None:
        network.answering = set()
        network.fail("a", "b")
        await asyncio.sleep(5)
        probes = len(network.probes)
        assert 8 <= probes <= 24
        network.answering = set(NAMES)
        await asyncio.sleep(1)
        assert not network.paths.is_cut_off
        await asyncio.sleep(5)
        assert len(network.probes) == probes + 1

    assert _run(scenario).changes == [True, False]


# A host with more requests than it could handle refused all of them, as its probes timed out.
@pytest.mark.parametrize(("heard_after_s", "is_cut_off"), [(0.05, True), (0.3, False)])
def test_host_is_not_cut_off_when_an_upstream_answers_while_probes_time_out(
    heard_after_s: float, is_cut_off: bool
) -> None:
    async def scenario(network: Network) -> None:
        network.is_silent = True
        network.fail("a", "b")
        await asyncio.sleep(heard_after_s)
        network.paths.record_reached()
        await asyncio.sleep(1)

    assert _run(scenario).changes == ([True] if is_cut_off else [])


# Guards against a host that stays cut off because one probe ended its check unexpectedly.
def test_host_finds_a_path_when_the_probe_of_another_upstream_fails_unexpectedly() -> None:
    class FailingNetwork(Network):
        async def _probe(self, entry: UpstreamEntry, force_new: bool) -> bool:
            if entry.upstream in ("a", "b", "c"):
                raise ArithmeticError("This was not expected.")
            return await super()._probe(entry, force_new)

    async def run() -> Network:
        network = FailingNetwork()
        await asyncio.sleep(5)
        network.answering = set()
        network.fail("a", "b")
        await asyncio.sleep(5)
        assert network.paths.is_cut_off
        network.answering = set(NAMES)
        await asyncio.sleep(10)
        await network.paths.stop()
        return network

    network = run_virtually(run())
    assert network.changes == [True, False]
