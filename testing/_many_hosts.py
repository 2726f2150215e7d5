"""Hosts with real coordination code on in-memory links and an in-memory store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random

from reactivex import Observable
from reactivex import never
from returns.result import Result
from returns.result import Success

from tanagerscale.coordination import EngineTotal
from tanagerscale.core import Clock
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import RequestId
from tanagerscale.core import Revision
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.forwarding import LocalWorkload
from tanagerscale.forwarding import MoveResult
from tanagerscale.gateway import Platform
from tanagerscale.gateway._control import HostControl
from tanagerscale.generated.gateway import DeadlinesSection
from tanagerscale.generated.gateway import GatewayHost as HostSection
from tanagerscale.generated.gateway import GatewaySettings
from tanagerscale.generated.gateway import GatewayStore
from tanagerscale.generated.gateway import RetrySection
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import MoveKind
from tanagerscale.generated.messages import MoveOrder
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.membership import ReceivedMessage
from tanagerscale.routes import Configuration
from tanagerscale.routes import Service
from tanagerscale.store import ConditionalPut
from tanagerscale.store import LeaseId
from tanagerscale.store import StoreRevision
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamNotice
from tanagerscale.upstreams import UpstreamState
from testing._fake_store import FakeBackend
from testing._fake_store import FakeStore
from testing._gateway_fakes import ENGINE
from testing._gateway_fakes import LIMITS
from testing._gateway_fakes import SERVICE
from testing._gateway_fakes import FakeEngines
from testing._memory_links import MemoryNetwork
from testing._memory_links import MemoryTransport

OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
REGISTRY_PREFIX = "engines/"
STARTUP_S = 5.0
"""Time in which hosts that start together have connected to the coordinators."""

ORDER_DURATION_S = 0.2
"""Time a host takes to execute an order."""


DEFAULT_RETRIES = RetrySection(slack=430)


class FakeUpstreamEdge(FakeEngines):
    """Engines that are only queried for reports and never receive requests."""

    @property
    def notices(self) -> Observable[UpstreamNotice]:
        """Emit nothing, since there are no responses."""
        return never()

    prober: Callable[[UpstreamEntry], Awaitable[bool]] | None = None
    """Answers probes; without one, every upstream is reached."""

    async def probe(self, *, upstream: UpstreamEntry, force_new: bool = False) -> bool:
        """Return whether an upstream answers."""
        return self.prober is None or await self.prober(upstream)

    async def send(self, *, order: object) -> object:
        """Fail, since no requests are sent."""
        raise NotImplementedError

    def forget(self, *, upstream: UpstreamEntry) -> None:
        """Do nothing, since there are no connections."""


@dataclass(kw_only=True, eq=False)
class Host:
    """The parts of a host that communicate with other hosts."""

    name: str
    network: MemoryNetwork
    store: FakeStore
    work: LocalWorkload
    control: HostControl
    clock: Clock
    edge: FakeUpstreamEdge
    received: int = 0
    """Number of messages received from other hosts, without heartbeats."""
    orders: list[MoveOrder] = field(default_factory=list)
    is_leaving: bool = False
    order_executor: Callable[[MoveOrder], Awaitable[MoveResult]] | None = None
    """Executes orders; without one, orders succeed after a delay."""

    @property
    def id(self) -> HostId:
        """Id of the host."""
        return HostId(self.name)

    @property
    def peers(self) -> set[str]:
        """The hosts that it is connected to."""
        return {peer.host for peer in self.control.mesh.live.value}

    @property
    def is_coordinator(self) -> bool:
        """Whether it considers itself a coordinator."""
        return self.control.directory.is_coordinator

    @property
    def decider(self) -> str:
        """The host that decides for it."""
        return self.control.directory.decider

    def count(self, received: ReceivedMessage) -> None:
        """Count a message."""
        self.received += not isinstance(received.message, Heartbeat)

    def begin(self, name: str, *, at: str = "e0", tokens: int = 1000) -> None:
        """Start a generation on an engine."""
        self.work.begin(
            request=RequestId(name),
            upstream=UpstreamId(at),
            prompt_tokens=tokens,
            tokens=tokens,
            is_long=True,
        )

    def answer(self, name: str, *, tokens: int = 1000, answer_tokens: int = 4) -> None:
        """Record the first tokens of a generation."""
        self.work.progress(request=RequestId(name), tokens=tokens, answer_tokens=answer_tokens)

    def end(self, name: str) -> None:
        """End a generation."""
        self.work.end(request=RequestId(name))

    def total(self, engine: str) -> EngineTotal:
        """Return the sums of the runs on an engine in the ledger of this host."""
        return self.control.coordinator.ledger.totals().get(UpstreamId(engine), EngineTotal())

    async def ask(
        self, name: str, *, prompt: int = 3000, left_ms: int = 1500, is_long: bool = True
    ) -> PlaceAnswer:
        """Ask for an engine and start a generation on it."""
        ask = PlaceAsk(
            serial=0,
            request=name,
            service=SERVICE,
            prompt_tokens=prompt,
            is_long=is_long,
            left_ms=left_ms,
        )
        answer = await self.control.client.place(ask=ask)
        if answer.upstream:
            self.begin(name, at=answer.upstream, tokens=prompt)
        return answer

    async def execute_order(self, order: MoveOrder) -> MoveResult:
        """Record an order, and move the run to its target after a delay."""
        self.orders.append(order)
        if self.order_executor is not None:
            return await self.order_executor(order)
        await asyncio.sleep(ORDER_DURATION_S)
        if order.kind is MoveKind.LEAVE:
            self.begin(order.request, at=order.target)
            self.answer(order.request)
        return MoveResult(is_done=True, has_stopped=order.kind is not MoveKind.AHEAD)

    async def stop(self) -> None:
        """Stop as a killed process does: its connections break."""
        await self.control.stop()


def decode_entry(key: str, value: bytes) -> Result[UpstreamEntry, str]:
    """Parse an engine entry: its state, failure domain and cold time, and its sequence if any."""
    name = key.removeprefix(REGISTRY_PREFIX)
    state, domain, warmup_ms, *sequence = value.decode().split()
    return Success(
        UpstreamEntry(
            upstream=UpstreamId(name),
            name=UpstreamName(name),
            started_ms=0,
            service=SERVICE,
            address=f"{name}:1",
            failure_domain=FailureDomainId(domain),
            max_concurrency=24,
            state=UpstreamState(state),
            warmup_ms=int(warmup_ms),
            sequence=int(sequence[0]) if sequence else 0,
        )
    )


def parse_evacuated_domain(key: str) -> FailureDomainId | None:
    """Return the failure domain that a key evacuates; ``None`` for other keys."""
    domain = key.removeprefix(EVACUATION_PREFIX)
    return FailureDomainId(domain) if domain and domain != key else None


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Parse a configuration: its version, and the cold time and the cold rate of upstreams."""
    version, warmup_ms, cold_per_s = [*value.decode().split(), "0", "0"][:3]
    service = Service(
        name=SERVICE,
        health_path="/",
        max_connections=100,
        engine=ENGINE,
        warmup_ms=int(warmup_ms),
        warmup_requests_per_s=float(cold_per_s),
    )
    return Success(
        Configuration(
            version=Revision(int(version)),
            routes=(),
            services=(service,),
            accounts=(),
            limits=LIMITS,
        )
    )


