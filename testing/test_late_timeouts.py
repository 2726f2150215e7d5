"""Waits for upstreams whose timeouts are due while the event loop stands still."""

from __future__ import annotations

import asyncio
from random import Random
import time

import pytest

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import finish_within
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.upstreams import PROBE_TIMEOUT_MS
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import count_open_connections
from tanagerscale.upstreams._connection import open_connection
from tanagerscale.upstreams._paths import UpstreamPaths
from testing._engine_exchanges import answer_properly
from testing._engine_exchanges import make_engine_entry
from testing._engine_exchanges import make_pool
from testing._scripted_peer import run_scripted_peer
from testing._virtual_time import run_virtually

CONNECT_TIMEOUT_MS = 200


def _stand_still(for_ms: int) -> None:
    time.sleep(for_ms / MS_PER_SECOND)


async def _run_steps(steps: int) -> None:
    """Let the event loop run some steps."""
    for _ in range(steps):
        await asyncio.sleep(0)


# A connection that was made while the event loop stood still was taken for one that was not made.
@pytest.mark.asyncio
@pytest.mark.parametrize("steps", range(1, 6))
async def test_connection_is_used_when_the_event_loop_stands_still_while_it_is_made(
    steps: int,
) -> None:
    async with run_scripted_peer(lambda _: []) as peer:
        connecting = asyncio.create_task(
            open_connection(address=peer.address, timeout_ms=CONNECT_TIMEOUT_MS, now=Clock().now())
        )
        await _run_steps(steps)
        _stand_still(2 * CONNECT_TIMEOUT_MS)
        connection = await connecting
        assert connection.is_open
        connection.close()


# A connection that is made as its request is cancelled must not stay open.
@pytest.mark.asyncio
@pytest.mark.parametrize("steps", range(8))
async def test_no_connection_stays_open_when_the_wait_for_it_is_cancelled(steps: int) -> None:
    before = count_open_connections()
    async with run_scripted_peer(lambda _: []) as peer:
        connecting = asyncio.create_task(
            open_connection(address=peer.address, timeout_ms=CONNECT_TIMEOUT_MS, now=Clock().now())
        )
        await _run_steps(steps)
        connecting.cancel()
        [result] = await asyncio.gather(connecting, return_exceptions=True)
        if not isinstance(result, BaseException):
            result.close()
        await _run_steps(8)
        assert count_open_connections() == before


@pytest.mark.asyncio
async def test_connection_fails_when_the_peer_refuses_it() -> None:
    async with run_scripted_peer(lambda _: []) as peer:
        pass
    with pytest.raises(ExchangeError):
        await open_connection(address=peer.address, timeout_ms=CONNECT_TIMEOUT_MS, now=Millis(0))


# An upstream that answered a probe while the event loop stood still was taken for a silent one, and
# its host for one that reaches no upstream.
@pytest.mark.asyncio
@pytest.mark.parametrize("steps", range(1, 12, 2))
async def test_probe_is_answered_when_the_event_loop_stands_still_meanwhile(steps: int) -> None:
    pool = make_pool()
    client = PlatformUpstreams(pool=pool)

    async def probe(entry: UpstreamEntry, force_new: bool) -> bool:
        return await client.probe(upstream=entry, force_new=force_new)

    async with run_scripted_peer(lambda request: [answer_properly(request)]) as peer:
        entry = make_engine_entry(peer.address)
        paths = UpstreamPaths(probe=probe, known=lambda: [entry], clock=Clock(), rng=Random(1))
        answering = asyncio.create_task(paths.answers([entry]))
        await _run_steps(steps)
        _stand_still(2 * PROBE_TIMEOUT_MS)
        assert await answering
    pool.close()


@pytest.mark.parametrize("timeout_ms", [1, 20, 70, 250, 400])
def test_wait_ends_at_its_timeout_when_the_event_loop_runs(timeout_ms: int) -> None:
    async def measure() -> float:
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(TimeoutError):
            await finish_within(asyncio.sleep(10), timeout_ms=timeout_ms)
        return loop.time() - began

    assert run_virtually(measure()) == pytest.approx(timeout_ms / MS_PER_SECOND)


def test_wait_returns_the_result_or_raises_its_error() -> None:
    async def fail() -> None:
        raise ValueError

    async def wait() -> None:
        assert await finish_within(asyncio.sleep(0.2, result=3), timeout_ms=300) == 3
        with pytest.raises(ValueError):
            await finish_within(fail(), timeout_ms=300)

    run_virtually(wait())
