"""Followers of the store go on after entries that their listeners fail to take."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from functools import partial
import json
from random import Random
import time
from typing import Final

import logbook
from prometheus_client import CollectorRegistry
import pytest
from returns.result import Failure
from returns.result import Result

from tanagerscale.coordination import ListFeed
from tanagerscale.coordination._feed_entries import to_entry
from tanagerscale.coordination._feed_entries import to_item
from tanagerscale.coordination._listener_sync import RESYNC_DELAY_MS
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import UnexpectedErrorCollector
from tanagerscale.core import UpstreamName
from tanagerscale.core import run_contained
from tanagerscale.core import unexpected_errors
from tanagerscale.core._containment import MAX_LINES_PER_S
from tanagerscale.gateway._operator_keys import OperatorKeyListener
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.generated.messages import ListContent
from tanagerscale.generated.messages import ListRequest
from tanagerscale.generated.messages import ListTopic
from tanagerscale.generated.records import HostRecord
from tanagerscale.membership import Evacuations
from tanagerscale.membership import LinkClosedError
from tanagerscale.membership import Message
from tanagerscale.membership import UpstreamGate
from tanagerscale.membership import UpstreamRoster
from tanagerscale.membership._websocket import WebSocketTransport
from tanagerscale.platform._configuration import CONFIGURATION_KEY
from tanagerscale.platform._configuration import EVACUATION_PREFIX
from tanagerscale.platform._configuration import parse_evacuated_domain
from tanagerscale.platform._registry import decode_entry
from tanagerscale.store import ConditionalPut
from tanagerscale.store import PrefixFollower
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRange
from tanagerscale.store import StoreRevision
from tanagerscale.store import StoreState
from tanagerscale.store import WatchBatch
from tanagerscale.store._follow import MIN_REREAD_INTERVAL_MS
from tanagerscale.upstreams import UpstreamEntry
from testing._fake_store import FakeStore
from testing._listed_upstreams import SERVICE
from testing._listed_upstreams import decode_store_entry
from testing._virtual_time import run_virtually
from testing.test_odd_entries import ENTRY

MEMBER: Final = HostId("member")
WAIT_MS = 900
SETTLE_S: Final = 0.1

ODD_VALUES: Final = [b"bad", b"error", b"depth"]
"""Refused by the decoder, and those at which it raises an error that it doesn't expect."""


def _decode(key: str, value: bytes) -> Result[UpstreamEntry, str]:
    if value == b"error":
        raise ArithmeticError("The decoder did not expect this entry.")
    if value == b"depth":
        raise RecursionError
    return decode_store_entry(key, value)


class FollowerHarness:
    """A host that follows the entries of upstreams in a store and passes them on."""

    def __init__(self) -> None:
        clock = Clock()
        self.store = FakeStore()
        self.sent: list[ListContent] = []
        self.roster = UpstreamRoster(
            gate=UpstreamGate(clock=clock, rng=Random(1), broadcast=lambda _: None),
            evacuations=Evacuations(parse_evacuated_domain=lambda _: None, clock=clock),
            decode=_decode,
            parse_upstream_name=UpstreamName,
            clock=clock,
        )
        self.feed = ListFeed(
            topic=ListTopic.UPSTREAMS, listener=self.roster, send=self._send, clock=clock
        )
        self.feed.on_message(MEMBER, ListRequest(topic=ListTopic.UPSTREAMS))
        self._follower = PrefixFollower(
            store=self.store,
            prefix="",
            listener=self.feed,
            clock=clock,
            rng=Random(1),
            wait_ms=WAIT_MS,
        )
        self.task = asyncio.create_task(self._follower.run())

    def _send(self, host: HostId, message: Message) -> bool:
        assert isinstance(message, ListContent)
        self.sent.append(message)
        return True

    def write(self, **values: bytes) -> None:
        """Write entries in one transaction, so that a watch delivers them in one batch."""
        present = self.store.backend.entries
        puts = [
            ConditionalPut(
                key=key,
                value=value,
                expected_mod_revision=(
                    present[key].mod_revision if key in present else StoreRevision(0)
                ),
            )
            for key, value in values.items()
        ]
        assert all(outcome.written for outcome in self.store.backend.write(puts=puts))

    async def open_names(self) -> str:
        """Return the names of the upstreams that accept requests after the changes so far."""
        await asyncio.sleep(SETTLE_S)
        return "".join(sorted(entry.name for entry in self.roster.open_for(SERVICE)))


@pytest.mark.parametrize("odd", ODD_VALUES)
@pytest.mark.parametrize("name", ["a", "m", "z"])
def test_sound_entries_of_a_snapshot_are_applied_when_another_is_odd(name: str, odd: bytes) -> None:
    async def run() -> None:
        harness = FollowerHarness()
        harness.write(**{name: odd, "b": b"ready", "n": b"ready"})
        assert await harness.open_names() == "bn"
        assert harness.roster.has_read
        harness.write(c=b"ready")
        assert await harness.open_names() == "bcn"
        assert not harness.task.done()

    run_virtually(run())


