"""The demo's and the soak run's caller finds every fault that a host could hand it."""

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
from standins.caller_reports import AnswerState
from standins.caller_reports import Ask
from standins.caller_reports import BookingReport
from standins.caller_reports import BookingState
from standins.journal import Execution
from standins.tokens import answer_tokens
from standins.verdict import judge
from tanagerscale.core import Execution as ExecutionWord
from tanagerscale.generated.callers import ProblemDetails
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.upstream import EngineRequest
from testing.conftest import ClientOf

ASK = Ask(name="ask", model="planner", version="7", tokens=6)
Answer = Callable[[web.Request], Awaitable[web.StreamResponse]]
AskHost = Callable[[Answer], Awaitable[AnswerReport]]
BookAtHost = Callable[[Answer], Awaitable[BookingReport]]


@pytest_asyncio.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as made:
        yield made


async def _caller(client_of: ClientOf, session: aiohttp.ClientSession, answer: Answer) -> Caller:
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", answer)
    url = str((await client_of(app)).make_url("")).rstrip("/")
    return Caller(
        session=session,
        hosts=lambda: [url],
        key="account.secret",
        rng=Random(1),
        objective=Objective(),
        give_up_ms=1_000,
        share_without_body=1,
    )


@pytest.fixture
def ask_host(client_of: ClientOf, session: aiohttp.ClientSession) -> AskHost:
    """Ask a host that answers as the test says."""

    async def ask(answer: Answer) -> AnswerReport:
        return await (await _caller(client_of, session, answer)).complete(ASK)

    return ask


@pytest.fixture
def book_at_host(client_of: ClientOf, session: aiohttp.ClientSession) -> BookAtHost:
    """Book at a host that answers as the test says."""

    async def book(answer: Answer) -> BookingReport:
        caller = await _caller(client_of, session, answer)
        return await caller.book(service="bookings", key="k", retry_refused=False)

    return book


def _tokens(request_body: bytes) -> list[str]:
    body = msgspec.json.decode(request_body)
    asked = EngineRequest(
        attempt_id="", model="planner", version="7", prompt=body["prompt"], seed=body["seed"]
    )
    return answer_tokens(asked)


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
        body = msgspec.json.encode(_details(ExecutionWord.UNKNOWN, kind=problem)).decode()
        await response.write(f"event: error\ndata: {body}\n\n".encode())
    else:
        abort_connection(request)
    return response


@pytest.mark.parametrize(
    ("chosen", "state"),
    [
        ([0, 1, 2, 3, 4, 5], AnswerState.WHOLE),
        ([0, 1, 2, 2, 3, 4, 5], AnswerState.WRONG),
        ([0, 1, 3, 4, 5], AnswerState.WRONG),
        ([0, 2, 1, 3, 4, 5], AnswerState.WRONG),
        ([0, 1, 2, 3, 4], AnswerState.WRONG),
    ],
    ids=["whole", "doubled", "gap", "crossed", "end-marker-too-early"],
)
async def test_answer_is_whole_only_with_each_token_once_in_order(
    ask_host: AskHost, chosen: list[int], state: AnswerState
) -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        tokens = _tokens(await request.read())
        return await _events(request, [tokens[number] for number in chosen], done=True)

    assert (await ask_host(answer)).state is state


async def test_caller_goes_on_behind_its_last_event_when_the_link_breaks(
    ask_host: AskHost,
) -> None:
    tokens: list[str] = []
    resumed: list[tuple[str, str]] = []

    async def answer(request: web.Request) -> web.StreamResponse:
        if not request.path.endswith("/events"):
            tokens.extend(_tokens(await request.read()))
            return await _events(request, tokens[:3], done=False)
        resumed.append((request.path, request.headers["Last-Event-ID"]))
        if request.method == "GET":
            return _problem(ExecutionWord.UNKNOWN, kind="generation-lost")
        assert _tokens(await request.read()) == tokens
        return await _events(request, tokens[3:], done=True)

    report = await ask_host(answer)
    assert (report.state, report.resumes, report.trials) == (AnswerState.WHOLE, 1, 1)
    assert set(resumed) == {("/v1/completions/req-1/events", "2")}


