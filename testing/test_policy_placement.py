"""Where generations go and when they wait, for each load the policy answers."""

from __future__ import annotations

from random import Random

import pytest

from tanagerscale.core import FailureDomainId
from tanagerscale.core import UpstreamId
from tanagerscale.policy import COPY_MARGIN
from tanagerscale.policy import SPARE_MARGIN
from tanagerscale.policy import EngineView
from tanagerscale.policy import PlacementQuery
from tanagerscale.policy import Verdict
from tanagerscale.policy import has_room
from tanagerscale.policy import has_room_for_copy
from tanagerscale.policy import is_uneven
from tanagerscale.policy import place
from tanagerscale.policy import tokens_to_yield

HERE = FailureDomainId("here")
THERE = FailureDomainId("there")


def _view(name: str = "x", **changes: object) -> EngineView:
    usual: dict[str, object] = {
        "upstream": UpstreamId(name),
        "failure_domain": HERE,
        "memory_tokens": 34_000,
        "held_tokens": 0,
        "copy_tokens": 0,
        "yielding_tokens": 0,
        "uncopied_tokens": 0,
        "running": 0,
        "waiting_tokens": 0,
        "waiting": 0,
        "batch": 24,
        "cold_ms": 0,
    }
    return EngineView(**{**usual, **changes})  # type: ignore[arg-type]


def _place(query: PlacementQuery, *views: EngineView) -> tuple[Verdict, str | None]:
    placement = place(query=query, views=views, failure_domain=HERE, rng=Random(1))
    return placement.verdict, None if placement.engine is None else placement.engine.upstream


def _query(*, prompt: int = 3000, is_long: bool = True, left_ms: int = 1500) -> PlacementQuery:
    return PlacementQuery(prompt_tokens=prompt, is_long=is_long, left_ms=left_ms)


def test_prompt_goes_where_fewest_prompts_wait_when_many_arrive_at_once() -> None:
    busy = _view("busy", waiting_tokens=6000, waiting=2, held_tokens=6000)
    assert _place(_query(), busy, _view("idle")) == (Verdict.SEND, "idle")


def test_prompt_goes_where_fewer_generations_run_when_nothing_waits() -> None:
    crowd = _view("crowd", running=6, held_tokens=20_000)
    assert _place(_query(), crowd, _view("few", running=1, held_tokens=20_000))[1] == "few"


def test_prompt_stays_in_its_failure_domain_when_engines_are_alike() -> None:
    assert _place(_query(), _view("far", failure_domain=THERE), _view("near"))[1] == "near"


def test_prompt_leaves_its_failure_domain_when_that_is_quicker() -> None:
    near = _view("near", waiting_tokens=3000, waiting=1, held_tokens=3000)
    assert _place(_query(), near, _view("far", failure_domain=THERE))[1] == "far"


def test_long_generation_goes_where_less_has_no_copy() -> None:
    exposed = _view("exposed", running=3, held_tokens=12_000, uncopied_tokens=12_000)
    copied = _view("copied", running=3, held_tokens=12_000, uncopied_tokens=0)
    assert _place(_query(), exposed, copied)[1] == "copied"


def test_new_engine_is_used_once_it_is_quicker_than_the_others_in_spite_of_its_slow_start() -> None:
    old = _view("old", waiting_tokens=9000, waiting=3, held_tokens=9000, running=1)
    assert _place(_query(), old, _view("new", cold_ms=900))[1] == "new"
    assert _place(_query(), _view("old"), _view("new", cold_ms=900))[1] == "old"


def test_generation_waits_when_memory_is_full_and_there_is_time() -> None:
    full = _view(held_tokens=31_000, running=8)
    assert _place(_query(), full) == (Verdict.WAIT, None)


def test_generation_is_refused_when_memory_is_full_and_it_would_be_late() -> None:
    full = _view(held_tokens=31_000, running=8)
    assert _place(_query(left_ms=0), full) == (Verdict.REFUSE, None)


def test_generation_waits_when_prompts_ahead_would_make_it_late() -> None:
    queue = _view(waiting_tokens=12_000, waiting=4, held_tokens=12_000, running=1)
    assert _place(_query(left_ms=1500), queue)[0] is Verdict.WAIT


def test_late_generation_is_served_when_there_is_room() -> None:
    assert _place(_query(left_ms=-5000), _view())[0] is Verdict.SEND


