"""Simulated engines, and controllers that can be frozen between any two steps."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
import random
from typing import final

from reactivex.subject import BehaviorSubject
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import AttemptId
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.fleet import FleetController
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Fencing
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.upstream import CacheEvents
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.generated.upstream import OrderKind
from tanagerscale.generated.upstream import Refusal
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.generated.upstream import Role
from tanagerscale.upstreams import TokenBatches
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind
from testing._fake_store import FakeBackend
from testing._faulty_store import FaultyStore

LOAD_S = 3.0
UNLOAD_S = 1.0
ORDER_DELAY_S = 4.0
MAX_LOADS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class SentOrder:
    """An order that a controller has sent.

    :param engine: Name of the engine.
    :param order: Order that was sent.
    :param at: When it was sent, in seconds of the event loop's clock.
    """

    engine: str
    order: EngineOrder
    at: float


@final
class OrderedEngine:
    """Engine with its loaded models, and faults of the connection to it.

    :param name: Name of the engine.
    :param checks_fence: Whether it refuses orders with an old fencing number.
    """

    def __init__(self, *, name: str, checks_fence: bool) -> None:
        self.name = name
        self.checks_fence = checks_fence
        self.models: dict[str, str] = {}
        self.loading: list[str] = []
        self.role = Role.SERVING
        self.fence = 0
        self.orders_to_lose = 0
        self.orders_to_duplicate = 0
        self.orders_to_delay = 0
        self.is_unreachable = False

    def state(self) -> EngineState:
        """Return the state of the engine."""
        return EngineState(
            models=dict(self.models),
            adapters={},
            role=self.role,
            loading=list(self.loading),
            fence=self.fence,
        )

    def apply_order(self, order: EngineOrder) -> bool:
        """Execute an order, unless its fencing number is old and the engine checks it.

        :returns: Whether it was executed.
        """
        if self.checks_fence and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        loop = asyncio.get_running_loop()
        if order.kind is OrderKind.LOAD_MODEL:
            self.loading.append(order.name)
            loop.call_later(LOAD_S, self._finish_load, order.name, order.version)
        elif order.kind is OrderKind.UNLOAD_MODEL:
            loop.call_later(UNLOAD_S, self.models.pop, order.name, None)
        elif order.kind is OrderKind.SET_ROLE:
            self.role = Role(order.name)
        return True

    def _finish_load(self, name: str, version: str) -> None:
        self.loading.remove(name)
        self.models[name] = version


@final
class OrderingHost:
    """Host that runs a controller and sends nothing while it is frozen."""

    def __init__(self, *, name: str, fleet: EngineFleet) -> None:
        self.name = name
        self.store = FaultyStore(backend=fleet.backend)
        self.controller = FleetController(
            store=self.store,
            prefix="/t",
            group="all",
            host=HostId(name),
            incarnation=1,
            clock=Clock(),
            rng=random.Random(name),
            declarations=fleet.declarations,
            get_client=lambda engine: HostEngineClient(host=self, fleet=fleet, name=engine.name),
            max_concurrent_loads=MAX_LOADS,
        )
        self.task = asyncio.get_running_loop().create_task(self.controller.run())


@final
class HostEngineClient:
    """Engine client of a host, which neither sends nor receives while the host is frozen."""

    def __init__(self, *, host: OrderingHost, fleet: EngineFleet, name: str) -> None:
        self._host = host
        self._fleet = fleet
        self._engine = fleet.engines[name]

    async def state(self) -> Result[EngineState, UpstreamError]:
        """Read the state of the engine."""
        await self._host.store.wait_until_running()
        if self._engine.is_unreachable:
            return Failure(_error(UpstreamErrorKind.NOT_SENT))
        state = self._engine.state()
        await asyncio.sleep(0.002)
        await self._wait_until_running_uncancelled()
        return Success(state)

    async def order(self, *, order: EngineOrder) -> Result[EngineState, UpstreamError]:
        """Send an order, subject to the faults of the engine."""
        engine = self._engine
        loop = asyncio.get_running_loop()
        self._fleet.sent_orders.append(SentOrder(engine=engine.name, order=order, at=loop.time()))
        if engine.is_unreachable or engine.orders_to_lose > 0:
            engine.orders_to_lose = max(engine.orders_to_lose - 1, 0)
            return Failure(_error(UpstreamErrorKind.BROKEN))
        if engine.orders_to_delay > 0:
            engine.orders_to_delay -= 1
            loop.call_later(ORDER_DELAY_S, engine.apply_order, order)
            return Failure(_error(UpstreamErrorKind.STALLED))
        if engine.orders_to_duplicate > 0:
            engine.orders_to_duplicate -= 1
            engine.apply_order(order)
        if not engine.apply_order(order):
            refusal = Refusal(kind=RefusalKind.STALE_FENCE)
            error = UpstreamError(
                kind=UpstreamErrorKind.REFUSED,
                detail="The fencing number is outdated.",
                refusal=refusal,
            )
            return Failure(error)
        await self._host.store.wait_until_running()
        return Success(engine.state())

    async def _wait_until_running_uncancelled(self) -> None:
        """Wait while the host is frozen, even if cancelled: its timers would not run either."""
        try:
            await self._host.store.wait_until_running()
        except asyncio.CancelledError:
            await self._host.store.wait_until_running()

    def generate(self, *, request: EngineRequest) -> TokenBatches:
        """Not used by these tests."""
        raise NotImplementedError

    def resume(self, *, attempt: AttemptId, offset: int) -> TokenBatches:
        """Not used by these tests."""
        raise NotImplementedError

    async def cancel(self, *, attempt: AttemptId) -> Result[None, UpstreamError]:
        """Not used by these tests."""
        raise NotImplementedError

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Not used by these tests."""
        raise NotImplementedError

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Not used by these tests."""
        raise NotImplementedError


@final
class EngineFleet:
    """Engines, their declarations and the shared store.

    :param fencing: Fencing mode of each engine, by its name.
    """

    def __init__(self, *, fencing: dict[str, Fencing]) -> None:
        self.backend = FakeBackend()
        self.fencing = fencing
        self.engines = {
            name: OrderedEngine(name=name, checks_fence=kind is Fencing.CHECKED)
            for name, kind in fencing.items()
        }
        self.sent_orders: list[SentOrder] = []
        self.declared_models: dict[str, list[str]] = {}
        self.versions: dict[str, str] = {}
        self.declarations: BehaviorSubject[DeclarationSet] = BehaviorSubject(
            DeclarationSet(objective=Objective(), models=[], accounts=[])
        )

    def declare(self, declared_models: dict[str, list[str]], *, versions: dict[str, str]) -> None:
        """Set the declarations of all hosts.

        :param declared_models: Declared models of each engine.
        :param versions: Declared version of each model.
        """
        self.declared_models = declared_models
        self.versions = versions
        engines = [
            Engine(
                name=name,
                address="127.0.0.1:1",
                failure_domain="fd",
                models=models,
                fencing=self.fencing[name],
            )
            for name, models in declared_models.items()
        ]
        models = [Model(name=name, version=version) for name, version in versions.items()]
        self.declarations.on_next(
            DeclarationSet(objective=Objective(), models=models, accounts=[], engines=engines)
        )

    def count_loaded(self, model: str) -> int:
        """Return the number of engines that have a model loaded in any version."""
        return sum(model in engine.models for engine in self.engines.values())

    def has_converged(self) -> bool:
        """Return whether each engine has exactly the declared models loaded."""
        return all(
            self.engines[name].models == {model: self.versions[model] for model in models}
            and not self.engines[name].loading
            for name, models in self.declared_models.items()
        )

    def count_loads(self) -> int:
        """Return the number of loads in progress."""
        return sum(len(engine.loading) for engine in self.engines.values())


def _error(kind: UpstreamErrorKind) -> UpstreamError:
    return UpstreamError(kind=kind, detail="Failure injected by the test.")
