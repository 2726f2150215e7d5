"""Decisions of one host for all others in a burst, while its processor is short.

Load: 75 hosts report hundreds of changes a second while hundreds of generations wait for 30
engines.
"""

from __future__ import annotations

import asyncio

import pytest

from tanagerscale.coordination._client import DECIDER_TIMEOUT_MS
from tanagerscale.coordination._directory import ALONE_AFTER_MS
from tanagerscale.coordination._directory import DISTRUST_MS
from tanagerscale.coordination._engine_views import EvaluationViews
from tanagerscale.coordination._pacing import Pacing
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import RunUse
from tanagerscale.policy import EngineView
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._many_hosts import Fleet
from testing._single_host import HOST
from testing._virtual_time import run_virtually

ENGINES = 30
HOSTS = 75
RUNS_PER_ENGINE = 10
WAITING = 300


def _runs(number: int) -> HostRuns:
    runs = [
        RunUse(request=f"{number}-{engine}", upstream=f"e{engine}", tokens=3300, is_long=True)
        for engine in range(ENGINES)
    ]
    return HostRuns(number=1, decider=HOST, runs=runs)


# Guards against evaluations whose cost grows with waiting generations times engines.
def test_views_are_built_once_for_each_engine_when_hundreds_of_generations_wait(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    built: list[UpstreamId] = []
    build = EvaluationViews.view

    def counted(views: EvaluationViews, entry: UpstreamEntry) -> EngineView:
        before = views.built
        view = build(views, entry)
        built.extend([entry.upstream] * (views.built - before))
        return view

    async def scenario() -> int:
        fakes = make_gateway_fakes(*(make_entry(f"e{number}") for number in range(ENGINES)))
        coordinator = fakes.single_host.coordinator
        for number in range(RUNS_PER_ENGINE):
            coordinator.on_message(HostId(f"h{number}"), _runs(number))
        for serial in range(WAITING):
            ask = PlaceAsk(
                serial=serial,
                request=f"w{serial}",
                service="service",
                prompt_tokens=3000,
                is_long=True,
                left_ms=3000,
                patience_ms=3000,
            )
            coordinator.on_message(HostId(f"h{serial % HOSTS}"), ask)
        monkeypatch.setattr(EvaluationViews, "view", counted)
        coordinator.queue.reevaluate()
        return coordinator.queue.waiting

    assert run_virtually(scenario()) == WAITING
    assert len(built) <= ENGINES


# Guards against a decider that only evaluates, and answers no asks, when changes come quickly.
def test_work_takes_its_share_of_the_time_at_most_when_it_is_requested_all_the_time() -> None:
    now = [0.0]
    busy_s = 0.0
    pacing = Pacing(max_share=0.3, now_s=lambda: now[0])
    while now[0] < 10.0:
        if pacing.delay_ms() == 0:
            with pacing.measure():
                now[0] += 0.02
                busy_s += 0.02
        now[0] += 0.001
    assert 0.25 <= busy_s / now[0] <= 0.32


def test_work_is_not_delayed_when_it_takes_no_time() -> None:
    pacing = Pacing(max_share=0.3, now_s=lambda: 1.0)
    with pacing.measure():
        pass
    assert pacing.delay_ms() == 0


# Guards against hosts that all decide by themselves, knowing no runs but their own, while every
# coordinator is slow.
def test_host_asks_a_silent_coordinator_again_when_none_answers_in_time() -> None:
    async def scenario() -> tuple[bool, bool, bool]:
        fleet = Fleet()
        await fleet.start(count=6, domains=2)
        member = fleet.members[0]
        directory = member.control.directory
        coordinators = directory.coordinators
        directory.record_answer(coordinators[0])
        for coordinator in coordinators:
            directory.distrust(coordinator)
            await asyncio.sleep(DECIDER_TIMEOUT_MS / 1000)
        asks_the_first = directory.decider == coordinators[0]
        await asyncio.sleep(ALONE_AFTER_MS / 1000)
        decides_alone = directory.decider == member.id
        await asyncio.sleep(DISTRUST_MS / 1000)
        return asks_the_first, decides_alone, directory.decider == coordinators[0]

    assert run_virtually(scenario()) == (True, True, True)


# Guards against asking, without end and at one moment, coordinators to which nothing can be sent.
def test_host_decides_by_itself_when_all_coordinators_fail_at_one_moment() -> None:
    async def scenario() -> bool:
        fleet = Fleet()
        await fleet.start(count=6, domains=2)
        member = fleet.members[0]
        directory = member.control.directory
        directory.record_answer(directory.coordinators[0])
        for coordinator in directory.coordinators:
            directory.distrust(coordinator)
        return directory.decider == member.id

    assert run_virtually(scenario())
