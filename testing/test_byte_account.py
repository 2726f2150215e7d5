"""Account of the bytes that a host holds for others."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins._common import LOOPBACK
from tanagerscale.core import Millis
from tanagerscale.policy import ByteAccount
from tanagerscale.policy import Holding
from tanagerscale.policy import make_byte_account
from tanagerscale.policy._byte_account import MAX_SAFE_BYTES
from tanagerscale.upstreams._connection import open_connection

MB = 1_000_000
SHEET_MB = 150
ANSWER_BYTES = 4 << 20
LIMIT = 10 * MAX_SAFE_BYTES


def _open(account: ByteAccount, *sizes: int, peer: str = "") -> list[Holding]:
    holdings = [account.open(peer=peer) for _ in sizes]
    for holding, size in zip(holdings, sizes, strict=True):
        holding.add(size)
    return holdings


# Guards against answers without an end, which took a host far above its memory limit.
def test_largest_holding_fails_when_all_together_exceed_the_limit() -> None:
    account = ByteAccount(exchange_limit=10 * MB)
    small, large, other = _open(account, 2 * MB, 5 * MB, 3 * MB)
    other.add(1)
    assert [one.has_failed for one in (small, large, other)] == [False, True, False]
    assert account.held == 5 * MB + 1


def test_holding_fails_by_itself_when_it_is_the_largest() -> None:
    ended: list[str] = []
    account = ByteAccount(exchange_limit=10 * MB)
    holding = account.open(on_failure=lambda: ended.append("ended"))
    holding.add(11 * MB)
    holding.add(1)
    assert ended == ["ended"]
    assert (holding.has_failed, holding.size, account.held) == (True, 0, 0)


def test_small_holdings_never_fail_when_there_is_no_space() -> None:
    account = ByteAccount(exchange_limit=0, total_limit=0)
    holdings = _open(account, *[MAX_SAFE_BYTES] * 5)
    account.count_other(100 * MB)
    account.free(100 * MB)
    assert not any(one.has_failed for one in holdings)


def test_largest_holding_fails_when_the_host_holds_more_for_others() -> None:
    account = ByteAccount(exchange_limit=10 * MB, total_limit=20 * MB, min_limit=4 * MB)
    small, large = _open(account, 3 * MB, 6 * MB)
    account.count_other(11 * MB)
    failed = [(small.has_failed, large.has_failed)]
    account.count_other(12 * MB)
    failed.append((small.has_failed, large.has_failed))
    account.count_other(30 * MB)
    failed.append((small.has_failed, large.has_failed))
    assert failed == [(False, False), (False, True), (False, True)]


# Guards against a limit that sound answers exceed.
@pytest.mark.parametrize("callers", [1, 10, 50])
def test_answers_of_4_mb_are_held_when_those_of_another_peer_have_no_end(callers: int) -> None:
    account = make_byte_account(SHEET_MB)
    sound = _open(account, *[ANSWER_BYTES] * 3, peer="sound")
    endless = _open(account, *[0] * callers, peer="endless")
    for _ in range(1000):
        for holding in endless:
            holding.add(MAX_SAFE_BYTES)
    assert not any(one.has_failed for one in sound)
    assert any(one.has_failed for one in endless)


def test_answers_of_known_length_are_held_when_others_have_no_end() -> None:
    account = make_byte_account(SHEET_MB)
    sound = _open(account, *[ANSWER_BYTES] * 10, peer="sound")
    for one in sound:
        one.has_known_length = True
    (endless,) = _open(account, 0, peer="endless")
    for _ in range(1000):
        endless.add(MAX_SAFE_BYTES)
    assert endless.has_failed
    assert not any(one.has_failed for one in sound)


def test_answer_of_4_mb_is_held_when_the_host_has_no_space() -> None:
    account = make_byte_account(SHEET_MB)
    account.count_other(SHEET_MB * MB)
    (holding,) = _open(account, ANSWER_BYTES)
    assert not holding.has_failed


# Guards against sound answers that fail again and again while the resident memory stays high.
def test_answer_of_4_mb_is_held_when_the_resident_memory_stays_high() -> None:
    account = make_byte_account(SHEET_MB)
    sound, endless = _open(account, ANSWER_BYTES, 2 * ANSWER_BYTES)
    for _ in range(10):
        account.free(SHEET_MB * MB)
    assert endless.has_failed
    assert not sound.has_failed


def test_account_has_no_limit_when_the_memory_is_unknown() -> None:
    (holding,) = _open(make_byte_account(0), 1000 * MB)
    assert not holding.has_failed


@given(
    st.lists(st.tuples(st.integers(0, 7), st.integers(0, 4 * MAX_SAFE_BYTES)), max_size=60),
    st.integers(0, LIMIT),
)
def test_all_large_holdings_fit_whatever_is_added(steps: list[tuple[int, int]], other: int) -> None:
    account = ByteAccount(exchange_limit=LIMIT, total_limit=LIMIT)
    holdings = [account.open() for _ in range(8)]
    account.count_other(other)
    for number, size in steps:
        holdings[number].resize(size)
        assert account.held == sum(one.size for one in holdings)
        large = [one.size for one in holdings if one.size > MAX_SAFE_BYTES]
        # What exceeds the limit came with small additions, which never fail.
        small = sum(one.size for one in holdings) - sum(large)
        assert sum(large) <= max(LIMIT - other, 0) or small > 0


# Guards against faulty peers whose announced lengths let the answers of others fail first.
@pytest.mark.asyncio
@pytest.mark.parametrize(("announced", "is_trusted"), [(4 << 20, True), ((4 << 20) + 1, False)])
async def test_announced_length_counts_only_as_known_up_to_the_largest_usual_answer(
    announced: int, is_trusted: bool
) -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {announced}\r\n\r\nx".encode())
        await writer.drain()

    server = await asyncio.start_server(answer, LOOPBACK, 0)
    host, port = server.sockets[0].getsockname()
    account = ByteAccount()
    connection = await open_connection(
        address=f"{host}:{port}", timeout_ms=5000, now=Millis(0), account=account
    )
    connection.send(method="GET", head=b"GET / HTTP/1.1\r\n\r\n", body=b"")
    await connection.receive()
    reading = asyncio.create_task(connection.read_all())
    while not account.held:
        await asyncio.sleep(0)
    assert connection._protocol.holding.has_known_length == is_trusted
    reading.cancel()
    connection.close()
    server.close()
