"""Models, adapters and role of an engine, and the orders that change them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

import aiohttp

from standins._common import cancel_task
from standins._engine_types import OrderReports
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import OrderKind
from tanagerscale.generated.upstream import Role

WEIGHTS_RETRY_DELAY_MS = 200
DRAIN_POLL_INTERVAL_MS = 20


class StaleFenceError(Exception):
    """Raised for an order whose fencing number is lower than the highest one seen."""


@final
class ModelManager:
    """The models, the adapters and the role of one engine.

    :param models: Versions of the models loaded at the start, by name.
    :param adapters: Versions of the adapters loaded at the start, by name.
    :param checks_fence: Whether orders with a stale fencing number are refused.
    :param load_ms: Duration of a load or an unload, in milliseconds.
    :param weights_url: Base URL from which weights are fetched before a load; empty to skip it.
    :param is_in_use: Returns whether unfinished generations use the model or adapter of that name.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        models: dict[str, str],
        adapters: dict[str, str],
        checks_fence: bool,
        load_ms: int,
        weights_url: str,
        is_in_use: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        self._models = dict(models)
        self._adapters = dict(adapters)
        self._checks_fence = checks_fence
        self._load_ms = load_ms
        self._weights_url = weights_url
        self._is_in_use = is_in_use
        self._clock = clock
        self._fence = 0
        self._role = Role.SERVING
        self._loading: list[str] = []
        self._unloading: set[str] = set()
        self._orders: list[EngineOrder] = []
        self._carried_out: list[str] = []
        self._refused: list[str] = []
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_draining(self) -> bool:
        """Whether the current role excludes new requests."""
        return self._role is Role.DRAINING

    def active_version(self, *, model: str) -> str | None:
        """Return the version of a model that serves new requests.

        :param model: Name of the model.
        :returns: The version, or ``None`` when the model is not loaded or is being unloaded.
        """
        return None if model in self._unloading else self._models.get(model)

    def has_adapter(self, adapter: str) -> bool:
        """Return whether an adapter is loaded and not being unloaded.

        :param adapter: Name of the adapter.
        """
        return adapter in self._adapters and adapter not in self._unloading

    def state(self) -> EngineState:
        """Return the loaded models and adapters, the role and the highest fencing number."""
        return EngineState(
            models=dict(self._models),
            adapters=dict(self._adapters),
            role=self._role,
            loading=list(self._loading),
            fence=self._fence,
        )

    def order_reports(self) -> OrderReports:
        """Return all orders received, and the ids of those applied and refused."""
        return OrderReports(
            orders=list(self._orders),
            carried_out=list(self._carried_out),
            refused=list(self._refused),
        )

    def apply_order(self, order: EngineOrder) -> None:
        """Apply an order; a repeated order id is not applied again.

        :param order: Order to apply.
        :raises StaleFenceError: When the fencing number is stale and the engine checks it.
        :raises ValueError: When the order sets an unknown role.
        """
        is_duplicate = any(item.order_id == order.order_id for item in self._orders)
        self._orders.append(order)
        if self._checks_fence and order.fence < self._fence:
            self._refused.append(order.order_id)
            raise StaleFenceError
        self._fence = max(self._fence, order.fence)
        if is_duplicate:
            return
        self._carried_out.append(order.order_id)
        if order.kind is OrderKind.SET_ROLE:
            self._role = Role(order.name)
            return
        # The state reports a load as soon as it is ordered.
        if order.kind in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER):
            self._loading.append(order.name)
        task = asyncio.create_task(self._execute_order(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the loads and unloads in progress."""
        for task in tuple(self._tasks):
            await cancel_task(task)

    async def _execute_order(self, order: EngineOrder) -> None:
        match order.kind:
            case OrderKind.LOAD_MODEL:
                await self._load(order, self._models)
            case OrderKind.LOAD_ADAPTER:
                await self._load(order, self._adapters)
            case OrderKind.UNLOAD_MODEL:
                await self._unload(order, self._models)
            case OrderKind.UNLOAD_ADAPTER:
                await self._unload(order, self._adapters)
            case OrderKind.SET_ROLE:
                pass

    async def _load(self, order: EngineOrder, versions: dict[str, str]) -> None:
        try:
            if versions.get(order.name) == order.version:
                return
            await self._fetch_weights(order)
            await self._clock.sleep(self._load_ms)
            versions[order.name] = order.version
        finally:
            self._loading.remove(order.name)

    async def _unload(self, order: EngineOrder, versions: dict[str, str]) -> None:
        self._unloading.add(order.name)
        try:
            while self._is_in_use(order.name):
                await self._clock.sleep(DRAIN_POLL_INTERVAL_MS)
            await self._clock.sleep(self._load_ms)
            versions.pop(order.name, None)
        finally:
            self._unloading.discard(order.name)

    async def _fetch_weights(self, order: EngineOrder) -> None:
        if not self._weights_url:
            return
        url = f"{self._weights_url}/weights/{order.name}/{order.version}"
        async with aiohttp.ClientSession() as session:
            while True:
                async with session.get(url) as reply:
                    if reply.status == 200:
                        await reply.read()
                        return
                await self._clock.sleep(WEIGHTS_RETRY_DELAY_MS)
