"""What each host runs to put accepted revisions in force."""

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
from tanagerscale.declarations._chunks import digest_of
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

REREAD_MS = 5_000
FIRST_BACKOFF_MS = 200
MAX_BACKOFF_MS = 5_000
HEADS_REMEMBERED = 64
# Peers' messages have a limit of four megabytes, and a set may be larger.
MAX_CONTENT_BYTES = 2 * 1024 * 1024
MAX_OFFERED_BYTES = 16 * 1024 * 1024

_ReadChunks = Callable[[Sequence[str]], Awaitable[Result[Mapping[str, bytes], FollowError]]]

log = get_logger(part="declarations")


@final
class Follower:
    """Puts accepted revisions in force on one host: only higher ones, each as a whole.

    :param store: The platform's key-value service.
    :param prefix: What all keys of the installation start with.
    :param clock: The host's clock.
    :param random: Spreads the hosts' reads over time.
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
        """The declarations in force; revision 0 before the first ones."""
        return self._in_force

    @property
    def ready(self) -> BehaviorSubject[bool]:
        """Whether the host knows what is accepted and has it in force; it stays true."""
        return self._ready

    @property
    def head_revision(self) -> Revision:
        """The revision in force."""
        return self.declarations.revision

    @property
    def head_json(self) -> bytes:
        """The head record in force, as it stands in the store; empty before the first one."""
        return self._head_json

    @property
    def declarations(self) -> Declarations:
        """The declarations in force."""
        return self._in_force.value

    @property
    def last_error(self) -> FollowError | None:
        """Why the newest revision known isn't in force, or ``None``."""
        return self._last_error

    async def run(self) -> None:
        """Follow the store until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._watch_forever())
            tasks.create_task(self._reread_forever())

    async def offer_from_peer(
        self, *, head: bytes, chunks: Mapping[str, str], packed_after: int = NOT_PACKED
    ) -> Result[Revision, FollowError]:
        """Take in what a peer has in force.

        :param head: Its head record, as it stands in the store.
        :param chunks: Content of chunks by digest.
        :param packed_after: Not used; of a set's sections only those that differ are sent.
        :returns: The revision in force here afterwards. After a failure ask the peer again with
            ``have_revision`` 0, until the chunks of several messages make a whole.
        """
        offered = self._keep_sound(chunks=chunks)

        async def read(digests: Sequence[str]) -> Result[Mapping[str, bytes], FollowError]:
            lacking = [digest for digest in digests if digest not in offered]
            fetched = await self._read_from_store(lacking) if lacking else Success({})
            return fetched.map(lambda found: {**offered, **found})

        return await self._adopt(head_json=head, read=read)

    def content_for_peer(self, *, have: Revision) -> HeadContent | None:
        """Return what a peer needs to put our revision in force.

        :param have: The revision that the peer has; 0 makes it be sent all chunks.
        :returns: The head and the chunks that the peer lacks, some of them when they are too many
            for one message; ``None`` when it lacks nothing.
        """
        present = self.declarations
        if present.revision <= have:
            return None
        chunked = present.chunked
        known = self._heads.get(have, ())
        same_count = len(known) == len(chunked.digests)
        lacking = set(chunked.digests) - (set(known) if same_count else set())
        if have > 0 and have == present.revision - 1 and self._has_delta():
            lacking = set()
        contents = self._some_chunks(digests=sorted(lacking))
        return HeadContent(head=self._head_json.decode(), chunks=contents)

    def _some_chunks(self, *, digests: list[str]) -> dict[str, str]:
        """Return as many chunks as fit one message, chosen anew each time."""
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

    def _keep_sound(self, *, chunks: Mapping[str, str]) -> Mapping[str, bytes]:
        """Keep offered chunks until a revision is in force, and return all that are kept."""
        offered = {digest: content.encode() for digest, content in chunks.items()}
        self._offered.update(
            {digest: content for digest, content in offered.items() if digest_of(content) == digest}
        )
        if sum(map(len, self._offered.values())) > MAX_OFFERED_BYTES:
            self._offered.clear()
        return {**self._offered, **offered}

    def peers_agree(self, *, revisions: Iterable[Revision]) -> None:
        """Become ready on the word of every reachable live peer, when the store is down.

        :param revisions: The revision in force at each of them; none of them is left out.
        """
        newest = max(revisions, default=None)
        if newest is not None and 0 < newest <= self.head_revision:
            self._become_ready(source="peers")

    async def _watch_forever(self) -> None:
        backoff_ms = FIRST_BACKOFF_MS
        while True:
            read = await self._read_head()
            if isinstance(read, Success):
                from_revision = StoreRevision(read.unwrap() + 1)
                if await self._watch(from_revision=from_revision):
                    backoff_ms = FIRST_BACKOFF_MS
            await self._clock.sleep(self._jittered(backoff_ms))
            backoff_ms = min(2 * backoff_ms, MAX_BACKOFF_MS)

    async def _watch(self, *, from_revision: StoreRevision) -> bool:
        """Follow the head until the watch fails; return whether it ever delivered."""
        delivered = False
        key = head_key(prefix=self._prefix)
        async for result in self._store.watch(prefix=key, from_revision=from_revision):
            if isinstance(result, Failure):
                # A quiet watch ends like a broken one; the reading that follows tells them apart.
                log.debug("The watch ended.", cause=result.failure().detail)
                break
            delivered = True
            for entry in result.unwrap().entries:
                if entry.key == key:
                    await self._take_from_store(head_json=entry.value)
        return delivered

    async def _reread_forever(self) -> None:
        """Read the head now and then, for watches may stall and chunks be late."""
        while True:
            await self._clock.sleep(self._jittered(REREAD_MS))
            await self._read_head()

    async def _read_head(self) -> Result[StoreRevision, StoreError]:
        """Read the head and put it in force; return the store revision of the reading."""
        key = head_key(prefix=self._prefix)
        # A range tells the store's revision, from which a watch loses nothing to compaction.
        result = await self._store.list(prefix=key)
        if isinstance(result, Failure):
            self._report_store(error=result.failure())
            return Failure(result.failure())
        for entry in result.unwrap().entries:
            if entry.key == key:
                await self._take_from_store(head_json=entry.value)
        return Success(result.unwrap().revision)

    async def _take_from_store(self, *, head_json: bytes) -> None:
        adopted = await self._adopt(head_json=head_json, read=self._read_from_store)
        if isinstance(adopted, Success):
            self._become_ready(source="store")

    async def _adopt(self, *, head_json: bytes, read: _ReadChunks) -> Result[Revision, FollowError]:
        result = await self._verify(head_json=head_json, read=read)
        if isinstance(result, Failure):
            self._report(error=result.failure())
            return Failure(result.failure())
        self._last_error = None
        candidate = result.unwrap()
        # While chunks were read, a higher revision may have come in another way.
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
        present = self.declarations
        if head.revision == present.revision and head.digest != present.digest:
            return Failure(_conflicting(head=head))
        if head.revision <= present.revision:
            return Success(None)
        from_delta = _apply_delta(head=head, present=present)
        if from_delta is not None:
            return Success(from_delta)
        chunks = await read(present.chunked.lacks(digests=head.chunks))
        if isinstance(chunks, Failure):
            return Failure(chunks.failure())
        return _assemble(head=head, chunks=chunks.unwrap(), present=present)

    async def _read_from_store(
        self, digests: Sequence[str]
    ) -> Result[Mapping[str, bytes], FollowError]:
        read = await read_chunks(store=self._store, prefix=self._prefix, digests=digests)
        return read.alt(_follow_error)

    def _put_in_force(self, *, declarations: Declarations, head_json: bytes) -> None:
        self._head_json = head_json
        self._offered.clear()
        self._heads[declarations.revision] = declarations.chunked.digests
        if len(self._heads) > HEADS_REMEMBERED:
            self._heads.popitem(last=False)
        log.info("A revision is in force.", revision=declarations.revision)
        self._in_force.on_next(declarations)

    def _has_delta(self) -> bool:
        head = decode_head(value=self._head_json)
        return isinstance(head, Success) and head.unwrap().delta is not None

    def _become_ready(self, *, source: str) -> None:
        if not self._ready.value and self.head_revision > 0:
            log.info("The accepted declarations are known.", source=source)
            self._ready.on_next(True)

    def _report_store(self, *, error: StoreError) -> None:
        if error.kind is not StoreErrorKind.COMPACTED:
            self._report(error=_follow_error(error))

    def _report(self, *, error: FollowError) -> None:
        # A long outage is logged once, not at each try.
        if error != self._last_error:
            log.warning(error.detail, kind=error.kind.value, revision=error.revision)
        self._last_error = error

    def _jittered(self, duration_ms: int) -> int:
        return int(duration_ms * self._random.uniform(0.5, 1.0))


def _apply_delta(*, head: Head, present: Declarations) -> Declarations | None:
    """Return the next revision when the head's delta leads to it, or ``None``."""
    chunked = present.chunked
    follows = head.revision == present.revision + 1 and len(head.chunks) == len(chunked.digests)
    if head.delta is None or not follows:
        return None
    updated = chunked.with_delta(delta=head.delta)
    if list(updated.digests) != head.chunks or updated.digest != head.digest:
        return None
    try:
        return present.with_delta(
            revision=Revision(head.revision), chunked=updated, delta=head.delta
        )
    except DECODE_ERRORS:
        return None


