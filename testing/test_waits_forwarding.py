"""Conditions that change while a forwarded request waits or its stream resumes."""

from __future__ import annotations

import asyncio

from msgspec import structs
import pytest
from returns.result import Failure
from returns.result import Result

from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import RoutedRequest
from tanagerscale.forwarding import StreamMover
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.forwarding._plain import HEDGE_DELAY_RATIO
from tanagerscale.forwarding._plain import PlainForwarder
from tanagerscale.forwarding._snapshots import Snapshot
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.quarantine import request_key
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import copy_failure
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_stream_mover
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

X, Y = UpstreamId("x"), UpstreamId("y")
FULL_TOKENS = 33_000
PAUSE_MS = 30_000
WAIT_S = 0.5
"""How long a request waits before the condition changes."""
NOTICE_MS = 300
"""Time in which a waiting request must notice a change."""
CALL_TIMEOUT_MS = 2500
"""Duration of a call to an engine that does not answer."""
RESUME_MS = 500
"""Time in which a stream with a copy must resume; a recovery may ask its engine for 300 ms."""
DECISION_MS = 500
"""Time in which a stream that all engines have refused must be served or refused."""

Found = Result[UpstreamEntry, Refusal]


def _make_fakes() -> GatewayFakes:
    return make_gateway_fakes(make_entry("x"), make_entry("y"))


def _fill(fakes: GatewayFakes, upstream: UpstreamId) -> None:
    fakes.work.begin(
        request=make_request(name=f"filler-{upstream}").request,
        upstream=upstream,
        prompt_tokens=0,
        tokens=FULL_TOKENS,
        is_long=True,
    )


def _leave(fakes: GatewayFakes, upstream: UpstreamId) -> None:
    fakes.upstreams.leaving.add(upstream)
    fakes.single_host.on_leaving(upstream)


def _find_engine(fakes: GatewayFakes) -> asyncio.Task[Found]:
    admission = Admission(context=fakes.context, placer=fakes.single_host.client)
    route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000)
    routed = route_request(make_request(prompt=3000), route)
    return asyncio.create_task(admission.find_engine(routed=routed, excluded=frozenset()))


def _make_stream(
    fakes: GatewayFakes, *, hooks: StreamMover | None = None
) -> tuple[StreamRun, FakeResponder]:
    route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000, attempts=1)
    responder = FakeResponder()
    run = StreamRun(
        routed=route_request(make_request(prompt=100), route),
        responder=responder,
        context=fakes.context,
        admission=Admission(context=fakes.context, placer=fakes.single_host.client),
        hooks=hooks or make_stream_mover(fakes),
    )
    return run, responder


async def _start_with_copy(fakes: GatewayFakes, run: StreamRun) -> asyncio.Task[Refusal | None]:
    """Serve a stream at x until it has begun, with a copy at y."""
    _fill(fakes, Y)
    serving = asyncio.create_task(run.serve())
    while not run.begun:
        await asyncio.sleep(0.001)
    entry = fakes.upstreams.get(Y)
    assert entry is not None
    run.snapshot = Snapshot(entry=entry, copy="c", taken=fakes.context.clock.now())
    return serving


def _events(*numbers: int) -> list[bytes | None]:
    return [f"id: {number}\ndata: {number}\n\n".encode() for number in numbers]


def _record_crashes(fakes: GatewayFakes, routed: RoutedRequest, *upstreams: str) -> None:
    for upstream in upstreams:
        fakes.context.suspects.record_crash(
            upstream=UpstreamId(upstream), runs=[frozenset({request_key(routed.fingerprint)})]
        )


def _assert_refused_for_pause(found: Found) -> None:
    assert isinstance(found, Failure)
    retry_after_ms = found.failure().retry_after_ms
    assert retry_after_ms is not None
    assert retry_after_ms >= PAUSE_MS - 2 * WAIT_S * 1000