@pytest.mark.parametrize("odd", ODD_VALUES)
@pytest.mark.parametrize("name", ["a", "m", "z"])
def test_sound_entries_of_a_change_are_applied_when_another_is_odd(name: str, odd: bytes) -> None:
    async def run() -> None:
        harness = FollowerHarness()
        harness.write(c=b"ready")
        assert await harness.open_names() == "c"
        harness.write(**{name: odd, "b": b"ready", "n": b"ready", "c": b"leaving"})
        assert await harness.open_names() == "bn"
        harness.write(**{name: odd, "d": b"ready"})
        assert await harness.open_names() == "bdn"
        assert harness.sent[-1].revision == harness.feed.revision

    run_virtually(run())


@pytest.mark.parametrize("odd", ODD_VALUES)
def test_upstream_gets_no_requests_while_its_entry_is_odd(odd: bytes) -> None:
    async def run() -> None:
        harness = FollowerHarness()
        harness.write(a=b"ready", b=b"ready")
        for _ in range(2):
            assert await harness.open_names() == "ab"
            harness.write(a=odd)
            assert await harness.open_names() == "b"
            harness.write(a=b"ready")
        assert await harness.open_names() == "ab"

    run_virtually(run())


def test_unexpected_error_is_counted_and_logged_with_its_place() -> None:
    def fail() -> None:
        raise ArithmeticError("x" * 10_000)

    with logbook.TestHandler().applicationbound() as handler:
        assert not run_contained("part-of-test", fail, key="odd")
    (record,) = handler.records
    assert (record.kwargs["component"], record.kwargs["key"]) == ("part-of-test", "odd")
    assert "fail:" in record.kwargs["stack"]
    assert len(record.kwargs["detail"]) < 1000
    registry = CollectorRegistry()
    registry.register(UnexpectedErrorCollector())
    labels = {"component": "part-of-test"}
    assert registry.get_sample_value("tanagerscale_unexpected_errors_total", labels) == 1


# Guards against a log that grows with the messages of a peer at which a handler fails.
def test_lines_of_unexpected_errors_are_bounded_when_there_are_many() -> None:
    def fail() -> None:
        raise ArithmeticError("This was not expected.")

    before = unexpected_errors["many-of-test"]
    with logbook.TestHandler().applicationbound() as handler:
        started = time.monotonic()
        for _ in range(1000):
            run_contained("many-of-test", fail)
        seconds = int(time.monotonic() - started) + 2
    assert 1 <= len(handler.records) <= seconds * MAX_LINES_PER_S
    assert unexpected_errors["many-of-test"] == before + 1000


class FailingListener:
    """Fails to take changes, but remembers the state that it could take."""

    def __init__(self) -> None:
        self.failures = 0
        self.known: dict[str, bytes] = {}
        self.snapshots = 0

    def _fail(self) -> None:
        if self.failures:
            self.failures -= 1
            raise ArithmeticError("The listener did not expect this.")

    def on_snapshot(self, snapshot: StoreRange) -> None:
        self.snapshots += 1
        self._fail()
        self.known = {entry.key: entry.value for entry in snapshot.entries}

    def on_changes(self, batch: WatchBatch) -> None:
        self._fail()
        self.known |= {entry.key: entry.value for entry in batch.entries}

    def on_store_state(self, state: StoreState) -> None:
        pass

    def on_calls(self, *, answered: bool) -> None:
        pass


def _put(store: FakeStore, key: str) -> None:
    put = ConditionalPut(key=key, value=b"x", expected_mod_revision=StoreRevision(0))
    store.backend.write(puts=[put])


