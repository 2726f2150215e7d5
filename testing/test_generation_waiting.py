"""Quarantine changes for a request that is waiting for an engine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
import random

from msgspec.structs import replace
import pytest
import pytest_asyncio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import GenerationId
from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import UpstreamId
from tanagerscale.daemon import GateHealthRecorder
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchContext
from tanagerscale.dispatch import EngineReachability
from tanagerscale.dispatch import Finish
from tanagerscale.dispatch import Generation
from tanagerscale.dispatch import GenerationRequest
from tanagerscale.dispatch._exclusions import NOT_ADMITTED_MS
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.membership import UpstreamGate
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import RetryBudget
from tanagerscale.routing import Placement
from tanagerscale.usage import UsageMeter
from testing._fake_engine import FakeEngine
from testing._fake_engine import Faults
from testing._fake_engine import ListSink

pytestmark = pytest.mark.looptime

FULL = UpstreamId("engine-1")
FREE = UpstreamId("engine-2")
TIMEOUT_S = 600
"""Longest wait for a generation to end, in virtual seconds."""
QUARANTINED = Problem(
    kind=ProblemKind.QUARANTINED,
    detail="The request crashed engines.",
    execution=Execution.NOT_EXECUTED,
    retry_after_ms=1000,
)

NO_UPSTREAM = Problem(
    kind=ProblemKind.NO_UPSTREAM,
    detail="None is left.",
    execution=Execution.NOT_EXECUTED,
    retry_after_ms=1000,
)

OVERLOADED = replace(NO_UPSTREAM, kind=ProblemKind.OVERLOADED, retry_after_ms=120_000)


class OneFullEngineRouter:
    """Places requests on the free engine at once, and on the full one once it has capacity."""

    def __init__(self) -> None:
        self.requests: list[PlacementRequest] = []
        self.placed: set[GenerationId] = set()
        self.capacity_freed = asyncio.Event()
        """Set when the full engine has capacity."""
        self.free_is_full = False
        """Whether the free engine has no capacity before the full one has."""
        self.shed_retries = False
        """Whether requests are shed after their first placement."""

    async def place(self, *, request: PlacementRequest) -> Result[Placement, Problem]:
        """Wait until an engine that is not excluded has capacity."""
        self.requests.append(request)
        if request.excluded >= {FULL, FREE}:
            return Failure(NO_UPSTREAM)
        if self.shed_retries and len(self.requests) > 1:
            return Failure(OVERLOADED)
        engine = FULL if FREE in request.excluded else FREE
        if engine == FULL or self.free_is_full:
            await self.capacity_freed.wait()
        self.placed.add(request.generation)
        return Success(Placement(generation=request.generation, engine=engine))

    def open_engines(self, *, request: PlacementRequest) -> frozenset[UpstreamId]:
        """Return both engines, which are always open."""
        return frozenset({FULL, FREE})

    def adopt(self, *, request: PlacementRequest, engine: UpstreamId, tokens: int) -> Placement:
        """Fail, because no test resumes a generation."""
        raise AssertionError("adopt() must not be called.")

    def report_progress(self, *, generation: GenerationId, tokens: int) -> None:
        """Do nothing."""

    def release(
        self, *, generation: GenerationId, tokens: int, complete: bool, engine_lost: bool
    ) -> None:
        """Remove the placement."""
        self.placed.remove(generation)


class FakeCrashWatch:
    """Excludes the free engine, as if a copy of the request ran on the full one, until updated."""

    def __init__(self) -> None:
        self.excluded = frozenset({FREE})
        self.problem: Problem | None = None
        self.changed = asyncio.Event()
        self.watchers: list[Callable[[], None]] = []
        self.refused_admissions: dict[UpstreamId, int] = {}
        """Number of admissions that are still to be refused, by engine."""
        self.admit_calls = 0
        self.excluded_after_crash: frozenset[UpstreamId] = frozenset()

    def check(self, *, fingerprint: str) -> Problem | None:
        """Return the problem that was set last."""
        return self.problem

    def excluded_engines(self, *, fingerprint: str, model: ModelId) -> frozenset[UpstreamId]:
        """Return the exclusions that were set last."""
        return self.excluded

    def engines_of_copies(self, *, fingerprint: str) -> frozenset[UpstreamId]:
        """Return no engines."""
        return frozenset()

    @contextmanager
    def watch(self, *, fingerprint: str, on_change: Callable[[], None]) -> Iterator[None]:
        """Call the function at each update while the context is open."""
        self.watchers.append(on_change)
        try:
            yield
        finally:
            self.watchers.remove(on_change)

    async def wait_change(self) -> None:
        """Wait for the next update."""
        await self.changed.wait()

    def update(
        self, *, problem: Problem | None = None, excluded: frozenset[UpstreamId] = frozenset()
    ) -> None:
        """Replace the state and wake all waiters."""
        self.problem = problem
        self.excluded = excluded
        self.changed.set()
        self.changed = asyncio.Event()
        for on_change in tuple(self.watchers):
            on_change()

    async def admit(
        self,
        *,
        fingerprint: str,
        engine: UpstreamId,
        stop: asyncio.Event,
        progress: Callable[[], int],
    ) -> bool:
        """Admit every request for which no refusal is set."""
        self.admit_calls += 1
        refusals = self.refused_admissions.get(engine, 0)
        self.refused_admissions[engine] = max(refusals - 1, 0)
        return refusals == 0

    def on_finished(
        self, *, fingerprint: str, engine: UpstreamId, stop: asyncio.Event, complete: bool
    ) -> None:
        """Do nothing."""

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Exclude the engines that are set for this."""
        self.excluded = self.excluded_after_crash


