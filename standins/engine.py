"""Stand-in of a model engine: continuous batching, resume, cancellation, orders and faults."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
import os
from random import Random
from typing import final

from aiohttp import web
import msgspec
from msgspec.structs import replace

from standins._batch import Batch
from standins._batch import BatchLimits
from standins._batch import Sequence
from standins._common import cancel_task
from standins._common import json_response
from standins._common import read_json
from standins._common import run_main
from standins._common import serve
from standins._engine_options import EngineOptions
from standins._engine_options import parse_versions
from standins._engine_stream import EventStream
from standins._engine_types import ExecutionReport
from standins._engine_types import ExecutionReports
from standins._engine_types import LeaveRequest
from standins._engine_types import OutOfMemoryRequest
from standins._engine_types import StreamFault
from standins._engine_types import StreamFaultMode
from standins._model_manager import ModelManager
from standins._model_manager import StaleFenceError
from standins._prefix_cache import PrefixCache
from standins.journal import Journal
from standins.tokens import count_prompt_tokens
from tanagerscale.core import Clock
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.generated.upstream import Refusal
from tanagerscale.generated.upstream import RefusalKind

ATTEMPT_HEADER = "X-Attempt-Id"
CRASH_EXIT_STATUS = 139  # 128 + SIGSEGV
SAMPLE_INTERVAL_MS = 50
MAX_SAMPLES = 1_200
RETENTION_INTERVAL_MS = 500
MAX_BODY_BYTES = 8 << 20
REFUSAL_STATUS = {
    RefusalKind.LEAVING: 503,
    RefusalKind.NOT_LOADED: 503,
    RefusalKind.OVERLOADED: 503,
    RefusalKind.BAD_REQUEST: 400,
    RefusalKind.STALE_FENCE: 409,
    RefusalKind.UNKNOWN_GENERATION: 404,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class _Sample:
    sampled_at_ms: int
    report: LoadReport


@final
class EngineServer:
    """HTTP server of one engine.

    :param options: Options of the engine.
    """

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._clock = Clock()
        self._cache = PrefixCache(
            cache_tokens=options.cache_tokens,
            lag_ms=options.cache_lag_ms,
            drop_ratio=options.cache_gap,
            rng=Random(options.seed),
            clock=self._clock,
        )
        self._batch = Batch(
            limits=options.limits,
            clock=self._clock,
            cache=self._cache,
            journal=Journal(path=options.journal),
            crash=_crash,
        )
        self._model_manager = ModelManager(
            models=options.models,
            adapters=options.adapters,
            checks_fence=options.checks_fence,
            load_ms=options.load_ms,
            weights_url=options.weights_url,
            is_in_use=lambda name: self._batch.is_in_use(name=name),
            clock=self._clock,
        )
        self._sequences: dict[str, Sequence] = {}
        self._expired_reports: list[ExecutionReport] = []
        self._posts: Counter[str] = Counter()
        self._refusals: Counter[str] = Counter()
        self._samples: deque[_Sample] = deque(maxlen=MAX_SAMPLES)
        self._leaving = False
        self._fault = StreamFault()
        self._remaining_faults = 0
        self._open_streams = 0

    def app(self) -> web.Application:
        """Return the application to serve."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/v1/completions", self._generate),
                web.get("/v1/completions/{attempt}/events", self._resume),
                web.delete("/v1/completions/{attempt}", self._cancel),
                web.get("/load", self._get_load),
                web.get("/cache-events", self._get_cache_events),
                web.get("/state", self._get_state),
                web.post("/orders", self._post_order),
                web.post("/admin/leave", self._set_leaving),
                web.post("/admin/oom", self._trigger_out_of_memory),
                web.post("/admin/fault", self._set_fault),
                web.get("/admin/executions", self._get_executions),
                web.get("/admin/orders", self._get_orders),
            ]
        )
        app.cleanup_ctx.append(self._run_loops)
        return app

    async def _run_loops(self, _app: web.Application) -> AsyncIterator[None]:
        loops = (self._batch.run_forever(), self._sample_forever(), self._expire_forever())
        tasks = [asyncio.create_task(loop) for loop in loops]
        yield
        for task in tasks:
            await cancel_task(task)
        await self._model_manager.close()

    async def _sample_forever(self) -> None:
        while True:
            self._samples.append(
                _Sample(sampled_at_ms=self._clock.now(), report=self._batch.load_report())
            )
            await self._clock.sleep(SAMPLE_INTERVAL_MS)

    async def _expire_forever(self) -> None:
        while True:
            await self._clock.sleep(RETENTION_INTERVAL_MS)
            cutoff_ms = self._clock.now() - self._options.retention_ms
            for attempt, sequence in tuple(self._sequences.items()):
                if sequence.finish_reason is not None and sequence.finished_at_ms < cutoff_ms:
                    self._expired_reports.append(self._build_execution_report(sequence))
                    del self._sequences[attempt]

    async def _generate(self, request: web.Request) -> web.StreamResponse:
        try:
            body = msgspec.json.decode(await request.read(), type=EngineRequest)
        except msgspec.DecodeError as error:
            return self._refuse(RefusalKind.BAD_REQUEST, str(error))
        self._posts[body.attempt_id] += 1
        existing = self._sequences.get(body.attempt_id)
        if existing is not None:
            return await self._stream_events(request, existing, offset=0, is_resumed=True)
        if any(report.attempt_id == body.attempt_id for report in self._expired_reports):
            return self._refuse(RefusalKind.BAD_REQUEST, "This attempt has run before.")
        refusal = self._find_refusal(body)
        if refusal is not None:
            return self._refuse(refusal.kind, refusal.detail)
        version = self._model_manager.active_version(model=body.model) or ""
        sequence = self._batch.submit(body, version=version)
        self._sequences[body.attempt_id] = sequence
        return await self._stream_events(request, sequence, offset=0, is_resumed=False)

    def _find_refusal(self, body: EngineRequest) -> Refusal | None:
        if self._leaving or self._model_manager.is_draining:
            return Refusal(kind=RefusalKind.LEAVING, detail="The engine takes no new work.")
        version = self._model_manager.active_version(model=body.model)
        if version is None or (body.version and body.version != version):
            return Refusal(kind=RefusalKind.NOT_LOADED, detail=f"Not loaded: {body.model}.")
        if body.adapter and not self._model_manager.has_adapter(body.adapter):
            return Refusal(kind=RefusalKind.NOT_LOADED, detail=f"Not loaded: {body.adapter}.")
        if count_prompt_tokens(body.prompt) > self._options.limits.memory_tokens:
            return Refusal(kind=RefusalKind.BAD_REQUEST, detail="The prompt exceeds the memory.")
        if self._batch.is_full:
            return Refusal(kind=RefusalKind.OVERLOADED, detail="Too many requests wait.")
        return None

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        sequence = self._sequences.get(request.match_info["attempt"])
        if sequence is None:
            return self._refuse(RefusalKind.UNKNOWN_GENERATION, "No such attempt is kept.")
        offset = request.query.get("offset", "0")
        if not offset.isdecimal() or int(offset) > len(sequence.tokens):
            return self._refuse(RefusalKind.BAD_REQUEST, "No such offset exists yet.")
        return await self._stream_events(request, sequence, offset=int(offset), is_resumed=True)

    async def _stream_events(
        self, request: web.Request, sequence: Sequence, *, offset: int, is_resumed: bool
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
                ATTEMPT_HEADER: sequence.request.attempt_id,
            }
        )
        self._open_streams += 1
        try:
            await response.prepare(request)
            stream = EventStream(
                sequence=sequence,
                fault=self._next_fault(),
                is_resumed=is_resumed,
                clock=self._clock,
            )
            await stream.send(request=request, response=response, offset=offset)
        except ConnectionResetError:
            pass
        finally:
            self._open_streams -= 1
        return response

    def _next_fault(self) -> StreamFault:
        if self._fault.mode is StreamFaultMode.NONE or not self._fault.count:
            return self._fault
        if not self._remaining_faults:
            return StreamFault()
        self._remaining_faults -= 1
        return self._fault

    async def _cancel(self, request: web.Request) -> web.Response:
        sequence = self._sequences.get(request.match_info["attempt"])
        if sequence is None:
            return self._refuse(RefusalKind.UNKNOWN_GENERATION, "No such attempt is kept.")
        self._batch.finish(sequence, FinishReason.CANCELLED)
        return web.Response(status=204)

    async def _get_load(self, _request: web.Request) -> web.Response:
        now = self._clock.now()
        cutoff_ms = now - self._options.report_lag_ms
        published = [sample for sample in self._samples if sample.sampled_at_ms <= cutoff_ms]
        sample = published[-1] if published else self._samples[0]
        return json_response(
            replace(sample.report, leaving=self._leaving, age_ms=now - sample.sampled_at_ms)
        )

    async def _get_cache_events(self, request: web.Request) -> web.Response:
        after = request.query.get("after", "0")
        if not after.isdecimal():
            return self._refuse(RefusalKind.BAD_REQUEST, "'after' must be a number.")
        return json_response(self._cache.events(after=int(after)))

    async def _get_state(self, _request: web.Request) -> web.Response:
        return json_response(self._model_manager.state())

    async def _post_order(self, request: web.Request) -> web.Response:
        try:
            order = msgspec.json.decode(await request.read(), type=EngineOrder)
            self._model_manager.apply_order(order)
        except (msgspec.DecodeError, ValueError) as error:
            return self._refuse(RefusalKind.BAD_REQUEST, str(error))
        except StaleFenceError:
            return self._refuse(RefusalKind.STALE_FENCE, "A newer fencing number was seen.")
        return json_response(self._model_manager.state())

    async def _set_leaving(self, request: web.Request) -> web.Response:
        self._leaving = (await read_json(request, LeaveRequest)).leaving
        return json_response(LeaveRequest(leaving=self._leaving))

    async def _trigger_out_of_memory(self, request: web.Request) -> web.Response:
        body = await read_json(request, OutOfMemoryRequest)
        ended = self._batch.fail_running() if body.fail else self._batch.preempt_running()
        return json_response({"ended": ended})

    async def _set_fault(self, request: web.Request) -> web.Response:
        self._fault = await read_json(request, StreamFault)
        self._remaining_faults = self._fault.count
        return json_response(self._fault)

    async def _get_executions(self, _request: web.Request) -> web.Response:
        retained = [self._build_execution_report(sequence) for sequence in self._sequences.values()]
        load = self._batch.load_report()
        return json_response(
            ExecutionReports(
                executions=self._expired_reports + retained,
                preemptions=load.preemptions,
                tokens_generated=load.tokens_generated,
                followers=self._open_streams,
                refused=dict(self._refusals),
            )
        )

    async def _get_orders(self, _request: web.Request) -> web.Response:
        return json_response(self._model_manager.order_reports())

    def _build_execution_report(self, sequence: Sequence) -> ExecutionReport:
        attempt = sequence.request.attempt_id
        return ExecutionReport(
            attempt_id=attempt,
            model=sequence.request.model,
            tokens=len(sequence.tokens),
            executed=sequence.executed,
            posts=self._posts[attempt],
            preemptions=sequence.preemptions,
            finish_reason=sequence.finish_reason.value if sequence.finish_reason else "",
        )

    def _refuse(self, kind: RefusalKind, detail: str) -> web.Response:
        self._refusals[kind.value] += 1
        return json_response(Refusal(kind=kind, detail=detail), status=REFUSAL_STATUS[kind])


