"""The replay: engine fakes, measures, policies and faults."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec
from msgspec.structs import replace
import pytest

from tanagerscale.generated.declarations import Objective
from tanagerscale.measures import DurationHistogram
from tanagerscale.measures import MeasureTable
from tanagerscale.measures import RequestTimeline
from tanagerscale.replay import POLICIES
from tanagerscale.replay import Case
from tanagerscale.replay import ReplayReport
from tanagerscale.replay import ReplayRun
from tanagerscale.replay import do_runs
from tanagerscale.replay import main
from tanagerscale.replay import make_trace
from tanagerscale.replay import read_trace
from tanagerscale.replay import run_replay
from tanagerscale.replay import write_trace
from tanagerscale.replay._engine import EngineFake
from tanagerscale.replay._engine import EngineModel
from tanagerscale.replay._sequence import Sequence

SHORT = ReplayRun(policy="owner", seed=1, load=1.1, duration_s=60)


class Listener:
    """Records what an engine fake tells."""

    def __init__(self) -> None:
        self.ended: list[tuple[str, float]] = []
        self.firsts: list[tuple[str, int, float]] = []
        self.gaps: list[tuple[float, int]] = []
        self.cached: list[tuple[str, bool]] = []

    def on_progress(self, sequence: Sequence, *, total: int, now: float) -> None:
        self.firsts.append((sequence.owner, total, now))

    def on_pause(self, sequence: Sequence, *, total: int, now: float, excess_ms: float) -> None:
        assert total <= sequence.output

    def on_end(self, sequence: Sequence, *, now: float) -> None:
        self.ended.append((sequence.owner, now))

    def on_cache(self, engine: EngineFake, *, prefix: str, stored: bool) -> None:
        self.cached.append((prefix, stored))

    def step(self, *, duration_ms: float, generations: int) -> None:
        self.gaps.append((duration_ms, generations))


@pytest.fixture
def listener() -> Listener:
    return Listener()


@pytest.fixture
def engine(listener: Listener) -> EngineFake:
    model = EngineModel(
        base_ms=10.0,
        sequence_ms=1.0,
        context_ms=0.0,
        prefill_ms=0.1,
        chunk_tokens=100,
        memory_tokens=1_600,
        max_batch=4,
    )
    return EngineFake(name="e", model=model, events=listener, gaps=listener, token_gap_ms=50.0)


def sequence(
    name: str, *, prompt: int, output: int, prefix: str = "", priority: int = 1
) -> Sequence:
    return Sequence(
        owner=name,
        prompt=prompt,
        prefix=prefix,
        prefix_tokens=80 if prefix else 0,
        output=output,
        priority=priority,
        seen=0,
    )


def run_until_idle(engine: EngineFake) -> float:
    now = 0.0
    while not engine.idle:
        now += engine.begin_step(now=now)
        engine.end_step(now=now)
    return now


def test_engine_makes_one_token_a_step_when_one_generation_runs(
    engine: EngineFake, listener: Listener
) -> None:
    engine.submit(sequence("a", prompt=150, output=5))
    # Two chunks of prompt, then four steps of one token each after the first.
    assert run_until_idle(engine) == pytest.approx(20.0 + 15.0 + 4 * 11.0)
    assert [item[:2] for item in listener.firsts] == [("a", 1)]
    assert listener.firsts[0][2] == pytest.approx(35.0)
    assert [count for _, count in listener.gaps] == [1, 1, 1, 1]


def test_engine_preempts_the_latest_when_memory_runs_out(
    engine: EngineFake, listener: Listener
) -> None:
    engine.submit(sequence("a", prompt=600, output=500))
    engine.submit(sequence("b", prompt=600, output=400))
    run_until_idle(engine)
    assert engine.preemptions >= 1
    assert [name for name, _ in listener.ended] == ["a", "b"]
    assert [name for name, total, _ in listener.firsts if total > 1] == ["b"] * engine.preemptions
    assert engine.used_tokens == 0


def test_engine_skips_a_cached_prefix_when_it_was_computed(
    engine: EngineFake, listener: Listener
) -> None:
    engine.submit(sequence("a", prompt=90, output=1, prefix="p"))
    run_until_idle(engine)
    first = engine.prefilled_tokens
    engine.submit(sequence("b", prompt=90, output=1, prefix="p"))
    run_until_idle(engine)
    assert (first, engine.prefilled_tokens) == (90, 100)
    engine.submit(sequence("c", prompt=1_590, output=1))
    run_until_idle(engine)
    assert ("p", False) in listener.cached


def test_engine_frees_memory_when_generations_are_cancelled_in_a_step(engine: EngineFake) -> None:
    now = 0.0
    for steps in range(20, 36):
        items = [sequence(str(number), prompt=100 + number, output=300) for number in range(4)]
        for item in items:
            engine.submit(item)
        for _ in range(steps):
            now += engine.begin_step(now=now)
            engine.end_step(now=now)
        engine.begin_step(now=now)
        for item in items:
            engine.cancel(item, now=now)
        engine.end_step(now=now)
    assert engine.idle
    assert engine.used_tokens == 0


def test_stall_counts_only_waits_beyond_the_objectives() -> None:
    timeline = RequestTimeline(arrived=0.0, first_token_ms=1_000.0, token_gap_ms=50.0)
    assert timeline.on_tokens(total=1, now=1_200.0) is None
    assert timeline.on_tokens(total=2, now=1_240.0) == 40.0
    # A second generation makes the first tokens again, which is no progress.
    assert timeline.on_tokens(total=1, now=1_300.0) is None
    assert timeline.on_tokens(total=3, now=1_390.0) == 150.0
    assert timeline.stall_ms == 300.0
    timeline.give_up(now=1_500.0)
    assert timeline.stall_ms == 360.0


def test_summary_counts_an_answer_as_good_when_it_is_whole_and_in_time() -> None:
    table = MeasureTable()
    for wait, complete in ((500.0, True), (9_000.0, True), (500.0, False)):
        timeline = RequestTimeline(arrived=0.0, first_token_ms=1_000.0, token_gap_ms=50.0)
        timeline.on_tokens(total=1, now=wait)
        table.add(timeline, short=True, complete=complete)
    summary = table.summary()
    assert (summary.requests, summary.completed, summary.good_answers) == (3, 2, 1)
    assert summary.stall_s == summary.short_stall_s == 8.0


def test_quantiles_are_close_when_durations_vary() -> None:
    histogram = DurationHistogram()
    for duration in range(1, 1_001):
        histogram.record(float(duration))
    assert histogram.quantile(0.5) == pytest.approx(500, rel=0.05)
    assert histogram.quantile(0.999) == pytest.approx(999, rel=0.05)


def test_trace_is_the_same_when_written_and_read(tmp_path: Path) -> None:
    made = make_trace(user="film-office", rate=5.0, seed=3, duration_s=30)
    assert made == make_trace(user="film-office", rate=5.0, seed=3, duration_s=30)
    assert made != make_trace(user="film-office", rate=5.0, seed=4, duration_s=30)
    write_trace(tmp_path / "trace.jsonl", made)
    assert read_trace(tmp_path / "trace.jsonl") == made


@pytest.mark.parametrize("policy", POLICIES)
def test_every_request_ends_once_when_replayed(policy: str) -> None:
    run = replace(SHORT, policy=policy, duration_s=20)
    first, second = do_runs([run, run], processes=1)
    assert first == second
    trace = make_trace(user=run.user, rate=14.8 * run.load, seed=run.seed, duration_s=20)
    assert first.summary.requests == len(trace)
    assert first.summary.completed == len(trace)
    assert first.summary.useful_tokens == sum(request.output_tokens for request in trace)


@pytest.mark.parametrize("case", Case)
def test_every_request_ends_when_something_fails(case: Case) -> None:
    report = do_runs([replace(SHORT, case=case, load=0.7, duration_s=30)], processes=1)[0]
    assert report.summary.completed == report.summary.requests > 250


def replay_with(objective: Objective) -> ReplayReport:
    return run_replay(
        trace=None,
        policy="owner",
        seed=2,
        user="film-office",
        load=1.6,
        setting="small-memory",
        duration_s=90,
        objective=objective,
    )


def test_objective_moves_stall_and_preemptions_when_weights_change() -> None:
    careful = replay_with(Objective(preemption_weight=10.0)).summary
    eager = replay_with(Objective(stall_weight=10.0)).summary
    assert careful.preemptions < eager.preemptions
    assert careful.stall_s > eager.stall_s


def test_objective_moves_the_tail_when_its_weight_changes() -> None:
    heavy = replay_with(Objective(tail_weight=10.0)).summary
    default = replay_with(Objective()).summary
    assert heavy.gap_p999_ms < default.gap_p999_ms
    assert heavy.stall_s > default.stall_s


def test_default_policy_beats_the_baselines_when_engines_are_full() -> None:
    policies = ("owner", "two-choices", "least-outstanding")
    full = replace(SHORT, load=1.6, setting="small-memory")
    reports = do_runs([replace(full, policy=name) for name in policies], processes=1)
    owner, *baselines = (report.summary for report in reports)
    for baseline in baselines:
        assert owner.stall_s < 0.6 * baseline.stall_s
        assert owner.good_tokens >= baseline.good_tokens


@pytest.mark.parametrize("user", ["trois-rivieres", "film-office"])
def test_kept_trace_meets_its_outcomes_when_the_default_policy_runs_it(user: str) -> None:
    trace = Path(__file__).parent.parent / "traces" / f"{user}-peak.jsonl"
    assert main(str(trace), policy="owner", seeds="101") == 0


def test_replay_says_which_outcome_is_missed(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "small.jsonl"
    write_trace(path, make_trace(user="trois-rivieres", rate=4.0, seed=1, duration_s=10))
    outcomes = tmp_path / "small.outcomes.json"

    def judged(measure: str, most: float) -> int:
        stated = [{"policy": "owner", "measure": measure, "most": most}]
        outcomes.write_bytes(msgspec.json.encode(stated))
        return main(str(path), policy="owner", seeds="101")

    assert judged("stall_s", 1.0) == 0
    assert "met: owner seed 101 stall_s" in capsys.readouterr().out
    assert judged("completed", 1.0) == 1
    assert "MISSED: owner seed 101 completed" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("call", "remedy"),
    [
        (lambda: main("nothing.jsonl"), "name a file, or one of trois-rivieres"),
        (lambda: main("film-office", policy="best"), "allowed are all, round-robin"),
        (lambda: main("film-office", setting="odd"), "allowed are standard"),
        (lambda: main("film-office", case="odd"), "allowed are none"),
    ],
)
def test_replay_names_what_is_allowed_when_arguments_are_wrong(
    call: Callable[[], int], remedy: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert call() == 2
    assert remedy in capsys.readouterr().err
