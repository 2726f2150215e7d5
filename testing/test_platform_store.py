"""Tests of the client of the platform's store against an emulator of the store."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import AsyncIterator
from collections.abc import Sequence
import contextlib
from dataclasses import dataclass
from dataclasses import field
from random import Random

from hypothesis import given
from hypothesis import strategies as st
import msgspec
from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import pytest
import pytest_asyncio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from standins.platform_store import StoreBehavior
from standins.platform_store import StoreEmulator
from tanagerscale.core import Clock
from tanagerscale.platform._store import STORE_ERA
from tanagerscale.platform._store import PlatformStore
from tanagerscale.platform._store import _decode_body
from tanagerscale.platform._store import _decode_era
from tanagerscale.platform._store import _Reply
from tanagerscale.platform._wire import WireChanges
from tanagerscale.platform._wire import WireRange
from tanagerscale.store import ConditionalPut
from tanagerscale.store import LeaseId
from tanagerscale.store import PrefixFollower
from tanagerscale.store import PutOutcome
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch
from tanagerscale.store import number_of
from tanagerscale.upstreams import ConnectionPool
from tanagerscale.upstreams import ResponseHead
from testing._random_cases import random_case_settings
from testing._scripted_peer import Late
from testing._scripted_peer import Part
from testing._scripted_peer import PeerRequest
from testing._scripted_peer import encode_answer
from testing._scripted_peer import run_scripted_peer

WAIT_MS = 900
"""How long watches wait for changes."""


@dataclass(slots=True)
class StoreHarness:
    """The store emulator and a client that is connected to it."""

    emulator: StoreEmulator
    store: PlatformStore


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[StoreHarness]:
    """Start a store emulator and create a client for it."""
    emulator = StoreEmulator(page_size=3)
    address = await emulator.start()
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=2000, idle_ms=60_000)
    yield StoreHarness(emulator=emulator, store=PlatformStore(address=address, pool=pool))
    pool.close()
    await emulator.stop()


def _put(key: str, value: bytes, *, expected: int = 0, lease: int = 0) -> ConditionalPut:
    return ConditionalPut(
        key=key,
        value=value,
        expected_mod_revision=StoreRevision(expected),
        lease=LeaseId(lease),
    )


async def _commit(store: PlatformStore, put: ConditionalPut) -> PutOutcome:
    result: Result[Sequence[PutOutcome], StoreError] = await store.commit(puts=[put])
    return result.unwrap()[0]


@pytest.mark.asyncio
async def test_key_is_read_as_it_was_written(harness: StoreHarness) -> None:
    harness.emulator.put("a/b c&d", bytes(range(256)))
    entry = (await harness.store.get(key="a/b c&d")).unwrap()
    assert entry is not None
    assert entry.value == bytes(range(256))
    assert (await harness.store.get(key="a/none")).unwrap() is None


@pytest.mark.asyncio
async def test_list_returns_all_pages(harness: StoreHarness) -> None:
    for number in range(8):
        harness.emulator.put(f"a/{number}", b"x")
    harness.emulator.put("b/1", b"x")
    found = (await harness.store.list(prefix="a/")).unwrap()
    assert [entry.key for entry in found.entries] == [f"a/{number}" for number in range(8)]


@pytest.mark.asyncio
async def test_write_is_refused_when_the_revision_differs(harness: StoreHarness) -> None:
    assert (await _commit(harness.store, _put("k", b"1"))).written
    refused = await _commit(harness.store, _put("k", b"2"))
    assert not refused.written
    assert refused.current_entry is not None
    assert refused.current_entry.value == b"1"
    again = _put("k", b"2", expected=refused.current_entry.mod_revision)
    assert (await _commit(harness.store, again)).written


@pytest.mark.asyncio
async def test_key_is_deleted_with_its_lease(harness: StoreHarness) -> None:
    lease = (await harness.store.grant_lease(ttl_s=60)).unwrap()
    await _commit(harness.store, _put("k", b"1", lease=lease))
    assert (await harness.store.keep_alive(lease=lease)).unwrap() > 0
    await harness.store.revoke(lease=lease)
    assert harness.emulator.keys() == []
    assert (await harness.store.keep_alive(lease=lease)).unwrap() == 0


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("behavior", "kind"),
    [
        (StoreBehavior.BUSY, StoreErrorKind.REFUSED),
        (StoreBehavior.RESET, StoreErrorKind.UNCERTAIN),
        (StoreBehavior.RESET_AFTER_EXECUTION, StoreErrorKind.UNCERTAIN),
    ],
)
async def test_error_kind_shows_whether_a_write_may_have_been_applied(
    harness: StoreHarness, behavior: StoreBehavior, kind: StoreErrorKind
) -> None:
    harness.emulator.behavior = behavior
    result = await harness.store.commit(puts=[_put("k", b"1")])
    assert isinstance(result, Failure)
    assert result.failure().kind is kind
    assert (harness.emulator.keys() == ["k"]) == (behavior is StoreBehavior.RESET_AFTER_EXECUTION)


@dataclass(slots=True)
class RecordingListener:
    """Records what a follower reports."""

    known: dict[str, bytes] = field(default_factory=dict)
    snapshots: int = 0
    reachable: list[bool] = field(default_factory=list)
    lost_watches: list[str] = field(default_factory=list)

    def on_snapshot(self, snapshot: StoreRange) -> None:
        """Replace all known entries by a snapshot."""
        self.snapshots += 1
        self.known = {entry.key: entry.value for entry in snapshot.entries}

    def on_changes(self, batch: WatchBatch) -> None:
        """Apply changes."""
        for entry in batch.entries:
            self.known[entry.key] = entry.value
        for key in batch.deleted:
            self.known.pop(key, None)

    def on_store_state(self, state: StoreState) -> None:
        """Record whether the store is reachable."""
        self.reachable.append(state is StoreState.REACHED)


async def _wait_until_known(listener: RecordingListener, expected: dict[str, bytes]) -> None:
    async with asyncio.timeout(20):
        while listener.known != expected:
            await asyncio.sleep(0.005)


@pytest_asyncio.fixture
async def listener(harness: StoreHarness) -> AsyncIterator[RecordingListener]:
    """Run a follower that reports to a listener."""
    recorded = RecordingListener()
    follower = PrefixFollower(
        store=harness.store,
        prefix="a/",
        listener=recorded,
        clock=Clock(),
        rng=Random(1),
        wait_ms=WAIT_MS,
        on_lost_watch=recorded.lost_watches.append,
    )
    harness.emulator.put("a/0", b"0")
    task = asyncio.create_task(follower.run())
    await _wait_until_known(recorded, {"a/0": b"0"})
    yield recorded
    task.cancel()


@pytest.mark.asyncio
async def test_follower_sees_each_change(
    harness: StoreHarness, listener: RecordingListener
) -> None:
    harness.emulator.put("a/1", b"1")
    await _wait_until_known(listener, {"a/0": b"0", "a/1": b"1"})
    harness.emulator.delete("a/0")
    harness.emulator.put("b/1", b"1")
    await _wait_until_known(listener, {"a/1": b"1"})
    assert listener.snapshots == 1


async def _wait_until_reads(harness: StoreHarness, count: int) -> None:
    async with asyncio.timeout(20):
        while len([call for call in harness.emulator.calls if "range" in call]) < count:
            await asyncio.sleep(0.005)


@pytest.mark.asyncio
async def test_changes_during_a_pause_of_the_follower_cost_one_call(harness: StoreHarness) -> None:
    recorded = RecordingListener()
    follower = PrefixFollower(
        store=harness.store,
        prefix="a/",
        listener=recorded,
        clock=Clock(),
        rng=Random(1),
        wait_ms=WAIT_MS,
        change_delay_ms=lambda: 300,
    )
    task = asyncio.create_task(follower.run())
    await _wait_until_reads(harness, 1)
    harness.emulator.put("a/0", b"0")
    await _wait_until_known(recorded, {"a/0": b"0"})
    for number in range(1, 6):
        harness.emulator.put(f"a/{number}", b"x")
        await asyncio.sleep(0.005)
    await _wait_until_known(
        recorded, {"a/0": b"0", **{f"a/{number}": b"x" for number in range(1, 6)}}
    )
    task.cancel()
    watches = [call for call in harness.emulator.calls if "watch" in call]
    # One watch returned the first change, and one returned the other five.
    assert len(watches) == 2


@pytest.mark.asyncio
async def test_follower_reads_a_snapshot_again_after_the_store_was_unreachable(
    harness: StoreHarness, listener: RecordingListener
) -> None:
    harness.emulator.behavior = StoreBehavior.RESET
    harness.emulator.put("a/1", b"1")
    while False not in listener.reachable:
        harness.emulator.put("a/1", b"1")
        await asyncio.sleep(0.01)
    harness.emulator.delete("a/0")
    harness.emulator.behavior = StoreBehavior.NORMAL
    await _wait_until_known(listener, {"a/1": b"1"})
    assert listener.reachable[:3] == [True, False, True]
    assert listener.snapshots == 2


@pytest.mark.asyncio
async def test_follower_reports_that_the_store_answers_again_without_any_change(
    harness: StoreHarness, listener: RecordingListener
) -> None:
    harness.emulator.behavior = StoreBehavior.RESET
    while False not in listener.reachable:
        harness.emulator.put("a/0", b"0")
        await asyncio.sleep(0.01)
    harness.emulator.behavior = StoreBehavior.NORMAL
    while listener.reachable[-1] is False:
        await asyncio.sleep(0.01)
    assert listener.reachable == [True, False, True]


@pytest.mark.asyncio
async def test_follower_reads_a_snapshot_again_after_compaction(
    harness: StoreHarness, listener: RecordingListener
) -> None:
    harness.emulator.delete("a/0")
    harness.emulator.put("a/2", b"2")
    harness.emulator.compact()
    await _wait_until_known(listener, {"a/2": b"2"})
    harness.emulator.put("a/3", b"3")
    await _wait_until_known(listener, {"a/2": b"2", "a/3": b"3"})


async def _lose_waiting_watch(harness: StoreHarness) -> None:
    while not harness.emulator.waiting_watches:
        await asyncio.sleep(0.005)
    harness.emulator.waiting_watches[0].is_lost = True


# A watch that got no answer was noticed after half a minute, though the store answered.
@pytest.mark.asyncio
async def test_follower_fetches_what_a_lost_watch_has_missed(
    harness: StoreHarness, listener: RecordingListener
) -> None:
    await _lose_waiting_watch(harness)
    harness.emulator.put("a/1", b"1")
    harness.emulator.delete("a/0")
    await _wait_until_known(listener, {"a/1": b"1"})
    assert listener.lost_watches == ["a/"]
    assert (listener.snapshots, listener.reachable) == (1, [True])


@pytest.mark.asyncio
async def test_lost_watch_costs_one_call_when_nothing_was_missed(
    harness: StoreHarness, listener: RecordingListener
) -> None:
    await _lose_waiting_watch(harness)
    while not listener.lost_watches:
        await asyncio.sleep(0.005)
    assert (listener.snapshots, listener.reachable) == (1, [True])
    reads = [call for call in harness.emulator.calls if "kv-watch" not in call]
    # The lost watch and the call after it; the next watch may have begun.
    assert (len(reads), len(harness.emulator.calls)) in ((1, 3), (1, 4))


@pytest.mark.asyncio
async def test_cut_watch_is_not_reported_as_a_lost_store(
    harness: StoreHarness, listener: RecordingListener
) -> None:
    while not harness.emulator.waiting_watches:
        await asyncio.sleep(0.005)
    harness.emulator.cut_watches()
    harness.emulator.put("a/1", b"1")
    await _wait_until_known(listener, {"a/0": b"0", "a/1": b"1"})
    assert (listener.snapshots, listener.reachable) == (1, [True])
    assert listener.lost_watches == ["a/"]


@pytest.mark.asyncio
async def test_silent_store_is_reported_as_lost_and_not_its_watch(
    harness: StoreHarness, listener: RecordingListener
) -> None:
    await _lose_waiting_watch(harness)
    harness.emulator.behavior = StoreBehavior.SILENT
    while listener.reachable[-1]:
        await asyncio.sleep(0.005)
    assert listener.lost_watches == []


async def _first_batch(store: PlatformStore, from_revision: int) -> Result[WatchBatch, StoreError]:
    after = StoreRevision(from_revision - 1)
    return await store.changes(prefix="a/", after=after, wait_ms=WAIT_MS)


@pytest.mark.asyncio
async def test_revisions_are_newer_when_the_store_has_come_back_from_an_older_copy(
    harness: StoreHarness,
) -> None:
    copy = harness.emulator.copy()
    for number in range(9):
        harness.emulator.put(f"a/{number}", b"x")
    before = (await harness.store.list(prefix="a/")).unwrap()
    harness.emulator.come_back_from(copy)
    harness.emulator.put("a/1", b"y")
    after = (await harness.store.list(prefix="a/")).unwrap()
    assert number_of(after.revision) < number_of(before.revision)
    assert after.revision > before.revision
    assert after.entries[0].mod_revision > max(entry.mod_revision for entry in before.entries)


# A watch that goes on from a number that was given out again misses the changes up to it.
@pytest.mark.asyncio
async def test_watch_from_an_earlier_era_fails_when_its_revision_was_given_out_again(
    harness: StoreHarness,
) -> None:
    copy = harness.emulator.copy()
    harness.emulator.put("a/1", b"x")
    known = (await harness.store.list(prefix="a/")).unwrap().revision
    harness.emulator.come_back_from(copy)
    for number in range(5):
        harness.emulator.put(f"a/{number}", b"y")
    result = await _first_batch(harness.store, known + 1)
    assert isinstance(result, Failure)
    assert result.failure().kind is StoreErrorKind.COMPACTED


# A watch that waits at a store whose changes don't reach it goes on waiting for half a minute.
@pytest.mark.asyncio
async def test_waiting_watch_ends_when_another_answer_tells_of_a_new_era(
    harness: StoreHarness,
) -> None:
    known = (await harness.store.list(prefix="a/")).unwrap().revision
    waiting = asyncio.create_task(_first_batch(harness.store, known + 1))
    while not any("kv-watch" in call for call in harness.emulator.calls):
        await asyncio.sleep(0.005)
    # The watch itself isn't told.
    harness.emulator.era += 1
    assert (await harness.store.get(key="a/none")).unwrap() is None
    result = await waiting
    assert isinstance(result, Failure)
    assert result.failure().kind is StoreErrorKind.COMPACTED


@pytest.mark.asyncio
async def test_write_is_refused_when_its_condition_is_from_an_earlier_era(
    harness: StoreHarness,
) -> None:
    copy = harness.emulator.copy()
    known = (await _commit(harness.store, _put("k", b"1"))).revision
    harness.emulator.come_back_from(copy)
    harness.emulator.put("k", b"of another writer")
    assert (await harness.store.get(key="k")).unwrap() is not None
    refused = await _commit(harness.store, _put("k", b"2", expected=known))
    assert not refused.written
    assert refused.current_entry is not None
    assert refused.current_entry.value == b"of another writer"
    again = _put("k", b"2", expected=refused.current_entry.mod_revision)
    assert (await _commit(harness.store, again)).written


# A host renewed or revoked the lease of another host, which had got its number again.
@pytest.mark.asyncio
async def test_lease_of_an_earlier_era_is_lost_when_its_number_was_given_out_again(
    harness: StoreHarness,
) -> None:
    copy = harness.emulator.copy()
    lost = (await harness.store.grant_lease(ttl_s=60)).unwrap()
    harness.emulator.come_back_from(copy)
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=2000)
    other_host = PlatformStore(address=harness.store._address, pool=pool)
    other = (await other_host.grant_lease(ttl_s=60)).unwrap()
    assert lost == other
    await _commit(other_host, _put("k", b"1", lease=other))
    assert (await harness.store.keep_alive(lease=lost)).unwrap() == 0
    await harness.store.revoke(lease=lost)
    assert harness.emulator.keys() == ["k"]
    assert (await other_host.keep_alive(lease=other)).unwrap() > 0
    pool.close()


# A lease whose number is large was taken for lost, and each host wrote its entry again and again.
@pytest.mark.asyncio
async def test_lease_is_kept_when_its_number_is_large(harness: StoreHarness) -> None:
    lease = (await harness.store.grant_lease(ttl_s=60)).unwrap()
    assert lease >= 2**62
    await _commit(harness.store, _put("k", b"1", lease=lease))
    for _ in range(2):
        assert (await harness.store.keep_alive(lease=lease)).unwrap() > 0
    entry = (await harness.store.get(key="k")).unwrap()
    assert entry is not None
    assert entry.lease == lease


@random_case_settings(examples=300)
@given(era=st.text(max_size=12))
def test_any_era_from_the_store_gives_an_era_or_none(era: str) -> None:
    head = ResponseHead(
        status=200,
        reason="",
        headers=CIMultiDictProxy(CIMultiDict({STORE_ERA: era})),
        is_close_delimited=False,
        keep_alive=True,
    )
    decoded = _decode_era(head)
    assert decoded is None or 0 <= decoded < 10_000


@random_case_settings(examples=300)
@given(status=st.sampled_from([200, 404, 500]), body=st.binary(max_size=60))
def test_any_bytes_from_the_store_give_a_value_or_a_typed_error(status: int, body: bytes) -> None:
    for kind in (WireRange, WireChanges):
        result = _decode_body(_Reply(status=status, body=body, era=1), kind)
        assert isinstance(result, Success | Failure)
        if isinstance(result, Failure):
            assert ";" in result.failure().detail


def _encode_item(value: bytes) -> bytes:
    item = {"key": "k", "value": base64.b64encode(value).decode(), "revision": 1, "createdRev": 1}
    return encode_answer(body=msgspec.json.encode(item))


async def _read_value(store: PlatformStore) -> bytes | None:
    entry = (await store.get(key="k")).value_or(None)
    return None if entry is None else entry.value


# A call went out on a connection on which bytes had come after an answer, and failed.
@pytest.mark.asyncio
@pytest.mark.parametrize("delay_s", [0.0, 0.001, 0.1])
async def test_connection_to_the_store_is_not_used_again_when_bytes_come_after_an_answer(
    delay_s: float,
) -> None:
    late = _encode_item(b"late")
    for cut in (1, 10, 60, len(late)):

        def answer(request: PeerRequest, data: bytes = late[:cut]) -> list[Part]:
            own = _encode_item(b"own")
            return [own, Late(delay_s=delay_s, data=data)] if delay_s else [own + data]

        pool = ConnectionPool(clock=Clock(), connect_timeout_ms=2000, idle_ms=60_000)
        async with run_scripted_peer(answer) as peer:
            store = PlatformStore(address=peer.address, pool=pool)
            assert await _read_value(store) == b"own"
            await asyncio.sleep(delay_s + 0.02)
            assert await _read_value(store) == b"own"
        assert [request.connection for request in peer.requests] == [0, 1]
        pool.close()


# Guards against a connection whose answer is still due going to the next call.
@pytest.mark.asyncio
@pytest.mark.parametrize("status", [None, 408, 413])
async def test_connection_to_the_store_is_not_used_again_when_a_call_was_given_up(
    status: int | None,
) -> None:
    def answer(request: PeerRequest) -> list[Part]:
        own = _encode_item(str(len(peer.requests)).encode())
        if request.connection:
            return [own]
        if status is None:
            return [Late(delay_s=0.05, data=own)]
        return [encode_answer(status=status, fields=[("Connection", "close")])]

    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=2000, idle_ms=60_000)
    async with run_scripted_peer(answer) as peer:
        store = PlatformStore(address=peer.address, pool=pool)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.02):
                assert await _read_value(store) is None
        assert await _read_value(store) == b"2"
    assert [request.connection for request in peer.requests] == [0, 1]
    pool.close()
