"""Logs tell in which state a run was whose answer is cut."""

from __future__ import annotations

import asyncio
import contextlib

from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding._dispatcher import _RequestInProgress
from testing._gateway_fakes import copy_failure
from testing._moved_stream import MovedStream
from testing._virtual_time import run_virtually


# Guards against a line that says "answering" of a run which no engine works on: the cancellation
# ends the change of engines before its phase is looked at.
def test_run_that_is_cut_between_two_engines_is_reported_as_such() -> None:
    async def scenario() -> None:
        stream = MovedStream("x", "y")
        await stream.start()
        stream.add_copy(at="y")
        failure = copy_failure(CopyFailure.NO_ROOM, retained_copy="retained")
        stream.fakes.engines.stop_failures.append(failure)
        stream.fakes.upstream_client.hanging.add("x")
        in_progress = _RequestInProgress(
            routed=stream.run.routed,
            responder=stream.responder,
            timeout=asyncio.timeout(None),
            forwarder=stream.run,
        )
        await stream.move(to="y")
        await asyncio.sleep(0.5)
        assert in_progress.phase == "between-engines"
        stream.serving.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await stream.serving
        # The dispatcher logs the phase when the cancellation has reached it.
        assert in_progress.phase == "between-engines"

    run_virtually(scenario())
