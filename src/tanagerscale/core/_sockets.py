"""TCP options that detect unresponsive peers."""

from __future__ import annotations

from asyncio import BaseTransport
import socket
from typing import Final

from tanagerscale.core._clock import MS_PER_SECOND

KEEPALIVE_INTERVAL_S: Final = 1
"""Interval between keepalive probes, in seconds; the minimum that the kernel supports."""


def enable_tcp_keepalive(
    transport: BaseTransport, *, timeout_s: int, set_user_timeout: bool = False
) -> None:
    """Have the kernel close a connection whose peer stops responding without a reset.

    :param transport: Transport of the connection.
    :param timeout_s: Seconds without an acknowledgement after which the connection is closed.
    :param set_user_timeout: Whether the connection is also closed when sent data stays
        unacknowledged for ``timeout_s``. This also disconnects a peer that does not read for that
        long.
    """
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    probes = max(timeout_s // KEEPALIVE_INTERVAL_S - 1, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    if set_user_timeout:
        timeout_ms = timeout_s * MS_PER_SECOND
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
