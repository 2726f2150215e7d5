"""A planned stop beyond its limit hands streams over by their cursors."""

from __future__ import annotations

import asyncio

import aiohttp

from standins.launcher import ClusterPlan
from tanagerscale.generated.declarations import Delivery
from tanagerscale.generated.declarations import Model
from testing._callers import VERSION
from testing._callers import Answer
from testing._callers import ask
from testing._callers import expected
from testing._callers import go_on
from testing._callers import until
from testing.conftest import StartServing

PLAN = "plan [[tokens=700]]"
MAX_TOKENS = 1_000
MODELS = {"as-it-comes": Delivery.STREAM, "at-the-end": Delivery.WHOLE}


async def test_answers_go_on_at_another_host_when_a_planned_stop_is_over_its_limit(
    start_serving: StartServing, session: aiohttp.ClientSession
) -> None:
    models = tuple(
        Model(name=name, version=VERSION, delivery=delivery, max_output_tokens=MAX_TOKENS)
        for name, delivery in MODELS.items()
    )
    cluster = await start_serving(
        ClusterPlan(hosts=2, services=0, stop_grace_ms=200, models=models)
    )
    url = cluster.caller_url("host-1")
    answers = {name: Answer() for name in MODELS}
    asking = [
        asyncio.create_task(ask(session=session, url=url, prompt=PLAN, answer=answer, model=name))
        for name, answer in answers.items()
    ]
    await until(lambda: all(answer.cursor for answer in answers.values()))
    assert await cluster.hosts["host-1"].stop() == 0
    await asyncio.gather(*asking)
    assert not any(answer.done for answer in answers.values())
    assert not answers["at-the-end"].texts
    other = cluster.caller_url("host-2")
    for name, answer in answers.items():
        await go_on(session=session, url=other, answer=answer, prompt=PLAN, model=name)
        assert answer.done, answer.error
        assert answer.text == expected(prompt=PLAN, max_tokens=MAX_TOKENS, model=name)
    # The same attempts went on: nothing was cut at the engines and made again.
    assert len(cluster.executions(cluster.engines)) == len(answers)