# Guards against losing a stream whose only copy can be used 200 ms later.
@pytest.mark.parametrize("pause_ms", [0, 200])
def test_stream_resumes_when_the_only_holder_of_its_copy_asks_for_a_short_pause(
    pause_ms: int,
) -> None:
    async def scenario() -> None:
        fakes = _make_fakes()
        client = fakes.upstream_client
        client.set("x", FakeResponse(chunks=[*_events(1, 2), None], pause_ms=10))
        refusal = FakeResponse(status=503, not_executed=True, chunks=[])
        client.set("y", refusal, FakeResponse(chunks=_events(3)))

        class PausingClient:
            async def send(self, *, upstream_request: UpstreamRequest) -> FakeResponse:
                """Record a pause with the refusal, as the client of the platform does."""
                response = await client.send(upstream_request=upstream_request)
                if response is refusal and pause_ms:
                    fakes.pauses.record(upstream=Y, pause_ms=pause_ms)
                return response

        fakes.context = structs.replace(fakes.context, upstream_client=PausingClient())
        run, responder = _make_stream(fakes)
        serving = await _start_with_copy(fakes, run)
        fakes.upstreams.leaving.add("x")
        # The engine is gone, so it can't copy the rest.
        fakes.engines.refused.add(run.request)
        assert await serving is None
        assert responder.body == b"".join(event for event in _events(1, 2, 3) if event)

    run_virtually(scenario())


# Guards against a gap as long as the timeout of a call to an engine that does not answer.
def test_stream_resumes_from_its_copy_soon_when_its_engine_dies_while_it_is_asked_to_stop() -> None:
    async def scenario() -> int:
        fakes = _make_fakes()
        mover = make_stream_mover(fakes)
        source = FakeResponse(chunks=_events(*range(1, 100)), pause_ms=10)
        fakes.upstream_client.set("x", source)
        fakes.upstream_client.set("y", FakeResponse(chunks=_events(*range(2, 200))))
        run, _ = _make_stream(fakes, hooks=mover)
        mover.runs.add(run)
        serving = await _start_with_copy(fakes, run)
        entry, snapshot = fakes.upstreams.get(X), run.snapshot
        assert entry is not None
        assert snapshot is not None
        fakes.engines.copy_duration_ms = CALL_TIMEOUT_MS
        fakes.engines.failures.append(copy_failure(CopyFailure.LOST))
        moving = asyncio.create_task(mover._stopper._stop(run, entry, snapshot))
        await asyncio.sleep(0.02)
        died_at = fakes.context.clock.now()
        source.close()
        while fakes.upstream_client.asked != ["x", "y"]:
            assert not serving.done()
            await asyncio.sleep(0.01)
        resumed_at = fakes.context.clock.now()
        await moving
        return resumed_at - died_at

    assert run_virtually(scenario()) <= RESUME_MS


# Guards against sending a request that crashes upstreams to one more of them.
def test_idempotent_request_is_not_repeated_when_its_own_attempt_convicts_it() -> None:
    async def scenario() -> list[str]:
        fakes = _make_fakes()
        for name in "xy":
            fakes.upstream_client.set(name, ExchangeError(ExchangeFailure.LOST, "reset"))
        routed = route_request(make_request(), make_route(kind=RouteKind.IDEMPOTENT))
        _record_crashes(fakes, routed, "a", "b")
        await PlainForwarder(routed=routed, context=fakes.context).serve(FakeResponder())
        return fakes.upstream_client.asked

    assert len(run_virtually(scenario())) == 1


# Guards against waiting for seconds after the only engine without a pause has left.
def test_waiting_generation_is_refused_with_the_pause_when_only_paused_engines_are_left() -> None:
    async def scenario() -> None:
        fakes = _make_fakes()
        _fill(fakes, Y)
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        waiting = _find_engine(fakes)
        await asyncio.sleep(WAIT_S)
        assert not waiting.done()
        _leave(fakes, Y)
        await asyncio.sleep(NOTICE_MS / 1000)
        assert waiting.done()
        _assert_refused_for_pause(waiting.result())

    run_virtually(scenario())


