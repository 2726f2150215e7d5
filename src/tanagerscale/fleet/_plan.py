"""What to order, given what is declared and what the engines hold; no I/O."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from typing import final

from msgspec import Struct

from tanagerscale.core import ModelId
from tanagerscale.core import UpstreamId
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import OrderKind
from tanagerscale.generated.upstream import Role


class PlannedOrder(Struct, frozen=True, kw_only=True):
    """One difference between what is declared and what an engine holds."""

    engine: UpstreamId
    kind: OrderKind
    name: str
    version: str = ""


Holding = tuple[UpstreamId, ModelId]


def plan_orders(
    *,
    declared: DeclarationSet,
    states: Mapping[UpstreamId, EngineState],
    confirmed: Set[Holding],
    deferred: Set[PlannedOrder],
    loads_allowed: int,
) -> Sequence[PlannedOrder]:
    """Return the orders to give now; each is safe to give twice.

    :param declared: The declarations in force.
    :param states: What the engines said of themselves just now; engines without an entry get no
        orders and don't count as holders.
    :param confirmed: Models that engines have held for long enough to be relied on.
    :param deferred: Orders that failed lately and wait for their next trial.
    :param loads_allowed: Most loads to order.
    """
    planner = _Planner(declared=declared, states=states, confirmed=confirmed)
    wanted = [order for order in planner.loads() if order not in deferred]
    loads = sorted(wanted, key=planner.urgency)[: max(loads_allowed, 0)]
    others = [order for order in (*planner.roles(), *planner.unloads()) if order not in deferred]
    return [*others, *loads]


@final
class _Planner:
    def __init__(
        self,
        *,
        declared: DeclarationSet,
        states: Mapping[UpstreamId, EngineState],
        confirmed: Set[Holding],
    ) -> None:
        self._engines = [
            (engine, states[UpstreamId(engine.name)])
            for engine in declared.engines
            if engine.name in states
        ]
        self._models = {model.name: model.version for model in declared.models}
        self._adapters = {adapter.name: adapter for adapter in declared.adapters}
        self._demanded = {model for engine in declared.engines for model in engine.models}
        self._confirmed = confirmed

    def roles(self) -> Iterator[PlannedOrder]:
        """An engine that is declared serves."""
        for engine, state in self._engines:
            if state.role is not Role.SERVING:
                yield _order(engine, OrderKind.SET_ROLE, Role.SERVING.value)

    def loads(self) -> Iterator[PlannedOrder]:
        """What is missing or of another version."""
        swapping: set[str] = set()
        for engine, state in self._engines:
            for model in engine.models:
                version = self._models.get(model)
                held = state.models.get(model)
                if version is None or held == version or model in state.loading:
                    continue
                if held is not None:
                    # A new version replaces the old one engine by engine.
                    if model in swapping or self._loading_elsewhere(model, engine):
                        continue
                    swapping.add(model)
                yield _order(engine, OrderKind.LOAD_MODEL, model, version)
            yield from self._adapter_loads(engine, state)

    def unloads(self) -> Iterator[PlannedOrder]:
        """What is held and not declared, unless the declarations need it there still."""
        for engine, state in self._engines:
            for model in state.models:
                if model in engine.models or model in state.loading:
                    continue
                if model not in self._demanded or self._held_where_declared(model):
                    yield _order(engine, OrderKind.UNLOAD_MODEL, model)
            for adapter in state.adapters:
                if adapter not in engine.adapters and adapter not in state.loading:
                    yield _order(engine, OrderKind.UNLOAD_ADAPTER, adapter)

    def urgency(self, order: PlannedOrder) -> tuple[int, int]:
        """Order first what no engine holds, then what fewest do."""
        holders = sum(order.name in state.models for _, state in self._engines)
        return (0 if order.kind is OrderKind.LOAD_MODEL else 1, holders)

    def _adapter_loads(self, engine: Engine, state: EngineState) -> Iterator[PlannedOrder]:
        for name in engine.adapters:
            adapter = self._adapters.get(name)
            if adapter is None or adapter.model not in state.models:
                continue
            if state.adapters.get(name) != adapter.version and name not in state.loading:
                yield _order(engine, OrderKind.LOAD_ADAPTER, name, adapter.version)

    def _loading_elsewhere(self, model: str, engine: Engine) -> bool:
        return any(
            model in state.loading for other, state in self._engines if other.name != engine.name
        )

    def _held_where_declared(self, model: str) -> bool:
        version = self._models.get(model)
        return any(
            state.models.get(model) == version
            and model in engine.models
            and state.role is Role.SERVING
            and (UpstreamId(engine.name), ModelId(model)) in self._confirmed
            for engine, state in self._engines
        )


def _order(engine: Engine, kind: OrderKind, name: str, version: str = "") -> PlannedOrder:
    return PlannedOrder(engine=UpstreamId(engine.name), kind=kind, name=name, version=version)
