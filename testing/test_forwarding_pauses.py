"""Requests at upstreams that have asked this host for a pause."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from msgspec import structs
import pytest
from returns.result import Failure
from returns.result import Result

from tanagerscale.coordination import Permit
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import UpstreamRequest
from tanagerscale.forwarding._plain import HEDGE_DELAY_RATIO
from tanagerscale.forwarding._plain import PlainForwarder
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.generated.messages import PlaceAnswer
from tanagerscale.generated.messages import PlaceAsk
from tanagerscale.generated.messages import PlaceKind
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import FakeRetryPermits
from testing._gateway_fakes import FakeUpstreamClient
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_stream_mover
from testing._gateway_fakes import make_table
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

X, Y, Z = (UpstreamId(name) for name in "xyz")
PAUSE_MS = 3000
FULL_TOKENS = 31_000
Found = Result[UpstreamEntry, Refusal]


class HostileDecider:
    """Decider that chooses the given engines one after another, whatever the asks exclude."""

    def __init__(self, *upstreams: str) -> None:
        self.asks: list[PlaceAsk] = []
        self._upstreams = list(upstreams)

    async def place(self, *, ask: PlaceAsk) -> PlaceAnswer:
        """Choose the next engine; wait for ever after the last one."""
        self.asks.append(ask)
        if not self._upstreams:
            await asyncio.Event().wait()
        return PlaceAnswer(serial=0, kind=PlaceKind.SEND, upstream=self._upstreams.pop(0))


def _make_fakes(*names: str) -> GatewayFakes:
    return make_gateway_fakes(*(make_entry(name) for name in names))


def _full_response() -> FakeResponse:
    return FakeResponse(status=503, not_executed=True)


async def _serve(
    fakes: GatewayFakes, *, kind: RouteKind = RouteKind.IDEMPOTENT
) -> tuple[FakeResponder, Refusal | None]:
    routed = route_request(make_request(), make_route(kind=kind))
    responder = FakeResponder()
    refusal = await PlainForwarder(routed=routed, context=fakes.context).serve(responder)
    return responder, refusal


def _find_engine(
    fakes: GatewayFakes, name: str = "1", placer: HostileDecider | None = None
) -> asyncio.Task[Found]:
    admission = Admission(context=fakes.context, placer=placer or fakes.single_host.client)
    route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000)
    routed = route_request(make_request(name=name, prompt=3000), route)
    return asyncio.create_task(admission.find_engine(routed=routed, excluded=frozenset()))


def _fill(fakes: GatewayFakes, upstream: UpstreamId) -> None:
    fakes.work.begin(
        request=make_request(name=f"filler-{upstream}").request,
        upstream=upstream,
        prompt_tokens=0,
        tokens=FULL_TOKENS,
        is_long=True,
    )


def _assert_refused_for(refusal: Refusal | None, *, pause_ms: int) -> None:
    assert refusal is not None
    assert refusal.kind is RefusalKind.OVERLOADED
    assert refusal.retry_after_ms is not None
    assert pause_ms <= refusal.retry_after_ms <= 1.5 * pause_ms


def test_paused_upstream_gets_requests_again_when_its_pause_ends() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.context.work.plain_counts[Y] = 5
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        await _serve(fakes)
        await asyncio.sleep(PAUSE_MS / 1000)
        await _serve(fakes)
        assert fakes.upstream_client.asked == ["y", "x"]

    run_virtually(scenario())


# A retry went to an upstream that had asked for a pause, since it was the least loaded one.
@pytest.mark.parametrize("first", [FakeResponse(status=500), _full_response()])
def test_request_is_not_retried_at_a_paused_upstream(first: FakeResponse) -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y", "z")
        fakes.context.work.plain_counts.update({Y: 1, Z: 2})
        fakes.upstream_client.set("x", first)
        fakes.pauses.record(upstream=Y, pause_ms=PAUSE_MS)
        responder, _ = await _serve(fakes)
        assert responder.status == 200
        assert fakes.upstream_client.asked == ["x", "z"]

    run_virtually(scenario())


def test_request_is_not_hedged_at_a_paused_upstream() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.context.work.plain_counts[Y] = 5
        fakes.upstream_client.hanging = {"x"}
        fakes.pauses.record(upstream=Y, pause_ms=PAUSE_MS)
        serving = asyncio.create_task(_serve(fakes))
        await asyncio.sleep(2 * HEDGE_DELAY_RATIO)
        assert fakes.upstream_client.asked == ["x"]
        serving.cancel()

    run_virtually(scenario())


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
def test_request_is_refused_at_once_with_the_shortest_pause_when_all_upstreams_are_paused(
    kind: RouteKind,
) -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.pauses.record(upstream=X, pause_ms=2 * PAUSE_MS)
        fakes.pauses.record(upstream=Y, pause_ms=PAUSE_MS)
        _, refusal = await _serve(fakes, kind=kind)
        _assert_refused_for(refusal, pause_ms=PAUSE_MS)
        assert fakes.context.clock.now() == 0
        assert fakes.upstream_client.asked == []
        assert fakes.context.metrics.pause_refusals._value.get() == 1

    run_virtually(scenario())


def test_request_is_refused_with_the_pause_when_its_own_attempts_caused_it() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x")
        fakes.upstream_client.set("x", _full_response())
        context = structs.replace(fakes.context, upstream_client=PausingClient(fakes))
        routed = route_request(make_request(), make_route())
        refusal = await PlainForwarder(routed=routed, context=context).serve(FakeResponder())
        _assert_refused_for(refusal, pause_ms=PAUSE_MS)

    run_virtually(scenario())


def test_request_that_may_have_run_is_not_said_to_have_been_refused_for_a_pause() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.context.work.plain_counts[Y] = 5
        fakes.upstream_client.set("x", ExchangeError(ExchangeFailure.LOST, "reset"))
        fakes.pauses.record(upstream=Y, pause_ms=PAUSE_MS)
        _, refusal = await _serve(fakes)
        assert refusal is not None
        assert refusal.kind is RefusalKind.UPSTREAM_FAILED

    run_virtually(scenario())


def test_request_is_not_refused_for_a_pause_when_a_failing_upstream_is_left() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        for _ in range(10):
            fakes.context.health.record_failure(upstream=Y)
        responder, _ = await _serve(fakes)
        assert responder.status == 200
        assert fakes.upstream_client.asked == ["y"]

    run_virtually(scenario())


class PausingClient:
    """Client of upstreams that ask for a pause in each refusal.

    :param fakes: Their responses and pauses.
    """

    def __init__(self, fakes: GatewayFakes) -> None:
        self._client: FakeUpstreamClient = fakes.upstream_client
        self._pauses = fakes.pauses

    async def send(self, *, upstream_request: UpstreamRequest) -> FakeResponse:
        """React to a request, and record the pause before the response is returned."""
        response = await self._client.send(upstream_request=upstream_request)
        if response.not_executed:
            upstream = upstream_request.upstream.upstream
            self._pauses.record(upstream=upstream, pause_ms=PAUSE_MS)
        return response


def test_upstream_that_asks_for_a_pause_while_a_permit_is_awaited_gets_no_request() -> None:
    class SlowPermits:
        """Decider in whose answer time the upstream asks for a pause."""

        async def acquire(self, *, upstreams: Sequence[UpstreamId], **_: object) -> Permit:
            fakes.pauses.record(upstream=upstreams[0], pause_ms=PAUSE_MS)
            return Permit(may_send=True, upstream=upstreams[0])

    async def scenario() -> None:
        fakes.tables.table = make_table(warmup_ms=60_000, warmup_requests_per_s=1.0)
        fakes.upstreams.cold["x"] = 60_000
        context = structs.replace(fakes.context, rate_permits=SlowPermits())
        routed = route_request(make_request(), make_route())
        refusal = await PlainForwarder(routed=routed, context=context).serve(FakeResponder())
        _assert_refused_for(refusal, pause_ms=PAUSE_MS)
        assert fakes.upstream_client.asked == []

    fakes = _make_fakes("x")
    run_virtually(scenario())


def test_generation_is_not_placed_on_a_paused_engine() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        found = [await _find_engine(fakes, str(number)) for number in range(4)]
        assert [one.unwrap().upstream for one in found] == ["y"] * 4

    run_virtually(scenario())


def test_generation_is_placed_again_when_the_placed_engine_is_paused_here() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        placer = HostileDecider("x", "y")
        assert (await _find_engine(fakes, placer=placer)).unwrap().upstream == "y"
        assert [ask.excluded for ask in placer.asks] == [["x"], ["x"]]

    run_virtually(scenario())


def test_placed_engine_that_was_paused_here_counts_again_when_its_pause_ends() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        placer = HostileDecider("x")
        waiting = _find_engine(fakes, placer=placer)
        await asyncio.sleep(2 * PAUSE_MS / 1000)
        assert [ask.excluded for ask in placer.asks] == [["x"], ["x"], []]
        waiting.cancel()

    run_virtually(scenario())


# A waiting generation kept the exclusions of the moment at which it was asked for.
def test_waiting_generation_is_asked_for_again_when_a_pause_begins_and_when_it_ends() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        placer = HostileDecider()
        waiting = _find_engine(fakes, placer=placer)
        await asyncio.sleep(0.5)
        fakes.pauses.record(upstream=X, pause_ms=1000)
        await asyncio.sleep(0.5)
        fakes.pauses.record(upstream=X, pause_ms=1000)
        await asyncio.sleep(1.5)
        assert [ask.excluded for ask in placer.asks] == [[], ["x"], []]
        assert [ask.waited_ms for ask in placer.asks] == [0, 500, 2001]
        waiting.cancel()

    run_virtually(scenario())


def test_waiting_generation_gets_an_engine_when_its_pause_ends() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        _fill(fakes, Y)
        fakes.pauses.record(upstream=X, pause_ms=1000)
        waiting = _find_engine(fakes)
        await asyncio.sleep(0.9)
        assert not waiting.done()
        assert (await waiting).unwrap().upstream == "x"
        assert fakes.context.clock.now() <= 1010

    run_virtually(scenario())


def test_waiting_generation_is_refused_at_once_when_all_engines_have_asked_for_a_pause() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        for upstream in (X, Y):
            _fill(fakes, upstream)
        waiting = _find_engine(fakes)
        await asyncio.sleep(0.5)
        fakes.pauses.record(upstream=X, pause_ms=PAUSE_MS)
        fakes.pauses.record(upstream=Y, pause_ms=2 * PAUSE_MS)
        found = await waiting
        assert isinstance(found, Failure)
        _assert_refused_for(found.failure(), pause_ms=PAUSE_MS)
        assert fakes.context.clock.now() == 500
        assert fakes.single_host.coordinator.queue.waiting == 0

    run_virtually(scenario())


def test_nothing_waits_at_the_decider_when_the_caller_of_a_waiting_generation_leaves() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x")
        _fill(fakes, X)
        waiting = _find_engine(fakes)
        await asyncio.sleep(0.5)
        assert fakes.single_host.coordinator.queue.waiting == 1
        waiting.cancel()
        await asyncio.sleep(0.01)
        assert fakes.single_host.coordinator.queue.waiting == 0
        assert fakes.single_host.client.pending_placements == 0

    run_virtually(scenario())


def test_no_retry_is_taken_from_the_budget_when_all_other_engines_are_paused() -> None:
    async def scenario() -> None:
        fakes = _make_fakes("x", "y")
        fakes.upstream_client.set("x", _full_response())
        fakes.pauses.record(upstream=Y, pause_ms=PAUSE_MS)
        route = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000, attempts=1)
        run = StreamRun(
            routed=route_request(make_request(prompt=100), route),
            responder=FakeResponder(),
            context=fakes.context,
            admission=Admission(context=fakes.context, placer=fakes.single_host.client),
            hooks=make_stream_mover(fakes),
        )
        _assert_refused_for(await run.serve(), pause_ms=PAUSE_MS)
        assert fakes.upstream_client.asked == ["x"]
        permits = fakes.context.retry_permits
        assert isinstance(permits, FakeRetryPermits)
        assert permits.granted == 0

    run_virtually(scenario())


def test_pause_of_an_engine_of_another_service_changes_no_ask() -> None:
    async def scenario() -> None:
        other = make_entry("other", service=ServiceId("other"))
        fakes = make_gateway_fakes(make_entry("x"), other)
        placer = HostileDecider()
        waiting = _find_engine(fakes, placer=placer)
        await asyncio.sleep(0.1)
        fakes.pauses.record(upstream=other.upstream, pause_ms=PAUSE_MS)
        await asyncio.sleep(PAUSE_MS / 1000)
        assert [ask.excluded for ask in placer.asks] == [[]]
        waiting.cancel()

    run_virtually(scenario())
