"""Each exchange with an engine takes its own answer, whatever else comes on its connection."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from pathlib import Path
import re

import pytest

from tanagerscale.forwarding import CopyFailure
from tanagerscale.platform._engines import PlatformUpstreams
from tanagerscale.upstreams import ExchangeError
from tanagerscale.upstreams import UpstreamEntry
from testing._engine_exchanges import MOVE_PATH
from testing._engine_exchanges import answer_properly
from testing._engine_exchanges import copy
from testing._engine_exchanges import make_engine_entry
from testing._engine_exchanges import make_pool
from testing._engine_exchanges import make_upstream_request
from testing._engine_exchanges import send
from testing._memory_peer import connect_in_memory
from testing._scripted_peer import Answer
from testing._scripted_peer import Late
from testing._scripted_peer import Part
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import encode_answer
from testing._scripted_peer import run_scripted_peer
from testing._virtual_time import run_virtually

SOURCE = Path(__file__).parents[1] / "src" / "tanagerscale"
Scenario = Callable[[PlatformUpstreams, UpstreamEntry], Awaitable[None]]
NOT_EXECUTED = [("Tanagerscale-Not-Executed", "1")]
DELAYS_S = (0.0, 0.001, 0.1)


async def _run(answer: Answer, scenario: Scenario) -> list[PeerRequest]:
    """Run a scenario against an engine and return the requests that reached it."""
    pool = make_pool()
    async with run_scripted_peer(answer) as peer:
        async with asyncio.timeout(10):
            await scenario(PlatformUpstreams(pool=pool), make_engine_entry(peer.address))
    pool.close()
    return peer.requests


def _answer_twice(*, extras: int = 1, only_requests: bool = False) -> Answer:
    """Return an engine that sends each answer again before the next one on its connection."""
    sent: dict[int, bytes] = {}

    def answer(request: PeerRequest) -> Sequence[Part]:
        late = sent.pop(request.connection, b"")
        own = answer_properly(request)
        if request.id or not only_requests:
            sent[request.connection] = own
        # The late one is taken before its connection shows that another one follows.
        return [*[late] * extras, Late(delay_s=0.01, data=own)] if late else [own]

    return answer


async def _assert_sent_properly(client: PlatformUpstreams, entry: UpstreamEntry, id: str) -> None:
    assert await send(client, entry, id=id) == (200, f"answer to {id}".encode())


async def _order_copy(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    assert await copy(client, entry, run="r") == "handle of r"


async def _read_report(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    assert (await client.report(upstream=entry)).unwrap().running == 1


async def _free_copy(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    await client.drop_copy(holder=entry, copy="h")


async def _probe(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    assert await client.probe(upstream=entry)


async def _send_other(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
    await _assert_sent_properly(client, entry, "other")


CONTROL_CALLS = (_order_copy, _read_report, _free_copy, _probe)
EXCHANGES = (*CONTROL_CALLS, _send_other)


# A copy order took the late second answer to a request, and the next request that to the order.
@pytest.mark.asyncio
@pytest.mark.parametrize("extras", [1, 2])
@pytest.mark.parametrize("exchange", EXCHANGES)
async def test_exchanges_take_their_own_answers_when_the_engine_answers_requests_twice(
    exchange: Scenario, extras: int
) -> None:
    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        await _assert_sent_properly(client, entry, "first")
        await exchange(client, entry)
        await _assert_sent_properly(client, entry, "last")

    await _run(_answer_twice(extras=extras, only_requests=True), scenario)


# A copy order took the late second answer to another order: its run went on from a foreign handle.
@pytest.mark.asyncio
@pytest.mark.parametrize("before", CONTROL_CALLS)
@pytest.mark.parametrize("after", EXCHANGES)
async def test_exchanges_take_their_own_answers_when_the_engine_answers_control_calls_twice(
    before: Scenario, after: Scenario
) -> None:
    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        await _assert_sent_properly(client, entry, "first")
        await before(client, entry)
        assert await copy(client, entry, run="another") == "handle of another"
        await after(client, entry)
        await _assert_sent_properly(client, entry, "last")

    await _run(_answer_twice(), scenario)


# A request took an answer without an id, that to a control call before it, for its own.
@pytest.mark.asyncio
async def test_request_skips_an_answer_without_an_id_on_a_kept_connection() -> None:
    def answer(request: PeerRequest) -> Sequence[Part]:
        extra = [encode_answer(status=404, body=b"{}")] if request.number else []
        return [*extra, answer_properly(request)]

    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        await _assert_sent_properly(client, entry, "first")
        await _assert_sent_properly(client, entry, "second")

    await _run(answer, scenario)


@pytest.mark.asyncio
async def test_request_takes_an_answer_without_an_id_on_a_new_connection() -> None:
    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        assert await send(client, entry, id="first") == (400, b"bad")

    await _run(lambda _: [encode_answer(status=400, body=b"bad")], scenario)


# A request that was sent again took the late second answer to its first try, which said that it was
# not executed, while it ran.
@pytest.mark.asyncio
async def test_request_that_is_sent_again_takes_no_answer_to_its_first_try() -> None:
    refusal = encode_answer(status=503, id="r", fields=NOT_EXECUTED)
    tries = 0

    def answer(request: PeerRequest) -> Sequence[Part]:
        nonlocal tries
        tries += 1
        if tries == 1:
            return [refusal]
        return [*([refusal] if request.number else []), answer_properly(request)]

    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        assert (await send(client, entry, id="r"))[0] == 503
        await _assert_sent_properly(client, entry, "r")

    await _run(answer, scenario)


# A connection on which an engine had answered twice was used again.
@pytest.mark.asyncio
async def test_connection_is_not_used_again_when_a_foreign_answer_has_come_on_it() -> None:
    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        for id in ("first", "second", "third"):
            await _assert_sent_properly(client, entry, id)

    requests = await _run(_answer_twice(), scenario)
    assert [(one.connection, one.number) for one in requests] == [(0, 0), (0, 1), (1, 0)]


# Bytes that came while a connection was idle were taken for the beginning of the next answer.
@pytest.mark.asyncio
@pytest.mark.parametrize("delay_s", DELAYS_S)
@pytest.mark.parametrize("exchange", EXCHANGES)
async def test_connection_is_not_used_again_when_bytes_come_after_an_answer(
    exchange: Scenario, delay_s: float
) -> None:
    whole = encode_answer(id="first", body=b"late")
    cuts = range(1, len(whole) + 1, 1 if exchange is _send_other else 20)

    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        await _assert_sent_properly(client, entry, "first")
        await asyncio.sleep(delay_s + 0.02)
        await exchange(client, entry)

    for cut in cuts:
        late = whole[:cut]

        def answer(request: PeerRequest, late: bytes = late) -> Sequence[Part]:
            own = answer_properly(request)
            if request.id != "first":
                return [own]
            return [own + late] if not delay_s else [own, Late(delay_s=delay_s, data=late)]

        requests = await _run(answer, scenario)
        assert [one.connection for one in requests] == [0, 1], f"cut at {cut}"


# The head of a late answer that broke off was completed by that of the next one, with its status.
@pytest.mark.asyncio
@pytest.mark.parametrize("extra_id", ["first", "", "second"])
async def test_answer_is_never_joined_to_a_late_one_that_breaks_off(extra_id: str) -> None:
    fields = [("Server", "an engine"), ("Tanagerscale-Not-Executed", "1")]
    late = encode_answer(status=503, id=extra_id, body=b"busy", fields=fields)

    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        await _assert_sent_properly(client, entry, "first")
        try:
            async with asyncio.timeout(0.3):
                answer = await send(client, entry, id="second")
        except (ExchangeError, TimeoutError):
            return
        assert answer == (200, b"answer to second")

    for cut in range(1, len(late) if extra_id != "second" else late.index(b"Tanager")):

        def answer(request: PeerRequest, part: bytes = late[:cut]) -> Sequence[Part]:
            return [*([part] if request.number else []), answer_properly(request)]

        await _run(answer, scenario)


# The body of a late answer was counted by the method of another request.
@pytest.mark.asyncio
@pytest.mark.parametrize("methods", [("GET", "HEAD"), ("HEAD", "GET"), ("HEAD", "HEAD")])
async def test_late_answer_is_not_framed_by_the_method_of_another_request(
    methods: tuple[str, str],
) -> None:
    def encode(request: PeerRequest) -> bytes:
        whole = answer_properly(request)
        return whole if request.method != "HEAD" else whole[: whole.index(b"\r\n\r\n") + 4]

    sent: dict[int, bytes] = {}

    def answer(request: PeerRequest) -> Sequence[Part]:
        late = sent.get(request.connection, b"")
        sent[request.connection] = own = encode(request)
        return [late, own] if late else [own]

    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        for number, method in enumerate(methods):
            request = make_upstream_request(entry, id=f"r{number}", method=method)
            response = await client.send(upstream_request=request)
            expected = b"" if method == "HEAD" else f"answer to r{number}".encode()
            assert await response.read_all() == expected

    await _run(answer, scenario)


# An interim or switching response of another exchange hid the answer.
@pytest.mark.asyncio
@pytest.mark.parametrize("status", [100, 103, 204, 304, 421])
async def test_request_takes_its_own_answer_when_a_late_one_has_no_body(status: int) -> None:
    late = encode_answer(status=status, id="first").replace(b"Content-Length: 0\r\n", b"")
    if status == 421:
        late = encode_answer(status=status, id="first")

    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        await _assert_sent_properly(client, entry, "first")
        response = await client.send(upstream_request=make_upstream_request(entry, id="second"))
        assert not response.is_address_reassigned
        assert (response.status, await response.read_all()) == (200, b"answer to second")

    await _run(lambda one: [*([late] if one.number else []), answer_properly(one)], scenario)


# A request waited until its deadline after its engine had switched protocols unasked.
@pytest.mark.asyncio
async def test_exchange_fails_when_the_engine_switches_protocols() -> None:
    switching = b"HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n"

    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        with pytest.raises(ExchangeError):
            await send(client, entry, id="r")

    await _run(lambda request: [switching, answer_properly(request)], scenario)


def _fail_virtually(answer: Answer) -> float:
    """Send two requests, of which the second one fails; return the seconds until it has failed."""

    async def scenario() -> float:
        pool = make_pool()
        client, entry = PlatformUpstreams(pool=pool), make_engine_entry("engine:1")
        await _assert_sent_properly(client, entry, "first")
        began = asyncio.get_running_loop().time()
        with pytest.raises(ExchangeError):
            await send(client, entry, id="second")
        return asyncio.get_running_loop().time() - began

    with connect_in_memory(answer):
        return run_virtually(scenario())


# A late answer without a length was read until its engine closed the connection.
def test_exchange_fails_at_once_when_a_late_answer_has_no_length() -> None:
    late = encode_answer(id="first", body=b"late").replace(b"Content-Length: 4\r\n", b"")
    assert _fail_virtually(lambda one: [late if one.number else answer_properly(one)]) < 0.1


# A request waited until its deadline for the rest of a late answer, which took up its own.
def test_exchange_fails_soon_when_a_late_answer_breaks_off_in_its_body() -> None:
    late = encode_answer(id="first", body=b"x" * 10_000)[:-9000]

    def answer(request: PeerRequest) -> Sequence[Part]:
        return [*([late] if request.number else []), answer_properly(request)]

    assert _fail_virtually(answer) < 5


# A late answer came after its connection had been idle for seconds.
@pytest.mark.parametrize("is_idle", [True, False])
def test_exchange_takes_its_own_answer_when_another_one_comes_seconds_late(is_idle: bool) -> None:
    def answer(request: PeerRequest) -> Sequence[Part]:
        own = answer_properly(request)
        if request.id == "first":
            return [own, Late(delay_s=6, data=own)]
        return [Late(delay_s=1, data=own)]

    async def scenario() -> None:
        client, entry = PlatformUpstreams(pool=make_pool()), make_engine_entry("engine:1")
        await _assert_sent_properly(client, entry, "first")
        await asyncio.sleep(7 if is_idle else 5.5)
        await _assert_sent_properly(client, entry, "second")
        await _order_copy(client, entry)

    with connect_in_memory(answer):
        run_virtually(scenario())


# A copy order that was cancelled or timed out left its connection to the next exchange.
@pytest.mark.asyncio
async def test_connection_is_closed_when_a_control_call_is_cancelled() -> None:
    def answer(request: PeerRequest) -> Sequence[Part]:
        own = answer_properly(request)
        return [Late(delay_s=0.05, data=own)] if request.target == MOVE_PATH else [own]

    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        await _assert_sent_properly(client, entry, "first")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.02):
                await copy(client, entry, run="r")
        await _assert_sent_properly(client, entry, "second")

    requests = await _run(answer, scenario)
    assert requests[-1].connection != requests[-2].connection


# A copy order that got an answer with a request's id, on a connection of its own, took it.
@pytest.mark.asyncio
async def test_copy_order_takes_no_answer_that_bears_an_id() -> None:
    foreign = encode_answer(id="first", body=b'{"handle": "foreign", "createdRev": 3}')

    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        assert await copy(client, entry, run="r") in ("handle of r", str(CopyFailure.LOST))

    await _run(lambda request: [foreign, answer_properly(request)], scenario)


# Two ways through one pool checked answers differently.
def test_connections_are_used_at_one_place_only() -> None:
    uses = re.compile(r"\.acquire\(\s*address=|\bopen_connection\(")
    users = {
        module.relative_to(SOURCE).as_posix()
        for module in SOURCE.rglob("*.py")
        if uses.search(module.read_text())
    }
    assert users == {
        "upstreams/_connection.py",
        "upstreams/_exchanges.py",
        "upstreams/_pool.py",
    }


# Requests opened a connection each once control calls had connections of their own.
@pytest.mark.asyncio
async def test_requests_use_the_connection_of_a_control_call() -> None:
    async def scenario(client: PlatformUpstreams, entry: UpstreamEntry) -> None:
        await _order_copy(client, entry)
        await _assert_sent_properly(client, entry, "first")
        await _assert_sent_properly(client, entry, "second")

    requests = await _run(lambda request: [answer_properly(request)], scenario)
    assert {one.connection for one in requests} == {0}
