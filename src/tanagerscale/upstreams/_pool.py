"""Pool of idle connections to upstreams."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
import re
from typing import Final
from typing import final

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.policy import ByteAccount
from tanagerscale.upstreams._connection import DEAD_PEER_TIMEOUT_S
from tanagerscale.upstreams._connection import READ_BUFFER_BYTES
from tanagerscale.upstreams._connection import HttpConnection
from tanagerscale.upstreams._connection import ResponseHead
from tanagerscale.upstreams._connection import open_connection
from tanagerscale.upstreams._exchange_log import ExchangeLog

IDLE_TIMEOUT_RATIO: Final = 0.5
"""Fraction of the idle timeout announced by an upstream for which a connection is reused; the rest
allows for network latency and late timers."""

MAX_IDLE_CONNECTIONS: Final = 8
"""Maximum number of idle connections to one upstream. All hosts share the connection limit of an
upstream: 9 hosts with 8 connections each use 72 of 96, the smallest known limit."""

CONNECT_TIMEOUT_MS: Final = 400
"""Longest wait for a connection. Connecting takes 3 ms between failure domains, and a lost first
packet is resent only after one second, so that trying another upstream is faster."""

IDLE_TIMEOUT_MS: Final = 3000
"""How long an idle connection is reused if its upstream does not announce an idle timeout."""

_TIMEOUT_FIELD = re.compile(r"timeout=(\d+)")


@final
class ConnectionPool:
    """Pool of connections to many upstreams, by address.

    :param clock: Source of the current time.
    :param connect_timeout_ms: Maximum time to wait for a new connection, in milliseconds.
    :param idle_ms: How long an idle connection is reused if the upstream announces no timeout, in
        milliseconds.
    :param dead_peer_timeout_s: Seconds without an acknowledgement after which an upstream counts as
        dead.
    :param source_ip: Local IP address of new connections; empty lets the system choose.
    :param read_buffer_bytes: Amount of unread data above which a connection is not read.
    :param log: Counts and logs the exchanges on the connections.
    :param account: Account of the bytes that the host holds; ``None`` for none.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        connect_timeout_ms: int = CONNECT_TIMEOUT_MS,
        idle_ms: int = IDLE_TIMEOUT_MS,
        dead_peer_timeout_s: int = DEAD_PEER_TIMEOUT_S,
        source_ip: str = "",
        read_buffer_bytes: int = READ_BUFFER_BYTES,
        log: ExchangeLog | None = None,
        account: ByteAccount | None = None,
    ) -> None:
        self._account = account
        self._read_buffer_bytes = read_buffer_bytes
        self._source_ip = source_ip
        self._clock = clock
        self._dead_peer_timeout_s = dead_peer_timeout_s
        self._connect_timeout_ms = connect_timeout_ms
        self._idle_ms = idle_ms
        self._idle: dict[str, list[tuple[HttpConnection, int]]] = defaultdict(list)
        self.opened = 0
        self.reused = 0
        self.log = ExchangeLog() if log is None else log

    async def acquire(
        self, *, address: str, can_carry: Callable[[HttpConnection], bool]
    ) -> HttpConnection:
        """Return a connection for one request.

        :param address: IP address and port of the upstream.
        :param can_carry: Returns whether an idle connection may carry the request; a new one may.
        :raises ExchangeError: If no connection can be established.
        """
        idle = self._take_idle(address, can_carry)
        if idle is not None:
            self.reused += 1
            return idle
        self.opened += 1
        return await open_connection(
            address=address,
            timeout_ms=self._connect_timeout_ms,
            now=self._clock.now(),
            dead_peer_timeout_s=self._dead_peer_timeout_s,
            source_ip=self._source_ip,
            read_buffer_bytes=self._read_buffer_bytes,
            account=self._account,
        )

    def release(self, *, address: str, connection: HttpConnection, response: ResponseHead) -> None:
        """Return a connection whose response was read completely; closes it unless it is reusable.

        :param address: IP address and port of the upstream.
        :param connection: The connection.
        :param response: Last response on it, which may announce an idle timeout.
        """
        connection.end_exchange()
        idle_connections = self._idle[address]
        is_kept = connection.is_reusable and len(idle_connections) < MAX_IDLE_CONNECTIONS
        self.log.record_end(connection.history, is_kept=is_kept)
        if not is_kept:
            connection.close()
            return
        connection.last_used = self._clock.now()
        idle_connections.append(
            (connection, connection.last_used + self._get_idle_time_ms(response))
        )

    def drop(self, *, address: str) -> None:
        """Close all idle connections to an upstream, for example when it is gone."""
        for connection, _ in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address=address)

    def sweep(self) -> None:
        """Close connections that were idle for too long, which frees slots on the upstreams."""
        now = self._clock.now()
        for address, idle_connections in list(self._idle.items()):
            for connection, until in idle_connections:
                if until <= now or not connection.is_reusable:
                    connection.close()
            unexpired = [item for item in idle_connections if item[1] > now and item[0].is_open]
            if unexpired:
                self._idle[address] = unexpired
            else:
                del self._idle[address]

    def _take_idle(
        self, address: str, can_carry: Callable[[HttpConnection], bool]
    ) -> HttpConnection | None:
        idle_connections = self._idle.get(address, [])
        now = self._clock.now()
        # The most recently used connection is the least likely to have been closed remotely.
        for index in reversed(range(len(idle_connections))):
            connection, until = idle_connections[index]
            is_usable = until > now and connection.is_reusable
            if is_usable and not can_carry(connection):
                continue
            del idle_connections[index]
            if is_usable and not connection.has_unread_input():
                return connection
            connection.close()
        return None

    def _get_idle_time_ms(self, response: ResponseHead) -> int:
        keep_alive_timeout = _TIMEOUT_FIELD.search(response.headers.get("Keep-Alive", ""))
        if keep_alive_timeout is None:
            return self._idle_ms
        return int(int(keep_alive_timeout.group(1)) * MS_PER_SECOND * IDLE_TIMEOUT_RATIO)
