"""Selects the next run to move or copy, and its target, over all engines of a service.

Workload: every three seconds one engine in six leaves with a notice of 1.5 to 2.1 s and a handful
of long generations running on it, while memory is short on the others. An engine's link copies one
run at a time. The decision is made with all runs and all links in view, so that no two copies are
planned for the same memory and none is queued on a link behind a less valuable one.

Priorities: the remainder of a run that already has a copy elsewhere, since the run is paused
meanwhile; then whole runs on a leaving engine; and, while no engine is leaving, copies ahead and
rebalancing.
"""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from random import Random

from msgspec import Struct

from tanagerscale.core import FailureDomainId
from tanagerscale.core import RequestId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import MoveKind
from tanagerscale.policy._copying import copy_sort_key
from tanagerscale.policy._copying import estimate_copy_ms
from tanagerscale.policy._copying import evacuable_tokens
from tanagerscale.policy._placement import MAX_COPY_MEMORY_RATIO
from tanagerscale.policy._placement import MAX_SPARE_COPY_MEMORY_RATIO
from tanagerscale.policy._placement import EngineView
from tanagerscale.policy._placement import has_capacity
from tanagerscale.policy._placement import has_capacity_for_copy
from tanagerscale.policy._placement import has_capacity_without_eviction
from tanagerscale.policy._placement import is_imbalanced
from tanagerscale.policy._placement import select_engine
from tanagerscale.policy._placement import tokens_to_evict


class MovableRun(Struct, frozen=True, kw_only=True):
    """A long generation that has begun to answer.

    :param request: Id of its request.
    :param engine: Engine that it runs on.
    :param tokens: Memory it holds.
    :param answer_tokens: Tokens of its answer so far.
    :param is_copy_worthwhile: Whether it has answered for long enough to be worth a copy.
    :param copy_at: Engine that holds a copy of its memory, or ``None``.
    :param is_copy_fresh: Whether that copy needs no renewal yet.
    :param has_copy_failed: Whether its last copy failed; such runs come last, since one engine that
        accepts no copy would otherwise block the copies of all other runs.
    :param excluded: Engines that rejected it, or that want nothing from its host now.
    :param allowed_domains: Failure domains that it may run in; empty means any.
    :param is_host_stopping: Whether its host is shutting down, and cuts it if it does not end soon.
    """

    request: RequestId
    engine: UpstreamId
    tokens: int
    answer_tokens: int
    is_copy_worthwhile: bool = True
    copy_at: UpstreamId | None = None
    is_copy_fresh: bool = True
    has_copy_failed: bool = False
    excluded: Set[UpstreamId] = frozenset()
    allowed_domains: Set[FailureDomainId] = frozenset()
    is_host_stopping: bool = False

    @property
    def sort_key(self) -> int:
        """Position in the order of copying; the smallest is copied first."""
        return copy_sort_key(tokens=self.tokens, answer_tokens=self.answer_tokens)


class Move(Struct, frozen=True, kw_only=True):
    """A copy to start now.

    :param kind: Reason for the copy.
    :param run: The run to copy.
    :param target: Engine that its memory is copied to.
    """

    kind: MoveKind
    run: MovableRun
    target: UpstreamId


class MoveSnapshot(Struct, frozen=True, kw_only=True):
    """State from which the next copy is selected.

    :param runs: Long generations that have begun to answer and are not being moved.
    :param engines: All engines that hold memory of runs or may do so.
    :param eligible: Engines that accept work.
    :param leaving: Leaving engines, with the time left until each is gone, in milliseconds.
    :param unreachable: Engines that did not respond recently.
    :param evacuated: Engines that get no requests, so that no run may continue there.
    :param busy: Engines whose link is in use.
    :param token_bytes: Bytes of memory for each token.
    :param link_mbps: Bandwidth of the engines' links, in megabits per second.
    :param are_notices_current: Whether notices of leaving engines are received; without them any
        engine may disappear without notice.
    :param are_links_reserved: Whether links are reserved for evacuating leaving engines.
    """

    runs: Sequence[MovableRun]
    engines: Mapping[UpstreamId, EngineView]
    eligible: Set[UpstreamId]
    leaving: Mapping[UpstreamId, int]
    unreachable: Set[UpstreamId]
    evacuated: Set[UpstreamId] = frozenset()
    busy: Set[UpstreamId]
    token_bytes: int
    link_mbps: float
    are_notices_current: bool = True
    are_links_reserved: bool = False


