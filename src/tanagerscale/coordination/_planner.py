"""Orders to copy and move runs, given to the hosts whose runs they are."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from itertools import count
from typing import Final
from typing import final

from msgspec import Struct

from tanagerscale.coordination._departures import Departures
from tanagerscale.coordination._ledger import LedgerRun
from tanagerscale.coordination._ledger import RunLedger
from tanagerscale.coordination._parts import DecisionParts
from tanagerscale.coordination._parts import eligible_upstreams
from tanagerscale.coordination._parts import view_of
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
from tanagerscale.policy import next_move
from tanagerscale.policy import reason_not_moved
from tanagerscale.routes import EngineCapabilities
from tanagerscale.upstreams import UpstreamEntry

LOOK_MS: Final = 100
"""How often runs are looked through while there are any; a copy takes 200 ms or more."""

SOON_MS: Final = 5
"""Pause after news, so that what comes together is looked at once."""

LONGEST_COPY_MS: Final = 900
"""After so long an order counts as over, though its host has not said so. The largest runs take
three quarters of a second to another failure domain."""

RENEW_MS: Final = 2500
"""Age at which a copy is brought up to date. An engine drops one that nobody asked about for the
time it declares (five seconds); in 2.5 s a run grows by some 300 tokens, which take 30 ms."""

SETTLED_MS: Final = 300
"""A run that began to answer so lately may be over before it is copied."""

MOST_TRIES: Final = 4
"""Engines that one run is tried at while its engine leaves; each takes a few hundred milliseconds
of a notice of two seconds."""

REST_MS: Final = 80
"""Pause after a copy that failed, in which its engines may get room and others have their turn."""

_log = get_logger(part="moves")


class _UnderWay(Struct, kw_only=True):
    """An order that its host carries out.

    :param host: Whose run it is.
    :param move: What was ordered.
    :param until: When it counts as over.
    """

    host: HostId
    move: Move
    until: Millis

    @property
    def engines(self) -> set[UpstreamId]:
        """The engines whose links it uses."""
        return {self.move.run.engine, self.move.target}


class _Tries(Struct, kw_only=True):
    """What became of orders for one run.

    :param engine: Where it ran then.
    :param failed_at: Engines that did not take it.
    :param is_put_back: Whether its last copy failed.
    :param rests_until: When it may be tried again.
    """

    engine: UpstreamId
    failed_at: set[UpstreamId]
    is_put_back: bool = False
    rests_until: Millis = Millis(0)


@final
class MovePlanner:
    """Decides which run is copied or moved next, of those that hosts let this one plan for.

    :param host: This host.
    :param parts: What decisions go by.
    :param ledger: What all hosts run.
    :param departures: When engines leave.
    :param order: Tells a host what to do; returns whether it can be reached.
    """

    def __init__(
        self,
        *,
        host: HostId,
        parts: DecisionParts,
        ledger: RunLedger,
        departures: Departures,
        order: Callable[[HostId, MoveOrder], bool],
    ) -> None:
        self._host = host
        self._parts = parts
        self._ledger = ledger
        self._departures = departures
        self._order = order
        self._numbers = count(1)
        self._under_way: dict[int, _UnderWay] = {}
        self._tries: dict[RequestId, _Tries] = {}
        self._not_moved: dict[RequestId, str] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def under_way(self) -> int:
        """How many orders are being carried out."""
        return len(self._under_way)

    def look_soon(self) -> None:
        """Look through the runs, since something has changed."""
        self._look_after(SOON_MS)

    def on_done(self, *, host: HostId, done: MoveDone) -> None:
        """Take in the end of an order."""
        under_way = self._under_way.get(done.number)
        if under_way is None or under_way.host != host:
            return  # It counted as over before.
        del self._under_way[done.number]
        self._ledger.end_plan(request=under_way.move.run.request)
        self._note_end(under_way.move, is_done=done.is_done)
        self.look()

    def forget(self, *, host: HostId) -> None:
        """Take the orders of a host as over that is gone."""
        for number in [one for one, order in self._under_way.items() if order.host == host]:
            del self._under_way[number]

    def look(self) -> None:
        """Give the orders that can begin now."""
        self._end_old()
        runs = [run for run in self._ledger.runs_of(decider=self._host) if _is_movable(run)]
        self._forget_ended(runs)
        if not runs:
            return
        for service in self._services(runs):
            self._look_at(service)
        self._look_after(LOOK_MS)

    def _look_after(self, delay_ms: int) -> None:
        loop = asyncio.get_running_loop()
        at = loop.time() + delay_ms / MS_PER_SECOND
        if self._timer is not None:
            if self._timer.when() <= at:
                return
            self._timer.cancel()
        self._timer = loop.call_at(at, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.look()

    def _end_old(self) -> None:
        now = self._parts.clock.now()
        for number, order in list(self._under_way.items()):
            if now >= order.until:
                del self._under_way[number]
                _log.info("An order has no end.", request=order.move.run.request, host=order.host)

    def _forget_ended(self, runs: Sequence[LedgerRun]) -> None:
        present = {RequestId(run.use.request) for run in runs}
        self._tries = {one: tries for one, tries in self._tries.items() if one in present}
        self._not_moved = {one: reason for one, reason in self._not_moved.items() if one in present}

    def _services(self, runs: Sequence[LedgerRun]) -> list[ServiceId]:
        entries = (self._parts.upstreams.get(UpstreamId(run.use.upstream)) for run in runs)
        return sorted({entry.service for entry in entries if entry is not None})

    def _look_at(self, service: ServiceId) -> None:
        engine = self._parts.engine_of(service)
        if engine is None or not engine.can_move:
            return
        while True:
            runs = self._runs_of(service)
            snapshot = self._snapshot(service, engine, [run for _, run in runs])
            hosts = {run.request: ledger_run for ledger_run, run in runs}
            move = next_move(snapshot=snapshot, rng=self._parts.rng)
            if move is None:
                break
            self._give(hosts[move.run.request], move)
        self._log_not_moved(snapshot)
        for run in copies_to_evict(snapshot):
            self._drop(hosts[run.request], run)

    def _runs_of(self, service: ServiceId) -> list[tuple[LedgerRun, MovableRun]]:
        runs = []
        for run in self._ledger.runs_of(decider=self._host):
            entry = self._parts.upstreams.get(UpstreamId(run.use.upstream))
            if entry is None or entry.service != service or not _is_movable(run):
                continue
            if not run.use.is_moving and not self._rests(run):
                runs.append((run, self._to_movable(run)))
        return runs

    def _rests(self, run: LedgerRun) -> bool:
        """Return whether orders for a run failed lately, or too often."""
        tries = self._tries_of(run)
        if tries is None:
            return False
        return len(tries.failed_at) >= MOST_TRIES or self._parts.clock.now() < tries.rests_until

    def _tries_of(self, run: LedgerRun) -> _Tries | None:
        """Return what became of orders for a run on its engine of now."""
        tries = self._tries.get(RequestId(run.use.request))
        return None if tries is None or tries.engine != run.use.upstream else tries

    def _to_movable(self, run: LedgerRun) -> MovableRun:
        use = run.use
        request = RequestId(use.request)
        engine = UpstreamId(use.upstream)
        tries = self._tries_of(run)
        return MovableRun(
            request=request,
            engine=engine,
            tokens=run.tokens,
            answer_tokens=run.made,
            is_copy_worthwhile=run.running_ms >= SETTLED_MS,
            copy_at=UpstreamId(use.copy_at) if use.copy_at else None,
            is_copy_fresh=run.copy_age_ms < RENEW_MS,
            has_copy_failed=tries is not None and tries.is_put_back,
            excluded=frozenset() if tries is None else frozenset(tries.failed_at),
            allowed_domains={FailureDomainId(domain) for domain in use.domains},
        )

    def _snapshot(
        self, service: ServiceId, engine: EngineCapabilities, runs: Sequence[MovableRun]
    ) -> MoveSnapshot:
        parts = self._parts
        entries = self._entries(service, runs)
        totals = self._ledger.totals()
        leaving = [one for one in entries if parts.gate.is_leaving(one)]
        return MoveSnapshot(
            runs=[run for run in runs if run.engine in entries],
            engines={
                upstream: view_of(entry, engine=engine, totals=totals, upstreams=parts.upstreams)
                for upstream, entry in entries.items()
            },
            eligible={
                entry.upstream
                for entry in eligible_upstreams(parts, service)
                if parts.warmup.allows(entry)
            },
            leaving={one: self._left_ms(one) for one in leaving},
            unreachable={one for one in entries if parts.gate.is_broken(one)},
            evacuated={one for one in entries if parts.upstreams.is_evacuated(one)},
            busy=self._busy(),
            token_bytes=engine.token_bytes,
            link_mbps=engine.link_mbps,
            are_notices_current=parts.upstreams.is_current,
            are_links_reserved=self._departures.links_busy,
        )

    def _entries(
        self, service: ServiceId, runs: Sequence[MovableRun]
    ) -> dict[UpstreamId, UpstreamEntry]:
        """Return the engines of a service that take work, run anything or hold copies."""
        entries = {entry.upstream: entry for entry in eligible_upstreams(self._parts, service)}
        named = {run.engine for run in runs} | {run.copy_at for run in runs if run.copy_at}
        for upstream in named - entries.keys():
            entry = self._parts.upstreams.get(upstream)
            if entry is not None:
                entries[upstream] = entry
        return entries

    def _left_ms(self, upstream: UpstreamId) -> int:
        return self._departures.gone_at(upstream) - self._parts.clock.now()

    def _busy(self) -> set[UpstreamId]:
        busy: set[UpstreamId] = set()
        for order in self._under_way.values():
            busy |= order.engines
        return busy

    def _give(self, run: LedgerRun, move: Move) -> None:
        number = next(self._numbers)
        self._ledger.plan_copy(
            run=run,
            target=move.target,
            yields=move.kind is MoveKind.AHEAD,
            for_ms=LONGEST_COPY_MS,
        )
        order = MoveOrder(
            number=number,
            kind=move.kind,
            request=move.run.request,
            source=move.run.engine,
            target=move.target,
        )
        if not self._order(run.host, order):
            return  # Its host is gone, and its runs with it.
        self._not_moved.pop(move.run.request, None)
        self._note_sent(move)
        until = Millis(self._parts.clock.now() + LONGEST_COPY_MS)
        self._under_way[number] = _UnderWay(host=run.host, move=move, until=until)
        _log.info(
            "A move is ordered.",
            request=move.run.request,
            entry_host=run.host,
            kind=move.kind.value,
            source=move.run.engine,
            target=move.target,
            tokens=move.run.tokens,
            has_copy=move.run.copy_at == move.target,
        )

    def _note_sent(self, move: Move) -> None:
        """Count the request by which a run goes on at another engine."""
        entry = self._parts.upstreams.get(move.target)
        if entry is not None and move.kind is not MoveKind.AHEAD:
            self._parts.warmup.note(entry)

    def _drop(self, run: LedgerRun, movable: MovableRun) -> None:
        order = MoveOrder(
            number=next(self._numbers),
            kind=MoveKind.DROP,
            request=movable.request,
            source=movable.engine,
        )
        self._ledger.plan_drop(run=run)
        self._order(run.host, order)
        _log.info(
            "A copy yields to new work.",
            request=movable.request,
            entry_host=run.host,
            holder=movable.copy_at,
            tokens=movable.tokens,
        )

    def _note_end(self, move: Move, *, is_done: bool) -> None:
        request, engine = move.run.request, move.run.engine
        tries = self._tries.get(request)
        if tries is None or tries.engine != engine:
            tries = _Tries(engine=engine, failed_at=set())
            self._tries[request] = tries
        if is_done:
            tries.is_put_back = False
            return
        if move.kind is MoveKind.LEAVE:
            tries.failed_at.add(move.target)
        tries.is_put_back = True
        tries.rests_until = Millis(self._parts.clock.now() + REST_MS)

    def _log_not_moved(self, snapshot: MoveSnapshot) -> None:
        """Log why runs are still on engines that leave, once for each reason."""
        for run in snapshot.runs:
            if run.engine not in snapshot.leaving:
                continue
            reason = reason_not_moved(snapshot=snapshot, run=run, rng=self._parts.rng)
            if self._not_moved.get(run.request) == reason:
                continue
            self._not_moved[run.request] = reason
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
