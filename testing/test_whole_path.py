"""Requests from caller to upstream over real processes."""

from __future__ import annotations

import asyncio

import aiohttp

from standins.launcher import ClusterPlan
from testing._callers import Answer
from testing._callers import ask
from testing._callers import expected_text
from testing._callers import headers
from testing._callers import resume
from testing.conftest import StartReadyCluster

PAUSE_S = 0.05


async def test_answer_and_booking_are_served_when_processes_are_separate(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan())
    for host in cluster.hosts:
        answer = await ask(
            session=session, url=cluster.caller_url(host), prompt="ladder [[tokens=20]]"
        )
        assert answer.done, answer
        assert answer.text == expected_text(prompt="ladder [[tokens=20]]")
    bookings_url = f"{cluster.caller_url('host-1')}/services/bookings/bookings"
    booking_headers = {**headers(), "Idempotency-Key": "round-7"}
    async with session.post(bookings_url, json={"id": "7"}, headers=booking_headers) as response:
        first_body = await response.read()
        assert response.status < 300, first_body
    other_bookings_url = f"{cluster.caller_url('host-2')}/services/bookings/bookings"
    async with session.post(
        other_bookings_url, json={"id": "7"}, headers=booking_headers
    ) as response:
        assert (await response.read(), response.status < 300) == (first_body, True)


async def test_running_answers_complete_when_a_host_stops(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan())
    prompt = "plan [[tokens=150]]"
    url = cluster.caller_url("host-1")
    answer = Answer()
    running = [asyncio.create_task(ask(session=session, url=url, prompt=prompt, answer=answer))]
    running += [asyncio.create_task(ask(session=session, url=url, prompt=prompt)) for _ in range(7)]
    while not answer.texts:
        await asyncio.sleep(PAUSE_S)
    stopping = asyncio.create_task(cluster.hosts["host-1"].stop())
    answers = await asyncio.gather(*running)
    assert all(answer.done for answer in answers)
    assert {answer.text for answer in answers} == {expected_text(prompt=prompt)}
    assert await stopping == 0


async def test_caller_resumes_at_another_host_when_its_host_is_killed(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan())
    prompt = "plan [[tokens=200]]"
    answer = Answer()
    task = asyncio.create_task(
        ask(session=session, url=cluster.caller_url("host-1"), prompt=prompt, answer=answer)
    )
    while not answer.texts:
        await asyncio.sleep(PAUSE_S)
    await cluster.hosts["host-1"].kill()
    await task
    assert not answer.done
    answer = await resume(session=session, url=cluster.caller_url("host-2"), answer=answer)
    assert answer.done, answer.error
    assert answer.text == expected_text(prompt=prompt)