def test_new_generation_is_refused_with_the_pause_when_only_paused_engines_are_left() -> None:
    async def scenario() -> None:
        fakes = _make_fakes()
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        _leave(fakes, Y)
        found = await _find_engine(fakes)
        assert fakes.context.clock.now() == 0
        _assert_refused_for_pause(found)

    run_virtually(scenario())


# Guards against a refusal that comes only with an engine or at the end of the wait.
def test_waiting_stream_is_refused_at_once_when_identical_requests_crash_upstreams() -> None:
    async def scenario() -> None:
        fakes = _make_fakes()
        for upstream in (X, Y):
            _fill(fakes, upstream)
        run, _ = _make_stream(fakes)
        serving = asyncio.create_task(run.serve())
        await asyncio.sleep(WAIT_S)
        assert not serving.done()
        _record_crashes(fakes, route_request(make_request(prompt=100), make_route()), *"abc")
        await asyncio.sleep(NOTICE_MS / 1000)
        assert serving.done()
        refusal = serving.result()
        assert refusal is not None
        assert refusal.kind is RefusalKind.QUARANTINED

    run_virtually(scenario())


# Guards against a wait that neither engine can end, although both are free again.
def test_stream_is_refused_at_once_or_served_when_each_engine_has_refused_it_once() -> None:
    async def scenario() -> int:
        fakes = _make_fakes()
        for name in "xy":
            refusal = FakeResponse(status=503, not_executed=True, chunks=[])
            fakes.upstream_client.set(name, refusal, FakeResponse(chunks=_events(1)))
        run, _ = _make_stream(fakes)
        await run.serve()
        return fakes.context.clock.now()

    assert run_virtually(scenario()) <= DECISION_MS


# Guards against looking for a second upstream only once, at the end of the hedge delay.
@pytest.mark.parametrize("is_paused", [False, True])
def test_request_is_hedged_when_a_second_upstream_opens_after_the_hedge_delay(
    is_paused: bool,
) -> None:
    async def scenario() -> int | None:
        fakes = _make_fakes()
        fakes.upstream_client.hanging = {"x"}
        route = make_route(kind=RouteKind.IDEMPOTENT, timeout_ms=20_000)
        opens_after_ms = int(route.target_ms * HEDGE_DELAY_RATIO) + 200
        if is_paused:
            fakes.pauses.record(upstream=Y, pause_ms=opens_after_ms)
        else:
            fakes.upstreams.leaving.add(Y)
        responder = FakeResponder()
        forwarder = PlainForwarder(
            routed=route_request(make_request(), route), context=fakes.context
        )
        serving = asyncio.create_task(forwarder.serve(responder))
        await asyncio.sleep(opens_after_ms / 1000)
        fakes.upstreams.leaving.discard(Y)
        await asyncio.sleep(WAIT_S)
        serving.cancel()
        return responder.status

    assert run_virtually(scenario()) == 200


# Streams without a length or chunks end with their connection, also those that broke off.
@pytest.mark.parametrize("is_resumed", [False, True])
def test_stream_goes_on_elsewhere_when_its_body_ends_within_an_event(is_resumed: bool) -> None:
    async def scenario() -> tuple[bytes, bool]:
        fakes = _make_fakes()
        first = _events(1, 2) if is_resumed else [*_events(1, 2), b"id: 3\nda"]
        second = [*_events(3), b"id: 4\nda"] if is_resumed else _events(3, 4, 5)
        broken = [*first, None] if is_resumed else first
        fakes.upstream_client.set("x", FakeResponse(chunks=broken, pause_ms=30))
        fakes.upstream_client.set("y", FakeResponse(chunks=[*second], pause_ms=30))
        run, responder = _make_stream(fakes)
        serving = await _start_with_copy(fakes, run)
        await serving
        return responder.body, responder.ended

    events = 3 if is_resumed else 5
    assert run_virtually(scenario()) == (
        b"".join(one for one in _events(*range(1, events + 1)) if one),
        not is_resumed,
    )
