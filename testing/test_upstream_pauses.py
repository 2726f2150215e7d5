"""Pauses that upstreams ask for, and what is not sent to paused engines besides new requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding._copier import Copier
from tanagerscale.forwarding._resuming import RunResumer
from tanagerscale.forwarding._segments import RunProgress
from tanagerscale.forwarding._segments import SegmentSender
from tanagerscale.forwarding._segments import StreamSegment
from tanagerscale.forwarding._snapshots import ResumeTarget
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamNotice
from tanagerscale.upstreams import UpstreamPauses
from tanagerscale.upstreams._pauses import MAX_REQUESTS_IN_PAUSE
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import Reaction
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._move_harness import MoveHarness
from testing._random_cases import random_case_settings
from testing._virtual_time import run_virtually

X, Y, Z = (UpstreamId(name) for name in "xyz")
PAUSE_MS = 3000
LONG_PAUSE_MS = 6000
"""Longer than a run waits for the end of a pause."""
PROGRESS = RunProgress(tokens=1000, answer_tokens=100, event=25)


def _make_fakes(*names: str) -> GatewayFakes:
    return make_gateway_fakes(*(make_entry(name) for name in names))


def _full_response() -> FakeResponse:
    return FakeResponse(status=503, not_executed=True)


@random_case_settings(examples=200)
@given(
    st.lists(st.tuples(st.integers(0, 50), st.integers(-5, 100)), min_size=1, max_size=8),
    st.lists(st.integers(0, 500), max_size=20),
)
def test_upstream_is_paused_until_the_last_of_its_pauses_ends(
    steps: list[tuple[int, int]], checks_ms: list[int]
) -> None:
    async def scenario() -> None:
        clock = Clock()
        pauses = UpstreamPauses(clock=clock)
        changed: list[bool] = []
        pauses.changes.subscribe(lambda upstream: changed.append(pauses.is_paused(upstream)))
        spans = []
        for delay_ms, pause_ms in steps:
            await clock.sleep(delay_ms)
            pauses.record(upstream=X, pause_ms=pause_ms)
            spans.append((clock.now(), clock.now() + pause_ms))
        for check_ms in sorted(checks_ms):
            await clock.sleep(max(check_ms - clock.now(), 0))
            left_ms = max((end - clock.now() for _, end in spans), default=0)
            assert pauses.is_paused(X) is (left_ms > 0)
            assert pauses.paused == ({X} if left_ms > 0 else frozenset())
            assert pauses.shortest_ms([X]) == (left_ms if left_ms > 0 else None)
        await clock.sleep(200)
        assert changed == [True, False] * (len(changed) // 2)
        assert not pauses._ends
        assert not pauses._timers

    run_virtually(scenario())


def test_shortest_pause_counts_only_when_all_upstreams_are_paused() -> None:
    async def scenario() -> None:
        pauses = UpstreamPauses(clock=Clock())
        pauses.on_notice(UpstreamNotice(upstream=X, pause_ms=PAUSE_MS))
        pauses.on_notice(UpstreamNotice(upstream=Y, pause_ms=2 * PAUSE_MS))
        pauses.on_notice(UpstreamNotice(upstream=Z, is_leaving=True))
        assert pauses.shortest_ms([X, Y]) == PAUSE_MS
        assert pauses.shortest_ms([X, Y, Z]) is None
        assert pauses.shortest_ms([]) is None

    run_virtually(scenario())


def test_pause_asked_of_the_decider_does_not_exclude_the_engine_for_other_hosts() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x")
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        ask = PlaceAsk(
            serial=1,
            request="1",
            service=fakes.upstreams.entries[0].service,
            prompt_tokens=1000,
            is_long=True,
            left_ms=1500,
            patience_ms=3000,
            waited_ms=0,
        )
        fakes.single_host.coordinator.queue.submit(
            host=HostId("other"), domain=FailureDomainId("a"), ask=ask
        )
        assert fakes.single_host.coordinator.queue.waiting == 0
        assert fakes.totals()[X].waiting == 1

    run_virtually(scenario())


def test_move_order_is_rejected_when_its_target_is_paused() -> None:
    async def scenario() -> None:
        harness = MoveHarness("x", "y")
        run = harness.add("1", at="x")
        harness.fakes.pauses.record(upstream=Y, pause_ms=PAUSE_MS)
        order = MoveOrder(
            number=1, kind=MoveKind.LEAVE, request=run.request, source="x", target="y"
        )
        assert not (await harness.movers.execute_order(order)).is_done
        assert harness.fakes.engines.copies == []

    run_virtually(scenario())


@pytest.mark.parametrize(("pause_ms", "reports"), [(0, 1), (PAUSE_MS, 0)])
def test_target_without_memory_for_a_copy_is_queried_only_when_it_is_not_paused(
    pause_ms: int, reports: int
) -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x")
        fakes.pauses.record(upstream=X, pause_ms=pause_ms)
        await Copier(context=fakes.context)._check_target_memory(make_entry("x"))
        assert fakes.engines.reports == reports

    run_virtually(scenario())


def test_paused_engine_is_not_polled() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x")
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        await fakes.single_host.coordinator.query_engine(X)
        assert fakes.engines.reports == 0
        await asyncio.sleep(PAUSE_MS / 1000)
        await fakes.single_host.coordinator.query_engine(X)
        assert fakes.engines.reports == 1

    run_virtually(scenario())


async def _resume(
    fakes: GatewayFakes, *, entry: str, holder: str
) -> StreamSegment | Snapshot | None:
    routed = route_request(make_request(prompt=1000), make_route(kind=RouteKind.STREAMING))
    sender = SegmentSender(routed=routed, context=fakes.context)
    resumer = RunResumer(routed=routed, context=fakes.context, sender=sender)
    target = ResumeTarget(entry=make_entry(entry), holder=make_entry(holder), copy="1")
    return await resumer.resume(resume_target=target, progress=PROGRESS)


def test_run_resumes_at_the_other_holder_of_its_copy_when_one_is_paused() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.pauses.record(upstream=Y, pause_ms=PAUSE_MS)
        assert isinstance(await _resume(fakes, entry="y", holder="x"), StreamSegment)
        assert fakes.upstream_client.asked == ["x"]

    run_virtually(scenario())


def test_run_is_resumed_once_at_a_paused_engine_when_no_other_one_holds_its_copy() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x")
        fakes.upstream_client.set("x", *(_full_response() for _ in range(5)))
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        assert await _resume(fakes, entry="x", holder="x") is None
        assert fakes.upstream_client.asked == ["x"]

    run_virtually(scenario())


# Guards against streams that are lost although a paused engine would take them from their copy.
@pytest.mark.parametrize(
    "reaction",
    [lambda: ExchangeError(ExchangeFailure.NOT_SENT, "refused"), lambda: _full_response()],
    ids=["unreachable", "full"],
)
def test_run_resumes_at_a_paused_engine_when_the_other_holder_does_not_take_it(
    reaction: Callable[[], Reaction],
) -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.upstream_client.set("y", *(reaction() for _ in range(9)))
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        resumed = await _resume(fakes, entry="x", holder="y")
        assert isinstance(resumed, StreamSegment)
        assert fakes.upstream_client.asked == ["y", "x"]

    run_virtually(scenario())


def test_run_is_asked_for_again_at_the_other_holder_when_the_paused_engine_refuses_it() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.upstream_client.set("x", *(_full_response() for _ in range(9)))
        fakes.upstream_client.set("y", *(_full_response() for _ in range(3)))
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        resumed = await _resume(fakes, entry="x", holder="y")
        assert isinstance(resumed, StreamSegment)
        assert fakes.upstream_client.asked == ["y", "x", "y", "y", "y"]

    run_virtually(scenario())


# Guards against losing the streams that a paused engine would take when its pause has ended, and
# against sending them during the pause.
def test_runs_that_can_only_resume_at_a_paused_engine_wait_when_its_pause_is_short() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x")
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        await asyncio.sleep(1)
        resuming = [asyncio.create_task(_resume(fakes, entry="x", holder="x")) for _ in range(6)]
        await asyncio.sleep(PAUSE_MS / 1000 - 1.001)
        assert fakes.upstream_client.asked == ["x"] * MAX_REQUESTS_IN_PAUSE
        resumed = await asyncio.gather(*resuming)
        assert all(isinstance(one, StreamSegment) for one in resumed)
        assert fakes.context.clock.now() <= PAUSE_MS + 10

    run_virtually(scenario())


# Guards against many streams that resume at one paused engine at the same time.
def test_paused_engine_gets_two_requests_at_most_when_many_runs_can_only_resume_there() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x")
        fakes.pauses.record(upstream=X, pause_ms=LONG_PAUSE_MS)
        await asyncio.sleep(1)
        resumed = [await _resume(fakes, entry="x", holder="x") for _ in range(6)]
        assert sum(isinstance(one, StreamSegment) for one in resumed) == MAX_REQUESTS_IN_PAUSE
        assert fakes.upstream_client.asked == ["x"] * MAX_REQUESTS_IN_PAUSE
        await asyncio.sleep(LONG_PAUSE_MS / 1000)
        assert isinstance(await _resume(fakes, entry="x", holder="x"), StreamSegment)

    run_virtually(scenario())
