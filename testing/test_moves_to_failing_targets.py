"""Moves to targets that fail, with deciders of different ages, while the host of the run stops."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

import pytest

from tanagerscale.core import UpstreamId
from tanagerscale.generated.messages import MoveKind
from testing._moving_host import MovingHost
from testing._virtual_time import run_virtually

ONE_REPEAT: Final = 10.0
"""Fixed number of the retry budget of which a new decider grants one repeat at once, and the next
one 2.5 s later."""

COPY_AGE_S: Final = 1.2
"""Age of the earlier copy at the target as the run is ordered there."""

LEAVES_MS: Final = 4000
"""Time from the notice of an engine to its end."""

GRACE_S: Final = 5.0
MAX_GAP_MS: Final = 2000
"""Longest gap in an answer that any caller accepts."""


def _crash(host: MovingHost, target: str) -> None:
    host.world.end_engine(target, reason="crashes")


def _fill(host: MovingHost, target: str) -> None:
    host.world.engines[UpstreamId(target)].is_full = True


def _leave(host: MovingHost, target: str) -> None:
    host.world.spawn(host.world.leave(target, lag_ms=0, ends_ms=LEAVES_MS))


def _leave_unknown(host: MovingHost, target: str) -> None:
    host.world.spawn(host.world.leave(target, lag_ms=500, ends_ms=LEAVES_MS))


def _refuse_stop(host: MovingHost, target: str) -> None:
    host.world.engines[UpstreamId(target)].refuses_stops = True


def _stop_host(host: MovingHost) -> None:
    host.stop(grace_s=GRACE_S)


# Guards against losing a stream that is stopped for a target that can't take it, and against a
# second repeat for it, which a new decider has not.
@pytest.mark.parametrize("stops_before", [True, False])
@pytest.mark.parametrize("age_ms", [0, 50, 200, 500, 1000])
@pytest.mark.parametrize(
    ("fail", "is_stopped"),
    [
        (_crash, False),
        (_fill, False),
        (_leave, False),
        (_leave_unknown, True),
        (_refuse_stop, True),
    ],
)
def test_stream_is_whole_when_it_is_ordered_to_a_target_that_fails(
    fail: Callable[[MovingHost, str], None], is_stopped: bool, age_ms: int, stops_before: bool
) -> None:
    async def scenario() -> None:
        host = MovingHost("x", "y", slack=ONE_REPEAT)
        stream = await host.start("r")
        assert stream.stream.entry is not None
        source = stream.stream.entry.upstream
        target = "y" if source == "x" else "x"
        host.order(stream, to=target, kind=MoveKind.AHEAD)
        await asyncio.sleep(COPY_AGE_S)
        assert stream.stream.snapshot is not None
        host.decider.replace(age_ms=age_ms)
        fail(host, target)
        host.world.spawn(host.world.leave(source, lag_ms=0, ends_ms=LEAVES_MS))
        await asyncio.sleep(0)
        if stops_before:
            _stop_host(host)
            await asyncio.sleep(0.1)
        host.world.on_stop = lambda: _stop_host(host)
        host.order(stream, to=target, kind=MoveKind.LEAVE)
        assert host.decider.spent == 1
        await asyncio.sleep(0.1)
        _stop_host(host)
        await host.finish()
        host.check_ends()
        assert stream.is_whole
        assert host.world.stops == ([target] if is_stopped else [])
        assert host.decider.spent == host.world.sent_again == int(is_stopped)
        assert host.decider.refused == 0
        assert stream.responder.longest_gap_ms <= MAX_GAP_MS

    run_virtually(scenario())
