"""Whether this host follows the store itself, or hears from a host that does."""

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
from tanagerscale.core import get_logger

ALONE_MS: Final = 1300
"""How long a host may hear from no coordinator that the store answers before it follows the store
itself. When all coordinators are killed together the next in rank have taken their place by then; a
leaving upstream must get no new work after two seconds."""

PROBE_MS: Final = 1000
PROBE_SPREAD: Final = (0.5, 1.5)
"""How often a host looks whether the store serves it when it serves no coordinator. Following the
store takes several calls a second while it is away."""

_log = get_logger(part="duties")


@final
class Duties:
    """Lets the hosts that coordinate follow the store, and the others hear from these.

    :param host: This host.
    :param directory: Who coordinates.
    :param feeds: The entries that are followed.
    :param loops: Returns what follows the store.
    :param is_served: Asks the store for anything, at a low price, and returns whether it answers.
    :param clock: Time.
    :param rng: Spreads tries.
    """

    def __init__(
        self,
        *,
        host: HostId,
        directory: Directory,
        feeds: Sequence[ListFeed],
        loops: Callable[[], Sequence[Coroutine[Any, Any, None]]],
        is_served: Callable[[], Awaitable[bool]],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._host = host
        self._directory = directory
        self._feeds = feeds
        self._loops = loops
        self._is_served = is_served
        self._clock = clock
        self._rng = rng
        self._lost_at: set[HostId] = set()
        self._is_store_lost = False
        self._tasks: list[asyncio.Task[None]] = []
        self._alone: asyncio.TimerHandle | None = None
        self._is_alone = False
        self._probe: asyncio.Task[None] | None = None

    @property
    def follows_store(self) -> bool:
        """Whether this host follows the store itself."""
        return bool(self._tasks)

    def on_peer_store(self, host: HostId, *, is_lost: bool) -> None:
        """Take in whether the store answers another host."""
        if (host in self._lost_at) is is_lost:
            return
        if is_lost:
            self._lost_at.add(host)
        else:
            self._lost_at.discard(host)
        self.look()

    def on_own_store(self, *, is_lost: bool) -> None:
        """Take in whether the store answers this host."""
        self._is_store_lost = is_lost
        self.look()

    def look(self) -> None:
        """Decide anew, since hosts or the store have come or gone."""
        sources = [one for one in self._directory.coordinators if one not in self._lost_at]
        is_coordinator = self._directory.is_coordinator
        self._note_alone(not sources and not is_coordinator)
        reads_itself = is_coordinator and not self._is_store_lost
        source = None if reads_itself or not sources else self._nearest(sources)
        for feed in self._feeds:
            feed.follow(source)
        if is_coordinator:
            self._follow_store()
        elif self._is_alone:
            self._follow_alone()
        elif sources:
            self._leave_store()

    @property
    def _reached(self) -> list[int]:
        """The revisions up to which the entries are known."""
        return [feed.reached for feed in self._feeds]

    async def stop(self) -> None:
        """Follow nothing any more."""
        if self._alone is not None:
            self._alone.cancel()
        self._end_probe()
        self._leave_store()

    def _nearest(self, sources: Sequence[HostId]) -> HostId:
        """Return the source of this host; different hosts have different ones."""
        return min(sources, key=lambda other: distance(self._host, other))

    def _note_alone(self, is_alone: bool) -> None:
        if not is_alone:
            self._is_alone = False
            self._end_probe()
            if self._alone is not None:
                self._alone.cancel()
                self._alone = None
        elif self._alone is None and not self._is_alone:
            loop = asyncio.get_running_loop()
            self._alone = loop.call_later(ALONE_MS / MS_PER_SECOND, self._on_alone)

    def _on_alone(self) -> None:
        self._alone = None
        self._is_alone = True
        _log.info("No coordinator tells of the store; this host looks for it itself.")
        self.look()

    def _follow_alone(self) -> None:
        """Follow the store, if it serves this host; the coordinators that it turns away say so."""
        if self._tasks or not self._directory.coordinators:
            self._follow_store()
        elif self._probe is None:
            self._probe = asyncio.create_task(self._probe_store())

    async def _probe_store(self) -> None:
        while not await self._is_served():
            await self._clock.sleep(int(PROBE_MS * self._rng.uniform(*PROBE_SPREAD)))
        self._follow_store()

    def _end_probe(self) -> None:
        if self._probe is not None:
            self._probe.cancel()
            self._probe = None

    def _follow_store(self) -> None:
        if not self._tasks:
            _log.info("This host follows the store.", reached=self._reached)
            self._tasks = [asyncio.create_task(loop) for loop in self._loops()]

    def _leave_store(self) -> None:
        if self._tasks:
            _log.info("This host follows the store no more.", reached=self._reached)
            for feed in self._feeds:
                feed.end_following()
        for task in self._tasks:
            task.cancel()
        self._tasks = []
