"""Conditions that change while a generation waits at a real router with a real quarantine."""

from __future__ import annotations

import asyncio
from random import Random
from typing import cast

import pytest
from reactivex.subject import BehaviorSubject
from reactivex.subject import Subject
from returns.result import Result
from returns.result import Success

from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import Execution
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import ModelId
from tanagerscale.core import Problem
from tanagerscale.core import ProblemKind
from tanagerscale.core import Revision
from tanagerscale.core import UpstreamId
from tanagerscale.daemon import GateHealthRecorder
from tanagerscale.daemon._quarantine_adapter import QuarantineAdapter
from tanagerscale.declarations import Declarations
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchContext
from tanagerscale.dispatch import EngineReachability
from tanagerscale.dispatch import Finish
from tanagerscale.dispatch import Generation
from tanagerscale.dispatch import GenerationRequest
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.messages import Verdict
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.membership import Mesh
from tanagerscale.policy import RetryBudget
from tanagerscale.quarantine import Fingerprint
from tanagerscale.quarantine import Quarantine
from tanagerscale.quarantine import RunEnd
from tanagerscale.usage import UsageMeter
from testing._fake_engine import FakeEngine
from testing._fake_engine import Faults
from testing._fake_engine import ListSink
from testing._fake_store import FakeStore
from testing._routing_fakes import MODEL
from testing._routing_fakes import Cluster
from testing._routing_fakes import make_engines
from testing._routing_fakes import make_request

pytestmark = pytest.mark.looptime

HOST = "a"


class MeshWithoutPeers:
    """The part of the mesh that the quarantine uses."""

    def __init__(self) -> None:
        self.messages: Subject[object] = Subject()
        self.joined: Subject[object] = Subject()
        self.live: BehaviorSubject[tuple[object, ...]] = BehaviorSubject(())

    def broadcast(self, *, message: object) -> None:
        """Do nothing."""


class Host:
    """One host and its engines.

    :param engines: Number of engines.
    :param max_batch: Number of requests that an engine runs at the same time.
    :param step_ms: Time in which an engine generates one token.
    """

    def __init__(self, *, engines: int = 2, max_batch: int = 1, step_ms: int = 10) -> None:
        clock = Clock()
        declared = make_engines(number=engines, max_batch=max_batch)
        self.cluster = Cluster(hosts=[HOST], engines=declared)
        self.gate = self.cluster.host(HOST).gate
        self.engines = {
            UpstreamId(each.name): FakeEngine(clock=clock, faults=Faults(), step_ms=step_ms)
            for each in declared
        }
        declarations = Declarations.from_set(
            declarations=DeclarationSet(
                objective=Objective(), models=[], accounts=[], engines=declared
            ),
            revision=Revision(1),
        )
        self.quarantine = Quarantine(
            store=FakeStore(), prefix="/t", host=HostId(HOST), clock=clock, rng=Random(1)
        )
        adapter = QuarantineAdapter(
            quarantine=self.quarantine,
            mesh=cast(Mesh, MeshWithoutPeers()),
            declarations=lambda: declarations,
            clock=clock,
        )
        adapter.start()
        self.context = DispatchContext(
            router=self.cluster.host(HOST).router,
            get_client=self.engines.__getitem__,
            reachability=EngineReachability(get_client=self.engines.__getitem__, clock=clock),
            observer=GateHealthRecorder(gate=self.gate),
            crash_watch=adapter,
            retries=RetryBudget(),
            canceller=Canceller(get_client=self.engines.__getitem__, clock=clock),
            meter=UsageMeter(clock=clock, objective=Objective),
            clock=clock,
            rng=Random(2),
        )

    def start(self, name: str) -> asyncio.Task[Result[Finish, Problem]]:
        """Start a generation of four tokens; all have the same fingerprint."""
        request = GenerationRequest(
            generation=GenerationId(name),
            account=ClientAccountId("north"),
            model=ModelId(MODEL),
            version="1",
            adapter="",
            prompt="plan",
            prompt_tokens=1,
            max_tokens=4,
            seed=7,
            priority=1,
            request_class="",
            prefix="",
            prefix_tokens=0,
            whole=False,
            fingerprint="f",
        )
        generation = Generation(request=request, sink=ListSink(), context=self.context)
        return asyncio.create_task(generation.run())

    async def fill_engines(self) -> None:
        """Occupy every engine with a placement ``filler-N``."""
        for number in range(len(self.engines)):
            await self.cluster.place(HOST, f"filler-{number}")


