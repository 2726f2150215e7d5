"""A stopping host sends nothing that it must not cut and is not expected to finish."""

from __future__ import annotations

import asyncio
import contextlib
from random import Random

from msgspec import structs
import pytest

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.forwarding._sending import HostStoppingError
from tanagerscale.forwarding._sending import SendPath
from tanagerscale.forwarding._sending import send_request
from tanagerscale.routes import Route
from tanagerscale.routes import RouteKind
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import route_request
from testing._late_requests import DUE_MS
from testing._late_requests import GRACE_S
from testing._late_requests import SAFE
from testing._late_requests import SHORT_TOKENS
from testing._late_requests import STREAM
from testing._late_requests import TARGET_MS
from testing._late_requests import TIMEOUT_MS
from testing._late_requests import UNSAFE
from testing._late_requests import End
from testing._late_requests import Host
from testing._late_requests import Work
from testing._virtual_time import run_virtually

LATE_MS = DUE_MS - TARGET_MS + 100
"""Time from the start of a shutdown from which on a request of the target is not finished."""


def _make_request(route_name: str, name: str = "request") -> CallerRequest:
    prompt = 100 if route_name == "stream" else None
    path = f"/{route_name}/x"
    return make_request(name=name, path=path, prompt=prompt, max_tokens=SHORT_TOKENS)


def _kind(responder: FakeResponder) -> RefusalKind | None:
    return None if responder.refusal is None else responder.refusal.kind


async def _stop_with_one(
    host: Host, route_name: str, *, is_delegated: bool = False
) -> FakeResponder:
    """Send a request as the host begins to stop, and return what its caller has when it ends."""
    stopping = asyncio.create_task(host.stop())
    await asyncio.sleep(0.01)
    serving = host.call(_make_request(route_name), is_delegated=is_delegated)
    await stopping
    assert serving.done()
    return serving.result()


# Guards against requests that are sent once more although the shutdown leaves no time for them.
@pytest.mark.parametrize("is_delegated", [False, True], ids=["own", "delegated"])
@pytest.mark.parametrize("route_name", ["unsafe", "stream"])
@pytest.mark.parametrize("held_ms", [LATE_MS, 6500, 7000])
def test_request_is_not_sent_again_when_an_upstream_has_refused_it_late(
    held_ms: int, route_name: str, is_delegated: bool
) -> None:
    async def scenario() -> None:
        refused = Work(work_ms=held_ms, end=End.NOT_EXECUTED)
        host = Host([refused, Work(work_ms=TIMEOUT_MS)])
        responder = await _stop_with_one(host, route_name, is_delegated=is_delegated)
        assert [one.end for one in host.upstreams.arrivals] == [End.NOT_EXECUTED]
        assert _kind(responder) is RefusalKind.OVERLOADED

    run_virtually(scenario())


# Guards against requests that are sent late, since their connections took long to open.
@pytest.mark.parametrize("route_name", ["unsafe", "stream"])
@pytest.mark.parametrize("connect_ms", [LATE_MS, 6500, 7000])
def test_request_is_not_sent_when_its_connection_opens_late(
    connect_ms: int, route_name: str
) -> None:
    async def scenario() -> None:
        host = Host([Work(connect_ms=connect_ms, work_ms=TIMEOUT_MS)])
        responder = await _stop_with_one(host, route_name)
        assert host.upstreams.arrivals == []
        assert _kind(responder) is RefusalKind.OVERLOADED

    run_virtually(scenario())


# Guards against an upstream that is expected to answer fast although others have shown that it
# doesn't: the request is cut, and its caller can't repeat it.
@pytest.mark.parametrize(
    "refusing", [Work(work_ms=3000, end=End.NOT_EXECUTED), Work(connect_ms=3000)], ids=str
)
def test_request_that_must_not_be_repeated_is_not_sent_when_it_has_missed_its_target(
    refusing: Work,
) -> None:
    async def scenario() -> None:
        host = Host([refusing, Work(work_ms=TIMEOUT_MS)])
        responder = await _stop_with_one(host, "unsafe")
        assert all(one.end is End.NOT_EXECUTED for one in host.upstreams.arrivals)
        assert _kind(responder) is RefusalKind.OVERLOADED

    run_virtually(scenario())


# Guards against requests that another host gets late and this one cuts.
@pytest.mark.parametrize("route_name", ["unsafe", "stream"])
def test_request_is_not_delegated_when_no_time_is_left_for_it(route_name: str) -> None:
    async def scenario() -> None:
        host = Host([Work(connect_ms=2200, end=End.UNREACHED)])
        responder = await _stop_with_one(host, route_name)
        assert host.delegates.asked == []
        assert _kind(responder) is RefusalKind.OVERLOADED

    run_virtually(scenario())


@pytest.mark.parametrize("route_name", ["unsafe", "safe", "stream"])
def test_request_is_delegated_when_there_is_time_for_it(route_name: str) -> None:
    async def scenario() -> None:
        host = Host([Work(connect_ms=100, end=End.UNREACHED)])
        responder = await _stop_with_one(host, route_name)
        assert host.delegates.asked == ["request"]
        assert _kind(responder) is RefusalKind.UPSTREAM_FAILED

    run_virtually(scenario())


