"""Hosts with the real dispatch and policy, engines with batch limits, and callers that come back.

Everything runs in one process in virtual time: for overload, mass failures and recovery.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import itertools
import math
import random
from typing import cast
from typing import final

from reactivex.subject import Subject
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import AttemptId
from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import Problem
from tanagerscale.core import Revision
from tanagerscale.core import UpstreamId
from tanagerscale.daemon._adapters import GateHealthRecorder
from tanagerscale.daemon._host import RETRY_RESERVE
from tanagerscale.daemon._quarantine_adapter import QuarantineAdapter
from tanagerscale.declarations import Declarations
from tanagerscale.delivery import WholeSink
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchParts
from tanagerscale.dispatch import Generation
from tanagerscale.dispatch import GenerationRequest
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.upstream import CacheEvents
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.generated.upstream import Refusal
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.generated.upstream import TokenEvent
from tanagerscale.membership import Mesh
from tanagerscale.membership import Message
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import UpstreamGate
from tanagerscale.policy import AccountSpec
from tanagerscale.policy import RetryBudget
from tanagerscale.policy import make_scheduler
from tanagerscale.quarantine import Quarantine
from tanagerscale.routing import PoolRouter
from tanagerscale.upstreams import TokenBatches
from tanagerscale.upstreams import UpstreamError
from tanagerscale.upstreams import UpstreamErrorKind
from tanagerscale.usage import UsageMeter
from testing._fake_store import FakeBackend
from testing._fake_store import FakeStore
from testing._routing_fakes import MODEL
from testing._routing_fakes import FakeNetwork
from testing._routing_fakes import Switch
from testing._routing_fakes import make_engines

STEP_MS = 50
TOKENS_PER_EVENT = 5
SHORTEST = 10
LONGEST = 40
MEMORY_TOKENS = 60_000
ACCOUNT = ClientAccountId("crew")
POISON_PREFIX = "poison"
"""A prompt that starts with this crashes the engine that runs it."""
CRASH_AT = 10
"""Number of generated tokens after which such a prompt crashes its engine."""


@dataclass(kw_only=True)
class _Run:
    request: EngineRequest
    length: int
    made: int = 0
    lost: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    work: asyncio.Task[None] | None = None

    def tell(self) -> None:
        """Wake whoever follows the run."""
        self.changed.set()
        self.changed = asyncio.Event()


@final
class BatchEngine:
    """Runs a limited batch and queues the rest; it can die and be started again.

    :param clock: Time.
    :param max_batch: Most attempts that make tokens at once.
    """

    def __init__(self, *, clock: Clock, max_batch: int) -> None:
        self._clock = clock
        self.max_batch = max_batch
        self._slots = asyncio.Semaphore(max_batch)
        self._runs: dict[str, _Run] = {}
        self.dead = False
        self.starts: Counter[str] = Counter()
        """How often each prompt was started."""

    def die(self) -> None:
        """Lose everything that runs."""
        self.dead = True
        for run in self._runs.values():
            run.lost = True
            assert run.work is not None
            run.work.cancel()
            run.tell()
        self._runs.clear()
        self._slots = asyncio.Semaphore(self.max_batch)

    def revive(self) -> None:
        """Start again, empty."""
        self.dead = False

    async def generate(self, *, request: EngineRequest) -> TokenBatches:
        """Start an attempt."""
        if self.dead:
            yield _failed(UpstreamErrorKind.NOT_SENT)
            return
        length = random.Random(request.prompt).randint(SHORTEST, LONGEST)
        run = _Run(request=request, length=length)
        self._runs[request.attempt_id] = run
        self.starts[request.prompt] += 1
        run.work = asyncio.get_running_loop().create_task(self._make(run))
        async for batch in self._follow(run, 0):
            yield batch

    async def resume(self, *, attempt: AttemptId, offset: int) -> TokenBatches:
        """Follow an attempt."""
        if self.dead:
            yield _failed(UpstreamErrorKind.NOT_SENT)
            return
        if attempt not in self._runs:
            refusal = Refusal(kind=RefusalKind.UNKNOWN_GENERATION)
            kind = UpstreamErrorKind.REFUSED
            yield Failure(UpstreamError(kind=kind, detail="Unknown.", refusal=refusal))
            return
        async for batch in self._follow(self._runs[attempt], offset):
            yield batch

    async def _make(self, run: _Run) -> None:
        async with self._slots:
            while run.made < run.length:
                step = min(TOKENS_PER_EVENT, run.length - run.made)
                await self._clock.sleep(step * STEP_MS)
                run.made += step
                run.tell()
                if run.made >= CRASH_AT and run.request.prompt.startswith(POISON_PREFIX):
                    asyncio.get_running_loop().call_soon(self.die)
                    return

    async def _follow(self, run: _Run, offset: int) -> TokenBatches:
        attempt = AttemptId(run.request.attempt_id)
        yield Success(())
        while not run.lost:
            if run.made > offset:
                yield Success(
                    tuple(
                        TokenEvent(attempt_id=attempt, offset=at, text=f"w{at} ")
                        for at in range(offset, run.made)
                    )
                )
                offset = run.made
            elif offset == run.length:
                self._runs.pop(attempt, None)
                reason = FinishReason.STOP
                yield Success(
                    (TokenEvent(attempt_id=attempt, offset=offset, finish_reason=reason),)
                )
                return
            else:
                await run.changed.wait()
        yield _failed(UpstreamErrorKind.BROKEN)

    async def cancel(self, *, attempt: AttemptId) -> Result[None, UpstreamError]:
        """Stop an attempt."""
        if self.dead:
            return _failed(UpstreamErrorKind.NOT_SENT)
        run = self._runs.pop(attempt, None)
        if run is not None and run.work is not None:
            run.work.cancel()
        return Success(None)

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Report what runs and waits."""
        if self.dead:
            return _failed(UpstreamErrorKind.NOT_SENT)
        runs = len(self._runs)
        return Success(
            LoadReport(
                running=min(runs, self.max_batch),
                waiting=max(runs - self.max_batch, 0),
                used_tokens=sum(run.made for run in self._runs.values()),
                memory_tokens=MEMORY_TOKENS,
            )
        )

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Report no event."""
        return Success(CacheEvents(events=[], next_sequence=after))

    async def state(self) -> Result[EngineState, UpstreamError]:
        """Fail, since nobody here asks."""
        return _failed(UpstreamErrorKind.MALFORMED)

    async def order(self, *, order: EngineOrder) -> Result[EngineState, UpstreamError]:
        """Fail, since nobody here orders."""
        return _failed(UpstreamErrorKind.MALFORMED)


@final
class _Network(FakeNetwork):
    """A host's view of the others, with what the quarantine asks of a mesh."""

    def __init__(self, *, host: HostId, switch: Switch) -> None:
        super().__init__(host=host, switch=switch)
        self.joined: Subject[PeerInfo] = Subject()

    def broadcast(self, *, message: Message) -> None:
        """Send a message to all other live hosts."""
        for peer in self.live.value:
            self.send(host=peer.host, message=message)


