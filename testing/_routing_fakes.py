"""Fake hosts, schedulers and networks for routing tests in one process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random

from reactivex.subject import BehaviorSubject
from reactivex.subject import Subject

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import ModelId
from tanagerscale.core import Revision
from tanagerscale.core import UpstreamId
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Objective
from tanagerscale.membership import Message
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import ReceivedMessage
from tanagerscale.membership import UpstreamGate
from tanagerscale.policy import AccountSpec
from tanagerscale.policy import Decision
from tanagerscale.policy import DecisionKind
from tanagerscale.policy import EngineLoad
from tanagerscale.policy import EngineSpec
from tanagerscale.policy import PlacementRequest
from tanagerscale.routing import Placement
from tanagerscale.routing import PoolRouter

MODEL = ModelId("plan")
PLACE_TIMEOUT_S = 600
"""Timeout of one placement, in virtual seconds."""


def make_engines(
    *, number: int, max_batch: int = 4, name: str = "engine", models: Sequence[str] = (MODEL,)
) -> list[Engine]:
    """Return declared engines that all belong to one pool."""
    return [
        Engine(
            name=f"{name}-{index}",
            address=f"127.0.0.1:{9000 + index}",
            failure_domain="z1",
            models=list(models),
            max_batch=max_batch,
        )
        for index in range(number)
    ]


def make_request(
    generation: str, *, excluded: frozenset[UpstreamId] = frozenset()
) -> PlacementRequest:
    """Return a movable request whose arrival time is now."""
    return PlacementRequest(
        generation=GenerationId(generation),
        model=MODEL,
        account=ClientAccountId("crew"),
        prompt_tokens=100,
        max_tokens=500,
        movable=True,
        arrived=Clock().now(),
        excluded=excluded,
    )


class SlotScheduler:
    """Admits requests in order of arrival while an engine has a free slot in its batch."""

    def __init__(self) -> None:
        self.queue: dict[GenerationId, PlacementRequest] = {}
        self.running: dict[GenerationId, UpstreamId] = {}
        self.specs: dict[UpstreamId, EngineSpec] = {}
        self.forced_decisions: list[Decision] = []
        """Decisions to return from the next call, regardless of the queue."""
        self.loads: list[EngineLoad] = []
        self.reconfigure_calls = 0

    def set_engines(self, *, engines: Sequence[EngineSpec], now: Millis) -> None:
        """Replace the engines."""
        self.specs = {spec.engine: spec for spec in engines}

    def submit(self, *, request: PlacementRequest, now: Millis) -> None:
        """Add a generation to the queue."""
        assert request.generation not in self.running
        self.queue[request.generation] = request

    def withdraw(self, *, generation: GenerationId, now: Millis) -> None:
        """Remove a generation from the queue."""
        self.queue.pop(generation, None)

    def reconfigure(
        self, *, objective: Objective, accounts: Mapping[ClientAccountId, AccountSpec]
    ) -> None:
        """Count the call."""
        self.reconfigure_calls += 1

    def adopt(
        self, *, request: PlacementRequest, engine: UpstreamId, tokens: int, now: Millis
    ) -> None:
        """Add a running generation."""
        self.queue.pop(request.generation, None)
        self.running[request.generation] = engine

    def on_progress(self, *, generation: GenerationId, tokens: int, now: Millis) -> None:
        """Do nothing."""

    def on_finished(
        self, *, generation: GenerationId, tokens: int, complete: bool, now: Millis
    ) -> None:
        """Free the slot of a generation."""
        self.running.pop(generation, None)

    def on_load(self, *, load: EngineLoad, now: Millis) -> None:
        """Store a load report."""
        self.loads.append(load)

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool, now: Millis) -> None:
        """Do nothing."""

    def on_engine_lost(self, *, engine: UpstreamId, now: Millis) -> None:
        """Remove the generations that run on an engine."""
        self.running = {each: where for each, where in self.running.items() if where != engine}

    def decide(self, *, now: Millis) -> Sequence[Decision]:
        """Return the forced decisions and admissions for all requests that fit."""
        decisions, self.forced_decisions = self.forced_decisions, []
        for decision in decisions:
            self.queue.pop(decision.generation, None)
            self.running.pop(decision.generation, None)
        for generation, request in list(self.queue.items()):
            engine = self._free_engine(request)
            if engine is None:
                continue
            del self.queue[generation]
            self.running[generation] = engine
            decisions.append(
                Decision(kind=DecisionKind.ADMIT, generation=generation, engine=engine)
            )
        return decisions

    def _free_engine(self, request: PlacementRequest) -> UpstreamId | None:
        loads = {engine: 0 for engine in self.specs if engine not in request.excluded}
        for engine in self.running.values():
            if engine in loads:
                loads[engine] += 1
        free = [name for name, load in loads.items() if load < self.specs[name].max_batch]
        return min(free, key=lambda name: (loads[name], name)) if free else None


class FakeNetwork:
    """Network of one host, connected to a ``Switch``."""

    def __init__(self, *, host: HostId, switch: Switch) -> None:
        self.host = host
        self.messages: Subject[ReceivedMessage] = Subject()
        self.live: BehaviorSubject[tuple[PeerInfo, ...]] = BehaviorSubject(())
        self._switch = switch

    def send(self, *, host: HostId, message: Message) -> bool:
        """Send a message through the switch."""
        return self._switch.transmit(source=self.host, target=host, message=message)


@dataclass
class Switch:
    """Delivers messages between hosts in virtual time, with configurable faults.

    :param rng: Random number generator for faults and jitter.
    :param latency_ms: Minimum latency of a message.
    :param jitter_ms: Maximum random addition to the latency, which reorders messages.
    :param drop_probability: Probability that a message is lost.
    :param duplicate_probability: Probability that a message is delivered twice.
    :param networks: Networks of the live hosts.
    """

    rng: Random = field(default_factory=lambda: Random(1))
    latency_ms: int = 2
    jitter_ms: int = 0
    drop_probability: float = 0.0
    duplicate_probability: float = 0.0
    networks: dict[HostId, FakeNetwork] = field(default_factory=dict)
    frozen: set[HostId] = field(default_factory=set)
    """Hosts whose incoming and outgoing messages are delayed, as those of a stopped process."""
    is_held: Callable[[HostId, HostId, Message], bool] = lambda _source, _target, _message: False
    """Returns whether to delay a message until ``release_held`` is called."""
    delayed: list[tuple[HostId, HostId, Message]] = field(default_factory=list)
    unreachable: set[frozenset[HostId]] = field(default_factory=set)
    """Pairs of hosts that cannot reach each other."""
    sent: list[Message] = field(default_factory=list)

    def join(self, host: str) -> FakeNetwork:
        """Add a host, which has no peers until ``set_live_peers`` is called."""
        network = FakeNetwork(host=HostId(host), switch=self)
        self.networks[network.host] = network
        return network

    def set_live_peers(
        self, *, viewer: str, hosts: Sequence[str], leaving: Sequence[str] = ()
    ) -> None:
        """Set the peers that a host considers live."""
        peers = tuple(
            PeerInfo(
                host=HostId(host),
                incarnation=1,
                failure_domain=FailureDomainId("z1"),
                address="",
                revision=Revision(1),
                leaving=host in leaving,
            )
            for host in hosts
            if host != viewer
        )
        self.networks[HostId(viewer)].live.on_next(peers)

    def connect_all(self, hosts: Sequence[str], leaving: Sequence[str] = ()) -> None:
        """Set all other given hosts as live peers of each given host."""
        for host in hosts:
            self.set_live_peers(viewer=host, hosts=hosts, leaving=leaving)

    def transmit(self, *, source: HostId, target: HostId, message: Message) -> bool:
        """Schedule the delivery of a message, subject to the faults."""
        absent = source not in self.networks or target not in self.networks
        if absent or frozenset((source, target)) in self.unreachable:
            return False
        self.sent.append(message)
        if self.rng.random() < self.drop_probability:
            return True
        copies = 2 if self.rng.random() < self.duplicate_probability else 1
        for _ in range(copies):
            delay = self.latency_ms + self.rng.randint(0, self.jitter_ms)
            loop = asyncio.get_running_loop()
            loop.call_later(delay / 1000, self._deliver, source, target, message)
        return True

    def resume(self, host: str) -> None:
        """Resume a frozen host and deliver all delayed messages at once."""
        self.frozen.discard(HostId(host))
        self._deliver_delayed()

    def release_held(self) -> None:
        """Hold no more messages and deliver the held ones at once."""
        self.is_held = lambda _source, _target, _message: False
        self._deliver_delayed()

    def _deliver_delayed(self) -> None:
        waiting, self.delayed = self.delayed, []
        for source, target, message in waiting:
            self._deliver(source, target, message)

    def _deliver(self, source: HostId, target: HostId, message: Message) -> None:
        is_frozen = source in self.frozen or target in self.frozen
        if is_frozen or self.is_held(source, target, message):
            self.delayed.append((source, target, message))
        elif target in self.networks:
            self.networks[target].messages.on_next(ReceivedMessage(host=source, message=message))


@dataclass
class FakeHost:
    """A router with its gate and the schedulers that it has created."""

    router: PoolRouter
    gate: UpstreamGate
    schedulers: list[SlotScheduler]


def make_host(
    name: str, *, switch: Switch, engines: Sequence[Engine], expected_hosts: int = 1
) -> FakeHost:
    """Return a host with a started router."""
    schedulers: list[SlotScheduler] = []

    def make_scheduler() -> SlotScheduler:
        schedulers.append(SlotScheduler())
        return schedulers[-1]

    gate = UpstreamGate(clock=Clock(), rng=Random(7), broadcast=lambda _message: None)
    router = PoolRouter(
        network=switch.join(name),
        gate=gate,
        make_scheduler=make_scheduler,
        clock=Clock(),
        rng=Random(8),
    )
    router.set_expected_hosts(expected_hosts)
    router.set_engines(engines)
    router.start()
    return FakeHost(router=router, gate=gate, schedulers=schedulers)


class Cluster:
    """Connected hosts in one process.

    :param hosts: Names of the hosts.
    :param engines: Declared engines of all hosts.
    """

    def __init__(self, *, hosts: Sequence[str], engines: Sequence[Engine]) -> None:
        self.names = list(hosts)
        self.switch = Switch()
        self.placed: dict[str, UpstreamId] = {}
        self._hosts = {
            name: make_host(name, switch=self.switch, engines=engines, expected_hosts=len(hosts))
            for name in hosts
        }
        self.switch.connect_all(hosts)

    def host(self, name: str) -> FakeHost:
        """Return a host by name."""
        return self._hosts[name]

    def owner(self) -> str:
        """Return the name of the host that owns the only cell."""
        return next(name for name in self.names if self.host(name).router.owned)

    def entry_and_owner(self) -> tuple[str, str]:
        """Return the names of a host that is not the owner, and of the owner."""
        owner = self.owner()
        return next(name for name in self.names if name != owner), owner

    def scheduler(self, name: str) -> SlotScheduler:
        """Return the scheduler that a host created last."""
        return self.host(name).schedulers[-1]

    async def place(self, host: str, generation: str) -> Placement:
        """Place a generation and record its engine."""
        async with asyncio.timeout(PLACE_TIMEOUT_S):
            placed = await self.host(host).router.place(request=make_request(generation))
        placement = placed.unwrap()
        self.placed[generation] = placement.engine
        return placement

    def release(self, host: str, generation: str, *, complete: bool = True) -> None:
        """Release a placement."""
        self.placed.pop(generation, None)
        self.host(host).router.release(
            generation=GenerationId(generation), tokens=9, complete=complete, engine_lost=False
        )

    def placements(self) -> dict[str, UpstreamId]:
        """Return the engine of each placed generation."""
        return dict(self.placed)

    def reservations(self) -> int:
        """Return the number of reservations on all live hosts."""
        return sum(self.host(name).router.reservations for name in self.names)

    def remove_host(self, name: str) -> None:
        """Remove a host; its peers are notified at once."""
        self.names.remove(name)
        del self.switch.networks[HostId(name)]
        self.switch.connect_all(self.names)
