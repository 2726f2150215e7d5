"""Choices between engines of one service that take 0.7, 0.7 and 1.7 times as long.

Load: 11 long and 12.2 short generations a second on 23 engines, also in bursts of a fifth of the
time. One engine falls to 0.4 of its speed for 600 ms of each 4 s. Long generations should avoid
slow engines, and first events should come in time.
"""

from __future__ import annotations

import heapq
from random import Random

from msgspec import Struct
import pytest

from tanagerscale.core import FailureDomainId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import MoveKind
from tanagerscale.policy import DEFAULT_SPEEDS
from tanagerscale.policy import UNKNOWN_SPEED
from tanagerscale.policy import EngineSpeed
from tanagerscale.policy import EngineView
from tanagerscale.policy import MovableRun
from tanagerscale.policy import MoveSnapshot
from tanagerscale.policy import PlacementQuery
from tanagerscale.policy import PlacementVerdict
from tanagerscale.policy import ServiceSpeeds
from tanagerscale.policy import add_decode_sample
from tanagerscale.policy import add_prefill_sample
from tanagerscale.policy import expected_prefill_tokens
from tanagerscale.policy import get_prefill_tokens_per_ms
from tanagerscale.policy import get_slowness
from tanagerscale.policy import next_move
from tanagerscale.policy import place
from tanagerscale.policy import select_engine
from tanagerscale.policy import summarize_speeds
from tanagerscale.policy._speeds import FRESH_MS
from tanagerscale.policy._speeds import HALF_LIFE_MS

DOMAIN = FailureDomainId("here")
DEFAULT_PREFILL = 7.3
"""Tokens per ms of an engine that takes 1 times as long."""

ENGINES = 23
FACTORS = [(0.7, 0.7, 1.7)[number % 3] for number in range(ENGINES)]
SLUGGISH = 1
"""The engine that falls to 0.4 of its speed for 600 ms of each 4 s."""

LONG_TARGET_MS, SHORT_TARGET_MS = 1813, 1509
LONG_PROMPT, SHORT_PROMPT = 3000, 2200


def _now(ms: int) -> Millis:
    return Millis(ms)


def _prefill(
    speed: EngineSpeed, *times: float, service: ServiceSpeeds = DEFAULT_SPEEDS, at: int = 0
) -> EngineSpeed:
    """Add first events of prompts of 3,000 tokens, as factors of the default time."""
    for factor in times:
        ms = round(LONG_PROMPT / DEFAULT_PREFILL * factor)
        speed = add_prefill_sample(speed, service=service, tokens=LONG_PROMPT, ms=ms, now=_now(at))
    return speed


def _make_service(*factors: float) -> ServiceSpeeds:
    return summarize_speeds([_prefill(UNKNOWN_SPEED, factor) for factor in factors])


def _make_view(name: str, **changes: object) -> EngineView:
    defaults: dict[str, object] = {
        "upstream": UpstreamId(name),
        "failure_domain": DOMAIN,
        "memory_tokens": 26_880,
        "held_tokens": 0,
        "copy_tokens": 0,
        "evictable_tokens": 0,
        "uncopied_tokens": 0,
        "running": 0,
        "waiting_tokens": 0,
        "waiting": 0,
        "max_batch": 24,
        "warmup_ms": 0,
    }
    return EngineView(**{**defaults, **changes})  # type: ignore[arg-type]


class _Totals(Struct, kw_only=True):
    """What became of the generations."""

    first_events: int = 0
    in_time: int = 0
    long: int = 0
    long_on_slow: int = 0


def _time_factor(engine: int, at_ms: float) -> float:
    is_sluggish = engine == SLUGGISH and at_ms % 4000 < 600
    return FACTORS[engine] / (0.4 if is_sluggish else 1.0)


