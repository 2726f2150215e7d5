"""What a host follows in the store."""

from __future__ import annotations

from collections.abc import Coroutine
from random import Random
from typing import Any
from typing import Final
from typing import final

from returns.result import Success

from tanagerscale.coordination import ListFeed
from tanagerscale.core import Clock
from tanagerscale.gateway._configuration import ConfigurationKeeper
from tanagerscale.gateway._edges import Edges
from tanagerscale.gateway._operator_keys import OperatorKeys
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.store import PrefixFollower
from tanagerscale.store import PrefixListener

PRESENCE_REST_MS: Final = 1000
"""Pause between two looks at the hosts' entries. When all hosts start together, each would cost a
call of each that looks."""


@final
class StoreFollowing:
    """Follows declarations, upstreams and hosts.

    :param edges: The platform.
    :param keeper: Takes the declarations.
    :param evacuations: Takes the keys that evacuate failure domains.
    :param feed: Takes the entries of upstreams.
    :param presence: Takes the entries of hosts.
    :param clock: Time.
    :param rng: Spreads tries.
    """

    def __init__(
        self,
        *,
        edges: Edges,
        keeper: ConfigurationKeeper,
        evacuations: ListFeed,
        feed: ListFeed,
        presence: HostPresence,
        clock: Clock,
        rng: Random,
    ) -> None:
        self._edges = edges
        self._keeper = keeper
        self._feed = feed
        self._evacuations = evacuations
        self._presence = presence
        self._clock = clock
        self._rng = rng

    def loops(self) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what follows the store until it is cancelled."""
        return (
            self._follower(self._edges.operator_prefix, self._operator_keys()).run(),
            self._follower(self._edges.registry_prefix, self._feed).run(),
            self._follower(self._presence.prefix, self._presence, rest_ms=PRESENCE_REST_MS).run(),
        )

    async def is_served(self) -> bool:
        """Return whether the store answers a read that costs it little."""
        found = await self._edges.store.get(key=self._presence.prefix, allow_stale=True)
        return isinstance(found, Success)

    def _operator_keys(self) -> OperatorKeys:
        return OperatorKeys(
            configuration_key=self._edges.configuration_key,
            configuration=self._keeper,
            evacuated_domain=self._edges.evacuated_domain,
            evacuations=self._evacuations,
        )

    def _follower(
        self, prefix: str, listener: PrefixListener, *, rest_ms: int = 0
    ) -> PrefixFollower:
        return PrefixFollower(
            store=self._edges.store,
            prefix=prefix,
            listener=listener,
            clock=self._clock,
            rng=self._rng,
            change_delay_ms=lambda: rest_ms,
        )
