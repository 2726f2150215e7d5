"""Controllers of the engines whose cells this host owns."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random
from typing import final

import msgspec
from msgspec import Struct
from reactivex import Observable
from reactivex import operators

from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import UpstreamId
from tanagerscale.declarations import Declarations
from tanagerscale.fleet import FleetController
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.routing import CellId
from tanagerscale.routing import make_cells
from tanagerscale.store import Store
from tanagerscale.upstreams import EngineClient

CHECK_MS = 1000
MAX_LOADS = 2
"""Loads that one controller starts at once, for the weight store's rate is shared by all."""


class _Running(Struct, frozen=True, kw_only=True):
    controller: FleetController
    task: asyncio.Task[None]


@final
class EngineControl:
    """Runs one controller for each cell that this host owns; the lease decides who may order.

    Only a cell's owner tries for its lease, so the store is not asked by every host.

    :param store: Where the leases stand.
    :param prefix: First part of all keys of this installation.
    :param host: This host.
    :param incarnation: Which life of the host this is.
    :param clock: Time.
    :param rng: Spreads trials.
    :param declarations: What is in force.
    :param owned: Returns the cells that this host owns.
    :param client_of: Returns the client of an engine.
    """

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        host: HostId,
        incarnation: int,
        clock: Clock,
        rng: random.Random,
        declarations: Observable[Declarations],
        owned: Callable[[], tuple[CellId, ...]],
        client_of: Callable[[UpstreamId], EngineClient],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._declarations = declarations
        self._owned = owned
        self._client_of = client_of
        self._running: dict[CellId, _Running] = {}
        self._stopped = False

    async def run(self) -> None:
        """Follow the ownership of cells until cancelled."""
        while not self._stopped:
            owned = set(self._owned())
            for cell in owned - self._running.keys():
                self._running[cell] = self._start(cell)
            for cell in self._running.keys() - owned:
                await self._end(self._running.pop(cell))
            await self._clock.sleep(CHECK_MS)

    async def stop(self) -> None:
        """Give all leases back."""
        self._stopped = True
        running = list(self._running.values())
        self._running.clear()
        await asyncio.gather(*(self._end(each) for each in running))

    def _start(self, cell: CellId) -> _Running:
        def of_cell(declarations: Declarations) -> DeclarationSet:
            return cut_down(declarations=declarations, cell=cell)

        controller = FleetController(
            store=self._store,
            prefix=self._prefix,
            group=cell,
            host=self._host,
            incarnation=self._incarnation,
            clock=self._clock,
            rng=self._rng,
            declarations=self._declarations.pipe(operators.map(of_cell)),
            get_client=self._connect,
            max_concurrent_loads=MAX_LOADS,
        )
        return _Running(controller=controller, task=asyncio.create_task(controller.run()))

    async def _end(self, running: _Running) -> None:
        await running.controller.stop()
        running.task.cancel()
        await asyncio.gather(running.task, return_exceptions=True)

    def _connect(self, engine: Engine) -> EngineClient:
        return self._client_of(UpstreamId(engine.name))


def cut_down(*, declarations: Declarations, cell: CellId) -> DeclarationSet:
    """Return what is declared of the engines of one cell.

    :param declarations: What is in force.
    :param cell: The cell; one that is no longer declared has no engines.
    """
    members = {
        spec.engine
        for each in make_cells(engines=declarations.engines.values())
        if each.cell_id == cell
        for spec in each.specs
    }
    whole = DeclarationSet(
        objective=declarations.objective,
        models=list(declarations.models.values()),
        adapters=list(declarations.adapters.values()),
        accounts=[],
    )
    engines = [engine for name, engine in declarations.engines.items() if name in members]
    return msgspec.structs.replace(whole, engines=engines)
