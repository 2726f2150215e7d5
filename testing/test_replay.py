"""Tests of the replay: simulated engines, measures, policies and faults."""

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
from tanagerscale.replay import FaultCase
from tanagerscale.replay import ReplayReport
from tanagerscale.replay import ReplayRun
from tanagerscale.replay import execute_runs
from tanagerscale.replay import generate_trace
from tanagerscale.replay import main
from tanagerscale.replay import read_trace
from tanagerscale.replay import run_replay
from tanagerscale.replay import write_trace
from tanagerscale.replay._engine import EngineModel
from tanagerscale.replay._engine import SimulatedEngine
from tanagerscale.replay._sequence import Sequence

SHORT_RUN = ReplayRun(policy="owner", seed=1, load=1.1, duration_s=60)


class RecordingListener:
    """Records the events of a simulated engine."""

    def __init__(self) -> None:
        self.finished: list[tuple[str, float]] = []
        self.first_tokens: list[tuple[str, int, float]] = []
        self.gaps: list[tuple[float, int]] = []
        self.cached: list[tuple[str, bool]] = []

    def on_progress(self, sequence: Sequence, *, total: int, now: float) -> None:
        self.first_tokens.append((sequence.owner, total, now))

    def on_pause(self, sequence: Sequence, *, total: int, now: float, stall_ms: float) -> None:
        assert total <= sequence.output_tokens

    def on_end(self, sequence: Sequence, *, now: float) -> None:
        self.finished.append((sequence.owner, now))

    def on_cache(self, engine: SimulatedEngine, *, prefix: str, stored: bool) -> None:
        self.cached.append((prefix, stored))

    def on_step(self, *, duration_ms: float, generations: int) -> None:
        self.gaps.append((duration_ms, generations))


@pytest.fixture
def listener() -> RecordingListener:
    return RecordingListener()


@pytest.fixture
def engine(listener: RecordingListener) -> SimulatedEngine:
    model = EngineModel(
        base_ms=10.0,
        sequence_ms=1.0,
        context_ms=0.0,
        prefill_ms=0.1,
        chunk_tokens=100,
        memory_tokens=1_600,
        max_batch=4,
    )
    return SimulatedEngine(
        name="e", model=model, listener=listener, step_listener=listener, token_gap_ms=50.0
    )


def make_sequence(
    name: str, *, prompt_tokens: int, output_tokens: int, prefix: str = "", priority: int = 1
) -> Sequence:
    return Sequence(
        owner=name,
        prompt_tokens=prompt_tokens,
        prefix=prefix,
        prefix_tokens=80 if prefix else 0,
        output_tokens=output_tokens,
        priority=priority,
        already_generated=0,
    )


def run_until_idle(engine: SimulatedEngine) -> float:
    now = 0.0
    while not engine.is_idle:
        now += engine.begin_step(now=now)
        engine.end_step(now=now)
    return now


def test_engine_produces_one_token_per_step_when_one_generation_runs(
    engine: SimulatedEngine, listener: RecordingListener
) -> None:
    engine.submit(make_sequence("a", prompt_tokens=150, output_tokens=5))
    # Two prefill chunks (20 ms and 15 ms), then four decode steps of 11 ms after the first token.
    assert run_until_idle(engine) == pytest.approx(20.0 + 15.0 + 4 * 11.0)
    assert [item[:2] for item in listener.first_tokens] == [("a", 1)]
    assert listener.first_tokens[0][2] == pytest.approx(35.0)
    assert [count for _, count in listener.gaps] == [1, 1, 1, 1]


def test_engine_preempts_latest_generation_when_memory_runs_out(
    engine: SimulatedEngine, listener: RecordingListener
) -> None:
    engine.submit(make_sequence("a", prompt_tokens=600, output_tokens=500))
    engine.submit(make_sequence("b", prompt_tokens=600, output_tokens=400))
    run_until_idle(engine)
    assert engine.preemptions >= 1
    assert [name for name, _ in listener.finished] == ["a", "b"]
    assert [name for name, total, _ in listener.first_tokens if total > 1] == [
        "b"
    ] * engine.preemptions
    assert engine.used_tokens == 0


def test_engine_skips_prefill_of_prefix_when_prefix_is_cached(
    engine: SimulatedEngine, listener: RecordingListener
) -> None:
    engine.submit(make_sequence("a", prompt_tokens=90, output_tokens=1, prefix="p"))
    run_until_idle(engine)
    first = engine.prefilled_tokens
    engine.submit(make_sequence("b", prompt_tokens=90, output_tokens=1, prefix="p"))
    run_until_idle(engine)
    assert (first, engine.prefilled_tokens) == (90, 100)
    engine.submit(make_sequence("c", prompt_tokens=1_590, output_tokens=1))
    run_until_idle(engine)
    assert ("p", False) in listener.cached


def test_engine_frees_memory_when_generations_are_cancelled_during_a_step(
    engine: SimulatedEngine,
) -> None:
    now = 0.0
    for steps in range(20, 36):
        items = [
            make_sequence(str(number), prompt_tokens=100 + number, output_tokens=300)
            for number in range(4)
        ]
        for item in items:
            engine.submit(item)
        for _ in range(steps):
            now += engine.begin_step(now=now)
            engine.end_step(now=now)
        engine.begin_step(now=now)
        for item in items:
            engine.cancel(item, now=now)
        engine.end_step(now=now)
    assert engine.is_idle
    assert engine.used_tokens == 0


