"""What the mesh knows of other hosts."""

from __future__ import annotations

from msgspec import Struct

from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.core import Revision
from tanagerscale.membership._wire import Message


class PeerAddress(Struct, frozen=True, kw_only=True):
    """Where a host may be reached.

    :param address: IP number and port.
    :param host: Its id, or ``None`` for a seed, whose id is learnt when it answers.
    """

    address: str
    host: HostId | None = None


class PeerInfo(Struct, frozen=True, kw_only=True):
    """A host that this one is connected to.

    :param host: Its id.
    :param incarnation: Which process of the host it is; a higher one is newer.
    :param failure_domain: Its failure domain.
    :param address: Where it accepts peers.
    :param revision: Revision of the declarations in force there, as last heard.
    :param leaving: Whether it is in a planned stop.
    """

    host: HostId
    incarnation: int
    failure_domain: FailureDomainId
    address: str
    revision: Revision
    leaving: bool


class Received(Struct, frozen=True, kw_only=True):
    """A message with the host that sent it."""

    host: HostId
    message: Message


class MeshCounters(Struct, kw_only=True):
    """What has passed since the start; plain numbers, so that any meter can read them."""

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_messages: int = 0
    """Not sent, as the peer took too few."""
    malformed_frames: int = 0
    unknown_tags: int = 0
    refused_versions: int = 0
    refused_hellos: int = 0
    """Connections that ended before the hosts knew each other."""
