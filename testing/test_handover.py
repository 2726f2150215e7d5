"""Handover of running streams by cursor when a graceful shutdown exceeds its grace period."""

from __future__ import annotations

import asyncio

import aiohttp

from standins.launcher import ClusterPlan
from tanagerscale.generated.declarations import Delivery
from tanagerscale.generated.declarations import Model
from testing._callers import VERSION
from testing._callers import Answer
from testing._callers import ask
from testing._callers import expected_text
from testing._callers import resume
from testing._callers import wait_until
from testing.conftest import StartReadyCluster

PLAN = "plan [[tokens=700]]"
MAX_TOKENS = 1_000
MODELS = {"as-it-comes": Delivery.STREAM, "at-the-end": Delivery.WHOLE}


async def test_streams_resume_at_another_host_when_a_graceful_shutdown_exceeds_its_grace_period(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    models = tuple(
        Model(name=name, version=VERSION, delivery=delivery, max_output_tokens=MAX_TOKENS)
        for name, delivery in MODELS.items()
    )
    cluster = await start_ready_cluster(
        ClusterPlan(hosts=2, services=0, stop_grace_ms=200, models=models)
    )
    url = cluster.caller_url("host-1")
    answers = {name: Answer() for name in MODELS}
    asking = [
        asyncio.create_task(ask(session=session, url=url, prompt=PLAN, answer=answer, model=name))
        for name, answer in answers.items()
    ]
    await wait_until(lambda: all(answer.cursor for answer in answers.values()))
    assert await cluster.hosts["host-1"].stop() == 0
    await asyncio.gather(*asking)
    assert not any(answer.done for answer in answers.values())
    assert not answers["at-the-end"].texts
    other = cluster.caller_url("host-2")
    for name, answer in answers.items():
        await resume(session=session, url=other, answer=answer, prompt=PLAN, model=name)
        assert answer.done, answer.error
        assert answer.text == expected_text(prompt=PLAN, max_tokens=MAX_TOKENS, model=name)
    # The original attempts were continued; no engine run was cancelled and repeated.
    assert len(cluster.executions(cluster.engines)) == len(answers)
