"""A planned stop beyond its limit hands streams over by their cursors."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from standins.launcher import ClusterPlan
from tanagerscale.generated.declarations import Delivery
from tanagerscale.generated.declarations import Model
from testing._callers import MODEL
from testing._callers import VERSION
from testing._callers import Answer
from testing._callers import ask
from testing._callers import expected
from testing._callers import go_on
from testing._callers import until
from testing.conftest import StartServing

PLAN = "plan [[tokens=400]]"
ENGINE_OPTIONS = {"step_ms": "10"}


@pytest.mark.parametrize("delivery", [Delivery.STREAM, Delivery.WHOLE])
async def test_answers_go_on_at_another_host_when_a_planned_stop_is_over_its_limit(
    start_serving: StartServing, session: aiohttp.ClientSession, delivery: Delivery
) -> None:
    model = Model(name=MODEL, version=VERSION, delivery=delivery, max_output_tokens=1_000)
    plan = ClusterPlan(
        hosts=2,
        services=0,
        stop_grace_ms=200,
        models=(model,),
        engine_options=ENGINE_OPTIONS,
    )
    cluster = await start_serving(plan)
    url = cluster.caller_url("host-1")
    answers = [Answer() for _ in range(2)]
    asking = [
        asyncio.create_task(ask(session=session, url=url, prompt=PLAN, answer=answer))
        for answer in answers
    ]
    await until(lambda: all(answer.cursor for answer in answers))
    assert await cluster.hosts["host-1"].stop() == 0
    await asyncio.gather(*asking)
    assert not any(answer.done for answer in answers)
    other = cluster.caller_url("host-2")
    for answer in answers:
        await go_on(session=session, url=other, answer=answer, prompt=PLAN)
        assert answer.done, answer.error
        assert answer.text == expected(prompt=PLAN, max_tokens=1_000)
    # The same attempts went on: nothing was cut at the engines and made again.
    assert len(cluster.executions(cluster.engines)) == len(answers)
