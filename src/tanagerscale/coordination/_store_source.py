"""Selects whether this host follows the store itself or receives entries from a coordinator."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from random import Random
from typing import Any
from typing import Final
from typing import final

from tanagerscale.coordination._directory import Directory
from tanagerscale.coordination._feed import ListFeed
from tanagerscale.coordination._ranking import distance
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import Heartbeat
from tanagerscale.store import format_revision

ISOLATION_TIMEOUT_MS: Final = 1300
"""How long a host may be disconnected from all coordinators before it follows the store itself.
When all coordinators are killed together, the next in rank have replaced them by then; a leaving
upstream must get no new work after two seconds."""

STORE_LOSS_DELAY_MS: Final = 200
"""How long all connected coordinators must be without the store before a host follows it itself.
Where the store loses single answers, this leaves out most moments in which all report its loss."""

SILENT_INTERVALS: Final = 2
"""Heartbeat intervals without a heartbeat of any coordinator after which a host follows the store
itself. If all coordinators lose power at once, it must know of changes within two seconds, which is
less than the three intervals after which their connections are closed and the time for their
replacement."""

LATE_READ_MS: Final = 50
"""Time in which heartbeats are read that arrived while the event loop stood still."""

PROBE_INTERVAL_MS: Final = 1000
PROBE_JITTER: Final = (0.5, 1.5)
"""Interval, with jitter, at which a host checks whether the store answers it while the store
answers no coordinator. Following the store takes several calls a second while it is down."""

_log = get_logger(part="duties")


@final
class StoreSourceSelector:
    """Starts and stops following the store; members receive its entries from coordinators.

    :param host: This host.
    :param directory: Which hosts are coordinators.
    :param feeds: The entries that are followed.
    :param loops: Returns the coroutines that follow the store.
    :param is_store_available: Makes a cheap call to the store, and returns whether it is answered.
    :param clock: Source of the current time.
    :param rng: Random number generator used for jitter.
    """

    def __init__(
        self,
        *,
        host: HostId,
        directory: Directory,
        feeds: Sequence[ListFeed],
        loops: Callable[[], Sequence[Coroutine[Any, Any, None]]],
        is_store_available: Callable[[], Awaitable[bool]],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._host = host
        self._directory = directory
        self._feeds = feeds
        self._loops = loops
        self._is_store_available = is_store_available
        self._clock = clock
        self._rng = rng
        self._peers_without_store: set[HostId] = set()
        self._is_store_lost = False
        self._tasks: list[asyncio.Task[None]] = []
        self._without_source_since: Millis | None = None
        self._isolation_timer: asyncio.TimerHandle | None = None
        self._is_isolated = False
        self._probe: asyncio.Task[None] | None = None
        self._heard_until = Millis(0)
        """When the coordinators count as silent, unless one of them is heard before."""
        self._silence_timer: asyncio.TimerHandle | None = None
        self._are_silent = False

    @property
    def follows_store(self) -> bool:
        """Whether this host follows the store itself."""
        return bool(self._tasks)

    def on_peer_store(self, host: HostId, *, is_lost: bool) -> None:
        """Record whether the store answers another host."""
        if (host in self._peers_without_store) is is_lost:
            return
        if is_lost:
            self._peers_without_store.add(host)
        else:
            self._peers_without_store.discard(host)
        self.reevaluate()

    def on_heartbeat(self, host: HostId, heartbeat: Heartbeat) -> None:
        """Record that another host lives, and whether the store answers it."""
        if host in self._directory.coordinators:
            self._record_heard(interval_ms=heartbeat.next_ms)
        self.on_peer_store(host, is_lost=heartbeat.store_lost)

    def on_own_store(self, *, is_lost: bool) -> None:
        """Record whether the store answers this host."""
        self._is_store_lost = is_lost
        self.reevaluate()

    def reevaluate(self) -> None:
        """Select the source again after a change of hosts or of the state of the store."""
        coordinators = self._directory.coordinators
        sources = [one for one in coordinators if one not in self._peers_without_store]
        is_store_lost = bool(coordinators) and not sources
        if self._are_silent:
            sources = []
        is_coordinator = self._directory.is_coordinator
        # Waiting longer brings nothing where connected coordinators have reported the loss.
        delay_ms = STORE_LOSS_DELAY_MS if coordinators else ISOLATION_TIMEOUT_MS
        if self._are_silent:
            delay_ms = 0
        self._update_isolation(not sources and not is_coordinator, delay_ms=delay_ms)
        reads_store = is_coordinator and not self._is_store_lost
        source = None if reads_store or not sources else self._nearest(sources)
        for feed in self._feeds:
            feed.follow(source, is_store_lost=is_store_lost)
        if is_coordinator:
            self._follow_store()
        elif self._is_isolated:
            self._follow_isolated()
        elif sources:
            self._stop_following_store()

    @property
    def _revisions(self) -> list[str]:
        """The revisions up to which the entries are known."""
        return [format_revision(feed.revision) for feed in self._feeds]

    async def stop(self) -> None:
        """Stop following the store."""
        self._cancel_isolation_timer()
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._end_probe()
        self._stop_following_store()

    def _record_heard(self, *, interval_ms: int) -> None:
        self._heard_until = Millis(self._clock.now() + SILENT_INTERVALS * interval_ms)
        if self._silence_timer is None:
            self._check_silence_at(self._heard_until)
        if self._are_silent:
            self._are_silent = False
            self.reevaluate()

    def _check_silence_at(self, due: Millis) -> None:
        delay_ms = due + LATE_READ_MS - self._clock.now()
        self._silence_timer = asyncio.get_running_loop().call_later(
            delay_ms / MS_PER_SECOND, self._check_silence, due
        )

    def _check_silence(self, due: Millis) -> None:
        """Follow the store if no coordinator has been heard."""
        self._silence_timer = None
        now = self._clock.now()
        if self._heard_until > due:
            self._check_silence_at(self._heard_until)
        elif now > due + 2 * LATE_READ_MS:
            self._check_silence_at(now)
        elif self._directory.coordinators:
            _log.warning("All coordinators are silent.", coordinators=self._directory.coordinators)
            self._are_silent = True
            self.reevaluate()

    def _nearest(self, sources: Sequence[HostId]) -> HostId:
        """Return the source for this host; different hosts select different sources."""
        return min(sources, key=lambda other: distance(self._host, other))

    def _update_isolation(self, has_no_source: bool, *, delay_ms: int) -> None:
        """Update since when this host has no source, and how long that may last.

        :param has_no_source: Whether no coordinator reaches the store.
        :param delay_ms: How long this may last before this host follows the store itself.
        """
        if not has_no_source:
            self._without_source_since = None
            self._is_isolated = False
            self._end_probe()
            self._cancel_isolation_timer()
            return
        if self._without_source_since is None:
            self._without_source_since = self._clock.now()
        if not self._is_isolated:
            self._cancel_isolation_timer()
            passed_ms = self._clock.now() - self._without_source_since
            self._isolation_timer = asyncio.get_running_loop().call_later(
                max(delay_ms - passed_ms, 0) / MS_PER_SECOND, self._on_isolated
            )

    def _cancel_isolation_timer(self) -> None:
        if self._isolation_timer is not None:
            self._isolation_timer.cancel()
            self._isolation_timer = None

    def _on_isolated(self) -> None:
        self._isolation_timer = None
        self._is_isolated = True
        _log.info("No coordinator reaches the store; this host will follow it itself.")
        self.reevaluate()

    def _follow_isolated(self) -> None:
        """Follow the store, after a probe if there are coordinators that it does not answer."""
        if self._tasks or not self._directory.coordinators:
            self._follow_store()
        elif self._probe is None:
            self._probe = asyncio.create_task(self._probe_store())

    async def _probe_store(self) -> None:
        while not await self._is_store_available():
            await self._clock.sleep(int(PROBE_INTERVAL_MS * self._rng.uniform(*PROBE_JITTER)))
        self._follow_store()

    def _end_probe(self) -> None:
        if self._probe is not None:
            self._probe.cancel()
            self._probe = None

    def _follow_store(self) -> None:
        if not self._tasks:
            _log.info("This host starts to follow the store.", reached=self._revisions)
            self._tasks = [asyncio.create_task(loop) for loop in self._loops()]

    def _stop_following_store(self) -> None:
        if self._tasks:
            _log.info("This host stops following the store.", reached=self._revisions)
            for feed in self._feeds:
                feed.stop_watching()
        for task in self._tasks:
            task.cancel()
        self._tasks = []