def _serve(*, is_learned: bool, load: float, burst: float, seed: int) -> _Totals:
    """Place generations of 20 s on engines that prefill one prompt after the other.

    :param is_learned: Whether speeds are learned, or taken for equal.
    :param load: Arrivals, as a factor of the rates of the load.
    :param burst: Fraction of each 4 s in which they arrive.
    :param seed: Seed of the arrivals.
    """
    rng = Random(seed)
    queue: list[tuple[float, float, bool]] = []
    """When a generation is placed, when it arrived, and whether it is long."""
    for is_long, per_s in ((True, 11.0), (False, 12.2)):
        at = 0.0
        while (at := at + rng.expovariate(per_s * load / 1000)) < 20_000:
            arrival = at // 4000 * 4000 + at % 4000 * burst
            queue.append((arrival, arrival, is_long))
    heapq.heapify(queue)
    speeds = [UNKNOWN_SPEED] * ENGINES
    ready = [0.0] * ENGINES
    firsts: list[tuple[float, float, int, int, int]] = []
    running: list[list[float]] = [[] for _ in range(ENGINES)]
    totals = _Totals()
    while queue:
        now, arrived, is_long = heapq.heappop(queue)
        service = summarize_speeds(speeds)
        while firsts and firsts[0][0] <= now:
            at, sent, one, queued, prompt = heapq.heappop(firsts)
            tokens = expected_prefill_tokens(queued_tokens=queued, prompt_tokens=prompt)
            speeds[one] = add_prefill_sample(
                speeds[one], service=service, tokens=tokens, ms=int(at - sent), now=_now(int(at))
            )
        views = []
        for one in range(ENGINES):
            running[one] = [end for end in running[one] if end > now]
            waiting = [prompt for _, _, engine, _, prompt in firsts if engine == one]
            learned: dict[str, object] = {}
            if is_learned:
                speed, at_now = speeds[one], _now(int(now))
                learned = {
                    "prefill_tokens_per_ms": get_prefill_tokens_per_ms(
                        speed, service=service, now=at_now
                    ),
                    "slowness": get_slowness(speed, service=service, now=at_now),
                }
            view = _make_view(
                str(one),
                running=max(len(running[one]) - len(waiting), 0),
                held_tokens=len(running[one]) * 3400,
                waiting=len(waiting),
                waiting_tokens=sum(waiting),
                **learned,
            )
            views.append(view)
        prompt = LONG_PROMPT if is_long else SHORT_PROMPT
        left_ms = int(arrived + (LONG_TARGET_MS if is_long else SHORT_TARGET_MS) - now)
        query = PlacementQuery(
            prompt_tokens=prompt, is_long=is_long, left_ms=left_ms, patience_ms=3000
        )
        placed = place(query=query, views=views, failure_domain=DOMAIN, rng=rng)
        if placed.verdict is PlacementVerdict.WAIT:
            heapq.heappush(queue, (now + 50, arrived, is_long))
            continue
        totals.first_events += 1
        if placed.engine is None:
            continue
        one = int(placed.engine.upstream)
        at = max(now, ready[one])
        for _ in range(0, prompt, 100):
            at += 100 / DEFAULT_PREFILL * _time_factor(one, at)
        ready[one] = at
        heapq.heappush(firsts, (at, now, one, placed.engine.waiting_tokens + prompt, prompt))
        running[one].append(at + (744 * 9 * FACTORS[one] if is_long else 20))
        totals.in_time += at - now <= left_ms
        totals.long += is_long
        totals.long_on_slow += is_long and FACTORS[one] > 1
    return totals


# Guards against long generations on slow engines, of which 29% had a gap over the limit.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_long_generations_avoid_slow_engines_when_speeds_are_learned(seed: int) -> None:
    learned = _serve(is_learned=True, load=1.5, burst=1.0, seed=seed)
    equal = _serve(is_learned=False, load=1.5, burst=1.0, seed=seed)
    assert equal.long_on_slow / equal.long > 0.15
    assert learned.long_on_slow / learned.long < 0.04
    assert learned.in_time == learned.first_events


# Guards against bursts that are spread evenly, so that they are late on slow engines.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_first_events_are_in_time_when_bursts_arrive_and_speeds_are_learned(seed: int) -> None:
    learned = _serve(is_learned=True, load=1.25, burst=0.2, seed=seed)
    equal = _serve(is_learned=False, load=1.25, burst=0.2, seed=seed)
    assert equal.in_time / equal.first_events < 0.98
    assert learned.in_time / learned.first_events > 0.985
    assert learned.long_on_slow < 0.65 * equal.long_on_slow


# Guards against forecasts that need many samples: each start of an engine shows one a second.
def test_speed_is_almost_right_when_an_engine_has_shown_two_samples() -> None:
    service = _make_service(0.7, 0.7, 0.7, 0.7, 1.7)
    speed = _prefill(UNKNOWN_SPEED, 1.7, 1.7, service=service)
    found = get_prefill_tokens_per_ms(speed, service=service, now=_now(0))
    assert found == pytest.approx(DEFAULT_PREFILL / 1.7, rel=0.2)
    assert get_slowness(speed, service=service, now=_now(0)) == pytest.approx(1.7 / 0.7, rel=0.2)


# Guards against one accidental sample, such as a prompt in the cache, that decides alone.
@pytest.mark.parametrize("factor", [0.05, 0.3, 3.0, 15.0])
def test_speed_changes_by_less_than_half_when_one_sample_differs(factor: float) -> None:
    service = _make_service(1.0, 1.0, 1.0, 1.0)
    for before in (UNKNOWN_SPEED, _prefill(UNKNOWN_SPEED, 1.0, 1.0, service=service)):
        found = get_prefill_tokens_per_ms(
            _prefill(before, factor, service=service), service=service, now=_now(0)
        )
        assert 0.5 * DEFAULT_PREFILL < found < 1.5 * DEFAULT_PREFILL


