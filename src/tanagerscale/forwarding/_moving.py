"""What everything that moves runs between engines uses."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager

from msgspec import Struct

from tanagerscale.core import Millis
from tanagerscale.forwarding._copier import Copier
from tanagerscale.forwarding._departures import Departures
from tanagerscale.forwarding._links import LinkTurns
from tanagerscale.forwarding._parts import ForwardingParts
from tanagerscale.forwarding._stream import StreamRun
from tanagerscale.forwarding._work import LinkRank
from tanagerscale.policy import order_of
from tanagerscale.upstreams import UpstreamEntry


class MovingParts(Struct, frozen=True, kw_only=True):
    """What everything that moves runs between engines uses.

    :param parts: What every request uses.
    :param departures: When engines leave.
    :param copier: Copies runs.
    :param turns: Turns at the engines' links.
    :param runs: This host's streams.
    """

    parts: ForwardingParts
    departures: Departures
    copier: Copier
    turns: LinkTurns
    runs: set[StreamRun]

    def turn(
        self,
        *,
        run: StreamRun,
        source: UpstreamEntry,
        target: UpstreamEntry,
        rank: LinkRank,
        until: Callable[[], Millis],
    ) -> AbstractAsyncContextManager[bool]:
        """Hold the links between two engines for the copy of a run.

        :param run: The run.
        :param source: Where it is.
        :param target: Where its memory goes.
        :param rank: In which order copies go.
        :param until: Returns when a turn is of no use any more.
        :returns: Whether they are held; otherwise no turn came in time.
        """
        return self.turns.turn(
            source=source,
            target=target,
            rank=rank,
            order=order_of(tokens=run.tokens, made=run.made),
            until=until,
        )