def next_move(*, snapshot: MoveSnapshot, rng: Random) -> Move | None:
    """Return the copy to start next, or ``None`` if there is none.

    :param snapshot: Current state of runs and engines.
    :param rng: Random number generator used to break ties.
    """
    move = _next_evacuation(snapshot, rng)
    if move is not None or snapshot.are_links_reserved:
        return move
    return _next_copy_ahead(snapshot, rng) or _next_rebalance(snapshot)


def copies_to_evict(snapshot: MoveSnapshot) -> list[MovableRun]:
    """Return the runs whose copies are evicted because the engines that hold them need the memory.

    Copies of the runs with the shortest answers are evicted first; copies of runs that must leave
    an engine are kept.
    """
    evicted = []
    for upstream, view in snapshot.engines.items():
        excess = tokens_to_evict(view)
        held_copies = [
            run
            for run in snapshot.runs
            if run.copy_at == upstream and run.engine not in snapshot.leaving
        ]
        for run in sorted(held_copies, key=lambda run: run.answer_tokens):
            if excess <= 0:
                break
            excess -= run.tokens
            evicted.append(run)
    return evicted


def reason_not_moved(*, snapshot: MoveSnapshot, run: MovableRun, rng: Random) -> str:
    """Return why a run can't be moved off its leaving engine now, for the log."""
    if run.engine in snapshot.busy:
        return "the link of its engine is in use"
    with_capacity = _with_capacity(snapshot, run, _eligible(snapshot, run))
    if not with_capacity:
        return "no engine has room"
    if _select_target(snapshot, run, with_capacity, rng) is None:
        return "a copy would come too late"
    return "the links of engines with room are in use"


def _next_evacuation(snapshot: MoveSnapshot, rng: Random) -> Move | None:
    """Return the next copy of a run on a leaving engine."""
    runs = [run for run in snapshot.runs if run.engine in snapshot.leaving]
    runs.sort(key=lambda run: (_usable_copy(snapshot, run) is None, run.sort_key))
    for run in runs:
        if run.engine in snapshot.busy:
            continue
        target = _usable_copy(snapshot, run) or _evacuation_target(snapshot, run, rng)
        if target is not None and target not in snapshot.busy:
            return Move(kind=MoveKind.LEAVE, run=run, target=target)
    return None


def _usable_copy(snapshot: MoveSnapshot, run: MovableRun) -> UpstreamId | None:
    """Return the engine that holds a copy of a run, if the run may continue there."""
    holder = run.copy_at
    if holder is None or holder in run.excluded or holder not in snapshot.engines:
        return None
    return None if holder in snapshot.leaving or holder in snapshot.evacuated else holder


def _evacuation_target(snapshot: MoveSnapshot, run: MovableRun, rng: Random) -> UpstreamId | None:
    idle = [view for view in _eligible(snapshot, run) if view.upstream not in snapshot.busy]
    return _select_target(snapshot, run, _with_capacity(snapshot, run, idle), rng)


def _eligible(snapshot: MoveSnapshot, run: MovableRun) -> list[EngineView]:
    return [
        view
        for upstream, view in snapshot.engines.items()
        if upstream in snapshot.eligible and upstream != run.engine and upstream not in run.excluded
        if not run.allowed_domains or view.failure_domain in run.allowed_domains
    ]


def _with_capacity(
    snapshot: MoveSnapshot, run: MovableRun, views: Sequence[EngineView]
) -> Sequence[EngineView]:
    """Return the engines with capacity, only those that need no eviction if there are any."""
    without_eviction = [
        view for view in views if has_capacity_without_eviction(view=view, tokens=run.tokens)
    ]
    return without_eviction or [
        view for view in views if has_capacity(view=view, tokens=run.tokens)
    ]


def _select_target(
    snapshot: MoveSnapshot, run: MovableRun, views: Sequence[EngineView], rng: Random
) -> UpstreamId | None:
    """Return an engine that the copy reaches in time, in the run's failure domain if there is one.

    A copy that is too late blocks the link for one that is not, and leaves memory occupied.
    """
    left_ms = snapshot.leaving.get(run.engine, 0)
    in_time = [view for view in views if _estimate_copy_ms(snapshot, run, view) < left_ms]
    return _select_nearest(snapshot, run, in_time, rng)


