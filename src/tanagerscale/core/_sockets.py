"""What the kernel is to watch on a connection."""

from __future__ import annotations

from asyncio import BaseTransport
import socket
from typing import Final

from tanagerscale.core._clock import MS_PER_SECOND

KEEPALIVE_INTERVAL_S: Final = 1
"""Pause between the kernel's probes of an idle peer, the shortest the kernel offers."""


def watch_peer(transport: BaseTransport, *, silence_s: int, sent_too: bool = False) -> None:
    """Let the kernel end a connection whose peer went silent without a reset.

    :param transport: The connection.
    :param silence_s: Seconds without an acknowledgement after which the peer counts as gone.
    :param sent_too: Whether bytes that stay unacknowledged for so long end it as well. A peer that
        does not read for a while is cut off then, too.
    """
    connected = transport.get_extra_info("socket")
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    probes = max(silence_s // KEEPALIVE_INTERVAL_S - 1, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, probes)
    if sent_too:
        timeout_ms = silence_s * MS_PER_SECOND
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
