"""Simulation of hosts with real dispatch and policy, engines with batch limits, and callers.

Everything runs in one process in virtual time. It is used for tests of overload, mass failures and
recovery. Callers that are refused retry after the time in Retry-After.
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
from tanagerscale.delivery import BufferedSink
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchContext
from tanagerscale.dispatch import EngineReachability
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
MIN_ANSWER_TOKENS = 10
MAX_ANSWER_TOKENS = 40
MEMORY_TOKENS = 60_000
ACCOUNT = ClientAccountId("crew")
CRASHING_PREFIX = "poison"
"""Prefix of prompts that crash the engine that runs them."""
CRASH_AFTER_TOKENS = 10
"""Number of generated tokens after which such a prompt crashes its engine."""


@dataclass(kw_only=True)
class _Run:
    request: EngineRequest
    length: int
    generated: int = 0
    lost: bool = False
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    task: asyncio.Task[None] | None = None

    def notify(self) -> None:
        """Wake all followers of the run."""
        self.changed.set()
        self.changed = asyncio.Event()


@final
class SimulatedEngine:
    """Engine that runs a limited batch and queues the rest; it can crash and be restarted.

    :param clock: Clock of the simulation.
    :param max_batch: Maximum number of attempts that generate tokens at the same time.
    """

    def __init__(self, *, clock: Clock, max_batch: int) -> None:
        self._clock = clock
        self.max_batch = max_batch
        self._slots = asyncio.Semaphore(max_batch)
        self._runs: dict[str, _Run] = {}
        self._lost_runs: list[_Run] = []
        self.crashed = False
        self.starts: Counter[str] = Counter()
        """Number of times that each prompt was started."""
        self.polls_fail = asyncio.Event()
        """While not set, a poll of the crashed engine hangs instead of failing."""
        self.polls_fail.set()

    @property
    def attempts(self) -> int:
        """Number of attempts that run or are queued."""
        return len(self._runs)

    def crash(self, *, keep_connections: bool = False) -> None:
        """Crash and lose all attempts.

        :param keep_connections: Whether callers lose their connections only when
            ``break_connections`` is called.
        """
        self.crashed = True
        for run in self._runs.values():
            run.lost = True
            assert run.task is not None
            run.task.cancel()
        self._lost_runs += self._runs.values()
        self._runs.clear()
        self._slots = asyncio.Semaphore(self.max_batch)
        if not keep_connections:
            self.break_connections()

    def break_connections(self) -> None:
        """Break the connections of callers whose attempts were lost."""
        for run in self._lost_runs:
            run.notify()
        self._lost_runs.clear()

    def restart(self) -> None:
        """Restart without any attempt."""
        self.crashed = False

    async def generate(self, *, request: EngineRequest) -> TokenBatches:
        """Start an attempt."""
        if self.crashed:
            yield _failure(UpstreamErrorKind.NOT_SENT)
            return
        run = _Run(request=request, length=answer_length(request.prompt))
        self._runs[request.attempt_id] = run
        self.starts[request.prompt] += 1
        run.task = asyncio.get_running_loop().create_task(self._generate_tokens(run))
        async for batch in self._follow(run, 0):
            yield batch

    async def resume(self, *, attempt: AttemptId, offset: int) -> TokenBatches:
        """Follow an attempt."""
        if self.crashed:
            yield _failure(UpstreamErrorKind.NOT_SENT)
            return
        if attempt not in self._runs:
            refusal = Refusal(kind=RefusalKind.UNKNOWN_GENERATION)
            kind = UpstreamErrorKind.REFUSED
            yield Failure(UpstreamError(kind=kind, detail="Unknown.", refusal=refusal))
            return
        async for batch in self._follow(self._runs[attempt], offset):
            yield batch

    async def _generate_tokens(self, run: _Run) -> None:
        async with self._slots:
            while run.generated < run.length:
                step = min(TOKENS_PER_EVENT, run.length - run.generated)
                await self._clock.sleep(step * STEP_MS)
                run.generated += step
                run.notify()
                if run.generated >= CRASH_AFTER_TOKENS and run.request.prompt.startswith(
                    CRASHING_PREFIX
                ):
                    asyncio.get_running_loop().call_soon(self.crash)
                    return

    async def _follow(self, run: _Run, offset: int) -> TokenBatches:
        attempt = AttemptId(run.request.attempt_id)
        yield Success(())
        while not run.lost:
            if run.generated > offset:
                yield Success(
                    tuple(
                        TokenEvent(attempt_id=attempt, offset=at, text=f"w{at} ")
                        for at in range(offset, run.generated)
                    )
                )
                offset = run.generated
            elif offset == run.length:
                self._runs.pop(attempt, None)
                reason = FinishReason.STOP
                yield Success(
                    (TokenEvent(attempt_id=attempt, offset=offset, finish_reason=reason),)
                )
                return
            else:
                await run.changed.wait()
        yield _failure(UpstreamErrorKind.BROKEN)

    async def cancel(self, *, attempt: AttemptId) -> Result[None, UpstreamError]:
        """Stop an attempt."""
        if self.crashed:
            return _failure(UpstreamErrorKind.NOT_SENT)
        run = self._runs.pop(attempt, None)
        if run is not None and run.task is not None:
            run.task.cancel()
        return Success(None)

    async def load(self) -> Result[LoadReport, UpstreamError]:
        """Return the load, or a failure if the engine has crashed."""
        if self.crashed:
            await self.polls_fail.wait()
        if self.crashed:
            return _failure(UpstreamErrorKind.NOT_SENT)
        runs = self.attempts
        return Success(
            LoadReport(
                running=min(runs, self.max_batch),
                waiting=max(runs - self.max_batch, 0),
                used_tokens=sum(run.generated for run in self._runs.values()),
                memory_tokens=MEMORY_TOKENS,
            )
        )

    async def cache_events(self, *, after: int) -> Result[CacheEvents, UpstreamError]:
        """Return no events."""
        return Success(CacheEvents(events=[], next_sequence=after))

    async def state(self) -> Result[EngineState, UpstreamError]:
        """Fail, because the simulation does not use this call."""
        return _failure(UpstreamErrorKind.MALFORMED)

    async def order(self, *, order: EngineOrder) -> Result[EngineState, UpstreamError]:
        """Fail, because the simulation sends no orders."""
        return _failure(UpstreamErrorKind.MALFORMED)


@final
class _Network(FakeNetwork):
    """Network of one host, with the additional mesh interface that the quarantine uses."""

    def __init__(self, *, host: HostId, switch: Switch) -> None:
        super().__init__(host=host, switch=switch)
        self.joined: Subject[PeerInfo] = Subject()

    def broadcast(self, *, message: Message) -> None:
        """Send a message to all other live hosts."""
        for peer in self.live.value:
            self.send(host=peer.host, message=message)


@final
class SimulatedHost:
    """Router, quarantine and dispatch of one host.

    :param name: Id of the host.
    :param simulation: The simulation that the host belongs to.
    :param declared: Declared engines.
    :param reserve: Reserve of the retry budget, in retries.
    """

    def __init__(
        self, *, name: str, simulation: Simulation, declared: Sequence[Engine], reserve: float
    ) -> None:
        clock = simulation.clock
        self.network = network = _Network(host=HostId(name), switch=simulation.switch)
        simulation.switch.networks[network.host] = network
        gate = UpstreamGate(clock=clock, rng=random.Random(name), broadcast=lambda _message: None)
        self.router = PoolRouter(
            network=network,
            gate=gate,
            make_scheduler=lambda: make_scheduler(
                objective=Objective(), accounts={ACCOUNT: AccountSpec()}, rng=random.Random(name)
            ),
            clock=clock,
            rng=random.Random(name),
            get_client=simulation.engines.__getitem__,
        )
        declarations = Declarations.from_set(
            declarations=DeclarationSet(
                objective=Objective(), models=[], accounts=[], engines=list(declared)
            ),
            revision=Revision(1),
        )
        quarantine = Quarantine(
            store=FakeStore(backend=simulation.store),
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
        self.context = DispatchContext(
            router=self.router,
            get_client=simulation.engines.__getitem__,
            reachability=EngineReachability(get_client=simulation.engines.__getitem__, clock=clock),
            observer=GateHealthRecorder(gate=gate),
            crash_watch=crashes,
            retries=RetryBudget(reserve=reserve),
            canceller=Canceller(get_client=simulation.engines.__getitem__, clock=clock),
            meter=UsageMeter(clock=clock, objective=Objective),
            clock=clock,
            rng=random.Random(name),
        )
        self.router.set_engines(declared)


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedCall:
    """A call that was refused.

    :param problem: Problem returned to the caller.
    :param arrived_at: When the request arrived.
    :param refused_at: When the request was refused.
    """

    problem: Problem
    arrived_at: Millis
    refused_at: Millis

    @property
    def retry_at(self) -> Millis:
        """When a caller retries that obeys the Retry-After of the reply, which is in seconds."""
        assert self.problem.retry_after_ms is not None
        return Millis(self.refused_at + math.ceil(self.problem.retry_after_ms / 1000) * 1000)


@final
class Simulation:
    """Hosts, engines and callers that share one virtual clock.

    :param hosts: Number of hosts.
    :param engines: Number of engines.
    :param max_batch: Maximum number of attempts that an engine runs at the same time.
    :param reserve: Reserve of the retry budget of each host, in retries.
    :param seed: Seed for the arrival times of callers and their choice of hosts.
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
            UpstreamId(each.name): SimulatedEngine(clock=self.clock, max_batch=max_batch)
            for each in declared
        }
        self.completed_at: list[Millis] = []
        self.refused: list[RefusedCall] = []
        self.started_callers = 0
        self._rng = random.Random(seed)
        self._callers: set[asyncio.Task[None]] = set()
        names = [f"host-{number}" for number in range(hosts)]
        self.hosts = [
            SimulatedHost(name=name, simulation=self, declared=declared, reserve=reserve)
            for name in names
        ]
        for host in self.hosts:
            host.router.set_expected_hosts(hosts)
            host.router.start()
        self.switch.connect_all(names)

    @property
    def capacity(self) -> float:
        """Maximum number of answers per second of all engines together."""
        mean_ms = (MIN_ANSWER_TOKENS + MAX_ANSWER_TOKENS) / 2 * STEP_MS
        return sum(engine.max_batch for engine in self.engines.values()) * 1000 / mean_ms

    @property
    def retries(self) -> int:
        """Number of starts on engines beyond the first start of each generation."""
        starts: Counter[str] = Counter()
        for engine in self.engines.values():
            starts.update(engine.starts)
        return starts.total() - len(starts)

    @property
    def started(self) -> int:
        """Number of generations that were started on at least one engine."""
        return len({prompt for engine in self.engines.values() for prompt in engine.starts})

    async def generate_load(self, end_ms: int, *, load: float) -> None:
        """Start callers at random times until a given time; each retries until it is served.

        :param end_ms: Time at which the last caller may start.
        :param load: Arrival rate as a fraction of the capacity of all engines.
        """
        while self.clock.now() < end_ms:
            await asyncio.sleep(self._rng.expovariate(load * self.capacity))
            self.start_caller()

    def start_caller(self) -> None:
        """Start one caller."""
        self.started_callers += 1
        task = asyncio.get_running_loop().create_task(self._call(f"caller-{self.started_callers}"))
        self._callers.add(task)
        task.add_done_callback(self._callers.discard)

    async def wait_for_callers(self) -> None:
        """Wait until all callers have received their answers."""
        while self._callers:
            await asyncio.wait(set(self._callers))

    def completed_per_s(self, begin_ms: int, end_ms: int) -> float:
        """Return the number of complete answers per second between two times."""
        done = sum(begin_ms <= when < end_ms for when in self.completed_at)
        return done * 1000 / (end_ms - begin_ms)

    async def _call(self, name: str) -> None:
        for attempt in itertools.count():
            arrived_at = self.clock.now()
            host = self._rng.choice(self.hosts)
            request = generation_request(name, f"{name}.{attempt}")
            result = await Generation(
                request=request, sink=BufferedSink(), context=host.context
            ).run()
            if isinstance(result, Success):
                self.completed_at.append(self.clock.now())
                return
            refused = RefusedCall(
                problem=result.failure(), arrived_at=arrived_at, refused_at=self.clock.now()
            )
            self.refused.append(refused)
            await self.clock.sleep(refused.retry_at - self.clock.now())


def answer_length(prompt: str) -> int:
    """Return the number of tokens in the answer to a prompt."""
    return random.Random(prompt).randint(MIN_ANSWER_TOKENS, MAX_ANSWER_TOKENS)


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


def _failure(kind: UpstreamErrorKind) -> Failure[UpstreamError]:
    return Failure(UpstreamError(kind=kind, detail="Failed by the simulation."))
