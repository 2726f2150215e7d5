"""Which live host owns a pool of engines."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

from tanagerscale.core import HostId

HASH_BYTES = 8


def rendezvous_owner(*, pool: str, hosts: Iterable[HostId]) -> HostId | None:
    """Return the owner of a pool by rendezvous hashing (Thaler and Ravishankar, 1998).

    Every host that knows the same live hosts names the same owner, and when a host goes only
    the pools that it owned change hands.

    :param pool: Name of the pool.
    :param hosts: Live hosts.
    :returns: ``None`` when there are none.
    """
    return max(hosts, key=lambda host: (_score(pool, host), host), default=None)


def _score(pool: str, host: str) -> bytes:
    return blake2b(f"{pool}\0{host}".encode(), digest_size=HASH_BYTES).digest()
