"""Stateful test of controllers: under any faults one sends orders and the fleet converges."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from tanagerscale.generated.declarations import Fencing
from tanagerscale.generated.upstream import OrderKind
from testing._ordered_engines import MAX_LOADS
from testing._ordered_engines import EngineFleet
from testing._ordered_engines import OrderingHost
from testing._random_cases import random_case_settings
from testing._virtual_time import close_loop
from testing._virtual_time import new_virtual_loop

HOSTS = ("a", "b")
MODELS = ("plan", "check")
FENCING = {"e0": Fencing.CHECKED, "e1": Fencing.IGNORED, "e2": Fencing.IGNORED}
RECOVERY_S = 160
IDLE_S = 30
STEP_S = 1.0

hosts = st.sampled_from(HOSTS)
engines = st.sampled_from(sorted(FENCING))
declared_models_strategy = st.fixed_dictionaries(
    {name: st.lists(st.sampled_from(MODELS), unique=True, max_size=2) for name in sorted(FENCING)}
)


class FleetMachine(RuleBasedStateMachine):
    """Two hosts and three engines, with all faults in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = new_virtual_loop()
        self.loop.run_until_complete(self._start())
        self.has_order_faults = False

    @rule(declared_models=declared_models_strategy, version=st.sampled_from(["1", "2"]))
    def declare(self, declared_models: dict[str, list[str]], version: str) -> None:
        """Change the declarations."""
        self.fleet.declare(declared_models, versions=dict.fromkeys(MODELS, version))

    @rule(wait_s=st.sampled_from([0.0, 0.001, 0.5, 3.0, 12.0, 40.0]))
    def wait(self, wait_s: float) -> None:
        """Advance the virtual time, with frequent checks of the loaded models."""
        self._run(wait_s)

    @rule(host=hosts)
    def freeze(self, host: str) -> None:
        """Freeze a host."""
        self.hosts[host].store.freeze()

    @rule(host=hosts)
    def resume(self, host: str) -> None:
        """Resume a frozen host."""
        self.hosts[host].store.resume()

    @rule(host=hosts, down=st.booleans())
    def set_store_down(self, host: str, down: bool) -> None:
        """Make the store unreachable or reachable for a host."""
        self.hosts[host].store.fake.down = down

    @rule(host=hosts, count=st.integers(1, 2))
    def lose_replies(self, host: str, count: int) -> None:
        """Lose the next replies of the store."""
        self.hosts[host].store.fake.lose_replies = count

    @rule(
        engine=engines,
        fault=st.sampled_from(["orders_to_lose", "orders_to_duplicate", "orders_to_delay"]),
    )
    def add_order_fault(self, engine: str, fault: str) -> None:
        """Lose, duplicate or delay the next order to an engine."""
        setattr(self.fleet.engines[engine], fault, 1)
        self.has_order_faults = True

    @rule(engine=engines, is_unreachable=st.booleans())
    def set_engine_unreachable(self, engine: str, is_unreachable: bool) -> None:
        """Make an engine unreachable or reachable."""
        self.fleet.engines[engine].is_unreachable = is_unreachable

    @invariant()
    def fences_never_decrease(self) -> None:
        """Check that no order follows one with a higher fencing number."""
        fences = [sent.order.fence for sent in self.fleet.sent_orders]
        assert fences == sorted(fences)

    @invariant()
    def concurrent_loads_are_limited(self) -> None:
        """Check the limit of concurrent loads, unless orders were lost, duplicated or delayed."""
        if not self.has_order_faults:
            assert self.fleet.count_loads() <= MAX_LOADS

    def teardown(self) -> None:
        """Remove all faults and check that the fleet converges and no more orders are sent."""
        for host in self.hosts.values():
            host.store.fake.down = False
            host.store.fake.lose_replies = 0
            host.store.resume()
        for engine in self.fleet.engines.values():
            engine.is_unreachable = False
            engine.orders_to_lose = engine.orders_to_duplicate = engine.orders_to_delay = 0
        self._run(RECOVERY_S)
        assert self.fleet.has_converged()
        orders = len(self.fleet.sent_orders)
        self._run(IDLE_S)
        assert len(self.fleet.sent_orders) == orders
        close_loop(self.loop)

    async def _start(self) -> None:
        self.fleet = EngineFleet(fencing=FENCING)
        self.fleet.declare(
            {name: ["plan"] for name in FENCING}, versions=dict.fromkeys(MODELS, "1")
        )
        self.hosts = {name: OrderingHost(name=name, fleet=self.fleet) for name in HOSTS}

    def _run(self, wait_s: float) -> None:
        self.loop.run_until_complete(self._check_loaded_models(wait_s))

    async def _check_loaded_models(self, wait_s: float) -> None:
        """Advance the time and check that no declared model loses its last loaded copy."""
        remaining_s = wait_s
        while True:
            loaded_before = {model: self.fleet.count_loaded(model) for model in MODELS}
            declared_models = {
                model for models in self.fleet.declared_models.values() for model in models
            }
            await asyncio.sleep(min(STEP_S, remaining_s))
            for model in declared_models:
                recently_unloaded = any(
                    sent.order.kind is OrderKind.UNLOAD_MODEL and sent.order.name == model
                    for sent in self.fleet.sent_orders[-20:]
                    if self.loop.time() - sent.at < STEP_S
                )
                if loaded_before[model] > 0 and recently_unloaded:
                    assert self.fleet.count_loaded(model) > 0
            remaining_s -= STEP_S
            if remaining_s <= 0:
                return


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = random_case_settings(examples=8, steps=20)