# Guards against a slow period of some seconds that is not seen, or that is kept for ever.
def test_slow_period_shows_and_passes_when_an_engine_shows_a_sample_a_second() -> None:
    service = _make_service(*[1.0] * 9)
    speed = _prefill(UNKNOWN_SPEED, 1.0, 1.0, 1.0, service=service)
    seen = []
    for second, factor in enumerate([2.5, 2.5, 2.5, 1.0, 1.0, 1.0, 1.0]):
        speed = _prefill(speed, factor, service=service, at=1000 * second)
        seen.append(get_slowness(speed, service=service, now=_now(1000 * second)))
    assert all(slowness > 1.4 for slowness in seen[:3])
    assert seen[2] > 2
    assert seen[-1] == 1


# Guards against an engine that gets no work since it was slow, and so never shows that it is not.
def test_slowness_passes_when_an_engine_shows_nothing_for_minutes() -> None:
    service = _make_service(*[1.0] * 9)
    speed = _prefill(UNKNOWN_SPEED, 2.5, 2.5, 2.5, service=service)
    found = [
        get_slowness(speed, service=service, now=_now(FRESH_MS + lives * HALF_LIFE_MS))
        for lives in range(5)
    ]
    assert found[0] > found[1] > found[2] > 1
    assert found[-1] == 1


# Guards against prompts that wait for a new prompt on an engine with an unknown speed.
def test_unknown_engine_has_the_median_speed_when_its_service_has_shown_one() -> None:
    service = _make_service(0.7, 0.7, 1.7)
    found = get_prefill_tokens_per_ms(UNKNOWN_SPEED, service=service, now=_now(0))
    assert found == pytest.approx(DEFAULT_PREFILL / 0.7, rel=0.01)
    assert get_slowness(UNKNOWN_SPEED, service=service, now=_now(0)) == 1


# Guards against decisions from a single sample in a new coordinator.
def test_speeds_are_the_default_when_a_service_has_shown_two_samples() -> None:
    service = _make_service(0.5, 3.0)
    speed = _prefill(UNKNOWN_SPEED, 3.0)
    assert get_prefill_tokens_per_ms(speed, service=service, now=_now(0)) == DEFAULT_PREFILL
    assert get_slowness(speed, service=service, now=_now(0)) == 1


# Guards against samples that no engine can have shown, and against errors that they cause.
@pytest.mark.parametrize(
    ("tokens", "ms"),
    [(0, 400), (3000, 0), (-5, 400), (3000, -1), (3000, 8500), (90_000, 400), (10**400, 10**400)],
)
def test_implausible_samples_are_not_counted(tokens: int, ms: int) -> None:
    before = _prefill(UNKNOWN_SPEED, 1.0)
    after = add_prefill_sample(before, service=DEFAULT_SPEEDS, tokens=tokens, ms=ms, now=_now(1))
    assert after == before


# Guards against a pause of a run, or a burst after one, that counts as the speed of its engine.
@pytest.mark.parametrize(("tokens", "ms"), [(0, 500), (2, 500), (4000, 500), (-40, 500)])
def test_implausible_progress_is_not_counted(tokens: int, ms: int) -> None:
    after = add_decode_sample(
        UNKNOWN_SPEED, service=DEFAULT_SPEEDS, tokens=tokens, ms=ms, now=_now(1)
    )
    assert after == UNKNOWN_SPEED


# Guards against an engine that stays slow since only runs, and no prompts, show its speed.
def test_decoding_shows_the_slowness_when_no_prompts_are_sent() -> None:
    known = []
    for factor in (1.0, 1.0, 1.0, 2.5):
        speed = _prefill(UNKNOWN_SPEED, 1.0)
        for _ in range(20):
            speed = add_decode_sample(
                speed,
                service=DEFAULT_SPEEDS,
                tokens=56,
                ms=int(504 * factor),
                now=_now(FRESH_MS + 1),
            )
        known.append(speed)
    service = summarize_speeds(known)
    found = [get_slowness(one, service=service, now=_now(FRESH_MS + 1)) for one in known]
    assert found == [1, 1, 1, pytest.approx(2.5, rel=0.1)]


