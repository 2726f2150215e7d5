"""Controller that brings a group of engines to the declared state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Final
from typing import final

from msgspec import Struct
from reactivex import Observable
from reactivex.subject import BehaviorSubject
from returns.result import Failure

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import UpstreamId
from tanagerscale.core import get_logger
from tanagerscale.fleet._lease import ControlLease
from tanagerscale.fleet._lease import HeldLease
from tanagerscale.fleet._lease import cancel_and_wait
from tanagerscale.fleet._plan import LoadedModel
from tanagerscale.fleet._plan import PlannedOrder
from tanagerscale.fleet._plan import plan_orders
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Fencing
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import OrderKind
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.store import Store
from tanagerscale.upstreams import EngineClient
from tanagerscale.upstreams import UpstreamError

RECONCILE_INTERVAL_MS: Final = 1000
MEAN_ACQUIRE_INTERVAL_MS: Final = 5000
CALL_TIMEOUT_MS: Final = 2000
"""Timeout of a call to an engine; shorter than the guard time before the lease expires."""

MIN_LOADED_MS: Final = 30_000
"""Time for which a model must be loaded before it counts as confirmed, because an unload that was
ordered earlier, possibly by another controller, may still be in progress."""

MAX_BACKOFF_MS: Final = 60_000

LOAD_COUNT_TTL_MS: Final = 60_000
"""Time for which the last known loads of an engine that does not answer count towards the limit."""

GetClient = Callable[[Engine], EngineClient]

log = get_logger(part="fleet")


class _LoadCount(Struct, frozen=True, kw_only=True):
    count: int
    seen: Millis


@final
class FleetController:
    """Brings the engines of one group to the declared state while this host holds their lease.

    Engines are not changed while the store is down for longer than the lifetime of the lease.

    :param store: Store that holds the lease.
    :param prefix: Prefix of all store keys of this installation.
    :param group: Name of the group of engines.
    :param host: Id of this host.
    :param incarnation: Incarnation number of this host; a restarted host has a higher one.
    :param clock: Clock that times the reconciliation and the expiry of the lease.
    :param rng: Random number generator for the jitter of the attempts to acquire the lease.
    :param declarations: Declarations in force, restricted to the engines of the group.
    :param get_client: Returns the client of an engine, the same one for each call.
    :param max_concurrent_loads: Maximum number of concurrent loads in the group; all groups share
        the bandwidth of the weight store.
    """

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        group: str,
        host: HostId,
        incarnation: int,
        clock: Clock,
        rng: random.Random,
        declarations: Observable[DeclarationSet],
        get_client: GetClient,
        max_concurrent_loads: int,
    ) -> None:
        self._lease = ControlLease(
            store=store,
            key=f"{prefix}/control/{group}",
            host=host,
            incarnation=incarnation,
            clock=clock,
        )
        self._clock = clock
        self._rng = rng
        self._get_client = get_client
        self._max_concurrent_loads = max_concurrent_loads
        self._declared: DeclarationSet | None = None
        self._changed = asyncio.Event()
        self._is_controller: BehaviorSubject[bool] = BehaviorSubject(False)
        self._subscription = declarations.subscribe(self._on_declarations)
        self._held_lease: HeldLease | None = None
        self._load_counts: dict[UpstreamId, _LoadCount] = {}
        self._loaded_since: dict[LoadedModel, Millis] = {}
        self._backoff: dict[PlannedOrder, int] = {}
        self._backoff_until: dict[PlannedOrder, Millis] = {}
        self._next_order_number = 1

    @property
    def is_controller(self) -> Observable[bool]:
        """Whether this host is the controller of the group."""
        return self._is_controller

    async def run(self) -> None:
        """Acquire the lease whenever it is free and reconcile the engines, until cancelled."""
        while True:
            held_lease = await self._lease.acquire()
            if held_lease is None:
                jitter_ms = self._rng.randrange(MEAN_ACQUIRE_INTERVAL_MS)
                await self._clock.sleep(MEAN_ACQUIRE_INTERVAL_MS // 2 + jitter_ms)
                continue
            log.info("Acquired the control lease.", fence=held_lease.fence)
            self._held_lease = held_lease
            self._is_controller.on_next(True)
            try:
                await self._control_engines(held_lease)
            finally:
                self._held_lease = None
                self._is_controller.on_next(False)
            await self._lease.release(held_lease=held_lease)

    async def stop(self) -> None:
        """Release the lease for a graceful shutdown; the caller must cancel ``run`` afterwards."""
        self._subscription.dispose()
        if self._held_lease is not None:
            await self._lease.release(held_lease=self._held_lease)

    async def _control_engines(self, held_lease: HeldLease) -> None:
        self._reset_engine_state()
        renewal = asyncio.get_running_loop().create_task(
            self._lease.renew_until_lost(held_lease=held_lease)
        )
        try:
            while held_lease.can_send_orders():
                self._changed.clear()
                if self._declared is not None:
                    await self._reconcile(held_lease, self._declared)
                await self._wait_for_change()
        finally:
            await cancel_and_wait(renewal)

    async def _reconcile(self, held_lease: HeldLease, declared: DeclarationSet) -> None:
        states = await self._read_states(declared.engines)
        orders = plan_orders(
            declared=declared,
            states=states,
            confirmed=self._find_confirmed(states),
            deferred=self._find_deferred(),
            max_new_loads=self._max_concurrent_loads - self._count_loads(),
        )
        engines = {UpstreamId(engine.name): engine for engine in declared.engines}
        by_engine: dict[UpstreamId, list[PlannedOrder]] = {}
        for order in orders:
            by_engine.setdefault(order.engine, []).append(order)
        await asyncio.gather(
            *(
                self._send_orders(held_lease, engines[name], engine_orders)
                for name, engine_orders in by_engine.items()
            )
        )

    async def _read_states(self, engines: Iterable[Engine]) -> Mapping[UpstreamId, EngineState]:
        engine_list = list(engines)
        results = await asyncio.gather(*(self._read_state(engine) for engine in engine_list))
        states = {
            UpstreamId(engine.name): state
            for engine, state in zip(engine_list, results, strict=True)
            if state is not None
        }
        now = self._clock.now()
        for name, state in states.items():
            self._load_counts[name] = _LoadCount(count=len(state.loading), seen=now)
        return states

    async def _read_state(self, engine: Engine) -> EngineState | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_SECOND):
                state = await self._get_client(engine).state()
        except TimeoutError:
            return None
        return state.value_or(None)

    async def _send_orders(
        self, held_lease: HeldLease, engine: Engine, orders: Sequence[PlannedOrder]
    ) -> None:
        """Send orders to an engine one after the other, up to the first failure."""
        for order in orders:
            if not await self._send_order(held_lease, engine, order):
                return

    async def _send_order(self, held_lease: HeldLease, engine: Engine, order: PlannedOrder) -> bool:
        checks_fence = engine.fencing is Fencing.CHECKED
        message = EngineOrder(
            order_id=f"{held_lease.fence}-{self._next_order_number}",
            fence=held_lease.fence,
            kind=order.kind,
            name=order.name,
            version=order.version,
        )
        self._next_order_number += 1
        if order.kind is OrderKind.UNLOAD_MODEL:
            # The engine reports the model until the unload is complete.
            self._loaded_since[(order.engine, ModelId(order.name))] = self._clock.now()
        client = self._get_client(engine)
        # Check the lease immediately before sending: the process may have been suspended.
        if not (
            held_lease.can_send_orders() if checks_fence else held_lease.can_send_unfenced_orders()
        ):
            return False
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_SECOND):
                result = await client.order(order=message)
        except TimeoutError:
            return False
        if isinstance(result, Failure):
            self._on_failure(held_lease, order, result.failure())
            return False
        log.info(
            "Sent an order to an engine.",
            engine=engine.name,
            kind=order.kind.value,
            name=order.name,
        )
        self._backoff.pop(order, None)
        return True

    def _on_failure(self, held_lease: HeldLease, order: PlannedOrder, error: UpstreamError) -> None:
        if error.refusal is not None and error.refusal.kind is RefusalKind.STALE_FENCE:
            log.warning(
                "Lost the control lease: an engine has seen a newer fence.", fence=held_lease.fence
            )
            held_lease.mark_lost()
            return
        delay_ms = min(self._backoff.get(order, RECONCILE_INTERVAL_MS // 2) * 2, MAX_BACKOFF_MS)
        self._backoff[order] = delay_ms
        self._backoff_until[order] = Millis(self._clock.now() + delay_ms)

    def _find_confirmed(self, states: Mapping[UpstreamId, EngineState]) -> set[LoadedModel]:
        """Return the models that have been loaded in each read state for ``MIN_LOADED_MS``."""
        now = self._clock.now()
        loaded = {
            (engine, ModelId(model))
            for engine, state in states.items()
            for model in state.models
            if model not in state.loading
        }
        self._loaded_since = {
            loaded_model: self._loaded_since.get(loaded_model, now) for loaded_model in loaded
        }
        return {
            loaded_model
            for loaded_model, since in self._loaded_since.items()
            if now - since >= MIN_LOADED_MS
        }

    def _count_loads(self) -> int:
        """Return the number of loads in progress, including recent ones of silent engines."""
        now = self._clock.now()
        return sum(
            loads.count
            for loads in self._load_counts.values()
            if now - loads.seen <= LOAD_COUNT_TTL_MS
        )

    def _find_deferred(self) -> set[PlannedOrder]:
        now = self._clock.now()
        return {
            order for order, deferred_until in self._backoff_until.items() if deferred_until > now
        }

    def _reset_engine_state(self) -> None:
        """Discard all known state of the engines, which another controller may have changed."""
        self._load_counts.clear()
        self._loaded_since.clear()
        self._backoff.clear()
        self._backoff_until.clear()
        self._next_order_number = 1

    def _on_declarations(self, declared: DeclarationSet) -> None:
        self._declared = declared
        self._changed.set()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(RECONCILE_INTERVAL_MS / MS_PER_SECOND):
                await self._changed.wait()
        except TimeoutError:
            pass
