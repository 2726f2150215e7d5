"""Moves that the retry budget of their service and the rate limits of engines allow."""

from __future__ import annotations

from collections.abc import Set
from typing import final

from msgspec.structs import replace

from tanagerscale.coordination._context import DecisionContext
from tanagerscale.coordination._retry_budgets import SharedRetryBudgets
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import RepeatClass
from tanagerscale.generated.messages import RequestClass
from tanagerscale.policy import Move
from tanagerscale.policy import MoveSnapshot
from tanagerscale.policy import next_move


@final
class PermittedMoves:
    """Selects moves, and counts the requests with which moved runs continue.

    :param context: Inputs of decisions.
    :param retry_budgets: Budgets of what is sent more than once.
    """

    def __init__(self, *, context: DecisionContext, retry_budgets: SharedRetryBudgets) -> None:
        self._context = context
        self._retry_budgets = retry_budgets

    def next(self, service: ServiceId, snapshot: MoveSnapshot) -> Move | None:
        """Return the next move; ``None`` if there is none.

        A run that has to leave its engine while the budget is empty is copied, so that it can
        continue once there is a repeat.
        """
        if self._can_acquire(service, RepeatClass.RESUMED):
            move = self._next_within_rates(snapshot)
            is_optional = move is not None and move.kind is MoveKind.EVEN_OUT
            if is_optional and not self._can_acquire(service, RepeatClass.REPEATED):
                return None
            return move
        uncopied = [run for run in snapshot.runs if run.copy_at is None]
        move = self._next_within_rates(replace(snapshot, runs=uncopied))
        if move is None or move.kind is MoveKind.EVEN_OUT:
            return None
        return replace(move, kind=MoveKind.AHEAD)

    def record(self, service: ServiceId, move: Move) -> None:
        """Count the request with which a run continues on another engine."""
        if move.kind is MoveKind.AHEAD:
            return
        self._context.rate_limits.record(move.target, RequestClass.RESUMED)
        self._retry_budgets.try_acquire(service=service, kind=RepeatClass.RESUMED)

    def cancel(self, service: ServiceId, move: Move) -> None:
        """Return the repeat of a move that its host has not made."""
        if move.kind is not MoveKind.AHEAD:
            self._retry_budgets.refund(service=service)

    def _can_acquire(self, service: ServiceId, kind: RepeatClass) -> bool:
        return self._retry_budgets.can_acquire(service=service, kind=kind)

    def _next_within_rates(self, snapshot: MoveSnapshot) -> Move | None:
        """Return the next move; only runs of leaving engines move to engines with rate limits."""
        rng = self._context.rng
        limited = self._limited_engines(snapshot)
        if not limited:
            return next_move(snapshot=snapshot, rng=rng)
        unlimited = replace(snapshot, eligible=snapshot.eligible - limited)
        move = next_move(snapshot=unlimited, rng=rng)
        if move is None:
            move = next_move(snapshot=snapshot, rng=rng)
        return None if move is not None and _is_optional(move, limited) else move

    def _limited_engines(self, snapshot: MoveSnapshot) -> set[UpstreamId]:
        return {one for one in snapshot.eligible if self._context.rate_limits.is_limited(one)}


def _is_optional(move: Move, limited: Set[UpstreamId]) -> bool:
    """Return whether a move is not needed, and uses up the rate of an engine or depends on it.

    A run that its target doesn't take has to return to its own engine.
    """
    if move.kind is MoveKind.EVEN_OUT and move.run.engine in limited:
        return True
    return move.target in limited and move.kind is not MoveKind.LEAVE
