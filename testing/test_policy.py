"""Forecasting scheduler: bookkeeping, length estimates and admission."""

from __future__ import annotations

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from msgspec.structs import replace
import pytest

from tanagerscale.core import ClientAccountId
from tanagerscale.core import GenerationId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.declarations import Objective
from tanagerscale.policy import AccountSpec
from tanagerscale.policy import DecisionKind
from tanagerscale.policy import EngineLoad
from tanagerscale.policy import EngineSpec
from tanagerscale.policy import ForecastScheduler
from tanagerscale.policy import LengthEstimator
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import Tuning
from tanagerscale.policy import make_scheduler
from tanagerscale.policy import tuning_for
from testing._random_cases import random_case_settings

ENGINES = tuple(UpstreamId(f"engine-{number}") for number in range(3))
MEMORY = 8_000


def make_spec(engine: UpstreamId, *, memory: int = MEMORY, batch: int = 8) -> EngineSpec:
    return EngineSpec(engine=engine, memory_tokens=memory, max_batch=batch)


def make_request(
    number: int,
    *,
    account: str = "account",
    kind: str = "check",
    prompt: int = 200,
    priority: int = 1,
    prefix: str = "",
    arrived: int = 0,
    excluded: frozenset[UpstreamId] = frozenset(),
    sheddable: bool = True,
) -> PlacementRequest:
    return PlacementRequest(
        generation=GenerationId(f"generation-{number}"),
        model=ModelId("model"),
        account=ClientAccountId(account),
        request_class=kind,
        priority=priority,
        prompt_tokens=prompt,
        max_tokens=4_000,
        prefix=prefix,
        prefix_tokens=100 if prefix else 0,
        arrived=Millis(arrived),
        excluded=excluded,
        sheddable=sheddable,
    )


def make_forecast_scheduler(
    *, tuning: Tuning | None = None, share: float = 1.0
) -> ForecastScheduler:
    target = ForecastScheduler(accounts={}, tuning=tuning or Tuning(), rng=Random(1), share=share)
    target.set_engines(engines=[make_spec(engine) for engine in ENGINES], now=Millis(0))
    return target


def train_estimator(target: ForecastScheduler, *, kind: str, tokens: int, count: int = 60) -> None:
    for number in range(count):
        target.observe(request=make_request(number, kind=kind), tokens=tokens)


