"""Selection of an engine for a generation, and when a generation waits or is refused."""

from __future__ import annotations

from random import Random

from msgspec.structs import replace
import pytest

from tanagerscale.core import FailureDomainId
from tanagerscale.core import UpstreamId
from tanagerscale.policy import MAX_COPY_MEMORY_RATIO
from tanagerscale.policy import MAX_SPARE_COPY_MEMORY_RATIO
from tanagerscale.policy import EngineView
from tanagerscale.policy import PlacementQuery
from tanagerscale.policy import PlacementVerdict
from tanagerscale.policy import has_capacity
from tanagerscale.policy import has_capacity_for_copy
from tanagerscale.policy import is_imbalanced
from tanagerscale.policy import place
from tanagerscale.policy import tokens_to_evict

LOCAL_DOMAIN = FailureDomainId("here")
REMOTE_DOMAIN = FailureDomainId("there")


def _make_view(name: str = "x", **changes: object) -> EngineView:
    defaults: dict[str, object] = {
        "upstream": UpstreamId(name),
        "failure_domain": LOCAL_DOMAIN,
        "memory_tokens": 34_000,
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


def _place(query: PlacementQuery, *views: EngineView) -> tuple[PlacementVerdict, str | None]:
    placement = place(query=query, views=views, failure_domain=LOCAL_DOMAIN, rng=Random(1))
    return placement.verdict, None if placement.engine is None else placement.engine.upstream


def _make_query(*, prompt: int = 3000, is_long: bool = True, left_ms: int = 1500) -> PlacementQuery:
    return PlacementQuery(prompt_tokens=prompt, is_long=is_long, left_ms=left_ms)


def test_engine_with_fewest_waiting_prompts_is_selected_when_many_arrive() -> None:
    busy = _make_view("busy", waiting_tokens=6000, waiting=2, held_tokens=6000)
    assert _place(_make_query(), busy, _make_view("idle")) == (PlacementVerdict.SEND, "idle")


def test_engine_with_fewer_generations_is_selected_when_no_prompts_wait() -> None:
    loaded = _make_view("crowd", running=6, held_tokens=20_000)
    assert (
        _place(_make_query(), loaded, _make_view("few", running=1, held_tokens=20_000))[1] == "few"
    )


def test_same_failure_domain_is_selected_when_engines_are_equal() -> None:
    assert (
        _place(_make_query(), _make_view("far", failure_domain=REMOTE_DOMAIN), _make_view("near"))[
            1
        ]
        == "near"
    )


def test_other_failure_domain_is_selected_when_it_is_faster() -> None:
    near = _make_view("near", waiting_tokens=3000, waiting=1, held_tokens=3000)
    assert _place(_make_query(), near, _make_view("far", failure_domain=REMOTE_DOMAIN))[1] == "far"


def test_engine_with_fewer_uncopied_tokens_is_selected_for_a_long_generation() -> None:
    uncopied = _make_view("exposed", running=3, held_tokens=12_000, uncopied_tokens=12_000)
    copied = _make_view("copied", running=3, held_tokens=12_000, uncopied_tokens=0)
    assert _place(_make_query(), uncopied, copied)[1] == "copied"


def test_engine_in_warmup_is_selected_only_when_it_is_faster() -> None:
    old = _make_view("old", waiting_tokens=9000, waiting=3, held_tokens=9000, running=1)
    assert _place(_make_query(), old, _make_view("new", warmup_ms=900))[1] == "new"
    assert _place(_make_query(), _make_view("old"), _make_view("new", warmup_ms=900))[1] == "old"


def test_generation_waits_when_memory_is_full_before_its_deadline() -> None:
    full = _make_view(held_tokens=31_000, running=8)
    assert _place(_make_query(), full) == (PlacementVerdict.WAIT, None)


def test_generation_is_refused_when_memory_is_full_at_its_deadline() -> None:
    full = _make_view(held_tokens=31_000, running=8)
    assert _place(_make_query(left_ms=0), full) == (PlacementVerdict.REFUSE, None)


def test_generation_waits_when_prompts_ahead_would_make_it_late() -> None:
    queue = _make_view(waiting_tokens=12_000, waiting=4, held_tokens=12_000, running=1)
    assert _place(_make_query(left_ms=1500), queue)[0] is PlacementVerdict.WAIT


def test_late_generation_is_sent_when_there_is_capacity() -> None:
    assert _place(_make_query(left_ms=-5000), _make_view())[0] is PlacementVerdict.SEND


def test_late_long_generation_leaves_memory_for_one_that_may_be_in_time() -> None:
    # The engine has memory for a prompt of 4,000 tokens and its growth.
    view = _make_view(held_tokens=27_800)
    assert _place(_make_query(left_ms=1), view)[0] is PlacementVerdict.SEND
    late = PlacementQuery(prompt_tokens=3000, is_long=True, left_ms=-1, patience_ms=1000)
    assert _place(late, view)[0] is PlacementVerdict.WAIT
    short = PlacementQuery(prompt_tokens=3000, is_long=False, left_ms=-1, patience_ms=1000)
    assert _place(short, view)[0] is PlacementVerdict.SEND


def test_late_generation_waits_until_its_patience_ends() -> None:
    full = _make_view(held_tokens=33_000)
    for patience_ms, verdict in ((3000, PlacementVerdict.WAIT), (2000, PlacementVerdict.REFUSE)):
        late = PlacementQuery(
            prompt_tokens=3000, is_long=True, left_ms=-2500, patience_ms=patience_ms
        )
        assert _place(late, full)[0] is verdict


def test_generation_waits_when_no_engine_accepts_work() -> None:
    assert _place(_make_query()) == (PlacementVerdict.WAIT, None)
    assert _place(_make_query(left_ms=0)) == (PlacementVerdict.REFUSE, None)


def test_engine_has_no_capacity_when_all_batch_slots_are_taken() -> None:
    assert not has_capacity(view=_make_view(running=20, waiting=4), tokens=100)


@pytest.mark.parametrize(
    ("held_tokens", "max_ratio", "has_memory"),
    [
        (25_000, MAX_COPY_MEMORY_RATIO, True),
        (29_000, MAX_COPY_MEMORY_RATIO, False),
        (15_000, MAX_SPARE_COPY_MEMORY_RATIO, True),
        (25_000, MAX_SPARE_COPY_MEMORY_RATIO, False),
    ],
)
def test_copies_leave_memory_for_a_prompt_and_spare_copies_leave_more(
    held_tokens: int, max_ratio: float, has_memory: bool
) -> None:
    view = _make_view(held_tokens=held_tokens)
    assert has_capacity_for_copy(view=view, tokens=3000, max_ratio=max_ratio) is has_memory


def test_prompt_is_sent_at_once_when_it_is_late_on_any_engine() -> None:
    assert (
        _place(_make_query(prompt=20_000, left_ms=1500), _make_view())[0] is PlacementVerdict.SEND
    )


def test_long_generation_waits_while_evacuated_runs_need_the_memory() -> None:
    views = [
        _make_view("x", held_tokens=26_000, running=6),
        _make_view("y", held_tokens=24_000, running=6),
    ]
    free = place(query=_make_query(), views=views, failure_domain=LOCAL_DOMAIN, rng=Random(1))
    assert free.verdict is PlacementVerdict.SEND
    reserved = place(
        query=_make_query(),
        views=views,
        reserved_tokens=9000,
        failure_domain=LOCAL_DOMAIN,
        rng=Random(1),
    )
    assert (reserved.verdict, reserved.engine) == (PlacementVerdict.WAIT, None)


def test_short_generation_is_sent_before_evacuated_runs() -> None:
    view = _make_view(held_tokens=24_000, running=6)
    query = _make_query(prompt=2000, is_long=False)
    placement = place(
        query=query,
        views=[view],
        reserved_tokens=20_000,
        failure_domain=LOCAL_DOMAIN,
        rng=Random(1),
    )
    assert placement.verdict is PlacementVerdict.SEND


def test_copies_ahead_yield_memory_to_prompts_but_not_to_other_copies() -> None:
    view = _make_view(held_tokens=20_000, evictable_tokens=9000, running=5)
    assert has_capacity(view=view, tokens=3000)
    assert not has_capacity_for_copy(view=view, tokens=3000, max_ratio=MAX_COPY_MEMORY_RATIO)


def test_only_the_memory_that_an_engine_lacks_is_evicted() -> None:
    # 32,300 of 34,000 tokens may be planned for, and each of the five generations reserves 250
    # for its growth.
    assert tokens_to_evict(_make_view(held_tokens=20_000, evictable_tokens=9000, running=5)) == 0
    assert tokens_to_evict(_make_view(held_tokens=25_000, evictable_tokens=9000, running=5)) == 2950
    assert tokens_to_evict(_make_view(held_tokens=33_000, evictable_tokens=900, running=5)) == 900


@pytest.mark.parametrize(("difference_tokens", "imbalanced"), [(9000, False), (11_000, True)])
def test_engines_are_imbalanced_only_when_the_target_stays_the_emptier_one(
    difference_tokens: int, imbalanced: bool
) -> None:
    full = _make_view("full", held_tokens=10_000 + difference_tokens, running=1)
    empty = _make_view("empty", held_tokens=10_000, running=1)
    assert is_imbalanced(full=full, empty=empty, tokens=4000) is imbalanced


# Guards against late generations that fill the engines' queues while those that can still be in
# time wait for a short one.
def test_late_generation_waits_when_others_in_time_wait_for_shorter_queues() -> None:
    busy = _make_view("busy", waiting_tokens=6000, waiting=2, held_tokens=6000)
    short = _make_view("short", waiting_tokens=3000, waiting=1, held_tokens=3000)
    late = PlacementQuery(prompt_tokens=2000, is_long=False, left_ms=-100, patience_ms=3000)
    yielding = replace(late, yields=True)
    assert _place(yielding, busy) == (PlacementVerdict.WAIT, None)
    assert _place(yielding, busy, short) == (PlacementVerdict.SEND, "short")
    assert _place(late, busy) == (PlacementVerdict.SEND, "busy")
    assert _place(_make_query(left_ms=1300), busy) == (PlacementVerdict.SEND, "busy")