async def test_caller_uses_its_newest_cursor_when_it_goes_on_twice(ask_host: AskHost) -> None:
    tokens: list[str] = []
    behind: list[str] = []

    async def answer(request: web.Request) -> web.StreamResponse:
        if not request.path.endswith("/events"):
            tokens.extend(_tokens(await request.read()))
            return await _events(request, tokens[:2], done=False)
        behind.append(request.headers["Last-Event-ID"])
        if len(behind) == 1:
            return await _events(request, tokens[2:4], first=2, problem="generation-lost")
        return await _events(request, tokens[4:], first=4, done=True)

    report = await ask_host(answer)
    assert (report.state, behind) == (AnswerState.WHOLE, ["1", "3"])


async def test_answer_is_lost_when_no_host_ever_says_a_final_word(ask_host: AskHost) -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        abort_connection(request)
        return web.Response()

    assert (await ask_host(answer)).state is AnswerState.LOST


def _details(execution: ExecutionWord, *, kind: str) -> ProblemDetails:
    return ProblemDetails(
        type=f"urn:{kind}", title="x", status=503, detail="x", execution=execution.value
    )


def _problem(execution: ExecutionWord, *, kind: str = "x") -> web.Response:
    body = msgspec.json.encode(_details(execution, kind=kind))
    return web.Response(status=503, body=body, content_type="application/problem+json")


async def test_booking_is_asked_for_again_when_an_earlier_call_may_have_run(
    book_at_host: BookAtHost,
) -> None:
    calls: list[str] = []

    async def answer(request: web.Request) -> web.StreamResponse:
        calls.append(request.headers["Idempotency-Key"])
        if len(calls) == 1:
            abort_connection(request)
            return web.Response()
        if len(calls) == 2:
            return _problem(ExecutionWord.NOT_EXECUTED)
        return web.json_response({"number": 4}, status=201)

    report = await book_at_host(answer)
    assert (report.state, report.number, calls) == (BookingState.BOOKED, 4, ["k"] * 3)


async def test_booking_is_final_when_its_only_call_was_not_executed(
    book_at_host: BookAtHost,
) -> None:
    async def answer(_request: web.Request) -> web.StreamResponse:
        return _problem(ExecutionWord.NOT_EXECUTED)

    report = await book_at_host(answer)
    assert (report.state, report.calls) == (BookingState.NOT_EXECUTED, 1)


def _booking(state: BookingState) -> BookingReport:
    return BookingReport(key="k", state=state)


def test_verdict_names_bookings_that_ran_otherwise_than_told() -> None:
    ran = Execution(id="k")

    def count(state: BookingState, runs: int) -> tuple[int, int, int]:
        verdict = judge(answers=[], bookings=[_booking(state)], generations=[], booked=[ran] * runs)
        return verdict.doubled, verdict.lost_bookings, verdict.wrongly_not_executed

    assert count(BookingState.BOOKED, 1) == (0, 0, 0)
    assert count(BookingState.BOOKED, 2) == (1, 0, 0)
    assert count(BookingState.UNKNOWN, 2) == (1, 0, 0)
    assert count(BookingState.BOOKED, 0) == (0, 1, 0)
    assert count(BookingState.LOST, 0) == (0, 1, 0)
    assert count(BookingState.NOT_EXECUTED, 0) == (0, 0, 0)
    assert count(BookingState.NOT_EXECUTED, 1) == (0, 0, 1)


def test_verdict_names_answers_called_not_executed_that_ran() -> None:
    report = AnswerReport(ask=ASK, state=AnswerState.WHOLE, told_not_executed=["ask.1"])
    for tag, wrong in (("ask.1", 1), ("ask.2", 0)):
        verdict = judge(
            answers=[report],
            bookings=[],
            generations=[Execution(id="att", tag=tag)],
            booked=[],
        )
        assert (verdict.wrongly_not_executed, verdict.held) == (wrong, not wrong)
