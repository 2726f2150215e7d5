"""Which run's memory is moved or copied next, and where to, over all engines of a service.

The load it answers: every three seconds one engine in six leaves with a notice of 1.5 to 2.1 s and
a handful of long generations on it, and memory is short on the others. An engine's link copies one
run at a time. Whoever decides sees all runs and all links, so that no two copies are meant for the
same room and none waits at a link behind one that is worth less.

In this order: the rest of a run that has a copy elsewhere, which stands still meanwhile; the whole
of a run whose engine leaves; and, while no engine leaves, copies ahead and evening out.
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
from tanagerscale.policy._copying import copy_ms
from tanagerscale.policy._copying import easy_tokens
from tanagerscale.policy._copying import order_of
from tanagerscale.policy._placement import COPY_MARGIN
from tanagerscale.policy._placement import SPARE_MARGIN
from tanagerscale.policy._placement import EngineView
from tanagerscale.policy._placement import cheapest
from tanagerscale.policy._placement import has_room
from tanagerscale.policy._placement import has_room_at_once
from tanagerscale.policy._placement import has_room_for_copy
from tanagerscale.policy._placement import is_uneven
from tanagerscale.policy._placement import tokens_to_yield


class MovableRun(Struct, frozen=True, kw_only=True):
    """A long generation that has begun to answer.

    :param request: Its id.
    :param engine: Where it runs.
    :param tokens: Memory it holds.
    :param made: Tokens of its answer so far.
    :param is_settled: Whether it has answered for long enough to be worth a copy.
    :param copy_at: Engine that holds a copy of its memory, or ``None``.
    :param is_copy_fresh: Whether that copy needs no renewal yet.
    :param is_put_back: Whether its last copy failed; others go first, or one engine that takes no
        copy would keep all others from having theirs.
    :param excluded: Engines that did not take it.
    :param domains: Failure domains that it may run in; none means any.
    """

    request: RequestId
    engine: UpstreamId
    tokens: int
    made: int
    is_settled: bool = True
    copy_at: UpstreamId | None = None
    is_copy_fresh: bool = True
    is_put_back: bool = False
    excluded: Set[UpstreamId] = frozenset()
    domains: Set[FailureDomainId] = frozenset()

    @property
    def order(self) -> int:
        """Its place in the order of copying, the smallest first."""
        return order_of(tokens=self.tokens, made=self.made)


class Move(Struct, frozen=True, kw_only=True):
    """A copy that is to begin now.

    :param kind: Why.
    :param run: The run.
    :param target: Where its memory goes.
    """

    kind: MoveKind
    run: MovableRun
    target: UpstreamId


class MoveSnapshot(Struct, frozen=True, kw_only=True):
    """All that is known when the next copy is chosen.

    :param runs: Long generations that have begun and are not being moved.
    :param engines: All engines that hold anything or may.
    :param eligible: Engines that take work.
    :param leaving: Engines that leave, with the time left until each is gone, in milliseconds.
    :param unreachable: Engines that did not answer lately.
    :param evacuated: Engines that get no requests, so that no run goes on there.
    :param busy: Engines whose link is in use.
    :param token_bytes: Bytes of memory for each token.
    :param link_mbps: Speed of the engines' links.
    :param is_current: Whether engines that leave are heard of; otherwise no run is safe on any.
    :param are_links_kept: Whether links are kept for what has to leave an engine.
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
    is_current: bool = True
    are_links_kept: bool = False


def next_move(*, snapshot: MoveSnapshot, rng: Random) -> Move | None:
    """Return the copy that begins next, or ``None`` while there is none.

    :param snapshot: What is known.
    :param rng: Breaks ties.
    """
    move = _leave(snapshot, rng)
    if move is not None or snapshot.are_links_kept:
        return move
    return _copy_ahead(snapshot, rng) or _even_out(snapshot)


def copies_to_drop(snapshot: MoveSnapshot) -> list[MovableRun]:
    """Return the runs whose copies give their memory back, as engines need it for their work.

    The youngest runs go first; copies of what has to leave an engine stay.
    """
    dropped = []
    for upstream, view in snapshot.engines.items():
        over = tokens_to_yield(view)
        held_there = [
            run
            for run in snapshot.runs
            if run.copy_at == upstream and run.engine not in snapshot.leaving
        ]
        for run in sorted(held_there, key=lambda run: run.made):
            if over <= 0:
                break
            over -= run.tokens
            dropped.append(run)
    return dropped


def reason_not_moved(*, snapshot: MoveSnapshot, run: MovableRun, rng: Random) -> str:
    """Return why a run can't be brought away from its leaving engine now, in a few words."""
    if run.engine in snapshot.busy:
        return "the link of its engine is in use"
    roomy = _roomy(snapshot, run, _eligible(snapshot, run))
    if not roomy:
        return "no engine has room"
    if _chosen(snapshot, run, roomy, rng) is None:
        return "a copy would come too late"
    return "the links of engines with room are in use"


def _leave(snapshot: MoveSnapshot, rng: Random) -> Move | None:
    """Return the next copy of a run whose engine leaves."""
    runs = [run for run in snapshot.runs if run.engine in snapshot.leaving]
    runs.sort(key=lambda run: (_live_copy(snapshot, run) is None, run.order))
    for run in runs:
        if run.engine in snapshot.busy:
            continue
        target = _live_copy(snapshot, run) or _target_with_room(snapshot, run, rng)
        if target is not None and target not in snapshot.busy:
            return Move(kind=MoveKind.LEAVE, run=run, target=target)
    return None


