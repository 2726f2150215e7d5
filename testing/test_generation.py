"""A generation reaches its caller once, in order, whole, whatever its engines do."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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
from tanagerscale.dispatch import DispatchParts
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
from testing._fake_engine import tokens_of
from testing._random_cases import random_case_settings

LENGTH = 12
FIRST = UpstreamId("engine-1")
SECOND = UpstreamId("engine-2")


class Ignorant:
    """Takes notes and crash reports, and allows every retry."""

    def __init__(self) -> None:
        self.leaving: list[UpstreamId] = []
        self.crashed: list[UpstreamId] = []
        self.retries_left = 1000
        self.closed: frozenset[UpstreamId] = frozenset()
        """Engines that run a copy of the request elsewhere, so that it is not admitted."""
        self.questions = 0

    def note_leaving(self, *, upstream: UpstreamId) -> None:
        """Remember it."""
        self.leaving.append(upstream)

    def note_failure(self, *, upstream: UpstreamId) -> None:
        """Ignore it."""

    def note_success(self, *, upstream: UpstreamId) -> None:
        """Ignore it."""

    def check(self, *, fingerprint: str) -> Problem | None:
        """Let everything run."""
        return None

    def excluded_engines(self, *, fingerprint: str, model: ModelId) -> frozenset[UpstreamId]:
        """Exclude none."""
        return frozenset()

    async def wait_change(self) -> None:
        """Never be called."""
        raise AssertionError("Nothing is excluded.")

    async def admit(
        self,
        *,
        fingerprint: str,
        engine: UpstreamId,
        stop: asyncio.Event,
        progress: Callable[[], int],
    ) -> bool:
        """Admit everything but to closed engines."""
        self.questions += 1
        assert self.questions < 50, "The same engine is asked for without end."
        return engine not in self.closed

    def on_finished(self, *, fingerprint: str, engine: UpstreamId, complete: bool) -> None:
        """Ignore it."""

    def on_engine_crash(self, *, engine: UpstreamId) -> None:
        """Remember it."""
        self.crashed.append(engine)

    def on_request(self) -> None:
        """Ignore it."""

    def try_spend(self) -> bool:
        """Allow what is left."""
        self.retries_left -= 1
        return self.retries_left >= 0


@dataclass(kw_only=True)
class World:
    """Two engines and what watches them."""

    engines: dict[UpstreamId, FakeEngine]
    router: FakeRouter
    watch: Ignorant
    canceller: Canceller
    parts: DispatchParts

    def generation(self, sink: ListSink) -> Generation:
        """Return a generation of twelve tokens."""
        return Generation(request=_request(whole=sink.whole), sink=sink, parts=self.parts)


def _world(first: Faults | None = None, second: Faults | None = None) -> World:
    clock = Clock()
    engines = {
        FIRST: FakeEngine(clock=clock, faults=first or Faults()),
        SECOND: FakeEngine(clock=clock, faults=second or Faults()),
    }
    router = FakeRouter(engines=[FIRST, SECOND])
    watch = Ignorant()
    canceller = Canceller(client_of=engines.__getitem__, clock=clock)
    parts = DispatchParts(
        router=router,
        client_of=engines.__getitem__,
        notes=watch,
        crashes=watch,
        retries=watch,
        canceller=canceller,
        meter=UsageMeter(clock=clock, objective=Objective),
        clock=clock,
        rng=random.Random(3),
    )
    return World(engines=engines, router=router, watch=watch, canceller=canceller, parts=parts)


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


EXPECTED = tokens_of(
    EngineRequest(attempt_id="", model="", prompt="plan", seed=7, max_tokens=LENGTH)
)


def _run(world: Callable[[], World], sink: ListSink) -> tuple[World, Result[Finish, Problem]]:
    async def run() -> tuple[World, Result[Finish, Problem]]:
        made = world()
        result = await made.generation(sink).run()
        await made.canceller.drain()
        return made, result

    with _virtual() as runner:
        return runner.run(run())


def _virtual() -> asyncio.Runner:
    return asyncio.Runner(loop_factory=looptime.new_event_loop)


FAULTS = {
    "killed_before_the_first_token": Faults(die_at=0),
    "killed_mid_answer": Faults(die_at=5),
    "killed_after_the_last_token": Faults(die_at=LENGTH - 1),
    "out_of_memory_mid_answer": Faults(error_at=6),
    "link_cut": Faults(cut_at=4),
    "end_marker_lost": Faults(drop_end=1),
    "end_marker_lost_twice": Faults(drop_end=2),
    "token_skipped": Faults(skip_at=3),
    "answers_crossed": Faults(cross_at=3),
    "resume_overlaps": Faults(cut_at=4, overlap=3),
    "cut_then_killed": Faults(cut_at=3, die_at=6),
    "frozen": Faults(frozen=True),
    "dead_at_the_start": Faults(dead=True),
    "leaving": Faults(refuse=RefusalKind.LEAVING),
    "model_not_loaded": Faults(refuse=RefusalKind.NOT_LOADED),
}


def _copy(faults: Faults) -> Faults:
    return Faults(**vars(faults))


@pytest.mark.parametrize("whole", [False, True])
@pytest.mark.parametrize("name", list(FAULTS))
def test_answer_is_whole_once_and_in_order_when_engine_is(name: str, whole: bool) -> None:
    sink = ListSink(whole=whole)
    world, result = _run(lambda: _world(_copy(FAULTS[name])), sink)
    assert isinstance(result, Success), result
    assert sink.texts + sink.pending == EXPECTED
    assert result.unwrap().tokens == LENGTH
    assert not world.router.placed


def test_answer_is_whole_when_its_engine_dies_and_the_others_are_full_for_a_moment() -> None:
    sink = ListSink(whole=True)

    def world() -> World:
        made = _world(Faults(die_at=5))
        made.router.full_after = 1
        return made

    _, result = _run(world, sink)
    assert isinstance(result, Success), result
    assert sink.pending == EXPECTED


def test_request_is_not_sheddable_when_its_engine_has_died() -> None:
    # Guards against a long retry delay after an engine failure while other engines are idle.
    sink = ListSink()
    world, result = _run(lambda: _world(Faults(die_at=5)), sink)
    assert isinstance(result, Success)
    assert [request.sheddable for request in world.router.requests] == [True, False]


def test_answer_is_made_at_another_engine_when_the_first_does_not_admit_it() -> None:
    sink = ListSink()

    def world() -> World:
        made = _world()
        made.watch.closed = frozenset({FIRST})
        return made

    _, result = _run(world, sink)
    assert isinstance(result, Success), result
    assert sink.texts == EXPECTED


def test_stream_ends_with_an_error_when_its_replay_differs() -> None:
    sink = ListSink()
    world, result = _run(lambda: _world(Faults(die_at=5), Faults(salt=1)), sink)
    assert isinstance(result, Failure)
    assert result.failure().kind is ProblemKind.GENERATION_LOST
    assert sink.texts == EXPECTED[:5]
    assert all(run.cancelled for run in world.engines[SECOND].runs.values())


def test_whole_answer_starts_anew_when_its_engine_made_other_tokens() -> None:
    sink = ListSink(whole=True)
    world, result = _run(lambda: _world(Faults(die_at=5), Faults(salt=1)), sink)
    assert isinstance(result, Success)
    made = next(iter(world.engines[SECOND].runs.values())).tokens
    assert sink.pending == made


@pytest.mark.parametrize("faults", [Faults(dead=True), Faults(refuse=RefusalKind.OVERLOADED)])
def test_problem_says_not_executed_only_when_no_engine_ran_it(faults: Faults) -> None:
    world, result = _run(lambda: _world(_copy(faults), _copy(faults)), ListSink())
    assert result.failure().execution is Execution.NOT_EXECUTED
    assert not any(engine.executed for engine in world.engines.values())


def test_problem_says_unknown_when_an_engine_may_have_run_it() -> None:
    world, result = _run(lambda: _world(Faults(die_at=2), Faults(dead=True)), ListSink())
    assert world.engines[FIRST].executed
    assert result.failure().execution is Execution.UNKNOWN
    assert result.failure().retry_after_ms is not None


def test_lost_attempt_is_not_tried_again_when_the_retry_budget_is_empty() -> None:
    def world() -> World:
        made = _world(Faults(die_at=2))
        made.watch.retries_left = 0
        return made

    made, result = _run(world, ListSink())
    assert isinstance(result, Failure)
    assert not made.engines[SECOND].executed


def test_usage_tells_repeated_tokens_from_useful_ones_when_an_engine_dies() -> None:
    world, _ = _run(lambda: _world(Faults(die_at=5)), ListSink())
    usage = world.parts.meter.usage().accounts["north"]
    assert (usage.answered, usage.useful_tokens, usage.repeated_tokens) == (1, LENGTH, 5)
    assert usage.wasted_tokens == 0


def test_leaving_engine_is_noted_when_it_refuses() -> None:
    world, _ = _run(lambda: _world(Faults(refuse=RefusalKind.LEAVING)), ListSink())
    assert world.watch.leaving == [FIRST]


def test_engine_crash_is_noted_when_it_dies_mid_answer_and_not_when_it_was_dead() -> None:
    world, _ = _run(lambda: _world(Faults(die_at=2)), ListSink())
    assert world.watch.crashed == [FIRST]
    world, _ = _run(lambda: _world(Faults(dead=True)), ListSink())
    assert world.watch.crashed == []


def test_engine_is_told_to_cancel_when_the_caller_leaves() -> None:
    async def run() -> World:
        world = _world()
        sink = ListSink()
        task = asyncio.ensure_future(world.generation(sink).run())

        def leave(offset: int) -> None:
            if offset == 4:
                task.cancel()

        sink.on_token = leave
        with pytest.raises(asyncio.CancelledError):
            await task
        await world.canceller.drain()
        return world

    with _virtual() as runner:
        world = runner.run(run())
    assert [run.cancelled for run in world.engines[FIRST].runs.values()] == [True]
    assert not world.router.placed


def test_whole_answer_moves_when_routing_asks() -> None:
    async def run() -> tuple[World, Result[Finish, Problem], ListSink]:
        world = _world()
        sink = ListSink(whole=True)

        def move(offset: int) -> None:
            if offset == 4 and world.router.engines[0] == FIRST:
                world.router.engines.reverse()
                world.router.placed[GenerationId("cmpl-1")].move_requested.set()

        sink.on_token = move
        result = await world.generation(sink).run()
        await world.canceller.drain()
        return world, result, sink

    with _virtual() as runner:
        world, result, sink = runner.run(run())
    assert isinstance(result, Success)
    assert sink.pending == EXPECTED
    assert [run.cancelled for run in world.engines[FIRST].runs.values()] == [True]
    assert len(world.engines[SECOND].executed) == 1


def test_problem_says_unknown_when_a_moved_answer_finds_no_other_place() -> None:
    async def run() -> Result[Finish, Problem]:
        world = _world()
        sink = ListSink(whole=True)

        def move(offset: int) -> None:
            world.router.engines.clear()
            world.router.placed[GenerationId("cmpl-1")].move_requested.set()

        sink.on_token = move
        return await world.generation(sink).run()

    with _virtual() as runner:
        result = runner.run(run())
    assert result.failure().execution is Execution.UNKNOWN


def test_old_tokens_are_dropped_when_a_frozen_engine_thaws() -> None:
    async def run() -> tuple[Result[Finish, Problem], ListSink, World]:
        world = _world()
        sink = ListSink()
        frozen = world.engines[FIRST].faults

        def freeze(offset: int) -> None:
            if offset == 3 and not world.engines[SECOND].executed:
                frozen.frozen = True
                loop = asyncio.get_running_loop()
                loop.call_later(60, lambda: setattr(frozen, "frozen", False))

        sink.on_token = freeze
        result = await world.generation(sink).run()
        return result, sink, world

    with _virtual() as runner:
        result, sink, world = runner.run(run())
    assert isinstance(result, Success)
    assert sink.texts == EXPECTED
    assert len(world.engines[SECOND].executed) == 1


OFFSETS = st.none() | st.integers(0, LENGTH - 1)
RANDOM_FAULTS = st.builds(
    Faults,
    frozen=st.sampled_from([False, False, False, True]),
    cut_at=OFFSETS,
    die_at=OFFSETS,
    error_at=OFFSETS,
    cross_at=OFFSETS,
    skip_at=OFFSETS,
    drop_end=st.integers(0, 2),
    overlap=st.integers(0, 3),
    salt=st.integers(0, 1),
)


@random_case_settings(examples=150)
@given(first=RANDOM_FAULTS, second=RANDOM_FAULTS, whole=st.booleans())
def test_nothing_is_doubled_or_mixed_when_both_engines_fail_at_random(
    first: Faults, second: Faults, whole: bool
) -> None:
    answers = [
        tokens_of(
            EngineRequest(attempt_id="", model="", prompt="plan", seed=7, max_tokens=LENGTH),
            salt=salt,
        )
        for salt in (0, 1)
    ]
    sink = ListSink(whole=whole)
    world, result = _run(lambda: _world(_copy(first), _copy(second)), sink)
    if isinstance(result, Success):
        assert sink.texts + sink.pending in answers
    else:
        assert any(sink.texts == answer[: len(sink.texts)] for answer in answers)
        executed = any(engine.executed for engine in world.engines.values())
        assert not (executed and result.failure().execution is Execution.NOT_EXECUTED)
    assert not world.router.placed