# Guards against other choices than before in deployments whose engines are alike.
@pytest.mark.parametrize("is_long", [False, True])
def test_choices_are_as_before_when_all_engines_are_alike(is_long: bool) -> None:
    rng = Random(5)
    speeds = [
        _prefill(UNKNOWN_SPEED, *(rng.uniform(0.95, 1.05) for _ in range(number)))
        for number in range(9)
    ]
    service = summarize_speeds(speeds)
    for number in range(500):
        loads = [
            {"running": rng.randrange(12), "waiting_tokens": rng.randrange(9) * 1000}
            for _ in speeds
        ]
        learned = [
            _make_view(
                str(one),
                prefill_tokens_per_ms=get_prefill_tokens_per_ms(
                    speeds[one], service=service, now=_now(0)
                ),
                slowness=get_slowness(speeds[one], service=service, now=_now(0)),
                **load,
            )
            for one, load in enumerate(loads)
        ]
        before = [_make_view(str(one), **load) for one, load in enumerate(loads)]
        query = PlacementQuery(prompt_tokens=3000, is_long=is_long, left_ms=rng.randrange(1800))
        chosen = [
            place(query=query, views=views, failure_domain=DOMAIN, rng=Random(number))
            for views in (learned, before)
        ]
        assert chosen[0] == chosen[1]


def _select(*views: EngineView, is_long: bool, prompt: int = 3000, left_ms: float = 1800) -> str:
    selected = select_engine(
        views=views,
        prompt_tokens=prompt,
        is_long=is_long,
        failure_domain=DOMAIN,
        rng=Random(1),
        left_ms=left_ms,
    )
    assert selected is not None
    return selected.upstream


FAST_BUSY = _make_view("fast", prefill_tokens_per_ms=10.4, waiting_tokens=9000)
SLOW_IDLE = _make_view("slow", prefill_tokens_per_ms=4.3, slowness=2.4)


# Guards against long generations on slow engines, and short ones that wait for fast ones.
@pytest.mark.parametrize(("is_long", "engine"), [(True, "fast"), (False, "slow")])
def test_only_a_long_generation_waits_for_a_fast_engine(is_long: bool, engine: str) -> None:
    assert _select(FAST_BUSY, SLOW_IDLE, is_long=is_long) == engine


# Guards against late first events that only avoid a slow engine.
def test_slow_engine_is_selected_when_no_other_one_is_in_time() -> None:
    assert _select(FAST_BUSY, SLOW_IDLE, is_long=True, left_ms=1000) == "slow"


# Guards against a fast engine that is preferred although nothing can be in time any more.
def test_first_event_decides_when_a_long_generation_is_late() -> None:
    assert _select(FAST_BUSY, SLOW_IDLE, is_long=True, left_ms=-10) == "slow"


# Guards against runs that are moved to slow engines.
def test_moved_run_goes_to_a_fast_engine() -> None:
    crowded = _make_view("fast", running=12, uncopied_tokens=20_000, waiting_tokens=6000)
    assert _select(crowded, SLOW_IDLE, is_long=True, prompt=0, left_ms=float("inf")) == "fast"


# Guards against waits for an engine that is too slow for the prompt in any case, or not slow.
@pytest.mark.parametrize(
    ("tokens_per_ms", "verdict"), [(10.4, PlacementVerdict.WAIT), (2.0, PlacementVerdict.SEND)]
)
def test_prompt_waits_only_when_the_learned_speed_can_still_make_it_in_time(
    tokens_per_ms: float, verdict: PlacementVerdict
) -> None:
    view = _make_view("x", prefill_tokens_per_ms=tokens_per_ms, waiting_tokens=9000)
    query = PlacementQuery(prompt_tokens=3000, is_long=True, left_ms=1000)
    placed = place(query=query, views=[view], failure_domain=DOMAIN, rng=Random(1))
    assert placed.verdict is verdict


# Guards against runs that are moved to a slow engine only since it is emptier.
@pytest.mark.parametrize(("slowness", "is_moved"), [(1.0, True), (2.4, False)])
def test_run_is_not_rebalanced_to_a_slower_engine(slowness: float, is_moved: bool) -> None:
    full, empty = UpstreamId("full"), UpstreamId("empty")
    run = MovableRun(
        request=RequestId("run"), engine=full, tokens=4000, answer_tokens=1000, copy_at=empty
    )
    snapshot = MoveSnapshot(
        runs=[run],
        engines={
            full: _make_view("full", held_tokens=20_000, running=5),
            empty: _make_view("empty", evictable_tokens=4000, slowness=slowness),
        },
        eligible={full, empty},
        leaving={},
        unreachable=set(),
        busy=set(),
        token_bytes=100_000,
        link_mbps=10_000.0,
    )
    move = next_move(snapshot=snapshot, rng=Random(1))
    assert (move is not None and move.kind is MoveKind.EVEN_OUT) is is_moved
