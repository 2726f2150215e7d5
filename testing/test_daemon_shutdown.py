"""Requests that are still running when the grace period of a graceful shutdown ends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import msgspec
import pytest

from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.service import Executions
from standins.service import ServiceFault
from standins.service import ServiceFaultMode
from standins.store import Fault
from standins.store import FaultMode
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.generated.callers import HostStatus
from tanagerscale.generated.callers import ProblemDetails
from testing._callers import MODEL
from testing._callers import POLL_INTERVAL_S
from testing._callers import REQUEST_TIMEOUT
from testing._callers import SEED
from testing._callers import book
from testing._callers import book_with_retries
from testing._callers import headers
from testing.conftest import StartReadyCluster

GRACE_MS = 200
LONG_PROMPT = "plan [[tokens=5000]]"


async def _wait_until_executed(cluster: Cluster) -> None:
    service = cluster.services["booking-1"]
    while (await cluster.get(service, "/admin/executions", Executions)).total == 0:
        await asyncio.sleep(POLL_INTERVAL_S)


async def _post(
    session: aiohttp.ClientSession, url: str, body: dict[str, object]
) -> tuple[int, bytes]:
    async with session.post(url, json=body, headers=headers(), timeout=REQUEST_TIMEOUT) as response:
        return response.status, await response.read()


def _build_completion(*, stream: bool) -> dict[str, object]:
    return {"model": MODEL, "prompt": LONG_PROMPT, "stream": stream, "seed": SEED}


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(f"{url}/readyz") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def _wait_until_running(session: aiohttp.ClientSession, url: str, count: int) -> None:
    while True:
        async with session.get(f"{url}/v1/status") as response:
            status = msgspec.json.decode(await response.read(), type=HostStatus)
        if status.running == count:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


# Guards against service calls whose connection is closed with no answer by a stopping host.
@pytest.mark.parametrize("not_idempotent", [(), ("POST /bookings",)], ids=["idempotent", "once"])
async def test_service_call_gets_a_complete_answer_when_the_grace_period_ends_before_it(
    start_ready_cluster: StartReadyCluster,
    session: aiohttp.ClientSession,
    not_idempotent: tuple[str, ...],
) -> None:
    cluster = await start_ready_cluster(
        ClusterPlan(
            hosts=1,
            stop_grace_ms=GRACE_MS,
            not_idempotent=not_idempotent,
            service_timeout_ms=60_000,
        )
    )
    fault = ServiceFault(mode=ServiceFaultMode.HANG_AFTER)
    await cluster.post(cluster.services["booking-1"], "/admin/fault", fault)
    url = cluster.caller_url("host-1") + "/services/bookings/bookings"
    call = asyncio.create_task(_post(session, url, {"id": "round-1"}))
    await _wait_until_executed(cluster)
    assert await cluster.hosts["host-1"].stop() == 0
    status, body = await call
    problem = msgspec.json.decode(body, type=ProblemDetails)
    assert (status, problem.execution) == (502, "unknown")


# Guards against completions whose connection is closed with no answer by a stopping host.
async def test_whole_completion_gets_a_complete_answer_when_the_grace_period_ends_before_it(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(
        ClusterPlan(hosts=1, services=0, engines=1, stop_grace_ms=GRACE_MS)
    )
    url = cluster.caller_url("host-1")
    call = asyncio.create_task(
        _post(session, f"{url}/v1/completions", _build_completion(stream=False))
    )
    while not cluster.executions(cluster.engines):
        await asyncio.sleep(POLL_INTERVAL_S)
    assert await cluster.hosts["host-1"].stop() == 0
    status, body = await call
    problem = msgspec.json.decode(body, type=ProblemDetails)
    assert (status, problem.execution) == (503, "unknown")


# Guards against waiting streams whose connection is closed with no answer by a stopping host.
async def test_waiting_stream_gets_a_complete_answer_when_the_grace_period_ends_before_it(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    plan = ClusterPlan(
        hosts=1,
        services=0,
        engines=1,
        stop_grace_ms=GRACE_MS,
        engine_options={"max_batch": "1"},
    )
    cluster = await start_ready_cluster(plan)
    url = cluster.caller_url("host-1")
    body = _build_completion(stream=True)
    async with session.post(
        f"{url}/v1/completions", json=body, headers=headers(), timeout=REQUEST_TIMEOUT
    ):
        call = asyncio.create_task(_post(session, f"{url}/v1/completions", body))
        await _wait_until_running(session, url, 2)
        assert await cluster.hosts["host-1"].stop() == 0
        status, answer = await call
    problem = msgspec.json.decode(answer, type=ProblemDetails)
    assert (status, problem.execution) == (503, "unknown")


async def test_claimed_call_is_answered_and_recorded_when_it_outlasts_the_grace_period(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=2, stop_grace_ms=GRACE_MS))
    fault = ServiceFault(answer_delay_ms=2_000)
    await cluster.post(cluster.services["booking-1"], "/admin/fault", fault)
    call = asyncio.create_task(
        book(session=session, url=cluster.caller_url("host-1"), key="round-1")
    )
    await _wait_until_executed(cluster)
    assert await cluster.hosts["host-1"].stop() == 0
    answer = await call
    assert isinstance(answer, bytes)
    repeated = await book(session=session, url=cluster.caller_url("host-2"), key="round-1")
    assert repeated == answer
    ran = await cluster.get(cluster.services["booking-1"], "/admin/executions", Executions)
    assert ran.by_key == {"round-1": 1}


# Guards against calls that a stopping host accepts, can't claim in time and leaves unanswered.
async def test_call_is_answered_and_not_run_when_the_grace_period_ends_before_its_claim(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=2, stop_grace_ms=GRACE_MS))
    await cluster.post(cluster.store, "/admin/fault", Fault(mode=FaultMode.HANG))
    url = cluster.caller_url("host-1")
    call = asyncio.create_task(book(session=session, url=url, key="round-1"))
    await _wait_until_running(session, url, 1)
    stop = asyncio.create_task(cluster.hosts["host-1"].stop())
    refused = await call
    assert isinstance(refused, ProblemDetails)
    assert refused.execution == "not-executed"
    await cluster.post(cluster.store, "/admin/fault", Fault())
    assert await stop == 0
    other = cluster.caller_url("host-2")
    assert isinstance(await book_with_retries(session=session, url=other, key="round-1"), bytes)
    ran = await cluster.get(cluster.services["booking-1"], "/admin/executions", Executions)
    assert ran.by_key == {"round-1": 1}


# Guards against uploads that a stopping host cuts although nothing of them was executed.
async def test_unfinished_upload_is_refused_when_the_grace_period_ends_before_its_body(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=1, stop_grace_ms=GRACE_MS))
    ended = asyncio.Event()

    async def upload() -> AsyncIterator[bytes]:
        yield b"{"
        await ended.wait()

    url = cluster.caller_url("host-1")

    async def send() -> tuple[int, bytes]:
        async with session.post(
            f"{url}/services/bookings/bookings",
            data=upload(),
            headers=headers(),
            timeout=REQUEST_TIMEOUT,
        ) as response:
            return response.status, await response.read()

    call = asyncio.create_task(send())
    await _wait_until_running(session, url, 1)
    assert await cluster.hosts["host-1"].stop() == 0
    status, body = await call
    ended.set()
    problem = msgspec.json.decode(body, type=ProblemDetails)
    assert (status, problem.execution) == (503, "not-executed")


# Guards against calls cut by a host that was frozen past the end of its grace period.
async def test_service_call_gets_a_complete_answer_when_its_host_is_frozen_at_the_end_of_the_grace(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(
        ClusterPlan(hosts=1, stop_grace_ms=GRACE_MS, service_timeout_ms=60_000)
    )
    fault = ServiceFault(mode=ServiceFaultMode.HANG_AFTER)
    await cluster.post(cluster.services["booking-1"], "/admin/fault", fault)
    url = cluster.caller_url("host-1")
    call = asyncio.create_task(
        _post(session, f"{url}/services/bookings/bookings", {"id": "round-1"})
    )
    await _wait_until_executed(cluster)
    host = cluster.hosts["host-1"]
    stop = asyncio.create_task(host.stop())
    while await _is_ready(session, url):
        await asyncio.sleep(0)
    host.freeze()
    await asyncio.sleep(2 * GRACE_MS / MS_PER_SECOND)
    host.resume()
    assert await stop == 0
    status, body = await call
    problem = msgspec.json.decode(body, type=ProblemDetails)
    assert (status, problem.execution) == (502, "unknown")