@final
class CrowdedHost:
    """What one host runs between its callers and the engines.

    :param name: Its id.
    :param world: All hosts and engines.
    :param declared: Declared engines.
    :param reserve: Retries saved up.
    """

    def __init__(
        self, *, name: str, world: CrowdedWorld, declared: Sequence[Engine], reserve: float
    ) -> None:
        clock = world.clock
        self.network = network = _Network(host=HostId(name), switch=world.switch)
        world.switch.networks[network.host] = network
        gate = UpstreamGate(clock=clock, rng=random.Random(name), spread=lambda _message: None)
        self.router = PoolRouter(
            network=network,
            gate=gate,
            make_scheduler=lambda: make_scheduler(
                objective=Objective(), accounts={ACCOUNT: AccountSpec()}, rng=random.Random(name)
            ),
            clock=clock,
            rng=random.Random(name),
            engine_clients=world.engines.__getitem__,
        )
        declarations = Declarations.from_set(
            declarations=DeclarationSet(
                objective=Objective(), models=[], accounts=[], engines=list(declared)
            ),
            revision=Revision(1),
        )
        quarantine = Quarantine(
            store=FakeStore(backend=world.store),
            prefix="/t",
            host=network.host,
            clock=clock,
            rng=random.Random(name),
        )
        crashes = QuarantineAdapter(
            quarantine=quarantine,
            mesh=cast(Mesh, network),
            declarations=lambda: declarations,
            clock=clock,
        )
        crashes.start()
        self.parts = DispatchParts(
            router=self.router,
            client_of=world.engines.__getitem__,
            notes=GateHealthRecorder(gate=gate),
            crashes=crashes,
            retries=RetryBudget(reserve=reserve),
            canceller=Canceller(client_of=world.engines.__getitem__, clock=clock),
            meter=UsageMeter(clock=clock, objective=Objective),
            clock=clock,
            rng=random.Random(name),
        )
        self.router.set_engines(declared)


