"""Heads that can't be answers: statuses outside 100 to 599, and interim ones with a body."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from contextlib import asynccontextmanager
from functools import partial
from typing import Any

import pytest
import pytest_asyncio
from returns.result import Result

from tanagerscale.core import Millis
from tanagerscale.core import RequestId
from tanagerscale.forwarding import CopyFailure
from tanagerscale.forwarding import DelegateSelector
from tanagerscale.gateway._delegation_wire import EXCHANGE_FIELD
from tanagerscale.gateway._delegation_wire import decode_request
from tanagerscale.generated.messages import Delegate
from tanagerscale.platform import _engines
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.platform._store import PlatformStore
from tanagerscale.store import ConditionalPut
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import ExchangeFailure
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamPaths
from testing._cut_answers import LAST_CHUNK
from testing._cut_answers import PIECE_GAP_S
from testing._cut_answers import Framing
from testing._cut_answers import ReadAnswer
from testing._cut_answers import call_all
from testing._cut_answers import encode_framed
from testing._cut_host import PLAIN_BODY
from testing._cut_host import Running
from testing._cut_host import call
from testing._cut_host import copy_each_run
from testing._cut_host import run_host
from testing._engine_exchanges import answer_properly
from testing._engine_exchanges import make_engine_entry
from testing._engine_exchanges import make_pool
from testing._engine_exchanges import send
from testing._gateway_fakes import make_entry
from testing._invalid_answers import INVALID_ANSWERS
from testing._invalid_answers import InvalidAnswer
from testing._invalid_answers import each_invalid_answer
from testing._scripted_peer import Part
from testing._scripted_peer import Pause
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import Reset
from testing._scripted_peer import ScriptedPeer
from testing._scripted_peer import run_scripted_peer

HANG_TIMEOUT_S = 8
"""Time after which a call counts as waiting for an answer that does not come."""
CALL_TIMEOUT_MS = 120_000
HTTP_BAD_GATEWAY = 502
EVENTS = [f"id: {number}\ndata: {number}\n\n".encode() for number in (1, 2)]


async def _send_request(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    with pytest.raises(ExchangeError) as caught:
        await send(client, entry, id="r")
    assert caught.value.failure is ExchangeFailure.LOST


async def _order_copy(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    result = await client.copy(
        source=entry, request=RequestId("r"), target=make_entry("y"), stop=True
    )
    error = result.failure()
    assert (error.failure, error.detail) == (CopyFailure.LOST, ExchangeError.__name__)


async def _read_report(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    result = await client.report(upstream=entry)
    assert ExchangeError.__name__ in result.failure()


async def _probe(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    assert not await client.probe(upstream=entry)


async def _free_copy(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    await client.drop_copy(holder=entry, copy="h")


EXCHANGES = {
    "request": _send_request,
    "copy": _order_copy,
    "report": _read_report,
    "probe": _probe,
    "freed-copy": _free_copy,
}


# Guards against an exchange that waits for an answer after a head that can't be an interim one, or
# that takes an invalid status for an answer.
@pytest.mark.asyncio
@pytest.mark.parametrize("exchange", list(EXCHANGES.values()), ids=list(EXCHANGES))
@each_invalid_answer
async def test_exchange_is_lost_and_its_connection_closed_when_the_status_is_invalid(
    monkeypatch: pytest.MonkeyPatch,
    answer: InvalidAnswer,
    exchange: Callable[[PlatformUpstreams, UpstreamEntry], Awaitable[None]],
) -> None:
    monkeypatch.setattr(_engines, "CALL_TIMEOUT_MS", CALL_TIMEOUT_MS)

    def reply(request: PeerRequest) -> Sequence[Part]:
        return [answer_properly(request)] if request.connection else answer.encode(request)

    pool = make_pool()
    async with run_scripted_peer(reply) as peer:
        client, entry = PlatformUpstreams(pool=pool), make_engine_entry(peer.address)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await exchange(client, entry)
            assert await send(client, entry, id="next") == (200, b"answer to next")
    pool.close()
    assert [request.connection for request in peer.requests] == [0, 1]


# Guards against a request that takes its answer from behind a head that can't be an interim one.
@pytest.mark.asyncio
@pytest.mark.parametrize("name", ["000-length-0", "099-length-0", "100-length-0", "199-chunked"])
async def test_request_is_lost_when_an_answer_follows_an_invalid_status(name: str) -> None:
    def reply(request: PeerRequest) -> Sequence[Part]:
        (head,) = INVALID_ANSWERS[name].encode(request)
        assert isinstance(head, bytes)
        return [head + answer_properly(request)]

    pool = make_pool()
    async with run_scripted_peer(reply) as peer:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            await _send_request(PlatformUpstreams(pool=pool), make_engine_entry(peer.address))
    pool.close()


@pytest.mark.asyncio
@pytest.mark.parametrize("status", [100, 102, 103, 199])
async def test_interim_answer_is_skipped_when_it_has_no_body(status: int) -> None:
    def reply(request: PeerRequest) -> Sequence[Part]:
        interim = f"HTTP/1.1 {status} Status\r\nLink: </x>\r\n\r\n".encode()
        return [interim * 2, Pause(wait_s=PIECE_GAP_S), answer_properly(request)]

    pool = make_pool()
    async with run_scripted_peer(reply) as peer:
        client, entry = PlatformUpstreams(pool=pool), make_engine_entry(peer.address)
        async with asyncio.timeout(HANG_TIMEOUT_S):
            for id in ("first", "second"):
                assert await send(client, entry, id=id) == (200, f"answer to {id}".encode())
    pool.close()
    assert [request.connection for request in peer.requests] == [0, 0]


@asynccontextmanager
async def _open_store(answer: InvalidAnswer) -> AsyncIterator[tuple[PlatformStore, ScriptedPeer]]:
    """Return a client of a store that gives one answer."""
    pool = make_pool()
    async with run_scripted_peer(answer.encode) as peer:
        yield PlatformStore(address=peer.address, pool=pool), peer
    pool.close()


# Guards against a call to the store that waits for its timeout, or that counts as refused although
# it may have been carried out.
@pytest.mark.asyncio
@each_invalid_answer
async def test_outcome_of_a_store_call_is_uncertain_when_the_status_is_invalid(
    answer: InvalidAnswer,
) -> None:
    put = ConditionalPut(key="k", value=b"1", expected_mod_revision=StoreRevision(0))
    results: list[Result[Any, StoreError]] = []
    async with _open_store(answer) as (store, peer), asyncio.timeout(HANG_TIMEOUT_S):
        results.append(await store.get(key="k"))
        results.append(await store.list(prefix="k"))
        results.append(await store.commit(puts=[put]))
        results.append(await store.grant_lease(ttl_s=1))
        results.append(await store.changes(prefix="k", after=StoreRevision(0), wait_ms=900))
    for result in results:
        error = result.failure()
        assert error.kind is StoreErrorKind.UNCERTAIN
        assert "in time" not in error.detail
    assert [request.number for request in peer.requests] == [0] * len(results)


@pytest_asyncio.fixture
async def running(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Running]:
    """Run a host."""
    async with run_host(monkeypatch) as running_host:
        yield running_host


async def _call(address: str, path: str, id: str) -> ReadAnswer:
    """Make a call; the answer has status 0 if none comes."""
    try:
        async with asyncio.timeout(HANG_TIMEOUT_S):
            return await call(address, path, id)
    except TimeoutError:
        return ReadAnswer(headers={})


async def _call_all(running: Running, path: str) -> dict[str, ReadAnswer]:
    """Make a call for each answer, whose name is the id of the request."""
    answers = await call_all(
        [partial(_call, running.address, path, name) for name in INVALID_ANSWERS]
    )
    return dict(zip(INVALID_ANSWERS, answers, strict=True))


def _find_statuses(answers: dict[str, ReadAnswer]) -> dict[str, int]:
    return {name: answer.status for name, answer in answers.items()}


# Guards against a caller that waits for its deadline, gets an invalid status, or is told that its
# request has not run.
@pytest.mark.asyncio
@pytest.mark.parametrize(("path", "arrivals"), [("/book/x", 1), ("/draft/x", 1), ("/read/x", 2)])
async def test_caller_is_told_of_a_lost_answer_when_the_status_is_invalid(
    running: Running, path: str, arrivals: int
) -> None:
    running.script.answers = lambda request, _arrived: INVALID_ANSWERS[request.id].encode(request)
    answers = await _call_all(running, path)
    assert _find_statuses(answers) == dict.fromkeys(INVALID_ANSWERS, HTTP_BAD_GATEWAY)
    assert running.script.arrived == dict.fromkeys(INVALID_ANSWERS, arrivals)


# Guards against a request that may run twice and is not repeated after an invalid status.
@pytest.mark.asyncio
async def test_idempotent_request_is_repeated_when_the_status_is_invalid(running: Running) -> None:
    def reply(request: PeerRequest, arrived: int) -> Sequence[Part]:
        if arrived:
            return [encode_framed(Framing.LENGTH, id=request.id, body=PLAIN_BODY)]
        return INVALID_ANSWERS[request.id].encode(request)

    running.script.answers = reply
    answers = await _call_all(running, "/read/x")
    assert {name for name, answer in answers.items() if answer.is_success} == set(INVALID_ANSWERS)
    assert {answer.body for answer in answers.values()} == {PLAIN_BODY}
    assert running.script.arrived == dict.fromkeys(INVALID_ANSWERS, 2)


# Guards against a resumed run that waits for an engine that has answered with an invalid status.
@pytest.mark.asyncio
async def test_run_goes_on_elsewhere_when_the_status_of_a_resumed_run_is_invalid(
    running: Running, monkeypatch: pytest.MonkeyPatch
) -> None:
    copy_each_run(monkeypatch)

    def reply(request: PeerRequest, arrived: int) -> Sequence[Part]:
        if not arrived:
            begun = encode_framed(Framing.CHUNKED, id=request.id, body=EVENTS[0])
            return [begun.removesuffix(LAST_CHUNK), Pause(wait_s=PIECE_GAP_S), Reset()]
        if arrived == 1:
            return INVALID_ANSWERS[request.id].encode(request)
        return [encode_framed(Framing.CHUNKED, id=request.id, body=EVENTS[1])]

    running.script.answers = reply
    answers = await _call_all(running, "/draft/x")
    assert {name for name, answer in answers.items() if answer.is_success} == set(INVALID_ANSWERS)
    assert {answer.body for answer in answers.values()} == {b"".join(EVENTS)}
    assert running.script.arrived == dict.fromkeys(INVALID_ANSWERS, 3)
    assert running.script.begun == dict.fromkeys(INVALID_ANSWERS, 1)


# Guards against a caller that waits for another host that has answered with an invalid status.
@pytest.mark.asyncio
@pytest.mark.parametrize("path", ["/book/x", "/draft/x"])
async def test_caller_is_told_of_a_lost_answer_when_the_status_of_another_host_is_invalid(
    running: Running, monkeypatch: pytest.MonkeyPatch, path: str
) -> None:
    arrived: Counter[str] = Counter()

    def reply(request: PeerRequest) -> Sequence[Part]:
        decoded = decode_request(request.body, arrived=Millis(0))
        id = decoded.unwrap().request
        arrived[id] += 1
        exchange = request.headers[EXCHANGE_FIELD.lower()]
        return INVALID_ANSWERS[id].encode(request, (EXCHANGE_FIELD, exchange))

    async with run_scripted_peer(reply) as peer:

        async def choose(_selector: DelegateSelector) -> Delegate:
            return Delegate(host="h2", address=peer.address, failure_domain="a")

        monkeypatch.setattr(DelegateSelector, "choose", choose)
        monkeypatch.setattr(UpstreamPaths, "is_cut_off", True)
        answers = await _call_all(running, path)
    assert _find_statuses(answers) == dict.fromkeys(INVALID_ANSWERS, HTTP_BAD_GATEWAY)
    assert arrived == dict.fromkeys(INVALID_ANSWERS, 1)
    assert not running.paths
