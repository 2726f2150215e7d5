"""Move orders: at most one copy per engine link at a time, including when hosts fail."""

from __future__ import annotations

import asyncio
from itertools import pairwise

import pytest

from tanagerscale.coordination._move_orders import TARGET_EXCLUSION_MS
from tanagerscale.coordination._planner import ORDER_TIMEOUT_MS
from tanagerscale.coordination._planner import PLANNING_DELAY_MS
from tanagerscale.coordination._planner import PLANNING_INTERVAL_MS
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import HostRuns
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.generated.messages import RunUse
from tanagerscale.membership import Message
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._single_host import HOST
from testing._virtual_time import run_virtually

COPY_S = 0.3


class PlannerHarness:
    """Hosts that use one decider, and the orders it sends."""

    def __init__(self, *engines: str) -> None:
        self.fakes: GatewayFakes = make_gateway_fakes(*(make_entry(name) for name in engines))
        self.coordinator = self.fakes.single_host.coordinator
        self.ordered: list[tuple[str, MoveOrder, int]] = []
        self.coordinator.planner._send_order = self._send_order
        self.gone: set[str] = set()

    def _send_order(self, host: HostId, message: Message) -> bool:
        assert isinstance(message, MoveOrder)
        if host in self.gone:
            return False
        self.ordered.append((host, message, self.fakes.context.clock.now()))
        return True

    def report(
        self, host: str, *names: str, at: str = "x", number: int = 1, paused: tuple[str, ...] = ()
    ) -> None:
        """Report long generations of a host on an engine, and the engines paused at that host."""
        runs = [
            RunUse(request=name, upstream=at, tokens=4000, made=1000, is_long=True, begun_ms=2000)
            for name in names
        ]
        report = HostRuns(number=number, decider=HOST, runs=runs, paused=list(paused))
        self.coordinator.on_message(HostId(host), report)

    def leave(self, name: str) -> None:
        """Mark an engine as leaving."""
        self.fakes.upstreams.leaving.add(name)
        self.coordinator.on_upstreams(UpstreamId(name))

    def end(self, number: int, *, is_done: bool = True) -> None:
        """Report the end of an order as its host."""
        host, order, _ = self.ordered[number]
        self.coordinator.on_message(HostId(host), MoveDone(number=order.number, is_done=is_done))


# Guards against runs that stay on a leaving engine because orders name paused targets.
def test_run_of_a_leaving_engine_goes_to_an_engine_that_is_not_paused_at_its_host() -> None:
    async def scenario() -> None:
        harness = PlannerHarness("x", "a", "b", "c", "d", "e", "f")
        harness.report("host-1", "r1", paused=("a", "b", "c", "d", "e"))
        harness.leave("x")
        await asyncio.sleep(COPY_S)
        assert [order.target for _, order, _ in harness.ordered] == ["f"]

    run_virtually(scenario())


def test_run_of_a_leaving_engine_is_moved_when_the_pause_of_its_only_target_ends() -> None:
    async def scenario() -> None:
        harness = PlannerHarness("x", "a")
        harness.report("host-1", "r1", paused=("a",))
        harness.leave("x")
        await asyncio.sleep(COPY_S)
        assert harness.ordered == []
        harness.report("host-1", "r1", number=2)
        await asyncio.sleep(COPY_S)
        assert [order.target for _, order, _ in harness.ordered] == ["a"]

    run_virtually(scenario())


def test_copies_from_one_engine_never_overlap_across_hosts() -> None:
    async def scenario() -> None:
        harness = PlannerHarness("x", "y", "z")
        for number in range(4):
            harness.report(f"host-{number}", f"r{number}")
        harness.leave("x")
        for number in range(4):
            assert len(harness.ordered) == number + 1
            await asyncio.sleep(COPY_S)
            harness.report(f"host-{number}", f"r{number}", at="y", number=2)
            harness.end(number)
        assert len({order.request for _, order, _ in harness.ordered}) == 4

    run_virtually(scenario())


