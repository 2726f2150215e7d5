"""Answers of plain services that break off, as callers of the product's own interface get them."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import asynccontextmanager
from functools import partial
import random
from unittest.mock import create_autospec

from aiohttp.test_utils import TestServer
from prometheus_client import CollectorRegistry
import pytest

from standins.cluster_files import account_key
from standins.cluster_files import account_key_hash
from tanagerscale.accounts import KeyChecker
from tanagerscale.claims import Claims
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.daemon import GateHealthRecorder
from tanagerscale.daemon import HostAccountLimits
from tanagerscale.daemon import RequestAdmission
from tanagerscale.declarations import Declarations
from tanagerscale.entry import CallerApi
from tanagerscale.entry import CallerApiContext
from tanagerscale.entry import CompletionHandlers
from tanagerscale.generated.callers import HostStatus
from tanagerscale.generated.declarations import ClientAccount
from tanagerscale.generated.declarations import DeclarationSet
from tanagerscale.generated.declarations import Objective
from tanagerscale.generated.declarations import Service
from tanagerscale.generated.settings import LimitsSection
from tanagerscale.membership import UpstreamGate
from tanagerscale.policy import RetryBudget
from tanagerscale.services import ServiceContext
from tanagerscale.services import ServiceDispatch
from tanagerscale.upstreams import HttpServiceClient
from tanagerscale.upstreams import make_single_use_session
from testing._cut_answers import Cut
from testing._cut_answers import Framing
from testing._cut_answers import ReadAnswer
from testing._cut_answers import call_all
from testing._cut_answers import encode_framed
from testing._cut_answers import every_cut
from testing._cut_answers import read_answer
from testing._fake_store import FakeBackend
from testing._fake_store import FakeStore
from testing._scripted_peer import Part
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import ScriptedPeer
from testing._scripted_peer import run_scripted_peer

ACCOUNT = "north"
BODY = b"booked"
CONCURRENT_REQUESTS = 1000


def _make_dispatch(client: HttpServiceClient) -> ServiceDispatch:
    clock, rng = Clock(), random.Random(1)
    gate = UpstreamGate(clock=clock, rng=rng, broadcast=lambda _message: None)
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
            client=client,
            claims=claims,
            observer=GateHealthRecorder(gate=gate),
            # Each call has to reach the service, whatever came of those before.
            is_open=lambda _upstream: True,
            retries=RetryBudget(),
            clock=clock,
            rng=rng,
        )
    )


@asynccontextmanager
async def _run_host(service_address: str) -> AsyncIterator[str]:
    """Run the caller interface of a host and return its address."""
    service = Service(
        name="bookings",
        addresses=[f"{service_address}@a"],
        not_idempotent=["POST /book", "PUT /book", "DELETE /book"],
    )
    account = ClientAccount(
        name=ACCOUNT,
        key_hash=account_key_hash(ACCOUNT),
        concurrent_requests=CONCURRENT_REQUESTS,
    )
    declared = DeclarationSet(
        objective=Objective(), models=[], accounts=[account], services=[service], engines=[]
    )
    declarations = Declarations.from_set(declarations=declared, revision=Revision(1))
    keys = KeyChecker()
    keys.set_accounts(accounts=declarations.accounts)
    limits = HostAccountLimits(clock=Clock())
    limits.set_declarations(declarations=declarations)
    status = HostStatus(host="a", incarnation=1, revision=1, ready=True, leaving=False, running=0)
    async with make_single_use_session(auto_decompress=False) as session:
        api = CallerApi(
            context=CallerApiContext(
                keys=keys,
                admission=RequestAdmission(limit=CONCURRENT_REQUESTS, rng=random.Random(1)),
                account_limits=limits,
                completions=create_autospec(CompletionHandlers, instance=True),
                services=_make_dispatch(HttpServiceClient(session=session)),
                declarations=lambda: declarations,
                status=lambda: status,
                is_leaving=lambda: False,
                usage=lambda: b"{}",
                registry=CollectorRegistry(),
                limits=LimitsSection(),
            )
        )
        async with TestServer(api.application(), handler_cancellation=True) as server:
            yield f"{server.host}:{server.port}"


async def _book(address: str, request: str, key: str, method: str = "POST") -> ReadAnswer:
    lines = [
        f"{method} /services/bookings/book HTTP/1.1",
        f"Host: {address}",
        f"Authorization: Bearer {account_key(ACCOUNT)}",
        f"Tanagerscale-Attempt-Id: {request}",
        "Content-Length: 0",
        "Connection: close",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    return await read_answer(address, ("\r\n".join(lines) + "\r\n\r\n").encode())


async def _book_all(
    framing: Framing, *, has_key: bool, method: str = "POST"
) -> tuple[Sequence[tuple[Cut, ReadAnswer]], ScriptedPeer, int]:
    """Make a call for each cut of an answer; return the answers, the service and the whole size."""
    size = len(encode_framed(framing, id="0000", body=BODY))
    cuts = list(every_cut(size))

    def answer(request: PeerRequest) -> Sequence[Part]:
        whole = encode_framed(framing, id=request.id, body=BODY)
        return cuts[int(request.id)].apply(whole)

    async with run_scripted_peer(answer) as peer, _run_host(peer.address) as address:
        calls = [
            partial(_book, address, f"{number:04}", f"key-{number}" if has_key else "", method)
            for number in range(len(cuts))
        ]
        answers = await call_all(calls)
    return list(zip(cuts, answers, strict=True)), peer, size


# Guards against a short body that a host frames as a whole one: the client library takes a body
# without a length for whole when its connection is reset.
@pytest.mark.asyncio
@pytest.mark.parametrize("has_key", [False, True], ids=["without-key", "with-key"])
@pytest.mark.parametrize("framing", list(Framing))
async def test_caller_gets_no_success_when_the_answer_of_a_service_breaks_off(
    framing: Framing, has_key: bool
) -> None:
    results, peer, size = await _book_all(framing, has_key=has_key)
    head_size = size - len(BODY)
    for cut, answer in results:
        if cut.size == size and not (cut.is_reset and framing is Framing.CLOSE_DELIMITED):
            assert (answer.is_success, answer.body) == (True, BODY), cut
        elif framing is Framing.CLOSE_DELIMITED and not cut.is_reset and cut.size >= head_size:
            # Such a body ends where its connection is closed.
            assert (answer.is_success, answer.body) == (True, BODY[: cut.size - head_size]), cut
        else:
            assert not answer.is_success, cut
    assert Counter(request.id for request in peer.requests) == {
        f"{number:04}": 1 for number in range(len(results))
    }


# Guards against a call that runs twice: the client library sends a PUT or DELETE again by itself
# when no answer comes, also one that its service declares as not idempotent.
@pytest.mark.asyncio
@pytest.mark.parametrize("method", ["PUT", "DELETE"])
async def test_call_that_is_not_idempotent_is_sent_once_when_its_answer_breaks_off(
    method: str,
) -> None:
    results, peer, _ = await _book_all(Framing.LENGTH, has_key=True, method=method)
    assert {request.method for request in peer.requests} == {method}
    assert Counter(request.id for request in peer.requests) == {
        f"{number:04}": 1 for number in range(len(results))
    }
