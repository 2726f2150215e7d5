"""A caller gets each token of a generation once and in order despite engine failures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager
from contextlib import nullcontext
from dataclasses import dataclass
import random

from hypothesis import given
from hypothesis import strategies as st
import looptime
import pytest
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
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchContext
from tanagerscale.dispatch import EngineReachability
from tanagerscale.dispatch import Finish
from tanagerscale.dispatch import Generation
from tanagerscale.dispatch import GenerationRequest
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.usage import UsageMeter
from testing._fake_engine import FakeEngine
from testing._fake_engine import FakeRouter
from testing._fake_engine import Faults
from testing._fake_engine import ListSink
from testing._fake_engine import answer_tokens
from testing._random_cases import random_case_settings

LENGTH = 12
FIRST = UpstreamId("engine-1")
SECOND = UpstreamId("engine-2")


class FakeCollaborators:
    """Implements the observer, the crash watch and the retry limiter of dispatch."""

    def __init__(self) -> None:
        self.leaving: list[UpstreamId] = []
        self.crashed: list[UpstreamId] = []
        self.retries_left = 1000
        self.not_admitting: frozenset[UpstreamId] = frozenset()
        """Engines on which the request is not admitted, as if a copy of it ran elsewhere."""
        self.admit_calls = 0

    def record_leaving(self, *, upstream: UpstreamId) -> None:
        """Record the upstream."""
        self.leaving.append(upstream)

    def record_failure(self, *, upstream: UpstreamId) -> None:
        """Do nothing."""

    def record_success(self, *, upstream: UpstreamId) -> None:
        """Do nothing."""

    def check(self, *, fingerprint: str) -> Problem | None:
        """Allow all requests."""
        return None

    def excluded_engines(self, *, fingerprint: str, model: ModelId) -> frozenset[UpstreamId]:
        """Exclude no engine."""
        return frozenset()

    def engines_of_copies(self, *, fingerprint: str) -> frozenset[UpstreamId]:
        """Return no engines."""
        return frozenset()

    def watch(
        self, *, fingerprint: str, on_change: Callable[[], None]
    ) -> AbstractContextManager[None]:
        """Return an empty context: the exclusions do not change."""
        return nullcontext()

    async def wait_change(self) -> None:
        """Fail, because no engine is excluded."""
        raise AssertionError("wait_change() must not be called: no engine is excluded.")

    async def admit(
        self,
        *,
        fingerprint: str,
        engine: UpstreamId,
        stop: asyncio.Event,
        progress: Callable[[], int],
    ) -> bool:
        """Admit requests except on engines in ``not_admitting``."""
        self.admit_calls += 1
        assert self.admit_calls < 50, "Admission was requested in an endless loop."
        return engine not in self.not_admitting

    def on_finished(
        self, *, fingerprint: str, engine: UpstreamId, stop: asyncio.Event, complete: bool
    ) -> None:
        """Do nothing."""

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Record the engine."""
        self.crashed.append(engine)

    def on_request(self) -> None:
        """Do nothing."""

    def try_spend(self) -> bool:
        """Allow a retry while ``retries_left`` is positive."""
        self.retries_left -= 1
        return self.retries_left >= 0


@dataclass(kw_only=True)
class Harness:
    """Two fake engines and the dependencies of a generation."""

    engines: dict[UpstreamId, FakeEngine]
    router: FakeRouter
    collaborators: FakeCollaborators
    canceller: Canceller
    context: DispatchContext

    def generation(self, sink: ListSink) -> Generation:
        """Return a generation of twelve tokens that writes to a sink."""
        return Generation(request=_request(whole=sink.whole), sink=sink, context=self.context)


