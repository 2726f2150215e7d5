"""Hosts following what is accepted, through the failures of the store."""

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
from tanagerscale.declarations import to_sections
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRevision
from testing._declared import PREFIX
from testing._declared import apply
from testing._declared import declare
from testing._declared import follow
from testing._fake_store import FakeStore
from testing._random_cases import cases

pytestmark = pytest.mark.looptime

BACKSTOP_S = 6
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


async def _carry(*, source: Follower, target: Follower) -> None:
    content = source.content_for_peer(have=target.head_revision)
    if content is not None:
        await target.offer_from_peer(head=content.head.encode(), chunks=content.chunks)


def _is_ready(follower: Follower) -> bool:
    return follower.ready.value


async def test_revision_is_in_force_at_once_when_the_watch_works() -> None:
    store = FakeStore()
    follower = follow(store=store)
    async with _running(follower):
        ready_before = follower.ready.value
        for revision, engines in enumerate((1, 2, 3), start=1):
            await apply(store=store, declarations=declare(engines=engines))
            await asyncio.sleep(0.3)
            assert follower.head_revision == revision
            assert len(follower.declarations.engines) == engines
        assert (ready_before, follower.ready.value) == (False, True)


async def test_host_reads_only_the_head_when_the_delta_is_inline() -> None:
    store = FakeStore()
    host = FakeStore(backend=store.backend)
    follower = follow(store=host)
    await apply(store=store, declarations=declare())
    async with _running(follower):
        reads = host.calls.reads
        await apply(store=store, declarations=declare(engines=2), expected=1)
        await asyncio.sleep(0.1)
        assert follower.head_revision == 2
        assert host.calls.reads == reads


async def test_revision_is_in_force_when_watches_stall() -> None:
    store = FakeStore()
    host = FakeStore(backend=store.backend, watch_stalled=True)
    follower = follow(store=host)
    async with _running(follower):
        await apply(store=store, declarations=declare())
        await asyncio.sleep(BACKSTOP_S)
        assert follower.head_revision == 1


async def test_revision_is_in_force_when_the_history_was_compacted() -> None:
    store = FakeStore()
    host = FakeStore(backend=store.backend)
    follower = follow(store=host)
    async with _running(follower):
        host.set_down(True)
        await asyncio.sleep(1)
        await apply(store=store, declarations=declare())
        await apply(store=store, declarations=declare(engines=2), expected=1)
        store.backend.compact()
        host.set_down(False)
        await asyncio.sleep(BACKSTOP_S)
        assert follower.head_revision == 2
        await apply(store=store, declarations=declare(engines=3), expected=2)
        await asyncio.sleep(0.1)
        assert follower.head_revision == 3


async def test_peers_carry_a_revision_when_the_store_goes_down_right_after() -> None:
    store = FakeStore()
    reached = FakeStore(backend=store.backend)
    cut_off = FakeStore(backend=store.backend)
    near, far = follow(store=reached), follow(store=cut_off)
    async with _running(near, far):
        await apply(store=store, declarations=declare())
        await asyncio.sleep(0.1)
        cut_off.set_down(True)
        await apply(store=store, declarations=declare(engines=2), expected=1)
        await asyncio.sleep(0.1)
        reached.set_down(True)
        assert (near.head_revision, far.head_revision) == (2, 1)
        await _carry(source=near, target=far)
        assert far.head_revision == 2
        assert far.declarations.digest == near.declarations.digest


async def test_starting_host_is_ready_only_with_its_peers_when_the_store_is_down() -> None:
    store = FakeStore()
    old = follow(store=store)
    await apply(store=store, declarations=declare(engines=3))
    async with _running(old):
        started = follow(store=FakeStore(backend=store.backend, down=True))
        async with _running(started):
            started.peers_agree(revisions=[old.head_revision])
            assert not _is_ready(started)
            started.peers_agree(revisions=[])
            assert not _is_ready(started)
            await _carry(source=old, target=started)
            assert not _is_ready(started)
            started.peers_agree(revisions=[old.head_revision])
            assert _is_ready(started)
            assert len(started.declarations.engines) == 3


@pytest.mark.parametrize("damage", ["missing", "corrupt", "foreign"])
async def test_old_revision_stays_when_a_chunk_is_damaged_and_the_new_one_comes_when_mended(
    damage: str,
) -> None:
    store = FakeStore()
    host = FakeStore(backend=store.backend)
    follower = follow(store=host)
    async with _running(follower):
        await apply(store=store, declarations=declare())
        await asyncio.sleep(0.1)
        host.set_down(True)
        await apply(store=store, declarations=declare(engines=2), expected=1)
        await apply(store=store, declarations=declare(engines=3), expected=2)
        [chunk] = [key for key in store.backend.entries if "/chunks/" in key]
        sound = store.backend.entries[chunk]
        _damage(store=store, key=chunk, damage=damage)
        host.set_down(False)
        await asyncio.sleep(BACKSTOP_S)
        assert follower.head_revision == 1
        assert follower.last_error is not None
        expected = (
            FollowErrorKind.CHUNK_MISSING if damage == "missing" else FollowErrorKind.CHUNK_CORRUPT
        )
        assert follower.last_error.kind is expected
        store.backend.entries[chunk] = sound
        await asyncio.sleep(BACKSTOP_S)
        assert follower.head_revision == 3
        assert follower.last_error is None


def _damage(*, store: FakeStore, key: str, damage: str) -> None:
    if damage == "missing":
        store.backend.lose_key(key=key)
    else:
        content = b'{"engine e9":{}}' if damage == "foreign" else b"\xff"
        store.backend.corrupt(key=key, value=content)


