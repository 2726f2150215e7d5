"""Which hosts coordinate, and whom this host asks."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.coordination._ranking import ranked
from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import Clock
from tanagerscale.core import HostId
from tanagerscale.core import Millis
from tanagerscale.core import get_logger
from tanagerscale.generated.messages import Candidate
from tanagerscale.generated.messages import Coordinators
from tanagerscale.generated.records import HostRecord
from tanagerscale.membership import PeerAddress
from tanagerscale.membership import PeerInfo

COORDINATORS: Final = 4
"""Hosts that all others are connected to. Each knows what all hosts run, so that any of them goes
on at once when those before it in rank are gone; a third of all hosts lost together takes all four
once in a hundred times."""

CANDIDATES: Final = 12
"""Hosts in rank order that each host keeps in mind, for when coordinators are gone together and the
store with them."""

GIVE_UP_MS: Final = 1200
"""How long a coordinator may stay unconnected before the next in rank takes its place; a connection
takes some milliseconds, and a host that restarts a second."""

DISTRUST_MS: Final = 2000
"""How long a coordinator that did not answer is not asked. A host that is slow for a moment costs
its callers one wait of some tens of milliseconds, and not each of them."""

_log = get_logger(part="coordination")


@final
class Directory:
    """Knows the first hosts in rank and which of them can be reached.

    :param host: This host.
    :param seeds: Addresses to try before any host is known.
    :param clock: Time.
    """

    def __init__(self, *, host: HostId, seeds: Sequence[str], clock: Clock) -> None:
        self._host = host
        self._seeds = [PeerAddress(address=seed) for seed in seeds]
        self._clock = clock
        self._candidates: tuple[Candidate, ...] = ()
        self._revision = 0
        self._hosts = 0
        self._live: dict[HostId, PeerInfo] = {}
        self._missing_since: dict[HostId, Millis] = {}
        """Since when hosts that should coordinate are not connected."""
        self._last_wanted: list[HostId] = []
        self._distrusted: dict[HostId, Millis] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._decides_since = Millis(0)
        self._was_first = True
        self._changes: Subject[None] = Subject()

    @property
    def changes(self) -> Observable[None]:
        """Fires when other hosts coordinate than before."""
        return self._changes

    @property
    def is_known(self) -> bool:
        """Whether any hosts are known, from the store or from another host."""
        return bool(self._candidates)

    @property
    def hosts(self) -> int:
        """How many hosts there are, as far as is known, those included that can't be reached."""
        return max(self._hosts, len(self._live) + 1)

    @property
    def is_coordinator(self) -> bool:
        """Whether this host is one of those that others tell what they run."""
        return self._host in self._wanted()

    @property
    def coordinators(self) -> list[HostId]:
        """The other hosts that coordinate and can be reached, in rank order."""
        return [host for host in self._wanted() if host in self._live]

    @property
    def decider(self) -> HostId:
        """The host that decides for this one: itself when it can reach no other before it."""
        now = self._clock.now()
        for host in self._wanted():
            if host == self._host or self._is_trusted(host, now):
                return host
        return self._host

    @property
    def rank(self) -> int:
        """How many coordinators that can be reached come before this host."""
        before = 0
        for host in self._wanted():
            if host == self._host:
                break
            before += host in self._live
        return before

    @property
    def decides_since(self) -> Millis:
        """Since when this host decides for itself or for others."""
        return self._decides_since

    @property
    def is_first(self) -> bool:
        """Whether no other coordinator that can be reached comes before this host."""
        return self.decider == self._host

    def targets(self) -> list[PeerAddress]:
        """Return the addresses to be connected to."""
        if not self._candidates:
            return self._seeds
        wanted = set(self._wanted())
        return [
            PeerAddress(address=candidate.address, host=HostId(candidate.host))
            for candidate in self._candidates
            if candidate.host in wanted or candidate.host in self._missing_since
        ]

    def message(self) -> Coordinators:
        """Return what other hosts are told."""
        return Coordinators(
            revision=self._revision, hosts=self._hosts, candidates=list(self._candidates)
        )

    def on_records(self, records: Sequence[HostRecord], *, revision: int) -> None:
        """Take in the hosts' entries as the store has them.

        :param records: The entries.
        :param revision: Revision of the store at which they were read.
        """
        first = ranked(records)[:CANDIDATES]
        candidates = tuple(Candidate(host=record.host, address=record.peers) for record in first)
        self._take(candidates, revision=revision, hosts=len(records))

    def on_message(self, message: Coordinators) -> None:
        """Take in what another host knows, if it is newer."""
        if message.revision > self._revision and message.candidates:
            self._take(tuple(message.candidates), revision=message.revision, hosts=message.hosts)

    def on_live(self, peers: Sequence[PeerInfo]) -> None:
        """Take in which hosts are connected."""
        self._live = {peer.host: peer for peer in peers}
        self.look()

    def distrust(self, host: HostId) -> None:
        """Note that a coordinator did not answer in time."""
        _log.info("A coordinator does not answer.", coordinator=host)
        now = self._clock.now()
        self._distrusted[host] = Millis(now + DISTRUST_MS)
        self._note_first(now)
        self._changes.on_next(None)

    def look(self) -> None:
        """Take in what time alone changes: coordinators that are not connected for too long."""
        before = self._last_wanted
        now = self._clock.now()
        known = {HostId(candidate.host) for candidate in self._candidates}
        self._missing_since = {
            host: since
            for host, since in self._missing_since.items()
            if host in known and host not in self._live
        }
        for host in self._wanted():
            if host != self._host and host not in self._live:
                self._missing_since.setdefault(host, now)
        self._last_wanted = self._wanted()
        self._note_first(now)
        self._look_when_given_up(now)
        if self._last_wanted != before:
            self._changes.on_next(None)

    def _note_first(self, now: Millis) -> None:
        is_first = self.is_first
        if is_first and not self._was_first:
            self._decides_since = now
        self._was_first = is_first

    def _look_when_given_up(self, now: Millis) -> None:
        """Look again when the next host that is missing has been missing for too long."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        missing_ms = [now - since for since in self._missing_since.values()]
        waiting_ms = [GIVE_UP_MS - passed for passed in missing_ms if passed < GIVE_UP_MS]
        if waiting_ms:
            loop = asyncio.get_running_loop()
            # One millisecond more, as the clock cuts fractions off.
            delay_s = (min(waiting_ms) + 1) / MS_PER_SECOND
            self._timer = loop.call_later(delay_s, self.look)

    def _take(self, candidates: tuple[Candidate, ...], *, revision: int, hosts: int) -> None:
        is_new = (candidates, hosts) != (self._candidates, self._hosts)
        self._candidates, self._revision, self._hosts = candidates, revision, hosts
        if not is_new:
            return
        self.look()
        _log.info(
            "Coordinators are known.",
            coordinators=self._last_wanted,
            hosts=hosts,
            revision=revision,
        )
        self._changes.on_next(None)

    def _wanted(self) -> list[HostId]:
        """Return the hosts that coordinate, this one included, those left out that are missing."""
        now = self._clock.now()
        wanted: list[HostId] = []
        for candidate in self._candidates:
            host = HostId(candidate.host)
            since = self._missing_since.get(host)
            if since is None or now - since < GIVE_UP_MS:
                wanted.append(host)
            if len(wanted) == COORDINATORS:
                break
        return wanted

    def _is_trusted(self, host: HostId, now: Millis) -> bool:
        peer = self._live.get(host)
        return peer is not None and not peer.leaving and self._distrusted.get(host, 0) <= now
