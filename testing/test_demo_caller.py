"""The caller of the demo and the soak run detects every fault in the answers of a host."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from random import Random

import aiohttp
from aiohttp import web
import msgspec
import pytest
import pytest_asyncio

from standins._common import abort_connection
from standins.caller import Caller
from standins.caller_reports import AnswerReport
from standins.caller_reports import AnswerRequest
from standins.caller_reports import AnswerState
from standins.caller_reports import BookingReport
from standins.caller_reports import BookingState
from standins.journal import Execution
from standins.tokens import answer_tokens
from standins.verdict import compute_verdict
from tanagerscale.core import Execution as ReportedExecution
from tanagerscale.generated.callers import ProblemDetails
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.upstream import EngineRequest
from testing.conftest import ClientOf

REQUEST = AnswerRequest(name="ask", model="planner", version="7", tokens=6)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
AskHost = Callable[[Handler], Awaitable[AnswerReport]]
BookAtHost = Callable[[Handler], Awaitable[BookingReport]]


@pytest_asyncio.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as client_session:
        yield client_session


async def _caller(
    client_of: ClientOf, session: aiohttp.ClientSession, handle_request: Handler
) -> Caller:
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle_request)
    url = str((await client_of(app)).make_url("")).rstrip("/")
    return Caller(
        session=session,
        get_urls=lambda: [url],
        key="account.secret",
        rng=Random(1),
        objective=Objective(),
        timeout_ms=1_000,
        bodyless_resume_probability=1,
    )


@pytest.fixture
def ask_host(client_of: ClientOf, session: aiohttp.ClientSession) -> AskHost:
    """Return a function that requests an answer from a host with a given handler."""

    async def request_answer(handle_request: Handler) -> AnswerReport:
        return await (await _caller(client_of, session, handle_request)).complete(REQUEST)

    return request_answer


@pytest.fixture
def book_at_host(client_of: ClientOf, session: aiohttp.ClientSession) -> BookAtHost:
    """Return a function that books at a host with a given handler."""

    async def book(handle_request: Handler) -> BookingReport:
        caller = await _caller(client_of, session, handle_request)
        return await caller.book(service="bookings", key="k", retry_refused=False)

    return book


def _tokens(request_body: bytes) -> list[str]:
    body = msgspec.json.decode(request_body)
    engine_request = EngineRequest(
        attempt_id="", model="planner", version="7", prompt=body["prompt"], seed=body["seed"]
    )
    return answer_tokens(engine_request)


async def _events(
    request: web.Request,
    texts: list[str],
    *,
    done: bool = False,
    first: int = 0,
    problem: str = "",
) -> web.StreamResponse:
    headers = {"Content-Type": "text/event-stream", "X-Request-Id": "req-1"}
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    for number, text in enumerate(texts, start=first):
        body = msgspec.json.encode({"choices": [{"text": text}]}).decode()
        await response.write(f"id: {number}\ndata: {body}\n\n".encode())
    if done:
        body = msgspec.json.encode({"choices": [{"text": "", "finish_reason": "stop"}]}).decode()
        await response.write(f"id: end\ndata: {body}\n\ndata: [DONE]\n\n".encode())
    elif problem:
        body = msgspec.json.encode(_details(ReportedExecution.UNKNOWN, kind=problem)).decode()
        await response.write(f"event: error\ndata: {body}\n\n".encode())
    else:
        abort_connection(request)
    return response


@pytest.mark.parametrize(
    ("token_indices", "state"),
    [
        ([0, 1, 2, 3, 4, 5], AnswerState.COMPLETE),
        ([0, 1, 2, 2, 3, 4, 5], AnswerState.WRONG),
        ([0, 1, 3, 4, 5], AnswerState.WRONG),
        ([0, 2, 1, 3, 4, 5], AnswerState.WRONG),
        ([0, 1, 2, 3, 4], AnswerState.WRONG),
    ],
    ids=["complete", "duplicated", "gap", "crossed", "end-marker-too-early"],
)
async def test_answer_is_complete_only_with_each_token_once_in_order(
    ask_host: AskHost, token_indices: list[int], state: AnswerState
) -> None:
    async def handle_request(request: web.Request) -> web.StreamResponse:
        tokens = _tokens(await request.read())
        return await _events(request, [tokens[index] for index in token_indices], done=True)

    assert (await ask_host(handle_request)).state is state


async def test_caller_resumes_after_its_last_event_when_the_connection_breaks(
    ask_host: AskHost,
) -> None:
    tokens: list[str] = []
    resume_requests: list[tuple[str, str]] = []

    async def handle_request(request: web.Request) -> web.StreamResponse:
        if not request.path.endswith("/events"):
            tokens.extend(_tokens(await request.read()))
            return await _events(request, tokens[:3], done=False)
        resume_requests.append((request.path, request.headers["Last-Event-ID"]))
        if request.method == "GET":
            return _problem(ReportedExecution.UNKNOWN, kind="generation-lost")
        assert _tokens(await request.read()) == tokens
        return await _events(request, tokens[3:], done=True)

    report = await ask_host(handle_request)
    assert (report.state, report.resumes, report.trials) == (AnswerState.COMPLETE, 1, 1)
    assert set(resume_requests) == {("/v1/completions/req-1/events", "2")}


async def test_caller_uses_its_latest_cursor_when_it_resumes_twice(ask_host: AskHost) -> None:
    tokens: list[str] = []
    received_cursors: list[str] = []

    async def handle_request(request: web.Request) -> web.StreamResponse:
        if not request.path.endswith("/events"):
            tokens.extend(_tokens(await request.read()))
            return await _events(request, tokens[:2], done=False)
        received_cursors.append(request.headers["Last-Event-ID"])
        if len(received_cursors) == 1:
            return await _events(request, tokens[2:4], first=2, problem="generation-lost")
        return await _events(request, tokens[4:], first=4, done=True)

    report = await ask_host(handle_request)
    assert (report.state, received_cursors) == (AnswerState.COMPLETE, ["1", "3"])


async def test_answer_is_lost_when_no_host_returns_a_final_result(ask_host: AskHost) -> None:
    async def handle_request(request: web.Request) -> web.StreamResponse:
        abort_connection(request)
        return web.Response()

    assert (await ask_host(handle_request)).state is AnswerState.LOST


def _details(execution: ReportedExecution, *, kind: str) -> ProblemDetails:
    return ProblemDetails(
        type=f"urn:{kind}", title="x", status=503, detail="x", execution=execution.value
    )


def _problem(execution: ReportedExecution, *, kind: str = "x") -> web.Response:
    body = msgspec.json.encode(_details(execution, kind=kind))
    return web.Response(status=503, body=body, content_type="application/problem+json")


async def test_booking_is_retried_when_an_earlier_call_may_have_run(
    book_at_host: BookAtHost,
) -> None:
    calls: list[str] = []

    async def handle_request(request: web.Request) -> web.StreamResponse:
        calls.append(request.headers["Idempotency-Key"])
        if len(calls) == 1:
            abort_connection(request)
            return web.Response()
        if len(calls) == 2:
            return _problem(ReportedExecution.NOT_EXECUTED)
        return web.json_response({"number": 4}, status=201)

    report = await book_at_host(handle_request)
    assert (report.state, report.number, calls) == (BookingState.BOOKED, 4, ["k"] * 3)


async def test_booking_is_final_when_its_only_call_was_not_executed(
    book_at_host: BookAtHost,
) -> None:
    async def handle_request(_request: web.Request) -> web.StreamResponse:
        return _problem(ReportedExecution.NOT_EXECUTED)

    report = await book_at_host(handle_request)
    assert (report.state, report.calls) == (BookingState.NOT_EXECUTED, 1)


def _booking(state: BookingState) -> BookingReport:
    return BookingReport(key="k", state=state)


def test_verdict_counts_bookings_executed_other_than_reported() -> None:
    booking_execution = Execution(id="k")

    def count(state: BookingState, runs: int) -> tuple[int, int, int]:
        verdict = compute_verdict(
            answers=[],
            bookings=[_booking(state)],
            generations=[],
            booked=[booking_execution] * runs,
        )
        return verdict.duplicated, verdict.lost_bookings, verdict.executed_but_denied

    assert count(BookingState.BOOKED, 1) == (0, 0, 0)
    assert count(BookingState.BOOKED, 2) == (1, 0, 0)
    assert count(BookingState.UNKNOWN, 2) == (1, 0, 0)
    assert count(BookingState.BOOKED, 0) == (0, 1, 0)
    assert count(BookingState.LOST, 0) == (0, 1, 0)
    assert count(BookingState.NOT_EXECUTED, 0) == (0, 0, 0)
    assert count(BookingState.NOT_EXECUTED, 1) == (0, 0, 1)


def test_verdict_counts_executed_answers_reported_as_not_executed() -> None:
    report = AnswerReport(ask=REQUEST, state=AnswerState.COMPLETE, told_not_executed=["ask.1"])
    for tag, wrong in (("ask.1", 1), ("ask.2", 0)):
        verdict = compute_verdict(
            answers=[report],
            bookings=[],
            generations=[Execution(id="att", tag=tag)],
            booked=[],
        )
        assert (verdict.executed_but_denied, verdict.passed) == (wrong, not wrong)
