"""The coordinators, and the decider of this host."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import final

from reactivex import Observable
from reactivex.subject import Subject

from tanagerscale.coordination._ranking import rank_hosts
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
from tanagerscale.store import format_revision

COORDINATOR_COUNT: Final = 4
"""Number of hosts that all others connect to. Each knows the runs of all hosts, so any of them can
continue immediately when those before it in rank fail; losing a third of all hosts at once removes
all four in one of a hundred cases."""

MAX_CANDIDATES: Final = 12
"""Number of hosts in rank order that each host remembers, in case all coordinators and the store
fail together."""

MISSING_TIMEOUT_MS: Final = 1200
"""How long a coordinator may be disconnected before the next in rank replaces it. Connecting takes
some milliseconds, restarting a host a second."""

ALONE_AFTER_MS: Final = 600
"""How long a host that gets no answer asks the coordinators that it is connected to before it
decides by itself. It knows only its own runs, and hosts that all decide like this fill the same
engines, while a coordinator that is merely slow answers soon."""

MIN_SILENCE_MS: Final = 80
"""How long ago a silent coordinator was asked at least when it is asked again. A coordinator that
can't be reached at all fails at once, and would be asked without end."""

DISTRUST_MS: Final = 2000
"""How long a coordinator that did not answer is not asked. A host that is briefly slow delays one
caller of each host by some tens of milliseconds instead of every caller."""

_log = get_logger(part="coordination")


