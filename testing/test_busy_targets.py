"""Moves to engines that are alive and take long: their links, their queues or their prompts."""

from __future__ import annotations

import asyncio

import pytest

from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import MoveKind
from testing._moving_host import HostStream
from testing._moving_host import MovingHost
from testing._virtual_time import run_virtually

BEGUN_S = 1.0
SILENT_MS = 2500
"""Longest pause of a run whose target is silent: times to accept it, to report and to stop it."""


async def _begin(host: MovingHost) -> tuple[HostStream, str, str]:
    """Start a stream and return it with its engine and another one."""
    stream = await host.start("r0")
    await asyncio.sleep(BEGUN_S)
    assert stream.stream.entry is not None
    source = stream.stream.entry.name
    return stream, source, next(name for name in ("x", "y") if name != source)


# Guards against giving up an engine that has taken a run and begins late: the handle of its memory
# can be used only once, so that no other engine can continue the run.
@pytest.mark.parametrize("queue_ms", [900, 1100, 2000, 4000])
@pytest.mark.parametrize("kind", [MoveKind.EVEN_OUT, MoveKind.LEAVE], ids=lambda kind: kind.value)
def test_run_continues_when_its_target_begins_late(kind: MoveKind, queue_ms: int) -> None:
    async def scenario() -> None:
        host = MovingHost("x", "y")
        stream, _, target = await _begin(host)
        host.world.engines[UpstreamId(target)].queue_ms = queue_ms
        host.order(stream, to=target, kind=kind)
        await host.finish()
        assert stream.is_whole, host.world.trace
        host.check_ends()

    run_virtually(scenario())


# Guards against the same loss when the stop takes long, as its engine's link is busy, and the run
# continues from an earlier copy.
@pytest.mark.parametrize("queue_ms", [0, 1100])
@pytest.mark.parametrize("link_ms", [200, 400, 800, 2000])
def test_run_continues_when_its_target_begins_late_and_the_link_is_busy(
    link_ms: int, queue_ms: int
) -> None:
    async def scenario() -> None:
        host = MovingHost("x", "y")
        stream, source, target = await _begin(host)

        def occupy_link() -> None:
            host.world.engines[UpstreamId(source)].link_ms = link_ms

        host.world.on_stop = occupy_link
        host.world.engines[UpstreamId(target)].queue_ms = queue_ms
        host.order(stream, to=target, kind=MoveKind.EVEN_OUT)
        await host.finish()
        assert stream.is_whole, host.world.trace
        assert sum(" sent to " in line for line in host.world.trace) == 1
        host.check_ends()

    run_virtually(scenario())


# Guards against waiting for a target that is silent: another engine has the memory still.
def test_run_goes_back_when_its_target_is_silent() -> None:
    async def scenario() -> None:
        host = MovingHost("x", "y")
        stream, _, target = await _begin(host)

        def fall_silent() -> None:
            host.world.engines[UpstreamId(target)].delay_ms = 20_000

        host.world.on_stop = fall_silent
        host.order(stream, to=target, kind=MoveKind.EVEN_OUT)
        await host.finish()
        assert stream.is_whole, host.world.trace
        assert stream.responder.longest_gap_ms < SILENT_MS
        host.check_ends()

    run_virtually(scenario())
