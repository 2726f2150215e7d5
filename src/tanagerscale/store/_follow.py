"""Follower of all keys under a prefix that recovers from outages and compaction."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final
from typing import Protocol
from typing import final

from returns.result import Failure
from returns.result import Result

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.core import run_contained
from tanagerscale.store._protocol import PolledStore
from tanagerscale.store._protocol import StoreError
from tanagerscale.store._protocol import StoreErrorKind
from tanagerscale.store._protocol import StoreRange
from tanagerscale.store._protocol import WatchBatch
from tanagerscale.store._revision import StoreRevision
from tanagerscale.store._state import StoreState

BASE_BACKOFF_MS: Final = 100
MAX_BACKOFF_MS: Final = 800
"""Backoff between attempts to reach a failing store. A configuration must be in force within two
seconds of the store's recovery, so the maximum backoff with jitter must be well below that."""

BACKOFF_JITTER: Final = (0.5, 1.5)

NO_WAIT_MS: Final = 1
"""Wait of a watch that is answered at once, also without changes."""

MIN_REREAD_INTERVAL_MS: Final = 10_000
"""Minimum time between two reads of all keys because the listener failed to take some of them. A
read of 12,000 engines takes 24 calls."""

_log = get_logger(part="store")


class PrefixListener(Protocol):
    """Receives the state of a prefix and its changes."""

    def on_snapshot(self, snapshot: StoreRange) -> None:
        """Replace the complete state, because changes may have been missed."""

    def on_changes(self, batch: WatchBatch) -> None:
        """Apply a batch of changes."""

    def on_store_state(self, state: StoreState) -> None:
        """Handle the loss or the return of the store, or that it is not followed any more."""


