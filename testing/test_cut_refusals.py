"""What a host logs of the requests whose refusals do not reach their callers."""

from __future__ import annotations

import asyncio
import contextlib

import logbook
import pytest

from tanagerscale.forwarding import Refusal
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import make_request
from testing._virtual_time import run_virtually
from testing.test_forwarding_dispatcher import DispatcherHarness


class _SlowRefusal(FakeResponder):
    """Waits for the caller while it sends a refusal, or finds that the caller has left."""

    def __init__(self, *, has_left: bool) -> None:
        super().__init__()
        self._has_left = has_left

    async def refuse(self, *, refusal: Refusal) -> None:
        """Wait or fail."""
        if self._has_left:
            raise ConnectionResetError("Cannot write to closing transport")
        await asyncio.Event().wait()


# Guards against a request that only has a line which says that it has been answered.
@pytest.mark.parametrize("has_left", [False, True])
@pytest.mark.parametrize("path", ["/none", "/a/x"])
def test_request_is_logged_as_cut_when_its_refusal_is_not_sent(path: str, has_left: bool) -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.upstream_client.hanging = {"x"}
        responder = _SlowRefusal(has_left=has_left)
        with logbook.TestHandler().applicationbound() as logs:
            request = make_request(path=path)
            serving = asyncio.create_task(harness.dispatcher.serve(request, responder))
            await asyncio.sleep(60.0)
            serving.cancel()
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                await serving
        lines = [
            (one.message, one.kwargs["request"])
            for one in logs.records
            if one.message in ("A request is answered with a failure.", "A caller has left.")
        ]
        assert lines == [
            ("A request is answered with a failure.", request.request),
            ("A caller has left.", request.request),
        ]

    run_virtually(scenario())