def _crash() -> None:
    os._exit(CRASH_EXIT_STATUS)


def main(
    port: int = 0,
    models: str = "",
    adapters: str = "",
    memory_tokens: int = 60_000,
    max_batch: int = 64,
    max_waiting: int = 1_000,
    step_ms: float = 10.0,
    sequence_ms: float = 0.1,
    cache_tokens: int = 8_192,
    cache_lag_ms: int = 500,
    cache_gap: float = 0.0,
    report_lag_ms: int = 500,
    load_ms: int = 500,
    retention_ms: int = 60_000,
    fencing: str = "checked",
    weights_url: str = "",
    seed: int = 0,
    journal: str = "",
) -> None:
    """Run the engine.

    :param port: Port on the loopback address; 0 selects a free one.
    :param models: Models loaded at the start, such as ``round-planner=2026-11,other=3``.
    :param adapters: Adapters loaded at the start, in the same form.
    :param memory_tokens: Capacity of the key-value memory, in tokens.
    :param max_batch: Maximum number of generations decoded together.
    :param max_waiting: Maximum number of waiting generations.
    :param step_ms: Fixed duration of one step, in milliseconds.
    :param sequence_ms: Duration that each decoded generation adds to a step, in milliseconds.
    :param cache_tokens: Capacity of the prefix cache, in tokens.
    :param cache_lag_ms: Delay before a cache event is published, in milliseconds.
    :param cache_gap: Fraction of cache events that are never published.
    :param report_lag_ms: Age of the load reports, in milliseconds.
    :param load_ms: Duration of a load or an unload, in milliseconds.
    :param retention_ms: Time for which a finished generation can be resumed, in milliseconds.
    :param fencing: ``checked`` or ``ignored``.
    :param weights_url: Base URL from which weights are fetched; empty to skip it.
    :param seed: Seed of the random number generator.
    :param journal: File to which executions are appended; empty for none.
    """
    limits = BatchLimits(
        memory_tokens=memory_tokens,
        max_batch=max_batch,
        max_waiting=max_waiting,
        step_ms=step_ms,
        sequence_ms=sequence_ms,
    )
    options = EngineOptions(
        limits=limits,
        models=parse_versions(models),
        adapters=parse_versions(adapters),
        cache_tokens=cache_tokens,
        cache_lag_ms=cache_lag_ms,
        cache_gap=cache_gap,
        report_lag_ms=report_lag_ms,
        load_ms=load_ms,
        retention_ms=retention_ms,
        checks_fence=fencing == "checked",
        weights_url=weights_url,
        seed=seed,
        journal=journal,
    )
    asyncio.run(_serve(options, port=port))


async def _serve(options: EngineOptions, *, port: int) -> None:
    await serve(app=EngineServer(options).app(), port=port)


if __name__ == "__main__":
    run_main(main)