class SchedulerMachine(RuleBasedStateMachine):
    """Compares the scheduler with a model of the queued and running generations."""

    def __init__(self) -> None:
        super().__init__()
        self.now = Millis(0)
        self.scheduler = make_forecast_scheduler(tuning=Tuning(shed_after_ms=2_000.0))
        self.open = set(ENGINES)
        self.number = 0
        self.queued: dict[GenerationId, PlacementRequest] = {}
        self.running: dict[GenerationId, UpstreamId] = {}
        self.tokens: dict[GenerationId, int] = {}

    @rule(
        account=st.sampled_from(["a", "b", "c"]),
        kind=st.sampled_from(["check", "plan"]),
        prompt=st.integers(101, 3_000),
        prefix=st.sampled_from(["", "p", "q"]),
        excluded=st.sets(st.sampled_from(ENGINES), max_size=2),
    )
    def submit(
        self, account: str, kind: str, prompt: int, prefix: str, excluded: set[UpstreamId]
    ) -> None:
        self.number += 1
        item = make_request(
            self.number,
            account=account,
            kind=kind,
            prompt=prompt,
            prefix=prefix,
            arrived=self.now,
            excluded=frozenset(excluded),
        )
        self.queued[item.generation] = item
        self.scheduler.submit(request=item, now=self.now)
        self.scheduler.submit(request=item, now=self.now)

    @precondition(lambda self: self.queued)
    @rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        generation = data.draw(st.sampled_from(sorted(self.queued)))
        del self.queued[generation]
        self.scheduler.withdraw(generation=generation, now=self.now)

    @rule(elapsed_ms=st.integers(0, 2_000))
    def decide(self, elapsed_ms: int) -> None:
        self.now = Millis(self.now + elapsed_ms)
        for decision in self.scheduler.decide(now=self.now):
            asked = self.queued.pop(decision.generation)
            if decision.kind is DecisionKind.SHED:
                assert decision.retry_after_ms > 0
                continue
            assert decision.kind is DecisionKind.ADMIT
            assert decision.engine is not None
            assert decision.engine in self.open - asked.excluded
            assert decision.generation not in self.running
            self.running[decision.generation] = decision.engine
            self.tokens[decision.generation] = 0

    @precondition(lambda self: self.running)
    @rule(data=st.data(), new_tokens=st.integers(0, 400))
    def progress(self, data: st.DataObject, new_tokens: int) -> None:
        generation = data.draw(st.sampled_from(sorted(self.running)))
        self.tokens[generation] += new_tokens
        self.scheduler.on_progress(
            generation=generation, tokens=self.tokens[generation], now=self.now
        )

    @precondition(lambda self: self.running)
    @rule(data=st.data(), complete=st.booleans())
    def finish(self, data: st.DataObject, complete: bool) -> None:
        generation = data.draw(st.sampled_from(sorted(self.running)))
        self._finish(generation, complete=complete)

    def _finish(self, generation: GenerationId, *, complete: bool) -> None:
        del self.running[generation]
        for _ in range(2):
            self.scheduler.on_finished(
                generation=generation,
                tokens=self.tokens[generation],
                complete=complete,
                now=self.now,
            )

    @rule(engines=st.sets(st.sampled_from(ENGINES)))
    def set_engines(self, engines: set[UpstreamId]) -> None:
        self.open = engines
        self.scheduler.set_engines(engines=[make_spec(item) for item in engines], now=self.now)

    @rule(engine=st.sampled_from(ENGINES))
    def lose_engine(self, engine: UpstreamId) -> None:
        self.open.discard(engine)
        self.scheduler.on_engine_lost(engine=engine, now=self.now)
        self.running = {name: where for name, where in self.running.items() if where != engine}

    @rule(engine=st.sampled_from(ENGINES), used=st.integers(0, MEMORY), age=st.integers(0, 2_000))
    def report(self, engine: UpstreamId, used: int, age: int) -> None:
        load = EngineLoad(
            engine=engine,
            measured=Millis(max(self.now - age, 0)),
            running=2,
            waiting=0,
            used_tokens=used,
            preemptions=0,
        )
        self.scheduler.on_load(load=load, now=self.now)

    @invariant()
    def check_counts(self) -> None:
        assert self.scheduler.queued == len(self.queued)
        assert self.scheduler.running == len(self.running)

    def teardown(self) -> None:
        for generation in list(self.running):
            self._finish(generation, complete=True)
        assert [self.scheduler.held_tokens(engine=engine) for engine in ENGINES] == [0, 0, 0]
        for generation in list(self.queued):
            self.scheduler.withdraw(generation=generation, now=self.now)
        assert self.scheduler.queued == 0
        assert not self.scheduler.decide(now=self.now)


TestSchedulerMachine = SchedulerMachine.TestCase
TestSchedulerMachine.settings = random_case_settings(examples=40, steps=40)


def test_estimator_keeps_its_curve_when_a_generation_has_not_ended() -> None:
    target = make_forecast_scheduler()
    target.submit(request=make_request(1), now=Millis(0))
    assert target.decide(now=Millis(0))
    before = LengthEstimator().curve(request=make_request(2)).mean
    target.on_progress(generation=GenerationId("generation-1"), tokens=900, now=Millis(9))
    target.on_finished(
        generation=GenerationId("generation-1"), tokens=900, complete=False, now=Millis(10)
    )
    target.submit(request=make_request(2), now=Millis(11))
    assert target.expected_tokens == before


def test_estimator_backs_off_to_the_class_when_an_account_is_new() -> None:
    estimator = LengthEstimator()
    for number in range(200):
        estimator.observe(request=make_request(number, kind="check"), tokens=20)
        estimator.observe(request=make_request(number, kind="plan"), tokens=2_000)
    new_account = estimator.curve(request=make_request(1, account="stranger", kind="check"))
    assert 15 < new_account.mean < 60


def test_estimator_adapts_when_lengths_change() -> None:
    estimator = LengthEstimator()
    for tokens in (20, 2_000):
        for number in range(2_000):
            estimator.observe(request=make_request(number), tokens=tokens)
    assert estimator.curve(request=make_request(1)).mean > 1_500


