"""Limits of a host under load.

Load: 300 callers that read 1 kB/s beside 20 that read at once on a host of 136 MB, bodies of 4 MB
on a host of 128 MB, slow upstreams, 1,638 descriptors.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import field
from unittest.mock import patch

import logbook
from msgspec.structs import replace
import pytest

from standins._common import LOOPBACK
from standins.platform_world import free_port
from tanagerscale.coordination import UpstreamHealth
from tanagerscale.core import Millis
from tanagerscale.forwarding import Admission
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import Responder
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.gateway._counted_response import CountedResponse
from tanagerscale.gateway._host_limits import REQUEST_BYTES
from tanagerscale.gateway._host_limits import HostLimits
from tanagerscale.gateway._request_lease import SPACE_WAIT_MS
from tanagerscale.gateway._request_lease import RequestLease
from tanagerscale.gateway._request_lease import current_lease
from tanagerscale.policy import LIMITED_READ_BUFFER_BYTES
from tanagerscale.policy import UNREAD_STREAM_BYTES
from tanagerscale.policy._host_budget import MIN_STREAM_BUFFER_BYTES
from tanagerscale.policy._host_budget import READY_RATIO
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams._connection import open_connection
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import FakeResponse
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._limited_host import LimitedHost
from testing._limited_host import MemoryCaller
from testing._virtual_time import run_virtually
from testing.test_forwarding_stream import RecordingHooks

MB = 1_000_000
BODY_BYTES = 4 << 20
HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"
EMPTY_REQUEST = HEAD + b"Content-Length: 0\r\n\r\n"
EVENTS = 439
EVENT = b"x" * 378 + b"\n\n"
EVENT_INTERVAL_S = 0.04
STREAM_ROUTE = make_route(kind=RouteKind.STREAMING, timeout_ms=39_000, attempts=1)


async def _respond(request: CallerRequest, responder: Responder) -> None:
    await responder.respond(status=200, reason="OK", headers=[], body=b"")


def _is_ready(limits: HostLimits) -> bool:
    return limits.is_ready


def _statuses(callers: list[MemoryCaller]) -> list[int]:
    return [int(caller.received.split(b" ")[1]) for caller in callers]


@dataclass(slots=True)
class _StreamLoad:
    """What callers and engines see of streams to slow and fast callers."""

    longest_unread_s: dict[bool, float] = field(default_factory=lambda: {True: 0.0, False: 0.0})
    """Longest time for which the stream of an engine is not read, by whether its caller is slow."""
    accounted_bytes: int = 0
    was_always_ready: bool = True
    fast_callers: list[MemoryCaller] = field(default_factory=list)


async def _stream_to_slow_callers(memory_mb: float) -> _StreamLoad:
    load = _StreamLoad()
    writing: dict[Responder, tuple[bool, float]] = {}

    def record_unread(is_slow: bool, since: float) -> None:
        unread_s = asyncio.get_running_loop().time() - since
        load.longest_unread_s[is_slow] = max(load.longest_unread_s[is_slow], unread_s)

    async def serve(request: CallerRequest, responder: Responder) -> None:
        loop = asyncio.get_running_loop()
        is_slow = request.request == "slow"
        await responder.begin(status=200, reason="OK", headers=[])
        for _ in range(EVENTS):
            await asyncio.sleep(EVENT_INTERVAL_S)
            writing[responder] = (is_slow, loop.time())
            await responder.write(EVENT)
            record_unread(*writing.pop(responder))
        await responder.end()

    host = LimitedHost(serve=serve, memory_mb=memory_mb)
    updates = asyncio.create_task(host.limits.run())
    slow = [host.accept(MemoryCaller(bytes_per_s=1000)) for _ in range(300)]
    load.fast_callers = [host.accept(MemoryCaller()) for _ in range(20)]
    for caller in slow:
        await caller.send(HEAD + b"Id: slow\r\nContent-Length: 0\r\n\r\n")
    for caller in load.fast_callers:
        await caller.send(EMPTY_REQUEST)
    for _ in range(int(EVENTS * EVENT_INTERVAL_S / 0.1) + 20):
        await asyncio.sleep(0.1)
        load.accounted_bytes = max(load.accounted_bytes, host.accounted_bytes)
        load.was_always_ready &= host.limits.is_ready
    for is_slow, since in writing.values():
        record_unread(is_slow, since)
    updates.cancel()
    return load


# Guards against slow callers that stop the streams of their engines for so long that these cut them
# off, that slow down others or take the memory of the host.
@pytest.mark.parametrize(("memory_mb", "unread_s"), [(136, 2), (190, 0)])
def test_slow_callers_disturb_neither_engines_nor_others(memory_mb: int, unread_s: int) -> None:
    load = run_virtually(_stream_to_slow_callers(memory_mb))
    assert load.longest_unread_s[False] == 0
    assert load.longest_unread_s[True] <= unread_s
    for caller in load.fast_callers:
        assert caller.received.count(EVENT) == EVENTS
        assert caller.received.endswith(b"0\r\n\r\n")
    assert load.accounted_bytes < READY_RATIO * (memory_mb - 58) * MB
    assert load.was_always_ready


# Guards against buffers without a bound on a host whose memory does not suffice for whole answers.
def test_buffers_of_slow_callers_stay_within_the_memory_of_a_small_host() -> None:
    load = run_virtually(_stream_to_slow_callers(98))
    assert load.longest_unread_s[False] == 0
    assert load.longest_unread_s[True] <= 2, load.longest_unread_s
    assert 300 * MIN_STREAM_BUFFER_BYTES < load.accounted_bytes <= 40 * MB


async def _send_large_bodies(*, chunked: bool) -> None:
    served = 0

    async def serve(request: CallerRequest, responder: Responder) -> None:
        nonlocal served
        assert len(request.body) == BODY_BYTES
        served += 1
        await asyncio.sleep(1)
        await _respond(request, responder)

    body = b"x" * BODY_BYTES
    framed = b"Content-Length: %d\r\n\r\n%b" % (BODY_BYTES, body)
    if chunked:
        framed = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (BODY_BYTES, body)
    host = LimitedHost(serve=serve, memory_mb=128)
    callers = [host.accept(MemoryCaller()) for _ in range(24)]
    highest = 0
    was_ready_at_refusal = False
    with logbook.TestHandler().applicationbound() as logs:
        tasks = [asyncio.create_task(caller.send(HEAD + framed)) for caller in callers]
        for _ in range(4000):
            await asyncio.sleep(0.001)
            highest = max(highest, host.accounted_bytes)
            is_ready = host.limits.is_ready
            if any("is refused" in one.message for one in logs.records):
                was_ready_at_refusal |= is_ready and not served
            if all(caller.received for caller in callers):
                break
        await asyncio.gather(*tasks)
    statuses = _statuses(callers)
    assert statuses.count(200) == served
    # Chunked bodies compete while they arrive, so that fewer of them fit.
    assert 1 <= served <= 8
    assert chunked or served == 8
    assert statuses.count(503) == len(callers) - served
    assert highest <= 70 * MB
    assert not was_ready_at_refusal
    refused = [one for one in logs.records if "is refused" in one.message]
    assert len(refused) == statuses.count(503)
    assert all(one.kwargs["byte_limit"] == 70 * MB for one in refused)
    for caller, status in zip(callers, statuses, strict=True):
        assert (b"Retry-After: 0." in caller.received) is (status == 503)
        assert (b"Connection: close" in caller.received) is (status == 503)
    await asyncio.sleep(1)
    assert host.limits.held_bytes == 0
    assert _is_ready(host.limits)


# Guards against bodies that together exceed the memory, and against refusals of requests that run.
@pytest.mark.parametrize("chunked", [False, True])
def test_bodies_of_4_mb_are_refused_beyond_the_memory_of_a_host_of_128_mb(chunked: bool) -> None:
    run_virtually(_send_large_bodies(chunked=chunked))


# Guards against bytes that count as waiting though their caller has read them.
def test_request_is_accepted_when_what_was_written_has_been_sent() -> None:
    async def scenario() -> None:
        host = LimitedHost(serve=_respond, memory_mb=60)
        lease = RequestLease(limits=host.limits)
        caller = host.accept(MemoryCaller())
        lease.record_write(caller, 3 * MB)
        assert lease.open_request() is None

    run_virtually(scenario())


# Guards against a body that is refused though another request ends within the time to wait.
def test_body_gets_the_space_of_a_request_that_ends() -> None:
    async def scenario() -> None:
        host = LimitedHost(serve=_respond, memory_mb=128)
        first, second = (RequestLease(limits=host.limits) for _ in range(2))
        assert await first.reserve_body(30 * MB) is None
        waiting = asyncio.create_task(second.reserve_body(20 * MB))
        await asyncio.sleep((SPACE_WAIT_MS - 1) / 1000)
        assert not waiting.done()
        first.release()
        assert await waiting is None
        assert host.limits.held_bytes == 40 * MB

    run_virtually(scenario())


# Guards against small requests that wait behind a body which does not fit.
def test_small_body_does_not_wait_behind_a_large_one() -> None:
    async def scenario() -> None:
        host = LimitedHost(serve=_respond, memory_mb=128)
        lease = RequestLease(limits=host.limits)
        assert await lease.reserve_body(30 * MB) is None
        large = asyncio.create_task(lease.reserve_body(20 * MB))
        await asyncio.sleep(0.01)
        async with asyncio.timeout(0):
            assert await lease.reserve_body(200) is None
        refusal = await large
        assert refusal is not None
        assert refusal.retry_after_ms is not None
        assert refusal.retry_after_ms > 0

    run_virtually(scenario())


# Guards against stalled uploads that hold the space of bodies which they have not sent.
def test_stalled_upload_holds_only_what_has_arrived_after_a_second() -> None:
    async def scenario() -> None:
        host = LimitedHost(serve=_respond, memory_mb=128)
        callers = [host.accept(MemoryCaller()) for _ in range(8)]
        for caller in callers:
            await caller.send(HEAD + b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"x" * 1000)
        await asyncio.sleep(0.5)
        assert host.limits.held_bytes == 8 * (2 * BODY_BYTES + REQUEST_BYTES)
        await asyncio.sleep(1)
        assert host.limits.held_bytes == 8 * (2 * 1000 + REQUEST_BYTES)
        await callers[0].send(b"x" * (BODY_BYTES - 1000))
        await asyncio.sleep(1)
        assert _statuses(callers[:1]) == [200]
        assert host.limits.held_bytes == 7 * (2 * 1000 + REQUEST_BYTES)

    run_virtually(scenario())


# Guards against bytes and streams that count for good as a task outlives the request.
def test_lease_counts_nothing_after_its_release() -> None:
    async def scenario() -> None:
        host = LimitedHost(serve=_respond, memory_mb=128)
        lease = RequestLease(limits=host.limits)
        lease.add(1000)
        lease.begin_stream()
        lease.begin_stream()
        assert host.limits.streams == 1
        lease.release()
        lease.add(1000)
        lease.begin_stream()
        assert host.limits.held_bytes == 0
        assert host.limits.streams == 0

    run_virtually(scenario())


# Guards against space that is never given back when callers leave slow upstreams.
def test_space_is_released_when_callers_leave_requests_at_slow_upstreams() -> None:
    async def scenario() -> None:
        started = 0

        async def hang(request: CallerRequest, responder: Responder) -> None:
            nonlocal started
            started += 1
            await asyncio.Event().wait()

        host = LimitedHost(serve=hang, memory_mb=128)
        callers = [host.accept(MemoryCaller()) for _ in range(100)]
        for caller in callers:
            await caller.send(HEAD + b"Content-Length: 100000\r\n\r\n" + b"x" * 100_000)
        await asyncio.sleep(1)
        assert started == 100
        assert host.limits.held_bytes == 100 * (200_000 + REQUEST_BYTES)
        for caller in callers:
            caller.close()
        await asyncio.sleep(1)
        assert host.limits.held_bytes == 0

    run_virtually(scenario())


# Guards against whole responses that are not counted, and against ones lost as they don't fit.
def test_whole_response_beyond_the_budget_is_delivered_and_new_requests_are_refused() -> None:
    async def scenario() -> None:
        async def serve(request: CallerRequest, responder: Responder) -> None:
            lease = current_lease.get()
            assert lease is not None
            upstream = FakeResponse(chunks=[b"x" * MB] * 3)
            body = await CountedResponse(response=upstream, lease=lease).read_all()
            await asyncio.sleep(1)
            await responder.respond(status=200, reason="OK", headers=[], body=body)

        host = LimitedHost(serve=serve, memory_mb=60)
        first, second, third = (host.accept(MemoryCaller()) for _ in range(3))
        await first.send(EMPTY_REQUEST)
        await asyncio.sleep(0.5)
        assert not _is_ready(host.limits)
        await second.send(EMPTY_REQUEST)
        await asyncio.sleep(0.1)
        assert _statuses([second]) == [503]
        await asyncio.sleep(1)
        assert first.received.endswith(b"x" * 3 * MB)
        assert _is_ready(host.limits)
        await third.send(EMPTY_REQUEST)
        await asyncio.sleep(2)
        assert _statuses([third]) == [200]

    run_virtually(scenario())


# Guards against streams that fill the memory before the buffer of their caller.
@pytest.mark.asyncio
async def test_unread_stream_takes_no_more_memory_than_is_counted() -> None:
    async def send_all(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + b"x" * 8_000_000)

    server = await asyncio.start_server(send_all, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    connection = await open_connection(
        address=f"{LOOPBACK}:{port}",
        timeout_ms=20_000,
        now=Millis(0),
        read_buffer_bytes=LIMITED_READ_BUFFER_BYTES,
    )
    connection.send(method="GET", head=b"GET / HTTP/1.1\r\n\r\n", body=b"")
    await connection.receive()
    async with asyncio.timeout(20):
        for _ in range(10):
            while not connection._protocol._reading_paused:
                await asyncio.sleep(0.001)
            assert len(await connection.read_some()) <= UNREAD_STREAM_BYTES
    connection.close()
    server.close()


# Guards against connections that use up the descriptors, after which none is accepted or opened.
def test_connections_beyond_1638_descriptors_are_refused_and_closed() -> None:
    async def scenario() -> None:
        host = LimitedHost(serve=_respond, file_descriptors=1638)
        host.other_connections = 438
        callers = [host.accept(MemoryCaller()) for _ in range(782)]
        assert _is_ready(host.limits)
        callers += [host.accept(MemoryCaller()) for _ in range(218)]
        assert not _is_ready(host.limits)
        await callers[0].send(EMPTY_REQUEST)
        await asyncio.sleep(0.1)
        assert _statuses(callers[:1]) == [200]
        assert b"Connection: close" in callers[0].received
        callers[0] = host.accept(MemoryCaller())
        beyond = host.accept(MemoryCaller())
        await beyond.send(EMPTY_REQUEST)
        await asyncio.sleep(0.1)
        assert _statuses([beyond]) == [503]
        assert b"Connection: close" in beyond.received
        assert beyond.is_closing()

    run_virtually(scenario())


# Guards against a request in progress that is answered on a kept connection beyond the descriptors.
def test_connection_is_closed_after_its_answer_when_descriptors_run_out_meanwhile() -> None:
    async def scenario() -> None:
        async def serve(request: CallerRequest, responder: Responder) -> None:
            host.other_connections = 2000
            await _respond(request, responder)

        host = LimitedHost(serve=serve, file_descriptors=1638)
        caller = host.accept(MemoryCaller())
        await caller.send(EMPTY_REQUEST)
        await asyncio.sleep(0.1)
        assert _statuses([caller]) == [200]
        assert b"Connection: close" in caller.received

    run_virtually(scenario())


# Guards against readiness that flaps or is withdrawn for minutes as callers read slowly.
def test_readiness_is_regained_once_after_a_peak_with_slow_callers_beside_steady_traffic() -> None:
    async def scenario() -> None:
        async def serve(request: CallerRequest, responder: Responder) -> None:
            if request.request != "slow":
                await asyncio.sleep(0.2)
                await _respond(request, responder)
                return
            await responder.begin(status=200, reason="OK", headers=[])
            while True:
                await asyncio.sleep(EVENT_INTERVAL_S)
                await responder.write(EVENT)

        host = LimitedHost(serve=serve, memory_mb=128, link_mbps=5)
        updates = asyncio.create_task(host.limits.run())
        for _ in range(290):
            slow = host.accept(MemoryCaller(bytes_per_s=1000))
            await slow.send(HEAD + b"Id: slow\r\nContent-Length: 0\r\n\r\n")
        steady = [host.accept(MemoryCaller()) for _ in range(5)]
        peak = RequestLease(limits=host.limits)
        states = [True]
        peak_readiness = []
        for tick in range(600):
            await asyncio.sleep(0.1)
            if tick % 5 == 0:
                for caller in steady:
                    await caller.send(EMPTY_REQUEST)
            if tick == 450:
                peak.add(20 * MB)
            elif tick == 460:
                peak_readiness.append(host.limits.is_ready)
                peak.release()
            if host.limits.is_ready != states[-1]:
                states.append(not states[-1])
        assert host.limits.paused_streams == 290
        assert peak_readiness == [False]
        assert states == [True, False, True]
        assert all(set(_statuses([caller])) == {200} for caller in steady)
        updates.cancel()

    run_virtually(scenario())


# Guards against streams that begin one after the other, of which the first take all space, and
# against engines that are not read until the buffers of the first have shrunk to a smaller share.
def test_host_stays_ready_and_reads_engines_when_slow_callers_arrive_one_after_the_other() -> None:
    async def scenario() -> None:
        longest_unread_s = 0.0

        async def serve(request: CallerRequest, responder: Responder) -> None:
            nonlocal longest_unread_s
            loop = asyncio.get_running_loop()
            await responder.begin(status=200, reason="OK", headers=[])
            while True:
                await asyncio.sleep(EVENT_INTERVAL_S)
                since = loop.time()
                await responder.write(EVENT)
                longest_unread_s = max(longest_unread_s, loop.time() - since)

        host = LimitedHost(serve=serve, memory_mb=128)
        updates = asyncio.create_task(host.limits.run())
        highest = 0
        for tick in range(800):
            await asyncio.sleep(0.1)
            if tick < 290:
                await host.accept(MemoryCaller(bytes_per_s=1000)).send(EMPTY_REQUEST)
            highest = max(highest, host.accounted_bytes)
            assert host.limits.is_ready, (tick, highest)
        assert host.limits.paused_streams > 280
        assert longest_unread_s <= 2
        updates.cancel()

    run_virtually(scenario())


# Guards against a buffer that is bounded only in the count: the one of a real connection.
@pytest.mark.asyncio
async def test_buffer_of_a_real_connection_is_bounded_while_its_caller_does_not_read() -> None:
    chunk, chunks = b"x" * 1000, 20_000

    async def serve(request: CallerRequest, responder: Responder) -> None:
        await responder.begin(status=200, reason="OK", headers=[])
        for _ in range(chunks):
            await responder.write(chunk)
        await responder.end()

    host = LimitedHost(serve=serve, memory_mb=128)
    host.limits.held_bytes = 60 * MB
    port = free_port()
    await host.server.start(address=f"{LOOPBACK}:{port}")
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(EMPTY_REQUEST)
    async with asyncio.timeout(20):
        while not host.limits.paused_streams:
            await asyncio.sleep(0.001)
        # Without a limit asyncio pauses the writer at 64 KiB, whatever the share of the stream.
        waiting = host.limits.measure().outgoing_bytes
        assert MIN_STREAM_BUFFER_BYTES <= waiting <= MIN_STREAM_BUFFER_BYTES + 2 * len(chunk)
        received = b""
        while not received.endswith(b"\r\n0\r\n\r\n"):
            received += await reader.read(1 << 20)
    assert received.count(b"x") == chunks * len(chunk)
    writer.close()
    await host.server.close()


@dataclass(slots=True)
class _SlowResponder(FakeResponder):
    """A caller that takes half a second for each event."""

    async def write(self, chunk: bytes) -> None:
        """Wait for the caller."""
        await asyncio.sleep(0.5)
        await FakeResponder.write(self, chunk)


# Guards against engines that are ejected because the callers of their streams read slowly.
@pytest.mark.parametrize(
    ("is_caller_slow", "is_bounded", "failures"),
    [(True, True, 0), (False, True, 1), (True, False, 1), (False, False, 1)],
)
def test_only_an_engine_that_is_slow_itself_counts_as_failing_if_buffers_are_bounded(
    is_caller_slow: bool, is_bounded: bool, failures: int
) -> None:
    async def scenario() -> None:
        fakes = make_gateway_fakes(make_entry("x"))
        events: list[bytes | None] = [b"id: %d\ndata: a\n\n" % number for number in (1, 2, 3)]
        pause_ms = 0 if is_caller_slow else 500
        fakes.upstream_client.set("x", FakeResponse(chunks=events, pause_ms=pause_ms))
        context = replace(fakes.context, has_bounded_buffers=is_bounded)
        run = StreamRun(
            routed=route_request(make_request(prompt=100), STREAM_ROUTE),
            responder=_SlowResponder() if is_caller_slow else FakeResponder(),
            context=context,
            admission=Admission(context=context, placer=fakes.single_host.client),
            hooks=RecordingHooks(),
        )
        with patch.object(UpstreamHealth, "record_failure") as record_failure:
            assert await run.serve() is None
        assert record_failure.call_count == failures

    run_virtually(scenario())
