"""Hosts, schedulers and links for tests of routing, all in one process."""

from __future__ import annotations

import asyncio
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
PLACE_LIMIT_S = 600
"""Virtual seconds after which a test gives up."""


def make_engines(
    *, number: int, max_batch: int = 4, name: str = "engine", models: Sequence[str] = (MODEL,)
) -> list[Engine]:
    """Return declared engines of one pool."""
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
    """Return a request that arrived now."""
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
    """Admits in order of arrival while an engine has a free place in its batch."""

    def __init__(self) -> None:
        self.queue: dict[GenerationId, PlacementRequest] = {}
        self.running: dict[GenerationId, UpstreamId] = {}
        self.specs: dict[UpstreamId, EngineSpec] = {}
        self.forced: list[Decision] = []
        """Decisions to return next, whatever the queue."""
        self.loads: list[EngineLoad] = []
        self.reconfigured = 0

    def set_engines(self, *, engines: Sequence[EngineSpec], now: Millis) -> None:
        """Replace the engines."""
        self.specs = {spec.engine: spec for spec in engines}

    def submit(self, *, request: PlacementRequest, now: Millis) -> None:
        """Queue a generation."""
        assert request.generation not in self.running
        self.queue[request.generation] = request

    def withdraw(self, *, generation: GenerationId, now: Millis) -> None:
        """Forget a queued generation."""
        self.queue.pop(generation, None)

    def reconfigure(
        self, *, objective: Objective, accounts: Mapping[ClientAccountId, AccountSpec]
    ) -> None:
        """Count it."""
        self.reconfigured += 1

    def adopt(
        self, *, request: PlacementRequest, engine: UpstreamId, tokens: int, now: Millis
    ) -> None:
        """Enter a running generation."""
        self.queue.pop(request.generation, None)
        self.running[request.generation] = engine

    def on_progress(self, *, generation: GenerationId, tokens: int, now: Millis) -> None:
        """Ignore progress."""

    def on_finished(
        self, *, generation: GenerationId, tokens: int, complete: bool, now: Millis
    ) -> None:
        """Free a place."""
        self.running.pop(generation, None)

    def on_load(self, *, load: EngineLoad, now: Millis) -> None:
        """Keep a report."""
        self.loads.append(load)

    def on_cache(self, *, engine: UpstreamId, prefix: str, stored: bool, now: Millis) -> None:
        """Ignore cache events."""

    def on_engine_lost(self, *, engine: UpstreamId, now: Millis) -> None:
        """Forget what an engine ran."""
        self.running = {each: where for each, where in self.running.items() if where != engine}

    def decide(self, *, now: Millis) -> Sequence[Decision]:
        """Admit what fits."""
        decisions, self.forced = self.forced, []
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
    """One host's view of the others."""

    def __init__(self, *, host: HostId, switch: Switch) -> None:
        self.host = host
        self.messages: Subject[ReceivedMessage] = Subject()
        self.live: BehaviorSubject[tuple[PeerInfo, ...]] = BehaviorSubject(())
        self._switch = switch

    def send(self, *, host: HostId, message: Message) -> bool:
        """Hand a message to the switch."""
        return self._switch.carry(source=self.host, target=host, message=message)


