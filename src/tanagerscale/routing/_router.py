"""Router that places generations through the owners of cells."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from functools import partial
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
from tanagerscale.core import run_contained
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.messages import Grant
from tanagerscale.generated.messages import RunningRequest
from tanagerscale.membership import Message
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import ReceivedMessage
from tanagerscale.policy import EngineSpec
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing._cell_owners import CellOwners
from tanagerscale.routing._cell_selector import CellSelector
from tanagerscale.routing._cells import CellId
from tanagerscale.routing._owned_cells import OwnedCells
from tanagerscale.routing._owner import RESERVATION_LEASE_MS
from tanagerscale.routing._ownership import Ownership
from tanagerscale.routing._ownership import scale_spec
from tanagerscale.routing._placement_table import DecisionSource
from tanagerscale.routing._placement_table import PlacementTable
from tanagerscale.routing._placements import PlacementClient
from tanagerscale.routing._problems import no_upstream
from tanagerscale.routing._protocol import PeerNetwork
from tanagerscale.routing._protocol import Placement
from tanagerscale.routing._protocol import PoolScheduler
from tanagerscale.routing._protocol import UpstreamAvailability
from tanagerscale.routing._reporter import ProgressReporter
from tanagerscale.upstreams import EngineClient

TICK_INTERVAL_MS = 100
MIN_PROGRESS_INTERVAL_MS = 500
PROGRESS_INTERVAL_MS_PER_PLACEMENT = 8
"""Limits progress messages to about a kilobyte a second for any number of placements."""
MAX_PROGRESS_INTERVAL_MS = RESERVATION_LEASE_MS // 3
FULL_REPORT_INTERVAL_MS = 2500
"""Time between progress messages that include unchanged placements."""

log = get_logger(part="routing")


@final
class PoolRouter:
    """Asks the owner of a cell for each placement, and schedules the cells that this host owns.

    Correctness does not depend on a unique owner. While a cell has no owner or two owners, engines
    may be overcommitted or underused, but each generation has one placement at its entry host.

    :param network: Connection to the other hosts.
    :param gate: Source of the upstreams that accept new work.
    :param make_scheduler: Creates the scheduler of one cell.
    :param clock: Clock of this host.
    :param rng: Random number generator used to select among cells.
    :param get_client: Returns the client with which an owner polls an engine; ``None``
        disables polling.
    :param observe_length: Called with the length of each complete answer that another host placed,
        so that this host can predict lengths when it becomes an owner; its own schedulers observe
        the answers that they place.
    """

    def __init__(
        self,
        *,
        network: PeerNetwork,
        gate: UpstreamAvailability,
        make_scheduler: Callable[[], PoolScheduler],
        clock: Clock,
        rng: Random,
        get_client: Callable[[UpstreamId], EngineClient] | None = None,
        observe_length: Callable[[PlacementRequest, int], None] = lambda _request, _tokens: None,
    ) -> None:
        self._network = network
        self._observe_length = observe_length
        self._gate = gate
        self._clock = clock
        self._ownership = Ownership(host=network.host)
        self._selector = CellSelector(ownership=self._ownership, gate=gate, clock=clock, rng=rng)
        self._records = PlacementTable()
        self._owned = OwnedCells(
            ownership=self._ownership,
            open_specs=lambda cell: self._open_specs(cell, share=self._ownership.share),
            make_scheduler=make_scheduler,
            gate=gate,
            clock=clock,
            send=self._send,
            get_client=get_client,
        )
        self._fallbacks = CellOwners(
            make_scheduler=make_scheduler,
            get_specs=lambda cell: self._open_specs(cell, share=self._ownership.equal_share),
            is_retained=lambda _cell: False,
            clock=clock,
            send=self._on_fallback,
        )
        self._placement_client = PlacementClient(
            host=network.host,
            records=self._records,
            ownership=self._ownership,
            selector=self._selector,
            gate=gate,
            fallbacks=self._fallbacks,
            send=self._send,
            clock=clock,
        )
        self._reporter = ProgressReporter(
            host=network.host, records=self._records, fallbacks=self._fallbacks, send=self._send
        )
        self._tasks: list[asyncio.Task[None]] = []
        self._subscriptions: list[DisposableBase] = []

    @property
    def reservations(self) -> int:
        """Number of reservations held by the cells scheduled on this host, for all entry hosts."""
        return self._owned.reservations + self._fallbacks.reservations

    @property
    def held(self) -> int:
        """Number of placements that this host requests or holds for its callers."""
        return len(self._records)

    @property
    def owned(self) -> tuple[CellId, ...]:
        """Ids of the cells that this host owns."""
        return self._ownership.owned

    def start(self) -> None:
        """Subscribe to peers and start the background tasks."""
        self._subscriptions = [
            self._network.live.subscribe(self._on_live_peers),
            self._network.messages.subscribe(self._on_received),
            self._gate.changes.subscribe(self._on_engine_changed),
        ]
        self._tasks = [
            asyncio.create_task(self._tick_forever()),
            asyncio.create_task(self._report_forever()),
        ]

    async def stop(self) -> None:
        """Stop scheduling; running generations stay on their engines."""
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
        self._on_ownership_changed()

    def set_leaving(self, *, leaving: bool) -> None:
        """Hand over the cells that this host owns to other hosts, or take them back."""
        self._ownership.set_leaving(leaving=leaving)
        self._on_ownership_changed()

    def set_expected_hosts(self, count: int) -> None:
        """Set the number of expected hosts, from which a host detects a network partition.

        :param count: Number of hosts that the host list shows as live, this one included.
        """
        self._ownership.set_expected_hosts(count)
        self._refresh_engines()

    def configure(self, apply: Callable[[PoolScheduler], None]) -> None:
        """Apply a change to all schedulers, such as new accounts or a new objective.

        :param apply: Called once with each existing scheduler; schedulers created later must
            already include the change.
        """
        self._owned.configure(apply)
        self._fallbacks.configure(apply)

    async def place(self, *, request: PlacementRequest) -> Result[Placement, Problem]:
        """Wait until the request is placed; cancelling the call withdraws the request."""
        cell = self._selector.select(request)
        if cell is None:
            return Failure(no_upstream(request))
        record = self._placement_client.create(request=request, cell=cell)
        self._placement_client.send_ask(record)
        try:
            outcome = await record.outcome
        except asyncio.CancelledError:
            self._placement_client.release(record, record.build_finished())
            raise
        if isinstance(outcome, Failure):
            self._placement_client.release(record, record.build_finished())
        return outcome

    def open_engines(self, *, request: PlacementRequest) -> frozenset[UpstreamId]:
        """Return the engines that can serve a request and accept new work, even if excluded."""
        return self._selector.open_engines(request)

    def adopt(self, *, request: PlacementRequest, engine: UpstreamId, tokens: int) -> Placement:
        """Register a generation that already runs, such as one resumed after its host failed.

        It must be followed by exactly one ``release``, like any other placement.

        :param request: Request that the engine runs.
        :param engine: Engine that runs it.
        :param tokens: Number of tokens generated so far.
        """
        cell = self._ownership.cell_of_engine(engine)
        record = self._placement_client.create(
            request=request, cell=CellId("") if cell is None else cell
        )
        record.tokens = tokens
        placement = record.admit(engine=engine)
        self._placement_client.send_running(record)
        return placement

    def report_progress(self, *, generation: GenerationId, tokens: int) -> None:
        """Report the number of tokens that a placed generation has generated so far."""
        record = self._records.by_generation(generation)
        if record is not None and tokens > record.tokens:
            record.tokens = tokens
            self._reporter.mark_changed(record)

    def release(
        self, *, generation: GenerationId, tokens: int, complete: bool, engine_lost: bool
    ) -> None:
        """Report that a generation no longer uses its engine."""
        record = self._records.by_generation(generation)
        if record is not None:
            finished = record.build_finished(
                tokens=tokens, complete=complete, engine_lost=engine_lost
            )
            if complete and record.owner != self._network.host:
                self._observe_length(record.request, tokens)
            self._placement_client.release(record, finished)

    def _send(self, host: HostId, message: Message) -> None:
        """Send a message to a host, which may be this host."""
        if host == self._network.host:
            self._on_message(host, message)
        else:
            self._network.send(host=host, message=message)

    def _on_received(self, received: ReceivedMessage) -> None:
        self._on_message(received.host, received.message)

    def _on_message(self, host: HostId, message: Message) -> None:
        if isinstance(message, Grant):
            self._placement_client.on_grant(message, host=host, source=DecisionSource.OWNER)
        elif isinstance(message, RunningRequest):
            self._placement_client.on_running_request(host, message)
        else:
            self._owned.on_message(host, message)

    def _on_fallback(self, host: HostId, message: Grant | RunningRequest) -> None:
        if isinstance(message, Grant):
            self._placement_client.on_grant(message, host=host, source=DecisionSource.FALLBACK)

    def _on_live_peers(self, peers: tuple[PeerInfo, ...]) -> None:
        remaining = frozenset(peer.host for peer in peers if not peer.leaving)
        if self._ownership.set_peers(remaining):
            self._on_ownership_changed()

    def _on_ownership_changed(self) -> None:
        self._placement_client.update_owners()
        self._refresh_engines()

    def _on_engine_changed(self, engine: UpstreamId) -> None:
        self._refresh_engines()
        self._placement_client.on_engine_changed(engine)

    def _refresh_engines(self) -> None:
        self._owned.refresh_engines()
        self._fallbacks.refresh_engines()

    def _open_specs(self, cell: CellId, *, share: float) -> list[EngineSpec] | None:
        specs = self._ownership.specs(cell)
        if not specs:
            return None
        return [scale_spec(each, share=share) for each in specs if self._gate.is_open(each.engine)]

    async def _tick_forever(self) -> None:
        while True:
            await self._clock.sleep(TICK_INTERVAL_MS)
            run_contained("router", self._tick)

    def _tick(self) -> None:
        self._placement_client.resend_asks()
        self._owned.tick()
        self._fallbacks.tick()

    async def _report_forever(self) -> None:
        last_full_report = self._clock.now()
        while True:
            scaled_interval_ms = PROGRESS_INTERVAL_MS_PER_PLACEMENT * len(self._records)
            await self._clock.sleep(
                max(MIN_PROGRESS_INTERVAL_MS, min(scaled_interval_ms, MAX_PROGRESS_INTERVAL_MS))
            )
            include_unchanged = self._clock.now() - last_full_report >= FULL_REPORT_INTERVAL_MS
            if include_unchanged:
                last_full_report = self._clock.now()
            report = partial(self._reporter.report, include_unchanged=include_unchanged)
            run_contained("router", report)
