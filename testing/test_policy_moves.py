"""Selection of the next run to copy or move."""

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
from tanagerscale.policy import copies_to_evict
from tanagerscale.policy import next_move
from tanagerscale.policy import reason_not_moved

LOCAL_DOMAIN, REMOTE_DOMAIN = FailureDomainId("here"), FailureDomainId("there")
X, Y, Z, W = (UpstreamId(name) for name in "xyzw")
LONG = 60_000


def _make_view(
    upstream: UpstreamId, *, domain: FailureDomainId = LOCAL_DOMAIN, **changes: int
) -> EngineView:
    defaults = {
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
    return EngineView(upstream=upstream, failure_domain=domain, **{**defaults, **changes})


def _make_run(name: str, engine: UpstreamId = X, **changes: object) -> MovableRun:
    defaults: dict[str, object] = {
        "request": RequestId(name),
        "engine": engine,
        "tokens": 4000,
        "answer_tokens": 1000,
    }
    return MovableRun(**{**defaults, **changes})  # type: ignore[arg-type]


def _make_snapshot(
    *runs: MovableRun, views: Sequence[EngineView] = (), **changes: object
) -> MoveSnapshot:
    engines = {view.upstream: view for view in views or [_make_view(one) for one in (X, Y, Z, W)]}
    defaults: dict[str, object] = {
        "runs": runs,
        "engines": engines,
        "eligible": set(engines),
        "leaving": {},
        "unreachable": set(),
        "busy": set(),
        "token_bytes": 163_840,
        "link_mbps": 24_000.0,
    }
    snapshot = MoveSnapshot(**{**defaults, **changes})  # type: ignore[arg-type]
    return MoveSnapshot(
        **{
            **{name: getattr(snapshot, name) for name in snapshot.__struct_fields__},
            "eligible": set(snapshot.eligible) - set(snapshot.leaving),
        }
    )


def _select_move(snapshot: MoveSnapshot) -> tuple[str, str, str] | None:
    move = next_move(snapshot=snapshot, rng=Random(1))
    return None if move is None else (move.kind.value, move.run.request, move.target)


def test_remainders_are_copied_before_whole_runs_and_these_before_copies_ahead() -> None:
    ahead = _make_run("ahead", W, answer_tokens=3000)
    whole = _make_run("whole", X, answer_tokens=3000)
    rest = _make_run("rest", X, copy_at=Y)
    assert _select_move(_make_snapshot(ahead, whole, rest, leaving={X: 1500})) == (
        "leave",
        "rest",
        Y,
    )
    assert _select_move(_make_snapshot(ahead, whole, leaving={X: 1500}))[:2] == ("leave", "whole")  # type: ignore[index]
    assert _select_move(_make_snapshot(ahead))[:2] == ("ahead", "ahead")  # type: ignore[index]


def test_run_with_most_of_its_memory_in_its_answer_is_evacuated_first() -> None:
    runs = [
        _make_run("young", answer_tokens=10),
        _make_run("old", answer_tokens=2000),
        _make_run("middle", answer_tokens=500),
    ]
    move = _select_move(_make_snapshot(*runs, leaving={X: 1500}))
    assert move is not None
    assert move[1] == "old"


def test_link_carries_one_copy_at_a_time() -> None:
    runs = [_make_run("1", X), _make_run("2", Z)]
    snapshot = _make_snapshot(*runs, leaving={X: 1500, Z: 1500}, busy={X, Y})
    # The links of the first run's engine and of its target are in use.
    assert _select_move(snapshot) == ("leave", "2", W)
    assert _select_move(_make_snapshot(_make_run("1", X), leaving={X: 1500}, busy={X, Y})) is None


def test_run_whose_copy_is_on_a_busy_engine_does_not_block_others() -> None:
    runs = [_make_run("rest", X, copy_at=Y), _make_run("whole", X)]
    snapshot = _make_snapshot(*runs, leaving={X: 1500}, busy={Y})
    assert _select_move(snapshot) is not None
    assert _select_move(snapshot)[1] == "whole"  # type: ignore[index]


def test_target_is_in_the_same_failure_domain_when_that_has_capacity() -> None:
    views = [
        _make_view(X),
        _make_view(Y, domain=REMOTE_DOMAIN),
        _make_view(Z, held_tokens=20_000, running=5),
    ]
    assert _select_move(_make_snapshot(_make_run("1"), views=views, leaving={X: 1500})) == (
        "leave",
        "1",
        Z,
    )


def test_target_is_in_another_failure_domain_when_its_own_is_full() -> None:
    views = [
        _make_view(X),
        _make_view(Y, domain=REMOTE_DOMAIN),
        _make_view(Z, held_tokens=31_000, running=5),
    ]
    assert _select_move(_make_snapshot(_make_run("1"), views=views, leaving={X: 1500})) == (
        "leave",
        "1",
        Y,
    )


def test_run_is_not_moved_when_the_copy_would_be_too_late() -> None:
    # 4,000 tokens take 0.22 s within a failure domain and 0.44 s to another one.
    views = [_make_view(X), _make_view(Y, domain=REMOTE_DOMAIN)]
    too_late = _make_snapshot(_make_run("1"), views=views, leaving={X: 400})
    assert _select_move(too_late) is None
    assert reason_not_moved(snapshot=too_late, run=too_late.runs[0], rng=Random(1)) == (
        "a copy would come too late"
    )
    assert _select_move(_make_snapshot(_make_run("1"), views=views, leaving={X: 450})) is not None


def test_run_is_not_moved_when_no_engine_has_capacity() -> None:
    views = [_make_view(X), _make_view(Y, held_tokens=31_000, running=5)]
    snapshot = _make_snapshot(_make_run("1"), views=views, leaving={X: 1500})
    assert _select_move(snapshot) is None
    assert (
        reason_not_moved(snapshot=snapshot, run=snapshot.runs[0], rng=Random(1))
        == "no engine has room"
    )


def test_target_that_needs_no_eviction_is_preferred() -> None:
    views = [
        _make_view(X),
        _make_view(Y, evictable_tokens=31_000),
        _make_view(Z, held_tokens=20_000, running=5),
    ]
    assert _select_move(_make_snapshot(_make_run("1"), views=views, leaving={X: 1500})) == (
        "leave",
        "1",
        Z,
    )


def test_engine_that_rejected_a_run_is_not_tried_again() -> None:
    run = _make_run("1", copy_at=Y, excluded=frozenset({Y, Z}))
    assert _select_move(_make_snapshot(run, leaving={X: 1500})) == ("leave", "1", W)


def test_copy_on_a_leaving_engine_is_not_used() -> None:
    snapshot = _make_snapshot(_make_run("1", copy_at=Y), leaving={X: 1500, Y: 1500})
    move = _select_move(snapshot)
    assert move is not None
    assert move[2] in (Z, W)


def test_no_run_is_copied_ahead_or_rebalanced_while_links_are_reserved() -> None:
    full = _make_view(X, held_tokens=20_000, running=5)
    runs = [_make_run(str(number), copy_at=Y, is_copy_fresh=False) for number in range(5)]
    views = [full, _make_view(Y, evictable_tokens=20_000)]
    assert _select_move(_make_snapshot(*runs, views=views)) is not None
    assert _select_move(_make_snapshot(*runs, views=views, are_links_reserved=True)) is None


def test_copies_ahead_use_most_memory_only_when_the_notice_is_too_short() -> None:
    heavily_loaded = _make_view(X, held_tokens=20_000, running=5, uncopied_tokens=20_000)
    lightly_loaded = _make_view(X, held_tokens=8000, running=2, uncopied_tokens=8000)
    half_full = _make_view(Y, held_tokens=20_000)
    assert _select_move(_make_snapshot(_make_run("1"), views=[heavily_loaded, half_full])) == (
        "ahead",
        "1",
        Y,
    )
    assert _select_move(_make_snapshot(_make_run("1"), views=[lightly_loaded, half_full])) is None
    # Without notices of leaving engines, the time to evacuate an engine is never sufficient.
    assert (
        _select_move(
            _make_snapshot(
                _make_run("1"), views=[lightly_loaded, half_full], are_notices_current=False
            )
        )
        is not None
    )


def test_run_is_not_copied_ahead_before_a_copy_is_worthwhile() -> None:
    assert _select_move(_make_snapshot(_make_run("1", is_copy_worthwhile=False))) is None


def test_copy_is_renewed_in_place_once_it_is_not_fresh() -> None:
    assert _select_move(_make_snapshot(_make_run("1", copy_at=Z))) is None
    assert _select_move(_make_snapshot(_make_run("1", copy_at=Z, is_copy_fresh=False))) == (
        "ahead",
        "1",
        Z,
    )


def test_copy_is_made_elsewhere_when_its_holder_is_unreachable() -> None:
    snapshot = _make_snapshot(_make_run("1", copy_at=Z), unreachable={Z}, eligible={X, Y, W})
    move = _select_move(snapshot)
    assert move is not None
    assert move[2] in (Y, W)


def test_run_whose_copy_failed_is_copied_last() -> None:
    runs = [
        _make_run("stuck", answer_tokens=3000, has_copy_failed=True),
        _make_run("other", answer_tokens=10),
    ]
    assert _select_move(_make_snapshot(*runs))[1] == "other"  # type: ignore[index]


def test_run_moves_to_a_much_emptier_engine_that_holds_its_copy() -> None:
    views = [
        _make_view(X, held_tokens=20_000, running=5),
        _make_view(Y, held_tokens=8000, running=2, evictable_tokens=4000),
    ]
    copied = _make_run("1", copy_at=Y)
    assert _select_move(_make_snapshot(copied, views=views)) == (MoveKind.EVEN_OUT.value, "1", Y)
    similar = [views[0], _make_view(Y, held_tokens=12_000, running=3, evictable_tokens=4000)]
    assert _select_move(_make_snapshot(copied, views=similar)) is None


# Guards against stopping a run that its host cuts soon anyway.
def test_run_of_a_stopping_host_is_not_moved_to_an_emptier_engine() -> None:
    views = [
        _make_view(X, held_tokens=20_000, running=5),
        _make_view(Y, held_tokens=8000, running=2, evictable_tokens=4000),
    ]
    run = _make_run("1", copy_at=Y, is_host_stopping=True)
    assert _select_move(_make_snapshot(run, views=views)) is None


def test_copies_of_the_youngest_runs_are_evicted_when_an_engine_needs_memory() -> None:
    full = _make_view(Y, held_tokens=24_000, running=5, evictable_tokens=11_000)
    runs = [
        _make_run("old", copy_at=Y, answer_tokens=3000),
        _make_run("young", copy_at=Y, answer_tokens=10),
        _make_run("leaves", Z, copy_at=Y, answer_tokens=5),
    ]
    snapshot = _make_snapshot(*runs, views=[_make_view(X), full, _make_view(Z)], leaving={Z: 1500})
    assert [run.request for run in copies_to_evict(snapshot)] == ["young"]


def test_copies_are_kept_when_their_engine_has_capacity() -> None:
    snapshot = _make_snapshot(
        _make_run("1", copy_at=Y), views=[_make_view(X), _make_view(Y, evictable_tokens=4000)]
    )
    assert copies_to_evict(snapshot) == []
