"""Engine controllers for the cells owned by this host."""

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

OWNERSHIP_POLL_INTERVAL_MS = 1000
MAX_CONCURRENT_LOADS = 2
"""Maximum number of loads in progress per controller. All controllers share the bandwidth of the
weight store."""


class _RunningController(Struct, frozen=True, kw_only=True):
    controller: FleetController
    task: asyncio.Task[None]


@final
class CellControllers:
    """Runs one engine controller for each cell that this host owns.

    The holder of a cell's lease is the only host that may send orders to its engines. Only the
    owner of a cell tries to acquire the lease, so that not every host calls the store.

    :param store: Store that holds the leases.
    :param prefix: Prefix of all store keys of this installation.
    :param host: Id of this host.
    :param incarnation: Incarnation of this host; it changes with every restart.
    :param clock: Clock used for polling and by the controllers.
    :param rng: Random number generator used to jitter attempts to acquire a lease.
    :param declarations: Emits each set of declarations when it comes into force.
    :param get_owned_cells: Returns the cells that this host currently owns.
    :param get_client: Returns the client of an engine.
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
        get_owned_cells: Callable[[], tuple[CellId, ...]],
        get_client: Callable[[UpstreamId], EngineClient],
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._host = host
        self._incarnation = incarnation
        self._clock = clock
        self._rng = rng
        self._declarations = declarations
        self._get_owned_cells = get_owned_cells
        self._get_client = get_client
        self._running: dict[CellId, _RunningController] = {}
        self._stopped = False

    async def run(self) -> None:
        """Start and stop controllers as cell ownership changes, until cancelled."""
        while not self._stopped:
            owned = set(self._get_owned_cells())
            for cell in owned - self._running.keys():
                self._running[cell] = self._start_controller(cell)
            for cell in self._running.keys() - owned:
                await self._stop_controller(self._running.pop(cell))
            await self._clock.sleep(OWNERSHIP_POLL_INTERVAL_MS)

    async def stop(self) -> None:
        """Stop all controllers and release their leases."""
        self._stopped = True
        running = list(self._running.values())
        self._running.clear()
        await asyncio.gather(*(self._stop_controller(each) for each in running))

    def _start_controller(self, cell: CellId) -> _RunningController:
        def select_cell(declarations: Declarations) -> DeclarationSet:
            return select_cell_declarations(declarations=declarations, cell=cell)

        controller = FleetController(
            store=self._store,
            prefix=self._prefix,
            group=cell,
            host=self._host,
            incarnation=self._incarnation,
            clock=self._clock,
            rng=self._rng,
            declarations=self._declarations.pipe(operators.map(select_cell)),
            get_client=self._connect,
            max_concurrent_loads=MAX_CONCURRENT_LOADS,
        )
        return _RunningController(controller=controller, task=asyncio.create_task(controller.run()))

    async def _stop_controller(self, running: _RunningController) -> None:
        await running.controller.stop()
        running.task.cancel()
        await asyncio.gather(running.task, return_exceptions=True)

    def _connect(self, engine: Engine) -> EngineClient:
        return self._get_client(UpstreamId(engine.name))


def select_cell_declarations(*, declarations: Declarations, cell: CellId) -> DeclarationSet:
    """Return the declarations restricted to the engines of one cell.

    :param declarations: Declarations in force.
    :param cell: Cell to select. If it is no longer declared, the result has no engines.
    """
    members = {
        spec.engine
        for each in make_cells(engines=declarations.engines.values())
        if each.cell_id == cell
        for spec in each.specs
    }
    without_engines = DeclarationSet(
        objective=declarations.objective,
        models=list(declarations.models.values()),
        adapters=list(declarations.adapters.values()),
        accounts=[],
    )
    engines = [engine for name, engine in declarations.engines.items() if name in members]
    return msgspec.structs.replace(without_engines, engines=engines)
