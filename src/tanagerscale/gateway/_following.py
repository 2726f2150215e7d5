"""What a host follows in the store, and how often it looks."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from random import Random
from typing import Any
from typing import Final
from typing import final

from tanagerscale.core import Clock
from tanagerscale.gateway._configuration import ConfigurationKeeper
from tanagerscale.gateway._edges import Edges
from tanagerscale.gateway._presence import HostPresence
from tanagerscale.membership import Mesh
from tanagerscale.membership import UpstreamRoster
from tanagerscale.membership import is_many
from tanagerscale.membership import stretch
from tanagerscale.store import PrefixFollower
from tanagerscale.store import PrefixListener

ROSTER_REST: Final = (0.3, 0.6)
"""Where there are many hosts, each rests for such a part of the time in which a leaving upstream
may get new work, after a change of the upstreams: what comes together costs one call. Some watch
at any moment and tell the others which upstreams leave; a new one is used a second later."""

PRESENCE_REST_MS: Final = 1000
"""Pause between two looks at the hosts' entries, longer where there are many. When all hosts start
together, each would cost a call of each other; the seeds connect them meanwhile."""


@final
class StoreFollowing:
    """Follows declarations, upstreams and hosts.

    :param edges: The platform.
    :param mesh: The other hosts.
    :param leaving_ms: Returns how long a leaving upstream may get new work.
    :param clock: Time.
    :param rng: Spreads tries and rests.
    """

    def __init__(
        self, *, edges: Edges, mesh: Mesh, leaving_ms: Callable[[], int], clock: Clock, rng: Random
    ) -> None:
        self._edges = edges
        self._mesh = mesh
        self._leaving_ms = leaving_ms
        self._clock = clock
        self._rng = rng

    def loops(
        self, *, keeper: ConfigurationKeeper, roster: UpstreamRoster, presence: HostPresence
    ) -> tuple[Coroutine[Any, Any, None], ...]:
        """Return what has to run for as long as the host lives."""
        declarations = self._follower(self._edges.configuration_key, keeper)
        upstreams = self._follower(
            self._edges.registry_prefix, roster, rest_ms=self._roster_rest_ms
        )
        hosts = self._follower(presence.prefix, presence, rest_ms=self._presence_rest_ms)
        return declarations.run(), upstreams.run(), hosts.run()

    def _follower(
        self,
        prefix: str,
        listener: PrefixListener,
        *,
        rest_ms: Callable[[], int] = lambda: 0,
    ) -> PrefixFollower:
        return PrefixFollower(
            store=self._edges.store,
            prefix=prefix,
            listener=listener,
            clock=self._clock,
            rng=self._rng,
            rest_ms=rest_ms,
        )

    def _roster_rest_ms(self) -> int:
        if not is_many(peers=len(self._mesh.live.value)):
            return 0
        return int(self._leaving_ms() * self._rng.uniform(*ROSTER_REST))

    def _presence_rest_ms(self) -> int:
        return int(PRESENCE_REST_MS * stretch(peers=len(self._mesh.live.value)))
