"""Client side of placement: requests placements from cell owners and reports changes to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from itertools import count
from typing import final

import msgspec

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import Ask
from tanagerscale.generated.messages import Finished
from tanagerscale.generated.messages import Grant
from tanagerscale.generated.messages import GrantKind
from tanagerscale.generated.messages import Running
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.membership import Message
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing._cell_owners import CellOwners
from tanagerscale.routing._cell_selector import CellSelector
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._convert import build_ask
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._placement_table import DecisionSource
from tanagerscale.routing._placement_table import PlacementRecord
from tanagerscale.routing._placement_table import PlacementTable
from tanagerscale.routing._problems import no_upstream
from tanagerscale.routing._problems import overloaded
from tanagerscale.routing._problems import superseded
from tanagerscale.routing._protocol import UpstreamAvailability

log = get_logger(part="routing")


@final
class PlacementClient:
    """Sends requests to cell owners, applies their decisions and reports changes to them.

    :param host: Id of this host.
    :param records: Placements of this host.
    :param ownership: Assignment of cells to owner hosts.
    :param selector: Selects the cell to ask.
    :param gate: Source of the engines that accept new work, as known to this host.
    :param fallbacks: Owners of this host's shares of cells, used while the owner of a cell does not
        answer or has no open engine.
    :param send: Sends a message to a host, which may be this host.
    :param clock: Clock of this host.
    """

    def __init__(
        self,
        *,
        host: HostId,
        records: PlacementTable,
        ownership: Ownership,
        selector: CellSelector,
        gate: UpstreamAvailability,
        fallbacks: CellOwners,
        send: Callable[[HostId, Message], None],
        clock: Clock,
    ) -> None:
        self._host = host
        self._records = records
        self._ownership = ownership
        self._selector = selector
        self._gate = gate
        self._fallbacks = fallbacks
        self._send = send
        self._clock = clock
        self._serials = count(1)
        self._rejected: set[UpstreamId] = set()

    def create(self, *, request: PlacementRequest, cell: CellId) -> PlacementRecord:
        """Create a placement; an earlier placement of the same generation is released."""
        previous = self._records.by_generation(request.generation)
        if previous is not None:
            self.release(previous, previous.build_finished(tokens=previous.tokens))
        record = PlacementRecord(
            serial=next(self._serials),
            request=request,
            cell=cell,
            outcome=asyncio.get_running_loop().create_future(),
            owner=self._ownership.owner(cell),
            asked_at=self._clock.now(),
        )
        self._records.add(record)
        return record

    def send_ask(self, record: PlacementRecord) -> None:
        """Ask the current owner of the cell to place the request, or repeat the ``Ask``."""
        record.owner = self._ownership.owner(record.cell)
        record.asked_at = self._clock.now()
        record.answered = False
        self._send(record.owner, self._build_ask(record))

    def _build_ask(self, record: PlacementRecord) -> Ask:
        return build_ask(
            request=record.request, cell=record.cell, serial=record.serial, now=self._clock.now()
        )

    def send_running(self, record: PlacementRecord) -> None:
        """Report a placement to the current owner of its cell, which did not decide it."""
        record.owner = self._ownership.owner(record.cell)
        running = Running(
            ask=self._build_ask(record), upstream=record.engine or "", tokens=record.tokens
        )
        self._send(record.owner, running)

    def release(self, record: PlacementRecord, finished: Finished) -> None:
        """Remove a placement and release its reservations."""
        # Without this, ``place`` would wait forever: no decision reaches a removed record.
        record.refuse(problem=superseded())
        self._records.remove(record)
        self._send(record.owner, finished)
        self._release_fallback(record, finished)

    def _release_fallback(self, record: PlacementRecord, finished: Finished) -> None:
        fallback = self._fallbacks.find(record.cell)
        if record.in_fallback and fallback is not None:
            fallback.on_finished(host=self._host, finished=finished)
        record.in_fallback = False

    def on_running_request(self, host: HostId, request: RunningRequest) -> None:
        """Report running placements that an owner has no reservation for."""
        for serial in request.serials:
            record = self._records.by_serial(serial)
            if record is None or record.cell != request.cell or record.owner != host:
                continue
            if record.placement is not None:
                self.send_running(record)

    def on_grant(self, grant: Grant, *, host: HostId, source: DecisionSource) -> None:
        """Handle a decision, which may be duplicated, delayed or for a released placement.

        :param grant: The decision.
        :param host: Host that sent it.
        :param source: Whether an owner or this host's fallback made it.
        """
        record = self._records.by_serial(grant.serial)
        if record is None or not record.matches(grant):
            self._reject(grant, host=host, source=source)
            return
        if source is DecisionSource.OWNER and host == record.owner:
            record.answered = True
        if grant.kind is GrantKind.ADMIT:
            self._on_admit(record, grant, host=host, source=source)
        elif grant.kind is GrantKind.QUEUED:
            self._selector.record_queued(record.cell)
        elif grant.kind is GrantKind.SHED and record.placement is None:
            self._on_shed(record, grant)
        elif record.placement is not None and record.engine == grant.upstream:
            record.placement.move_requested.set()

    def _on_shed(self, record: PlacementRecord, grant: Grant) -> None:
        """Refuse the request; if the owner has no open engine for it, place it at this host."""
        if not grant.unserved:
            record.refuse(problem=overloaded(retry_after_ms=grant.retry_after_ms))
        elif not self._selector.can_serve(record.cell, record.request):
            self._reselect(record)
        elif not record.in_fallback:
            self._start_fallback(record, reason="Owner has no open engine for a request")

    def _on_admit(
        self, record: PlacementRecord, grant: Grant, *, host: HostId, source: DecisionSource
    ) -> None:
        engine = UpstreamId(grant.upstream)
        decided_by_owner = source is DecisionSource.OWNER and host == record.owner
        if record.placement is not None:
            self._on_duplicate_admit(record, grant, host=host, source=source)
        elif record.outcome.done():
            return  # The caller has left or was refused; ``place`` releases the placement next.
        elif not self._gate.is_open(engine):
            self._reject_engine(record, grant, host=host, source=source)
        else:
            record.admit(engine=engine)
            if source is DecisionSource.OWNER:
                self._release_fallback(record, record.build_finished())
            if not decided_by_owner:
                self.send_running(record)
                self._release_former_owner(grant, host=host, source=source)

    def _release_former_owner(self, grant: Grant, *, host: HostId, source: DecisionSource) -> None:
        """Release the reservation at a former owner, as the current owner now holds it."""
        if source is DecisionSource.OWNER:
            self._reject(grant, host=host, source=source)

    def _on_duplicate_admit(
        self, record: PlacementRecord, grant: Grant, *, host: HostId, source: DecisionSource
    ) -> None:
        """Handle an admission of a request that has already been placed."""
        if source is DecisionSource.OWNER and host == record.owner:
            if record.engine != grant.upstream:
                self.send_running(record)
            return
        self._reject(grant, host=host, source=source)

    def _reject_engine(
        self, record: PlacementRecord, grant: Grant, *, host: HostId, source: DecisionSource
    ) -> None:
        """Reject an engine that is leaving or unreachable at this host, and ask again."""
        self._reject(grant, host=host, source=source)
        engine = UpstreamId(grant.upstream)
        if engine not in record.request.excluded:
            record.rejected |= {engine}
            self._rejected.add(engine)
            self._set_excluded(record, record.request.excluded | {engine})
        self._reselect(record)

    def on_engine_changed(self, engine: UpstreamId) -> None:
        """Ask again for the waiting requests that rejected an engine which is now open here."""
        if engine not in self._rejected or not self._gate.is_open(engine):
            return
        self._rejected.remove(engine)
        for record in self._records:
            if engine not in record.rejected or record.outcome.done():
                continue
            record.rejected -= {engine}
            self._set_excluded(record, record.request.excluded - {engine})
            # The owner reads the exclusions of a request only when it is new there.
            self._send(record.owner, record.build_finished())
            self._reselect(record)

    def _set_excluded(self, record: PlacementRecord, excluded: frozenset[UpstreamId]) -> None:
        record.request = msgspec.structs.replace(record.request, excluded=excluded)

    def _reselect(self, record: PlacementRecord) -> None:
        """Select a cell and ask its owner, or refuse the request if no cell can serve it."""
        self._release_fallback(record, record.build_finished())
        cell = self._selector.select(record.request)
        if cell is None:
            record.refuse(problem=no_upstream(record.request))
            return
        record.cell = cell
        self.send_ask(record)

    def _reject(self, grant: Grant, *, host: HostId, source: DecisionSource) -> None:
        """Reject an admission that is not needed, so that its reservation is released."""
        if grant.kind is not GrantKind.ADMIT:
            return
        finished = Finished(
            cell=grant.cell,
            serial=grant.serial,
            generation=grant.generation,
            tokens=0,
            complete=False,
        )
        if source is DecisionSource.OWNER:
            self._send(host, finished)
            return
        fallback = self._fallbacks.find(CellId(grant.cell))
        if fallback is not None:
            fallback.on_finished(host=host, finished=finished)

    def update_owners(self) -> None:
        """Send waiting and running placements whose cell or owner has changed to the new owner."""
        for record in self._records:
            if record.placement is not None:
                self._update_owner(record)
            elif not self._selector.can_serve(record.cell, record.request):
                self._send(record.owner, record.build_finished())
                self._reselect(record)
            elif self._ownership.owner(record.cell) != record.owner:
                self._send(record.owner, record.build_finished())
                self.send_ask(record)

    def _update_owner(self, record: PlacementRecord) -> None:
        """Report a running placement if its engine's cell or the owner of the cell has changed."""
        engine = UpstreamId(record.engine or "")
        cell = self._ownership.cell_of_engine(engine) or record.cell
        if cell != record.cell:
            self._send(record.owner, record.build_finished(tokens=record.tokens))
            self._release_fallback(record, record.build_finished(tokens=record.tokens))
            record.cell = cell
            self.send_running(record)
        elif self._ownership.owner(cell) != record.owner:
            self.send_running(record)

    def resend_asks(self) -> None:
        """Repeat due ``Ask`` messages, and use the fallback where an owner does not answer."""
        now = self._clock.now()
        for record in self._records:
            if record.outcome.done():
                continue
            if not record.wait_logged and record.is_wait_long(now=now):
                self._log_wait(record)
            if not record.in_fallback and record.is_answer_late(now=now):
                self._start_fallback(record, reason="Owner does not answer")
            if not record.is_ask_due(now=now):
                continue
            if self._selector.should_reselect(record.cell, record.request):
                self._send(record.owner, record.build_finished())
                self._reselect(record)
            else:
                self.send_ask(record)
                if record.in_fallback:
                    self._ask_fallback(record)

    def _log_wait(self, record: PlacementRecord) -> None:
        record.wait_logged = True
        log.info(
            "A request waits for an engine.",
            generation=record.request.generation,
            cell=record.cell,
            owner=record.owner,
            answered=record.answered,
            excluded=sorted(record.request.excluded),
            waited_ms=self._clock.now() - record.request.arrived,
        )

    def _start_fallback(self, record: PlacementRecord, *, reason: str) -> None:
        """Also place the request in this host's share of the cell, as the owner cannot place it."""
        if self._ask_fallback(record):
            log.info(f"{reason}; deciding alone.", cell=record.cell, owner=record.owner)

    def _ask_fallback(self, record: PlacementRecord) -> bool:
        """Queue the request in this host's share of the cell; return false if it is undeclared."""
        fallback = self._fallbacks.get_or_create(record.cell)
        if fallback is None:
            return False
        record.in_fallback = True
        fallback.on_ask(host=self._host, ask=self._build_ask(record))
        return True