@dataclass(kw_only=True)
class Harness:
    """A generation with a fake router and a fake crash watch."""

    router: OneFullEngineRouter
    crash_watch: FakeCrashWatch
    engines: dict[UpstreamId, FakeEngine]
    generation: Generation


@pytest_asyncio.fixture
async def harness() -> Harness:
    """Return a generation that may run only on the full engine."""
    return _make_harness()


def _make_harness() -> Harness:
    clock = Clock()
    router = OneFullEngineRouter()
    crash_watch = FakeCrashWatch()
    engines = {name: FakeEngine(clock=clock, faults=Faults()) for name in (FULL, FREE)}
    gate = UpstreamGate(clock=clock, rng=random.Random(1), broadcast=lambda _message: None)
    context = DispatchContext(
        router=router,
        get_client=engines.__getitem__,
        reachability=EngineReachability(get_client=engines.__getitem__, clock=clock),
        observer=GateHealthRecorder(gate=gate),
        crash_watch=crash_watch,
        retries=RetryBudget(),
        canceller=Canceller(get_client=engines.__getitem__, clock=clock),
        meter=UsageMeter(clock=clock, objective=Objective),
        clock=clock,
        rng=random.Random(2),
    )
    request = GenerationRequest(
        generation=GenerationId("cmpl-1"),
        account=ClientAccountId("north"),
        model=ModelId("round-planner"),
        version="1",
        adapter="",
        prompt="plan",
        prompt_tokens=1,
        max_tokens=4,
        seed=7,
        priority=1,
        request_class="",
        prefix="",
        prefix_tokens=0,
        whole=False,
        fingerprint="f",
    )
    generation = Generation(request=request, sink=ListSink(), context=context)
    return Harness(router=router, crash_watch=crash_watch, engines=engines, generation=generation)


async def test_waiting_request_is_refused_at_once_when_it_is_quarantined(
    harness: Harness,
) -> None:
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    harness.crash_watch.update(problem=QUARANTINED)
    await asyncio.sleep(0.01)
    assert running.done()
    problem = running.result().failure()
    assert problem.kind is ProblemKind.QUARANTINED
    assert problem.execution is Execution.NOT_EXECUTED
    assert not harness.router.placed


async def test_waiting_request_is_placed_again_when_its_excluded_engines_change(
    harness: Harness,
) -> None:
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    harness.crash_watch.update(excluded=frozenset({FULL}))
    await asyncio.sleep(1)
    assert running.done()
    assert running.result().unwrap() == Finish(FinishReason.STOP, 4)
    assert [request.excluded for request in harness.router.requests] == [{FREE}, {FULL}]


async def test_waiting_request_keeps_its_arrival_time_when_it_is_placed_again(
    harness: Harness,
) -> None:
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    harness.crash_watch.update(excluded=frozenset({FULL}))
    await asyncio.wait({running}, timeout=TIMEOUT_S)
    first, second = harness.router.requests
    assert second.arrived == first.arrived


async def test_waiting_request_is_not_sheddable_when_it_is_placed_again(
    harness: Harness,
) -> None:
    # Guards against shedding a request that already waits for an engine.
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    harness.crash_watch.update(excluded=frozenset({FULL}))
    await asyncio.wait({running}, timeout=TIMEOUT_S)
    assert [request.sheddable for request in harness.router.requests] == [True, False]


async def test_waiting_request_is_not_placed_again_when_its_excluded_engines_are_unchanged(
    harness: Harness,
) -> None:
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    harness.crash_watch.update(excluded=frozenset({FREE}))
    await asyncio.sleep(1)
    assert len(harness.router.requests) == 1
    harness.router.capacity_freed.set()
    assert (await running).unwrap() == Finish(FinishReason.STOP, 4)


