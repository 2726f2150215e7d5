"""What all hosts together send more than once stays within the retry budget, and is used."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from standins.retry_budget_rule import RetryBudgetRule
from tanagerscale.generated.messages import RepeatClass
from testing._counted_upstreams import CountedFleet
from testing._counted_upstreams import CountedUpstreams
from testing._counted_upstreams import find_excess
from testing._counted_upstreams import lost_streams
from testing._counted_upstreams import run_with_counted_fleet
from testing._counted_upstreams import used_share
from testing._forwarding_fleet import LONG_ROUTE
from testing._forwarding_fleet import PLAIN_ROUTE
from testing._forwarding_fleet import SHORT_ROUTE
from testing._gateway_fakes import SERVICE

RULE = RetryBudgetRule(ratio=0.2, slack=58.0)
NOTHING = RetryBudgetRule(ratio=0.0, slack=0.0)
ONLY_SLACK = RetryBudgetRule(ratio=0.0, slack=58.0)
ALL_ENGINES = frozenset(f"e{number}" for number in range(6))
MIXED_ROUTES = (PLAIN_ROUTE, SHORT_ROUTE, LONG_ROUTE)


def _leave_alone(fleet: CountedFleet) -> None:
    """Disturb nothing, so that only rebalancing moves runs."""


def _refuse(fleet: CountedFleet) -> None:
    fleet.upstreams.refusing = {"e0", "e1"}


def _fail(fleet: CountedFleet) -> None:
    fleet.upstreams.failing = {"e0", "e1"}


def _hang(fleet: CountedFleet) -> None:
    fleet.upstreams.hanging = {"e0", "e1"}


def _crash(fleet: CountedFleet) -> None:
    fleet.upstreams.crash("e0")
    fleet.upstreams.crash("e1")


def _leave(fleet: CountedFleet) -> None:
    fleet.fleet.set_engine("e0", state="leaving")


# Runs that continued on another engine were sent without asking for the budget.
@pytest.mark.parametrize("disturb", [_leave_alone, _refuse, _fail, _hang, _crash, _leave])
def test_nothing_is_sent_more_than_once_when_the_budget_is_empty(
    disturb: Callable[[CountedFleet], None],
) -> None:
    async def scenario(fleet: CountedFleet) -> int:
        load = asyncio.create_task(fleet.load(per_s=10, seconds=8, routes=MIXED_ROUTES))
        await asyncio.sleep(5)
        disturb(fleet)
        await asyncio.sleep(4)
        load.cancel()
        return fleet.upstreams.repeats

    assert run_with_counted_fleet(scenario, rule=NOTHING, hosts=5) == 0


def _crash_while_resumes_are_refused(upstreams: CountedUpstreams) -> None:
    upstreams.refusing_resumes = set(ALL_ENGINES)
    upstreams.crash("e0")
    upstreams.crash("e1")


# A third of the engines crashed, and each run was sent five times to the holder of its copy.
def test_repeats_stay_within_the_budget_when_runs_of_a_crashed_domain_are_refused() -> None:
    async def scenario(fleet: CountedFleet) -> str:
        load = asyncio.create_task(fleet.load(per_s=7, seconds=10, routes=[LONG_ROUTE]))
        await asyncio.sleep(6)
        assert fleet.upstreams.running > 20
        _crash_while_resumes_are_refused(fleet.upstreams)
        await load
        return find_excess(fleet, RULE)

    assert run_with_counted_fleet(scenario, rule=RULE) == ""


# Each host credited the budget with the requests of a long calm time as it first asked.
def test_repeats_stay_within_the_budget_when_upstreams_refuse_after_a_calm_time() -> None:
    async def scenario(fleet: CountedFleet) -> str:
        await fleet.load(per_s=80, seconds=20)
        fleet.upstreams.refusing = set(ALL_ENGINES)
        await fleet.load(per_s=80, seconds=9, seed=3)
        return find_excess(fleet, RULE)

    assert run_with_counted_fleet(scenario, rule=RULE, hosts=18) == ""


async def _freeze_decider(fleet: CountedFleet) -> None:
    network, decider = fleet.fleet.network, fleet.hosts[-1].host.decider
    links = {frozenset((decider, host.name)) for host in fleet.fleet.hosts if host.name != decider}
    network.frozen |= links
    await asyncio.sleep(0.5)
    network.frozen -= links


async def _kill_decider(fleet: CountedFleet) -> None:
    decider = fleet.hosts[-1].host.decider
    await fleet.kill(next(one for one in fleet.hosts if one.host.name == decider))
    await asyncio.sleep(0.5)


# A host to which the others turned granted its whole reserve, beside that of the decider before it.
@pytest.mark.parametrize("disturb", [_freeze_decider, _kill_decider])
def test_repeats_stay_within_the_budget_when_hosts_turn_to_other_deciders(
    disturb: Callable[[CountedFleet], Awaitable[None]],
) -> None:
    async def scenario(fleet: CountedFleet) -> str:
        await fleet.load(per_s=10, seconds=12, routes=[LONG_ROUTE, PLAIN_ROUTE])
        fleet.upstreams.refusing = set(ALL_ENGINES)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.load(per_s=40, seconds=9, seed=5))
            tasks.create_task(fleet.load(per_s=20, seconds=9, seed=6, routes=[SHORT_ROUTE]))
            for _ in range(3):
                await asyncio.sleep(2)
                await disturb(fleet)
        return find_excess(fleet, ONLY_SLACK)

    assert run_with_counted_fleet(scenario, rule=ONLY_SLACK) == ""


def _count_uncopied_runs(fleet: CountedFleet, *engines: str) -> int:
    """Return how many runs on some engines have no copy elsewhere, so that they end with these."""
    runs = [run for host in fleet.hosts for run in host.mover.runs]
    return sum(
        run.entry is not None
        and run.entry.upstream in engines
        and (run.snapshot is None or run.snapshot.entry.upstream in engines)
        for run in runs
    )


def test_runs_with_a_copy_continue_within_the_budget_when_a_third_of_the_engines_crashes() -> None:
    async def scenario(fleet: CountedFleet) -> tuple[int, int, str]:
        load = asyncio.create_task(fleet.load(per_s=7, seconds=10, routes=[LONG_ROUTE]))
        await asyncio.sleep(7)
        uncopied = _count_uncopied_runs(fleet, "e0", "e1")
        _crash(fleet)
        await load
        return lost_streams(fleet), uncopied, find_excess(fleet, RULE)

    lost, uncopied, excess = run_with_counted_fleet(scenario, rule=RULE)
    assert lost <= uncopied
    assert excess == ""


def test_half_of_the_budget_is_used_when_all_upstreams_refuse_for_a_window() -> None:
    async def scenario(fleet: CountedFleet) -> float:
        await fleet.load(per_s=40, seconds=10)
        fleet.upstreams.refusing = set(ALL_ENGINES)
        await fleet.load(per_s=40, seconds=11, seed=3)
        return used_share(fleet, RULE)

    assert run_with_counted_fleet(scenario, rule=RULE) >= 0.5


def test_run_waits_on_its_copy_when_the_budget_is_used_up() -> None:
    async def scenario(fleet: CountedFleet) -> tuple[int, int]:
        load = asyncio.create_task(fleet.load(per_s=3, seconds=9, routes=[LONG_ROUTE]))
        await asyncio.sleep(6)
        decider = next(one for one in fleet.fleet.hosts if one.name == fleet.fleet.hosts[0].decider)
        while decider.control.retry_budgets.try_acquire(service=SERVICE, kind=RepeatClass.RESUMED):
            pass
        uncopied = _count_uncopied_runs(fleet, "e0")
        fleet.upstreams.crash("e0")
        await load
        return lost_streams(fleet), uncopied

    lost, uncopied = run_with_counted_fleet(scenario, rule=RULE)
    assert lost <= uncopied
