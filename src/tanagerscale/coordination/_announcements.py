"""Distribution of announcements that all hosts must receive, through the coordinators.

Several hosts detect a leaving upstream at the same moment, one host detects a request that crashes
upstreams, and each of hundreds of hosts has to be informed. Members send an announcement to the
coordinators, and the first coordinator in rank broadcasts it; the others broadcast it only if they
have not received it.
"""

from __future__ import annotations

import asyncio
from typing import Final
from typing import Protocol
from typing import final

import msgspec
from msgspec.structs import replace

from tanagerscale.coordination._directory import Directory
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.generated.messages import Evidence
from tanagerscale.generated.messages import HeadAnnouncement
from tanagerscale.generated.messages import Suspect
from tanagerscale.generated.messages import UpstreamLeaving
from tanagerscale.membership import Message

RANK_DELAY_MS: Final = 40
"""Additional broadcast delay per rank. A message takes some milliseconds between hosts, so a
coordinator cancels its broadcast when it receives that of the first in rank."""

MEMBER_DELAY_MS: Final = 60
"""Delay before a member sends an announcement to the coordinators; by then they usually have
detected the event themselves and broadcast it."""

ANNOUNCED_TTL_MS: Final = 5000
"""How long a received announcement of a coordinator is remembered."""

Announcement = UpstreamLeaving | HeadAnnouncement | Suspect


class RelayNetwork(Protocol):
    """The operations of the mesh that the relay uses."""

    @property
    def host(self) -> HostId:
        """Id of the host that the process runs as."""

    def send(self, *, host: HostId, message: Message) -> bool:
        """Send a message without waiting."""

    def broadcast(self, *, message: Message) -> None:
        """Send a message to each connected host."""


@final
class AnnouncementRelay:
    """Sends announcements to the coordinators, or to all hosts if this host is a coordinator.

    :param network: Connections to the other hosts.
    :param directory: Which hosts are coordinators.
    :param clock: Source of the current time.
    """

    def __init__(self, *, network: RelayNetwork, directory: Directory, clock: Clock) -> None:
        self._network = network
        self._directory = directory
        self._clock = clock
        self._announced: dict[bytes, Millis] = {}
        """Announcements received from coordinators, with the time of receipt."""
        self._pending: dict[bytes, asyncio.TimerHandle] = {}
        """Announcements scheduled to be sent unless a coordinator sends them first."""

    def announce(self, announcement: Announcement) -> None:
        """Send an announcement, unless a coordinator has already sent it."""
        identity = _identify(announcement)
        if identity in self._pending or self._is_announced(identity):
            return
        delay_ms = self._get_delay_ms(announcement)
        if not delay_ms:
            self._send(announcement)
            return
        loop = asyncio.get_running_loop()
        self._pending[identity] = loop.call_later(
            delay_ms / MS_PER_SECOND, self._announce, identity, announcement
        )

    def on_announcement(self, host: HostId, announcement: Announcement) -> None:
        """Handle a received announcement; coordinators send theirs to all hosts."""
        if host in self._directory.coordinators:
            self._record_announced(_identify(announcement))
        elif isinstance(announcement, Suspect):
            # The gate itself announces leaving upstreams that are new to it.
            self.announce(announcement)

    def _get_delay_ms(self, announcement: Announcement) -> int:
        if self._directory.is_coordinator or not self._directory.coordinators:
            return RANK_DELAY_MS * self._directory.rank
        # Only this host knows which of its runs a crash has broken off.
        is_own = isinstance(announcement, Suspect) and announcement.evidence is Evidence.BROKEN
        return 0 if is_own else MEMBER_DELAY_MS

    def _is_announced(self, identity: bytes) -> bool:
        at = self._announced.get(identity)
        return at is not None and self._clock.now() - at < ANNOUNCED_TTL_MS

    def _record_announced(self, identity: bytes) -> None:
        now = self._clock.now()
        self._announced = {
            one: at for one, at in self._announced.items() if now - at < ANNOUNCED_TTL_MS
        }
        self._announced[identity] = now
        timer = self._pending.pop(identity, None)
        if timer is not None:
            timer.cancel()

    def _announce(self, identity: bytes, announcement: Announcement) -> None:
        del self._pending[identity]
        self._send(announcement)

    def _send(self, announcement: Announcement) -> None:
        if self._directory.is_coordinator or not self._directory.coordinators:
            self._network.broadcast(message=announcement)
            return
        for host in self._directory.coordinators:
            self._network.send(host=host, message=announcement)


def _identify(announcement: Announcement) -> bytes:
    """Return bytes that only equal announcements share; those with lists can't be hashed."""
    if isinstance(announcement, UpstreamLeaving):
        announcement = replace(announcement, age_ms=0)
    return type(announcement).__name__.encode() + msgspec.msgpack.encode(announcement)
