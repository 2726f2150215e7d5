"""Tests of the client of the platform's store against an emulator of the store."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random

from hypothesis import given
from hypothesis import strategies as st
import pytest
import pytest_asyncio
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from standins.platform_store import StoreEmulator
from standins.platform_store import StoreMood
from tanagerscale.core import Clock
from tanagerscale.platform._store import PlatformStore
from tanagerscale.platform._store import _decode_body
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
from tanagerscale.store import WatchBatch
from tanagerscale.upstreams import ConnectionPool
from testing._random_cases import random_case_settings


@dataclass(slots=True)
class Pair:
    """The store emulator and a client that is connected to it."""

    emulator: StoreEmulator
    store: PlatformStore


@pytest_asyncio.fixture
async def pair() -> AsyncIterator[Pair]:
    """Start a store emulator and create a client for it."""
    emulator = StoreEmulator(page=3)
    address = await emulator.start()
    pool = ConnectionPool(clock=Clock(), connect_timeout_ms=2000, idle_ms=60_000)
    yield Pair(emulator=emulator, store=PlatformStore(address=address, pool=pool))
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
async def test_key_is_read_as_it_was_written(pair: Pair) -> None:
    pair.emulator.put("a/b c&d", bytes(range(256)))
    entry = (await pair.store.get(key="a/b c&d")).unwrap()
    assert entry is not None
    assert entry.value == bytes(range(256))
    assert (await pair.store.get(key="a/none")).unwrap() is None


@pytest.mark.asyncio
async def test_list_returns_all_pages(pair: Pair) -> None:
    for number in range(8):
        pair.emulator.put(f"a/{number}", b"x")
    pair.emulator.put("b/1", b"x")
    found = (await pair.store.list(prefix="a/")).unwrap()
    assert [entry.key for entry in found.entries] == [f"a/{number}" for number in range(8)]


@pytest.mark.asyncio
async def test_write_is_refused_when_the_revision_differs(pair: Pair) -> None:
    assert (await _commit(pair.store, _put("k", b"1"))).written
    refused = await _commit(pair.store, _put("k", b"2"))
    assert not refused.written
    assert refused.current_entry is not None
    assert refused.current_entry.value == b"1"
    again = _put("k", b"2", expected=refused.current_entry.mod_revision)
    assert (await _commit(pair.store, again)).written


@pytest.mark.asyncio
async def test_key_is_deleted_with_its_lease(pair: Pair) -> None:
    lease = (await pair.store.grant_lease(ttl_s=60)).unwrap()
    await _commit(pair.store, _put("k", b"1", lease=lease))
    assert (await pair.store.keep_alive(lease=lease)).unwrap() > 0
    await pair.store.revoke(lease=lease)
    assert pair.emulator.keys() == []
    assert (await pair.store.keep_alive(lease=lease)).unwrap() == 0


@pytest.mark.asyncio
@pytest.mark.parametrize(
    ("mood", "kind"),
    [
        (StoreMood.BUSY, StoreErrorKind.REFUSED),
        (StoreMood.RESET, StoreErrorKind.UNCERTAIN),
        (StoreMood.LOSES_ANSWERS, StoreErrorKind.UNCERTAIN),
    ],
)
async def test_error_kind_shows_whether_a_write_may_have_been_applied(
    pair: Pair, mood: StoreMood, kind: StoreErrorKind
) -> None:
    pair.emulator.mood = mood
    result = await pair.store.commit(puts=[_put("k", b"1")])
    assert isinstance(result, Failure)
    assert result.failure().kind is kind
    assert (pair.emulator.keys() == ["k"]) == (mood is StoreMood.LOSES_ANSWERS)


@dataclass(slots=True)
class RecordingListener:
    """Records what a follower reports."""

    known: dict[str, bytes] = field(default_factory=dict)
    snapshots: int = 0
    reachable: list[bool] = field(default_factory=list)

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

    def on_reachability_changed(self, *, reachable: bool) -> None:
        """Record whether the store is reachable."""
        self.reachable.append(reachable)


async def _wait_until_known(listener: RecordingListener, expected: dict[str, bytes]) -> None:
    async with asyncio.timeout(20):
        while listener.known != expected:
            await asyncio.sleep(0.005)


@pytest_asyncio.fixture
async def listener(pair: Pair) -> AsyncIterator[RecordingListener]:
    """Run a follower that reports to a listener."""
    recorded = RecordingListener()
    follower = PrefixFollower(
        store=pair.store, prefix="a/", listener=recorded, clock=Clock(), rng=Random(1)
    )
    pair.emulator.put("a/0", b"0")
    task = asyncio.create_task(follower.run())
    await _wait_until_known(recorded, {"a/0": b"0"})
    yield recorded
    task.cancel()


@pytest.mark.asyncio
async def test_follower_sees_each_change(pair: Pair, listener: RecordingListener) -> None:
    pair.emulator.put("a/1", b"1")
    await _wait_until_known(listener, {"a/0": b"0", "a/1": b"1"})
    pair.emulator.delete("a/0")
    pair.emulator.put("b/1", b"1")
    await _wait_until_known(listener, {"a/1": b"1"})
    assert listener.snapshots == 1


async def _wait_until_reads(pair: Pair, count: int) -> None:
    async with asyncio.timeout(20):
        while len([call for call in pair.emulator.calls if "range" in call]) < count:
            await asyncio.sleep(0.005)


@pytest.mark.asyncio
async def test_changes_during_a_pause_of_the_follower_cost_one_call(pair: Pair) -> None:
    recorded = RecordingListener()
    follower = PrefixFollower(
        store=pair.store,
        prefix="a/",
        listener=recorded,
        clock=Clock(),
        rng=Random(1),
        change_delay_ms=lambda: 300,
    )
    task = asyncio.create_task(follower.run())
    await _wait_until_reads(pair, 1)
    pair.emulator.put("a/0", b"0")
    await _wait_until_known(recorded, {"a/0": b"0"})
    for number in range(1, 6):
        pair.emulator.put(f"a/{number}", b"x")
        await asyncio.sleep(0.005)
    await _wait_until_known(
        recorded, {"a/0": b"0", **{f"a/{number}": b"x" for number in range(1, 6)}}
    )
    task.cancel()
    watches = [call for call in pair.emulator.calls if "watch" in call]
    # One watch returned the first change, and one returned the other five.
    assert len(watches) == 2


@pytest.mark.asyncio
async def test_follower_reads_a_snapshot_again_after_the_store_was_unreachable(
    pair: Pair, listener: RecordingListener
) -> None:
    pair.emulator.mood = StoreMood.RESET
    pair.emulator.put("a/1", b"1")
    while False not in listener.reachable:
        pair.emulator.put("a/1", b"1")
        await asyncio.sleep(0.01)
    pair.emulator.delete("a/0")
    pair.emulator.mood = StoreMood.WELL
    await _wait_until_known(listener, {"a/1": b"1"})
    assert listener.reachable[:3] == [True, False, True]
    assert listener.snapshots == 2


@pytest.mark.asyncio
async def test_follower_reports_that_the_store_answers_again_without_any_change(
    pair: Pair, listener: RecordingListener
) -> None:
    pair.emulator.mood = StoreMood.RESET
    while False not in listener.reachable:
        pair.emulator.put("a/0", b"0")
        await asyncio.sleep(0.01)
    pair.emulator.mood = StoreMood.WELL
    while listener.reachable[-1] is False:
        await asyncio.sleep(0.01)
    assert listener.reachable == [True, False, True]


@pytest.mark.asyncio
async def test_follower_reads_a_snapshot_again_after_compaction(
    pair: Pair, listener: RecordingListener
) -> None:
    pair.emulator.delete("a/0")
    pair.emulator.put("a/2", b"2")
    pair.emulator.compact()
    await _wait_until_known(listener, {"a/2": b"2"})
    pair.emulator.put("a/3", b"3")
    await _wait_until_known(listener, {"a/2": b"2", "a/3": b"3"})


@random_case_settings(examples=300)
@given(status=st.sampled_from([200, 404, 500]), body=st.binary(max_size=60))
def test_any_bytes_from_the_store_give_a_value_or_a_typed_error(status: int, body: bytes) -> None:
    for kind in (WireRange, WireChanges):
        result = _decode_body(status, body, kind)
        assert isinstance(result, Success | Failure)
        if isinstance(result, Failure):
            assert ";" in result.failure().detail
