"""Idle connections to upstreams, kept for the next request."""

from __future__ import annotations

from collections import defaultdict
import re
from typing import Final
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.upstreams._connection import SILENCE_S
from tanagerscale.upstreams._connection import HttpConnection
from tanagerscale.upstreams._connection import Reply
from tanagerscale.upstreams._connection import open_connection

IDLE_SHARE: Final = 0.5
"""Part of the time an upstream promises to keep an idle connection that is counted on; the rest
covers the way there and late timers."""

MOST_IDLE: Final = 8
"""Idle connections kept to one upstream. Its limit is shared by all hosts: 9 hosts with 8 each
are 72 of 96, the smallest limit met."""

_TIMEOUT_FIELD = re.compile(r"timeout=(\d+)")


@final
class ConnectionPool:
    """Connections to many upstreams, by address.

    :param clock: Time.
    :param connect_timeout_ms: Longest wait for a new connection.
    :param idle_ms: How long a connection is counted on when the upstream does not tell.
    :param silence_s: Seconds without an acknowledgement after which an upstream counts as gone.
    """

    def __init__(
        self, *, clock: Clock, connect_timeout_ms: int, idle_ms: int, silence_s: int = SILENCE_S
    ) -> None:
        self._clock = clock
        self._silence_s = silence_s
        self._connect_timeout_ms = connect_timeout_ms
        self._idle_ms = idle_ms
        self._idle: dict[str, list[tuple[HttpConnection, int]]] = defaultdict(list)
        self.opened = 0
        self.reused = 0

    async def acquire(self, *, address: str, fresh: bool = False) -> HttpConnection:
        """Return a connection for one request.

        :param address: IP number and port of the upstream.
        :param fresh: Whether an idle one is not good enough.
        :raises ExchangeError: No connection could be made.
        """
        if not fresh:
            idle = self._take_idle(address)
            if idle is not None:
                self.reused += 1
                return idle
        self.opened += 1
        return await open_connection(
            address=address,
            timeout_ms=self._connect_timeout_ms,
            now=self._clock.now(),
            silence_s=self._silence_s,
        )

    def release(self, *, address: str, connection: HttpConnection, reply: Reply) -> None:
        """Keep a connection whose reply was read whole, if it may be used again.

        :param address: Where it leads.
        :param connection: The connection.
        :param reply: The last reply on it, which may tell how long it stays open.
        """
        kept = self._idle[address]
        if not connection.is_reusable or len(kept) >= MOST_IDLE:
            connection.close()
            return
        connection.last_used = self._clock.now()
        kept.append((connection, connection.last_used + self._idle_time(reply)))

    def drop(self, *, address: str) -> None:
        """Close all idle connections to an upstream that is gone."""
        for connection, _ in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address=address)

    def sweep(self) -> None:
        """Close what has been idle for too long, so that no upstream keeps places for it."""
        now = self._clock.now()
        for address, kept in list(self._idle.items()):
            for connection, until in kept:
                if until <= now or not connection.is_reusable:
                    connection.close()
            fresh = [item for item in kept if item[1] > now and item[0].is_open]
            if fresh:
                self._idle[address] = fresh
            else:
                del self._idle[address]

    def _take_idle(self, address: str) -> HttpConnection | None:
        kept = self._idle.get(address)
        now = self._clock.now()
        while kept:
            # The one used last is the least likely to have been closed at the other end.
            connection, until = kept.pop()
            if until > now and connection.is_reusable:
                return connection
            connection.close()
        return None

    def _idle_time(self, reply: Reply) -> int:
        told = _TIMEOUT_FIELD.search(reply.headers.get("Keep-Alive", ""))
        if told is None:
            return self._idle_ms
        return int(int(told.group(1)) * MS_PER_SECOND * IDLE_SHARE)