def _live_copy(snapshot: MoveSnapshot, run: MovableRun) -> UpstreamId | None:
    """Return the engine that holds a copy of a run, if the run may go on there."""
    held = run.copy_at
    if held is None or held in run.excluded or held not in snapshot.engines:
        return None
    return None if held in snapshot.leaving or held in snapshot.evacuated else held


def _target_with_room(snapshot: MoveSnapshot, run: MovableRun, rng: Random) -> UpstreamId | None:
    free = [view for view in _eligible(snapshot, run) if view.upstream not in snapshot.busy]
    return _chosen(snapshot, run, _roomy(snapshot, run, free), rng)


def _eligible(snapshot: MoveSnapshot, run: MovableRun) -> list[EngineView]:
    return [
        view
        for upstream, view in snapshot.engines.items()
        if upstream in snapshot.eligible and upstream != run.engine and upstream not in run.excluded
        if not run.domains or view.failure_domain in run.domains
    ]


def _roomy(
    snapshot: MoveSnapshot, run: MovableRun, views: Sequence[EngineView]
) -> Sequence[EngineView]:
    """Return the engines with room, those first that have it before copies have yielded."""
    at_once = [view for view in views if has_room_at_once(view=view, tokens=run.tokens)]
    return at_once or [view for view in views if has_room(view=view, tokens=run.tokens)]


def _chosen(
    snapshot: MoveSnapshot, run: MovableRun, views: Sequence[EngineView], rng: Random
) -> UpstreamId | None:
    """Return the engine to copy to in time, of the run's failure domain if there is one.

    A copy that comes too late takes the link from one that would not, and leaves memory taken.
    """
    left_ms = snapshot.leaving.get(run.engine, 0)
    in_time = [view for view in views if _copy_ms(snapshot, run, view) < left_ms]
    return _nearest(snapshot, run, in_time, rng)


def _copy_ms(snapshot: MoveSnapshot, run: MovableRun, view: EngineView) -> float:
    return copy_ms(
        tokens=run.tokens,
        token_bytes=snapshot.token_bytes,
        link_mbps=snapshot.link_mbps,
        away=view.failure_domain != snapshot.engines[run.engine].failure_domain,
    )


def _nearest(
    snapshot: MoveSnapshot, run: MovableRun, views: Sequence[EngineView], rng: Random
) -> UpstreamId | None:
    """Return the least loaded engine; a copy within a failure domain takes half the time."""
    domain = snapshot.engines[run.engine].failure_domain
    near = [view for view in views if view.failure_domain == domain]
    chosen = cheapest(
        views=near or views, prompt_tokens=0, is_long=True, failure_domain=domain, rng=rng
    )
    return None if chosen is None else chosen.upstream


def _copy_ahead(snapshot: MoveSnapshot, rng: Random) -> Move | None:
    """Return the next copy of a run in case its engine leaves or fails."""
    due = [run for run in snapshot.runs if _needs_copy(snapshot, run)]
    due.sort(key=lambda run: (run.is_put_back, run.copy_at is None, -run.made))
    for run in due:
        target = _holder(snapshot, run, rng)
        if target is not None and target not in snapshot.busy:
            return Move(kind=MoveKind.AHEAD, run=run, target=target)
    return None


def _needs_copy(snapshot: MoveSnapshot, run: MovableRun) -> bool:
    if run.engine in snapshot.leaving or run.engine in snapshot.busy or not run.is_settled:
        return False
    return not (run.is_copy_fresh and _safe_copy(snapshot, run) is not None)


def _safe_copy(snapshot: MoveSnapshot, run: MovableRun) -> UpstreamId | None:
    """Return the engine that holds a copy of a run, unless it leaves or can't be reached."""
    held = _live_copy(snapshot, run)
    return None if held in snapshot.unreachable else held


def _holder(snapshot: MoveSnapshot, run: MovableRun, rng: Random) -> UpstreamId | None:
    held = _safe_copy(snapshot, run)
    if held is not None:
        return held
    margin = COPY_MARGIN if _is_exposed(snapshot, run) else SPARE_MARGIN
    views = [
        view
        for view in _eligible(snapshot, run)
        if view.upstream not in snapshot.busy
        and has_room_for_copy(view=view, tokens=run.tokens, margin=margin)
    ]
    return _nearest(snapshot, run, views, rng)


def _is_exposed(snapshot: MoveSnapshot, run: MovableRun) -> bool:
    """Return whether more is on a run's engine than its notice would be long enough for."""
    easy = easy_tokens(token_bytes=snapshot.token_bytes, link_mbps=snapshot.link_mbps)
    return not snapshot.is_current or snapshot.engines[run.engine].uncopied_tokens > easy


def _even_out(snapshot: MoveSnapshot) -> Move | None:
    """Return the next run that goes on at a much emptier engine which has a copy of it.

    The load it answers: engines are replaced every few seconds. The new one is empty and gets all
    new prompts, which then wait for each other there, while the older ones are full of generations
    that only go on. A run moves with a pause of some 40 ms; the old engine gets room for a prompt,
    and loses less when it leaves in its turn.
    """
    for run in sorted(snapshot.runs, key=lambda run: -run.made):
        held = _safe_copy(snapshot, run)
        if held is None or run.engine in snapshot.leaving or {held, run.engine} & snapshot.busy:
            continue
        # The copy is on the other engine already and counts there as what yields.
        empty = snapshot.engines[held]
        uneven = is_uneven(full=snapshot.engines[run.engine], empty=empty, tokens=run.tokens)
        if uneven and has_room(view=empty, tokens=run.tokens):
            return Move(kind=MoveKind.EVEN_OUT, run=run, target=held)
    return None