def test_copies_that_share_no_engine_run_concurrently() -> None:
    async def scenario() -> None:
        harness = PlannerHarness("x", "y", "z", "w")
        harness.report("a", "1", at="x")
        harness.report("b", "2", at="z")
        harness.fakes.upstreams.leaving |= {"x", "z"}
        harness.leave("x")
        harness.leave("z")
        await asyncio.sleep(0.05)
        used = [{order.source, order.target} for _, order, _ in harness.ordered]
        assert len(used) == 2
        assert not used[0] & used[1]

    run_virtually(scenario())


def test_next_copy_starts_when_the_host_of_the_current_copy_disconnects() -> None:
    async def scenario() -> list[str]:
        harness = PlannerHarness("x", "y")
        harness.report("a", "1")
        harness.report("b", "2")
        harness.leave("x")
        await asyncio.sleep(0.1)
        first = harness.ordered[0][0]
        harness.coordinator.on_gone(HostId(first))
        await asyncio.sleep(2 * PLANNING_DELAY_MS / 1000)
        return sorted(host for host, *_ in harness.ordered)

    assert run_virtually(scenario()) == ["a", "b"]


def test_next_copy_starts_when_the_current_order_times_out() -> None:
    async def scenario() -> int:
        harness = PlannerHarness("x", "y")
        harness.report("a", "1")
        harness.report("b", "2")
        harness.leave("x")
        await asyncio.sleep(1.2)
        return harness.ordered[1][2]

    assert ORDER_TIMEOUT_MS <= run_virtually(scenario()) <= ORDER_TIMEOUT_MS + 110


def test_unreachable_host_does_not_block_orders_for_other_hosts() -> None:
    async def scenario() -> None:
        harness = PlannerHarness("x", "y")
        harness.gone.add("a")
        harness.report("a", "1")
        harness.report("b", "2")
        harness.leave("x")
        await asyncio.sleep(0.05)
        assert [host for host, *_ in harness.ordered] == ["b"]

    run_virtually(scenario())


def test_remaining_copies_are_not_all_ordered_at_the_end_of_a_notice() -> None:
    async def scenario() -> int:
        harness = PlannerHarness("x", "y", "z")
        for number in range(8):
            harness.report(f"host-{number}", f"r{number}")
        harness.leave("x")
        # No host reports the end of a copy, until the notice is over.
        await asyncio.sleep(3)
        return len(harness.ordered)

    assert run_virtually(scenario()) == 2


@pytest.mark.parametrize("failures", [1, 3])
def test_run_is_tried_on_another_engine_after_a_failed_move(
    failures: int,
) -> None:
    async def scenario() -> None:
        harness = PlannerHarness("x", "y", "z", "w", "v")
        harness.report("a", "1")
        harness.leave("x")
        for number in range(failures):
            harness.end(number, is_done=False)
            await asyncio.sleep(0.25)
        targets = [order.target for _, order, _ in harness.ordered]
        assert len(targets) == failures + 1
        assert len(set(targets)) == failures + 1

    run_virtually(scenario())


def test_completion_of_an_order_from_another_host_is_ignored() -> None:
    async def scenario() -> int:
        harness = PlannerHarness("x", "y")
        harness.report("a", "1")
        harness.report("b", "2")
        harness.leave("x")
        host, order, _ = harness.ordered[0]
        other = HostId("b" if host == "a" else "a")
        harness.coordinator.on_message(other, MoveDone(number=order.number, is_done=True))
        await asyncio.sleep(0.1)
        return len(harness.ordered)

    assert run_virtually(scenario()) == 1


# Guards against asking an engine that takes no run again and again while its runs could wait.
def test_target_that_fails_again_is_excluded_for_longer() -> None:
    async def scenario() -> list[int]:
        harness = PlannerHarness("x", "a")
        harness.report("host-1", "r1")
        harness.leave("x")
        began = harness.fakes.context.clock.now()
        for number in range(2):
            while len(harness.ordered) == number:
                await asyncio.sleep(0.001)
            harness.end(number, is_done=False)
        await asyncio.sleep(1.0)
        return [sent_at - began for _, _, sent_at in harness.ordered]

    times = run_virtually(scenario())
    pauses = [later - earlier for earlier, later in pairwise(times)]
    for pause_ms, failures in zip(pauses, range(2), strict=True):
        excluded_ms = TARGET_EXCLUSION_MS * 2**failures
        assert excluded_ms <= pause_ms <= excluded_ms + PLANNING_INTERVAL_MS + PLANNING_DELAY_MS