def _make_harness(first: Faults | None = None, second: Faults | None = None) -> Harness:
    clock = Clock()
    engines = {
        FIRST: FakeEngine(clock=clock, faults=first or Faults()),
        SECOND: FakeEngine(clock=clock, faults=second or Faults()),
    }
    router = FakeRouter(engines=[FIRST, SECOND])
    collaborators = FakeCollaborators()
    canceller = Canceller(get_client=engines.__getitem__, clock=clock)
    context = DispatchContext(
        router=router,
        get_client=engines.__getitem__,
        reachability=EngineReachability(get_client=engines.__getitem__, clock=clock),
        observer=collaborators,
        crash_watch=collaborators,
        retries=collaborators,
        canceller=canceller,
        meter=UsageMeter(clock=clock, objective=Objective),
        clock=clock,
        rng=random.Random(3),
    )
    return Harness(
        engines=engines,
        router=router,
        collaborators=collaborators,
        canceller=canceller,
        context=context,
    )


def _request(*, whole: bool) -> GenerationRequest:
    return GenerationRequest(
        generation=GenerationId("cmpl-1"),
        account=ClientAccountId("north"),
        model=ModelId("round-planner"),
        version="1",
        adapter="",
        prompt="plan",
        prompt_tokens=1,
        max_tokens=LENGTH,
        seed=7,
        priority=1,
        request_class="",
        prefix="",
        prefix_tokens=0,
        whole=whole,
        fingerprint="f",
    )


EXPECTED = answer_tokens(
    EngineRequest(attempt_id="", model="", prompt="plan", seed=7, max_tokens=LENGTH)
)


def _run(
    make_harness: Callable[[], Harness], sink: ListSink
) -> tuple[Harness, Result[Finish, Problem]]:
    async def scenario() -> tuple[Harness, Result[Finish, Problem]]:
        harness = make_harness()
        result = await harness.generation(sink).run()
        await harness.canceller.drain()
        return harness, result

    with _virtual_runner() as runner:
        return runner.run(scenario())


def _virtual_runner() -> asyncio.Runner:
    return asyncio.Runner(loop_factory=looptime.new_event_loop)


FAULTS = {
    "killed_before_the_first_token": Faults(crash_at=0),
    "killed_mid_answer": Faults(crash_at=5),
    "killed_after_the_last_token": Faults(crash_at=LENGTH - 1),
    "out_of_memory_mid_answer": Faults(error_at=6),
    "link_cut": Faults(cut_at=4),
    "end_marker_lost": Faults(drop_end=1),
    "end_marker_lost_twice": Faults(drop_end=2),
    "token_skipped": Faults(skip_at=3),
    "answers_crossed": Faults(cross_at=3),
    "resume_overlaps": Faults(cut_at=4, overlap=3),
    "cut_then_killed": Faults(cut_at=3, crash_at=6),
    "frozen": Faults(frozen=True),
    "dead_at_the_start": Faults(unreachable=True),
    "leaving": Faults(refuse=RefusalKind.LEAVING),
    "model_not_loaded": Faults(refuse=RefusalKind.NOT_LOADED),
}


def _copy(faults: Faults) -> Faults:
    return Faults(**vars(faults))


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("name", list(FAULTS))
def test_answer_is_complete_and_in_order_when_engine_is(name: str, whole: bool) -> None:
    sink = ListSink(whole=whole)
    harness, result = _run(lambda: _make_harness(_copy(FAULTS[name])), sink)
    assert isinstance(result, Success), result
    assert sink.texts + sink.pending == EXPECTED
    assert result.unwrap().tokens == LENGTH
    assert not harness.router.placed


def test_answer_is_complete_when_its_engine_crashes_and_the_others_are_briefly_full() -> None:
    sink = ListSink(whole=True)

    def make_harness() -> Harness:
        harness = _make_harness(Faults(crash_at=5))
        harness.router.shed_after = 1
        return harness

    _, result = _run(make_harness, sink)
    assert isinstance(result, Success), result
    assert sink.pending == EXPECTED


def test_request_is_not_sheddable_when_its_engine_has_crashed() -> None:
    # Guards against a long retry delay after an engine failure while other engines are idle.
    sink = ListSink()
    harness, result = _run(lambda: _make_harness(Faults(crash_at=5)), sink)
    assert isinstance(result, Success)
    assert [request.sheddable for request in harness.router.requests] == [True, False]


