"""Planning of orders from the declarations and the states of the engines; no I/O."""

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
    """Order that removes one difference between the declarations and the state of an engine.

    :param engine: Engine to send the order to.
    :param kind: Kind of the order.
    :param name: Name of the model, adapter or role.
    :param version: Version to load; empty for other orders.
    """

    engine: UpstreamId
    kind: OrderKind
    name: str
    version: str = ""


LoadedModel = tuple[UpstreamId, ModelId]


def plan_orders(
    *,
    declared: DeclarationSet,
    states: Mapping[UpstreamId, EngineState],
    confirmed: Set[LoadedModel],
    deferred: Set[PlannedOrder],
    max_new_loads: int,
) -> Sequence[PlannedOrder]:
    """Return the orders to send now; each of them is idempotent.

    :param declared: Declarations in force.
    :param states: Current states of the engines; engines without an entry get no orders and do not
        count as having a model loaded.
    :param confirmed: Models that have been loaded for long enough to be relied on.
    :param deferred: Orders that failed recently and wait for their next attempt.
    :param max_new_loads: Maximum number of loads to order.
    """
    planner = _Planner(declared=declared, states=states, confirmed=confirmed)
    candidates = [order for order in planner.plan_loads() if order not in deferred]
    new_loads = sorted(candidates, key=planner.get_load_priority)[: max(max_new_loads, 0)]
    others = [
        order for order in (*planner.plan_roles(), *planner.plan_unloads()) if order not in deferred
    ]
    return [*others, *new_loads]


@final
class _Planner:
    def __init__(
        self,
        *,
        declared: DeclarationSet,
        states: Mapping[UpstreamId, EngineState],
        confirmed: Set[LoadedModel],
    ) -> None:
        self._engines = [
            (engine, states[UpstreamId(engine.name)])
            for engine in declared.engines
            if engine.name in states
        ]
        self._models = {model.name: model.version for model in declared.models}
        self._adapters = {adapter.name: adapter for adapter in declared.adapters}
        self._required_models = {model for engine in declared.engines for model in engine.models}
        self._confirmed = confirmed

    def plan_roles(self) -> Iterator[PlannedOrder]:
        """Plan orders that set every declared engine to the serving role."""
        for engine, state in self._engines:
            if state.role is not Role.SERVING:
                yield _build_order(engine, OrderKind.SET_ROLE, Role.SERVING.value)

    def plan_loads(self) -> Iterator[PlannedOrder]:
        """Plan loads of declared models and adapters that are missing or of another version."""
        updating: set[str] = set()
        for engine, state in self._engines:
            for model in engine.models:
                version = self._models.get(model)
                current = state.models.get(model)
                if version is None or current == version or model in state.loading:
                    continue
                if current is not None:
                    # A new version replaces the old one on one engine at a time.
                    if model in updating or self._is_loading_elsewhere(model, engine):
                        continue
                    updating.add(model)
                yield _build_order(engine, OrderKind.LOAD_MODEL, model, version)
            yield from self._plan_adapter_loads(engine, state)

    def plan_unloads(self) -> Iterator[PlannedOrder]:
        """Plan unloads of models and adapters that are not declared for the engine.

        A model that the declarations require is kept until an engine that is declared for it has
        it loaded and confirmed.
        """
        for engine, state in self._engines:
            for model in state.models:
                if model in engine.models or model in state.loading:
                    continue
                if model not in self._required_models or self._is_confirmed_where_declared(model):
                    yield _build_order(engine, OrderKind.UNLOAD_MODEL, model)
            for adapter in state.adapters:
                if adapter not in engine.adapters and adapter not in state.loading:
                    yield _build_order(engine, OrderKind.UNLOAD_ADAPTER, adapter)

    def get_load_priority(self, order: PlannedOrder) -> tuple[int, int]:
        """Return the sort key of a load: models first, those on the fewest engines first."""
        loaded_count = sum(order.name in state.models for _, state in self._engines)
        return (0 if order.kind is OrderKind.LOAD_MODEL else 1, loaded_count)

    def _plan_adapter_loads(self, engine: Engine, state: EngineState) -> Iterator[PlannedOrder]:
        for name in engine.adapters:
            adapter = self._adapters.get(name)
            if adapter is None or adapter.model not in state.models:
                continue
            if state.adapters.get(name) != adapter.version and name not in state.loading:
                yield _build_order(engine, OrderKind.LOAD_ADAPTER, name, adapter.version)

    def _is_loading_elsewhere(self, model: str, engine: Engine) -> bool:
        return any(
            model in state.loading for other, state in self._engines if other.name != engine.name
        )

    def _is_confirmed_where_declared(self, model: str) -> bool:
        version = self._models.get(model)
        return any(
            state.models.get(model) == version
            and model in engine.models
            and state.role is Role.SERVING
            and (UpstreamId(engine.name), ModelId(model)) in self._confirmed
            for engine, state in self._engines
        )


def _build_order(engine: Engine, kind: OrderKind, name: str, version: str = "") -> PlannedOrder:
    return PlannedOrder(engine=UpstreamId(engine.name), kind=kind, name=name, version=version)
