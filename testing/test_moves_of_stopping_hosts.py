"""Moves of runs whose host is stopping, so that it will cut them at the end of its grace period."""

from __future__ import annotations

import asyncio

import pytest

from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import MoveKind
from testing._moving_host import MovingHost
from testing._virtual_time import run_virtually

GRACE_S = 8.0
LAST_SIXTH_S = GRACE_S * 5 / 6
CUT_S = 7.3
POLL_S = 0.01
SLOW_MS = 2000


async def _find_idle_times(host: MovingHost, began: float) -> list[float]:
    """Return when no engine works on the run in the last sixth of the grace period."""
    loop = asyncio.get_running_loop()
    idle = []
    await asyncio.sleep(began + LAST_SIXTH_S - loop.time())
    while loop.time() < began + CUT_S - POLL_S:
        request = host.streams[0].stream.request
        if not any(request in engine.works for engine in host.world.engines.values()):
            idle.append(round(loop.time() - began, 2))
        await asyncio.sleep(POLL_S)
    return idle


# Guards against a run that its host stops for balance, and that no engine works on as the host cuts
# its answer, since the target takes longer than the host has left.
@pytest.mark.parametrize("at_s", [4.5, 5.4, 5.8, 6.2, 6.5])
def test_run_of_a_stopping_host_is_not_stopped_for_balance(at_s: float) -> None:
    async def scenario() -> None:
        host = MovingHost("x", "y")
        began = asyncio.get_running_loop().time()
        host.stop(grace_s=GRACE_S)
        await asyncio.sleep(4.0)
        stream = await host.start("r0")
        target = "x" if stream.stream.entry is not None and stream.stream.entry.name == "y" else "y"

        def slow_down() -> None:
            host.world.engines[UpstreamId(target)].delay_ms = SLOW_MS

        host.world.on_stop = slow_down
        await asyncio.sleep(began + at_s - asyncio.get_running_loop().time())
        host.order(stream, to=target, kind=MoveKind.EVEN_OUT)
        assert await _find_idle_times(host, began) == []
        await host.finish()

    run_virtually(scenario())


# Guards against losing the runs of an engine that leaves while their host is stopping.
@pytest.mark.parametrize("at_s", [0.0, 2.5])
def test_run_at_a_leaving_engine_is_moved_when_its_host_is_stopping(at_s: float) -> None:
    async def scenario() -> None:
        host = MovingHost("x", "y")
        host.stop(grace_s=GRACE_S)
        await asyncio.sleep(at_s)
        stream = await host.start("r0")
        target = "x" if stream.stream.entry is not None and stream.stream.entry.name == "y" else "y"
        await asyncio.sleep(1.0)
        host.order(stream, to=target, kind=MoveKind.LEAVE)
        await host.finish()
        assert host.world.stops == [target]
        assert stream.is_whole

    run_virtually(scenario())
