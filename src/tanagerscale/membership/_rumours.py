"""News that all hosts learn at nearly the same moment, told by a few of them.

The load it answers: each host's own watch brings a new version, or an upstream that leaves, at
nearly the same time. Peers tell each other as well, for those whose watch is cut off. If all of 78
hosts told all others, each change would cost 6,000 messages; here a few tell, and the rest keep
silent.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import Final
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.membership._mesh import Mesh
from tanagerscale.membership._peers import Received
from tanagerscale.membership._scale import is_many

SPREAD_MS: Final = 150
"""Time over which hosts take their turn to tell. With 78 hosts one tells each 2 ms, about as long
as a message takes; three told before the rest had heard it (tools/bench_many_hosts.py)."""

ENOUGH_TELLERS: Final = 3
"""A host that heard the same from so many peers does not tell it any more. A host without its watch
then still hears it unless it is cut off from each of these."""

Rumour = UpstreamLeaving | HeadAnnouncement


@final
class Rumours:
    """Tells peers what they probably know already.

    :param mesh: The other hosts.
    :param rng: Spreads the turns.
    """

    def __init__(self, *, mesh: Mesh, rng: Random) -> None:
        self._mesh = mesh
        self._rng = rng
        self._heard: dict[Rumour, int] = {}
        """How many peers told what this host is about to tell."""

    def tell(self, message: Rumour) -> None:
        """Tell all peers, at once where they are few, or when too few others do."""
        if not is_many(peers=len(self._mesh.live.value)):
            self._mesh.broadcast(message=message)
            return
        if message in self._heard:
            return
        self._heard[message] = 0
        delay_s = self._rng.uniform(0, SPREAD_MS) / MS_PER_SECOND
        asyncio.get_running_loop().call_later(delay_s, self._take_turn, message)

    def on_received(self, received: Received) -> None:
        """Count a peer that told what this host is about to tell."""
        message = received.message
        if isinstance(message, Rumour) and message in self._heard:
            self._heard[message] += 1

    def _take_turn(self, message: Rumour) -> None:
        if self._heard.pop(message) < ENOUGH_TELLERS:
            self._mesh.broadcast(message=message)
