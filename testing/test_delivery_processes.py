"""Process tests: responses stay complete despite late tokens and two faults at once."""

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
from testing.conftest import StartReadyCluster

CALLERS_PER_HOST = 3


class CallerGroup:
    """Concurrent callers of one host, each with its own prompt."""

    def __init__(
        self, *, cluster: Cluster, session: aiohttp.ClientSession, host: str, tokens: int
    ) -> None:
        self._session = session
        self._prompts = [
            f"{host} plan {number} [[tokens={tokens}]]" for number in range(CALLERS_PER_HOST)
        ]
        self.answers = [Answer() for _ in range(CALLERS_PER_HOST)]
        url = cluster.caller_url(host)
        self._tasks = [
            asyncio.create_task(ask(session=session, url=url, prompt=prompt, answer=answer))
            for prompt, answer in zip(self._prompts, self.answers, strict=True)
        ]

    async def wait_for_first_tokens(self) -> None:
        """Wait until every caller has received a token."""
        await wait_until(lambda: all(answer.texts for answer in self.answers))

    async def wait_until_ended(self) -> None:
        """Wait until every connection has ended."""
        await asyncio.gather(*self._tasks)

    async def resume_at(self, url: str) -> None:
        """Resume all interrupted responses at another host."""
        for prompt, answer in zip(self._prompts, self.answers, strict=True):
            await resume(session=self._session, url=url, answer=answer, prompt=prompt)

    def assert_complete(self) -> None:
        """Check that every caller received its complete response exactly once."""
        for prompt, answer in zip(self._prompts, self.answers, strict=True):
            assert answer.done, answer.error
            assert answer.text == expected_text(prompt=prompt)


async def test_responses_are_complete_when_a_frozen_link_delivers_old_tokens_late(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=1, services=0))
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
        group = CallerGroup(cluster=cluster, session=session, host="host-1", tokens=250)
        await group.wait_for_first_tokens()
        relay.freeze()
        lost_runs = len(cluster.executions(["engine-1"]))
        assert lost_runs
        before = len(cluster.executions(["engine-2"]))
        # The link resumes once the other engine has started to generate the lost responses again.
        await wait_until(
            lambda: len(cluster.executions(["engine-2"])) >= before + lost_runs
            or any(answer.error for answer in group.answers)
        )
        relay.resume()
        await group.wait_until_ended()
        group.assert_complete()


async def test_responses_are_complete_when_an_engine_freezes_while_the_store_is_down(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=2, services=0))
    groups = [
        CallerGroup(cluster=cluster, session=session, host=host, tokens=150)
        for host in cluster.hosts
    ]
    for group in groups:
        await group.wait_for_first_tokens()
    await cluster.post(cluster.store, "/admin/fault", Fault(mode=FaultMode.DOWN))
    cluster.engines["engine-1"].freeze()
    for group in groups:
        await group.wait_until_ended()
        group.assert_complete()
    cluster.engines["engine-1"].resume()


async def test_responses_are_complete_when_a_host_crashes_during_the_shutdown_of_another(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=3, services=0))
    stopping = CallerGroup(cluster=cluster, session=session, host="host-1", tokens=150)
    crashing = CallerGroup(cluster=cluster, session=session, host="host-2", tokens=150)
    await stopping.wait_for_first_tokens()
    await crashing.wait_for_first_tokens()
    stop = asyncio.create_task(cluster.hosts["host-1"].stop())
    await cluster.hosts["host-2"].kill()
    await crashing.wait_until_ended()
    assert not any(answer.done for answer in crashing.answers)
    await crashing.resume_at(cluster.caller_url("host-3"))
    crashing.assert_complete()
    await stopping.wait_until_ended()
    stopping.assert_complete()
    assert await stop == 0
