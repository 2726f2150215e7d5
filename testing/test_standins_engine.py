"""Tests of the engine stand-in: deterministic streams, preemption, orders and injected faults."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from msgspec.structs import replace
import pytest

from standins._batch import BatchLimits
from standins._engine_options import EngineOptions
from standins._engine_types import ExecutionReport
from standins._engine_types import ExecutionReports
from standins._engine_types import OrderReports
from standins._engine_types import StreamFault
from standins._engine_types import StreamFaultMode
from standins.engine import CRASH_EXIT_STATUS
from standins.engine import EngineServer
from standins.journal import Execution
from standins.journal import read_journal
from standins.processes import Launcher
from standins.tokens import answer_length
from standins.tokens import answer_tokens
from tanagerscale.generated.upstream import EngineOrder
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import EngineState
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import OrderKind
from tanagerscale.generated.upstream import Refusal
from tanagerscale.generated.upstream import RefusalKind
from tanagerscale.generated.upstream import TokenEvent
from testing.conftest import Client
from testing.conftest import ClientOf

AMPLE_LIMITS = BatchLimits(step_ms=1, sequence_ms=0)
REQUEST = EngineRequest(
    attempt_id="att-1", model="planner", version="7", prompt="Plan a round. [[tokens=20]]", seed=3
)


def _make_options(limits: BatchLimits = AMPLE_LIMITS, **overrides: Any) -> EngineOptions:
    return EngineOptions(
        limits=limits, models={"planner": "7"}, adapters={}, report_lag_ms=0, load_ms=0, **overrides
    )


async def _start_engine(
    client_of: ClientOf, limits: BatchLimits = AMPLE_LIMITS, **overrides: Any
) -> Client:
    return await client_of(EngineServer(_make_options(limits, **overrides)).app())


def _parse(text: str) -> list[TokenEvent]:
    frames = [frame for frame in text.split("\n\n") if frame]
    return [msgspec.json.decode(frame.partition("data: ")[2], type=TokenEvent) for frame in frames]


async def _generate(engine: Client, request: EngineRequest) -> list[TokenEvent]:
    reply = await engine.post("/v1/completions", data=msgspec.json.encode(request))
    assert reply.status == 200, await reply.text()
    return _parse(await reply.text())


async def _resume(engine: Client, offset: int) -> list[TokenEvent]:
    reply = await engine.get(f"/v1/completions/{REQUEST.attempt_id}/events?offset={offset}")
    assert reply.status == 200
    return _parse(await reply.text())


async def _executions(engine: Client) -> ExecutionReports:
    body = await (await engine.get("/admin/executions")).read()
    return msgspec.json.decode(body, type=ExecutionReports)


async def _execution(engine: Client, attempt: str = "att-1") -> ExecutionReport:
    reports = (await _executions(engine)).executions
    (found,) = [report for report in reports if report.attempt_id == attempt]
    return found


async def _wait_for_tokens(engine: Client, count: int, attempt: str = "att-1") -> None:
    while (await _execution(engine, attempt)).tokens < count:
        await asyncio.sleep(0.005)


def _texts(events: list[TokenEvent]) -> list[str]:
    return [event.text for event in events[:-1]]


async def test_stream_has_each_token_once_and_an_end_marker(client_of: ClientOf) -> None:
    events = await _generate(await _start_engine(client_of), REQUEST)
    assert _texts(events) == answer_tokens(REQUEST)
    assert [event.offset for event in events] == list(range(21))
    assert (events[-1].text, events[-1].finish_reason) == ("", FinishReason.STOP)


async def test_stream_ends_at_the_limit_when_the_answer_is_longer(client_of: ClientOf) -> None:
    events = await _generate(await _start_engine(client_of), replace(REQUEST, max_tokens=5))
    assert (events[-1].offset, events[-1].finish_reason) == (5, FinishReason.LENGTH)


def test_answer_lengths_are_heavy_tailed() -> None:
    lengths = sorted(answer_length(f"prompt {number}") for number in range(1_000))
    assert lengths[990] > 8 * lengths[500]


async def test_generation_continues_and_can_be_resumed_after_a_disconnect(
    client_of: ClientOf,
) -> None:
    engine = await _start_engine(client_of)
    reply = await engine.post("/v1/completions", data=msgspec.json.encode(REQUEST))
    await reply.content.readline()
    reply.close()
    await _wait_for_tokens(engine, 20)
    assert _texts(await _resume(engine, 8)) == answer_tokens(REQUEST)[8:]


async def test_attempt_runs_once_when_it_is_posted_twice(client_of: ClientOf) -> None:
    engine = await _start_engine(client_of)
    first, second = await asyncio.gather(_generate(engine, REQUEST), _generate(engine, REQUEST))
    assert first == second
    assert (await _execution(engine)).posts == 2
    assert (await _executions(engine)).tokens_generated == 20


async def test_cancelled_generation_stops_and_cancelling_is_idempotent(client_of: ClientOf) -> None:
    engine = await _start_engine(client_of)
    running = asyncio.create_task(
        _generate(engine, replace(REQUEST, prompt="[[tokens=100000]]", max_tokens=100_000))
    )
    await asyncio.sleep(0.05)
    for _ in range(2):
        assert (await engine.delete("/v1/completions/att-1")).status == 204
    events = await running
    assert events[-1].finish_reason is FinishReason.CANCELLED
    assert (await _execution(engine)).tokens == events[-1].offset


async def test_lowest_priority_is_preempted_and_completes_when_memory_is_full(
    client_of: ClientOf,
) -> None:
    engine = await _start_engine(client_of, BatchLimits(memory_tokens=96, step_ms=1, sequence_ms=0))
    high_priority = EngineRequest(
        attempt_id="dear", model="planner", prompt="[[tokens=60]]", priority=0
    )
    low_priority = EngineRequest(
        attempt_id="cheap", model="planner", prompt="[[tokens=50]]", priority=2
    )
    low_events, high_events = await asyncio.gather(
        _generate(engine, low_priority), _generate(engine, high_priority)
    )
    assert _texts(low_events) == answer_tokens(low_priority, version="7")
    assert _texts(high_events) == answer_tokens(high_priority, version="7")
    assert (await _execution(engine, "cheap")).preemptions > 0
    assert (await _execution(engine, "dear")).preemptions == 0


async def test_running_generations_fail_on_out_of_memory(client_of: ClientOf) -> None:
    engine = await _start_engine(client_of)
    long = replace(REQUEST, prompt="[[tokens=100000]]", max_tokens=100_000)
    running = asyncio.create_task(_generate(engine, long))
    await asyncio.sleep(0.05)
    await engine.post("/admin/oom", json={"fail": True})
    assert (await running)[-1].finish_reason is FinishReason.ERROR


@pytest.mark.parametrize(
    ("request_body", "leaving", "status", "kind"),
    [
        (REQUEST, True, 503, RefusalKind.LEAVING),
        (replace(REQUEST, version="6"), False, 503, RefusalKind.NOT_LOADED),
        (replace(REQUEST, adapter="none"), False, 503, RefusalKind.NOT_LOADED),
        (replace(REQUEST, prompt="x" * 400_000), False, 400, RefusalKind.BAD_REQUEST),
    ],
)
async def test_refused_request_is_not_executed(
    client_of: ClientOf,
    request_body: EngineRequest,
    leaving: bool,
    status: int,
    kind: RefusalKind,
) -> None:
    engine = await _start_engine(client_of)
    await engine.post("/admin/leave", json={"leaving": leaving})
    reply = await engine.post("/v1/completions", data=msgspec.json.encode(request_body))
    assert reply.status == status
    assert msgspec.json.decode(await reply.read(), type=Refusal).kind is kind
    assert (await _executions(engine)).executions == []


async def _with_fault(client_of: ClientOf, mode: StreamFaultMode) -> list[TokenEvent]:
    engine = await _start_engine(client_of)
    fault = StreamFault(mode=mode, at=4, count=1)
    await engine.post("/admin/fault", data=msgspec.json.encode(fault))
    return await _generate(engine, REQUEST)


async def test_stream_contains_the_injected_fault(client_of: ClientOf) -> None:
    tokens = answer_tokens(REQUEST)
    cross = await _with_fault(client_of, StreamFaultMode.CROSS)
    assert [event.attempt_id for event in cross].index("att-of-someone-else") == 4
    gap = await _with_fault(client_of, StreamFaultMode.GAP)
    assert 4 not in [event.offset for event in gap]
    other = await _with_fault(client_of, StreamFaultMode.OTHER_TOKEN)
    assert other[4].text != tokens[4]
    without_end_marker = await _with_fault(client_of, StreamFaultMode.DROP_END_MARKER)
    assert [event.text for event in without_end_marker] == tokens


async def test_resumed_stream_starts_early_with_the_overlap_fault(client_of: ClientOf) -> None:
    engine = await _start_engine(client_of)
    await _generate(engine, REQUEST)
    fault = StreamFault(mode=StreamFaultMode.OVERLAP)
    await engine.post("/admin/fault", data=msgspec.json.encode(fault))
    assert (await _resume(engine, 8))[0].offset == 6


async def _order(engine: Client, order_id: str, fence: int) -> int:
    order = EngineOrder(
        order_id=order_id, fence=fence, kind=OrderKind.LOAD_MODEL, name=order_id, version="1"
    )
    return (await engine.post("/orders", data=msgspec.json.encode(order))).status


async def _state(engine: Client) -> EngineState:
    body = await (await engine.get("/state")).read()
    return msgspec.json.decode(body, type=EngineState)


@pytest.mark.parametrize(("checks_fence", "status"), [(True, 409), (False, 200)])
async def test_order_with_a_stale_fence_is_refused_only_when_fences_are_checked(
    client_of: ClientOf, checks_fence: bool, status: int
) -> None:
    engine = await _start_engine(client_of, checks_fence=checks_fence)
    assert await _order(engine, "new", 5) == 200
    assert await _order(engine, "old", 4) == status
    assert await _order(engine, "new", 5) == 200
    while (await _state(engine)).loading:
        await asyncio.sleep(0.005)
    models = (await _state(engine)).models
    assert ("new" in models, "old" in models) == (True, not checks_fence)
    reports = await (await engine.get("/admin/orders")).read()
    carried_out = msgspec.json.decode(reports, type=OrderReports).carried_out
    assert carried_out.count("new") == 1


async def _read_all(reply: aiohttp.ClientResponse, received: bytearray) -> None:
    while chunk := await reply.content.readany():
        received += chunk


async def test_engine_process_exits_when_a_prompt_crashes_it(
    launcher: Launcher, tmp_path: Path
) -> None:
    journal = tmp_path / "journal"
    options = ["--models=planner=7", f"--journal={journal}"]
    process = await launcher.start(name="engine", module="standins.engine", arguments=options)
    prompt = "[[tokens=9]] [[crash_at=4]] [[tag=bad]]"
    body = msgspec.json.encode(replace(REQUEST, prompt=prompt))
    received = bytearray()
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{process.url}/v1/completions", data=body) as reply,
    ):
        with pytest.raises(aiohttp.ClientError):
            await _read_all(reply, received)
    assert [event.offset for event in _parse(received.decode())] == [0, 1, 2, 3]
    assert await process.wait() == CRASH_EXIT_STATUS
    assert read_journal(journal) == [Execution(id="att-1", tag="bad")]