@final
class Directory:
    """Tracks the first hosts in rank and which of them can be reached.

    :param host: This host.
    :param seeds: Addresses to connect to before any host is known.
    :param is_cut_off: Returns whether this host reaches no upstream.
    :param clock: Source of the current time.
    """

    def __init__(
        self,
        *,
        host: HostId,
        seeds: Sequence[str],
        is_cut_off: Callable[[], bool] = lambda: False,
        clock: Clock,
    ) -> None:
        self._is_own_cut_off = is_cut_off
        self._host = host
        self._seeds = [PeerAddress(address=seed) for seed in seeds]
        self._clock = clock
        self._candidates: tuple[Candidate, ...] = ()
        self._revision = 0
        self._hosts = 0
        self._connected_peers: dict[HostId, PeerInfo] = {}
        self._missing_since: dict[HostId, Millis] = {}
        """Time since which expected coordinators have been disconnected."""
        self._last_expected: list[HostId] = []
        self._last_decider: HostId | None = None
        self._distrusted: dict[HostId, Millis] = {}
        self._answered_at = Millis(0)
        """When another host last answered this one."""
        self._timer: asyncio.TimerHandle | None = None
        self._decides_since = Millis(0)
        self._was_first = True
        self._changes: Subject[None] = Subject()

    @property
    def changes(self) -> Observable[None]:
        """Emits when the set of coordinators changes."""
        return self._changes

    @property
    def is_known(self) -> bool:
        """Whether any hosts are known, from the store or from another host."""
        return bool(self._candidates)

    @property
    def hosts(self) -> int:
        """Known number of hosts, including unreachable ones."""
        return max(self._hosts, len(self._connected_peers) + 1)

    @property
    def is_coordinator(self) -> bool:
        """Whether this host is a coordinator, to which other hosts report their runs."""
        return self._host in self._expected_coordinators()

    @property
    def coordinators(self) -> list[HostId]:
        """The other coordinators that can be reached, in rank order."""
        return [host for host in self._expected_coordinators() if host in self._connected_peers]

    @property
    def decider(self) -> HostId:
        """The host that decides for this one; this host itself if it can reach none before it.

        A host that reaches no upstream decides only if all coordinators are in this situation.
        """
        now = self._clock.now()
        reachable = [
            host
            for host in self._expected_coordinators()
            if host == self._host or self._is_trusted(host, now)
        ]
        with_path = (host for host in reachable if not self._is_cut_off(host))
        return next(with_path, reachable[0] if reachable else self._choose_silent(now))

    @property
    def is_asking_silent(self) -> bool:
        """Whether no coordinator has answered in time, so that a silent one is asked again."""
        now = self._clock.now()
        return self._distrusted.get(self.decider, 0) > now

    @property
    def rank(self) -> int:
        """Number of reachable coordinators before this host."""
        before = 0
        for host in self._expected_coordinators():
            if host == self._host:
                break
            before += host in self._connected_peers
        return before

    @property
    def decider_since(self) -> Millis:
        """Time since which this host has been deciding for itself or for others."""
        return self._decides_since

    @property
    def is_first(self) -> bool:
        """Whether no reachable coordinator comes before this host."""
        return self.decider == self._host

    def is_stopping(self, host: HostId) -> bool:
        """Return whether a connected host is shutting down."""
        peer = self._connected_peers.get(host)
        return peer is not None and peer.leaving

    def targets(self) -> list[PeerAddress]:
        """Return the addresses that this host should be connected to."""
        if not self._candidates:
            return self._seeds
        expected = set(self._expected_coordinators())
        return [
            PeerAddress(address=candidate.address, host=HostId(candidate.host))
            for candidate in self._candidates
            if candidate.host in expected or candidate.host in self._missing_since
        ]

    def message(self) -> Coordinators:
        """Return the message that shares the candidates with other hosts."""
        return Coordinators(
            revision=self._revision, hosts=self._hosts, candidates=list(self._candidates)
        )

    def on_records(self, records: Sequence[HostRecord], *, revision: int) -> None:
        """Update the candidates from the hosts' entries in the store.

        :param records: The entries.
        :param revision: Revision of the store at which they were read.
        """
        first = rank_hosts(records)[:MAX_CANDIDATES]
        candidates = tuple(Candidate(host=record.host, address=record.peers) for record in first)
        self._update(candidates, revision=revision, hosts=len(records))

    def on_message(self, message: Coordinators) -> None:
        """Update the candidates from another host, if its revision is newer."""
        if message.revision > self._revision and message.candidates:
            self._update(tuple(message.candidates), revision=message.revision, hosts=message.hosts)

    def on_live(self, peers: Sequence[PeerInfo]) -> None:
        """Update the set of connected hosts."""
        self._connected_peers = {peer.host: peer for peer in peers}
        self.reevaluate()

    def record_answer(self, host: HostId) -> None:
        """Record that a host has answered an ask of this one."""
        if host != self._host:
            self._answered_at = self._clock.now()

    def distrust(self, host: HostId) -> None:
        """Stop asking a coordinator for a while because it did not answer in time."""
        _log.info("A coordinator did not answer in time.", coordinator=host)
        now = self._clock.now()
        self._distrusted[host] = Millis(now + DISTRUST_MS)
        self._update_first(now)
        self._changes.on_next(None)

    def reevaluate(self) -> None:
        """Replace coordinators that have been disconnected for too long."""
        before = self._last_expected, self._last_decider
        now = self._clock.now()
        known = {HostId(candidate.host) for candidate in self._candidates}
        self._missing_since = {
            host: since
            for host, since in self._missing_since.items()
            if host in known and host not in self._connected_peers
        }
        for host in self._expected_coordinators():
            if host != self._host and host not in self._connected_peers:
                self._missing_since.setdefault(host, now)
        self._last_expected = self._expected_coordinators()
        self._update_first(now)
        self._schedule_reevaluation(now)
        self._last_decider = self.decider
        if (self._last_expected, self._last_decider) != before:
            self._changes.on_next(None)

    def _update_first(self, now: Millis) -> None:
        is_first = self.is_first
        if is_first and not self._was_first:
            self._decides_since = now
        self._was_first = is_first

    def _schedule_reevaluation(self, now: Millis) -> None:
        """Schedule a reevaluation for when the next missing coordinator times out."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        missing_ms = [now - since for since in self._missing_since.values()]
        waiting_ms = [
            MISSING_TIMEOUT_MS - passed for passed in missing_ms if passed < MISSING_TIMEOUT_MS
        ]
        if waiting_ms:
            loop = asyncio.get_running_loop()
            # Add one millisecond because the clock truncates fractions.
            delay_s = (min(waiting_ms) + 1) / MS_PER_SECOND
            self._timer = loop.call_later(delay_s, self.reevaluate)

    def _update(self, candidates: tuple[Candidate, ...], *, revision: int, hosts: int) -> None:
        is_new = (candidates, hosts) != (self._candidates, self._hosts)
        self._candidates, self._revision, self._hosts = candidates, revision, hosts
        if not is_new:
            return
        self.reevaluate()
        _log.info(
            "The coordinators have changed.",
            coordinators=self._last_expected,
            hosts=hosts,
            revision=format_revision(revision),
        )
        self._changes.on_next(None)

    def _expected_coordinators(self) -> list[HostId]:
        """Return the coordinators, including this host but excluding hosts missing for too long."""
        now = self._clock.now()
        expected: list[HostId] = []
        for candidate in self._candidates:
            host = HostId(candidate.host)
            since = self._missing_since.get(host)
            if since is None or now - since < MISSING_TIMEOUT_MS:
                expected.append(host)
            if len(expected) == COORDINATOR_COUNT:
                break
        return expected

    def _is_cut_off(self, host: HostId) -> bool:
        if host == self._host:
            return self._is_own_cut_off()
        return self._connected_peers[host].cut_off

    def _choose_silent(self, now: Millis) -> HostId:
        """Return the coordinator that was asked the longest ago, or this host after some time."""
        if now - self._answered_at >= ALONE_AFTER_MS:
            return self._host
        latest = now + DISTRUST_MS - MIN_SILENCE_MS
        silent = [
            host
            for host in self.coordinators
            if not self._connected_peers[host].leaving and self._distrusted.get(host, 0) <= latest
        ]
        return min(silent, key=lambda host: self._distrusted.get(host, 0), default=self._host)

    def _is_trusted(self, host: HostId, now: Millis) -> bool:
        peer = self._connected_peers.get(host)
        return peer is not None and not peer.leaving and self._distrusted.get(host, 0) <= now
