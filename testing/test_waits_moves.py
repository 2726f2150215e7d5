"""Runs on leaving engines whose move fails for a reason that passes."""

from __future__ import annotations

import asyncio

import pytest

from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import CopyFailure
from testing._gateway_fakes import copy_failure
from testing._move_harness import MoveHarness
from testing._virtual_time import run_virtually

NOTICE_S = 1.5
"""Time before an engine that has announced that it leaves is gone."""


# Guards against losing a stream whose only target could not take it for a moment.
@pytest.mark.parametrize("failure", [None, CopyFailure.BUSY, CopyFailure.NO_ROOM])
def test_run_is_moved_to_the_only_target_when_its_first_order_has_failed(
    failure: CopyFailure | None,
) -> None:
    async def scenario() -> int:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        if failure is not None:
            harness.fakes.engines.failures.append(copy_failure(failure))
        harness.leave("x")
        await asyncio.sleep(NOTICE_S)
        return len(run.resume_targets)

    assert run_virtually(scenario()) == 1


# Guards against excluding a target for good that was paused at the host of the run for a moment.
@pytest.mark.parametrize("pause_ms", [0, 200])
def test_run_is_moved_to_the_only_target_when_its_pause_has_ended(pause_ms: int) -> None:
    async def scenario() -> int:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.leave("x")
        assert [order.target for order in harness.single_host.orders] == ["y"]
        # The order has been sent, but not executed.
        if pause_ms:
            harness.fakes.pauses.record(upstream=UpstreamId("y"), pause_ms=pause_ms)
        await asyncio.sleep(NOTICE_S)
        return len(run.resume_targets)

    assert run_virtually(scenario()) == 1
