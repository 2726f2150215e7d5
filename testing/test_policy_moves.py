"""Which run is copied or moved next, for each load the policy answers."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from tanagerscale.core import FailureDomainId
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import MoveKind
from tanagerscale.policy import EngineView
from tanagerscale.policy import MovableRun
from tanagerscale.policy import MoveSnapshot
from tanagerscale.policy import copies_to_drop
from tanagerscale.policy import next_move
from tanagerscale.policy import reason_not_moved

HERE, THERE = FailureDomainId("here"), FailureDomainId("there")
X, Y, Z, W = (UpstreamId(name) for name in "xyzw")
LONG = 60_000


def _view(upstream: UpstreamId, *, domain: FailureDomainId = HERE, **held: int) -> EngineView:
    usual = {
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
    return EngineView(upstream=upstream, failure_domain=domain, **{**usual, **held})


def _run(name: str, engine: UpstreamId = X, **changes: object) -> MovableRun:
    usual: dict[str, object] = {
        "request": RequestId(name),
        "engine": engine,
        "tokens": 4000,
        "made": 1000,
    }
    return MovableRun(**{**usual, **changes})  # type: ignore[arg-type]


def _scene(*runs: MovableRun, views: Sequence[EngineView] = (), **changes: object) -> MoveSnapshot:
    engines = {view.upstream: view for view in views or [_view(one) for one in (X, Y, Z, W)]}
    usual: dict[str, object] = {
        "runs": runs,
        "engines": engines,
        "eligible": set(engines),
        "leaving": {},
        "unreachable": set(),
        "busy": set(),
        "token_bytes": 163_840,
        "link_mbps": 24_000.0,
    }
    scene = MoveSnapshot(**{**usual, **changes})  # type: ignore[arg-type]
    return MoveSnapshot(
        **{
            **{name: getattr(scene, name) for name in scene.__struct_fields__},
            "eligible": set(scene.eligible) - set(scene.leaving),
        }
    )


def _next(scene: MoveSnapshot) -> tuple[str, str, str] | None:
    move = next_move(snapshot=scene, rng=Random(1))
    return None if move is None else (move.kind.value, move.run.request, move.target)


def test_rest_of_a_run_goes_before_whole_copies_and_these_before_copies_ahead() -> None:
    ahead = _run("ahead", W, made=3000)
    whole = _run("whole", X, made=3000)
    rest = _run("rest", X, copy_at=Y)
    assert _next(_scene(ahead, whole, rest, leaving={X: 1500})) == ("leave", "rest", Y)
    assert _next(_scene(ahead, whole, leaving={X: 1500}))[:2] == ("leave", "whole")  # type: ignore[index]
    assert _next(_scene(ahead))[:2] == ("ahead", "ahead")  # type: ignore[index]


def test_run_with_most_of_its_memory_in_its_answer_leaves_first() -> None:
    runs = [_run("young", made=10), _run("old", made=2000), _run("middle", made=500)]
    move = _next(_scene(*runs, leaving={X: 1500}))
    assert move is not None
    assert move[1] == "old"


def test_links_are_used_by_one_copy_at_a_time() -> None:
    runs = [_run("1", X), _run("2", Z)]
    scene = _scene(*runs, leaving={X: 1500, Z: 1500}, busy={X, Y})
    # The engine of the first one and the one its copy goes to are in use.
    assert _next(scene) == ("leave", "2", W)
    assert _next(_scene(_run("1", X), leaving={X: 1500}, busy={X, Y})) is None


def test_run_whose_copy_is_at_a_busy_engine_does_not_hold_up_the_others() -> None:
    runs = [_run("rest", X, copy_at=Y), _run("whole", X)]
    scene = _scene(*runs, leaving={X: 1500}, busy={Y})
    assert _next(scene) is not None
    assert _next(scene)[1] == "whole"  # type: ignore[index]


def test_run_goes_to_an_engine_of_its_failure_domain() -> None:
    views = [_view(X), _view(Y, domain=THERE), _view(Z, held_tokens=20_000, running=5)]
    assert _next(_scene(_run("1"), views=views, leaving={X: 1500})) == ("leave", "1", Z)


def test_run_goes_to_another_failure_domain_when_its_own_has_no_room() -> None:
    views = [_view(X), _view(Y, domain=THERE), _view(Z, held_tokens=31_000, running=5)]
    assert _next(_scene(_run("1"), views=views, leaving={X: 1500})) == ("leave", "1", Y)


def test_run_stays_when_a_copy_would_come_too_late() -> None:
    # 4,000 tokens take 0.22 s within a failure domain and 0.44 s to another one.
    views = [_view(X), _view(Y, domain=THERE)]
    late = _scene(_run("1"), views=views, leaving={X: 400})
    assert _next(late) is None
    assert reason_not_moved(snapshot=late, run=late.runs[0], rng=Random(1)) == (
        "a copy would come too late"
    )
    assert _next(_scene(_run("1"), views=views, leaving={X: 450})) is not None


def test_run_waits_while_no_engine_has_room() -> None:
    views = [_view(X), _view(Y, held_tokens=31_000, running=5)]
    scene = _scene(_run("1"), views=views, leaving={X: 1500})
    assert _next(scene) is None
    assert (
        reason_not_moved(snapshot=scene, run=scene.runs[0], rng=Random(1)) == "no engine has room"
    )


def test_run_leaves_for_an_engine_that_has_room_before_copies_yield() -> None:
    views = [
        _view(X),
        _view(Y, yielding_tokens=31_000),
        _view(Z, held_tokens=20_000, running=5),
    ]
    assert _next(_scene(_run("1"), views=views, leaving={X: 1500})) == ("leave", "1", Z)


def test_engine_that_did_not_take_a_run_is_not_tried_again() -> None:
    run = _run("1", copy_at=Y, excluded=frozenset({Y, Z}))
    assert _next(_scene(run, leaving={X: 1500})) == ("leave", "1", W)


def test_copy_at_an_engine_that_leaves_too_is_of_no_use() -> None:
    scene = _scene(_run("1", copy_at=Y), leaving={X: 1500, Y: 1500})
    move = _next(scene)
    assert move is not None
    assert move[2] in (Z, W)


def test_nothing_is_copied_ahead_or_evened_out_while_links_are_kept() -> None:
    full = _view(X, held_tokens=20_000, running=5)
    runs = [_run(str(number), copy_at=Y, is_copy_fresh=False) for number in range(5)]
    views = [full, _view(Y, yielding_tokens=20_000)]
    assert _next(_scene(*runs, views=views)) is not None
    assert _next(_scene(*runs, views=views, are_links_kept=True)) is None


def test_copies_ahead_take_nearly_all_memory_only_for_what_a_notice_is_too_short_for() -> None:
    crowded = _view(X, held_tokens=20_000, running=5, uncopied_tokens=20_000)
    few = _view(X, held_tokens=8000, running=2, uncopied_tokens=8000)
    half_full = _view(Y, held_tokens=20_000)
    assert _next(_scene(_run("1"), views=[crowded, half_full])) == ("ahead", "1", Y)
    assert _next(_scene(_run("1"), views=[few, half_full])) is None
    # Where nothing tells of engines that leave, no notice is long enough.
    assert _next(_scene(_run("1"), views=[few, half_full], is_current=False)) is not None


def test_run_is_not_copied_ahead_before_it_has_answered_for_a_while() -> None:
    assert _next(_scene(_run("1", is_settled=False))) is None


def test_copy_is_renewed_where_it_is_and_not_before_it_is_old() -> None:
    assert _next(_scene(_run("1", copy_at=Z))) is None
    assert _next(_scene(_run("1", copy_at=Z, is_copy_fresh=False))) == ("ahead", "1", Z)


def test_copy_is_made_elsewhere_when_its_holder_cannot_be_reached() -> None:
    scene = _scene(_run("1", copy_at=Z), unreachable={Z}, eligible={X, Y, W})
    move = _next(scene)
    assert move is not None
    assert move[2] in (Y, W)


def test_run_whose_copy_failed_comes_after_the_others() -> None:
    runs = [_run("stuck", made=3000, is_put_back=True), _run("other", made=10)]
    assert _next(_scene(*runs))[1] == "other"  # type: ignore[index]


def test_run_moves_to_a_much_emptier_engine_that_has_its_copy() -> None:
    views = [
        _view(X, held_tokens=20_000, running=5),
        _view(Y, held_tokens=8000, running=2, yielding_tokens=4000),
    ]
    held = _run("1", copy_at=Y)
    assert _next(_scene(held, views=views)) == (MoveKind.EVEN_OUT.value, "1", Y)
    close = [views[0], _view(Y, held_tokens=12_000, running=3, yielding_tokens=4000)]
    assert _next(_scene(held, views=close)) is None


def test_youngest_copies_give_their_memory_back_where_an_engine_needs_it() -> None:
    full = _view(Y, held_tokens=24_000, running=5, yielding_tokens=11_000)
    runs = [
        _run("old", copy_at=Y, made=3000),
        _run("young", copy_at=Y, made=10),
        _run("leaves", Z, copy_at=Y, made=5),
    ]
    scene = _scene(*runs, views=[_view(X), full, _view(Z)], leaving={Z: 1500})
    assert [run.request for run in copies_to_drop(scene)] == ["young"]


def test_copies_stay_where_their_engine_has_room() -> None:
    scene = _scene(_run("1", copy_at=Y), views=[_view(X), _view(Y, yielding_tokens=4000)])
    assert copies_to_drop(scene) == []