def _assemble(
    *, head: Head, chunks: Mapping[str, bytes], present: Declarations
) -> Result[Declarations | None, FollowError]:
    revision = Revision(head.revision)
    try:
        chunked = ChunkedSections.decode(
            digests=head.chunks, chunks=chunks, present=present.chunked
        )
    except KeyError:
        detail = "A chunk is missing; it is read again, or apply the declarations once more."
        kind = FollowErrorKind.CHUNK_MISSING
        return Failure(FollowError(kind=kind, detail=detail, revision=revision))
    except ChunkError:
        detail = "A chunk is corrupt; it is read again, or apply the declarations once more."
        kind = FollowErrorKind.CHUNK_CORRUPT
        return Failure(FollowError(kind=kind, detail=detail, revision=revision))
    if chunked.digest != head.digest:
        detail = "The head's digest isn't that of its chunks; apply the declarations again."
        kind = FollowErrorKind.BAD_HEAD
        return Failure(FollowError(kind=kind, detail=detail, revision=revision))
    try:
        return Success(Declarations(revision=revision, chunked=chunked))
    except DECODE_ERRORS as error:
        detail = f"A section doesn't fit this version's schema ({error}); update this host."
        kind = FollowErrorKind.BAD_SECTION
        return Failure(FollowError(kind=kind, detail=detail, revision=revision))


def _conflicting(*, head: Head) -> FollowError:
    return FollowError(
        kind=FollowErrorKind.CONFLICTING_HEAD,
        detail=(
            "The store or a peer holds other declarations under the revision that is in force "
            "here; if the store was restored, apply the files until its revision is higher."
        ),
        revision=Revision(head.revision),
    )


def _follow_error(error: StoreError) -> FollowError:
    return FollowError(
        kind=FollowErrorKind.STORE_FAILED,
        detail=f"The store failed; the revision in force stays, peers carry on: {error.detail}",
    )