async def test_copy_gets_the_idle_engine_when_the_other_copy_has_ended() -> None:
    # Guards against waiting for the engine of a copy that has ended while another one is idle.
    host = Host(step_ms=500)
    await host.fill_engines()
    first = host.start("copy-1")
    second = host.start("copy-2")
    await asyncio.sleep(1)
    engine = host.cluster.placements()["filler-0"]
    host.cluster.release(HOST, "filler-0")
    await asyncio.sleep(0.5)
    host.cluster.release(HOST, "filler-1")
    await asyncio.sleep(0.5)
    assert not first.done()
    # A request that may only use the first copy's engine is before the second copy in the queue.
    other = next(name for name in host.engines if name != engine)
    scheduler = host.cluster.scheduler(HOST)
    before = make_request("filler-2", excluded=frozenset({other}))
    placing = asyncio.create_task(host.cluster.host(HOST).router.place(request=before))
    await asyncio.sleep(0.1)
    scheduler.queue = {before.generation: before, **scheduler.queue}
    await asyncio.wait({first}, timeout=10)
    assert first.done()
    await asyncio.sleep(1)
    assert placing.done()
    await asyncio.wait({second}, timeout=60)
    idle = [name for name in host.engines if name not in scheduler.running.values()]
    waiting = [sorted(request.excluded) for request in scheduler.queue.values()]
    assert second.done(), f"idle: {idle}, excluded by the waiting request: {waiting}"


async def _start_after_failure(host: Host) -> asyncio.Task[Result[Finish, Problem]]:
    """Start a generation whose first engine is unreachable for a moment, and the other one full."""
    placement = await host.cluster.place(HOST, "filler")
    free = next(name for name in host.engines if name != placement.engine)
    host.engines[free].faults.unreachable = True
    running = host.start("g")
    await asyncio.sleep(0.1)
    host.engines[free].faults.unreachable = False
    return running


async def test_waiting_request_is_sent_to_the_engine_that_was_unreachable_once_it_is_open() -> None:
    # Guards against waiting for a full engine while one that failed before is open and idle.
    host = Host()
    running = await _start_after_failure(host)
    await asyncio.wait({running}, timeout=60)
    assert running.done()
    assert running.result() == Success(Finish(FinishReason.STOP, 4))


async def test_waiting_request_is_not_refused_while_the_engine_that_failed_before_is_open() -> None:
    # Guards against a refusal while an open engine is idle.
    host = Host()
    running = await _start_after_failure(host)
    await asyncio.sleep(2)
    assert all(host.gate.is_open(name) for name in host.engines)
    host.gate.record_leaving(upstream=host.cluster.placements()["filler"])
    await asyncio.wait({running}, timeout=60)
    assert running.result() == Success(Finish(FinishReason.STOP, 4))


async def test_waiting_request_gets_the_full_engine_when_the_others_refuse_it_for_minutes() -> None:
    # Guards against using up all attempts on engines that keep refusing, such as while loading.
    host = Host(engines=4)
    await host.fill_engines()
    waiting_for = host.cluster.placements()["filler-0"]
    for number in range(1, 4):
        host.engines[host.cluster.placements()[f"filler-{number}"]].faults.refuse = (
            RefusalKind.NOT_LOADED
        )
        host.cluster.release(HOST, f"filler-{number}")
    running = host.start("g")
    await asyncio.sleep(300)
    host.cluster.release(HOST, "filler-0")
    await asyncio.wait({running}, timeout=60)
    assert running.result() == Success(Finish(FinishReason.STOP, 4))
    assert host.engines[waiting_for].executed


async def test_queued_request_is_refused_at_once_when_a_peer_convicts_it() -> None:
    # Guards against a queued request that is not refused before it gets an engine.
    host = Host()
    await host.fill_engines()
    waiting = host.start("g")
    await asyncio.sleep(5)
    verdict = Verdict(
        fingerprint="f",
        crashes=[],
        expires_wall_ms=Clock().wall() + 3_000_000,
        convicted=True,
    )
    host.quarantine.on_peer_verdict(verdict=verdict, peer=HostId("b"))
    await asyncio.sleep(0.01)
    assert waiting.done()
    assert waiting.result().failure().kind is ProblemKind.QUARANTINED


async def test_waiting_requests_need_no_tasks_or_timers_when_they_are_unrestricted() -> None:
    # Guards against a cost of each change or interval that grows with the waiting requests.
    host = Host()
    await host.fill_engines()
    tasks = len(asyncio.all_tasks())
    waiting = [host.start(f"g{number}") for number in range(50)]
    await asyncio.sleep(5)
    assert len(asyncio.all_tasks()) == tasks + len(waiting)
    checks = 0
    check = host.quarantine.check

    def count_checks(*, fingerprint: Fingerprint) -> Problem | None:
        nonlocal checks
        checks += 1
        return check(fingerprint=fingerprint)

    host.quarantine.check = count_checks  # type: ignore[method-assign]
    verdict = Verdict(
        fingerprint="other",
        crashes=[],
        expires_wall_ms=Clock().wall() + 3_000_000,
        convicted=True,
    )
    host.quarantine.on_peer_verdict(verdict=verdict, peer=HostId("b"))
    await asyncio.sleep(5)
    assert checks == 0
    for task in waiting:
        task.cancel()


