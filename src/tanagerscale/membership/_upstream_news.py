"""What one host's watch of the upstreams brings, told to the others.

The load it answers: 73 hosts that each watch a list that changes three times a second. They rest
after each change, at different times, so that changes that come together cost one call; what comes
meanwhile they hear from those that watch then, and their next watch begins after it. A new upstream
is used a tenth of a second after its entry instead of up to two seconds.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from random import Random
from typing import Final
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.generated.messages import UpstreamChanges
from tanagerscale.membership._mesh import Mesh
from tanagerscale.membership._peers import Received
from tanagerscale.membership._roster import UpstreamRoster
from tanagerscale.membership._scale import is_many

TURN_MS: Final = 100
"""Time over which the hosts that read the same changes take their turn to tell them."""

ENOUGH_TELLERS: Final = 2
"""A host that heard the same from so many peers does not tell it any more. Who misses both reads it
after its rest."""


@final
class UpstreamNews:
    """Joins the roster of upstreams to the mesh, where there are many hosts.

    :param mesh: The other hosts.
    :param roster: The upstreams there are.
    :param rng: Spreads the turns.
    """

    def __init__(self, *, mesh: Mesh, roster: UpstreamRoster, rng: Random) -> None:
        self._mesh = mesh
        self._roster = roster
        self._rng = rng
        self._waiting: dict[int, UpstreamChanges] = {}
        """What this host is about to tell, by revision."""
        self._tellers: Counter[int] = Counter()
        """How many peers told as much."""

    def start(self) -> None:
        """Begin to listen and to tell."""
        self._roster.read.subscribe(self._on_read)
        self._mesh.messages.subscribe(self._on_received)

    def _on_read(self, changes: UpstreamChanges) -> None:
        if not is_many(peers=len(self._mesh.live.value)):
            return  # Few hosts watch all the time.
        self._waiting[changes.revision] = changes
        delay_s = self._rng.uniform(0, TURN_MS) / MS_PER_SECOND
        asyncio.get_running_loop().call_later(delay_s, self._take_turn, changes.revision)

    def _take_turn(self, revision: int) -> None:
        changes = self._waiting.pop(revision, None)
        tellers = self._tellers.pop(revision, 0)
        if changes is not None and tellers < ENOUGH_TELLERS:
            self._mesh.broadcast(message=changes)

    def _on_received(self, received: Received) -> None:
        message = received.message
        if not isinstance(message, UpstreamChanges):
            return
        for revision, waiting in self._waiting.items():
            if message.after <= waiting.after and message.revision >= revision:
                self._tellers[revision] += 1
        self._roster.on_peer(message)
