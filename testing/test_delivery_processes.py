"""Answers stay whole through late tokens and two faults at once, over real processes."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec

from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.store import Fault
from standins.store import FaultMode
from standins.tcp_relay import TcpRelay
from testing._callers import Answer
from testing._callers import ask
from testing._callers import expected_text
from testing._callers import resume
from testing._callers import wait_until
from testing.conftest import StartServing

EACH = 3


class Crowd:
    """Callers with prompts of their own at one host."""

    def __init__(
        self, *, cluster: Cluster, session: aiohttp.ClientSession, host: str, tokens: int
    ) -> None:
        self._session = session
        self._prompts = [f"{host} plan {number} [[tokens={tokens}]]" for number in range(EACH)]
        self.answers = [Answer() for _ in range(EACH)]
        url = cluster.caller_url(host)
        self._asking = [
            asyncio.create_task(ask(session=session, url=url, prompt=prompt, answer=answer))
            for prompt, answer in zip(self._prompts, self.answers, strict=True)
        ]

    async def begun(self) -> None:
        """Wait until every caller has a token."""
        await wait_until(lambda: all(answer.texts for answer in self.answers))

    async def ended(self) -> None:
        """Wait until every connection has ended."""
        await asyncio.gather(*self._asking)

    async def go_on_at(self, url: str) -> None:
        """Go on at another host with all answers that broke off."""
        for prompt, answer in zip(self._prompts, self.answers, strict=True):
            await resume(session=self._session, url=url, answer=answer, prompt=prompt)

    def check_whole(self) -> None:
        """Check that every caller has its own answer, once and whole."""
        for prompt, answer in zip(self._prompts, self.answers, strict=True):
            assert answer.done, answer.error
            assert answer.text == expected_text(prompt=prompt)


async def test_answers_are_whole_when_a_frozen_link_thaws_and_old_tokens_arrive_late(
    start_serving: StartServing, session: aiohttp.ClientSession
) -> None:
    cluster = await start_serving(ClusterPlan(hosts=1, services=0))
    async with TcpRelay(target=cluster.engines["engine-1"].address) as relay:
        engines = [
            (
                msgspec.structs.replace(engine, address=relay.address)
                if engine.name == "engine-1"
                else engine
            )
            for engine in cluster.declarations.engines
        ]
        declarations = msgspec.structs.replace(cluster.declarations, engines=engines)
        applied = await cluster.apply(declarations=declarations, author="second", wait=True)
        assert applied.returncode == 0, applied.output + applied.errors
        crowd = Crowd(cluster=cluster, session=session, host="host-1", tokens=250)
        await crowd.begun()
        relay.freeze()
        lost = len(cluster.executions(["engine-1"]))
        assert lost
        before = len(cluster.executions(["engine-2"]))
        # The link thaws once the other engine makes the lost answers again.
        await wait_until(
            lambda: len(cluster.executions(["engine-2"])) >= before + lost
            or any(answer.error for answer in crowd.answers)
        )
        relay.thaw()
        await crowd.ended()
        crowd.check_whole()


async def test_answers_are_whole_when_an_engine_freezes_while_the_store_is_down(
    start_serving: StartServing, session: aiohttp.ClientSession
) -> None:
    cluster = await start_serving(ClusterPlan(hosts=2, services=0))
    crowds = [
        Crowd(cluster=cluster, session=session, host=host, tokens=150) for host in cluster.hosts
    ]
    for crowd in crowds:
        await crowd.begun()
    await cluster.post(cluster.store, "/admin/fault", Fault(mode=FaultMode.DOWN))
    cluster.engines["engine-1"].freeze()
    for crowd in crowds:
        await crowd.ended()
        crowd.check_whole()
    cluster.engines["engine-1"].thaw()


async def test_answers_are_whole_when_a_host_dies_while_another_is_in_a_planned_stop(
    start_serving: StartServing, session: aiohttp.ClientSession
) -> None:
    cluster = await start_serving(ClusterPlan(hosts=3, services=0))
    stopping = Crowd(cluster=cluster, session=session, host="host-1", tokens=150)
    dying = Crowd(cluster=cluster, session=session, host="host-2", tokens=150)
    await stopping.begun()
    await dying.begun()
    stop = asyncio.create_task(cluster.hosts["host-1"].stop())
    await cluster.hosts["host-2"].kill()
    await dying.ended()
    assert not any(answer.done for answer in dying.answers)
    await dying.go_on_at(cluster.caller_url("host-3"))
    dying.check_whole()
    await stopping.ended()
    stopping.check_whole()
    assert await stop == 0