def test_follower_goes_on_and_reads_all_again_when_its_listener_failed() -> None:
    async def run() -> None:
        store, listener = FakeStore(), FailingListener()
        follower = PrefixFollower(
            store=store,
            prefix="",
            listener=listener,
            clock=Clock(),
            rng=Random(1),
            wait_ms=WAIT_MS,
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(SETTLE_S)
        before = unexpected_errors["store"]
        listener.failures = 1
        _put(store, "a")
        await asyncio.sleep(SETTLE_S)
        _put(store, "b")
        await asyncio.sleep(SETTLE_S)
        assert listener.known == {"b": b"x"}
        await asyncio.sleep(MIN_REREAD_INTERVAL_MS / 1000)
        _put(store, "c")
        await asyncio.sleep(SETTLE_S)
        assert listener.known == {"a": b"x", "b": b"x", "c": b"x"}
        assert (listener.snapshots, store.calls.reads) == (2, 2)
        assert unexpected_errors["store"] == before + 1
        assert not task.done()

    run_virtually(run())


def test_reads_are_bounded_when_a_listener_fails_at_each_change() -> None:
    async def run() -> None:
        store, listener = FakeStore(), FailingListener()
        listener.failures = 1000
        follower = PrefixFollower(
            store=store,
            prefix="",
            listener=listener,
            clock=Clock(),
            rng=Random(1),
            wait_ms=WAIT_MS,
        )
        task = asyncio.create_task(follower.run())
        for number in range(100):
            _put(store, f"{number}")
            await asyncio.sleep(SETTLE_S)
        assert store.calls.reads <= 1 + 100 * SETTLE_S * 1000 / MIN_REREAD_INTERVAL_MS
        assert not task.done()

    run_virtually(run())


def test_members_get_entries_that_the_listener_of_a_coordinator_fails_to_take() -> None:
    async def run() -> None:
        clock, listener = Clock(), FailingListener()
        sent: list[Message] = []

        def send(_: HostId, message: Message) -> bool:
            sent.append(message)
            return True

        feed = ListFeed(topic=ListTopic.UPSTREAMS, listener=listener, send=send, clock=clock)
        feed.on_message(MEMBER, ListRequest(topic=ListTopic.UPSTREAMS))
        store = FakeStore()
        follower = PrefixFollower(
            store=store, prefix="", listener=feed, clock=clock, rng=Random(1), wait_ms=WAIT_MS
        )
        task = asyncio.create_task(follower.run())
        await asyncio.sleep(SETTLE_S)
        listener.failures = 1
        _put(store, "a")
        await asyncio.sleep(SETTLE_S)
        content = sent[-1]
        assert isinstance(content, ListContent)
        assert [item.key for item in content.entries] == ["a"]
        assert listener.known == {}
        # The feed has all entries, so that its listener needs no further read of the store.
        await asyncio.sleep(RESYNC_DELAY_MS / 1000)
        feed.on_message(MEMBER, Heartbeat(revision=0))
        assert listener.known == {"a": b"x"}
        assert store.calls.reads == 1
        assert not task.done()

    run_virtually(run())


def _entry(key: str, value: bytes) -> StoreEntry:
    at = StoreRevision(1)
    return StoreEntry(key=key, value=value, create_revision=at, mod_revision=at)


# Guards against an evacuation that is not applied because a configuration beside it is odd.
@pytest.mark.parametrize("is_snapshot", [True, False])
def test_evacuations_are_applied_when_the_configuration_fails(is_snapshot: bool) -> None:
    failing, evacuations = FailingListener(), FailingListener()
    failing.failures = 1
    listener = OperatorKeyListener(
        configuration_key=CONFIGURATION_KEY,
        configuration=failing,
        parse_evacuated_domain=parse_evacuated_domain,
        evacuations=evacuations,
    )
    entries = (_entry(CONFIGURATION_KEY, b"{}"), _entry(f"{EVACUATION_PREFIX}a", b"1"))
    revision = StoreRevision(1)
    deliver = (
        partial(listener.on_snapshot, StoreRange(entries=entries, revision=revision))
        if is_snapshot
        else partial(
            listener.on_changes, WatchBatch(entries=entries, deleted=(), revision=revision)
        )
    )
    with pytest.raises(ArithmeticError):
        deliver()
    assert list(evacuations.known) == [f"{EVACUATION_PREFIX}a"]


HOST = {"host": "b", "peers": "127.0.0.1:7000", "incarnation": 1}


@pytest.mark.parametrize(
    "change",
    [
        {"incarnation": 10**30},
        {"incarnation": -1},
        {"cores": 10**300},
        {"cores": -1},
        {"host": ""},
    ],
    ids=str,
)
def test_entry_of_a_host_that_is_out_of_range_is_left_out(change: dict[str, object]) -> None:
    async def run() -> None:
        known: list[Sequence[HostRecord]] = []
        presence = HostPresence(
            store=FakeStore(),
            prefix="p/",
            record=HostRecord(host="a", peers="127.0.0.1:1", incarnation=1),
            on_records=lambda records, _: known.append(records),
            clock=Clock(),
            rng=Random(1),
        )
        odd = _entry("p/hosts/odd", json.dumps(HOST | change).encode())
        sound = _entry("p/hosts/b", json.dumps(HOST).encode())
        revision = StoreRevision(1)
        presence.on_snapshot(StoreRange(entries=(odd, sound), revision=revision))
        presence.on_changes(WatchBatch(entries=(odd, sound), deleted=(), revision=revision))
        assert [[record.host for record in records] for records in known] == [["b"], ["b"]]

    run_virtually(run())


@pytest.mark.parametrize("address", ["127.0.0.1:70000", "127.0.0.1:" + "9" * 5000, "x/y", ""])
def test_connection_fails_as_any_other_when_the_address_of_a_host_is_invalid(address: str) -> None:
    async def run() -> None:
        with pytest.raises(LinkClosedError):
            await WebSocketTransport().connect(address=address)

    asyncio.run(run())


# Guards against hosts that take an upstream which the hosts that read the store refuse.
@pytest.mark.parametrize("field", ["service", "zone", "version", "unknown"])
def test_hosts_that_follow_another_decide_as_it_does_when_an_entry_is_not_utf_8(field: str) -> None:
    text = json.dumps(ENTRY | {field: "\u00ff"}, ensure_ascii=False)
    value = text.encode("latin-1")
    relayed = to_entry(to_item(_entry("servers/a", value))).value
    assert isinstance(decode_entry("servers/a", value), Failure)
    assert isinstance(decode_entry("servers/a", relayed), Failure)
