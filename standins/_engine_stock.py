"""What an engine holds: models and adapters, and the orders that change it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import final

import aiohttp

from standins._common import end_task
from standins._engine_types import OrderReports
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import OrderKind
from tanagerscale.generated.upstream import Role

WEIGHTS_RETRY_MS = 200
DRAIN_INTERVAL_MS = 20


class StaleFenceError(Exception):
    """An order with an old fencing number."""


@final
class Stock:
    """Models and adapters of one engine.

    :param models: Versions held at the start, by model.
    :param adapters: Versions held at the start, by adapter.
    :param checks_fence: Whether an order with an old fencing number is refused.
    :param load_ms: How long a load or an unload takes, in milliseconds.
    :param weights_url: Where weights are fetched before a load; empty for nowhere.
    :param in_use: Tells whether a model or adapter is in use.
    :param clock: The time.
    """

    def __init__(
        self,
        *,
        models: dict[str, str],
        adapters: dict[str, str],
        checks_fence: bool,
        load_ms: int,
        weights_url: str,
        in_use: Callable[[str], bool],
        clock: Clock,
    ) -> None:
        self._models = dict(models)
        self._adapters = dict(adapters)
        self._checks_fence = checks_fence
        self._load_ms = load_ms
        self._weights_url = weights_url
        self._in_use = in_use
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
    def draining(self) -> bool:
        """Whether an order has told the engine to take no new work."""
        return self._role is Role.DRAINING

    def version_of(self, *, model: str) -> str | None:
        """Return the version of a model that serves new requests, or ``None``."""
        return None if model in self._unloading else self._models.get(model)

    def holds_adapter(self, adapter: str) -> bool:
        """Return whether an adapter serves new requests."""
        return adapter in self._adapters and adapter not in self._unloading

    def state(self) -> EngineState:
        """Return what the engine holds."""
        return EngineState(
            models=dict(self._models),
            adapters=dict(self._adapters),
            role=self._role,
            loading=list(self._loading),
            fence=self._fence,
        )

    def reports(self) -> OrderReports:
        """Return all orders that came."""
        return OrderReports(
            orders=list(self._orders),
            carried_out=list(self._carried_out),
            refused=list(self._refused),
        )

    def order(self, order: EngineOrder) -> None:
        """Take an order; a repeated one changes nothing.

        :param order: The order.
        :raises StaleFenceError: When its fencing number is old and the engine checks it.
        """
        known = any(item.order_id == order.order_id for item in self._orders)
        self._orders.append(order)
        if self._checks_fence and order.fence < self._fence:
            self._refused.append(order.order_id)
            raise StaleFenceError
        self._fence = max(self._fence, order.fence)
        if known:
            return
        self._carried_out.append(order.order_id)
        if order.kind is OrderKind.SET_ROLE:
            self._role = Role(order.name)
            return
        # Readers of the state see a load from the moment it is ordered.
        if order.kind in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER):
            self._loading.append(order.name)
        task = asyncio.create_task(self._carry_out(order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop what is under way."""
        for task in tuple(self._tasks):
            await end_task(task)

    async def _carry_out(self, order: EngineOrder) -> None:
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

    async def _load(self, order: EngineOrder, held: dict[str, str]) -> None:
        try:
            if held.get(order.name) == order.version:
                return
            await self._fetch_weights(order)
            await self._clock.sleep(self._load_ms)
            held[order.name] = order.version
        finally:
            self._loading.remove(order.name)

    async def _unload(self, order: EngineOrder, held: dict[str, str]) -> None:
        self._unloading.add(order.name)
        try:
            while self._in_use(order.name):
                await self._clock.sleep(DRAIN_INTERVAL_MS)
            await self._clock.sleep(self._load_ms)
            held.pop(order.name, None)
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
                await self._clock.sleep(WEIGHTS_RETRY_MS)
