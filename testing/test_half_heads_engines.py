"""Answers of engines that break off, as the client of the product's own interface takes them."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import pytest
from returns.result import Failure
from returns.result import Success

from tanagerscale.generated.upstream import EngineRequest
from tanagerscale.generated.upstream import FinishReason
from tanagerscale.generated.upstream import LoadReport
from tanagerscale.generated.upstream import TokenEvent
from tanagerscale.upstreams import HttpEngineClient
from tanagerscale.upstreams import UpstreamErrorKind
from tanagerscale.upstreams import make_single_use_session
from testing._cut_answers import Cut
from testing._cut_answers import Framing
from testing._cut_answers import encode_framed
from testing._cut_answers import every_cut
from testing._cut_answers import find_head_size
from testing._scripted_peer import Part
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import run_scripted_peer

ATTEMPT = "a"
EVENTS = [
    TokenEvent(attempt_id=ATTEMPT, offset=0, text="x"),
    TokenEvent(attempt_id=ATTEMPT, offset=1, finish_reason=FinishReason.STOP),
]
STREAM = b"".join(b"data: " + msgspec.json.encode(event) + b"\n\n" for event in EVENTS)
REPORT = msgspec.json.encode(LoadReport(running=1, waiting=2, used_tokens=3, memory_tokens=4))


async def _generate(client: HttpEngineClient) -> list[TokenEvent]:
    """Return the events of an attempt; its answer must end with a failure."""
    request = EngineRequest(attempt_id=ATTEMPT, model="m", prompt="p", max_tokens=2)
    events: list[TokenEvent] = []
    is_failed = False
    async for batch in client.generate(request=request):
        assert not is_failed
        if isinstance(batch, Success):
            events += batch.unwrap()
        else:
            is_failed = True
            assert batch.failure().kind is UpstreamErrorKind.BROKEN
    assert is_failed
    return events


# Guards against an attempt that is taken for finished, or refused and not run, though its engine
# has broken off: only the last event ends an attempt, whatever ends its answer.
@pytest.mark.asyncio
@pytest.mark.parametrize("framing", list(Framing))
async def test_attempt_is_finished_by_its_last_event_alone_when_the_answer_breaks_off(
    framing: Framing,
) -> None:
    whole = encode_framed(framing, id=ATTEMPT, body=STREAM)
    cuts = list(every_cut(len(whole), is_thinned=True))
    current: list[Cut] = []

    def answer(_request: PeerRequest) -> Sequence[Part]:
        return current[-1].apply(whole)

    async with run_scripted_peer(answer) as peer, make_single_use_session() as session:
        client = HttpEngineClient(session=session, address=peer.address)
        for cut in cuts:
            current.append(cut)
            events = await _generate(client)
            assert events == EVENTS[: len(events)]
            # The events before the cut may be lost with a reset, and none comes of the bytes after.
            sent = whole[find_head_size(whole) : cut.size]
            assert len(events) <= sent.count(b"\n\n")
        assert len(peer.requests) == len(cuts)
    assert events == EVENTS


# Guards against a report that is taken for whole though its engine has broken off.
@pytest.mark.asyncio
@pytest.mark.parametrize("framing", list(Framing))
async def test_report_is_not_taken_when_the_answer_breaks_off(framing: Framing) -> None:
    whole = encode_framed(framing, id=ATTEMPT, body=REPORT)
    cuts = list(every_cut(len(whole), is_thinned=True))
    current: list[Cut] = []

    def answer(_request: PeerRequest) -> Sequence[Part]:
        return current[-1].apply(whole)

    async with run_scripted_peer(answer) as peer, make_single_use_session() as session:
        client = HttpEngineClient(session=session, address=peer.address)
        for cut in cuts:
            current.append(cut)
            result = await client.load()
            is_reset = cut.is_reset and framing is Framing.CLOSE_DELIMITED
            is_whole = cut.size == len(whole) and not is_reset
            assert isinstance(result, Success if is_whole else Failure), cut
        assert len(peer.requests) == len(cuts)