def test_survival_odds_grow_with_length_when_lengths_are_heavy_tailed() -> None:
    rng = Random(3)
    estimator = LengthEstimator()
    for number in range(2_000):
        estimator.observe(
            request=make_request(number), tokens=int(rng.lognormvariate(5.0, 1.5)) + 1
        )
    curve = estimator.curve(request=make_request(1))
    early_odds = curve.survival(200) / curve.survival(100)
    late_odds = curve.survival(1_100) / curve.survival(1_000)
    assert 1.0 > late_odds > early_odds > 0.0


def test_estimate_stays_below_the_limit_when_the_caller_sets_one() -> None:
    estimator = LengthEstimator()
    for number in range(200):
        estimator.observe(request=make_request(number), tokens=2_000)
    limited = estimator.curve(request=replace(make_request(1), max_tokens=50))
    assert limited.mean <= 60
    assert limited.survival(60) == 0.0


def test_first_burst_is_not_shed_after_a_quiet_period() -> None:
    target = make_forecast_scheduler()
    train_estimator(target, kind="plan", tokens=2_000)
    for number in range(100):
        now = Millis(number * 10_000)
        target.submit(request=make_request(number, kind="plan", arrived=now), now=now)
        assert target.decide(now=now)
        target.on_finished(
            generation=GenerationId(f"generation-{number}"), tokens=1, complete=False, now=now
        )
    burst = Millis(1_000_000)
    for number in range(200, 260):
        target.submit(request=make_request(number, kind="plan", arrived=burst), now=burst)
    kinds = {decision.kind for decision in target.decide(now=burst)}
    assert kinds == {DecisionKind.ADMIT}
    assert target.queued > 0


def test_admission_is_limited_when_forecast_memory_is_full() -> None:
    admitted = {}
    for tokens in (20, 3_000):
        target = make_forecast_scheduler()
        train_estimator(target, kind="check", tokens=tokens)
        for number in range(24):
            target.submit(request=make_request(number), now=Millis(0))
        admitted[tokens] = len(target.decide(now=Millis(0)))
    assert admitted[20] == 24
    assert admitted[3_000] <= 12


def test_short_work_goes_first_when_both_wait() -> None:
    target = make_forecast_scheduler(tuning=Tuning(shed_after_ms=1e9))
    train_estimator(target, kind="check", tokens=20)
    train_estimator(target, kind="plan", tokens=2_000)
    for number in range(60):
        target.submit(request=make_request(number, kind="plan"), now=Millis(0))
    target.submit(request=make_request(99, kind="check", arrived=1), now=Millis(1))
    assert target.decide(now=Millis(1))[0].generation == GenerationId("generation-99")


def test_long_work_goes_first_when_it_has_waited_long() -> None:
    target = make_forecast_scheduler(tuning=Tuning(shed_after_ms=1e9))
    train_estimator(target, kind="check", tokens=20)
    train_estimator(target, kind="plan", tokens=2_000)
    late_ms = 2_000 * int(Tuning().length_ms_per_token) + 60_000
    target.submit(request=make_request(99, kind="check", arrived=late_ms), now=Millis(late_ms))
    target.submit(request=make_request(1, kind="plan", arrived=0), now=Millis(late_ms))
    assert target.decide(now=Millis(late_ms))[0].generation == GenerationId("generation-1")


def test_prefix_decides_the_engine_when_loads_are_equal() -> None:
    for engine in ENGINES:
        target = make_forecast_scheduler()
        target.on_cache(engine=engine, prefix="p", stored=True, now=Millis(0))
        target.submit(request=make_request(1, prefix="p"), now=Millis(1))
        assert target.decide(now=Millis(1))[0].engine == engine


def test_share_bounds_memory_when_the_owner_is_unreachable() -> None:
    target = make_forecast_scheduler(share=0.25)
    target.set_engines(engines=[make_spec(engine, batch=64) for engine in ENGINES], now=Millis(0))
    train_estimator(target, kind="check", tokens=20)
    for number in range(60):
        target.submit(request=make_request(number, prompt=400), now=Millis(0))
    target.decide(now=Millis(0))
    assert 0 < max(target.held_tokens(engine=engine) for engine in ENGINES) <= MEMORY / 4