def make_host(
    network: MemoryNetwork,
    backend: FakeBackend,
    name: str,
    domain: int = 0,
    *,
    cores: float = 1.0,
    seeds: Sequence[str] = (),
    wall_offset_ms: int = 0,
    retries: RetrySection = DEFAULT_RETRIES,
) -> Host:
    """Make a host that is not started yet.

    :param network: Links to the other hosts.
    :param backend: Contents of the store.
    :param name: Its id and address.
    :param domain: Number of its failure domain.
    :param cores: Its processor share.
    :param seeds: Addresses to connect to first.
    :param wall_offset_ms: Error of its wall clock.
    :param retries: Retry budget of all hosts.
    """
    clock = Clock(virtual_epoch_ms=1_000_000, wall_offset_ms=wall_offset_ms)
    store = FakeStore(backend=backend)
    work = LocalWorkload(clock=clock)
    created: list[Host] = []
    edge = FakeUpstreamEdge()
    platform = Platform(
        store=store,
        upstreams=edge,  # type: ignore[arg-type]
        operator_prefix=OPERATOR_PREFIX,
        configuration_key=CONFIGURATION_KEY,
        decode_configuration=decode_configuration,
        parse_evacuated_domain=parse_evacuated_domain,
        registry_prefix=REGISTRY_PREFIX,
        decode_entry=decode_entry,
        parse_upstream_name=lambda key: UpstreamName(key.removeprefix(REGISTRY_PREFIX)),
        callers=None,  # type: ignore[arg-type]
        close=_close,
    )
    settings = GatewaySettings(
        host=HostSection(
            id=name,
            failure_domain=f"domain-{domain}",
            callers="unused",
            readiness="unused",
            peers=name,
            delegates=name,
            seeds=list(seeds),
            processor_share=cores,
        ),
        store=GatewayStore(address="unused", prefix="p/"),
        retries=retries,
        deadlines=DeadlinesSection(),
    )
    control = HostControl(
        settings=settings,
        platform=platform,
        work=work,
        execute_order=lambda order: created[0].execute_order(order),
        is_leaving=lambda: created[0].is_leaving,
        clock=clock,
        rng=Random(name),
        transport=MemoryTransport(network=network, address=name),
    )
    host = Host(
        name=name, network=network, store=store, work=work, control=control, clock=clock, edge=edge
    )
    created.append(host)
    control.mesh.messages.subscribe(host.count)
    return host


