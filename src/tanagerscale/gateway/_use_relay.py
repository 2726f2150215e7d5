"""What hosts have on engines, by way of one host of each failure domain.

The load it answers: each host tells of every generation that begins, answers or ends on an engine,
and of every copy. Here each host tells one of its failure domain, which tells the rest of that
domain and one host of each other one twenty times a second; these tell theirs. Begins alone go
straight to all. Measured at 78 hosts with 29 generations a second and no copies
(tools/bench_many_hosts.py): each host takes in 48 messages a second, 29 of them begins, where a
full mesh brings it 90; every host knew of a begin within 4 ms and of an end within 130, where a
full mesh takes 24.

Whoever is told passes on, so nobody has to agree on who that is: the sender's choice is enough.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final
from typing import final

import msgspec
from msgspec import Struct

from tanagerscale.core import MS_PER_SECOND
from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.generated.messages import HostUse
from tanagerscale.generated.messages import HostUses
from tanagerscale.membership import Mesh
from tanagerscale.membership import PeerInfo
from tanagerscale.membership import is_many

PASS_ON_MS: Final = 50
"""How long reports are gathered before they are passed on together. Prompts take some 200 ms to
read, so that what is known of an engine is seldom older than one of them."""


class _Waiting(Struct, kw_only=True):
    """A report that is to be passed on.

    :param use: The report.
    :param is_wide: Whether other failure domains are to be told as well.
    """

    use: HostUse
    is_wide: bool


@final
class UseRelay:
    """Sends reports on their way and passes on those of others.

    :param mesh: The other hosts.
    """

    def __init__(self, *, mesh: Mesh) -> None:
        self._mesh = mesh
        self._waiting: dict[HostId, _Waiting] = {}
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_needed(self) -> bool:
        """Whether there are too many hosts to tell each directly."""
        return is_many(peers=len(self._peers))

    def report(self, use: HostUse) -> None:
        """Send this host's own report on its way."""
        chosen = _first_host([self._mesh.host, *_hosts_of(self._near)])
        if chosen == self._mesh.host:
            self._add(self._mesh.host, use, is_wide=True)
        else:
            message = msgspec.structs.replace(use, pass_on=True)
            self._mesh.send(host=chosen, message=message)

    def on_report(self, host: HostId, use: HostUse) -> None:
        """Take in a peer's own report, which it may have asked to pass on."""
        if use.pass_on:
            self._add(host, use, is_wide=True)

    def on_passed_on(self, host: HostId, uses: HostUses) -> None:
        """Pass reports of other failure domains on in this one.

        :param host: Who passed them on to this host.
        :param uses: The reports.
        """
        sender = next((peer for peer in self._peers if peer.host == host), None)
        if sender is None or sender.failure_domain == self._mesh.failure_domain:
            return
        for use in uses.uses:
            self._add(HostId(use.host), use, is_wide=False)

    @property
    def _peers(self) -> Sequence[PeerInfo]:
        return self._mesh.live.value

    @property
    def _near(self) -> list[PeerInfo]:
        return [peer for peer in self._peers if peer.failure_domain == self._mesh.failure_domain]

    def _add(self, host: HostId, use: HostUse, *, is_wide: bool) -> None:
        before = self._waiting.get(host)
        if before is not None and before.use.number > use.number:
            return
        named = msgspec.structs.replace(use, host=str(host), pass_on=False)
        wide = is_wide or (before is not None and before.is_wide)
        self._waiting[host] = _Waiting(use=named, is_wide=wide)
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(PASS_ON_MS / MS_PER_SECOND, self._pass_on)

    def _pass_on(self) -> None:
        self._timer = None
        waiting = self._waiting.values()
        every = HostUses(uses=[one.use for one in waiting])
        wide = HostUses(uses=[one.use for one in waiting if one.is_wide])
        self._waiting = {}
        for peer in self._near:
            self._mesh.send(host=peer.host, message=every)
        if wide.uses:
            for host in self._far():
                self._mesh.send(host=host, message=wide)

    def _far(self) -> list[HostId]:
        """Return the host of each other failure domain that is told."""
        hosts: dict[FailureDomainId, list[HostId]] = {}
        for peer in self._peers:
            if peer.failure_domain != self._mesh.failure_domain and not peer.leaving:
                hosts.setdefault(peer.failure_domain, []).append(peer.host)
        return [_first_host(some) for some in hosts.values()]


def _hosts_of(peers: Iterable[PeerInfo]) -> list[HostId]:
    return [peer.host for peer in peers if not peer.leaving]


def _first_host(hosts: Iterable[HostId]) -> HostId:
    """Return the host that all choose who know the same hosts."""
    return min(hosts)