def test_accounts_are_served_by_weight_when_both_wait() -> None:
    specs = {ClientAccountId("a"): AccountSpec(weight=3.0), ClientAccountId("b"): AccountSpec()}
    target = ForecastScheduler(
        accounts=specs, tuning=Tuning(shed_after_ms=1e9, fairness_ms_per_token=5.0), rng=Random(1)
    )
    target.set_engines(engines=[make_spec(ENGINES[0], memory=2_000)], now=Millis(0))
    train_estimator(target, kind="check", tokens=100)
    for number in range(200):
        account = "a" if number % 2 else "b"
        target.submit(request=make_request(number, account=account), now=Millis(0))
    served = {"a": 0, "b": 0}
    for turn in range(10):
        for decision in target.decide(now=Millis(turn)):
            served["a" if int(decision.generation.split("-")[1]) % 2 else "b"] += 1
            target.on_finished(
                generation=decision.generation, tokens=100, complete=True, now=Millis(turn)
            )
    assert served["a"] / served["b"] == pytest.approx(3.0, rel=0.25)


def test_only_sheddable_requests_are_shed_under_overload() -> None:
    # Guards against shedding a request that has already waited for or run on an engine.
    target = make_forecast_scheduler(tuning=Tuning(shed_after_ms=5_000.0))
    train_estimator(target, kind="plan", tokens=2_000)
    shed: set[GenerationId] = set()
    for number in range(200):
        now = Millis(number * 100)
        target.submit(
            request=make_request(number, kind="plan", arrived=now, sheddable=number % 2 == 0),
            now=now,
        )
        for decision in target.decide(now=now):
            if decision.kind is DecisionKind.SHED:
                shed.add(decision.generation)
            else:
                target.on_progress(generation=decision.generation, tokens=1, now=now)
    assert shed
    assert not shed & {GenerationId(f"generation-{number}") for number in range(1, 200, 2)}


def test_shed_callers_are_admitted_when_they_retry_after_the_given_time() -> None:
    target = make_forecast_scheduler(tuning=Tuning(shed_after_ms=5_000.0))
    train_estimator(target, kind="plan", tokens=2_000)
    retry_times: dict[GenerationId, int] = {}
    number = 0
    retries = refused = 0
    for now in range(0, 600_000, 100):
        returning = [key for key, when in retry_times.items() if when <= now]
        for key in returning:
            del retry_times[key]
        for is_retry in [True] * len(returning) + [False] * (now % 500 == 0):
            number += 1
            target.submit(request=make_request(number, kind="plan", arrived=now), now=Millis(now))
            for decision in target.decide(now=Millis(now)):
                shed = decision.kind is DecisionKind.SHED
                if shed:
                    retry_times[decision.generation] = now + decision.retry_after_ms
                else:
                    target.on_progress(generation=decision.generation, tokens=1, now=Millis(now))
                if is_retry and decision.generation == GenerationId(f"generation-{number}"):
                    refused += shed
            retries += is_retry
        if now % 2_000 == 0 and target.running:
            oldest = next(iter(target.running_generations()))
            target.on_finished(generation=oldest, tokens=2_000, complete=True, now=Millis(now))
    assert retries >= 5
    assert refused <= retries / 10


def test_deviations_follow_the_objective_when_weights_change() -> None:
    preemption_weighted = tuning_for(objective=Objective(preemption_weight=10.0, stall_weight=1.0))
    stall_weighted = tuning_for(objective=Objective(preemption_weight=1.0, stall_weight=10.0))
    assert (
        preemption_weighted.deviations
        > tuning_for(objective=Objective()).deviations
        > stall_weighted.deviations
    )


def test_scheduler_from_make_scheduler_admits_a_request() -> None:
    target = make_scheduler(objective=Objective(), accounts={}, rng=Random(1))
    target.set_engines(engines=[make_spec(ENGINES[0])], now=Millis(0))
    target.submit(request=make_request(1), now=Millis(0))
    assert [decision.engine for decision in target.decide(now=Millis(0))] == [ENGINES[0]]
