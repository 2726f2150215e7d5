"""Turns at the links of engines, agreed on by all hosts."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Final
from typing import final

from msgspec.structs import replace

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import Millis
from tanagerscale.forwarding._work import CopyTicket
from tanagerscale.forwarding._work import EngineWork
from tanagerscale.forwarding._work import LinkRank
from tanagerscale.forwarding._work import TurnKey
from tanagerscale.upstreams import UpstreamEntry

AGREE_MS: Final = 15
"""How long a place in the queue is known before it is used: messages between hosts take 3 ms."""

UNUSED_TURN_MS: Final = 150
"""After so long the first in the queue is passed over. Its host has died, or waits for its other
engine's link; a host that may go says so within 30 ms."""

LONGEST_COPY_MS: Final = 900
"""After so long a copy under way counts as over. The longest that were seen took 0.75 s."""


@final
class LinkTurns:
    """Lets copies from one engine go one after the other, whichever hosts ask for them.

    An engine's link takes copies in the order asked. The short rest of a run, during which it
    stands still, would wait there behind the whole memory of others: 0.4 s for each of 3,500 tokens
    to another failure domain, where 0.18 s is the longest pause that is still on time.

    :param work: Where hosts tell each other what they copy.
    :param clock: Time.
    """

    def __init__(self, *, work: EngineWork, clock: Clock) -> None:
        self._work = work
        self._clock = clock
        self._last_number = 0
        self._news = asyncio.Event()
        work.news.subscribe(lambda _: self._news.set())

    @asynccontextmanager
    async def turn(
        self,
        *,
        source: UpstreamEntry,
        target: UpstreamEntry,
        rank: LinkRank,
        order: int,
        until: Callable[[], Millis],
    ) -> AsyncIterator[bool]:
        """Hold the links between two engines.

        :param source: Where a run is.
        :param target: Where its memory goes.
        :param rank: In which order copies go.
        :param order: The order within the rank, the smallest first.
        :param until: Returns when a turn is of no use any more.
        :returns: Whether the links are held; otherwise no turn came in time.
        """
        self._last_number += 1
        ticket = CopyTicket(
            number=self._last_number,
            engines=(source.upstream, target.upstream),
            rank=rank,
            order=order,
        )
        self._work.queue_copy(ticket)
        try:
            await self._clock.sleep(AGREE_MS)
            is_granted = await self._wait_turn(ticket, until)
            if is_granted:
                self._work.queue_copy(replace(ticket, rank=LinkRank.UNDER_WAY))
            yield is_granted
        finally:
            self._work.leave_queue(ticket)

    async def _wait_turn(self, ticket: CopyTicket, until: Callable[[], Millis]) -> bool:
        passed_over: set[TurnKey] = set()
        first: TurnKey | None = None
        first_since = self._clock.now()
        while True:
            ahead = [key for key in self._work.ahead_of(ticket) if key not in passed_over]
            if not ahead:
                return True
            now = self._clock.now()
            if now >= until():
                return False
            if ahead[0] != first:
                first, first_since = ahead[0], now
            patience = LONGEST_COPY_MS if first.rank == LinkRank.UNDER_WAY else UNUSED_TURN_MS
            if now - first_since >= patience:
                passed_over.add(first)
                continue
            await self._wait_news(Millis(min(until(), first_since + patience)))

    async def _wait_news(self, until: Millis) -> None:
        self._news.clear()
        left_ms = until - self._clock.now()
        try:
            async with asyncio.timeout(max(left_ms, 1) / MS_PER_SECOND):
                await self._news.wait()
        except TimeoutError:
            return
