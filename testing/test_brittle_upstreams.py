"""Upstreams that say that they are brittle are not made to turn away more than they bear."""

from __future__ import annotations

import asyncio

from standins.brittle_rule import allowed_falls
from standins.brittle_rule import count_falls
from standins.retry_budget_rule import RetryBudgetRule
from testing._counted_upstreams import BRITTLE_LIMIT
from testing._counted_upstreams import CountedFleet
from testing._counted_upstreams import run_with_counted_fleet

ENGINES = 3
DOWN_MS = 3_000
RULE = RetryBudgetRule(ratio=0.2, slack=58.0)


def test_fall_is_counted_when_more_are_turned_away_within_a_second() -> None:
    assert count_falls([0, 10, 20, 30], limit=4, down_ms=DOWN_MS) == 0
    assert count_falls([0, 10, 20, 30, 40], limit=4, down_ms=DOWN_MS) == 1
    assert count_falls([0, 400, 800, 1200, 1600, 2000], limit=4, down_ms=DOWN_MS) == 0


# Each host sent a brittle upstream as much as before, since nobody reads what it says.
def test_brittle_upstreams_stay_up_when_they_let_fewer_wait() -> None:
    async def scenario(fleet: CountedFleet) -> int:
        await fleet.load(per_s=60, seconds=3)
        fleet.upstreams.brittle_room = 1
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.load(per_s=60, seconds=8, seed=2))
        return sum(
            count_falls(times, limit=BRITTLE_LIMIT, down_ms=DOWN_MS)
            for times in fleet.upstreams.turned_away.values()
        )

    falls = run_with_counted_fleet(scenario, rule=RULE, hosts=9, engines=ENGINES)
    assert falls <= allowed_falls(ENGINES)
