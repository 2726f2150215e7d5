"""One controller for each group of engines."""

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
from tanagerscale.fleet._lease import Hold
from tanagerscale.fleet._lease import cancel_and_wait
from tanagerscale.fleet._plan import Holding
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

TICK_MS: Final = 1000
ACQUIRE_INTERVAL_MS: Final = 5000
CALL_TIMEOUT_MS: Final = 2000
"""Longest call to an engine; shorter than the guard before the lease's end."""

CONFIRM_MS: Final = 30_000
"""A model counts as held for good only after so long, since an unload ordered earlier, perhaps by
another controller, may still be under way."""

MAX_BACKOFF_MS: Final = 60_000

LOADS_REMEMBERED_MS: Final = 60_000
"""How long the loads of an engine that doesn't answer count against the limit."""

Connect = Callable[[Engine], EngineClient]

log = get_logger(part="fleet")


class _Loads(Struct, frozen=True, kw_only=True):
    count: int
    seen: Millis


@final
class FleetController:
    """Brings the engines of one group to what is declared, while this host holds their lease.

    Engines are left as they are while the store is down for longer than the lease lasts.

    :param store: Where the lease stands.
    :param prefix: First part of all keys of this installation.
    :param group: Name of the group.
    :param host: This host.
    :param incarnation: Which life of the host this is.
    :param clock: Paces it and judges the lease.
    :param rng: Spreads the hosts' trials to take the lease.
    :param declarations: The declarations in force, cut down to the engines of the group.
    :param connect: Returns the client of an engine, the same one each time.
    :param max_loads: Most loads at once; the groups share the weight store's rate between them.
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
        connect: Connect,
        max_loads: int,
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
        self._connect = connect
        self._max_loads = max_loads
        self._declared: DeclarationSet | None = None
        self._changed = asyncio.Event()
        self._leading: BehaviorSubject[bool] = BehaviorSubject(False)
        self._subscription = declarations.subscribe(self._on_declarations)
        self._hold: Hold | None = None
        self._last_loads: dict[UpstreamId, _Loads] = {}
        self._held_since: dict[Holding, Millis] = {}
        self._backoff: dict[PlannedOrder, int] = {}
        self._backoff_until: dict[PlannedOrder, Millis] = {}
        self._next_order = 1

    @property
    def leading(self) -> Observable[bool]:
        """Whether this host controls the group."""
        return self._leading

    async def run(self) -> None:
        """Take the lease whenever it is free and order what differs, until cancelled."""
        while True:
            hold = await self._lease.acquire()
            if hold is None:
                spread = self._rng.randrange(ACQUIRE_INTERVAL_MS)
                await self._clock.sleep(ACQUIRE_INTERVAL_MS // 2 + spread)
                continue
            log.info("This host controls the engines.", fence=hold.fence)
            self._hold = hold
            self._leading.on_next(True)
            try:
                await self._lead(hold)
            finally:
                self._hold = None
                self._leading.on_next(False)
            await self._lease.release(hold=hold)

    async def stop(self) -> None:
        """Give the lease back, as a planned stop does; ``run`` is to be cancelled after it."""
        self._subscription.dispose()
        if self._hold is not None:
            await self._lease.release(hold=self._hold)

    async def _lead(self, hold: Hold) -> None:
        self._forget_engines()
        renewal = asyncio.get_running_loop().create_task(self._lease.keep(hold=hold))
        try:
            while hold.may_act():
                self._changed.clear()
                if self._declared is not None:
                    await self._tick(hold, self._declared)
                await self._wait_for_change()
        finally:
            await cancel_and_wait(renewal)

    async def _tick(self, hold: Hold, declared: DeclarationSet) -> None:
        states = await self._read_states(declared.engines)
        orders = plan_orders(
            declared=declared,
            states=states,
            confirmed=self._confirm(states),
            deferred=self._deferred(),
            loads_allowed=self._max_loads - self._count_loads(),
        )
        engines = {UpstreamId(engine.name): engine for engine in declared.engines}
        by_engine: dict[UpstreamId, list[PlannedOrder]] = {}
        for order in orders:
            by_engine.setdefault(order.engine, []).append(order)
        await asyncio.gather(
            *(self._give_all(hold, engines[name], given) for name, given in by_engine.items())
        )

    async def _read_states(self, engines: Iterable[Engine]) -> Mapping[UpstreamId, EngineState]:
        listed = list(engines)
        read = await asyncio.gather(*(self._read_state(engine) for engine in listed))
        states = {
            UpstreamId(engine.name): state
            for engine, state in zip(listed, read, strict=True)
            if state is not None
        }
        now = self._clock.now()
        for name, state in states.items():
            self._last_loads[name] = _Loads(count=len(state.loading), seen=now)
        return states

    async def _read_state(self, engine: Engine) -> EngineState | None:
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_SECOND):
                state = await self._connect(engine).state()
        except TimeoutError:
            return None
        return state.value_or(None)

    async def _give_all(self, hold: Hold, engine: Engine, orders: Sequence[PlannedOrder]) -> None:
        """Give an engine its orders one after the other, and leave it at the first failure."""
        for order in orders:
            if not await self._give(hold, engine, order):
                return

    async def _give(self, hold: Hold, engine: Engine, order: PlannedOrder) -> bool:
        checked = engine.fencing is Fencing.CHECKED
        message = EngineOrder(
            order_id=f"{hold.fence}-{self._next_order}",
            fence=hold.fence,
            kind=order.kind,
            name=order.name,
            version=order.version,
        )
        self._next_order += 1
        if order.kind is OrderKind.UNLOAD_MODEL:
            # Until it is done the engine still shows the model.
            self._held_since[(order.engine, ModelId(order.name))] = self._clock.now()
        client = self._connect(engine)
        # The last look at the clock before the order leaves: the host may have been frozen.
        if not (hold.may_act() if checked else hold.may_act_unfenced()):
            return False
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / MS_PER_SECOND):
                result = await client.order(order=message)
        except TimeoutError:
            return False
        if isinstance(result, Failure):
            self._on_failure(hold, order, result.failure())
            return False
        log.info("An order was given.", engine=engine.name, kind=order.kind.value, name=order.name)
        self._backoff.pop(order, None)
        return True

    def _on_failure(self, hold: Hold, order: PlannedOrder, error: UpstreamError) -> None:
        if error.refusal is not None and error.refusal.kind is RefusalKind.STALE_FENCE:
            log.warning("Another host controls the engines.", fence=hold.fence)
            hold.lose()
            return
        wait = min(self._backoff.get(order, TICK_MS // 2) * 2, MAX_BACKOFF_MS)
        self._backoff[order] = wait
        self._backoff_until[order] = Millis(self._clock.now() + wait)

    def _confirm(self, states: Mapping[UpstreamId, EngineState]) -> set[Holding]:
        """Return what engines have held at each look for long enough."""
        now = self._clock.now()
        held = {
            (engine, ModelId(model))
            for engine, state in states.items()
            for model in state.models
            if model not in state.loading
        }
        self._held_since = {holding: self._held_since.get(holding, now) for holding in held}
        return {holding for holding, since in self._held_since.items() if now - since >= CONFIRM_MS}

    def _count_loads(self) -> int:
        """Count the loads under way; a silent engine counts for a while as it last did."""
        now = self._clock.now()
        return sum(
            loads.count
            for loads in self._last_loads.values()
            if now - loads.seen <= LOADS_REMEMBERED_MS
        )

    def _deferred(self) -> set[PlannedOrder]:
        now = self._clock.now()
        return {order for order, until in self._backoff_until.items() if until > now}

    def _forget_engines(self) -> None:
        """Start anew, since another controller may have changed everything."""
        self._last_loads.clear()
        self._held_since.clear()
        self._backoff.clear()
        self._backoff_until.clear()
        self._next_order = 1

    def _on_declarations(self, declared: DeclarationSet) -> None:
        self._declared = declared
        self._changed.set()

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(TICK_MS / MS_PER_SECOND):
                await self._changed.wait()
        except TimeoutError:
            pass
