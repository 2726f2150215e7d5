"""Follower of all keys under a prefix that recovers from outages and compaction."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final
from typing import Protocol
from typing import final

from returns.result import Failure

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.core import run_contained
from tanagerscale.store._protocol import Store
from tanagerscale.store._protocol import StoreError
from tanagerscale.store._protocol import StoreErrorKind
from tanagerscale.store._protocol import StoreRange
from tanagerscale.store._protocol import WatchBatch
from tanagerscale.store._revision import StoreRevision

BASE_BACKOFF_MS: Final = 100
MAX_BACKOFF_MS: Final = 800
"""Backoff between attempts to reach a failing store. A configuration must be in force within two
seconds of the store's recovery, so the maximum backoff with jitter must be well below that."""

BACKOFF_JITTER: Final = (0.5, 1.5)

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

    def on_reachability_changed(self, *, reachable: bool) -> None:
        """Handle the loss or the recovery of the store."""


@final
class PrefixFollower:
    """Reads all keys under a prefix and then watches them until cancelled.

    After a failed watch, all keys are read again. This detects immediately that the store is
    reachable again and returns all missed changes. They are also read again if the listener failed
    to take some of them.

    :param store: Store to follow.
    :param prefix: Prefix of the keys.
    :param listener: Receives the snapshots and changes.
    :param clock: Clock used for delays and to measure outages.
    :param rng: Random number generator used to jitter the backoff.
    :param change_delay_ms: Returns the delay in milliseconds after each change before the watch
        continues, so that changes in quick succession are delivered in one batch.
    :param on_lost_watch: Called with the prefix each time a watch ends without an answer.
    """

    def __init__(
        self,
        *,
        store: Store,
        prefix: str,
        listener: PrefixListener,
        clock: Clock,
        rng: Random,
        change_delay_ms: Callable[[], int] = lambda: 0,
        on_lost_watch: Callable[[str], None] = lambda _prefix: None,
    ) -> None:
        self._on_lost_watch = on_lost_watch
        self._store = store
        self._change_delay_ms = change_delay_ms
        self._prefix = prefix
        self._listener = listener
        self._clock = clock
        self._rng = rng
        self._revision: StoreRevision | None = None
        self._failures = 0
        self._reachable = False
        self._unreachable_since = Millis(0)
        self._read_at = Millis(0)
        self._asked_at = Millis(0)
        """When the watch began that waits for its answer."""
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
            # A new watch alone would not show that the store is reachable before the next change,
            # which may take up to half a minute.
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
        assert self._revision is not None
        start = StoreRevision(self._revision + 1)
        self._asked_at = self._clock.now()
        async for result in self._store.watch(prefix=self._prefix, from_revision=start):
            if isinstance(result, Failure):
                error: StoreError = result.failure()
                if error.kind is StoreErrorKind.UNCERTAIN:
                    self._record_lost_watch(error)
                return error
            batch = result.unwrap()
            self._record_success()
            self._revision = batch.revision
            if batch.entries or batch.deleted:
                self._deliver(partial(self._listener.on_changes, batch))
                await self._clock.sleep(self._change_delay_ms())
            if self._is_reread_due():
                self._revision = None
                return None
            self._asked_at = self._clock.now()
        return None

    def _record_lost_watch(self, error: StoreError) -> None:
        self._on_lost_watch(self._prefix)
        _log.warning(
            "A watch of the store ended without an answer.",
            prefix=self._prefix,
            age_ms=self._clock.now() - self._asked_at,
            detail=error.detail,
        )

    def _deliver(self, deliver: Callable[[], None]) -> None:
        """Let the listener take keys; later changes must reach it even if it fails to."""
        if not run_contained("store", deliver, prefix=self._prefix):
            self._is_listener_behind = True

    def _is_reread_due(self) -> bool:
        since_read_ms = self._clock.now() - self._read_at
        return self._is_listener_behind and since_read_ms >= MIN_REREAD_INTERVAL_MS

    def _record_success(self) -> None:
        self._failures = 0
        if self._reachable:
            return
        self._reachable = True
        _log.info(
            "Store is reachable.",
            prefix=self._prefix,
            away_ms=self._clock.now() - self._unreachable_since if self._unreachable_since else 0,
        )
        self._listener.on_reachability_changed(reachable=True)

    def _record_failure(self, error: StoreError) -> None:
        self._failures += 1
        if not self._reachable:
            return
        self._reachable = False
        self._unreachable_since = self._clock.now()
        _log.warning(
            "Lost connection to the store.",
            prefix=self._prefix,
            kind=error.kind.value,
            detail=error.detail,
        )
        self._listener.on_reachability_changed(reachable=False)

    def _backoff_ms(self) -> int:
        backoff_ms = min(BASE_BACKOFF_MS * 2 ** min(self._failures - 1, 8), MAX_BACKOFF_MS)
        return int(backoff_ms * self._rng.uniform(*BACKOFF_JITTER))
