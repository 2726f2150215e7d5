"""A waiting request at a host to which the verdicts on it are lost."""

from __future__ import annotations

import asyncio

import pytest

from testing import test_crash_event_order as crash_events
from testing._crash_event_scenarios import Event
from testing._crash_event_scenarios import OwnerChange
from testing._crash_event_scenarios import Role
from testing._crash_event_scenarios import Scenario
from testing._virtual_time import run_virtually

LONGEST_WAIT_S = 400
"""Time after which the calls have ended also with the fault."""


@pytest.mark.parametrize("waiting_at_owner", [False, True])
@pytest.mark.parametrize("restarted", [None, (0, 0), (1, 0)])
def test_call_ends_when_the_verdicts_to_its_host_are_dropped(
    waiting_at_owner: bool, restarted: tuple[int, int] | None
) -> None:
    # Guards against a verdict that is lost because the queue to a peer is full, and not repeated.
    scenario = Scenario(
        order=((Event.CRASH_SEEN_BY_RUNNER,), (Event.LOSS_SEEN_BY_OWNER,)),
        owner_change=OwnerChange.LEAVES,
        waiting_at_owner=waiting_at_owner,
        runner_at_owner=False,
        others_waiting=True,
        frozen=Role.RUNNER,
        start_ms=50,
        gap_ms=30,
        restarted=restarted,
    )

    async def run() -> None:
        case = crash_events.Case(scenario)
        await case.run()
        pending = [call.task for call in case.live_calls if not call.task.done()]
        if pending:
            await asyncio.wait(pending, timeout=LONGEST_WAIT_S)
        case.assert_calls_ended()
        case.assert_nothing_left()

    run_virtually(run())
