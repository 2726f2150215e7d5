"""The stand-in for upstreams of the platform copies and resumes runs as the platform does."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
import pytest_asyncio

from standins.platform_engine import Ledger
from standins.platform_engine import UpstreamBehavior
from standins.platform_engine import UpstreamEmulator


@pytest_asyncio.fixture
async def upstreams() -> AsyncIterator[tuple[UpstreamEmulator, UpstreamEmulator]]:
    """Start two upstreams whose runs do not end by themselves."""
    ledger = Ledger()
    first = UpstreamEmulator(upstream="e1", ledger=ledger, events=100_000)
    second = UpstreamEmulator(upstream="e2", ledger=ledger, events=100_000)
    await first.start()
    await second.start()
    yield first, second
    await first.stop()
    await second.stop()


async def _start_run(
    session: aiohttp.ClientSession, upstream: UpstreamEmulator, request: str, **headers: str
) -> aiohttp.ClientResponse:
    """Start or resume a run, and return when its first event has been sent."""
    fields = {"Tanagerscale-Attempt-Id": request, "Tanagerscale-Token-Usage": "5,5"}
    fields |= {name.replace("_", "-"): value for name, value in headers.items()}
    response = await session.post(f"http://{upstream.address}/", headers=fields)
    if response.status == 200:
        await response.content.readline()
    return response


async def _move(
    session: aiohttp.ClientSession,
    request: str,
    source: UpstreamEmulator,
    target: UpstreamEmulator,
    *,
    last: bool = False,
) -> tuple[int, str]:
    """Order a copy of a run; return the status and the handle."""
    order = {"id": request, "to": target.address, "last": last}
    url = f"http://{source.address}/v1/kv-move"
    async with session.post(url, json=order) as response:
        return response.status, (await response.json()).get("handle", "")


# Guards against a copy that replaces another one, so that its stream can't resume.
@pytest.mark.asyncio
async def test_copies_have_different_handles_when_they_come_from_different_upstreams(
    session: aiohttp.ClientSession, upstreams: tuple[UpstreamEmulator, UpstreamEmulator]
) -> None:
    first, second = upstreams
    await _start_run(session, first, "r1")
    await _start_run(session, second, "r2")
    copied = [
        await _move(session, "r1", first, second),
        await _move(session, "r2", second, first),
    ]
    assert [status for status, _ in copied] == [200, 200]
    assert len({handle for _, handle in copied}) == 2


@pytest.mark.asyncio
@pytest.mark.parametrize("resume_at", [0, 1])
async def test_moved_run_resumes_once_when_sent_to_either_holder(
    session: aiohttp.ClientSession,
    upstreams: tuple[UpstreamEmulator, UpstreamEmulator],
    resume_at: int,
) -> None:
    first, second = upstreams
    await _start_run(session, first, "r1")
    _, handle = await _move(session, "r1", first, second, last=True)
    while first.running:
        await asyncio.sleep(0.005)
    copy = {"Kv_From": f"{first.address}/{handle}", "Last_Event_Id": "1"}
    statuses = [
        (await _start_run(session, upstreams[index], "r1", **copy)).status
        for index in (resume_at, 1 - resume_at)
    ]
    assert statuses == [200, 503]


@pytest.mark.asyncio
async def test_full_upstream_takes_no_copy_and_resumes_the_runs_it_holds(
    session: aiohttp.ClientSession, upstreams: tuple[UpstreamEmulator, UpstreamEmulator]
) -> None:
    first, second = upstreams
    await _start_run(session, first, "r1")
    _, handle = await _move(session, "r1", first, second)
    second.behavior = UpstreamBehavior.FULL
    assert (await _move(session, "r1", first, second))[0] == 503
    copy = {"Kv_From": f"{first.address}/{handle}", "Last_Event_Id": "1"}
    assert (await _start_run(session, second, "r1", **copy)).status == 200
    assert (await _start_run(session, second, "r2")).status == 503
