"""The engine client distinguishes the kinds of failure, which determine the caller's error."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

import aiohttp
from aiohttp import web
import pytest
from returns.result import Failure
from returns.result import Success

from tanagerscale.core import AttemptId
from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import TokenEvent
from tanagerscale.upstreams import HttpEngineClient
from tanagerscale.upstreams import UpstreamErrorKind
from tanagerscale.upstreams import make_single_use_session
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import encode_answer
from testing._scripted_peer import run_scripted_peer
from testing.conftest import ClientOf

ATTEMPT = AttemptId("att-1")
TOKEN = b'data: {"attempt_id":"att-1","offset":%d,"text":"w"}\n\n'
Handler = Callable[[web.Request, web.StreamResponse], Awaitable[None]]


async def _collect_events(
    client_of: ClientOf, session: aiohttp.ClientSession, handler: Handler, *, stall_s: float = 30
) -> tuple[list[TokenEvent], UpstreamErrorKind]:
    async def handle(request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse(headers={"X-Attempt-Id": request.match_info["attempt"]})
        await handler(request, response)
        return response

    app = web.Application()
    app.router.add_get("/v1/completions/{attempt}/events", handle)
    server = (await client_of(app)).server
    client = HttpEngineClient(
        session=session, address=f"{server.host}:{server.port}", stall_timeout_s=stall_s
    )
    events: list[TokenEvent] = []
    async for batch in client.resume(attempt=ATTEMPT, offset=0):
        match batch:
            case Success(more):
                events.extend(more)
            case Failure(error):
                return events, error.kind
    raise AssertionError("The stream ended without a failure.")


async def test_comments_and_markers_between_tokens_are_skipped(
    client_of: ClientOf, session: aiohttp.ClientSession
) -> None:
    async def handler(request: web.Request, response: web.StreamResponse) -> None:
        await response.prepare(request)
        await response.write(TOKEN % 0 + b": keep open\n\n" + TOKEN % 1 + b"data: [DONE]\n\n")

    events, kind = await _collect_events(client_of, session, handler)
    assert [event.offset for event in events] == [0, 1]
    assert kind is UpstreamErrorKind.BROKEN


async def test_tokens_are_decoded_when_their_bytes_arrive_one_by_one(
    client_of: ClientOf, session: aiohttp.ClientSession
) -> None:
    async def handler(request: web.Request, response: web.StreamResponse) -> None:
        await response.prepare(request)
        for byte in TOKEN % 0 + TOKEN % 1:
            await response.write(bytes([byte]))

    events, _ = await _collect_events(client_of, session, handler)
    assert [event.offset for event in events] == [0, 1]


async def test_response_is_stalled_when_no_data_follows_its_start(
    client_of: ClientOf, session: aiohttp.ClientSession
) -> None:
    async def handler(request: web.Request, response: web.StreamResponse) -> None:
        await response.prepare(request)
        await response.write(TOKEN % 0)
        await asyncio.Event().wait()

    events, kind = await _collect_events(client_of, session, handler, stall_s=0.2)
    assert len(events) == 1
    assert kind is UpstreamErrorKind.STALLED


async def test_engine_is_unresponsive_when_no_response_begins(
    client_of: ClientOf, session: aiohttp.ClientSession
) -> None:
    async def handler(_request: web.Request, _response: web.StreamResponse) -> None:
        await asyncio.Event().wait()

    assert await _collect_events(client_of, session, handler) == (
        [],
        UpstreamErrorKind.UNRESPONSIVE,
    )


@pytest.mark.parametrize(
    "event", [b'data: {"attempt_id":1}\n\n', b'data: {"attempt_id"\n\n', b"data: {\xff}\n\n"]
)
async def test_response_is_malformed_when_an_event_violates_the_protocol(
    client_of: ClientOf, session: aiohttp.ClientSession, event: bytes
) -> None:
    async def handler(request: web.Request, response: web.StreamResponse) -> None:
        await response.prepare(request)
        await response.write(event)

    assert await _collect_events(client_of, session, handler) == ([], UpstreamErrorKind.MALFORMED)


async def test_response_is_malformed_when_it_belongs_to_another_attempt(
    client_of: ClientOf, session: aiohttp.ClientSession
) -> None:
    async def handler(request: web.Request, response: web.StreamResponse) -> None:
        response.headers["X-Attempt-Id"] = "att-2"
        await response.prepare(request)

    assert await _collect_events(client_of, session, handler) == ([], UpstreamErrorKind.MALFORMED)


async def test_call_may_have_run_when_refusal_has_no_reason(
    client_of: ClientOf, session: aiohttp.ClientSession
) -> None:
    async def handler(request: web.Request, response: web.StreamResponse) -> None:
        response.set_status(503)
        await response.prepare(request)

    assert await _collect_events(client_of, session, handler) == ([], UpstreamErrorKind.BROKEN)


async def test_call_is_not_sent_when_connection_is_refused(session: aiohttp.ClientSession) -> None:
    client = HttpEngineClient(session=session, address="127.0.0.1:1")
    batches = [batch async for batch in client.resume(attempt=ATTEMPT, offset=0)]
    assert [batch.failure().kind for batch in batches] == [UpstreamErrorKind.NOT_SENT]


async def _generate(client: HttpEngineClient, attempt: str) -> UpstreamErrorKind | None:
    """Begin an attempt; return ``None`` if its engine has accepted it."""
    request = EngineRequest(attempt_id=attempt, model="m", prompt="p")
    async for batch in client.generate(request=request):
        return batch.failure().kind if isinstance(batch, Failure) else None
    raise AssertionError("The stream ended without a batch.")


# An attempt took the late second refusal of another one, which shows that it was not executed.
async def test_attempt_takes_no_refusal_of_another_attempt() -> None:
    refusal = encode_answer(status=503, body=b'{"kind":"overloaded","detail":"full"}')
    accepted = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: second\r\nContent-Type: text/event-stream\r\n\r\n"
    answers = iter([[refusal], [accepted]])

    def answer(request: PeerRequest) -> Sequence[bytes]:
        late = [refusal] if request.number else []
        return [*late, *next(answers)]

    async with run_scripted_peer(answer) as peer, make_single_use_session() as session:
        client = HttpEngineClient(session=session, address=peer.address)
        assert await _generate(client, "first") is UpstreamErrorKind.REFUSED
        assert await _generate(client, "second") is None
