"""Fixtures for tests with real processes and with stand-ins in the test's own process."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path

from aiohttp import web
from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer
import pytest_asyncio

from standins.launcher import Cluster
from standins.launcher import ClusterPlan
from standins.processes import Launcher

Client = TestClient[web.Request, web.Application]
ClientOf = Callable[[web.Application], Awaitable[Client]]
StartCluster = Callable[[ClusterPlan], Awaitable[Cluster]]


@pytest_asyncio.fixture
async def launcher(tmp_path: Path) -> AsyncIterator[Launcher]:
    """Start modules as processes, all ended with the test."""
    async with Launcher(directory=tmp_path) as made:
        yield made


@pytest_asyncio.fixture
async def start_cluster(tmp_path: Path) -> AsyncIterator[StartCluster]:
    """Start clusters of real processes, all ended with the test."""
    async with AsyncExitStack() as stack:

        async def start(plan: ClusterPlan) -> Cluster:
            return await stack.enter_async_context(Cluster(plan=plan, directory=tmp_path))

        yield start


@pytest_asyncio.fixture
async def client_of() -> AsyncIterator[ClientOf]:
    """Serve applications in the test's own process."""
    async with AsyncExitStack() as stack:

        async def serve(app: web.Application) -> Client:
            return await stack.enter_async_context(TestClient(TestServer(app)))

        yield serve
