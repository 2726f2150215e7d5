"""Followers put accepted revisions in force despite store failures."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from tanagerscale.core import Revision
from tanagerscale.declarations import Follower
from tanagerscale.declarations import FollowErrorKind
from tanagerscale.declarations import encode_sections
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRevision
from testing._declared import PREFIX
from testing._declared import apply
from testing._declared import make_declarations
from testing._declared import make_follower
from testing._fake_store import FakeStore
from testing._random_cases import random_case_settings

pytestmark = pytest.mark.looptime

POLL_WAIT_S = 6
HEAD = f"{PREFIX}/declarations/head"


@asynccontextmanager
async def _running(*followers: Follower) -> AsyncIterator[None]:
    tasks = [asyncio.create_task(follower.run()) for follower in followers]
    await asyncio.sleep(1)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _send_content(*, source: Follower, target: Follower) -> None:
    content = source.content_for_peer(have=target.head_revision)
    if content is not None:
        await target.offer_from_peer(head=content.head.encode(), chunks=content.chunks)


def _is_ready(follower: Follower) -> bool:
    return follower.ready.value


async def test_new_revision_is_in_force_immediately_when_the_watch_works() -> None:
    store = FakeStore()
    follower = make_follower(store=store)
    async with _running(follower):
        ready_before = follower.ready.value
        for revision, engines in enumerate((1, 2, 3), start=1):
            await apply(store=store, declarations=make_declarations(engines=engines))
            await asyncio.sleep(0.3)
            assert follower.head_revision == revision
            assert len(follower.declarations.engines) == engines
        assert (ready_before, follower.ready.value) == (False, True)


async def test_host_reads_only_the_head_when_the_delta_is_inline() -> None:
    store = FakeStore()
    host = FakeStore(backend=store.backend)
    follower = make_follower(store=host)
    await apply(store=store, declarations=make_declarations())
    async with _running(follower):
        reads = host.calls.reads
        await apply(store=store, declarations=make_declarations(engines=2), expected_revision=1)
        await asyncio.sleep(0.1)
        assert follower.head_revision == 2
        assert host.calls.reads == reads


async def test_new_revision_is_in_force_after_a_poll_when_watches_stall() -> None:
    store = FakeStore()
    host = FakeStore(backend=store.backend, watch_stalled=True)
    follower = make_follower(store=host)
    async with _running(follower):
        await apply(store=store, declarations=make_declarations())
        await asyncio.sleep(POLL_WAIT_S)
        assert follower.head_revision == 1


async def test_revision_is_in_force_when_the_history_was_compacted() -> None:
    store = FakeStore()
    host = FakeStore(backend=store.backend)
    follower = make_follower(store=host)
    async with _running(follower):
        host.set_down(True)
        await asyncio.sleep(1)
        await apply(store=store, declarations=make_declarations())
        await apply(store=store, declarations=make_declarations(engines=2), expected_revision=1)
        store.backend.compact()
        host.set_down(False)
        await asyncio.sleep(POLL_WAIT_S)
        assert follower.head_revision == 2
        await apply(store=store, declarations=make_declarations(engines=3), expected_revision=2)
        await asyncio.sleep(0.1)
        assert follower.head_revision == 3


async def test_peers_forward_a_revision_when_the_store_fails_after_the_apply() -> None:
    store = FakeStore()
    connected_store = FakeStore(backend=store.backend)
    disconnected_store = FakeStore(backend=store.backend)
    connected, disconnected = make_follower(store=connected_store), make_follower(
        store=disconnected_store
    )
    async with _running(connected, disconnected):
        await apply(store=store, declarations=make_declarations())
        await asyncio.sleep(0.1)
        disconnected_store.set_down(True)
        await apply(store=store, declarations=make_declarations(engines=2), expected_revision=1)
        await asyncio.sleep(0.1)
        connected_store.set_down(True)
        assert (connected.head_revision, disconnected.head_revision) == (2, 1)
        await _send_content(source=connected, target=disconnected)
        assert disconnected.head_revision == 2
        assert disconnected.declarations.digest == connected.declarations.digest


async def test_starting_host_is_ready_only_after_peers_agree_when_the_store_is_down() -> None:
    store = FakeStore()
    old = make_follower(store=store)
    await apply(store=store, declarations=make_declarations(engines=3))
    async with _running(old):
        started = make_follower(store=FakeStore(backend=store.backend, down=True))
        async with _running(started):
            started.peers_agree(revisions=[old.head_revision])
            assert not _is_ready(started)
            started.peers_agree(revisions=[])
            assert not _is_ready(started)
            await _send_content(source=old, target=started)
            assert not _is_ready(started)
            started.peers_agree(revisions=[old.head_revision])
            assert _is_ready(started)
            assert len(started.declarations.engines) == 3


@pytest.mark.parametrize("damage", ["missing", "corrupt", "foreign"])
async def test_old_revision_stays_in_force_until_a_damaged_chunk_is_restored(
    damage: str,
) -> None:
    store = FakeStore()
    host = FakeStore(backend=store.backend)
    follower = make_follower(store=host)
    async with _running(follower):
        await apply(store=store, declarations=make_declarations())
        await asyncio.sleep(0.1)
        host.set_down(True)
        await apply(store=store, declarations=make_declarations(engines=2), expected_revision=1)
        await apply(store=store, declarations=make_declarations(engines=3), expected_revision=2)
        [chunk] = [key for key in store.backend.entries if "/chunks/" in key]
        intact = store.backend.entries[chunk]
        _damage(store=store, key=chunk, damage=damage)
        host.set_down(False)
        await asyncio.sleep(POLL_WAIT_S)
        assert follower.head_revision == 1
        assert follower.last_error is not None
        expected = (
            FollowErrorKind.CHUNK_MISSING if damage == "missing" else FollowErrorKind.CHUNK_CORRUPT
        )
        assert follower.last_error.kind is expected
        store.backend.entries[chunk] = intact
        await asyncio.sleep(POLL_WAIT_S)
        assert follower.head_revision == 3
        assert follower.last_error is None


def _damage(*, store: FakeStore, key: str, damage: str) -> None:
    if damage == "missing":
        store.backend.lose_key(key=key)
    else:
        content = b'{"engine e9":{}}' if damage == "foreign" else b"\xff"
        store.backend.corrupt(key=key, value=content)


async def test_lower_or_altered_revision_is_rejected_when_the_store_was_restored() -> None:
    store = FakeStore()
    follower = make_follower(store=store)
    async with _running(follower):
        await apply(store=store, declarations=make_declarations())
        old_head = store.backend.entries[HEAD].value
        await apply(store=store, declarations=make_declarations(engines=2), expected_revision=1)
        await asyncio.sleep(0.1)
        digest = follower.declarations.digest
        store.backend.corrupt(key=HEAD, value=old_head)
        await asyncio.sleep(POLL_WAIT_S)
        assert (follower.head_revision, follower.declarations.digest) == (2, digest)
        await apply(
            store=store,
            declarations=make_declarations(engines=4),
            apply_id="after",
            expected_revision=1,
        )
        await asyncio.sleep(POLL_WAIT_S)
        assert (follower.head_revision, follower.declarations.digest) == (2, digest)
        assert follower.last_error is None or (
            follower.last_error.kind is FollowErrorKind.CONFLICTING_HEAD
        )


async def test_delayed_offer_of_a_lower_revision_is_ignored() -> None:
    store = FakeStore()
    source, target = make_follower(store=store), make_follower(store=FakeStore(down=True))
    async with _running(source):
        await apply(store=store, declarations=make_declarations(engines=1))
        await asyncio.sleep(0.1)
        old = source.content_for_peer(have=Revision(0))
        await apply(store=store, declarations=make_declarations(engines=2), expected_revision=1)
        await asyncio.sleep(0.1)
        await _send_content(source=source, target=target)
        assert old is not None
        result = await target.offer_from_peer(head=old.head.encode(), chunks=old.chunks)
        assert result.unwrap() == 2
        assert len(target.declarations.engines) == 2


async def test_slow_read_of_a_lower_revision_does_not_replace_a_higher_one() -> None:
    store = FakeStore()
    source = make_follower(store=store)
    target = make_follower(store=FakeStore(backend=store.backend, latency_ms=500))
    async with _running(source):
        await apply(store=store, declarations=make_declarations(engines=1))
        await asyncio.sleep(0.1)
        lower = source.content_for_peer(have=Revision(0))
        assert lower is not None
        # The offer has no chunks, so the target reads them from the store.
        reading = asyncio.create_task(target.offer_from_peer(head=lower.head.encode(), chunks={}))
        await asyncio.sleep(0.1)
        await apply(
            store=store, declarations=make_declarations(engines=2, max_batch=9), expected_revision=1
        )
        store.backend.entries.update(_make_undeleted_entries(lower.chunks))
        await asyncio.sleep(0.1)
        await _send_content(source=source, target=target)
        assert target.head_revision == 2
        assert (await reading).unwrap() == 2
        assert len(target.declarations.engines) == 2


def _make_undeleted_entries(chunks: dict[str, str]) -> dict[str, StoreEntry]:
    """Return store entries of chunks that are not deleted yet, by key."""
    return {
        f"{PREFIX}/declarations/chunks/{digest}": StoreEntry(
            key=f"{PREFIX}/declarations/chunks/{digest}",
            value=content.encode(),
            create_revision=StoreRevision(1),
            mod_revision=StoreRevision(1),
        )
        for digest, content in chunks.items()
    }


async def test_starting_host_is_not_ready_until_it_has_the_newest_revision_of_its_peers() -> None:
    store = FakeStore()
    connected = make_follower(store=store)
    started = make_follower(store=FakeStore(down=True))
    async with _running(connected):
        await apply(store=store, declarations=make_declarations())
        await asyncio.sleep(0.1)
        await _send_content(source=connected, target=started)
        started.peers_agree(revisions=[Revision(1), Revision(2)])
        assert not _is_ready(started)
        started.peers_agree(revisions=[Revision(1), Revision(1)])
        assert _is_ready(started)


async def test_set_is_sent_in_several_messages_when_it_exceeds_the_message_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tanagerscale.declarations._follower.MAX_CONTENT_BYTES", 1)
    store = FakeStore()
    source = make_follower(store=store)
    target = make_follower(store=FakeStore(down=True), seed=2)
    accounts = [f"account-{number}" for number in range(1000)]
    async with _running(source):
        await apply(store=store, declarations=make_declarations(accounts=accounts))
        await asyncio.sleep(0.1)
        chunks = len(source.declarations.chunked.digests)
        assert chunks > 2
        for _ in range(20 * chunks):
            content = source.content_for_peer(have=target.head_revision)
            if content is None:
                break
            assert len(content.chunks) == 1
            await _send_content(source=source, target=target)
        assert target.declarations.digest == source.declarations.digest


HEADS = st.one_of(
    st.binary(max_size=60),
    st.just(b"[" * 5000),
    st.fixed_dictionaries(
        {
            "revision": st.one_of(st.integers(-1, 3), st.just(10**30), st.text(max_size=3)),
            "digest": st.text(max_size=3),
            "chunks": st.lists(st.sampled_from(["x", "", "y" * 30]), max_size=3),
            "author": st.just("a"),
            "apply_id": st.just("b"),
            "applied_wall_ms": st.just(1),
            "delta": st.one_of(
                st.none(),
                st.just({"put": {"engine e1": {"name": "other"}}, "removed": ["model plan"]}),
                st.just({"put": {"": {}, "objective": {"stall_weight": -1}}}),
            ),
        }
    ).map(msgspec.json.encode),
)
CHUNKS = st.dictionaries(
    st.sampled_from(["x", "y" * 30, ""]),
    st.one_of(st.text(max_size=20), st.just("{}"), st.just('{"engine e1":{"name":1}}')),
)


@random_case_settings(examples=150)
@given(head=HEADS, chunks=CHUNKS)
def test_arbitrary_offer_returns_and_changes_nothing(head: bytes, chunks: dict[str, str]) -> None:
    async def offer() -> None:
        store = FakeStore()
        follower = make_follower(store=store)
        await apply(store=store, declarations=make_declarations())
        valid_head = store.backend.entries[HEAD].value
        chunk = next(key for key in store.backend.entries if "/chunks/" in key)
        digest = chunk.rpartition("/")[2]
        intact = {digest: store.backend.entries[chunk].value.decode()}
        assert (await follower.offer_from_peer(head=valid_head, chunks=intact)).unwrap() == 1
        await follower.offer_from_peer(head=head, chunks=chunks)
        assert follower.head_revision == 1
        assert follower.declarations.chunked.sections() == encode_sections(
            declarations=make_declarations()
        )

    asyncio.run(offer())


async def test_peer_gets_all_chunks_when_it_has_none_and_no_chunks_when_one_revision_behind() -> (
    None
):
    store = FakeStore()
    follower = make_follower(store=store)
    async with _running(follower):
        for engines in (1, 2, 3):
            await apply(store=store, declarations=make_declarations(engines=engines))
            await asyncio.sleep(0.1)
        complete = follower.content_for_peer(have=Revision(0))
        one_behind = follower.content_for_peer(have=Revision(2))
        assert complete is not None
        assert len(complete.chunks) == 1
        assert one_behind is not None
        assert one_behind.chunks == {}
        assert follower.content_for_peer(have=Revision(3)) is None
