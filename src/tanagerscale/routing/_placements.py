"""The placements that this host wants or holds, and what it tells owners of them."""

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
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._chooser import CellChooser
from tanagerscale.routing._convert import ask_of
from tanagerscale.routing._deciders import Deciders
from tanagerscale.routing._entry import Decider
from tanagerscale.routing._entry import Entry
from tanagerscale.routing._entry import EntryTable
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._problems import no_upstream
from tanagerscale.routing._problems import overloaded
from tanagerscale.routing._problems import superseded
from tanagerscale.routing._protocol import UpstreamOpenness

log = get_logger(part="routing")


@final
class Placements:
    """Asks owners, takes in their decisions and keeps them told.

    :param host: The host that this process is.
    :param entries: Where the placements are kept.
    :param ownership: Who decides for which cell.
    :param chooser: Which cell to ask.
    :param gate: Which engines take new work, as this host knows.
    :param fallbacks: Decide while an owner is silent or has no open engine.
    :param tell: Sends a message to a host, which may be this one.
    :param clock: Time.
    """

    def __init__(
        self,
        *,
        host: HostId,
        entries: EntryTable,
        ownership: Ownership,
        chooser: CellChooser,
        gate: UpstreamOpenness,
        fallbacks: Deciders,
        tell: Callable[[HostId, Message], None],
        clock: Clock,
    ) -> None:
        self._host = host
        self._entries = entries
        self._ownership = ownership
        self._chooser = chooser
        self._gate = gate
        self._fallbacks = fallbacks
        self._tell = tell
        self._clock = clock
        self._serials = count(1)

    def enter(self, *, request: PlacementRequest, cell: CellId) -> Entry:
        """Begin a placement; an earlier one of the same generation is given up."""
        former = self._entries.by_generation(request.generation)
        if former is not None:
            self.give_up(former, former.finished(tokens=former.tokens))
        entry = Entry(
            serial=next(self._serials),
            request=request,
            cell=cell,
            outcome=asyncio.get_running_loop().create_future(),
            owner=self._ownership.owner(cell),
            asked=self._clock.now(),
        )
        self._entries.add(entry)
        return entry

    def ask(self, entry: Entry) -> None:
        """Ask the owner for a place, or ask again."""
        entry.owner = self._ownership.owner(entry.cell)
        entry.asked = self._clock.now()
        entry.answered = False
        self._tell(entry.owner, self._ask_message(entry))

    def _ask_message(self, entry: Entry) -> Ask:
        return ask_of(
            request=entry.request, cell=entry.cell, serial=entry.serial, now=self._clock.now()
        )

    def tell_running(self, entry: Entry) -> None:
        """Tell the present owner of a placement that it did not decide."""
        entry.owner = self._ownership.owner(entry.cell)
        running = Running(
            ask=self._ask_message(entry), upstream=entry.engine or "", tokens=entry.tokens
        )
        self._tell(entry.owner, running)

    def give_up(self, entry: Entry, finished: Finished) -> None:
        """Forget a placement and free what is reserved for it."""
        # Without this, ``place`` would wait forever: no decision reaches a removed entry.
        entry.refuse(problem=superseded())
        self._entries.remove(entry)
        self._tell(entry.owner, finished)
        self._leave_fallback(entry, finished)

    def _leave_fallback(self, entry: Entry, finished: Finished) -> None:
        fallback = self._fallbacks.find(entry.cell)
        if entry.in_fallback and fallback is not None:
            fallback.on_finished(host=self._host, finished=finished)
        entry.in_fallback = False

    def on_running_request(self, host: HostId, request: RunningRequest) -> None:
        """Tell an owner what it has forgotten, or never knew."""
        for serial in request.serials:
            entry = self._entries.by_serial(serial)
            if entry is None or entry.cell != request.cell or entry.owner != host:
                continue
            if entry.placement is not None:
                self.tell_running(entry)

    def on_grant(self, grant: Grant, *, host: HostId, decider: Decider) -> None:
        """Take in a decision, which may come twice, late or for a placement long given up."""
        entry = self._entries.by_serial(grant.serial)
        if entry is None or not entry.is_meant_by(grant):
            self._refuse(grant, host=host, decider=decider)
            return
        if decider is Decider.OWNER and host == entry.owner:
            entry.answered = True
        if grant.kind is GrantKind.ADMIT:
            self._on_admit(entry, grant, host=host, decider=decider)
        elif grant.kind is GrantKind.QUEUED:
            self._chooser.note_queue(entry.cell)
        elif grant.kind is GrantKind.SHED and entry.placement is None:
            self._on_shed(entry, grant)
        elif entry.placement is not None and entry.engine == grant.upstream:
            entry.placement.move_requested.set()

    def _on_shed(self, entry: Entry, grant: Grant) -> None:
        """Refuse the request; if the owner has no engine for it, decide at this host instead."""
        if not grant.unserved:
            entry.refuse(problem=overloaded(retry_after_ms=grant.retry_after_ms))
        elif not self._chooser.serves(entry.cell, entry.request):
            self._choose_again(entry)
        elif not entry.in_fallback:
            self._fall_back(entry, reason="Owner has no open engine for a request")

    def _on_admit(self, entry: Entry, grant: Grant, *, host: HostId, decider: Decider) -> None:
        engine = UpstreamId(grant.upstream)
        decided_by_owner = decider is Decider.OWNER and host == entry.owner
        if entry.placement is not None:
            self._on_second_admit(entry, grant, host=host, decider=decider)
        elif entry.outcome.done():
            return  # Its caller has just left, or was refused; ``place`` gives it up next.
        elif not self._gate.is_open(engine):
            self._ask_elsewhere(entry, grant, host=host, decider=decider)
        else:
            entry.admit(engine=engine)
            if decider is Decider.OWNER:
                self._leave_fallback(entry, entry.finished())
            if not decided_by_owner:
                self.tell_running(entry)
                self._give_back_to_former(grant, host=host, decider=decider)

    def _give_back_to_former(self, grant: Grant, *, host: HostId, decider: Decider) -> None:
        """Free a former owner of what its successor holds now."""
        if decider is Decider.OWNER:
            self._refuse(grant, host=host, decider=decider)

    def _on_second_admit(
        self, entry: Entry, grant: Grant, *, host: HostId, decider: Decider
    ) -> None:
        """Answer a decision about a placement that has its place already."""
        if decider is Decider.OWNER and host == entry.owner:
            if entry.engine != grant.upstream:
                self.tell_running(entry)
            return
        self._refuse(grant, host=host, decider=decider)

    def _ask_elsewhere(self, entry: Entry, grant: Grant, *, host: HostId, decider: Decider) -> None:
        """Turn down a place on an engine that this host knows to be leaving or unreachable."""
        self._refuse(grant, host=host, decider=decider)
        excluded = entry.request.excluded | {UpstreamId(grant.upstream)}
        entry.request = msgspec.structs.replace(entry.request, excluded=excluded)
        self._choose_again(entry)

    def _choose_again(self, entry: Entry) -> None:
        """Ask another cell, or tell the caller that there is none."""
        self._leave_fallback(entry, entry.finished())
        cell = self._chooser.choose(entry.request)
        if cell is None:
            entry.refuse(problem=no_upstream(entry.request))
            return
        entry.cell = cell
        self.ask(entry)

    def _refuse(self, grant: Grant, *, host: HostId, decider: Decider) -> None:
        """Give back what was granted and is not wanted, so that no reservation stays."""
        if grant.kind is not GrantKind.ADMIT:
            return
        finished = Finished(
            cell=grant.cell,
            serial=grant.serial,
            generation=grant.generation,
            tokens=0,
            complete=False,
        )
        if decider is Decider.OWNER:
            self._tell(host, finished)
            return
        fallback = self._fallbacks.find(CellId(grant.cell))
        if fallback is not None:
            fallback.on_finished(host=host, finished=finished)

    def reassign(self) -> None:
        """Tell new owners what waits and what runs here."""
        for entry in self._entries:
            if entry.placement is not None:
                self._reassign_placed(entry)
            elif not self._chooser.serves(entry.cell, entry.request):
                self._tell(entry.owner, entry.finished())
                self._choose_again(entry)
            elif self._ownership.owner(entry.cell) != entry.owner:
                self._tell(entry.owner, entry.finished())
                self.ask(entry)

    def _reassign_placed(self, entry: Entry) -> None:
        """Follow an engine to another cell, or its cell to another owner."""
        engine = UpstreamId(entry.engine or "")
        cell = self._ownership.cell_of_engine(engine) or entry.cell
        if cell != entry.cell:
            self._tell(entry.owner, entry.finished(tokens=entry.tokens))
            self._leave_fallback(entry, entry.finished(tokens=entry.tokens))
            entry.cell = cell
            self.tell_running(entry)
        elif self._ownership.owner(cell) != entry.owner:
            self.tell_running(entry)

    def repeat_asks(self) -> None:
        """Ask again, or let this host's share decide, where an owner is silent."""
        now = self._clock.now()
        for entry in self._entries:
            if entry.outcome.done():
                continue
            if not entry.wait_logged and entry.wait_is_long(now=now):
                self._log_wait(entry)
            if not entry.in_fallback and entry.answer_is_late(now=now):
                self._fall_back(entry, reason="Owner is silent")
            if not entry.ask_is_due(now=now):
                continue
            if self._chooser.should_leave(entry.cell, entry.request):
                self._tell(entry.owner, entry.finished())
                self._choose_again(entry)
            else:
                self.ask(entry)
                if entry.in_fallback:
                    self._ask_fallback(entry)

    def _log_wait(self, entry: Entry) -> None:
        entry.wait_logged = True
        log.info(
            "A request waits for an engine.",
            generation=entry.request.generation,
            cell=entry.cell,
            owner=entry.owner,
            answered=entry.answered,
            excluded=sorted(entry.request.excluded),
            waited_ms=self._clock.now() - entry.request.arrived,
        )

    def _fall_back(self, entry: Entry, *, reason: str) -> None:
        """Let this host's share of the cell decide too, as its owner cannot."""
        if self._ask_fallback(entry):
            log.info(f"{reason}; deciding alone.", cell=entry.cell, owner=entry.owner)

    def _ask_fallback(self, entry: Entry) -> bool:
        """Ask this host's share of the cell; return whether the cell is declared here."""
        fallback = self._fallbacks.get(entry.cell)
        if fallback is None:
            return False
        entry.in_fallback = True
        fallback.on_ask(host=self._host, ask=self._ask_message(entry))
        return True
