"""Rank order of hosts, identical on all hosts that know the same set of hosts."""

from __future__ import annotations

from collections.abc import Sequence
import hashlib
from math import floor
from math import log2
from typing import Final

from tanagerscale.generated.records import HostRecord

RANK_ITEM: Final = "coordinators"
"""Hash key of the rank order; another group of engines has another key and another order."""

HEARTBEAT_MS_PER_HOST: Final = 5
MIN_HEARTBEAT_MS: Final = 500
MAX_COORDINATOR_HEARTBEAT_MS: Final = 1000
"""Bounds of the heartbeat interval. A coordinator sends each host a heartbeat every half second
with up to a hundred hosts, and every second with more. A coordinator that misses three of them is
skipped early enough for a leaving upstream or a configuration to be announced in time (two seconds,
and four with more hosts)."""

MEMBER_HEARTBEAT_FACTOR: Final = 3
"""Members send heartbeats to coordinators less often by this factor. A process that ends is
detected immediately and a machine that is down by the kernel, so these heartbeats only detect
frozen hosts; each coordinator receives at most 67 heartbeats a second."""

_DIGEST_BYTES: Final = 8


def rank_hosts(records: Sequence[HostRecord], *, item: str = RANK_ITEM) -> list[HostRecord]:
    """Return hosts in coordinator rank order.

    Hosts with more cores come first, in powers of two: coordinating takes a few hundredths of the
    processor of a small host, and hardly any of a large one. Hosts of equal size are ordered by a
    hash, so that other groups of engines have other orders. The first hosts are in different
    failure domains, as far as there are enough domains, so that the loss of one domain leaves the
    next hosts in rank.

    :param records: The hosts.
    :param item: Hash key of the rank order.
    """
    by_rank = sorted(records, key=lambda record: _rank(item, record))
    domains: set[str] = set()
    first, rest = [], []
    for record in by_rank:
        if record.failure_domain in domains:
            rest.append(record)
        else:
            domains.add(record.failure_domain)
            first.append(record)
    return first + rest


def _rank(item: str, record: HostRecord) -> tuple[int, bytes]:
    size = floor(log2(record.cores)) if record.cores > 0 else 0
    digest = hashlib.blake2b(f"{item}\n{record.host}".encode(), digest_size=_DIGEST_BYTES)
    return -size, digest.digest()


def distance(host: str, other: str) -> str:
    """Return a hash-based distance between two hosts; each host has a different nearest one."""
    return hashlib.blake2b(f"{host}\n{other}".encode(), digest_size=_DIGEST_BYTES).hexdigest()


def heartbeat_interval_ms(*, hosts: int, is_coordinator: bool) -> int:
    """Return the heartbeat interval of a host in milliseconds.

    :param hosts: Number of hosts.
    :param is_coordinator: Whether the host is a coordinator, which the other hosts depend on.
    """
    if is_coordinator:
        return min(
            max(hosts * HEARTBEAT_MS_PER_HOST, MIN_HEARTBEAT_MS), MAX_COORDINATOR_HEARTBEAT_MS
        )
    return max(hosts * HEARTBEAT_MS_PER_HOST * MEMBER_HEARTBEAT_FACTOR, MIN_HEARTBEAT_MS)