def test_answer_is_generated_on_another_engine_when_the_first_does_not_admit_it() -> None:
    sink = ListSink()

    def make_harness() -> Harness:
        harness = _make_harness()
        harness.collaborators.not_admitting = frozenset({FIRST})
        return harness

    _, result = _run(make_harness, sink)
    assert isinstance(result, Success), result
    assert sink.texts == EXPECTED


def test_stream_ends_with_an_error_when_its_replay_differs() -> None:
    sink = ListSink()
    harness, result = _run(lambda: _make_harness(Faults(crash_at=5), Faults(salt=1)), sink)
    assert isinstance(result, Failure)
    assert result.failure().kind is ProblemKind.GENERATION_LOST
    assert sink.texts == EXPECTED[:5]
    assert all(run.cancelled for run in harness.engines[SECOND].runs.values())


def test_whole_answer_restarts_when_its_replay_differs() -> None:
    sink = ListSink(whole=True)
    harness, result = _run(lambda: _make_harness(Faults(crash_at=5), Faults(salt=1)), sink)
    assert isinstance(result, Success)
    expected = next(iter(harness.engines[SECOND].runs.values())).tokens
    assert sink.pending == expected


@pytest.mark.parametrize(
    "faults", [Faults(unreachable=True), Faults(refuse=RefusalKind.OVERLOADED)]
)
def test_problem_says_not_executed_only_when_no_engine_ran_it(faults: Faults) -> None:
    harness, result = _run(lambda: _make_harness(_copy(faults), _copy(faults)), ListSink())
    assert result.failure().execution is Execution.NOT_EXECUTED
    assert not any(engine.executed for engine in harness.engines.values())


def test_problem_says_unknown_when_an_engine_may_have_run_it() -> None:
    harness, result = _run(
        lambda: _make_harness(Faults(crash_at=2), Faults(unreachable=True)), ListSink()
    )
    assert harness.engines[FIRST].executed
    assert result.failure().execution is Execution.UNKNOWN
    assert result.failure().retry_after_ms is not None


def test_lost_attempt_is_not_retried_when_the_retry_budget_is_empty() -> None:
    def make_harness() -> Harness:
        harness = _make_harness(Faults(crash_at=2))
        harness.collaborators.retries_left = 0
        return harness

    harness, result = _run(make_harness, ListSink())
    assert isinstance(result, Failure)
    assert not harness.engines[SECOND].executed


def test_usage_separates_repeated_from_useful_tokens_when_an_engine_crashes() -> None:
    harness, _ = _run(lambda: _make_harness(Faults(crash_at=5)), ListSink())
    usage = harness.context.meter.usage().accounts["north"]
    assert (usage.answered, usage.useful_tokens, usage.repeated_tokens) == (1, LENGTH, 5)
    assert usage.wasted_tokens == 0


def test_leaving_engine_is_recorded_when_it_refuses() -> None:
    harness, _ = _run(lambda: _make_harness(Faults(refuse=RefusalKind.LEAVING)), ListSink())
    assert harness.collaborators.leaving == [FIRST]


def test_engine_crash_is_recorded_only_when_it_happens_during_an_answer() -> None:
    harness, _ = _run(lambda: _make_harness(Faults(crash_at=2)), ListSink())
    assert harness.collaborators.crashed == [FIRST]
    harness, _ = _run(lambda: _make_harness(Faults(unreachable=True)), ListSink())
    assert harness.collaborators.crashed == []


def test_attempt_is_cancelled_on_its_engine_when_the_caller_disconnects() -> None:
    async def scenario() -> Harness:
        harness = _make_harness()
        sink = ListSink()
        task = asyncio.ensure_future(harness.generation(sink).run())

        def disconnect(offset: int) -> None:
            if offset == 4:
                task.cancel()

        sink.on_token = disconnect
        with pytest.raises(asyncio.CancelledError):
            await task
        await harness.canceller.drain()
        return harness

    with _virtual_runner() as runner:
        harness = runner.run(scenario())
    assert [run.cancelled for run in harness.engines[FIRST].runs.values()] == [True]
    assert not harness.router.placed


