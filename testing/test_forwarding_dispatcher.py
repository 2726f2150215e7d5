"""Every request gets exactly one response in time, in every state of its host."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from msgspec.structs import replace
import pytest

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Millis
from tanagerscale.core import UpstreamId
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import DelegateClient
from tanagerscale.forwarding import Dispatcher
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import ShutdownSchedule
from tanagerscale.forwarding._delegation import DelegatedResponse
from tanagerscale.gateway._graceful_shutdown import drain_requests
from tanagerscale.generated.messages import Delegate
from tanagerscale.generated.messages import RequestClass
from tanagerscale.quarantine import request_key
from tanagerscale.routes import AllowedRegions
from tanagerscale.routes import Route
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import RateObservation
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import GatewayFakes
from testing._gateway_fakes import NoDelegates
from testing._gateway_fakes import make_delegate_selector
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import make_stream_mover
from testing._gateway_fakes import make_table
from testing._gateway_fakes import route_request
from testing._virtual_time import run_virtually

PLAIN = make_route(kind=RouteKind.NON_IDEMPOTENT, prefix="/a/", name="plain")
STREAM = make_route(kind=RouteKind.STREAMING, prefix="/s/", timeout_ms=39_000, name="stream")
STOP_GRACE_S = 8
DUE_AFTER_MS = 7100
"""Time from the start of a shutdown until final responses are due, with that grace period."""
DELEGATE = Delegate(host="other", address="other:1", failure_domain="a")


class DispatcherHarness:
    """A dispatcher built on fakes."""

    def __init__(self, *upstreams: str, delegate_client: DelegateClient | None = None) -> None:
        entries = [make_entry(name) for name in upstreams or ("x",)]
        self.fakes: GatewayFakes = make_gateway_fakes(*entries)
        self.fakes.tables.table = make_table(PLAIN, STREAM)
        self.shutdown = ShutdownSchedule(clock=self.fakes.context.clock)
        context = self.fakes.context
        self.dispatcher = Dispatcher(
            context=context,
            admission=Admission(context=context, placer=self.fakes.single_host.client),
            stream_mover=make_stream_mover(self.fakes),
            allowed_regions=AllowedRegions(regions={}),
            shutdown=self.shutdown,
            delegates=make_delegate_selector(context, DELEGATE),
            delegate_client=delegate_client or NoDelegates(),
        )

    async def serve(self, request: CallerRequest) -> FakeResponder:
        """Return what the caller receives."""
        responder = FakeResponder()
        await self.dispatcher.serve(request, responder)
        return responder


def _kind(responder: FakeResponder) -> RefusalKind | None:
    return None if responder.refusal is None else responder.refusal.kind


def _generation(max_tokens: int = 2000) -> CallerRequest:
    return make_request(path="/s/x", prompt=100, max_tokens=max_tokens)


def test_request_is_answered_when_its_route_matches() -> None:
    async def scenario() -> None:
        responder = await DispatcherHarness().serve(make_request())
        assert (responder.status, responder.body) == (200, b"answer")

    run_virtually(scenario())


def test_host_refuses_with_a_retry_delay_when_it_has_no_declarations() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.tables.table = None
        responder = await harness.serve(make_request())
        assert responder.refusal is not None
        assert responder.refusal.kind is RefusalKind.NOT_READY
        assert responder.refusal.retry_after_ms is not None

    run_virtually(scenario())


@pytest.mark.parametrize("path", ["/b/x", "/a", "/ab/x", "/"])
def test_request_is_refused_as_unknown_route_when_no_route_matches(path: str) -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        responder = await harness.serve(make_request(path=path))
        assert _kind(responder) is RefusalKind.UNKNOWN_ROUTE
        assert harness.fakes.upstream_client.requests == []

    run_virtually(scenario())


def test_request_times_out_at_the_timeout_of_its_route() -> None:
    async def scenario() -> tuple[RefusalKind | None, int]:
        harness = DispatcherHarness()
        harness.fakes.upstream_client.hanging = {"x"}
        responder = await harness.serve(make_request())
        return _kind(responder), harness.fakes.context.clock.now()

    assert run_virtually(scenario()) == (RefusalKind.TIMED_OUT, PLAIN.timeout_ms)


def test_request_times_out_earlier_when_the_caller_sets_a_shorter_deadline() -> None:
    async def scenario() -> tuple[RefusalKind | None, int]:
        harness = DispatcherHarness()
        harness.fakes.upstream_client.hanging = {"x"}
        responder = await harness.serve(replace(make_request(), time_left_ms=700))
        return _kind(responder), harness.fakes.context.clock.now()

    assert run_virtually(scenario()) == (RefusalKind.TIMED_OUT, 700)


def test_request_times_out_at_once_when_its_deadline_has_passed_on_arrival() -> None:
    async def scenario() -> int:
        harness = DispatcherHarness()
        harness.fakes.upstream_client.hanging = {"x"}
        request = replace(make_request(), arrived=Millis(0), time_left_ms=0)
        assert _kind(await harness.serve(request)) is RefusalKind.TIMED_OUT
        return harness.fakes.context.clock.now()

    assert run_virtually(scenario()) <= 1


def test_started_stream_is_aborted_without_a_second_response_when_it_fails() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.upstream_client.set("x", FakeResponse(chunks=[b"id: 1\ndata: 1\n\n", None]))
        responder = await harness.serve(_generation())
        assert (responder.status, responder.refusal) == (200, None)
        assert responder.aborted
        assert not responder.ended

    run_virtually(scenario())


def test_stopping_host_refuses_only_long_generations() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.shutdown.begin(grace_s=STOP_GRACE_S)
        harness.fakes.upstream_client.set("x", FakeResponse(chunks=[b"id: 1\ndata: 1\n\n"]))
        refused = await harness.serve(_generation())
        assert refused.refusal is not None
        assert refused.refusal.kind is RefusalKind.OVERLOADED
        assert refused.refusal.retry_after_ms is not None
        assert refused.refusal.retry_after_ms < 100
        assert harness.fakes.upstream_client.requests == []
        assert (await harness.serve(_generation(max_tokens=40))).ended
        assert (await harness.serve(make_request())).ended

    run_virtually(scenario())


class _IdleServer:
    """A server whose connections all stay open until the host ends."""

    async def stop_listening(self) -> None:
        """Do nothing; the test sends requests directly."""

    def drain(self, *, idle_ms: int) -> bool:
        """Return that connections are left."""
        return False

    def has_unanswered(self) -> bool:
        """Return that no response is looked for at the end."""
        return False


async def _stop(
    harness: DispatcherHarness, *, grace_s: float = STOP_GRACE_S, stall_ms: int = 0
) -> None:
    """Shut the host down gracefully.

    :param stall_ms: How late the check is that finds the final responses due.
    """
    clock = harness.fakes.context.clock
    due = clock.now() + DUE_AFTER_MS

    async def sleep(duration: int) -> None:
        is_check_at_deadline = clock.now() < due <= clock.now() + duration
        await clock.sleep(duration + stall_ms if is_check_at_deadline else duration)

    harness.shutdown.begin(grace_s=grace_s)
    await drain_requests(
        servers=(_IdleServer(),),
        schedule=harness.shutdown,
        end_unfinishable=harness.dispatcher.end_unfinishable,
        sleep=sleep,
    )


# Guards against connections that are closed without a response at the end of a shutdown.
@pytest.mark.parametrize("route", [PLAIN, STREAM], ids=["plain", "streamed"])
def test_request_at_a_hanging_upstream_gets_a_response_before_its_host_ends(route: Route) -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.tables.table = make_table(replace(route, timeout_ms=39_000))
        harness.fakes.upstream_client.hanging = {"x"}
        path, prompt = f"{route.path_prefix}x", None if route is PLAIN else 100
        request = make_request(path=path, prompt=prompt, max_tokens=40)
        serving = asyncio.create_task(harness.serve(request))
        await asyncio.sleep(0.2)
        await _stop(harness)
        assert serving.done()
        assert _kind(serving.result()) is RefusalKind.UPSTREAM_FAILED

    run_virtually(scenario())


# Guards against a teardown without final responses, whose time a late check can skip.
@pytest.mark.parametrize(
    ("grace_s", "stall_ms"),
    [(8, 150), (8, 250), (8, 600), (0.3, 0), (0.7, 0), (1.0, 0), (2.0, 0), (4.0, 0)],
)
def test_request_gets_a_response_when_the_event_loop_is_late_or_the_grace_period_short(
    grace_s: float, stall_ms: int
) -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.tables.table = make_table(replace(PLAIN, timeout_ms=39_000))
        harness.fakes.upstream_client.hanging = {"x"}
        serving = asyncio.create_task(harness.serve(make_request()))
        await asyncio.sleep(0.2)
        await _stop(harness, grace_s=grace_s, stall_ms=stall_ms)
        assert serving.done()
        assert _kind(serving.result()) is RefusalKind.UPSTREAM_FAILED

    run_virtually(scenario())


def test_waiting_generation_is_refused_as_not_executed_before_its_host_ends() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.tables.table = make_table(replace(STREAM, target_ms=20_000))
        harness.fakes.upstreams.entries = []
        serving = asyncio.create_task(harness.serve(_generation()))
        await asyncio.sleep(0.2)
        await _stop(harness)
        assert serving.done()
        assert _kind(serving.result()) is RefusalKind.OVERLOADED
        assert harness.fakes.upstream_client.requests == []

    run_virtually(scenario())


# Guards against generations that a stopping host sends although it can't finish them.
@pytest.mark.parametrize("free_after_s", [0.1, 4.0, 6.5, 7.0])
def test_waiting_generation_is_not_sent_when_its_host_can_no_longer_finish_it(
    free_after_s: float,
) -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.tables.table = make_table(replace(STREAM, target_ms=20_000))
        entries, harness.fakes.upstreams.entries = harness.fakes.upstreams.entries, []
        harness.fakes.upstream_client.hanging = {"x"}
        serving = asyncio.create_task(harness.serve(_generation()))
        await asyncio.sleep(0.2)
        stopping = asyncio.create_task(_stop(harness))
        await asyncio.sleep(free_after_s)
        harness.fakes.upstreams.entries = entries
        await stopping
        assert _kind(serving.result()) is RefusalKind.OVERLOADED
        assert harness.fakes.upstream_client.requests == []

    run_virtually(scenario())


# Guards against refusals of requests that a stopping host has the time for.
@pytest.mark.parametrize(
    ("grace_s", "target_ms"),
    [(8, 0), (8, 400), (8, 1500), (8, 2400), (8, 5000), (5, 0), (5, 1500), (4, 2400), (3, 1500)],
)
def test_plain_request_is_served_while_the_load_balancer_sends_when_its_target_fits(
    grace_s: float, target_ms: int
) -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        route = replace(PLAIN, timeout_ms=39_000, target_ms=target_ms)
        harness.fakes.tables.table = make_table(route)
        harness.shutdown.begin(grace_s=grace_s)
        responder = await harness.serve(make_request())
        assert responder.status == 200

    run_virtually(scenario())


# Guards against a shutdown that fails because a request reaches its own deadline at a check.
def test_shutdown_goes_on_when_a_request_times_out_as_final_responses_are_due() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.upstream_client.hanging = {"x"}
        request = replace(make_request(), time_left_ms=DUE_AFTER_MS)
        harness.fakes.tables.table = make_table(replace(PLAIN, timeout_ms=39_000))
        serving = asyncio.create_task(harness.serve(request))
        harness.shutdown.begin(grace_s=STOP_GRACE_S)
        await asyncio.sleep(DUE_AFTER_MS / MS_PER_SECOND)
        while not serving.done():
            harness.dispatcher.end_unfinishable()
            await asyncio.sleep(0)
        assert _kind(serving.result()) is RefusalKind.TIMED_OUT

    run_virtually(scenario())


def test_begun_stream_goes_on_until_its_host_ends() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        chunks: list[bytes | None] = [f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 80)]
        harness.fakes.upstream_client.set("x", FakeResponse(chunks=chunks, pause_ms=100))
        responder = FakeResponder()
        serving = asyncio.create_task(harness.dispatcher.serve(_generation(), responder))
        await asyncio.sleep(0.2)
        await _stop(harness)
        assert responder.body.count(b"id:") >= 70
        assert not responder.aborted
        await serving

    run_virtually(scenario())


# Guards against requests that are taken late in a shutdown and get no response before its end.
@pytest.mark.parametrize("seed", range(40))
def test_every_request_is_answered_truthfully_whenever_it_arrives_in_a_shutdown(seed: int) -> None:
    async def scenario() -> None:
        rng = Random(seed)
        harness = DispatcherHarness()
        upstream_client = harness.fakes.upstream_client
        upstream_client.hanging = {"x"} if rng.random() < 0.7 else set()
        stopping = asyncio.create_task(_stop(harness))
        served: list[tuple[CallerRequest, asyncio.Task[FakeResponder]]] = []
        for number in range(12):
            await asyncio.sleep(rng.uniform(0.0, 1.1))
            is_plain = rng.random() < 0.5
            path, prompt = ("/a/x", None) if is_plain else ("/s/x", 100)
            tokens = rng.choice((12, 2000))
            request = make_request(name=f"r{number}", path=path, prompt=prompt, max_tokens=tokens)
            served.append((request, asyncio.create_task(harness.serve(request))))
            if harness.shutdown.is_over:
                break
        await stopping
        await asyncio.sleep(0)
        sent = {one.request.request for one in upstream_client.requests}
        for request, serving in served:
            assert serving.done(), request.request
            if _kind(serving.result()) is RefusalKind.OVERLOADED:
                assert request.request not in sent

    run_virtually(scenario())


def test_host_counts_requests_in_progress() -> None:
    async def scenario() -> None:
        harness = DispatcherHarness()
        harness.fakes.upstream_client.hanging = {"x"}
        serving = asyncio.create_task(harness.serve(make_request()))
        await asyncio.sleep(0.1)
        assert harness.dispatcher.running == 1
        await serving
        assert harness.dispatcher.running == 0

    run_virtually(scenario())


def test_request_that_crashes_upstreams_is_quarantined_after_three() -> None:
    async def scenario() -> tuple[int, RefusalKind | None]:
        harness = DispatcherHarness()
        names = [f"e{number}" for number in range(12)]
        harness.fakes.upstreams.entries = [make_entry(name) for name in names]
        lost = ExchangeError(ExchangeFailure.LOST, "crashed")
        for name in names:
            harness.fakes.upstream_client.set(name, lost)
        for _ in range(10):
            responder = await harness.serve(_generation())
        return len(harness.fakes.upstream_client.requests), _kind(responder)

    assert run_virtually(scenario()) == (3, RefusalKind.QUARANTINED)


def test_request_is_served_when_another_request_crashes_upstreams() -> None:
    async def scenario() -> FakeResponder:
        harness = DispatcherHarness()
        for name in ("a", "b", "c"):
            other = make_request(name="other", path="/s/other", prompt=100)
            fingerprint = route_request(other, STREAM).fingerprint
            harness.fakes.context.suspects.record_crash(
                upstream=UpstreamId(name), runs=[frozenset({request_key(fingerprint)})]
            )
        return await harness.serve(make_request())

    assert run_virtually(scenario()).ended


class _CountingDelegates(NoDelegates):
    """Stands for other hosts that can't be reached, and counts the requests for them."""

    def __init__(self) -> None:
        self.asked = 0

    async def send(
        self, *, address: str, request: CallerRequest, time_left_ms: int
    ) -> DelegatedResponse:
        """Count a request, and fail to connect."""
        self.asked += 1
        return await super().send(address=address, request=request, time_left_ms=time_left_ms)