@pytest.mark.parametrize("capacity_freed", [False, True])
async def test_cancelled_wait_leaves_no_placement_or_task(
    harness: Harness, capacity_freed: bool
) -> None:
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    if capacity_freed:
        harness.router.capacity_freed.set()
    running.cancel()
    await asyncio.wait({running})
    assert running.cancelled()
    assert not harness.router.placed
    assert asyncio.all_tasks() == {asyncio.current_task()}


async def test_waiting_request_is_sent_to_an_engine_again_that_did_not_admit_it_at_first(
    harness: Harness,
) -> None:
    # Guards against waiting for a full engine while the engine that refused admission is free.
    harness.crash_watch.excluded = frozenset()
    harness.crash_watch.refused_admissions[FREE] = 1
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    harness.crash_watch.update()
    await asyncio.wait({running}, timeout=60)
    assert running.done()
    assert running.result() == Success(Finish(FinishReason.STOP, 4))


async def test_waiting_request_asks_for_admission_at_intervals_when_it_is_refused_each_time(
    harness: Harness,
) -> None:
    # Guards against a loop of placements and refused admissions without a pause.
    harness.crash_watch.excluded = frozenset()
    harness.crash_watch.refused_admissions[FREE] = 1_000_000
    running = asyncio.create_task(harness.generation.run())
    for _ in range(1000):
        await asyncio.sleep(0.01)
        harness.crash_watch.update()
    assert 2 <= harness.crash_watch.admit_calls <= 10_000 // NOT_ADMITTED_MS + 1
    harness.router.capacity_freed.set()
    assert (await running).unwrap() == Finish(FinishReason.STOP, 4)


async def test_unrestricted_waiting_request_is_refused_at_once_when_it_is_quarantined(
    harness: Harness,
) -> None:
    # Guards against a queued request that is not refused before it gets an engine.
    harness.router.free_is_full = True
    harness.crash_watch.excluded = frozenset()
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    harness.crash_watch.update(problem=QUARANTINED)
    await asyncio.sleep(0.01)
    assert running.done()
    assert running.result().failure().kind is ProblemKind.QUARANTINED
    assert not harness.router.placed


async def test_wait_ends_once_when_several_changes_arrive_together(harness: Harness) -> None:
    # Guards against an error when a change arrives after the wait has begun to end.
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    for _ in range(3):
        harness.crash_watch.update(excluded=frozenset({FULL}))
        await asyncio.sleep(0)
    await asyncio.wait({running}, timeout=TIMEOUT_S)
    assert running.result() == Success(Finish(FinishReason.STOP, 4))


@pytest.mark.parametrize("ran_s", [30, 300])
async def test_generation_waits_for_another_engine_when_it_loses_one_after_a_long_run(
    ran_s: int,
) -> None:
    # Guards against a limit on waiting that counts the time that the generation ran.
    harness = _make_harness()  # A fixture is set up outside virtual time.
    harness.crash_watch.excluded = frozenset()
    harness.crash_watch.excluded_after_crash = frozenset({FULL, FREE})
    engine = harness.engines[FREE]
    engine.step_ms = ran_s * 1000 // 3
    engine.faults.crash_at = 2
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(ran_s + 0.5)
    engine.faults.unreachable = False
    await asyncio.sleep(0.5)
    harness.crash_watch.update()
    await asyncio.wait({running}, timeout=900)
    assert running.done()
    assert running.result() == Success(Finish(FinishReason.STOP, 4))


async def test_shed_retry_is_refused_at_once_when_it_is_quarantined(harness: Harness) -> None:
    # Guards against sleeping for the whole Retry-After of the owner.
    harness.crash_watch.excluded = frozenset()
    harness.router.shed_retries = True
    harness.engines[FREE].faults.unreachable = True
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(5)
    assert not running.done()
    harness.crash_watch.update(problem=QUARANTINED)
    await asyncio.sleep(0.01)
    assert running.result().failure().kind is ProblemKind.QUARANTINED


async def test_request_is_refused_at_once_when_it_is_convicted_as_its_placement_is_refused(
    harness: Harness, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against a verdict that arrives between the refusal and the wait for a change.
    async def refuse(*, request: PlacementRequest) -> Result[Placement, Problem]:
        harness.crash_watch.update(problem=QUARANTINED)
        return Failure(NO_UPSTREAM)

    monkeypatch.setattr(harness.router, "place", refuse)
    running = asyncio.create_task(harness.generation.run())
    await asyncio.sleep(0.01)
    assert running.done()
    assert running.result().failure().kind is ProblemKind.QUARANTINED