async def _close() -> None:
    """Do nothing, since there is nothing to close."""


@dataclass(kw_only=True, eq=False)
class Fleet:
    """Hosts that share one store."""

    network: MemoryNetwork = field(default_factory=MemoryNetwork)
    backend: FakeBackend = field(default_factory=FakeBackend)
    retries: RetrySection = DEFAULT_RETRIES
    hosts: list[Host] = field(default_factory=list)

    async def start(self, *, count: int, domains: int, engines: int = 2) -> None:
        """Start hosts together, and wait until they have settled.

        :param count: Number of hosts; the first six have more cores than the others.
        :param domains: Number of failure domains.
        :param engines: Number of engines.
        """
        self.write(CONFIGURATION_KEY, "1")
        for number in range(engines):
            self.set_engine(f"e{number}")
        for number in range(count):
            cores = 2.15 if number < 6 else 0.5
            await self.add(f"host-{number:03}", number % domains, cores=cores)
        await asyncio.sleep(STARTUP_S)

    async def add(self, name: str, domain: int = 0, *, cores: float = 1.0) -> Host:
        """Start one more host."""
        host = make_host(
            self.network, self.backend, name, domain, cores=cores, retries=self.retries
        )
        await host.control.start()
        self.hosts.append(host)
        return host

    async def kill(self, host: Host) -> None:
        """End the process of a host."""
        self.hosts.remove(host)
        await host.stop()

    def freeze(self, host: Host) -> None:
        """Block all messages between a host and the others, without closing connections."""
        others = {other.name for other in self.hosts} - {host.name}
        self.network.frozen |= {frozenset((host.name, other)) for other in others}
        host.store.set_down(True)

    @property
    def coordinators(self) -> list[Host]:
        """The coordinators, in rank order."""
        names = self.hosts[0].control.directory.message().candidates[:4]
        by_name = {host.name: host for host in self.hosts}
        return [by_name[candidate.host] for candidate in names]

    @property
    def members(self) -> list[Host]:
        """The hosts that are not coordinators."""
        return [host for host in self.hosts if not host.is_coordinator]

    @property
    def received(self) -> int:
        """Number of messages received by all hosts, without heartbeats."""
        return sum(host.received for host in self.hosts)

    def set_engine(
        self,
        name: str,
        *,
        state: str = "ready",
        domain: str = "domain-0",
        warmup_ms: int = 0,
        sequence: int | None = None,
    ) -> None:
        """Write the entry of an engine."""
        counted = "" if sequence is None else f" {sequence}"
        self.write(f"{REGISTRY_PREFIX}{name}", f"{state} {domain} {warmup_ms}{counted}")

    def remove_engine(self, name: str) -> None:
        """Remove the entry of an engine."""
        self.remove(f"{REGISTRY_PREFIX}{name}")

    def evacuate(self, domain: str) -> None:
        """Evacuate a failure domain, so that it gets no requests."""
        self.write(f"{EVACUATION_PREFIX}{domain}", "{}")

    def end_evacuation(self, domain: str) -> None:
        """End the evacuation of a failure domain."""
        self.remove(f"{EVACUATION_PREFIX}{domain}")

    def remove(self, key: str) -> None:
        """Remove a key of the store."""
        self.backend.write(
            puts=[
                ConditionalPut(
                    key=key, value=None, expected_mod_revision=self._mod_revision_of(key)
                )
            ]
        )

    def write(self, key: str, value: str) -> None:
        """Write a key of the store."""
        put = ConditionalPut(
            key=key,
            value=value.encode(),
            expected_mod_revision=self._mod_revision_of(key),
            lease=LeaseId(0),
        )
        self.backend.write(puts=[put])

    def _mod_revision_of(self, key: str) -> StoreRevision:
        present = self.backend.entries.get(key)
        return StoreRevision(0) if present is None else present.mod_revision
