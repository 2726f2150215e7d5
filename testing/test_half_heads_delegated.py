"""Answers of other hosts that break off, as callers of a host that reaches no upstream get them."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from collections.abc import Sequence
from functools import partial
from itertools import count

import pytest
import pytest_asyncio
from returns.result import Success

from tanagerscale.core import Millis
from tanagerscale.forwarding import DelegatedHead
from tanagerscale.forwarding import DelegatedOutcome
from tanagerscale.forwarding import DelegateSelector
from tanagerscale.gateway._delegation_wire import EXCHANGE_FIELD
from tanagerscale.gateway._delegation_wire import HEAD_FIELD
from tanagerscale.gateway._delegation_wire import decode_request
from tanagerscale.gateway._delegation_wire import encode_head
from tanagerscale.generated.messages import Delegate
from tanagerscale.upstreams import UpstreamPaths
from testing._cut_answers import STAMP
from testing._cut_answers import STAMP_VALUE
from testing._cut_answers import Cut
from testing._cut_answers import Framing
from testing._cut_answers import call_all
from testing._cut_answers import encode_framed
from testing._cut_answers import every_cut
from testing._cut_host import PLAIN_BODY
from testing._cut_host import Running
from testing._cut_host import call
from testing._cut_host import run_host
from testing._scripted_peer import Part
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import run_scripted_peer

FIRST_EXCHANGE = 1000
"""Numbers of one length, so that all answers are of one size."""
EVENTS = b"id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"


@pytest_asyncio.fixture
async def running(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Running]:
    """Run a host."""
    async with run_host(monkeypatch) as running_host:
        yield running_host


def _encode(framing: Framing, outcome: DelegatedOutcome, exchange: str) -> bytes:
    is_stream = outcome is DelegatedOutcome.STREAM
    head = DelegatedHead(outcome=outcome, status=200, headers=[(STAMP, STAMP_VALUE)])
    fields = [(EXCHANGE_FIELD, exchange), (HEAD_FIELD, encode_head(head))]
    body = EVENTS if is_stream else PLAIN_BODY
    return encode_framed(framing, id="0000", body=body, fields=fields)


# Guards against an answer of another host that is passed on as whole though that host has broken
# off. Hosts answer with a length or in chunks.
@pytest.mark.asyncio
@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKED])
@pytest.mark.parametrize("outcome", [DelegatedOutcome.WHOLE, DelegatedOutcome.STREAM])
async def test_caller_gets_no_success_when_the_answer_of_another_host_breaks_off(
    running: Running, monkeypatch: pytest.MonkeyPatch, outcome: DelegatedOutcome, framing: Framing
) -> None:
    size = len(_encode(framing, outcome, str(FIRST_EXCHANGE)))
    cuts = {f"{number:04}": cut for number, cut in enumerate(every_cut(size, is_thinned=True))}
    arrived: Counter[str] = Counter()

    def answer(request: PeerRequest) -> Sequence[Part]:
        decoded = decode_request(request.body, arrived=Millis(0))
        assert isinstance(decoded, Success)
        id = decoded.unwrap().request
        arrived[id] += 1
        cut: Cut = cuts[id]
        return cut.apply(_encode(framing, outcome, request.headers[EXCHANGE_FIELD.lower()]))

    async with run_scripted_peer(answer) as peer:

        async def choose(_selector: DelegateSelector) -> Delegate:
            return Delegate(host="h2", address=peer.address, failure_domain="a")

        monkeypatch.setattr(DelegateSelector, "choose", choose)
        monkeypatch.setattr(UpstreamPaths, "is_cut_off", True)
        client = running.platform.hosts["h1"]._delegate_client
        monkeypatch.setattr(client, "_numbers", count(FIRST_EXCHANGE))
        path = "/draft/x" if outcome is DelegatedOutcome.STREAM else "/book/x"
        answers = await call_all([partial(call, running.address, path, id) for id in cuts])
    body = EVENTS if outcome is DelegatedOutcome.STREAM else PLAIN_BODY
    for cut, got in zip(cuts.values(), answers, strict=True):
        assert got.is_success == (cut.size == size), (cut, got)
        if got.is_success:
            assert (got.body, got.headers[STAMP.lower()]) == (body, STAMP_VALUE)
    assert arrived == dict.fromkeys(cuts, 1)
    assert not running.paths
