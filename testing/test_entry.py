"""Caller interface: authentication, rejected requests and robustness against invalid input."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
import random
import threading

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestClient
from aiohttp.test_utils import TestServer
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import msgspec
from prometheus_client import CollectorRegistry
import pytest
import pytest_asyncio

from standins.cluster_files import account_key
from standins.cluster_files import account_key_hash
from tanagerscale.accounts import KeyChecker
from tanagerscale.claims import Claims
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.core import UpstreamId
from tanagerscale.daemon import GateHealthRecorder
from tanagerscale.daemon import HostAccountLimits
from tanagerscale.daemon import NoQuarantine
from tanagerscale.daemon import RequestAdmission
from tanagerscale.declarations import Declarations
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchContext
from tanagerscale.dispatch import EngineReachability
from tanagerscale.entry import CallerApi
from tanagerscale.entry import CallerApiContext
from tanagerscale.entry import CompletionContext
from tanagerscale.entry import CompletionHandlers
from tanagerscale.entry import RequestChecker
from tanagerscale.generated.callers import HostStatus
from tanagerscale.generated.callers import ProblemDetails
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Delivery
from tanagerscale.generated.declarations import Engine
from tanagerscale.generated.declarations import Model
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.settings import LimitsSection
from tanagerscale.membership import UpstreamGate
from tanagerscale.policy import RetryBudget
from tanagerscale.services import ServiceContext
from tanagerscale.services import ServiceDispatch
from tanagerscale.upstreams import HttpServiceClient
from tanagerscale.usage import UsageMeter
from testing._fake_engine import FakeEngine
from testing._fake_engine import FakeRouter
from testing._fake_store import FakeBackend
from testing._fake_store import FakeStore
from testing._random_cases import random_case_settings

ENGINE = UpstreamId("engine-1")
MODEL = "round-planner"
KEYS = {name: {"Authorization": f"Bearer {account_key(name)}"} for name in ("north", "south")}
BODY = {"model": MODEL, "prompt": "plan", "max_tokens": 20, "stream": True, "seed": 3}
"""Request for twenty tokens, generated at ten milliseconds each."""
BODY_LIMIT = 4096


@dataclass(kw_only=True)
class Host:
    """Caller interface of a host with a fake engine."""

    client: TestClient[web.Request, web.Application]
    engine: FakeEngine
    router: FakeRouter
    canceller: Canceller
    api: CallerApi
    leaving: asyncio.Event
    """Set while the host is in a graceful shutdown."""


def _make_declarations() -> Declarations:
    declared = DeclarationSet(
        objective=Objective(),
        models=[
            Model(name=MODEL, version="1"),
            Model(name="whole-planner", version="1", delivery=Delivery.WHOLE),
        ],
        accounts=[
            ClientAccount(name="north", key_hash=account_key_hash("north")),
            ClientAccount(name="south", key_hash=account_key_hash("south"), concurrent_requests=1),
        ],
        engines=[
            Engine(
                name=ENGINE,
                address="127.0.0.1:1",
                failure_domain="a",
                models=[MODEL, "whole-planner"],
            )
        ],
    )
    return Declarations.from_set(declarations=declared, revision=Revision(1))


@pytest_asyncio.fixture
async def host(session: aiohttp.ClientSession) -> AsyncIterator[Host]:
    """Run the real entry, dispatch and delivery with a fake engine."""
    clock = Clock()
    rng = random.Random(1)
    declarations = _make_declarations()
    engine = FakeEngine(clock=clock)
    canceller = Canceller(get_client=lambda _engine: engine, clock=clock)
    gate = UpstreamGate(clock=clock, rng=rng, broadcast=lambda _message: None)
    keys = KeyChecker()
    keys.set_accounts(accounts=declarations.accounts)
    limits = HostAccountLimits(clock=clock)
    limits.set_declarations(declarations=declarations)
    router = FakeRouter(engines=[ENGINE])
    dispatch = DispatchContext(
        router=router,
        get_client=lambda _engine: engine,
        reachability=EngineReachability(get_client=lambda _engine: engine, clock=clock),
        observer=GateHealthRecorder(gate=gate),
        crash_watch=NoQuarantine(),
        retries=RetryBudget(),
        canceller=canceller,
        meter=UsageMeter(clock=clock, objective=Objective),
        clock=clock,
        rng=rng,
    )
    leaving = asyncio.Event()
    status = HostStatus(host="a", incarnation=1, revision=1, ready=True, leaving=False, running=0)
    caller_api = CallerApi(
        context=CallerApiContext(
            keys=keys,
            admission=RequestAdmission(limit=50, rng=rng),
            account_limits=limits,
            completions=CompletionHandlers(
                context=CompletionContext(
                    host=HostId("a"),
                    cursor_key=b"k" * 32,
                    checker=RequestChecker(fingerprint_key=b"f" * 32, rng=rng),
                    dispatch=dispatch,
                    declarations=lambda: declarations,
                    limits=limits,
                    notify_attached=lambda _host, _attempt: None,
                )
            ),
            services=_make_services(clock, rng, gate, session),
            declarations=lambda: declarations,
            status=lambda: msgspec.structs.replace(status, leaving=leaving.is_set()),
            is_leaving=leaving.is_set,
            usage=lambda: b"{}",
            registry=CollectorRegistry(),
            limits=LimitsSection(body_bytes=BODY_LIMIT),
        )
    )
    server = TestServer(caller_api.application(), handler_cancellation=True)
    async with TestClient(server) as client:
        yield Host(
            client=client,
            engine=engine,
            router=router,
            canceller=canceller,
            api=caller_api,
            leaving=leaving,
        )


def _make_services(
    clock: Clock, rng: random.Random, gate: UpstreamGate, session: aiohttp.ClientSession
) -> ServiceDispatch:
    claims = Claims(
        store=FakeStore(backend=FakeBackend()),
        prefix="/t",
        host=HostId("a"),
        incarnation=1,
        clock=clock,
        rng=rng,
        is_live=lambda _host, _incarnation: True,
    )
    return ServiceDispatch(
        context=ServiceContext(
            client=HttpServiceClient(session=session),
            claims=claims,
            observer=GateHealthRecorder(gate=gate),
            is_open=gate.is_open,
            retries=RetryBudget(),
            clock=clock,
            rng=rng,
        )
    )


async def _read(
    host: Host, path: str, body: dict[str, object], headers: dict[str, str]
) -> tuple[int, bytes]:
    async with host.client.post(path, json=body, headers=headers) as response:
        return response.status, await response.read()


def _decode_problem(body: bytes) -> ProblemDetails:
    return msgspec.json.decode(body, type=ProblemDetails)


@pytest.mark.parametrize(
    "key",
    [
        "",
        "Bearer ",
        "Bearer north.wrong",
        "Bearer nobody.x",
        "Basic bm9ydGg6",
        "Bearer " + "x" * 600,
    ],
)
async def test_request_is_rejected_when_its_key_is_unknown(host: Host, key: str) -> None:
    headers = {"Authorization": key} if key else {}
    async with host.client.post("/v1/completions", json=BODY, headers=headers) as response:
        assert response.status == 401
        assert _decode_problem(await response.read()).execution == "not-executed"
    assert not host.engine.executed


# Guards against requests that a stopping host runs although it no longer waits for them.
async def test_request_is_refused_when_the_host_stops_during_its_authentication(
    host: Host, monkeypatch: pytest.MonkeyPatch
) -> None:
    started = threading.Event()
    resumed = threading.Event()

    def verify(*, key: str, key_hash: str) -> bool:
        started.set()
        resumed.wait()
        return bool(key and key_hash)

    monkeypatch.setattr("tanagerscale.accounts._checker.verify_key", verify)
    call = asyncio.create_task(
        _read(host, "/v1/completions", {**BODY, "stream": False}, KEYS["north"])
    )
    await asyncio.to_thread(started.wait)
    host.leaving.set()
    resumed.set()
    status, body = await call
    assert status == 503
    assert _decode_problem(body).execution == "not-executed"


# Guards against an unknown outcome of a request that was never sent to an engine.
@pytest.mark.parametrize("is_placed", [False, True])
async def test_interrupted_request_is_reported_as_not_executed_only_when_it_has_no_engine(
    host: Host, is_placed: bool
) -> None:
    if not is_placed:
        host.router.capacity.clear()
    call = asyncio.create_task(
        _read(host, "/v1/completions", {**BODY, "stream": False}, KEYS["north"])
    )
    while not (host.engine.executed if is_placed else host.router.requests):
        await asyncio.sleep(0.001)
    host.api.interrupt()
    status, body = await call
    assert status == 503
    assert _decode_problem(body).execution == ("unknown" if is_placed else "not-executed")
    assert bool(host.engine.executed) is is_placed


# Guards against callers that keep sending requests on a connection to a stopping host.
@pytest.mark.parametrize("path", ["/v1/completions", "/services/bookings/x", "/nowhere"])
async def test_connection_is_closed_after_a_refusal_when_the_host_stops(
    host: Host, path: str
) -> None:
    host.leaving.set()
    async with host.client.post(path, json=BODY, headers=KEYS["north"]) as response:
        assert response.status in {404, 503}
        assert response.headers.get("Connection") == "close"
        assert _decode_problem(await response.read()).execution == "not-executed"


# Guards against callers that send their next request to a host that stopped during the last one.
async def test_connection_is_closed_after_an_answer_when_the_host_stops_during_it(
    host: Host,
) -> None:
    body = {**BODY, "stream": False}
    call = asyncio.create_task(
        host.client.post("/v1/completions", json=body, headers=KEYS["north"])
    )
    while not host.engine.executed:
        await asyncio.sleep(0.001)
    host.leaving.set()
    async with await call as response:
        assert response.status == 200
        assert response.headers.get("Connection") == "close"


async def test_answer_is_a_single_response_when_streaming_is_not_requested(host: Host) -> None:
    body = {**BODY, "stream": False}
    async with host.client.post("/v1/completions", json=body, headers=KEYS["north"]) as response:
        answer = await response.json()
    assert answer["usage"]["completion_tokens"] == 20
    assert answer["choices"][0]["finish_reason"] == "stop"


async def test_events_contain_the_complete_answer_when_delivery_is_whole(host: Host) -> None:
    body = {**BODY, "model": "whole-planner"}
    async with host.client.post("/v1/completions", json=body, headers=KEYS["north"]) as response:
        text = (await response.read()).decode()
    data_lines = [line for line in text.split("\n") if line.startswith("data: ")]
    assert len(data_lines) == 3
    assert data_lines[-1] == "data: [DONE]"


async def test_chat_request_gets_a_chat_completion(host: Host) -> None:
    body = {"model": MODEL, "messages": [{"role": "user", "content": "plan"}], "max_tokens": 3}
    path = "/v1/chat/completions"
    async with host.client.post(path, json=body, headers=KEYS["north"]) as response:
        answer = await response.json()
    assert answer["choices"][0]["message"]["role"] == "assistant"


async def test_engine_run_is_cancelled_when_a_caller_without_a_cursor_disconnects(
    host: Host,
) -> None:
    body = {**BODY, "stream": False, "max_tokens": 1000}
    task = asyncio.create_task(
        host.client.post("/v1/completions", json=body, headers=KEYS["north"])
    )
    while not host.engine.executed:
        await asyncio.sleep(0.01)
    task.cancel()
    while not all(run.cancelled for run in host.engine.runs.values()):
        await asyncio.sleep(0.01)


async def test_request_is_rejected_when_its_body_is_too_large(host: Host) -> None:
    body = {**BODY, "prompt": "x" * BODY_LIMIT}
    async with host.client.post("/v1/completions", json=body, headers=KEYS["north"]) as response:
        assert response.status == 413
        assert _decode_problem(await response.read()).execution == "not-executed"


async def test_second_request_is_rejected_when_the_account_limit_is_one(host: Host) -> None:
    first = await host.client.post("/v1/completions", json=BODY, headers=KEYS["south"])
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["south"]) as response:
        assert response.status == 429
        assert int(response.headers["Retry-After"]) >= 1
    await first.read()
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["south"]) as response:
        assert response.status == 200


async def test_stream_of_another_account_cannot_be_resumed(host: Host) -> None:
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["north"]) as response:
        request_id = response.headers["X-Request-Id"]
        first = (await response.content.readuntil(b"\n\n")).decode()
    cursor = first.split("\n")[0].removeprefix("id: ")
    path = f"/v1/completions/{request_id}/events"
    for method in ("GET", "POST"):
        headers = {**KEYS["south"], "Last-Event-ID": cursor}
        async with host.client.request(method, path, headers=headers, json=BODY) as response:
            assert response.status == 403
    async with host.client.get(
        path, headers={**KEYS["north"], "Last-Event-ID": cursor}
    ) as response:
        assert response.status == 200
        assert b"[DONE]" in await response.read()


@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_rejected_resume_is_never_reported_as_not_executed(host: Host, method: str) -> None:
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["south"]) as response:
        request_id = response.headers["X-Request-Id"]
        cursor = (await response.read()).decode().split("\n")[0].removeprefix("id: ")
    path = f"/v1/completions/{request_id}/events"
    resume_headers = {**KEYS["south"], "Last-Event-ID": cursor}
    for headers, body in (({}, BODY), (KEYS["south"], BODY), (resume_headers, {"model": "none"})):
        async with host.client.request(method, path, headers=headers, json=body) as response:
            if response.status != 200:
                assert _decode_problem(await response.read()).execution == "unknown"
    # The account limit is one concurrent request; a resumed stream does not count towards it.
    first = await host.client.post("/v1/completions", json=BODY, headers=KEYS["south"])
    async with host.client.request(method, path, headers=resume_headers, json=BODY) as response:
        assert response.status == 200
    await first.read()


async def test_resume_is_rejected_when_its_body_differs(host: Host) -> None:
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["north"]) as response:
        request_id = response.headers["X-Request-Id"]
        text = (await response.read()).decode()
    cursor = text.split("\n")[0].removeprefix("id: ")
    headers = {**KEYS["north"], "Last-Event-ID": cursor}
    other = {**BODY, "prompt": "another plan"}
    path = f"/v1/completions/{request_id}/events"
    async with host.client.post(path, headers=headers, json=other) as response:
        assert response.status == 403


async def test_engine_stream_is_paused_without_loss_when_a_caller_reads_slowly(host: Host) -> None:
    # The complete answer is 20 MB, far more than the buffers between the engine and the caller.
    host.engine.token_padding = "x" * 10_000
    host.engine.step_ms = 0
    body = {**BODY, "max_tokens": 2000}
    response = await host.client.post("/v1/completions", json=body, headers=KEYS["north"])
    previous = -1
    while previous != host.engine.sent_events:
        previous = host.engine.sent_events
        await asyncio.sleep(0.3)
    assert 0 < previous < 1500
    text = await response.read()
    assert text.count(b'"finish_reason":null') == 2000
    assert text.endswith(b"data: [DONE]\n\n")


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
FIELD_NAMES = (
    "model",
    "prompt",
    "messages",
    "max_tokens",
    "stream",
    "seed",
    "adapter",
    "prefix_chars",
)
BODIES = (
    st.binary(max_size=60)
    | JSON.map(lambda value: msgspec.json.encode(value))
    | st.dictionaries(st.sampled_from(FIELD_NAMES), JSON).map(
        lambda value: msgspec.json.encode({"model": MODEL, "prompt": "p", "max_tokens": 1, **value})
    )
)
HEADER = st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=80)
VALID_BODY = msgspec.json.encode({"model": MODEL, "prompt": "p", "max_tokens": 1})
PATHS = st.sampled_from(
    [
        "/v1/completions",
        "/v1/chat/completions",
        "/v1/completions/cmpl-1/events",
        "/services/bookings/x",
        "/services/%00/..%2f",
        "/nowhere",
    ]
)


async def test_fuzzed_request_gets_a_valid_response_and_the_host_keeps_serving(host: Host) -> None:
    loop = asyncio.get_running_loop()
    statuses: list[int] = []

    async def send(path: str, body: bytes, method: str, key: str, cursor: str) -> None:
        headers = {**KEYS["north"], "Idempotency-Key": key, "Last-Event-ID": cursor}
        async with host.client.request(method, path, data=body, headers=headers) as response:
            content = await response.read()
            statuses.append(response.status)
            assert response.status != 500, content
            if response.status >= 400 and method != "HEAD":
                assert _decode_problem(content).detail

    @random_case_settings(examples=120)
    @example("/v1/completions", VALID_BODY, "POST", "key", "cursor")
    @given(PATHS, BODIES, st.sampled_from(["GET", "POST", "PUT", "HEAD"]), HEADER, HEADER)
    def run(path: str, body: bytes, method: str, key: str, cursor: str) -> None:
        work = send(path, body, method, key, cursor)
        asyncio.run_coroutine_threadsafe(work, loop).result(timeout=60)

    await asyncio.to_thread(run)
    assert {200, 400, 403, 404} <= set(statuses)
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["north"]) as response:
        assert response.status == 200