def test_request_that_may_have_run_is_repeated_late_when_its_route_allows_it() -> None:
    async def scenario() -> None:
        # The hedged attempt breaks off after the end.
        broken_off = Work(work_ms=6500, end=End.BROKEN_OFF)
        host = Host([broken_off, broken_off, Work(work_ms=100)])
        responder = await _stop_with_one(host, "safe")
        assert (responder.status, responder.refusal) == (200, None)

    run_virtually(scenario())


@pytest.mark.parametrize("route_name", ["unsafe", "safe", "stream"])
def test_request_is_sent_again_when_there_is_time_for_it(route_name: str) -> None:
    async def scenario() -> None:
        host = Host([Work(work_ms=1000, end=End.NOT_EXECUTED), Work(work_ms=1000)])
        responder = await _stop_with_one(host, route_name)
        assert responder.status == 200
        assert len(host.upstreams.arrivals) == 2

    run_virtually(scenario())


GOES_ON = {
    SendPath.FIRST: (),
    SendPath.REPEATED: (RouteKind.IDEMPOTENT,),
    SendPath.HEDGED: (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING),
    SendPath.PLACED: (),
    SendPath.PLACED_AGAIN: (),
    SendPath.RESUMED: (RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING),
}
"""Kinds of requests that may have run by the time they take a path; a path without an entry fails
the tests."""


# Guards against a way to upstreams that doesn't ask whether the host lives long enough.
@pytest.mark.parametrize("route", [UNSAFE, SAFE, STREAM], ids=["unsafe", "safe", "stream"])
@pytest.mark.parametrize("path", list(SendPath))
def test_sender_withholds_what_has_not_run_on_each_path_when_no_time_is_left(
    path: SendPath, route: Route
) -> None:
    async def scenario() -> bool:
        fakes = make_gateway_fakes(make_entry("x"))
        context = structs.replace(fakes.context, can_start=lambda _routed: False)
        request = make_request(prompt=100)
        entry = fakes.upstreams.entries[0]
        sending = send_request(
            route_request(request, route),
            context,
            UpstreamRequest(request=request, upstream=entry, account=None, time_left_ms=None),
            path=path,
            chosen_at=context.clock.now(),
        )
        with contextlib.suppress(HostStoppingError):
            await sending
        return bool(fakes.upstream_client.requests)

    assert run_virtually(scenario()) == (route.kind in GOES_ON[path])


def _draw_works(rng: Random) -> list[Work]:
    """Return what the upstreams of a run do, which is answering soon in most cases."""
    return [
        Work(
            connect_ms=rng.choice((0, 0, 0, 300, 1100, 2500)),
            work_ms=rng.choice((20, 100, 900, 2200, 4500, TIMEOUT_MS)),
            end=rng.choice((End.ANSWERED, End.ANSWERED, *End)),
        )
        for _ in range(200)
    ]


async def _call_at_random(
    host: Host, rng: Random, stopping: asyncio.Task[None]
) -> dict[str, asyncio.Task[FakeResponder]]:
    """Make calls of all kinds until the host has ended; return them by the ids of the requests."""
    calls: dict[str, asyncio.Task[FakeResponder]] = {}
    while not stopping.done():
        route_name = rng.choice(("unsafe", "unsafe", "safe", "stream"))
        request = _make_request(route_name, f"{route_name}-{len(calls)}")
        time_left_ms = rng.choice((None, None, 900, 2500, 6000))
        request = structs.replace(request, time_left_ms=time_left_ms)
        calls[request.request] = host.call(request, is_delegated=rng.random() < 0.2)
        if rng.random() < 0.1:
            host.configure(version=len(calls) + 1)
        await asyncio.sleep(rng.uniform(0.0, 0.2))
    return calls


# Guards against requests that are taken or sent late in a grace period and cut at its end.
@pytest.mark.parametrize("grace_s", [1.5, 3.0, GRACE_S])
@pytest.mark.parametrize("seed", range(30))
def test_nothing_is_passed_on_and_cut_when_a_host_stops(seed: int, grace_s: float) -> None:
    async def scenario() -> None:
        rng = Random(seed)
        host = Host(_draw_works(rng))
        stopping = asyncio.create_task(host.stop(grace_s=grace_s))
        await asyncio.sleep(0)
        calls = await _call_at_random(host, rng, stopping)
        await asyncio.sleep(0)
        due_ms = int(grace_s * MS_PER_SECOND) - (int(GRACE_S * MS_PER_SECOND) - DUE_MS)
        for request, call in calls.items():
            arrivals = [one for one in host.upstreams.arrivals if one.request == request]
            assert call.done(), request
            responder = call.result()
            assert responder.begun or responder.refusal is not None, request
            if _kind(responder) is RefusalKind.OVERLOADED:
                assert all(one.end is End.NOT_EXECUTED for one in arrivals), request
            if not request.startswith("safe"):
                assert all(one.finished_ms <= due_ms for one in arrivals), request

    run_virtually(scenario())
