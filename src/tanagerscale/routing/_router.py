"""Places generations by asking the owners of cells."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
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
from tanagerscale.generated.messages import Grant
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.membership import Message
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import ReceivedMessage
from tanagerscale.policy import EngineSpec
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._chooser import CellChooser
from tanagerscale.routing._deciders import Deciders
from tanagerscale.routing._entry import Decider
from tanagerscale.routing._entry import EntryTable
from tanagerscale.routing._owned_cells import OwnedCells
from tanagerscale.routing._owner import RESERVATION_LEASE_MS
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._ownership import scaled
from tanagerscale.routing._placements import Placements
from tanagerscale.routing._problems import no_upstream
from tanagerscale.routing._protocol import PeerNetwork
from tanagerscale.routing._protocol import Placement
from tanagerscale.routing._protocol import PoolScheduler
from tanagerscale.routing._protocol import UpstreamOpenness
from tanagerscale.routing._reporter import ProgressReporter
from tanagerscale.upstreams import EngineClient

TICK_MS = 100
PROGRESS_MS = 500
PROGRESS_MS_PER_PLACEMENT = 8
"""Keeps progress to about a kilobyte a second, however many placements a host holds."""
LONGEST_PROGRESS_MS = RESERVATION_LEASE_MS // 3
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
    :param learn: Told the lengths of answers that other hosts placed, so that this host knows
        lengths when it becomes an owner; its own schedulers learn from what they place.
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
        learn: Callable[[PlacementRequest, int], None] = lambda _request, _tokens: None,
    ) -> None:
        self._network = network
        self._learn = learn
        self._gate = gate
        self._clock = clock
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
        self._placements = Placements(
            host=network.host,
            entries=self._entries,
            ownership=self._ownership,
            chooser=self._chooser,
            gate=gate,
            fallbacks=self._fallbacks,
            tell=self._tell,
            clock=clock,
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
        entry = self._placements.enter(request=request, cell=cell)
        self._placements.ask(entry)
        try:
            outcome = await entry.outcome
        except asyncio.CancelledError:
            self._placements.give_up(entry, entry.finished())
            raise
        if isinstance(outcome, Failure):
            self._placements.give_up(entry, entry.finished())
        return outcome

    def adopt(self, *, request: PlacementRequest, engine: UpstreamId, tokens: int) -> Placement:
        """Hold a generation that runs already, such as one resumed after its host's death.

        It must be followed by one ``release`` like any other.

        :param request: What was asked for.
        :param engine: Where it runs.
        :param tokens: Tokens made so far.
        """
        cell = self._ownership.cell_of_engine(engine)
        entry = self._placements.enter(request=request, cell=CellId("") if cell is None else cell)
        entry.tokens = tokens
        placement = entry.admit(engine=engine)
        self._placements.tell_running(entry)
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
            if complete and entry.owner != self._network.host:
                self._learn(entry.request, tokens)
            self._placements.give_up(entry, finished)

    def _tell(self, host: HostId, message: Message) -> None:
        """Send a message to a host, which may be this one."""
        if host == self._network.host:
            self._on_message(host, message)
        else:
            self._network.send(host=host, message=message)

    def _on_received(self, received: ReceivedMessage) -> None:
        self._on_message(received.host, received.message)

    def _on_message(self, host: HostId, message: Message) -> None:
        if isinstance(message, Grant):
            self._placements.on_grant(message, host=host, decider=Decider.OWNER)
        elif isinstance(message, RunningRequest):
            self._placements.on_running_request(host, message)
        else:
            self._owned.on_message(host, message)

    def _on_fallback(self, host: HostId, message: Grant | RunningRequest) -> None:
        if isinstance(message, Grant):
            self._placements.on_grant(message, host=host, decider=Decider.FALLBACK)

    def _on_live(self, peers: tuple[PeerInfo, ...]) -> None:
        staying = frozenset(peer.host for peer in peers if not peer.leaving)
        if self._ownership.set_peers(staying):
            self._reassign()

    def _reassign(self) -> None:
        self._placements.reassign()
        self._refresh_engines()

    def _refresh_engines(self) -> None:
        self._owned.refresh_engines()
        self._fallbacks.refresh_engines()

    def _open_specs(self, cell: CellId, *, share: float) -> list[EngineSpec] | None:
        specs = self._ownership.specs(cell)
        if not specs:
            return None
        return [scaled(each, share=share) for each in specs if self._gate.is_open(each.engine)]

    async def _tick_forever(self) -> None:
        while True:
            await self._clock.sleep(TICK_MS)
            self._placements.repeat_asks()
            self._owned.tick()
            self._fallbacks.tick()

    async def _report_forever(self) -> None:
        kept = self._clock.now()
        while True:
            crowd_ms = PROGRESS_MS_PER_PLACEMENT * len(self._entries)
            await self._clock.sleep(max(PROGRESS_MS, min(crowd_ms, LONGEST_PROGRESS_MS)))
            everything = self._clock.now() - kept >= KEEP_MS
            if everything:
                kept = self._clock.now()
            self._reporter.report(everything=everything)