@dataclass
class Switch:
    """Carries messages between hosts in virtual time, with the faults a test asks for.

    :param latency_ms: Time each message takes.
    :param jitter_ms: Most that is added at random, which reorders messages.
    :param drop: Chance that a message is lost.
    :param double: Chance that it comes twice.
    """

    rng: Random = field(default_factory=lambda: Random(1))
    latency_ms: int = 2
    jitter_ms: int = 0
    drop: float = 0.0
    double: float = 0.0
    networks: dict[HostId, FakeNetwork] = field(default_factory=dict)
    frozen: set[HostId] = field(default_factory=set)
    """Hosts whose messages wait, in and out, as those of a stopped process do."""
    waiting: list[tuple[HostId, HostId, Message]] = field(default_factory=list)
    cut: set[frozenset[HostId]] = field(default_factory=set)
    """Pairs of hosts that can't reach one another."""
    carried: list[Message] = field(default_factory=list)

    def join(self, host: str) -> FakeNetwork:
        """Add a host; nobody sees it before ``show``."""
        network = FakeNetwork(host=HostId(host), switch=self)
        self.networks[network.host] = network
        return network

    def show(self, *, viewer: str, hosts: Sequence[str], leaving: Sequence[str] = ()) -> None:
        """Set which peers a host takes as live."""
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

    def show_all(self, hosts: Sequence[str], leaving: Sequence[str] = ()) -> None:
        """Let all of these hosts see one another."""
        for host in hosts:
            self.show(viewer=host, hosts=hosts, leaving=leaving)

    def carry(self, *, source: HostId, target: HostId, message: Message) -> bool:
        """Deliver a message later, or not at all."""
        absent = source not in self.networks or target not in self.networks
        if absent or frozenset((source, target)) in self.cut:
            return False
        self.carried.append(message)
        if self.rng.random() < self.drop:
            return True
        copies = 2 if self.rng.random() < self.double else 1
        for _ in range(copies):
            delay = self.latency_ms + self.rng.randint(0, self.jitter_ms)
            loop = asyncio.get_running_loop()
            loop.call_later(delay / 1000, self._deliver, source, target, message)
        return True

    def thaw(self, host: str) -> None:
        """Let a frozen host go on; all that waited arrives at once."""
        self.frozen.discard(HostId(host))
        waiting, self.waiting = self.waiting, []
        for source, target, message in waiting:
            self._deliver(source, target, message)

    def _deliver(self, source: HostId, target: HostId, message: Message) -> None:
        if source in self.frozen or target in self.frozen:
            self.waiting.append((source, target, message))
        elif target in self.networks:
            self.networks[target].messages.on_next(ReceivedMessage(host=source, message=message))


@dataclass
class FakeHost:
    """A router with what it stands on."""

    router: PoolRouter
    gate: UpstreamGate
    schedulers: list[SlotScheduler]


def make_host(name: str, *, switch: Switch, engines: Sequence[Engine], known: int = 1) -> FakeHost:
    """Return a started host."""
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
    router.set_known_hosts(known)
    router.set_engines(engines)
    router.start()
    return FakeHost(router=router, gate=gate, schedulers=schedulers)


class Cluster:
    """Hosts in one process that see one another.

    :param hosts: Their names.
    :param engines: Declared engines, all of one pool.
    """

    def __init__(self, *, hosts: Sequence[str], engines: Sequence[Engine]) -> None:
        self.names = list(hosts)
        self.switch = Switch()
        self.placed: dict[str, UpstreamId] = {}
        self._hosts = {
            name: make_host(name, switch=self.switch, engines=engines, known=len(hosts))
            for name in hosts
        }
        self.switch.show_all(hosts)

    def host(self, name: str) -> FakeHost:
        """Return a host by name."""
        return self._hosts[name]

    def owner(self) -> str:
        """Return the host that owns the only cell."""
        return next(name for name in self.names if self.host(name).router.owned)

    def entry_and_owner(self) -> tuple[str, str]:
        """Return a host that is not the owner, and the owner."""
        owner = self.owner()
        return next(name for name in self.names if name != owner), owner

    def ledger(self, name: str) -> SlotScheduler:
        """Return what a host's latest scheduler holds."""
        return self.host(name).schedulers[-1]

    async def place(self, host: str, generation: str) -> Placement:
        """Place a generation and note where."""
        async with asyncio.timeout(PLACE_LIMIT_S):
            placed = await self.host(host).router.place(request=make_request(generation))
        placement = placed.unwrap()
        self.placed[generation] = placement.engine
        return placement

    def release(self, host: str, generation: str, *, complete: bool = True) -> None:
        """Give a placement up."""
        self.placed.pop(generation, None)
        self.host(host).router.release(
            generation=GenerationId(generation), tokens=9, complete=complete, engine_lost=False
        )

    def truth(self) -> dict[str, UpstreamId]:
        """Return which generation uses which engine."""
        return dict(self.placed)

    def reservations(self) -> int:
        """Return what the deciders of all live hosts hold."""
        return sum(self.host(name).router.reservations for name in self.names)

    def lose(self, name: str) -> None:
        """Let a host die; the others notice at once."""
        self.names.remove(name)
        del self.switch.networks[HostId(name)]
        self.switch.show_all(self.names)