async def test_lower_or_altered_revision_is_not_taken_when_the_store_was_restored() -> None:
    store = FakeStore()
    follower = follow(store=store)
    async with _running(follower):
        await apply(store=store, declarations=declare())
        old_head = store.backend.entries[HEAD].value
        await apply(store=store, declarations=declare(engines=2), expected=1)
        await asyncio.sleep(0.1)
        digest = follower.declarations.digest
        store.backend.corrupt(key=HEAD, value=old_head)
        await asyncio.sleep(BACKSTOP_S)
        assert (follower.head_revision, follower.declarations.digest) == (2, digest)
        await apply(store=store, declarations=declare(engines=4), apply_id="after", expected=1)
        await asyncio.sleep(BACKSTOP_S)
        assert (follower.head_revision, follower.declarations.digest) == (2, digest)
        assert follower.last_error is None or (
            follower.last_error.kind is FollowErrorKind.CONFLICTING_HEAD
        )


async def test_late_offer_of_a_lower_revision_changes_nothing() -> None:
    store = FakeStore()
    source, target = follow(store=store), follow(store=FakeStore(down=True))
    async with _running(source):
        await apply(store=store, declarations=declare(engines=1))
        await asyncio.sleep(0.1)
        old = source.content_for_peer(have=Revision(0))
        await apply(store=store, declarations=declare(engines=2), expected=1)
        await asyncio.sleep(0.1)
        await _carry(source=source, target=target)
        assert old is not None
        result = await target.offer_from_peer(head=old.head.encode(), chunks=old.chunks)
        assert result.unwrap() == 2
        assert len(target.declarations.engines) == 2


async def test_slow_reading_of_a_lower_revision_does_not_undo_a_higher_one() -> None:
    store = FakeStore()
    source = follow(store=store)
    target = follow(store=FakeStore(backend=store.backend, latency_ms=500))
    async with _running(source):
        await apply(store=store, declarations=declare(engines=1))
        await asyncio.sleep(0.1)
        lower = source.content_for_peer(have=Revision(0))
        assert lower is not None
        # Without its chunks, which the target therefore reads from the store.
        reading = asyncio.create_task(target.offer_from_peer(head=lower.head.encode(), chunks={}))
        await asyncio.sleep(0.1)
        await apply(store=store, declarations=declare(engines=2, max_batch=9), expected=1)
        store.backend.entries.update(_kept_chunks(lower.chunks))
        await asyncio.sleep(0.1)
        await _carry(source=source, target=target)
        assert target.head_revision == 2
        assert (await reading).unwrap() == 2
        assert len(target.declarations.engines) == 2


def _kept_chunks(chunks: dict[str, str]) -> dict[str, StoreEntry]:
    """Return chunks as if they had not been deleted yet."""
    return {
        f"{PREFIX}/declarations/chunks/{digest}": StoreEntry(
            key=f"{PREFIX}/declarations/chunks/{digest}",
            value=content.encode(),
            create_revision=StoreRevision(1),
            mod_revision=StoreRevision(1),
        )
        for digest, content in chunks.items()
    }


async def test_starting_host_waits_for_the_newest_of_its_peers() -> None:
    store = FakeStore()
    near = follow(store=store)
    started = follow(store=FakeStore(down=True))
    async with _running(near):
        await apply(store=store, declarations=declare())
        await asyncio.sleep(0.1)
        await _carry(source=near, target=started)
        started.peers_agree(revisions=[Revision(1), Revision(2)])
        assert not _is_ready(started)
        started.peers_agree(revisions=[Revision(1), Revision(1)])
        assert _is_ready(started)


async def test_set_comes_in_several_messages_when_it_is_too_large_for_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("tanagerscale.declarations._follower.MAX_CONTENT_BYTES", 1)
    store = FakeStore()
    source = follow(store=store)
    target = follow(store=FakeStore(down=True), seed=2)
    accounts = [f"account-{number}" for number in range(1000)]
    async with _running(source):
        await apply(store=store, declarations=declare(accounts=accounts))
        await asyncio.sleep(0.1)
        chunks = len(source.declarations.chunked.digests)
        assert chunks > 2
        for _ in range(20 * chunks):
            content = source.content_for_peer(have=target.head_revision)
            if content is None:
                break
            assert len(content.chunks) == 1
            await _carry(source=source, target=target)
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


@cases(examples=150)
@given(head=HEADS, chunks=CHUNKS)
def test_offer_of_anything_gets_an_answer_and_changes_nothing(
    head: bytes, chunks: dict[str, str]
) -> None:
    async def offer() -> None:
        store = FakeStore()
        follower = follow(store=store)
        await apply(store=store, declarations=declare())
        good = store.backend.entries[HEAD].value
        chunk = next(key for key in store.backend.entries if "/chunks/" in key)
        digest = chunk.rpartition("/")[2]
        sound = {digest: store.backend.entries[chunk].value.decode()}
        assert (await follower.offer_from_peer(head=good, chunks=sound)).unwrap() == 1
        await follower.offer_from_peer(head=head, chunks=chunks)
        assert follower.head_revision == 1
        assert follower.declarations.chunked.sections() == to_sections(declarations=declare())

    asyncio.run(offer())


async def test_peer_gets_all_chunks_when_it_has_nothing_and_few_when_it_is_near() -> None:
    store = FakeStore()
    follower = follow(store=store)
    async with _running(follower):
        for engines in (1, 2, 3):
            await apply(store=store, declarations=declare(engines=engines))
            await asyncio.sleep(0.1)
        complete = follower.content_for_peer(have=Revision(0))
        near = follower.content_for_peer(have=Revision(2))
        assert complete is not None
        assert len(complete.chunks) == 1
        assert near is not None
        assert near.chunks == {}
        assert follower.content_for_peer(have=Revision(3)) is None
