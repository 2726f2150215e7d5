"""Places generations by asking the owners of cells."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
from itertools import count
from random import Random
from typing import final

from reactivex.abc import DisposableBase
from returns.result import Failure
from returns.result import Result

from tanagerscale.core import Clock
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.messages import Ask
from tanagerscale.generated.messages import Finished
from tanagerscale.generated.messages import Grant
from tanagerscale.generated.messages import GrantKind
from tanagerscale.generated.messages import Running
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.membership import Message
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import Received
from tanagerscale.policy import EngineSpec
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._chooser import CellChooser
from tanagerscale.routing._convert import ask_of
from tanagerscale.routing._deciders import Deciders
from tanagerscale.routing._entry import Decider
from tanagerscale.routing._entry import Entry
from tanagerscale.routing._entry import EntryTable
from tanagerscale.routing._owned_cells import OwnedCells
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._ownership import scaled
from tanagerscale.routing._problems import no_upstream
from tanagerscale.routing._problems import overloaded
from tanagerscale.routing._protocol import PeerNetwork
from tanagerscale.routing._protocol import Placement
from tanagerscale.routing._protocol import PoolScheduler
from tanagerscale.routing._protocol import UpstreamOpenness
from tanagerscale.routing._reporter import ProgressReporter
from tanagerscale.upstreams import EngineClient

TICK_MS = 100
PROGRESS_MS = 500
KEEP_MS = 2500
"""How often progress names each running placement, changed or not."""

log = get_logger(part="routing")


@final
class PoolRouter:
    """Asks the owner of a cell for each place, and decides for the cells this host owns.

    Owners are efficiency, not safety: with none or two of them for a moment, hosts over-commit
    or under-use engines, and each generation still has one placement at its entry host.

    :param network: The other hosts.
    :param gate: Which upstreams take new work.
    :param make_scheduler: Makes the scheduler of one cell.
    :param clock: Time.
    :param rng: Spreads choices between cells.
    :param engine_clients: Gives the client by which an owner reads an engine's load; ``None``
        leaves engines unread.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        gate: UpstreamOpenness,
        make_scheduler: Callable[[], PoolScheduler],
        clock: Clock,
        rng: Random,
        engine_clients: Callable[[UpstreamId], EngineClient] | None = None,
    ) -> None:
        self._network = network
        self._gate = gate
        self._clock = clock
        self._serials = count(1)
        self._ownership = Ownership(host=network.host)
        self._chooser = CellChooser(ownership=self._ownership, gate=gate, clock=clock, rng=rng)
        self._entries = EntryTable()
        self._owned = OwnedCells(
            ownership=self._ownership,
            open_specs=lambda cell: self._open_specs(cell, share=self._ownership.share),
            make_scheduler=make_scheduler,
            gate=gate,
            clock=clock,
            tell=self._tell,
            engine_clients=engine_clients,
        )
        self._fallbacks = Deciders(
            make_scheduler=make_scheduler,
            specs=lambda cell: self._open_specs(cell, share=self._ownership.equal_share),
            keeps=lambda _cell: False,
            clock=clock,
            tell=self._on_fallback,
        )
        self._reporter = ProgressReporter(
            host=network.host, entries=self._entries, fallbacks=self._fallbacks, tell=self._tell
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._subscriptions: list[DisposableBase] = []

    @property
    def reservations(self) -> int:
        """How many placements the cells decided here hold, for any host."""
        return self._owned.reservations + self._fallbacks.reservations

    @property
    def held(self) -> int:
        """How many placements this host wants or holds for its callers."""
        return len(self._entries)

    @property
    def owned(self) -> tuple[CellId, ...]:
        """The cells that this host decides for."""
        return self._ownership.owned

    def start(self) -> None:
        """Begin to listen and to decide."""
        self._subscriptions = [
            self._network.live.subscribe(self._on_live),
            self._network.messages.subscribe(self._on_received),
            self._gate.changes.subscribe(lambda _upstream: self._refresh_engines()),
        ]
        self._tasks = [
            asyncio.create_task(self._tick_forever()),
            asyncio.create_task(self._report_forever()),
        ]

    async def stop(self) -> None:
        """Decide no more; placements keep their engines."""
        for subscription in self._subscriptions:
            subscription.dispose()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._fallbacks.close()
        await self._owned.stop()

    def set_engines(self, engines: Sequence[Engine]) -> None:
        """Replace the declared engines."""
        self._ownership.set_engines(engines)
        self._reassign()

    def set_leaving(self, *, leaving: bool) -> None:
        """Give the cells owned here to other hosts, or take them back."""
        self._ownership.set_leaving(leaving=leaving)
        self._reassign()

    def set_known_hosts(self, known: int) -> None:
        """Tell how many hosts there should be, so that a host cut off from them knows it is.

        :param known: Hosts that the host list shows as live, this one included.
        """
        self._ownership.set_known_hosts(known)
        self._refresh_engines()

    def configure(self, apply: Callable[[PoolScheduler], None]) -> None:
        """Change the schedulers in use, such as when accounts or the objective have changed.

        :param apply: Called once with each scheduler; new ones are made as they should be.
        """
        self._owned.configure(apply)
        self._fallbacks.configure(apply)

    async def place(self, *, request: PlacementRequest) -> Result[Placement, Problem]:
        """Wait for a place; cancelling the call withdraws the request."""
        cell = self._chooser.choose(request)
        if cell is None:
            return Failure(no_upstream(request))
        entry = self._enter(request=request, cell=cell)
        self._ask(entry)
        try:
            outcome = await entry.outcome
        except asyncio.CancelledError:
            self._give_up(entry, entry.finished())
            raise
        if isinstance(outcome, Failure):
            self._give_up(entry, entry.finished())
        return outcome

    def adopt(self, *, request: PlacementRequest, engine: UpstreamId, tokens: int) -> Placement:
        """Hold a generation that runs already, such as one resumed after its host's death.

        It must be followed by one ``release`` like any other.

        :param request: What was asked for.
        :param engine: Where it runs.
        :param tokens: Tokens made so far.
        """
        cell = self._ownership.cell_of_engine(engine)
        entry = self._enter(request=request, cell=CellId("") if cell is None else cell)
        entry.tokens = tokens
        placement = entry.admit(engine=engine)
        self._tell_running(entry)
        return placement

    def report_progress(self, *, generation: GenerationId, tokens: int) -> None:
        """Tell how many tokens a placed generation has made so far."""
        entry = self._entries.by_generation(generation)
        if entry is not None and tokens > entry.tokens:
            entry.tokens = tokens
            self._reporter.note(entry)

    def release(
        self, *, generation: GenerationId, tokens: int, complete: bool, engine_lost: bool
    ) -> None:
        """Tell that a generation no longer uses its engine."""
        entry = self._entries.by_generation(generation)
        if entry is not None:
            finished = entry.finished(tokens=tokens, complete=complete, engine_lost=engine_lost)
            self._give_up(entry, finished)

    def _enter(self, *, request: PlacementRequest, cell: CellId) -> Entry:
        former = self._entries.by_generation(request.generation)
        if former is not None:
            self._give_up(former, former.finished(tokens=former.tokens))
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

    def _ask(self, entry: Entry) -> None:
        """Ask the owner for a place, or ask again."""
        entry.owner = self._ownership.owner(entry.cell)
        entry.asked = self._clock.now()
        entry.answered = False
        self._tell(entry.owner, self._ask_message(entry))

    def _ask_message(self, entry: Entry) -> Ask:
        return ask_of(
            request=entry.request, cell=entry.cell, serial=entry.serial, now=self._clock.now()
        )

    def _tell_running(self, entry: Entry) -> None:
        """Tell the present owner of a placement that it did not decide."""
        entry.owner = self._ownership.owner(entry.cell)
        running = Running(
            ask=self._ask_message(entry), upstream=entry.engine or "", tokens=entry.tokens
        )
        self._tell(entry.owner, running)

    def _give_up(self, entry: Entry, finished: Finished) -> None:
        self._entries.remove(entry)
        self._reporter.forget(entry)
        self._tell(entry.owner, finished)
        self._leave_fallback(entry, finished)

    def _leave_fallback(self, entry: Entry, finished: Finished) -> None:
        fallback = self._fallbacks.find(entry.cell)
        if entry.in_fallback and fallback is not None:
            fallback.on_finished(host=self._network.host, finished=finished)
        entry.in_fallback = False

    def _tell(self, host: HostId, message: Message) -> None:
        """Send a message to a host, which may be this one."""
        if host == self._network.host:
            self._on_message(host, message)
        else:
            self._network.send(host=host, message=message)

    def _on_received(self, received: Received) -> None:
        self._on_message(received.host, received.message)

    def _on_message(self, host: HostId, message: Message) -> None:
        if isinstance(message, Grant):
            self._on_grant(message, host=host, decider=Decider.OWNER)
        elif isinstance(message, RunningRequest):
            self._on_running_request(host, message)
        else:
            self._owned.on_message(host, message)

    def _on_fallback(self, host: HostId, message: Grant | RunningRequest) -> None:
        if isinstance(message, Grant):
            self._on_grant(message, host=host, decider=Decider.FALLBACK)

    def _on_running_request(self, host: HostId, request: RunningRequest) -> None:
        for serial in request.serials:
            entry = self._entries.by_serial(serial)
            if entry is None or entry.cell != request.cell or entry.owner != host:
                continue
            if entry.placement is not None:
                self._tell_running(entry)

    def _on_grant(self, grant: Grant, *, host: HostId, decider: Decider) -> None:
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
            entry.refuse(problem=overloaded(retry_after_ms=grant.retry_after_ms))
        elif entry.placement is not None and entry.engine == grant.upstream:
            entry.placement.move_requested.set()

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
                self._tell_running(entry)
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
                self._tell_running(entry)
            return
        self._refuse(grant, host=host, decider=decider)

    def _ask_elsewhere(self, entry: Entry, grant: Grant, *, host: HostId, decider: Decider) -> None:
        """Turn down a place on an engine that this host knows to be leaving or unreachable."""
        self._refuse(grant, host=host, decider=decider)
        self._leave_fallback(entry, entry.finished())
        excluded = entry.request.excluded | {UpstreamId(grant.upstream)}
        entry.request = dataclasses.replace(entry.request, excluded=excluded)
        cell = self._chooser.choose(entry.request)
        if cell is None:
            entry.refuse(problem=no_upstream(entry.request))
            return
        entry.cell = cell
        self._ask(entry)

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

    def _on_live(self, peers: tuple[PeerInfo, ...]) -> None:
        staying = frozenset(peer.host for peer in peers if not peer.leaving)
        if self._ownership.set_peers(staying):
            self._reassign()

    def _reassign(self) -> None:
        """Tell new owners what waits and what runs here."""
        for entry in self._entries:
            if self._ownership.owner(entry.cell) == entry.owner:
                continue
            if entry.placement is None:
                self._tell(entry.owner, entry.finished())
                self._ask(entry)
            else:
                self._tell_running(entry)
        self._refresh_engines()

    def _refresh_engines(self) -> None:
        self._owned.refresh_engines()
        self._fallbacks.refresh_engines()

    def _open_specs(self, cell: CellId, *, share: float) -> list[EngineSpec] | None:
        specs = self._ownership.specs(cell)
        if not specs:
            return None
        return [scaled(each, share=share) for each in specs if self._gate.is_open(each.engine)]

    def _fall_back(self, entry: Entry) -> None:
        """Let this host's share of the cell decide too, as its owner does not answer."""
        fallback = self._fallbacks.get(entry.cell)
        if fallback is None:
            return
        if not entry.in_fallback:
            log.info("Owner is silent; deciding alone.", cell=entry.cell, owner=entry.owner)
        entry.in_fallback = True
        fallback.on_ask(host=self._network.host, ask=self._ask_message(entry))

    async def _tick_forever(self) -> None:
        while True:
            await self._clock.sleep(TICK_MS)
            self._repeat_asks()
            self._owned.tick()
            self._fallbacks.tick()

    def _repeat_asks(self) -> None:
        now = self._clock.now()
        for entry in self._entries:
            if entry.outcome.done():
                continue
            if not entry.in_fallback and entry.answer_is_late(now=now):
                self._fall_back(entry)
            if entry.ask_is_due(now=now):
                self._ask(entry)
                if entry.in_fallback:
                    self._fall_back(entry)

    async def _report_forever(self) -> None:
        kept = self._clock.now()
        while True:
            await self._clock.sleep(PROGRESS_MS)
            everything = self._clock.now() - kept >= KEEP_MS
            if everything:
                kept = self._clock.now()
            self._reporter.report(everything=everything)