def test_whole_answer_moves_when_the_router_requests_it() -> None:
    async def scenario() -> tuple[Harness, Result[Finish, Problem], ListSink]:
        harness = _make_harness()
        sink = ListSink(whole=True)

        def move(offset: int) -> None:
            if offset == 4 and harness.router.engines[0] == FIRST:
                harness.router.engines.reverse()
                harness.router.placed[GenerationId("cmpl-1")].move_requested.set()

        sink.on_token = move
        result = await harness.generation(sink).run()
        await harness.canceller.drain()
        return harness, result, sink

    with _virtual_runner() as runner:
        harness, result, sink = runner.run(scenario())
    assert isinstance(result, Success)
    assert sink.pending == EXPECTED
    assert [run.cancelled for run in harness.engines[FIRST].runs.values()] == [True]
    assert len(harness.engines[SECOND].executed) == 1


def test_problem_says_unknown_when_a_moved_answer_cannot_be_placed() -> None:
    async def scenario() -> Result[Finish, Problem]:
        harness = _make_harness()
        sink = ListSink(whole=True)

        def move(offset: int) -> None:
            harness.router.engines.clear()
            harness.router.placed[GenerationId("cmpl-1")].move_requested.set()

        sink.on_token = move
        return await harness.generation(sink).run()

    with _virtual_runner() as runner:
        result = runner.run(scenario())
    assert result.failure().execution is Execution.UNKNOWN


def test_stale_tokens_are_dropped_when_a_frozen_engine_resumes() -> None:
    async def scenario() -> tuple[Result[Finish, Problem], ListSink, Harness]:
        harness = _make_harness()
        sink = ListSink()
        frozen = harness.engines[FIRST].faults

        def freeze(offset: int) -> None:
            if offset == 3 and not harness.engines[SECOND].executed:
                frozen.frozen = True
                loop = asyncio.get_running_loop()
                loop.call_later(60, lambda: setattr(frozen, "frozen", False))

        sink.on_token = freeze
        result = await harness.generation(sink).run()
        return result, sink, harness

    with _virtual_runner() as runner:
        result, sink, harness = runner.run(scenario())
    assert isinstance(result, Success)
    assert sink.texts == EXPECTED
    assert len(harness.engines[SECOND].executed) == 1


OFFSETS = st.none() | st.integers(0, LENGTH - 1)
RANDOM_FAULTS = st.builds(
    Faults,
    frozen=st.sampled_from([False, False, False, True]),
    cut_at=OFFSETS,
    crash_at=OFFSETS,
    error_at=OFFSETS,
    cross_at=OFFSETS,
    skip_at=OFFSETS,
    drop_end=st.integers(0, 2),
    overlap=st.integers(0, 3),
    salt=st.integers(0, 1),
)


@random_case_settings(examples=150)
@given(first=RANDOM_FAULTS, second=RANDOM_FAULTS, whole=st.booleans())
def test_tokens_are_not_duplicated_or_mixed_when_both_engines_fail_at_random(
    first: Faults, second: Faults, whole: bool
) -> None:
    answers = [
        answer_tokens(
            EngineRequest(attempt_id="", model="", prompt="plan", seed=7, max_tokens=LENGTH),
            salt=salt,
        )
        for salt in (0, 1)
    ]
    sink = ListSink(whole=whole)
    harness, result = _run(lambda: _make_harness(_copy(first), _copy(second)), sink)
    if isinstance(result, Success):
        assert sink.texts + sink.pending in answers
    else:
        assert any(sink.texts == answer[: len(sink.texts)] for answer in answers)
        executed = any(engine.executed for engine in harness.engines.values())
        assert not (executed and result.failure().execution is Execution.NOT_EXECUTED)
    assert not harness.router.placed