@final
class PrefixFollower:
    """Reads all keys under a prefix and then watches them until cancelled.

    A watch that ends without an answer is lost, which says nothing about the store: a call that the
    store answers at once fetches what has been missed. Only if that call fails as well is the store
    lost. Then all keys are read again, which detects immediately that the store is back. They are
    also read again if the listener failed to take some of them.

    :param store: Store to follow.
    :param prefix: Prefix of the keys.
    :param listener: Receives the snapshots and changes.
    :param clock: Clock used for delays and to measure outages.
    :param rng: Random number generator used to jitter the backoff.
    :param wait_ms: How long a watch waits for changes, in milliseconds. A lost watch is noticed
        ``WATCH_MARGIN_MS`` after that.
    :param change_delay_ms: Returns the delay in milliseconds after each change before the watch
        continues, so that changes in quick succession are delivered in one batch.
    :param on_lost_watch: Called with the prefix each time a watch ends without an answer.
    """

    def __init__(
        self,
        *,
        store: PolledStore,
        prefix: str,
        listener: PrefixListener,
        clock: Clock,
        rng: Random,
        wait_ms: int,
        change_delay_ms: Callable[[], int] = lambda: 0,
        on_lost_watch: Callable[[str], None] = lambda _prefix: None,
    ) -> None:
        self._store = store
        self._wait_ms = wait_ms
        self._on_lost_watch = on_lost_watch
        self._change_delay_ms = change_delay_ms
        self._prefix = prefix
        self._listener = listener
        self._clock = clock
        self._rng = rng
        self._revision: StoreRevision | None = None
        self._failures = 0
        self._state = StoreState.UNKNOWN
        self._unreachable_since = Millis(0)
        self._read_at = Millis(0)
        self._is_listener_behind = False

    @property
    def prefix(self) -> str:
        """Prefix of the keys."""
        return self._prefix

    async def run(self) -> None:
        """Follow the prefix until cancelled."""
        while True:
            error = await self._read() if self._revision is None else await self._watch()
            if error is None:
                continue
            if error.kind is StoreErrorKind.COMPACTED:
                _log.info(
                    "Watch revision was compacted; rereading the prefix.", prefix=self._prefix
                )
                self._revision = None
                continue
            self._record_failure(error)
            self._revision = None
            await self._clock.sleep(self._backoff_ms())

    async def _read(self) -> StoreError | None:
        result = await self._store.list(prefix=self._prefix)
        if isinstance(result, Failure):
            error: StoreError = result.failure()
            return error
        snapshot = result.unwrap()
        self._record_success()
        self._revision = snapshot.revision
        self._read_at = self._clock.now()
        self._is_listener_behind = False
        self._deliver(lambda: self._listener.on_snapshot(snapshot))
        return None

    async def _watch(self) -> StoreError | None:
        began = self._clock.now()
        changes = await self._changes(wait_ms=self._wait_ms)
        if isinstance(changes, Failure):
            error: StoreError = changes.failure()
            if error.kind is StoreErrorKind.UNCERTAIN:
                return await self._resume(error, age_ms=self._clock.now() - began)
            return error
        batch = changes.unwrap()
        self._apply(batch)
        if batch.entries or batch.deleted:
            await self._clock.sleep(self._change_delay_ms())
        if self._is_reread_due():
            self._revision = None
        return None

    async def _resume(self, lost: StoreError, *, age_ms: int) -> StoreError | None:
        """Fetch what a lost watch has missed.

        :param lost: How the watch ended.
        :param age_ms: Time since it began.
        :returns: Why the changes could not be fetched; ``None`` if they were.
        """
        result = await self._changes(wait_ms=NO_WAIT_MS)
        if isinstance(result, Failure):
            error: StoreError = result.failure()
            if error.kind is StoreErrorKind.COMPACTED:
                self._record_lost_watch(lost, age_ms=age_ms, missed="unknown")
            return error
        missed = result.unwrap()
        self._record_lost_watch(
            lost, age_ms=age_ms, missed=str(len(missed.entries) + len(missed.deleted))
        )
        self._apply(missed)
        return None

    def _record_lost_watch(self, lost: StoreError, *, age_ms: int, missed: str) -> None:
        self._on_lost_watch(self._prefix)
        _log.warning(
            "A watch of the store was lost.",
            prefix=self._prefix,
            age_ms=age_ms,
            detail=lost.detail,
            missed=missed,
        )

    async def _changes(self, *, wait_ms: int) -> Result[WatchBatch, StoreError]:
        assert self._revision is not None
        return await self._store.changes(prefix=self._prefix, after=self._revision, wait_ms=wait_ms)

    def _apply(self, batch: WatchBatch) -> None:
        self._record_success()
        self._revision = batch.revision
        if batch.entries or batch.deleted:
            self._deliver(partial(self._listener.on_changes, batch))

    def _deliver(self, deliver: Callable[[], None]) -> None:
        """Let the listener take keys; later changes must reach it even if it fails to."""
        if not run_contained("store", deliver, prefix=self._prefix):
            self._is_listener_behind = True

    def _is_reread_due(self) -> bool:
        since_read_ms = self._clock.now() - self._read_at
        return self._is_listener_behind and since_read_ms >= MIN_REREAD_INTERVAL_MS

    def _record_success(self) -> None:
        self._failures = 0
        if self._state is StoreState.REACHED:
            return
        self._state = StoreState.REACHED
        _log.info(
            "Store is reachable.",
            prefix=self._prefix,
            away_ms=self._clock.now() - self._unreachable_since if self._unreachable_since else 0,
        )
        self._listener.on_store_state(self._state)

    def _record_failure(self, error: StoreError) -> None:
        self._failures += 1
        if self._state is StoreState.LOST:
            return
        self._state = StoreState.LOST
        self._unreachable_since = self._clock.now()
        _log.warning(
            "Lost connection to the store.",
            prefix=self._prefix,
            kind=error.kind.value,
            detail=error.detail,
        )
        self._listener.on_store_state(self._state)

    def _backoff_ms(self) -> int:
        backoff_ms = min(BASE_BACKOFF_MS * 2 ** min(self._failures - 1, 8), MAX_BACKOFF_MS)
        return int(backoff_ms * self._rng.uniform(*BACKOFF_JITTER))
