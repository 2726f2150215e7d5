"""Delivery of entries to a listener that may fail to take some of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.core import run_contained
from tanagerscale.store import PrefixListener
from tanagerscale.store import StoreRange
from tanagerscale.store import WatchBatch

RESYNC_DELAY_MS: Final = 10_000
"""Minimum time before the listener gets all entries again because it failed to take some of them,
which takes a large part of a second where 12,000 engines are listed."""


@final
class ListenerSync:
    """Delivers entries, and records whether the listener must get all of them again.

    :param component: Name of the listener for the log and the metric of unexpected errors.
    :param listener: Consumer of the entries.
    :param clock: Source of the current time.
    """

    def __init__(self, *, component: str, listener: PrefixListener, clock: Clock) -> None:
        self._component = component
        self._listener = listener
        self._clock = clock
        self._due_at: Millis | None = None

    @property
    def is_due(self) -> bool:
        """Whether the listener must get all entries, since it failed to take some of them."""
        return self._due_at is not None and self._clock.now() >= self._due_at

    def deliver_all(self, snapshot: StoreRange) -> None:
        """Pass all entries to the listener."""
        if self._deliver(lambda: self._listener.on_snapshot(snapshot)):
            self._due_at = None

    def deliver_changes(self, batch: WatchBatch) -> None:
        """Pass changes to the listener."""
        self._deliver(lambda: self._listener.on_changes(batch))

    def _deliver(self, deliver: Callable[[], None]) -> bool:
        is_taken = run_contained(self._component, deliver)
        if not is_taken:
            self._due_at = Millis(self._clock.now() + RESYNC_DELAY_MS)
        return is_taken