@dataclass(frozen=True, kw_only=True, slots=True)
class Refused:
    """One refusal as its caller saw it.

    :param problem: What it said.
    :param came: When the request came.
    :param told: When it was refused.
    """

    problem: Problem
    came: Millis
    told: Millis

    @property
    def returns(self) -> Millis:
        """When a caller that obeys the Retry-After of the reply comes back, which is in seconds."""
        assert self.problem.retry_after_ms is not None
        return Millis(self.told + math.ceil(self.problem.retry_after_ms / 1000) * 1000)


@final
class CrowdedWorld:
    """Hosts, engines and callers.

    :param hosts: How many hosts.
    :param engines: How many engines.
    :param max_batch: Most attempts that an engine runs at once.
    :param reserve: Retries that a host saves up.
    :param seed: Seeds the callers' choices.
    :param clock: Clock of all hosts; its wall clock must be virtual if quarantines must expire.
    """

    def __init__(
        self,
        *,
        hosts: int = 3,
        engines: int = 4,
        max_batch: int = 8,
        reserve: float = RETRY_RESERVE,
        seed: int = 1,
        clock: Clock | None = None,
    ) -> None:
        self.clock = clock or Clock()
        self.switch = Switch()
        self.store = FakeBackend()
        declared = make_engines(number=engines, max_batch=max_batch)
        self.engines = {
            UpstreamId(each.name): BatchEngine(clock=self.clock, max_batch=max_batch)
            for each in declared
        }
        self.done: list[Millis] = []
        self.refused: list[Refused] = []
        self.asked = 0
        self._rng = random.Random(seed)
        self._callers: set[asyncio.Task[None]] = set()
        names = [f"host-{number}" for number in range(hosts)]
        self.hosts = [
            CrowdedHost(name=name, world=self, declared=declared, reserve=reserve) for name in names
        ]
        for host in self.hosts:
            host.router.set_known_hosts(hosts)
            host.router.start()
        self.switch.show_all(names)

    @property
    def capacity(self) -> float:
        """Answers a second that all engines make together."""
        mean_ms = (SHORTEST + LONGEST) / 2 * STEP_MS
        return sum(engine.max_batch for engine in self.engines.values()) * 1000 / mean_ms

    @property
    def retries(self) -> int:
        """Starts at engines beyond the first of each generation."""
        starts: Counter[str] = Counter()
        for engine in self.engines.values():
            starts.update(engine.starts)
        return starts.total() - len(starts)

    @property
    def started(self) -> int:
        """Generations that an engine has begun."""
        return len({prompt for engine in self.engines.values() for prompt in engine.starts})

    async def ask_until(self, end_ms: int, *, load: float) -> None:
        """Let new callers come at random until a time, each of whom stays until it is served.

        :param load: Their part of what all engines can do.
        """
        while self.clock.now() < end_ms:
            await asyncio.sleep(self._rng.expovariate(load * self.capacity))
            self.start_caller()

    def start_caller(self) -> None:
        """Let one caller come."""
        self.asked += 1
        task = asyncio.get_running_loop().create_task(self._call(f"caller-{self.asked}"))
        self._callers.add(task)
        task.add_done_callback(self._callers.discard)

    async def finish(self) -> None:
        """Wait until every caller has its answer."""
        while self._callers:
            await asyncio.wait(set(self._callers))

    def useful_per_s(self, begin_ms: int, end_ms: int) -> float:
        """Return whole answers a second between two times."""
        done = sum(begin_ms <= when < end_ms for when in self.done)
        return done * 1000 / (end_ms - begin_ms)

    async def _call(self, name: str) -> None:
        for attempt in itertools.count():
            came = self.clock.now()
            host = self._rng.choice(self.hosts)
            request = generation_request(name, f"{name}.{attempt}")
            result = await Generation(request=request, sink=WholeSink(), parts=host.parts).run()
            if isinstance(result, Success):
                self.done.append(self.clock.now())
                return
            refused = Refused(problem=result.failure(), came=came, told=self.clock.now())
            self.refused.append(refused)
            await self.clock.sleep(refused.returns - self.clock.now())


def generation_request(caller: str, generation: str) -> GenerationRequest:
    """Return a request; requests of the same caller have the same fingerprint."""
    return GenerationRequest(
        generation=GenerationId(generation),
        account=ACCOUNT,
        model=MODEL,
        version="1",
        adapter="",
        prompt=generation,
        prompt_tokens=20,
        max_tokens=200,
        seed=7,
        priority=1,
        request_class="",
        prefix="",
        prefix_tokens=0,
        whole=True,
        fingerprint=caller,
    )


def _failed(kind: UpstreamErrorKind) -> Failure[UpstreamError]:
    return Failure(UpstreamError(kind=kind, detail="As the test asks."))
