"""Orders to copy and move runs, sent to the hosts that own them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from itertools import count
from typing import Final
from typing import final

from tanagerscale.coordination._context import DecisionContext
from tanagerscale.coordination._context import build_engine_view
from tanagerscale.coordination._context import eligible_upstreams
from tanagerscale.coordination._departures import Departures
from tanagerscale.coordination._ledger import LedgerRun
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.coordination._move_orders import MoveAttempts
from tanagerscale.coordination._move_orders import PendingOrder
from tanagerscale.coordination._pacing import Pacing
from tanagerscale.coordination._permitted_moves import PermittedMoves
from tanagerscale.coordination._retry_budgets import SharedRetryBudgets
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import MoveDone
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.policy import MovableRun
from tanagerscale.policy import Move
from tanagerscale.policy import MoveSnapshot
from tanagerscale.policy import copies_to_evict
from tanagerscale.policy import reason_not_moved
from tanagerscale.routes import EngineCapabilities
from tanagerscale.upstreams import UpstreamEntry

PLANNING_INTERVAL_MS: Final = 100
"""Interval at which runs are evaluated while there are any; a copy takes 200 ms or more."""

PLANNING_DELAY_MS: Final = 5
"""Delay after a change, so that changes that arrive together are evaluated once."""

ORDER_TIMEOUT_MS: Final = 900
"""Time after which an order counts as ended without a confirmation of its host. Copying the largest
runs to another failure domain takes three quarters of a second."""

MAX_PLANNING_SHARE: Final = 0.3
"""Fraction of the processor time that a decider spends on planning at most. A plan for 240 runs on
30 engines takes some 10 ms, and each change of a run asks for another one."""

MAX_COPY_AGE_MS: Final = 2500
"""Age at which a copy is updated. An engine drops a copy that is not accessed for the time it
declares (five seconds); in 2.5 s a run grows by some 300 tokens, which take 30 ms to copy."""

MIN_RUNNING_MS: Final = 300
"""A run that began to answer more recently than this may finish before it is copied."""

RETRY_DELAY_MS: Final = 80
"""Delay after a failed copy, in which its engines may free memory and other runs are handled."""

_log = get_logger(part="moves")


@final
class MovePlanner:
    """Selects the next run to copy or move among the runs of hosts that use this decider.

    :param host: This host.
    :param context: Inputs of decisions.
    :param ledger: Runs of all hosts.
    :param departures: Departure times of engines.
    :param retry_budgets: Counts the requests with which moved runs continue.
    :param send_order: Sends an order to a host; returns whether it can be reached.
    :param is_stopping: Returns whether a host is shutting down.
    """

    def __init__(
        self,
        *,
        host: HostId,
        context: DecisionContext,
        ledger: RunLedger,
        departures: Departures,
        retry_budgets: SharedRetryBudgets,
        send_order: Callable[[HostId, MoveOrder], bool],
        is_stopping: Callable[[HostId], bool],
    ) -> None:
        self._host = host
        self._context = context
        self._ledger = ledger
        self._departures = departures
        self._retry_budgets = retry_budgets
        self._moves = PermittedMoves(context=context, retry_budgets=retry_budgets)
        self._send_order = send_order
        self._is_stopping = is_stopping
        self._numbers = count(1)
        self._orders: dict[int, PendingOrder] = {}
        self._attempts: dict[RequestId, MoveAttempts] = {}
        self._logged_reasons: dict[RequestId, str] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._pacing = Pacing(max_share=MAX_PLANNING_SHARE)

    @property
    def orders_in_progress(self) -> int:
        """Number of orders being executed."""
        return len(self._orders)

    def schedule_reevaluation(self) -> None:
        """Schedule an evaluation of the runs after a change."""
        self._schedule(PLANNING_DELAY_MS)

    def on_done(self, *, host: HostId, done: MoveDone) -> None:
        """Handle the end of an order."""
        pending = self._orders.get(done.number)
        if pending is None or pending.host != host:
            return  # It has already timed out.
        del self._orders[done.number]
        self._ledger.end_plan(request=pending.move.run.request)
        if not done.is_done and not done.has_stopped:
            self._moves.cancel(pending.service, pending.move)
        self._record_result(pending.move, is_done=done.is_done)
        self.reevaluate()

    def forget(self, *, host: HostId) -> None:
        """Drop the orders of a host that has disconnected."""
        for number in [one for one, order in self._orders.items() if order.host == host]:
            del self._orders[number]

    def reevaluate(self) -> None:
        """Send the orders that can start now."""
        delay_ms = self._pacing.delay_ms()
        if delay_ms > 0:
            self._schedule(delay_ms)
            return
        with self._pacing.measure():
            self._plan_all()

    def _plan_all(self) -> None:
        self._expire_orders()
        runs = [run for run in self._ledger.runs_of(decider=self._host) if _is_movable(run)]
        self._forget_ended_runs(runs)
        if not runs:
            return
        for service in self._services_of(runs):
            self._plan_service(service)
        self._schedule(PLANNING_INTERVAL_MS)

    def _schedule(self, delay_ms: float) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time() + delay_ms / MS_PER_SECOND
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.reevaluate()

    def _expire_orders(self) -> None:
        now = self._context.clock.now()
        for number, order in list(self._orders.items()):
            if now >= order.expires_at:
                del self._orders[number]
                _log.info(
                    "An order timed out without a result.",
                    request=order.move.run.request,
                    host=order.host,
                )

    def _forget_ended_runs(self, runs: Sequence[LedgerRun]) -> None:
        present = {RequestId(run.use.request) for run in runs}
        self._attempts = {
            one: attempts for one, attempts in self._attempts.items() if one in present
        }
        self._logged_reasons = {
            one: reason for one, reason in self._logged_reasons.items() if one in present
        }

    def _services_of(self, runs: Sequence[LedgerRun]) -> list[ServiceId]:
        entries = (self._context.upstreams.get(UpstreamId(run.use.upstream)) for run in runs)
        return sorted({entry.service for entry in entries if entry is not None})

    def _plan_service(self, service: ServiceId) -> None:
        engine = self._context.get_engine_capabilities(service)
        if engine is None or not engine.can_move:
            return
        while True:
            runs = self._runs_of(service)
            snapshot = self._snapshot(service, engine, [run for _, run in runs])
            hosts = {run.request: ledger_run for ledger_run, run in runs}
            move = self._moves.next(service, snapshot)
            if move is None:
                break
            self._issue(hosts[move.run.request], service, move)
        self._log_reasons_not_moved(snapshot)
        for run in copies_to_evict(snapshot):
            self._drop_copy(hosts[run.request], run)

    def _runs_of(self, service: ServiceId) -> list[tuple[LedgerRun, MovableRun]]:
        runs = []
        for run in self._ledger.runs_of(decider=self._host):
            entry = self._context.upstreams.get(UpstreamId(run.use.upstream))
            if entry is None or entry.service != service or not _is_movable(run):
                continue
            if not run.use.is_moving and not self._is_backing_off(run):
                runs.append((run, self._to_movable_run(run)))
        return runs

    def _is_backing_off(self, run: LedgerRun) -> bool:
        """Return whether an order for a run has just failed."""
        attempts = self._attempts_for(run)
        return attempts is not None and self._context.clock.now() < attempts.retry_at

    def _attempts_for(self, run: LedgerRun) -> MoveAttempts | None:
        """Return the results of orders for a run on its current engine."""
        attempts = self._attempts.get(RequestId(run.use.request))
        return None if attempts is None or attempts.engine != run.use.upstream else attempts

    def _to_movable_run(self, run: LedgerRun) -> MovableRun:
        use = run.use
        request = RequestId(use.request)
        engine = UpstreamId(use.upstream)
        attempts = self._attempts_for(run)
        now = self._context.clock.now()
        failed_targets = frozenset() if attempts is None else attempts.excluded(now=now)
        return MovableRun(
            request=request,
            engine=engine,
            tokens=run.tokens,
            answer_tokens=run.answer_tokens,
            is_copy_worthwhile=run.running_ms >= MIN_RUNNING_MS,
            copy_at=UpstreamId(use.copy_at) if use.copy_at else None,
            is_copy_fresh=run.copy_age_ms < MAX_COPY_AGE_MS,
            has_copy_failed=attempts is not None and attempts.has_copy_failed,
            excluded=failed_targets | self._ledger.paused_for(run.host),
            allowed_domains={FailureDomainId(domain) for domain in use.domains},
            is_host_stopping=self._is_stopping(run.host),
        )

    def _snapshot(
        self, service: ServiceId, engine: EngineCapabilities, runs: Sequence[MovableRun]
    ) -> MoveSnapshot:
        context = self._context
        entries = self._entries(service, runs)
        totals = self._ledger.totals()
        leaving = [one for one in entries if context.gate.is_leaving(one)]
        return MoveSnapshot(
            runs=[run for run in runs if run.engine in entries],
            engines={
                upstream: build_engine_view(
                    entry,
                    engine=engine,
                    totals=totals,
                    upstreams=context.upstreams,
                    speeds=self._ledger.speeds,
                )
                for upstream, entry in entries.items()
            },
            eligible={
                entry.upstream
                for entry in eligible_upstreams(context, service)
                if context.rate_limits.allows_resume(entry.upstream)
            },
            leaving={one: self._remaining_ms(one) for one in leaving},
            unreachable={one for one in entries if context.gate.is_broken(one)},
            evacuated={one for one in entries if context.upstreams.is_evacuated(one)},
            busy=self._busy_engines(),
            token_bytes=engine.token_bytes,
            link_mbps=engine.link_mbps,
            are_notices_current=context.upstreams.is_current,
            are_links_reserved=self._departures.are_links_reserved,
        )

    def _entries(
        self, service: ServiceId, runs: Sequence[MovableRun]
    ) -> dict[UpstreamId, UpstreamEntry]:
        """Return the engines of a service that accept work, run anything or hold copies."""
        entries = {entry.upstream: entry for entry in eligible_upstreams(self._context, service)}
        named = {run.engine for run in runs} | {run.copy_at for run in runs if run.copy_at}
        for upstream in named - entries.keys():
            entry = self._context.upstreams.get(upstream)
            if entry is not None:
                entries[upstream] = entry
        return entries

    def _remaining_ms(self, upstream: UpstreamId) -> int:
        return self._departures.departure_time(upstream) - self._context.clock.now()

    def _busy_engines(self) -> set[UpstreamId]:
        busy: set[UpstreamId] = set()
        for order in self._orders.values():
            busy |= order.engines
        return busy

    def _issue(self, run: LedgerRun, service: ServiceId, move: Move) -> None:
        number = next(self._numbers)
        self._ledger.plan_copy(
            run=run,
            target=move.target,
            is_evictable=move.kind is MoveKind.AHEAD,
            for_ms=ORDER_TIMEOUT_MS,
        )
        order = MoveOrder(
            number=number,
            kind=move.kind,
            request=move.run.request,
            source=move.run.engine,
            target=move.target,
        )
        if not self._send_order(run.host, order):
            return  # The host has disconnected, and its runs are gone with it.
        self._logged_reasons.pop(move.run.request, None)
        self._moves.record(service, move)
        expires_at = Millis(self._context.clock.now() + ORDER_TIMEOUT_MS)
        self._orders[number] = PendingOrder(
            host=run.host, service=service, move=move, expires_at=expires_at
        )
        _log.info(
            "A move is ordered.",
            request=move.run.request,
            entry_host=run.host,
            kind=move.kind.value,
            source=move.run.engine,
            target=move.target,
            tokens=move.run.tokens,
            has_copy=move.run.copy_at == move.target,
            decider_since_ms=self._retry_budgets.decider_since_ms,
        )

    def _drop_copy(self, run: LedgerRun, movable: MovableRun) -> None:
        order = MoveOrder(
            number=next(self._numbers),
            kind=MoveKind.DROP,
            request=movable.request,
            source=movable.engine,
        )
        self._ledger.plan_drop(run=run)
        self._send_order(run.host, order)
        _log.info(
            "A copy is dropped to free memory for new work.",
            request=movable.request,
            entry_host=run.host,
            holder=movable.copy_at,
            tokens=movable.tokens,
        )

    def _record_result(self, move: Move, *, is_done: bool) -> None:
        request, engine = move.run.request, move.run.engine
        now = self._context.clock.now()
        attempts = self._attempts.get(request)
        if attempts is None or attempts.engine != engine:
            attempts = MoveAttempts(engine=engine)
            self._attempts[request] = attempts
        if is_done:
            attempts.has_copy_failed = False
            return
        if move.kind is MoveKind.LEAVE:
            attempts.record_failure(target=move.target, now=now)
        attempts.has_copy_failed = True
        attempts.retry_at = Millis(now + RETRY_DELAY_MS)

    def _log_reasons_not_moved(self, snapshot: MoveSnapshot) -> None:
        """Log why runs are still on leaving engines, once for each reason."""
        for run in snapshot.runs:
            if run.engine not in snapshot.leaving:
                continue
            reason = reason_not_moved(snapshot=snapshot, run=run, rng=self._context.rng)
            if self._logged_reasons.get(run.request) == reason:
                continue
            self._logged_reasons[run.request] = reason
            _log.info(
                "A run stays on a leaving engine.",
                request=run.request,
                source=run.engine,
                tokens=run.tokens,
                left_ms=snapshot.leaving[run.engine],
                reason=reason,
            )


def _is_movable(run: LedgerRun) -> bool:
    return run.use.is_long and run.running_ms >= 0
