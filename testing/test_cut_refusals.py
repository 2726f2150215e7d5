"""What a host logs of the refusals and last bytes that do not reach their callers."""

from __future__ import annotations

import asyncio
import contextlib

import logbook
import pytest

from tanagerscale.forwarding import Refusal
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
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


class _SlowEnd(FakeResponder):
    """Waits for the caller while it ends a response."""

    async def end(self) -> None:
        """Wait."""
        await asyncio.Event().wait()


# Guards against a line that blames an engine for an answer which only its caller has not read.
def test_cut_answer_is_logged_as_whole_at_its_engine_when_only_its_end_is_not_sent() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.upstream_client.set("x", FakeResponse(chunks=[b"id: 1\ndata: a\n\n"]))
        with logbook.TestHandler().applicationbound() as logs:
            request = make_request(path="/s/x", prompt=100, max_tokens=2000)
            serving = asyncio.create_task(harness.dispatcher.serve(request, _SlowEnd()))
            await asyncio.sleep(1.0)
            serving.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await serving
        (line,) = [one.kwargs for one in logs.records if one.message == "A caller has left."]
        assert (line["request"], line["upstream"]) == (request.request, "x")
        assert (line["begun"], line["upstream_part"]) == (True, "whole")

    run_virtually(scenario())


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
            (one.message, one.kwargs["request"], one.kwargs["closed_by"])
            for one in logs.records
            if one.message in ("A request is answered with a failure.", "A caller has left.")
        ]
        assert lines == [
            ("A request is answered with a failure.", request.request, "open"),
            ("A caller has left.", request.request, "this-host"),
        ]

    run_virtually(scenario())
