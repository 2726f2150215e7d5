"""Followers of the store prefixes that a host watches."""

from __future__ import annotations

from collections import Counter
from collections.abc import Coroutine
from random import Random
from typing import Any
from typing import Final
from typing import final

from msgspec import Struct
from returns.result import Success

from tanagerscale.coordination import ListFeed
from tanagerscale.core import Clock
from tanagerscale.core import TaskMonitor
from tanagerscale.gateway._configuration import ConfigurationManager
from tanagerscale.gateway._operator_keys import OperatorKeyListener
from tanagerscale.gateway._platform import Platform
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.generated.gateway import DeadlinesSection
from tanagerscale.store import WATCH_MARGIN_MS
from tanagerscale.store import PrefixFollower
from tanagerscale.store import PrefixListener

SLOWEST_ANSWER_MS: Final = 400
"""Longest time in which the store answers a call while the deadlines hold."""

SPREAD_MS: Final = 200
"""Time in which a change reaches all hosts from the first one that knows it: the delays of
announcements, and the messages by which hosts request it."""

MIN_WATCH_WAIT_MS: Final = 250
"""Shortest wait of a watch. Each watch costs a call, and four hosts watch each prefix."""

HOSTS_DEADLINE_MS: Final = 6000
"""Time in which hosts must know of a new one. Those that end are noticed by their connections."""

HOST_WATCH_PAUSE_MS: Final = 1000
"""Pause between two watches of the hosts' entries. Without it, each entry written while all hosts
start together would cost one call of every host that watches."""


class FollowedPrefix(Struct, frozen=True, kw_only=True):
    """A prefix of the store that a host follows.

    :param prefix: Prefix of the keys.
    :param listener: Receives the keys.
    :param deadline_ms: Time in milliseconds in which a change must be known at all hosts, also if
        the watches of all hosts are lost at once.
    :param pause_ms: Pause after each change, in milliseconds.
    """

    prefix: str
    listener: PrefixListener
    deadline_ms: int
    pause_ms: int = 0

    @property
    def wait_ms(self) -> int:
        """How long a watch waits for changes, in milliseconds."""
        rest_ms = self.pause_ms + WATCH_MARGIN_MS + SLOWEST_ANSWER_MS + SPREAD_MS
        return max(self.deadline_ms - rest_ms, MIN_WATCH_WAIT_MS)


@final
class StoreFollowers:
    """Creates the followers of the configuration, of upstreams and of hosts.

    :param platform: Adapters to the platform.
    :param deadlines: When changes must be in force.
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
        deadlines: DeadlinesSection,
        configuration: ConfigurationManager,
        evacuations: ListFeed,
        feed: ListFeed,
        presence: HostPresence,
        monitor: TaskMonitor,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._platform = platform
        self._deadlines = deadlines
        self._configuration = configuration
        self._feed = feed
        self._evacuations = evacuations
        self._presence = presence
        self._monitor = monitor
        self._clock = clock
        self._rng = rng
        self.lost_watches: Counter[str] = Counter()
        """Watches that ended without an answer, by their prefix."""

    @property
    def followed(self) -> tuple[FollowedPrefix, ...]:
        """All prefixes that a host follows."""
        return (
            FollowedPrefix(
                prefix=self._platform.operator_prefix,
                listener=self._operator_keys(),
                deadline_ms=self._deadlines.configuration_ms,
            ),
            FollowedPrefix(
                prefix=self._platform.registry_prefix,
                listener=self._feed,
                deadline_ms=self._deadlines.leaving_ms,
            ),
            FollowedPrefix(
                prefix=self._presence.prefix,
                listener=self._presence,
                deadline_ms=HOSTS_DEADLINE_MS,
                pause_ms=HOST_WATCH_PAUSE_MS,
            ),
        )

    def loops(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return the coroutines that follow the store until they are cancelled."""
        return tuple(
            self._monitor.keep_running(
                self._make_follower(one).run, name=f"follower-of-{one.prefix}"
            )
            for one in self.followed
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

    def _make_follower(self, followed: FollowedPrefix) -> PrefixFollower:
        return PrefixFollower(
            store=self._platform.store,
            prefix=followed.prefix,
            listener=followed.listener,
            clock=self._clock,
            rng=self._rng,
            wait_ms=followed.wait_ms,
            change_delay_ms=lambda: followed.pause_ms,
            on_lost_watch=self._count_lost_watch,
        )

    def _count_lost_watch(self, prefix: str) -> None:
        self.lost_watches[prefix] += 1