def test_late_long_generation_leaves_room_for_one_that_may_be_in_time() -> None:
    # There is room for 4,000 tokens and their growth.
    view = _view(held_tokens=27_800)
    assert _place(_query(left_ms=1), view)[0] is Verdict.SEND
    late = PlacementQuery(prompt_tokens=3000, is_long=True, left_ms=-1, patience_ms=1000)
    assert _place(late, view)[0] is Verdict.WAIT
    short = PlacementQuery(prompt_tokens=3000, is_long=False, left_ms=-1, patience_ms=1000)
    assert _place(short, view)[0] is Verdict.SEND


def test_late_generation_waits_for_room_only_as_long_as_it_may() -> None:
    full = _view(held_tokens=33_000)
    for patience_ms, verdict in ((3000, Verdict.WAIT), (2000, Verdict.REFUSE)):
        late = PlacementQuery(
            prompt_tokens=3000, is_long=True, left_ms=-2500, patience_ms=patience_ms
        )
        assert _place(late, full)[0] is verdict


def test_generation_waits_when_no_engine_takes_work() -> None:
    assert _place(_query()) == (Verdict.WAIT, None)
    assert _place(_query(left_ms=0)) == (Verdict.REFUSE, None)


def test_engine_has_no_room_when_all_places_are_taken() -> None:
    assert not has_room(view=_view(running=20, waiting=4), tokens=100)


@pytest.mark.parametrize(
    ("held", "margin", "fits"),
    [
        (25_000, COPY_MARGIN, True),
        (29_000, COPY_MARGIN, False),
        (15_000, SPARE_MARGIN, True),
        (25_000, SPARE_MARGIN, False),
    ],
)
def test_copies_leave_room_for_a_prompt_and_spare_ones_for_more(
    held: int, margin: float, fits: bool
) -> None:
    view = _view(held_tokens=held)
    assert has_room_for_copy(view=view, tokens=3000, margin=margin) is fits


def test_prompt_is_sent_at_once_when_it_is_late_on_any_engine() -> None:
    assert _place(_query(prompt=20_000, left_ms=1500), _view())[0] is Verdict.SEND


def test_long_generation_waits_while_what_leaves_an_engine_needs_the_room() -> None:
    views = [_view("x", held_tokens=26_000, running=6), _view("y", held_tokens=24_000, running=6)]
    free = place(query=_query(), views=views, failure_domain=HERE, rng=Random(1))
    assert free.verdict is Verdict.SEND
    kept = place(
        query=_query(), views=views, arriving_tokens=9000, failure_domain=HERE, rng=Random(1)
    )
    assert (kept.verdict, kept.engine) == (Verdict.WAIT, None)


def test_short_generation_goes_ahead_of_what_leaves_an_engine() -> None:
    view = _view(held_tokens=24_000, running=6)
    query = _query(prompt=2000, is_long=False)
    placement = place(
        query=query, views=[view], arriving_tokens=20_000, failure_domain=HERE, rng=Random(1)
    )
    assert placement.verdict is Verdict.SEND


def test_copies_taken_ahead_leave_their_room_to_prompts_but_not_to_other_copies() -> None:
    view = _view(held_tokens=20_000, yielding_tokens=9000, running=5)
    assert has_room(view=view, tokens=3000)
    assert not has_room_for_copy(view=view, tokens=3000, margin=COPY_MARGIN)


def test_copies_yield_only_what_the_engine_is_short_of() -> None:
    # Of 34,000 tokens 32,300 are planned for, and each of five generations grows by 250.
    assert tokens_to_yield(_view(held_tokens=20_000, yielding_tokens=9000, running=5)) == 0
    assert tokens_to_yield(_view(held_tokens=25_000, yielding_tokens=9000, running=5)) == 2950
    assert tokens_to_yield(_view(held_tokens=33_000, yielding_tokens=900, running=5)) == 900


@pytest.mark.parametrize(("difference", "moves"), [(9000, False), (11_000, True)])
def test_run_moves_only_when_its_new_engine_stays_the_emptier_one(
    difference: int, moves: bool
) -> None:
    full = _view("full", held_tokens=10_000 + difference, running=1)
    empty = _view("empty", held_tokens=10_000, running=1)
    assert is_uneven(full=full, empty=empty, tokens=4000) is moves
