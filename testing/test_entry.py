"""The callers' interface: who gets in, what is refused, and that bad input breaks nothing."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
import random

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
from tanagerscale.daemon import DoorKeeper
from tanagerscale.daemon import GateNotes
from tanagerscale.daemon import HostLimits
from tanagerscale.daemon import NoCrashWatch
from tanagerscale.declarations import Declarations
from tanagerscale.dispatch import Canceller
from tanagerscale.dispatch import DispatchContext
from tanagerscale.entry import CompletionParts
from tanagerscale.entry import Completions
from tanagerscale.entry import Entry
from tanagerscale.entry import EntryParts
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
from tanagerscale.services import ServiceDependencies
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
"""Twenty tokens at ten milliseconds each."""
BODY_LIMIT = 4096


@dataclass(kw_only=True)
class Host:
    """An entry with a fake engine behind it."""

    client: TestClient[web.Request, web.Application]
    engine: FakeEngine
    canceller: Canceller


def _declarations() -> Declarations:
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
    """Serve the real entry, dispatch and delivery before a fake engine."""
    clock = Clock()
    rng = random.Random(1)
    declarations = _declarations()
    engine = FakeEngine(clock=clock)
    canceller = Canceller(client_of=lambda _engine: engine, clock=clock)
    gate = UpstreamGate(clock=clock, rng=rng, broadcast=lambda _message: None)
    keys = KeyChecker()
    keys.set_accounts(accounts=declarations.accounts)
    limits = HostLimits(clock=clock)
    limits.set_declarations(declarations=declarations)
    dispatch = DispatchContext(
        router=FakeRouter(engines=[ENGINE]),
        client_of=lambda _engine: engine,
        observer=GateNotes(gate=gate),
        crash_watch=NoCrashWatch(),
        retries=RetryBudget(),
        canceller=canceller,
        meter=UsageMeter(clock=clock, objective=Objective),
        clock=clock,
        rng=rng,
    )
    status = HostStatus(host="a", incarnation=1, revision=1, ready=True, leaving=False, running=0)
    entry = Entry(
        parts=EntryParts(
            keys=keys,
            admission=DoorKeeper(limit=50, rng=rng),
            account_limits=limits,
            completions=Completions(
                parts=CompletionParts(
                    host=HostId("a"),
                    cursor_key=b"k" * 32,
                    checker=RequestChecker(fingerprint_key=b"f" * 32, rng=rng),
                    dispatch=dispatch,
                    declarations=lambda: declarations,
                    limits=limits,
                    attached=lambda _host, _attempt: None,
                )
            ),
            services=_services(clock, rng, gate, session),
            declarations=lambda: declarations,
            status=lambda: status,
            usage=lambda: b"{}",
            registry=CollectorRegistry(),
            limits=LimitsSection(body_bytes=BODY_LIMIT),
        )
    )
    server = TestServer(entry.application(), handler_cancellation=True)
    async with TestClient(server) as client:
        yield Host(client=client, engine=engine, canceller=canceller)


def _services(
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
        dependencies=ServiceDependencies(
            client=HttpServiceClient(session=session),
            claims=claims,
            notes=GateNotes(gate=gate),
            is_open=gate.is_open,
            retries=RetryBudget(),
            clock=clock,
            rng=rng,
        )
    )


def _problem(body: bytes) -> ProblemDetails:
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
async def test_caller_is_refused_when_its_key_is_unknown(host: Host, key: str) -> None:
    headers = {"Authorization": key} if key else {}
    async with host.client.post("/v1/completions", json=BODY, headers=headers) as response:
        assert response.status == 401
        assert _problem(await response.read()).execution == "not-executed"
    assert not host.engine.executed


async def test_whole_answer_is_one_reply_when_no_events_are_asked_for(host: Host) -> None:
    body = {**BODY, "stream": False}
    async with host.client.post("/v1/completions", json=body, headers=KEYS["north"]) as response:
        answer = await response.json()
    assert answer["usage"]["completion_tokens"] == 20
    assert answer["choices"][0]["finish_reason"] == "stop"


async def test_events_wait_for_the_whole_answer_when_the_model_is_declared_so(host: Host) -> None:
    body = {**BODY, "model": "whole-planner"}
    async with host.client.post("/v1/completions", json=body, headers=KEYS["north"]) as response:
        text = (await response.read()).decode()
    datas = [line for line in text.split("\n") if line.startswith("data: ")]
    assert len(datas) == 3
    assert datas[-1] == "data: [DONE]"


async def test_chat_is_answered_as_a_chat(host: Host) -> None:
    body = {"model": MODEL, "messages": [{"role": "user", "content": "plan"}], "max_tokens": 3}
    path = "/v1/chat/completions"
    async with host.client.post(path, json=body, headers=KEYS["north"]) as response:
        answer = await response.json()
    assert answer["choices"][0]["message"]["role"] == "assistant"


async def test_engine_is_told_to_cancel_when_a_caller_without_a_cursor_leaves(host: Host) -> None:
    body = {**BODY, "stream": False, "max_tokens": 1000}
    task = asyncio.create_task(
        host.client.post("/v1/completions", json=body, headers=KEYS["north"])
    )
    while not host.engine.executed:
        await asyncio.sleep(0.01)
    task.cancel()
    while not all(run.cancelled for run in host.engine.runs.values()):
        await asyncio.sleep(0.01)


async def test_body_is_refused_when_it_is_too_large(host: Host) -> None:
    body = {**BODY, "prompt": "x" * BODY_LIMIT}
    async with host.client.post("/v1/completions", json=body, headers=KEYS["north"]) as response:
        assert response.status == 413
        assert _problem(await response.read()).execution == "not-executed"


async def test_second_request_is_refused_when_the_account_may_run_one(host: Host) -> None:
    first = await host.client.post("/v1/completions", json=BODY, headers=KEYS["south"])
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["south"]) as response:
        assert response.status == 429
        assert int(response.headers["Retry-After"]) >= 1
    await first.read()
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["south"]) as response:
        assert response.status == 200


async def test_generation_of_another_account_is_not_shown(host: Host) -> None:
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
async def test_refused_continuation_is_never_called_not_executed(host: Host, method: str) -> None:
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["south"]) as response:
        request_id = response.headers["X-Request-Id"]
        cursor = (await response.read()).decode().split("\n")[0].removeprefix("id: ")
    path = f"/v1/completions/{request_id}/events"
    going_on = {**KEYS["south"], "Last-Event-ID": cursor}
    for headers, body in (({}, BODY), (KEYS["south"], BODY), (going_on, {"model": "none"})):
        async with host.client.request(method, path, headers=headers, json=body) as response:
            if response.status != 200:
                assert _problem(await response.read()).execution == "unknown"
    # The account may run one request at a time, and a continuation is no second one.
    first = await host.client.post("/v1/completions", json=BODY, headers=KEYS["south"])
    async with host.client.request(method, path, headers=going_on, json=BODY) as response:
        assert response.status == 200
    await first.read()


async def test_continuation_is_refused_when_its_body_is_another(host: Host) -> None:
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["north"]) as response:
        request_id = response.headers["X-Request-Id"]
        text = (await response.read()).decode()
    cursor = text.split("\n")[0].removeprefix("id: ")
    headers = {**KEYS["north"], "Last-Event-ID": cursor}
    other = {**BODY, "prompt": "another plan"}
    path = f"/v1/completions/{request_id}/events"
    async with host.client.post(path, headers=headers, json=other) as response:
        assert response.status == 403


async def test_engine_stream_waits_and_loses_nothing_when_a_caller_reads_slowly(host: Host) -> None:
    # All of the answer is 20 MB, far more than the buffers between the engine and the caller.
    host.engine.token_padding = "x" * 10_000
    host.engine.step_ms = 0
    body = {**BODY, "max_tokens": 2000}
    response = await host.client.post("/v1/completions", json=body, headers=KEYS["north"])
    before = -1
    while before != host.engine.sent_events:
        before = host.engine.sent_events
        await asyncio.sleep(0.3)
    assert 0 < before < 1500
    text = await response.read()
    assert text.count(b'"finish_reason":null') == 2000
    assert text.endswith(b"data: [DONE]\n\n")


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
FIELDS = ("model", "prompt", "messages", "max_tokens", "stream", "seed", "adapter", "prefix_chars")
BODIES = (
    st.binary(max_size=60)
    | JSON.map(lambda value: msgspec.json.encode(value))
    | st.dictionaries(st.sampled_from(FIELDS), JSON).map(
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


async def test_fuzzed_request_gets_a_typed_answer_and_breaks_nothing(host: Host) -> None:
    loop = asyncio.get_running_loop()
    seen: list[int] = []

    async def send(path: str, body: bytes, method: str, key: str, cursor: str) -> None:
        headers = {**KEYS["north"], "Idempotency-Key": key, "Last-Event-ID": cursor}
        async with host.client.request(method, path, data=body, headers=headers) as response:
            content = await response.read()
            seen.append(response.status)
            assert response.status != 500, content
            if response.status >= 400 and method != "HEAD":
                assert _problem(content).detail

    @random_case_settings(examples=120)
    @example("/v1/completions", VALID_BODY, "POST", "key", "cursor")
    @given(PATHS, BODIES, st.sampled_from(["GET", "POST", "PUT", "HEAD"]), HEADER, HEADER)
    def run(path: str, body: bytes, method: str, key: str, cursor: str) -> None:
        work = send(path, body, method, key, cursor)
        asyncio.run_coroutine_threadsafe(work, loop).result(timeout=60)

    await asyncio.to_thread(run)
    assert {200, 400, 403, 404} <= set(seen)
    async with host.client.post("/v1/completions", json=BODY, headers=KEYS["north"]) as response:
        assert response.status == 200
