"""Delegated requests run at most once, and their refusals are true, whatever breaks on the way."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from dataclasses import field

from msgspec.structs import replace
import pytest
import pytest_asyncio

from standins.platform_world import free_port
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.forwarding import CallerRequest
from tanagerscale.forwarding import DelegatedHead
from tanagerscale.forwarding import DelegatedOutcome
from tanagerscale.forwarding import Refusal
from tanagerscale.forwarding import RefusalKind
from tanagerscale.forwarding import Responder
from tanagerscale.forwarding._delegation import DelegatedForwarder
from tanagerscale.gateway._delegate_client import HttpDelegateClient
from tanagerscale.gateway._delegate_server import DelegateServer
from tanagerscale.gateway._delegation_wire import EXCHANGE_FIELD
from tanagerscale.gateway._delegation_wire import HEAD_FIELD
from tanagerscale.gateway._delegation_wire import decode_head
from tanagerscale.gateway._delegation_wire import decode_request
from tanagerscale.gateway._delegation_wire import encode_head
from tanagerscale.gateway._delegation_wire import encode_request
from tanagerscale.generated.messages import Delegate
from tanagerscale.routes import RouteKind
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from testing._gateway_fakes import FakeResponder
from testing._gateway_fakes import make_delegate_selector
from testing._gateway_fakes import make_entry
from testing._gateway_fakes import make_gateway_fakes
from testing._gateway_fakes import make_request
from testing._gateway_fakes import make_route
from testing._gateway_fakes import route_request
from testing._scripted_peer import Late
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import encode_answer
from testing._scripted_peer import run_scripted_peer
from testing._virtual_time import run_virtually

WHOLE = DelegatedHead(outcome=DelegatedOutcome.WHOLE, status=200, headers=[("X", "1")])
STREAM = DelegatedHead(outcome=DelegatedOutcome.STREAM, status=200)
UNAVAILABLE = DelegatedHead(outcome=DelegatedOutcome.UNAVAILABLE)
NOT_SENT = ExchangeError(ExchangeFailure.NOT_SENT, "no connection")
LOST = ExchangeError(ExchangeFailure.LOST, "no answer")


def _refused(kind: RefusalKind) -> DelegatedHead:
    return DelegatedHead(
        outcome=DelegatedOutcome.REFUSED, refusal=Refusal(kind=kind, detail="of the delegate")
    )


@dataclass
class _Response:
    """A response whose body breaks off at ``None``."""

    head: DelegatedHead
    chunks: deque[bytes | None] = field(default_factory=deque)

    async def read_all(self) -> bytes:
        """Return all chunks."""
        body = b""
        while chunk := await self.read_some():
            body += chunk
        return body

    async def read_some(self) -> bytes:
        """Return the next chunk."""
        if not self.chunks:
            return b""
        chunk = self.chunks.popleft()
        if chunk is None:
            raise LOST
        return chunk

    def close(self) -> None:
        """Do nothing."""


@dataclass
class _Client:
    """Answers each request with the next of some reactions."""

    reactions: deque[DelegatedHead | _Response | ExchangeError]
    asked: list[str] = field(default_factory=list)

    async def send(self, *, address: str, request: CallerRequest, time_left_ms: int) -> _Response:
        """Answer a request."""
        self.asked.append(address)
        reaction = self.reactions.popleft()
        if isinstance(reaction, ExchangeError):
            raise reaction
        if isinstance(reaction, DelegatedHead):
            return _Response(reaction, deque([b"answer"]))
        return reaction


class _SilentClient:
    """Never gets an answer."""

    async def send(self, *, address: str, request: CallerRequest, time_left_ms: int) -> _Response:
        """Wait until cancelled."""
        await asyncio.Event().wait()
        raise LOST


def _serve(
    *reactions: DelegatedHead | _Response | ExchangeError,
    kind: RouteKind = RouteKind.NON_IDEMPOTENT,
    may_have_run: bool = False,
) -> tuple[Refusal | None, FakeResponder, int]:
    """Delegate a request, and return what came of it and how many hosts were asked."""

    async def scenario() -> tuple[Refusal | None, FakeResponder, int]:
        fakes = make_gateway_fakes(make_entry("x"))
        delegates = [
            Delegate(host=f"h{number}", address=f"h{number}:1", failure_domain="a")
            for number in range(5)
        ]
        client, responder = _Client(deque(reactions)), FakeResponder()
        run = DelegatedForwarder(
            routed=route_request(make_request(), make_route(kind=kind)),
            context=fakes.context,
            client=client,
            selector=make_delegate_selector(fakes.context, *delegates),
            may_have_run=may_have_run,
        )
        refusal = await run.serve(responder)
        assert len(set(client.asked)) == len(client.asked)
        return refusal, responder, len(client.asked)

    return run_virtually(scenario())


def _kind(refusal: Refusal | None) -> RefusalKind | None:
    return None if refusal is None else refusal.kind


def test_response_of_the_upstream_is_passed_on_unchanged() -> None:
    refusal, responder, _ = _serve(WHOLE)
    assert (refusal, responder.status, responder.body) == (None, 200, b"answer")


@pytest.mark.parametrize(
    "first",
    [
        UNAVAILABLE,
        NOT_SENT,
        _refused(RefusalKind.NO_PATH),
        _refused(RefusalKind.UNKNOWN_ROUTE),
        _refused(RefusalKind.UNKNOWN_KEY),
    ],
)
def test_another_host_is_asked_when_the_first_one_cannot_help(
    first: DelegatedHead | ExchangeError,
) -> None:
    refusal, responder, asked = _serve(first, WHOLE)
    assert (refusal, responder.status, asked) == (None, 200, 2)


@pytest.mark.parametrize("kind", [RouteKind.NON_IDEMPOTENT, RouteKind.STREAMING])
def test_request_that_may_have_run_is_not_delegated_again(kind: RouteKind) -> None:
    refusal, _, asked = _serve(LOST, WHOLE, kind=kind)
    assert (_kind(refusal), asked) == (RefusalKind.UPSTREAM_FAILED, 1)


def test_idempotent_request_is_repeated_when_a_delegate_loses_it() -> None:
    refusal, responder, asked = _serve(LOST, WHOLE, kind=RouteKind.IDEMPOTENT)
    assert (refusal, responder.status, asked) == (None, 200, 2)


# A request was refused as not executed although an attempt had been lost before.
@pytest.mark.parametrize(
    "reactions",
    [(UNAVAILABLE,) * 3, (_refused(RefusalKind.OVERLOADED),)],
    ids=["no delegate", "refused"],
)
def test_lost_request_is_not_reported_as_not_executed(
    reactions: tuple[DelegatedHead, ...],
) -> None:
    refusal, _, _ = _serve(*reactions, kind=RouteKind.IDEMPOTENT, may_have_run=True)
    assert _kind(refusal) is RefusalKind.UPSTREAM_FAILED


# A request that its host ended at the end of a shutdown was refused as not executed.
def test_request_may_have_run_when_it_is_cancelled_at_a_delegate() -> None:
    async def scenario() -> bool:
        fakes = make_gateway_fakes(make_entry("x"))
        delegate = Delegate(host="h", address="h:1", failure_domain="a")
        run = DelegatedForwarder(
            routed=route_request(make_request(), make_route(kind=RouteKind.STREAMING)),
            context=fakes.context,
            client=_SilentClient(),
            selector=make_delegate_selector(fakes.context, delegate),
        )
        serving = asyncio.create_task(run.serve(FakeResponder()))
        await asyncio.sleep(1)
        serving.cancel()
        await asyncio.wait([serving])
        return run.may_have_run

    assert run_virtually(scenario())


def test_refusal_of_a_delegate_is_passed_on() -> None:
    refusal, _, asked = _serve(_refused(RefusalKind.OVERLOADED), WHOLE)
    assert (_kind(refusal), asked) == (RefusalKind.OVERLOADED, 1)


def test_request_is_refused_as_not_executed_when_no_host_can_help() -> None:
    refusal, _, asked = _serve(*(UNAVAILABLE,) * 3)
    assert (_kind(refusal), asked) == (RefusalKind.OVERLOADED, 3)


def test_only_whole_events_are_passed_on_when_a_delegate_ends_within_one() -> None:
    chunks: deque[bytes | None] = deque([b"id: 1\nda", b"ta: 1\n\nid: 2", None])
    refusal, responder, _ = _serve(_Response(STREAM, chunks), kind=RouteKind.STREAMING)
    assert responder.body == b"id: 1\ndata: 1\n\n"
    assert (_kind(refusal), responder.ended) == (RefusalKind.UPSTREAM_FAILED, False)


# A stream whose delegate ended within an event was passed on as complete.
def test_stream_is_broken_off_when_the_response_of_a_delegate_ends_within_an_event() -> None:
    chunks: deque[bytes | None] = deque([b"id: 1\nda", b"ta: 1\n\nid: 2"])
    refusal, responder, _ = _serve(_Response(STREAM, chunks), kind=RouteKind.STREAMING)
    assert responder.body == b"id: 1\ndata: 1\n\n"
    assert (_kind(refusal), responder.ended) == (RefusalKind.UPSTREAM_FAILED, False)


def test_request_and_head_are_unchanged_when_encoded_with_bytes_that_are_no_text() -> None:
    headers = (("X-Raw", b"\xff\xfe \xc3\xa9".decode("utf-8", "surrogateescape")),)

    async def scenario() -> tuple[CallerRequest, CallerRequest]:
        request = replace(make_request(prompt=10), headers=headers)
        encoded = encode_request(request, time_left_ms=1234)
        return request, decode_request(encoded, arrived=Millis(7)).unwrap()

    request, decoded = run_virtually(scenario())
    assert decoded == replace(request, arrived=Millis(7), time_left_ms=1234)
    head = DelegatedHead(outcome=DelegatedOutcome.WHOLE, status=201, headers=headers)
    assert tuple(decode_head(encode_head(head)).unwrap().headers) == headers


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x81\xa1a\x01"])
def test_malformed_request_is_rejected(data: bytes) -> None:
    assert "hosts of one version" in decode_request(data, arrived=Millis(0)).failure()


@dataclass
class _Host:
    """A delegate on a loopback port."""

    address: str = ""
    can_help: bool = True
    served: list[CallerRequest] = field(default_factory=list)
    cancelled: asyncio.Event = field(default_factory=asyncio.Event)
    is_hanging: bool = False

    async def serve(self, request: CallerRequest, responder: Responder) -> None:
        """Answer a request with its body."""
        self.served.append(request)
        try:
            if self.is_hanging:
                await asyncio.Event().wait()
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        await responder.respond(status=201, reason="Made", headers=[("X", "1")], body=request.body)


@pytest_asyncio.fixture
async def delegate() -> AsyncIterator[_Host]:
    """A delegate that accepts requests."""
    host = _Host(address=f"127.0.0.1:{free_port()}")
    server = DelegateServer(serve=host.serve, can_help=lambda: host.can_help, clock=Clock())
    await server.start(address=host.address)
    yield host
    await server.close()


@pytest.mark.asyncio
async def test_delegate_serves_a_request_once_when_it_is_sent_twice(delegate: _Host) -> None:
    client = HttpDelegateClient(clock=Clock())
    outcomes = []
    for _ in range(2):
        response = await client.send(
            address=delegate.address, request=make_request(), time_left_ms=1000
        )
        outcomes.append(response.head.outcome)
        while await response.read_some():
            pass
    client.close()
    assert outcomes == [DelegatedOutcome.WHOLE, DelegatedOutcome.UNAVAILABLE]
    assert [request.time_left_ms for request in delegate.served] == [1000]


@pytest.mark.asyncio
async def test_delegate_accepts_nothing_when_it_cannot_help(delegate: _Host) -> None:
    delegate.can_help = False
    client = HttpDelegateClient(clock=Clock())
    response = await client.send(
        address=delegate.address, request=make_request(), time_left_ms=1000
    )
    client.close()
    assert response.head.outcome is DelegatedOutcome.UNAVAILABLE
    assert delegate.served == []


@pytest.mark.asyncio
async def test_delegate_stops_when_the_caller_leaves(delegate: _Host) -> None:
    delegate.is_hanging = True
    client = HttpDelegateClient(clock=Clock())
    sending = asyncio.create_task(
        client.send(address=delegate.address, request=make_request(), time_left_ms=60_000)
    )
    while not delegate.served:
        await asyncio.sleep(0.005)
    sending.cancel()
    await asyncio.wait_for(delegate.cancelled.wait(), 10)
    client.close()


def _encode_delegated(request: PeerRequest, *, number: str | None, body: bytes) -> bytes:
    fields = [(HEAD_FIELD, encode_head(WHOLE))]
    fields += [] if number is None else [(EXCHANGE_FIELD, number)]
    return encode_answer(body=body, fields=fields)


async def _send_delegated(client: HttpDelegateClient, address: str) -> bytes:
    response = await client.send(address=address, request=make_request(), time_left_ms=1000)
    body = b""
    while chunk := await response.read_some():
        body += chunk
    return body


# A delegated request took the answer to another one for its own.
@pytest.mark.asyncio
async def test_delegated_request_takes_the_answer_with_its_own_number() -> None:
    def answer(request: PeerRequest) -> list[bytes]:
        number = request.headers.get(EXCHANGE_FIELD.lower(), "")
        late = _encode_delegated(request, number="of another", body=b"late")
        return [late, _encode_delegated(request, number=number, body=b"own")]

    client = HttpDelegateClient(clock=Clock())
    async with run_scripted_peer(answer) as peer:
        assert [await _send_delegated(client, peer.address) for _ in range(2)] == [b"own"] * 2
    assert [request.connection for request in peer.requests] == [0, 1]
    client.close()


# Guards against requests without an answer while hosts of two versions run.
@pytest.mark.asyncio
async def test_delegated_request_takes_an_answer_without_a_number() -> None:
    client = HttpDelegateClient(clock=Clock())
    async with run_scripted_peer(
        lambda request: [_encode_delegated(request, number=None, body=b"own")]
    ) as peer:
        assert [await _send_delegated(client, peer.address) for _ in range(2)] == [b"own"] * 2
    assert [request.connection for request in peer.requests] == [0, 0]
    client.close()


# Guards against a connection whose answer is still due going to the next request.
@pytest.mark.asyncio
@pytest.mark.parametrize("status", [408, 413])
async def test_connection_to_a_host_is_not_used_again_when_its_answer_has_no_head(
    status: int,
) -> None:
    def answer(request: PeerRequest) -> list[bytes]:
        if request.number == 0 and request.connection == 0:
            return [encode_answer(status=status)]
        number = request.headers.get(EXCHANGE_FIELD.lower(), "")
        return [_encode_delegated(request, number=number, body=b"own")]

    client = HttpDelegateClient(clock=Clock())
    async with run_scripted_peer(answer) as peer:
        with pytest.raises(ExchangeError):
            await _send_delegated(client, peer.address)
        assert await _send_delegated(client, peer.address) == b"own"
    assert [request.connection for request in peer.requests] == [0, 1]
    client.close()


# Guards against a connection on which a wait was given up going to the next request.
@pytest.mark.asyncio
async def test_connection_to_a_host_is_not_used_again_when_the_wait_was_cancelled() -> None:
    def answer(request: PeerRequest) -> list[Late]:
        number = request.headers.get(EXCHANGE_FIELD.lower(), "")
        own = _encode_delegated(request, number=number, body=str(len(peer.requests)).encode())
        return [Late(delay_s=0.05, data=own)]

    client = HttpDelegateClient(clock=Clock())
    async with run_scripted_peer(answer) as peer:
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.02):
                await _send_delegated(client, peer.address)
        assert await _send_delegated(client, peer.address) == b"2"
    assert [request.connection for request in peer.requests] == [0, 1]
    client.close()
