"""Engines that carry out orders, and controllers that can freeze between any two steps."""

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
LATE_S = 4.0
MAX_LOADS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class Sent:
    """An order as it left a controller."""

    engine: str
    order: EngineOrder
    at: float


@final
class OrderedEngine:
    """An engine with its stock, and faults of the way to it."""

    def __init__(self, *, name: str, checks_fence: bool) -> None:
        self.name = name
        self.checks_fence = checks_fence
        self.models: dict[str, str] = {}
        self.loading: list[str] = []
        self.role = Role.SERVING
        self.fence = 0
        self.lose_orders = 0
        self.double_orders = 0
        self.delay_orders = 0
        self.unreachable = False

    def state(self) -> EngineState:
        """Return what the engine holds."""
        return EngineState(
            models=dict(self.models),
            adapters={},
            role=self.role,
            loading=list(self.loading),
            fence=self.fence,
        )

    def take(self, order: EngineOrder) -> bool:
        """Carry out an order unless its fencing number is old and the engine checks it."""
        if self.checks_fence and order.fence < self.fence:
            return False
        self.fence = max(self.fence, order.fence)
        loop = asyncio.get_running_loop()
        if order.kind is OrderKind.LOAD_MODEL:
            self.loading.append(order.name)
            loop.call_later(LOAD_S, self._loaded, order.name, order.version)
        elif order.kind is OrderKind.UNLOAD_MODEL:
            loop.call_later(UNLOAD_S, self.models.pop, order.name, None)
        elif order.kind is OrderKind.SET_ROLE:
            self.role = Role(order.name)
        return True

    def _loaded(self, name: str, version: str) -> None:
        self.loading.remove(name)
        self.models[name] = version


@final
class OrderingHost:
    """One life of a host that runs a controller; nothing leaves it while it is frozen."""

    def __init__(self, *, name: str, fleet: Fleet) -> None:
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
            get_client=lambda engine: ClientOfHost(host=self, fleet=fleet, name=engine.name),
            max_concurrent_loads=MAX_LOADS,
        )
        self.task = asyncio.get_running_loop().create_task(self.controller.run())


@final
class ClientOfHost:
    """An engine client through which a frozen host neither sends nor receives."""

    def __init__(self, *, host: OrderingHost, fleet: Fleet, name: str) -> None:
        self._host = host
        self._fleet = fleet
        self._engine = fleet.engines[name]

    async def state(self) -> Result[EngineState, UpstreamError]:
        """Read what the engine holds."""
        await self._host.store.wait_until_running()
        if self._engine.unreachable:
            return Failure(_error(UpstreamErrorKind.NOT_SENT))
        state = self._engine.state()
        await asyncio.sleep(0.002)
        await self._pass_gate_in_spite_of_timers()
        return Success(state)

    async def order(self, *, order: EngineOrder) -> Result[EngineState, UpstreamError]:
        """Give an order."""
        engine = self._engine
        loop = asyncio.get_running_loop()
        self._fleet.sent.append(Sent(engine=engine.name, order=order, at=loop.time()))
        if engine.unreachable or engine.lose_orders > 0:
            engine.lose_orders = max(engine.lose_orders - 1, 0)
            return Failure(_error(UpstreamErrorKind.BROKEN))
        if engine.delay_orders > 0:
            engine.delay_orders -= 1
            loop.call_later(LATE_S, engine.take, order)
            return Failure(_error(UpstreamErrorKind.STALLED))
        if engine.double_orders > 0:
            engine.double_orders -= 1
            engine.take(order)
        if not engine.take(order):
            refusal = Refusal(kind=RefusalKind.STALE_FENCE)
            error = UpstreamError(
                kind=UpstreamErrorKind.REFUSED, detail="Old fence.", refusal=refusal
            )
            return Failure(error)
        await self._host.store.wait_until_running()
        return Success(engine.state())

    async def _pass_gate_in_spite_of_timers(self) -> None:
        """Wait while the host is frozen, since its timers would not run either."""
        try:
            await self._host.store.wait_until_running()
        except asyncio.CancelledError:
            await self._host.store.wait_until_running()

    def generate(self, *, request: EngineRequest) -> TokenBatches:
        """Not part of these tests."""
        raise NotImplementedError

    def resume(self, *, attempt: AttemptId, offset: int) -> TokenBatches:
        """Not part of these tests."""
        raise NotImplementedError

    async def cancel(self, *, attempt: AttemptId) -> Result[None, UpstreamError]:
        """Not part of these tests."""
        raise NotImplementedError

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Not part of these tests."""
        raise NotImplementedError

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Not part of these tests."""
        raise NotImplementedError


@final
class Fleet:
    """Engines, declarations and hosts.

    :param fencing: What each engine does with fencing numbers.
    """

    def __init__(self, *, fencing: dict[str, Fencing]) -> None:
        self.backend = FakeBackend()
        self.fencing = fencing
        self.engines = {
            name: OrderedEngine(name=name, checks_fence=kind is Fencing.CHECKED)
            for name, kind in fencing.items()
        }
        self.sent: list[Sent] = []
        self.wanted: dict[str, list[str]] = {}
        self.versions: dict[str, str] = {}
        self.declarations: BehaviorSubject[DeclarationSet] = BehaviorSubject(
            DeclarationSet(objective=Objective(), models=[], accounts=[])
        )

    def declare(self, wanted: dict[str, list[str]], *, versions: dict[str, str]) -> None:
        """Put declarations in force everywhere: models by engine, versions by model."""
        self.wanted = wanted
        self.versions = versions
        engines = [
            Engine(
                name=name,
                address="127.0.0.1:1",
                failure_domain="fd",
                models=models,
                fencing=self.fencing[name],
            )
            for name, models in wanted.items()
        ]
        models = [Model(name=name, version=version) for name, version in versions.items()]
        self.declarations.on_next(
            DeclarationSet(objective=Objective(), models=models, accounts=[], engines=engines)
        )

    def holders(self, model: str) -> int:
        """Return how many engines hold a model in any version."""
        return sum(model in engine.models for engine in self.engines.values())

    def converged(self) -> bool:
        """Tell whether each engine holds exactly what is declared."""
        return all(
            self.engines[name].models == {model: self.versions[model] for model in models}
            and not self.engines[name].loading
            for name, models in self.wanted.items()
        )

    def loads(self) -> int:
        """Return how many loads are under way."""
        return sum(len(engine.loading) for engine in self.engines.values())


def _error(kind: UpstreamErrorKind) -> UpstreamError:
    return UpstreamError(kind=kind, detail="The fake engine was told to fail.")
