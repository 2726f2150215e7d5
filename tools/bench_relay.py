"""Compare the processor time per relayed token of the product with that of a bare proxy.

Uses three processes: a source of events, a relay, and this process as the caller. Each round runs
the bare proxy and the product's entry with the same number of streams and tokens.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import random
import statistics
import subprocess
import sys

import aiohttp
from aiohttp import web
import fire
import msgspec
import psutil
from returns.result import Result
from returns.result import Success

from tanagerscale.core import AttemptId
from tanagerscale.core import ClientAccountId
from tanagerscale.core import Clock
from tanagerscale.core import GenerationId
from tanagerscale.core import HostId
from tanagerscale.core import Problem
from tanagerscale.core import Revision
from tanagerscale.core import UpstreamId
from tanagerscale.daemon import GateHealthRecorder
from tanagerscale.daemon import HostAccountLimits
from tanagerscale.daemon import NoQuarantine
from tanagerscale.declarations import Declarations
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchContext
from tanagerscale.dispatch import EngineReachability
from tanagerscale.entry import CompletionContext
from tanagerscale.entry import CompletionHandlers
from tanagerscale.entry import RequestChecker
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import TokenEvent
from tanagerscale.membership import UpstreamGate
from tanagerscale.policy import PlacementRequest
from tanagerscale.policy import RetryBudget
from tanagerscale.routing import Placement
from tanagerscale.upstreams import HttpEngineClient
from tanagerscale.usage import UsageMeter

LOOPBACK = "127.0.0.1"
ENGINE = UpstreamId("engine-1")
ACCOUNT = ClientAccountId("bench")
MODEL = "bench-model"
ROUND_COUNT = 3


@dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """Load of one round.

    :param streams: Number of concurrent streams.
    :param tokens: Number of tokens per stream.
    :param gap_ms: Time between two tokens of a stream, in milliseconds.
    """

    streams: int
    tokens: int
    gap_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RoundResult:
    """Resource usage of the relay process in one round.

    :param cpu_us_per_token: Processor time per token, in microseconds.
    :param memory_kb_per_stream: Growth of resident memory per open stream, in kilobytes.
    """

    cpu_us_per_token: float
    memory_kb_per_stream: float


async def _serve(app: web.Application) -> None:
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, LOOPBACK, 0)
    await site.start()
    print(runner.addresses[0][1], flush=True)
    await asyncio.Event().wait()


def source(*, tokens: int, gap_ms: int) -> None:
    """Serve as an engine that sends tokens at a fixed rate.

    :param tokens: Number of tokens per answer.
    :param gap_ms: Time between two tokens, in milliseconds.
    """

    async def complete(request: web.Request) -> web.StreamResponse:
        attempt = msgspec.json.decode(await request.read())["attempt_id"]
        response = web.StreamResponse(headers={"X-Attempt-Id": attempt})
        await response.prepare(request)
        for offset in range(tokens):
            await asyncio.sleep(gap_ms / 1000)
            event = TokenEvent(attempt_id=attempt, offset=offset, text=" window")
            await response.write(_encode_event(event))
        end = TokenEvent(attempt_id=attempt, offset=tokens, finish_reason=FinishReason.STOP)
        await response.write(_encode_event(end))
        return response

    app = web.Application()
    app.router.add_post("/v1/completions", complete)
    asyncio.run(_serve(app))


def _encode_event(event: TokenEvent) -> bytes:
    return b"id: %d\ndata: " % event.offset + msgspec.json.encode(event) + b"\n\n"


def bare(*, engine_port: int) -> None:
    """Serve as a bare proxy that forwards chunks without parsing them.

    :param engine_port: Port of the source.
    """

    async def run() -> None:
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        url = f"http://{LOOPBACK}:{engine_port}/v1/completions"

        async def complete(request: web.Request) -> web.StreamResponse:
            body = msgspec.json.encode({"attempt_id": "att-bare", "model": MODEL, "prompt": "p"})
            await request.read()
            response = web.StreamResponse()
            await response.prepare(request)
            async with session.post(url, data=body) as upstream:
                async for chunk in upstream.content.iter_any():
                    await response.write(chunk)
            return response

        app = web.Application()
        app.router.add_post("/v1/completions", complete)
        await _serve(app)

    asyncio.run(run())


class SingleEngineRouter:
    """Router that places every generation on the only engine."""

    async def place(self, *, request: PlacementRequest) -> Result[Placement, Problem]:
        """Return a placement on the engine without waiting."""
        return Success(Placement(generation=request.generation, engine=ENGINE))

    def open_engines(self, *, request: PlacementRequest) -> frozenset[UpstreamId]:
        """Return the engine, which is always open."""
        return frozenset({ENGINE})

    def adopt(self, *, request: PlacementRequest, engine: UpstreamId, tokens: int) -> Placement:
        """Return a placement on the engine that runs the generation."""
        return Placement(generation=request.generation, engine=engine)

    def report_progress(self, *, generation: GenerationId, tokens: int) -> None:
        """Do nothing."""

    def release(
        self, *, generation: GenerationId, tokens: int, complete: bool, engine_lost: bool
    ) -> None:
        """Do nothing."""


def product(*, engine_port: int) -> None:
    """Serve as a relay with the product's entry, dispatch and delivery.

    :param engine_port: Port of the source.
    """

    async def run() -> None:
        completions = _build_completions(engine_port)

        async def complete(request: web.Request) -> web.StreamResponse:
            return await completions.complete(request=request, account=ACCOUNT, chat=False)

        app = web.Application()
        app.router.add_post("/v1/completions", complete)
        await _serve(app)

    asyncio.run(run())


def _build_completions(engine_port: int) -> CompletionHandlers:
    declared = DeclarationSet(
        objective=Objective(),
        models=[Model(name=MODEL, version="1")],
        accounts=[ClientAccount(name=ACCOUNT, key_hash="none")],
        engines=[
            Engine(
                name=ENGINE,
                address=f"{LOOPBACK}:{engine_port}",
                failure_domain="a",
                models=[MODEL],
            )
        ],
    )
    declarations = Declarations.from_set(declarations=declared, revision=Revision(1))
    clock = Clock()
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
    client = HttpEngineClient(session=session, address=f"{LOOPBACK}:{engine_port}")
    gate = UpstreamGate(clock=clock, rng=random.Random(1), broadcast=lambda _message: None)
    dispatch = DispatchContext(
        router=SingleEngineRouter(),
        get_client=lambda _engine: client,
        reachability=EngineReachability(get_client=lambda _engine: client, clock=clock),
        observer=GateHealthRecorder(gate=gate),
        crash_watch=NoQuarantine(),
        retries=RetryBudget(),
        canceller=Canceller(get_client=lambda _engine: client, clock=clock),
        meter=UsageMeter(clock=clock, objective=Objective),
        clock=clock,
        rng=random.Random(1),
    )
    return CompletionHandlers(
        context=CompletionContext(
            host=HostId("bench"),
            cursor_key=b"k" * 32,
            checker=RequestChecker(fingerprint_key=b"f" * 32, rng=random.Random(1)),
            dispatch=dispatch,
            declarations=lambda: declarations,
            limits=HostAccountLimits(clock=clock),
            notify_attached=_ignore_attachment,
        )
    )


def _ignore_attachment(_host: HostId, _attempt: AttemptId) -> None:
    return None


async def _run_load(port: int, process: psutil.Process, load: Load) -> RoundResult:
    url = f"http://{LOOPBACK}:{port}/v1/completions"
    body = {"model": MODEL, "prompt": "p", "stream": True}
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def stream() -> None:
        async with session.post(url, json=body) as response:
            async for _chunk in response.content.iter_any():
                pass

    await stream()
    memory_before = process.memory_info().rss
    before = process.cpu_times()
    streams = [asyncio.create_task(stream()) for _ in range(load.streams)]
    await asyncio.sleep(load.tokens * load.gap_ms / 2000)
    memory_open = process.memory_info().rss
    await asyncio.gather(*streams)
    after = process.cpu_times()
    await session.close()
    cpu_s = after.user + after.system - before.user - before.system
    return RoundResult(
        cpu_us_per_token=cpu_s * 1e6 / (load.streams * load.tokens),
        memory_kb_per_stream=(memory_open - memory_before) / load.streams / 1024,
    )


def _start_process(role: str, **options: int) -> tuple[subprocess.Popen[str], int]:
    options_list = [f"--{name}={value}" for name, value in options.items()]
    process = subprocess.Popen(
        [sys.executable, __file__, role, *options_list], stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None
    return process, int(process.stdout.readline())


def bench(*, streams: int = 200, tokens: int = 200, gap_ms: int = 20) -> None:
    """Run all rounds and print the medians.

    :param streams: Number of concurrent streams.
    :param tokens: Number of tokens per stream.
    :param gap_ms: Time between two tokens of a stream, in milliseconds.
    """
    load = Load(streams=streams, tokens=tokens, gap_ms=gap_ms)
    results: dict[str, list[RoundResult]] = {"bare": [], "product": []}
    for _ in range(ROUND_COUNT):
        for role, rounds in results.items():
            rounds.append(_measure_round(role, load))
    for role, rounds in results.items():
        cpu = statistics.median(result.cpu_us_per_token for result in rounds)
        memory = statistics.median(result.memory_kb_per_stream for result in rounds)
        print(f"{role}: {cpu:.1f} us of processor a token, {memory:.1f} KB an open stream")
    ratio = statistics.median(
        product_result.cpu_us_per_token / bare_result.cpu_us_per_token
        for product_result, bare_result in zip(results["product"], results["bare"], strict=True)
    )
    print(f"ratio: {ratio:.2f} (the aim is below 1.5)")


def _measure_round(role: str, load: Load) -> RoundResult:
    engine, engine_port = _start_process("source", tokens=load.tokens, gap_ms=load.gap_ms)
    relay, relay_port = _start_process(role, engine_port=engine_port)
    try:
        return asyncio.run(_run_load(relay_port, psutil.Process(relay.pid), load))
    finally:
        for process in (relay, engine):
            process.kill()
            process.wait()


ROLES: dict[str, Callable[..., None] | Callable[..., Awaitable[None]]] = {
    "source": source,
    "bare": bare,
    "product": product,
    "bench": bench,
}

if __name__ == "__main__":
    fire.Fire(ROLES)