def _estimate_copy_ms(snapshot: MoveSnapshot, run: MovableRun, view: EngineView) -> float:
    return estimate_copy_ms(
        tokens=run.tokens,
        token_bytes=snapshot.token_bytes,
        link_mbps=snapshot.link_mbps,
        is_cross_domain=view.failure_domain != snapshot.engines[run.engine].failure_domain,
    )


def _select_nearest(
    snapshot: MoveSnapshot, run: MovableRun, views: Sequence[EngineView], rng: Random
) -> UpstreamId | None:
    """Return the least loaded engine, in the run's failure domain if possible.

    Copies within a failure domain take half the time.
    """
    domain = snapshot.engines[run.engine].failure_domain
    same_domain = [view for view in views if view.failure_domain == domain]
    selected = select_engine(
        views=same_domain or views, prompt_tokens=0, is_long=True, failure_domain=domain, rng=rng
    )
    return None if selected is None else selected.upstream


def _next_copy_ahead(snapshot: MoveSnapshot, rng: Random) -> Move | None:
    """Return the next copy of a run to make ahead of time, in case its engine leaves or fails."""
    pending = [run for run in snapshot.runs if _needs_copy(snapshot, run)]
    pending.sort(key=lambda run: (run.has_copy_failed, run.copy_at is None, -run.answer_tokens))
    for run in pending:
        target = _copy_target(snapshot, run, rng)
        if target is not None and target not in snapshot.busy:
            return Move(kind=MoveKind.AHEAD, run=run, target=target)
    return None


def _needs_copy(snapshot: MoveSnapshot, run: MovableRun) -> bool:
    if run.engine in snapshot.leaving or run.engine in snapshot.busy or not run.is_copy_worthwhile:
        return False
    return not (run.is_copy_fresh and _reachable_copy(snapshot, run) is not None)


def _reachable_copy(snapshot: MoveSnapshot, run: MovableRun) -> UpstreamId | None:
    """Return the engine that holds a copy of a run, unless it is leaving or unreachable."""
    holder = _usable_copy(snapshot, run)
    return None if holder in snapshot.unreachable else holder


def _copy_target(snapshot: MoveSnapshot, run: MovableRun, rng: Random) -> UpstreamId | None:
    holder = _reachable_copy(snapshot, run)
    if holder is not None:
        return holder
    max_ratio = (
        MAX_COPY_MEMORY_RATIO if _exceeds_notice(snapshot, run) else MAX_SPARE_COPY_MEMORY_RATIO
    )
    views = [
        view
        for view in _eligible(snapshot, run)
        if view.upstream not in snapshot.busy
        and has_capacity_for_copy(view=view, tokens=run.tokens, max_ratio=max_ratio)
    ]
    return _select_nearest(snapshot, run, views, rng)


def _exceeds_notice(snapshot: MoveSnapshot, run: MovableRun) -> bool:
    """Return whether a run's engine holds more than can be copied within its notice."""
    evacuable = evacuable_tokens(token_bytes=snapshot.token_bytes, link_mbps=snapshot.link_mbps)
    return (
        not snapshot.are_notices_current or snapshot.engines[run.engine].uncopied_tokens > evacuable
    )


def _next_rebalance(snapshot: MoveSnapshot) -> Move | None:
    """Return the next run to continue on a much emptier engine that holds a copy of it.

    Workload: engines are replaced every few seconds. A new engine is empty and gets all new
    prompts, which queue there, while the older engines are full of generations that only decode.
    Moving a run pauses it for about 40 ms; the old engine gains capacity for a prompt and loses
    less when it leaves in its turn.
    """
    for run in sorted(snapshot.runs, key=lambda run: -run.answer_tokens):
        holder = None if run.is_host_stopping else _reachable_copy(snapshot, run)
        if holder is None or run.engine in snapshot.leaving or {holder, run.engine} & snapshot.busy:
            continue
        # The copy is already on the other engine and counts there as evictable.
        empty = snapshot.engines[holder]
        imbalanced = is_imbalanced(
            full=snapshot.engines[run.engine], empty=empty, tokens=run.tokens
        )
        if empty.slowness > snapshot.engines[run.engine].slowness:
            continue
        if imbalanced and has_capacity(view=empty, tokens=run.tokens):
            return Move(kind=MoveKind.EVEN_OUT, run=run, target=holder)
    return None
