"""Requests while the owners of cells are frozen and resumed, with real processes."""

from __future__ import annotations

import asyncio

import aiohttp

from standins._engine_types import ExecutionReports
from standins.launcher import ClusterPlan
from testing._callers import ask
from testing._callers import expected_text
from testing.conftest import StartReadyCluster

REQUESTS_PER_HOST = 4


async def test_each_answer_is_complete_and_runs_once_when_any_host_is_frozen_and_resumed(
    start_ready_cluster: StartReadyCluster, session: aiohttp.ClientSession
) -> None:
    cluster = await start_ready_cluster(ClusterPlan(hosts=3, services=0))
    asked = 0

    async def ask_at(host: str, number: int) -> None:
        prompt = f"check {number} [[tokens=20]]"
        answer = await ask(session=session, url=cluster.caller_url(host), prompt=prompt)
        assert answer.done, answer.error
        assert answer.text == expected_text(prompt=prompt)

    # One of the three hosts owns the only cell, so each is frozen in turn.
    for frozen in cluster.hosts:
        cluster.hosts[frozen].freeze()
        others = [name for name in cluster.hosts if name != frozen] * REQUESTS_PER_HOST
        await asyncio.gather(*(ask_at(name, asked + at) for at, name in enumerate(others)))
        asked += len(others)
        cluster.hosts[frozen].resume()
        await asyncio.gather(*(ask_at(name, asked + at) for at, name in enumerate(cluster.hosts)))
        asked += len(cluster.hosts)
    reports = [
        await cluster.get(engine, "/admin/executions", ExecutionReports)
        for engine in cluster.engines.values()
    ]
    executed = [each for report in reports for each in report.executions if each.executed]
    assert len(executed) == asked
