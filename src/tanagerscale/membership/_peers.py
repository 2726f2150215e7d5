"""Data that the mesh keeps about other hosts."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.membership._wire import Message


class PeerAddress(Struct, frozen=True, kw_only=True):
    """An address at which a host may be reachable.

    :param address: IP address and port.
    :param host: Id of the host; ``None`` for a seed, whose id is unknown until it sends its hello.
    """

    address: str
    host: HostId | None = None


class PeerInfo(Struct, frozen=True, kw_only=True):
    """A connected peer.

    :param host: Id of the host.
    :param incarnation: Incarnation of its process; a higher number is newer.
    :param failure_domain: Failure domain of the host.
    :param address: Address at which it accepts peers.
    :param revision: Last reported revision of the declarations in force on the host.
    :param leaving: Whether the host is shutting down gracefully.
    :param cut_off: Whether the host reaches no upstream.
    :param delegate_address: Address at which it accepts delegated requests; empty if it does not.
    """

    host: HostId
    incarnation: int
    failure_domain: FailureDomainId
    address: str
    revision: Revision
    leaving: bool
    cut_off: bool = False
    delegate_address: str = ""


class ReceivedMessage(Struct, frozen=True, kw_only=True):
    """A message and the host that sent it."""

    host: HostId
    message: Message


class MeshCounters(Struct, kw_only=True):
    """Traffic counters since the start; plain numbers that any metrics library can read."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    """Messages dropped because the send queue to a slow peer was full."""
    malformed_frames: int = 0
    unknown_tags: int = 0
    refused_versions: int = 0
    refused_hellos: int = 0
    """Connections that failed in the handshake."""
