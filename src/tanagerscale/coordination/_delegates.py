"""Hosts to which other hosts delegate requests while they reach no upstream."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random
from typing import Final
from typing import final

from tanagerscale.core import FailureDomainId
from tanagerscale.core import HostId
from tanagerscale.generated.messages import Delegate
from tanagerscale.membership import PeerInfo

MAX_NEAR_DELEGATES: Final = 6
MAX_FAR_DELEGATES: Final = 6
"""Hosts that are named in the failure domain of the asking host, and in others. The asking hosts
spread their requests over them, and each gets other ones."""


@final
class DelegateList:
    """Selects hosts that reach upstreams, among those that are connected to this one.

    :param own: This host as a delegate.
    :param can_help: Returns whether this host reaches upstreams and is not shutting down.
    :param peers: Returns the connected hosts.
    :param rng: Random number generator that spreads the requests.
    """

    def __init__(
        self,
        *,
        own: Delegate,
        can_help: Callable[[], bool],
        peers: Callable[[], Sequence[PeerInfo]],
        rng: Random,
    ) -> None:
        self._own = own
        self._can_help = can_help
        self._peers = peers
        self._rng = rng

    def choose(self, *, asker: HostId, domain: FailureDomainId) -> list[Delegate]:
        """Return some hosts to which a host can delegate requests.

        :param asker: The host.
        :param domain: Its failure domain.
        """
        able = [
            Delegate(
                host=peer.host, address=peer.delegate_address, failure_domain=peer.failure_domain
            )
            for peer in self._peers()
            if peer.delegate_address and not peer.leaving and not peer.cut_off
        ]
        if self._own.address and self._can_help():
            able.append(self._own)
        able = [one for one in able if one.host != asker]
        self._rng.shuffle(able)
        near = [one for one in able if one.failure_domain == domain][:MAX_NEAR_DELEGATES]
        far = [one for one in able if one.failure_domain != domain][:MAX_FAR_DELEGATES]
        return near + far