@pytest.mark.parametrize("closes_later", [False, True])
async def test_request_is_refused_at_once_when_its_excluded_engine_is_closed_as_well(
    closes_later: bool,
) -> None:
    # Guards against waiting for three minutes for engines that are known to be leaving.
    host = Host()
    running, excluded = host.engines
    # A copy that runs on one engine excludes the other one.
    assert await host.quarantine.admit(fingerprint=Fingerprint("f"), engine=running)
    host.gate.record_leaving(upstream=running)
    if not closes_later:
        host.gate.record_leaving(upstream=excluded)
    waiting = host.start("g")
    await asyncio.sleep(0.5)
    assert waiting.done() != closes_later
    host.gate.record_leaving(upstream=excluded)
    await asyncio.sleep(0.5)
    problem = waiting.result().failure()
    assert problem.kind is ProblemKind.NO_UPSTREAM
    assert problem.execution is Execution.NOT_EXECUTED
    assert problem.retry_after_ms is not None


@pytest.mark.parametrize("first_ends", [False, True])
async def test_second_copy_of_a_request_is_stopped_when_the_first_one_has_ended(
    first_ends: bool,
) -> None:
    # Guards against a convicted request that runs on because a copy of it ended before.
    host = Host()
    engine = next(iter(host.engines))
    adapter = host.context.crash_watch
    stops = [asyncio.Event(), asyncio.Event()]
    for stop in stops:
        assert await adapter.admit(fingerprint="f", engine=engine, stop=stop, progress=lambda: 0)
    if first_ends:
        adapter.on_finished(fingerprint="f", engine=engine, stop=stops[0], complete=False)
    verdict = Verdict(
        fingerprint="f",
        crashes=[],
        expires_wall_ms=Clock().wall() + 600_000,
        convicted=True,
    )
    host.quarantine.on_peer_verdict(verdict=verdict, peer=HostId("b"))
    await asyncio.sleep(1)
    assert stops[1].is_set()
    assert stops[0].is_set() != first_ends


async def test_second_copy_is_refused_when_it_is_convicted_after_the_first_one_has_ended() -> None:
    # Guards against an answer to a convicted request because a copy of it ended before.
    host = Host(step_ms=5000, max_batch=2)
    first, second = (host.start("copy-1"), host.start("copy-2"))
    await asyncio.sleep(1)
    first.cancel()
    await asyncio.sleep(1)
    verdict = Verdict(
        fingerprint="f",
        crashes=[],
        expires_wall_ms=Clock().wall() + 600_000,
        convicted=True,
    )
    host.quarantine.on_peer_verdict(verdict=verdict, peer=HostId("b"))
    await asyncio.wait({second}, timeout=60)
    assert second.result().failure().kind is ProblemKind.QUARANTINED


async def test_waiting_copy_is_notified_when_a_new_copy_waits_after_the_running_one_ended() -> None:
    # Guards against a copy that keeps its exclusions because a later copy has none.
    host = Host()
    engine = next(iter(host.engines))
    adapter = host.context.crash_watch
    stop = asyncio.Event()
    notified = asyncio.Event()
    assert await adapter.admit(fingerprint="f", engine=engine, stop=stop, progress=lambda: 0)
    with adapter.watch(fingerprint="f", on_change=notified.set):
        adapter.on_finished(fingerprint="f", engine=engine, stop=stop, complete=True)
        with adapter.watch(fingerprint="f", on_change=lambda: None):
            await asyncio.sleep(1)
    assert notified.is_set()


@pytest.mark.parametrize("dies_later", [False, True])
async def test_request_is_refused_at_once_when_no_excluded_engine_is_alive(
    dies_later: bool,
) -> None:
    # Guards against waiting for dead engines at a host that has not tried them itself.
    host = Host()
    running, excluded = host.engines
    assert await host.quarantine.admit(fingerprint=Fingerprint("f"), engine=running)
    host.gate.record_leaving(upstream=running)
    host.engines[excluded].faults.unreachable = not dies_later
    waiting = host.start("g")
    await asyncio.sleep(1)
    assert waiting.done() != dies_later
    host.engines[excluded].faults.unreachable = True
    await asyncio.sleep(1)
    problem = waiting.result().failure()
    assert problem.kind is ProblemKind.NO_UPSTREAM
    assert problem.execution is Execution.NOT_EXECUTED
    assert problem.retry_after_ms is not None


async def test_request_waits_for_the_verdict_when_its_copy_was_lost_with_the_last_engine() -> None:
    # Guards against callers who are told to send a request again that crashes engines.
    host = Host()
    running, excluded = host.engines
    assert await host.quarantine.admit(fingerprint=Fingerprint("f"), engine=running)
    host.gate.record_leaving(upstream=excluded)
    for engine in host.engines.values():
        engine.faults.unreachable = True
    waiting = host.start("g")
    await asyncio.sleep(5)
    assert not waiting.done()
    host.quarantine.on_finished(fingerprint=Fingerprint("f"), engine=running, end=RunEnd.CANCELLED)
    await asyncio.sleep(1)
    assert waiting.result().failure().kind is ProblemKind.NO_UPSTREAM
