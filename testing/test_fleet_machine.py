"""Controllers against a model: whatever fails, one orders at a time and the fleet converges."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from tanagerscale.generated.declarations import Fencing
from tanagerscale.generated.upstream import OrderKind
from testing._ordered_engines import MAX_LOADS
from testing._ordered_engines import Fleet
from testing._ordered_engines import OrderingHost
from testing._random_cases import random_case_settings
from testing._virtual_time import close_loop
from testing._virtual_time import new_virtual_loop

HOSTS = ("a", "b")
MODELS = ("plan", "check")
FENCING = {"e0": Fencing.CHECKED, "e1": Fencing.IGNORED, "e2": Fencing.IGNORED}
RECOVERY_S = 160
REST_S = 30
STEP_S = 1.0

hosts = st.sampled_from(HOSTS)
engines = st.sampled_from(sorted(FENCING))
wishes = st.fixed_dictionaries(
    {name: st.lists(st.sampled_from(MODELS), unique=True, max_size=2) for name in sorted(FENCING)}
)


class FleetMachine(RuleBasedStateMachine):
    """Two hosts, three engines, and every fault in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = new_virtual_loop()
        self.loop.run_until_complete(self._start())
        self.astray = False

    @rule(wanted=wishes, version=st.sampled_from(["1", "2"]))
    def declare(self, wanted: dict[str, list[str]], version: str) -> None:
        """Put other declarations in force."""
        self.fleet.declare(wanted, versions=dict.fromkeys(MODELS, version))

    @rule(wait_s=st.sampled_from([0.0, 0.001, 0.5, 3.0, 12.0, 40.0]))
    def wait(self, wait_s: float) -> None:
        """Let time pass, and look often."""
        self._run(wait_s)

    @rule(host=hosts)
    def freeze(self, host: str) -> None:
        """Freeze a host where it stands."""
        self.hosts[host].store.freeze()

    @rule(host=hosts)
    def thaw(self, host: str) -> None:
        """Let a host go on."""
        self.hosts[host].store.thaw()

    @rule(host=hosts, down=st.booleans())
    def cut_store(self, host: str, down: bool) -> None:
        """Take the store from a host or give it back."""
        self.hosts[host].store.fake.down = down

    @rule(host=hosts, count=st.integers(1, 2))
    def lose_replies(self, host: str, count: int) -> None:
        """Let the store's replies be lost."""
        self.hosts[host].store.fake.lose_replies = count

    @rule(engine=engines, fault=st.sampled_from(["lose_orders", "double_orders", "delay_orders"]))
    def lead_astray(self, engine: str, fault: str) -> None:
        """Lose, double or delay the next order."""
        setattr(self.fleet.engines[engine], fault, 1)
        self.astray = True

    @rule(engine=engines, unreachable=st.booleans())
    def cut_engine(self, engine: str, unreachable: bool) -> None:
        """Cut an engine off, or reach it again."""
        self.fleet.engines[engine].unreachable = unreachable

    @invariant()
    def one_controller_orders_at_a_time(self) -> None:
        """No order follows one with a higher fencing number."""
        fences = [sent.order.fence for sent in self.fleet.sent]
        assert fences == sorted(fences)

    @invariant()
    def loads_are_few(self) -> None:
        """The weight store is asked for few loads at once."""
        if not self.astray:
            assert self.fleet.loads() <= MAX_LOADS

    def teardown(self) -> None:
        """Mend everything; then the fleet is as declared, and rests."""
        for host in self.hosts.values():
            host.store.fake.down = False
            host.store.fake.lose_replies = 0
            host.store.thaw()
        for engine in self.fleet.engines.values():
            engine.unreachable = False
            engine.lose_orders = engine.double_orders = engine.delay_orders = 0
        self._run(RECOVERY_S)
        assert self.fleet.converged()
        orders = len(self.fleet.sent)
        self._run(REST_S)
        assert len(self.fleet.sent) == orders
        close_loop(self.loop)

    async def _start(self) -> None:
        self.fleet = Fleet(fencing=FENCING)
        self.fleet.declare(
            {name: ["plan"] for name in FENCING}, versions=dict.fromkeys(MODELS, "1")
        )
        self.hosts = {name: OrderingHost(name=name, fleet=self.fleet) for name in HOSTS}

    def _run(self, wait_s: float) -> None:
        self.loop.run_until_complete(self._watch(wait_s))

    async def _watch(self, wait_s: float) -> None:
        """Check that a model which is asked for is not unloaded from its last holder."""
        left = wait_s
        while True:
            before = {model: self.fleet.holders(model) for model in MODELS}
            wanted = {model for models in self.fleet.wanted.values() for model in models}
            await asyncio.sleep(min(STEP_S, left))
            for model in wanted:
                recently = any(
                    sent.order.kind is OrderKind.UNLOAD_MODEL and sent.order.name == model
                    for sent in self.fleet.sent[-20:]
                    if self.loop.time() - sent.at < STEP_S
                )
                if before[model] > 0 and recently:
                    assert self.fleet.holders(model) > 0
            left -= STEP_S
            if left <= 0:
                return


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = random_case_settings(examples=8, steps=20)