def _serve_without_reached_upstream(
    path: str, hold_back: Callable[[GatewayFakes], None] | None
) -> tuple[RefusalKind | None, list[str], int]:
    """Serve a request when one upstream is down, and return how it ended and who was asked."""

    async def scenario() -> tuple[RefusalKind | None, list[str], int]:
        delegates = _CountingDelegates()
        names = ("x",) if hold_back is None else ("x", "y")
        harness = DispatcherHarness(*names, delegate_client=delegates)
        harness.fakes.upstream_client.set(
            "x", *[ExchangeError(ExchangeFailure.NOT_SENT, "refused")] * 9
        )
        if hold_back is not None:
            hold_back(harness.fakes)
        responder = await harness.serve(make_request(path=path, prompt=100, max_tokens=100))
        return _kind(responder), harness.fakes.upstream_client.asked, delegates.asked

    return run_virtually(scenario())


def _pause(fakes: GatewayFakes) -> None:
    fakes.pauses.record(upstream=UpstreamId("y"), pause_ms=3000)


def _limit(fakes: GatewayFakes) -> None:
    now = fakes.context.clock.now()
    fakes.context.named_limits.record(
        RateObservation(upstream=UpstreamId("y"), rate_per_s=0.001, sent_at=now, received_at=now)
    )
    permit = fakes.rate_permits.rate_limits.acquire([UpstreamId("y")], RequestClass.PLAIN)
    assert permit.may_send


# A host had other hosts send its requests to an upstream that had asked it for a pause.
@pytest.mark.parametrize("path", ["/a/x", "/s/x"])
@pytest.mark.parametrize("hold_back", [_pause, _limit])
def test_request_is_not_delegated_when_a_pause_or_rate_limit_holds_it_back(
    path: str, hold_back: Callable[[GatewayFakes], None]
) -> None:
    outcome = _serve_without_reached_upstream(path, hold_back)
    assert outcome == (RefusalKind.OVERLOADED, ["x"], 0)


@pytest.mark.parametrize("path", ["/a/x", "/s/x"])
def test_request_is_delegated_when_no_upstream_is_reached(path: str) -> None:
    _, asked, delegated = _serve_without_reached_upstream(path, None)
    assert (asked, delegated) == (["x"], 1)
