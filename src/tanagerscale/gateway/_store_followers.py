"""Followers of the store prefixes that a host watches."""

from __future__ import annotations

from collections import Counter
from collections.abc import Coroutine
from random import Random
from typing import Any
from typing import Final
from typing import final

from returns.result import Success

from tanagerscale.coordination import ListFeed
from tanagerscale.core import Clock
from tanagerscale.core import TaskMonitor
from tanagerscale.gateway._configuration import ConfigurationManager
from tanagerscale.gateway._operator_keys import OperatorKeyListener
from tanagerscale.gateway._platform import Platform
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.store import PrefixFollower
from tanagerscale.store import PrefixListener

HOST_WATCH_PAUSE_MS: Final = 1000
"""Pause between two watches of the hosts' entries. Without it, each entry written while all hosts
start together would cost one call of every host that watches."""


@final
class StoreFollowers:
    """Creates the followers of the configuration, of upstreams and of hosts.

    :param platform: Adapters to the platform.
    :param configuration: Receives the configuration.
    :param evacuations: Receives the keys that evacuate failure domains.
    :param feed: Receives the entries of upstreams.
    :param presence: Receives the entries of hosts.
    :param monitor: Starts followers again that end with an error.
    :param clock: Clock for pauses and retries.
    :param rng: Random number generator for retry jitter.
    """

    def __init__(
        self,
        *,
        platform: Platform,
        configuration: ConfigurationManager,
        evacuations: ListFeed,
        feed: ListFeed,
        presence: HostPresence,
        monitor: TaskMonitor,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._platform = platform
        self._configuration = configuration
        self._feed = feed
        self._evacuations = evacuations
        self._presence = presence
        self._monitor = monitor
        self._clock = clock
        self._rng = rng
        self.lost_watches: Counter[str] = Counter()
        """Watches that ended without an answer, by their prefix."""

    def loops(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the coroutines that follow the store until they are cancelled."""
        followers = (
            self._follower(self._platform.operator_prefix, self._operator_keys()),
            self._follower(self._platform.registry_prefix, self._feed),
            self._follower(self._presence.prefix, self._presence, rest_ms=HOST_WATCH_PAUSE_MS),
        )
        return tuple(
            self._monitor.keep_running(one.run, name=f"follower-of-{one.prefix}")
            for one in followers
        )

    async def is_store_available(self) -> bool:
        """Return whether the store answers a cheap, possibly stale read."""
        found = await self._platform.store.get(key=self._presence.prefix, allow_stale=True)
        return isinstance(found, Success)

    def _operator_keys(self) -> OperatorKeyListener:
        return OperatorKeyListener(
            configuration_key=self._platform.configuration_key,
            configuration=self._configuration,
            parse_evacuated_domain=self._platform.parse_evacuated_domain,
            evacuations=self._evacuations,
        )

    def _follower(
        self, prefix: str, listener: PrefixListener, *, rest_ms: int = 0
    ) -> PrefixFollower:
        return PrefixFollower(
            store=self._platform.store,
            prefix=prefix,
            listener=listener,
            clock=self._clock,
            rng=self._rng,
            change_delay_ms=lambda: rest_ms,
            on_lost_watch=self._count_lost_watch,
        )

    def _count_lost_watch(self, prefix: str) -> None:
        self.lost_watches[prefix] += 1