def test_stall_counts_only_time_beyond_objectives_when_tokens_are_late() -> None:
    timeline = RequestTimeline(arrived=0.0, first_token_ms=1_000.0, token_gap_ms=50.0)
    assert timeline.record_tokens(total=1, now=1_200.0) is None
    assert timeline.record_tokens(total=2, now=1_240.0) == 40.0
    # A restarted generation produces the first tokens again, which is not progress.
    assert timeline.record_tokens(total=1, now=1_300.0) is None
    assert timeline.record_tokens(total=3, now=1_390.0) == 150.0
    assert timeline.stall_ms == 300.0
    timeline.record_incomplete(now=1_500.0)
    assert timeline.stall_ms == 360.0


def test_summary_counts_answer_as_good_when_complete_and_on_time() -> None:
    table = MeasureTable()
    for wait, complete in ((500.0, True), (9_000.0, True), (500.0, False)):
        timeline = RequestTimeline(arrived=0.0, first_token_ms=1_000.0, token_gap_ms=50.0)
        timeline.record_tokens(total=1, now=wait)
        table.add(timeline, short=True, complete=complete)
    summary = table.summary()
    assert (summary.requests, summary.completed, summary.good_answers) == (3, 2, 1)
    assert summary.stall_s == summary.short_stall_s == 8.0


def test_quantiles_are_accurate_when_durations_vary() -> None:
    histogram = DurationHistogram()
    for duration in range(1, 1_001):
        histogram.record(float(duration))
    assert histogram.quantile(0.5) == pytest.approx(500, rel=0.05)
    assert histogram.quantile(0.999) == pytest.approx(999, rel=0.05)


def test_trace_is_unchanged_when_written_and_read(tmp_path: Path) -> None:
    trace = generate_trace(user="film-office", rate=5.0, seed=3, duration_s=30)
    assert trace == generate_trace(user="film-office", rate=5.0, seed=3, duration_s=30)
    assert trace != generate_trace(user="film-office", rate=5.0, seed=4, duration_s=30)
    write_trace(tmp_path / "trace.jsonl", trace)
    assert read_trace(tmp_path / "trace.jsonl") == trace


@pytest.mark.parametrize("policy", POLICIES)
def test_every_request_ends_once_when_replayed(policy: str) -> None:
    run = replace(SHORT_RUN, policy=policy, duration_s=20)
    first, second = execute_runs([run, run], processes=1)
    assert first == second
    trace = generate_trace(user=run.user, rate=14.8 * run.load, seed=run.seed, duration_s=20)
    assert first.summary.requests == len(trace)
    assert first.summary.completed == len(trace)
    assert first.summary.useful_tokens == sum(request.output_tokens for request in trace)


@pytest.mark.parametrize("case", FaultCase)
def test_every_request_completes_when_a_fault_is_injected(case: FaultCase) -> None:
    report = execute_runs([replace(SHORT_RUN, case=case, load=0.7, duration_s=30)], processes=1)[0]
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


def test_objective_trades_stall_against_preemptions_when_weights_change() -> None:
    preemption_weighted = replay_with(Objective(preemption_weight=10.0)).summary
    stall_weighted = replay_with(Objective(stall_weight=10.0)).summary
    assert preemption_weighted.preemptions < stall_weighted.preemptions
    assert preemption_weighted.stall_s > stall_weighted.stall_s


def test_objective_shortens_tail_gaps_when_tail_weight_is_raised() -> None:
    heavy = replay_with(Objective(tail_weight=10.0)).summary
    default = replay_with(Objective()).summary
    assert heavy.gap_p999_ms < default.gap_p999_ms
    assert heavy.stall_s > default.stall_s


def test_default_policy_outperforms_baselines_when_engines_are_saturated() -> None:
    policies = ("owner", "two-choices", "least-outstanding")
    full = replace(SHORT_RUN, load=1.6, setting="small-memory")
    reports = execute_runs([replace(full, policy=name) for name in policies], processes=1)
    owner, *baselines = (report.summary for report in reports)
    for baseline in baselines:
        assert owner.stall_s < 0.6 * baseline.stall_s
        assert owner.good_tokens >= baseline.good_tokens


@pytest.mark.parametrize("user", ["trois-rivieres", "film-office"])
def test_stored_trace_meets_expected_outcomes_when_default_policy_is_replayed(user: str) -> None:
    trace = Path(__file__).parent.parent / "traces" / f"{user}-peak.jsonl"
    assert main(str(trace), policy="owner", seeds="101") == 0


def test_replay_prints_missed_outcome_when_bound_is_exceeded(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "small.jsonl"
    write_trace(path, generate_trace(user="trois-rivieres", rate=4.0, seed=1, duration_s=10))
    outcomes = tmp_path / "small.outcomes.json"

    def run_with_bound(measure: str, most: float) -> int:
        expected = [{"policy": "owner", "measure": measure, "most": most}]
        outcomes.write_bytes(msgspec.json.encode(expected))
        return main(str(path), policy="owner", seeds="101")

    assert run_with_bound("stall_s", 1.0) == 0
    assert "met: owner seed 101 stall_s" in capsys.readouterr().out
    assert run_with_bound("completed", 1.0) == 1
    assert "MISSED: owner seed 101 completed" in capsys.readouterr().out


@pytest.mark.parametrize(
    ("call", "message"),
    [
        (lambda: main("nothing.jsonl"), "use a file or one of trois-rivieres"),
        (lambda: main("film-office", policy="best"), "choose from all, round-robin"),
        (lambda: main("film-office", setting="odd"), "choose from standard"),
        (lambda: main("film-office", case="odd"), "choose from none"),
    ],
)
def test_replay_lists_allowed_values_when_arguments_are_invalid(
    call: Callable[[], int], message: str, capsys: pytest.CaptureFixture[str]
) -> None:
    assert call() == 2
    assert message in capsys.readouterr().err
