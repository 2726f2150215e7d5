"""Puts accepted revisions in force on a host."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from random import Random
from typing import final

from reactivex.subject import BehaviorSubject
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import Clock
from tanagerscale.core import Revision
from tanagerscale.core import get_logger
from tanagerscale.declarations._chunks import ChunkedSections
from tanagerscale.declarations._chunks import ChunkError
from tanagerscale.declarations._chunks import compute_digest
from tanagerscale.declarations._declarations import Declarations
from tanagerscale.declarations._errors import FollowError
from tanagerscale.declarations._errors import FollowErrorKind
from tanagerscale.declarations._fetch import read_chunks
from tanagerscale.declarations._head import decode_head
from tanagerscale.declarations._keys import head_key
from tanagerscale.declarations._sections import DECODE_ERRORS
from tanagerscale.generated.messages import HeadContent
from tanagerscale.generated.records import Head
from tanagerscale.membership import NOT_PACKED
from tanagerscale.store import Store
from tanagerscale.store import StoreError
from tanagerscale.store import StoreErrorKind
from tanagerscale.store import StoreRevision

POLL_INTERVAL_MS = 5_000
MIN_BACKOFF_MS = 200
MAX_BACKOFF_MS = 5_000
MAX_CACHED_HEADS = 64
# Peer messages are limited to four megabytes, and a set may be larger.
MAX_CONTENT_BYTES = 2 * 1024 * 1024
MAX_OFFERED_CHUNKS_BYTES = 16 * 1024 * 1024

_ReadChunks = Callable[[Sequence[str]], Awaitable[Result[Mapping[str, bytes], FollowError]]]

log = get_logger(part="declarations")


@final
class Follower:
    """Follows the accepted declarations and puts each higher revision in force atomically.

    :param store: Client of the store.
    :param prefix: Prefix of all store keys of the installation.
    :param clock: Clock used for polling and backoff.
    :param random: Random number generator used to jitter delays and to select chunks for peers.
    """

    def __init__(self, *, store: Store, prefix: str, clock: Clock, random: Random) -> None:
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._random = random
        self._in_force = BehaviorSubject(Declarations.empty())
        self._ready = BehaviorSubject(False)
        self._head_json = b""
        self._heads: OrderedDict[int, tuple[str, ...]] = OrderedDict()
        self._offered: dict[str, bytes] = {}
        self._last_error: FollowError | None = None

    @property
    def in_force(self) -> BehaviorSubject[Declarations]:
        """Observable declarations in force; revision 0 until a revision is put in force."""
        return self._in_force

    @property
    def ready(self) -> BehaviorSubject[bool]:
        """Whether the accepted revision has been put in force since the start; never reset."""
        return self._ready

    @property
    def head_revision(self) -> Revision:
        """The revision in force."""
        return self.declarations.revision

    @property
    def head_json(self) -> bytes:
        """Encoded head record of the revision in force, as in the store; empty for revision 0."""
        return self._head_json

    @property
    def declarations(self) -> Declarations:
        """The declarations in force."""
        return self._in_force.value

    @property
    def last_error(self) -> FollowError | None:
        """Error of the last attempt to put a revision in force; ``None`` if it succeeded."""
        return self._last_error

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_forever())
            tasks.create_task(self._poll_forever())

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, FollowError]:
        """Put a peer's revision in force on this host if it is higher.

        :param head: Encoded head record of the peer, as in the store.
        :param chunks: Content of chunks by digest.
        :param packed_after: Unused, because only the chunks that differ are sent.
        :returns: The revision in force on this host afterwards. After an error, request the content
            again with ``have_revision`` 0 until the chunks of several messages complete the set.
        """
        offered = self._store_offered_chunks(chunks=chunks)

        async def read(digests: Sequence[str]) -> Result[Mapping[str, bytes], FollowError]:
            missing = [digest for digest in digests if digest not in offered]
            fetched = await self._read_from_store(missing) if missing else Success({})
            return fetched.map(lambda found: {**offered, **found})

        return await self._handle_head(head_json=head, read=read)

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return the content that a peer needs to put this host's revision in force.

        :param have: Revision that the peer has in force; 0 requests all chunks.
        :returns: The head and the chunks that the peer lacks, or some of them if they exceed the
            size of one message; ``None`` if the peer's revision is not lower.
        """
        current = self.declarations
        if current.revision <= have:
            return None
        chunked = current.chunked
        peer_digests = self._heads.get(have, ())
        same_count = len(peer_digests) == len(chunked.digests)
        missing = set(chunked.digests) - (set(peer_digests) if same_count else set())
        if have > 0 and have == current.revision - 1 and self._has_delta():
            missing = set()
        contents = self._select_chunks(digests=sorted(missing))
        return HeadContent(head=self._head_json.decode(), chunks=contents)

    def _select_chunks(self, *, digests: list[str]) -> dict[str, str]:
        """Return a random selection of chunks that fits into one message."""
        self._random.shuffle(digests)
        contents: dict[str, str] = {}
        size = 0
        for digest in digests:
            content = self.declarations.chunked.chunk(digest=digest).decode()
            size += len(content)
            if contents and size > MAX_CONTENT_BYTES:
                break
            contents[digest] = content
        return contents

    def _store_offered_chunks(self, *, chunks: Mapping[str, str]) -> Mapping[str, bytes]:
        """Store intact chunks until a revision is in force; return stored and offered ones."""
        offered = {digest: content.encode() for digest, content in chunks.items()}
        self._offered.update(
            {
                digest: content
                for digest, content in offered.items()
                if compute_digest(content) == digest
            }
        )
        if sum(map(len, self._offered.values())) > MAX_OFFERED_CHUNKS_BYTES:
            self._offered.clear()
        return {**self._offered, **offered}

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Become ready while the store is down if no live peer has a higher revision.

        :param revisions: Revisions in force on all live and reachable peers; if empty, the host
            doesn't become ready.
        """
        newest = max(revisions, default=None)
        if newest is not None and 0 < newest <= self.head_revision:
            self._mark_ready(source="peers")

    async def _watch_forever(self) -> None:
        backoff_ms = MIN_BACKOFF_MS
        while True:
            read = await self._read_head()
            if isinstance(read, Success):
                from_revision = StoreRevision(read.unwrap() + 1)
                if await self._watch(from_revision=from_revision):
                    backoff_ms = MIN_BACKOFF_MS
            await self._clock.sleep(self._add_jitter(backoff_ms))
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)

    async def _watch(self, *, from_revision: StoreRevision) -> bool:
        """Watch the head until the watch fails; return whether it delivered any events."""
        delivered = False
        key = head_key(prefix=self._prefix)
        async for result in self._store.watch(prefix=key, from_revision=from_revision):
            if isinstance(result, Failure):
                # Idle and broken watches both end here; the read that follows distinguishes them.
                log.debug("The watch of the head record ended.", cause=result.failure().detail)
                break
            delivered = True
            for entry in result.unwrap().entries:
                if entry.key == key:
                    await self._handle_stored_head(head_json=entry.value)
        return delivered

    async def _poll_forever(self) -> None:
        """Poll the head, because watches may stall and chunks may become readable later."""
        while True:
            await self._clock.sleep(self._add_jitter(POLL_INTERVAL_MS))
            await self._read_head()

    async def _read_head(self) -> Result[StoreRevision, StoreError]:
        """Read the head and put it in force; return the store revision of the read."""
        key = head_key(prefix=self._prefix)
        # A range read also returns the current store revision, from which the watch can start
        # without events lost to compaction.
        result = await self._store.list(prefix=key)
        if isinstance(result, Failure):
            self._report_store_error(error=result.failure())
            return Failure(result.failure())
        for entry in result.unwrap().entries:
            if entry.key == key:
                await self._handle_stored_head(head_json=entry.value)
        return Success(result.unwrap().revision)

    async def _handle_stored_head(self, *, head_json: bytes) -> None:
        handled = await self._handle_head(head_json=head_json, read=self._read_from_store)
        if isinstance(handled, Success):
            self._mark_ready(source="store")

    async def _handle_head(
        self, *, head_json: bytes, read: _ReadChunks
    ) -> Result[Revision, FollowError]:
        result = await self._verify(head_json=head_json, read=read)
        if isinstance(result, Failure):
            self._report_error(error=result.failure())
            return Failure(result.failure())
        self._last_error = None
        candidate = result.unwrap()
        # A higher revision may have been put in force while the chunks were read.
        if candidate is not None and candidate.revision > self.head_revision:
            self._put_in_force(declarations=candidate, head_json=head_json)
        return Success(self.head_revision)

    async def _verify(
        self, *, head_json: bytes, read: _ReadChunks
    ) -> Result[Declarations | None, FollowError]:
        decoded = decode_head(value=head_json)
        if isinstance(decoded, Failure):
            return Failure(decoded.failure())
        head = decoded.unwrap()
        current = self.declarations
        if head.revision == current.revision and head.digest != current.digest:
            return Failure(_build_conflict_error(head=head))
        if head.revision <= current.revision:
            return Success(None)
        from_delta = _apply_delta(head=head, current=current)
        if from_delta is not None:
            return Success(from_delta)
        chunks = await read(current.chunked.find_missing(digests=head.chunks))
        if isinstance(chunks, Failure):
            return Failure(chunks.failure())
        return _assemble(head=head, chunks=chunks.unwrap(), current=current)

    async def _read_from_store(
        self, digests: Sequence[str]
    ) -> Result[Mapping[str, bytes], FollowError]:
        read = await read_chunks(store=self._store, prefix=self._prefix, digests=digests)
        return read.alt(_to_follow_error)

    def _put_in_force(self, *, declarations: Declarations, head_json: bytes) -> None:
        self._head_json = head_json
        self._offered.clear()
        self._heads[declarations.revision] = declarations.chunked.digests
        if len(self._heads) > MAX_CACHED_HEADS:
            self._heads.popitem(last=False)
        log.info("A revision is in force.", revision=declarations.revision)
        self._in_force.on_next(declarations)

    def _has_delta(self) -> bool:
        head = decode_head(value=self._head_json)
        return isinstance(head, Success) and head.unwrap().delta is not None

    def _mark_ready(self, *, source: str) -> None:
        if not self._ready.value and self.head_revision > 0:
            log.info("The accepted declarations are in force; the host is ready.", source=source)
            self._ready.on_next(True)

    def _report_store_error(self, *, error: StoreError) -> None:
        if error.kind is not StoreErrorKind.COMPACTED:
            self._report_error(error=_to_follow_error(error))

    def _report_error(self, *, error: FollowError) -> None:
        # A repeated error is logged only once during an outage.
        if error != self._last_error:
            log.warning(error.detail, kind=error.kind.value, revision=error.revision)
        self._last_error = error

    def _add_jitter(self, duration_ms: int) -> int:
        return int(duration_ms * self._random.uniform(0.5, 1.0))


def _apply_delta(*, head: Head, current: Declarations) -> Declarations | None:
    """Apply the head's inline delta; return ``None`` if it is missing or doesn't match the head."""
    chunked = current.chunked
    is_next_revision = head.revision == current.revision + 1 and len(head.chunks) == len(
        chunked.digests
    )
    if head.delta is None or not is_next_revision:
        return None
    updated = chunked.with_delta(delta=head.delta)
    if list(updated.digests) != head.chunks or updated.digest != head.digest:
        return None
    try:
        return current.with_delta(
            revision=Revision(head.revision), chunked=updated, delta=head.delta
        )
    except DECODE_ERRORS:
        return None


def _assemble(
    *, head: Head, chunks: Mapping[str, bytes], current: Declarations
) -> Result[Declarations | None, FollowError]:
    revision = Revision(head.revision)
    try:
        chunked = ChunkedSections.decode(
            digests=head.chunks, chunks=chunks, current=current.chunked
        )
    except KeyError:
        detail = "A chunk is missing; if retries don't find it, apply the declarations again."
        kind = FollowErrorKind.CHUNK_MISSING
        return Failure(FollowError(kind=kind, detail=detail, revision=revision))
    except ChunkError:
        detail = (
            "A chunk is corrupt; if retries don't read it intact, apply the declarations again."
        )
        kind = FollowErrorKind.CHUNK_CORRUPT
        return Failure(FollowError(kind=kind, detail=detail, revision=revision))
    if chunked.digest != head.digest:
        detail = "The head's digest doesn't match its chunks; apply the declarations again."
        kind = FollowErrorKind.BAD_HEAD
        return Failure(FollowError(kind=kind, detail=detail, revision=revision))
    try:
        return Success(Declarations(revision=revision, chunked=chunked))
    except DECODE_ERRORS as error:
        detail = f"A section doesn't match the schema of this version ({error}); update this host."
        kind = FollowErrorKind.BAD_SECTION
        return Failure(FollowError(kind=kind, detail=detail, revision=revision))


def _build_conflict_error(*, head: Head) -> FollowError:
    return FollowError(
        kind=FollowErrorKind.CONFLICTING_HEAD,
        detail=(
            "The store or a peer has different declarations under the revision in force on this "
            "host; if the store was restored, apply the files until its revision is higher."
        ),
        revision=Revision(head.revision),
    )


def _to_follow_error(error: StoreError) -> FollowError:
    return FollowError(
        kind=FollowErrorKind.STORE_FAILED,
        detail=(
            "The store failed; the revision in force is kept and peers can still send newer ones: "
            f"{error.detail}"
        ),
    )
