"""Compact store entries of upstreams for tests: state, start time and warm-up time."""

from __future__ import annotations

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from tanagerscale.core import FailureDomainId
from tanagerscale.core import ServiceId
from tanagerscale.core import UpstreamId
from tanagerscale.core import UpstreamName
from tanagerscale.store import StoreEntry
from tanagerscale.store import StoreRevision
from tanagerscale.upstreams import UpstreamEntry
from tanagerscale.upstreams import UpstreamState

SERVICE = ServiceId("s")


def make_store_entry(name: str, value: str, *, revision: int) -> StoreEntry:
    """Build a store entry.

    :param name: Name of the upstream, which is also the key of the entry.
    :param value: State, optional start time, optional warm-up time and optional sequence of the
        upstream, as in ``ready@1000 800 3``.
    :param revision: Store revision at which the entry was written.
    """
    at = StoreRevision(revision)
    return StoreEntry(key=name, value=value.encode(), create_revision=at, mod_revision=at)


def decode_store_entry(key: str, value: bytes) -> Result[UpstreamEntry, str]:
    """Decode a store entry; the value ``bad`` is unreadable."""
    if value == b"bad":
        return Failure("The entry is unreadable.")
    status, warmup_ms, sequence, *_ = [*value.decode().split(), "0", "0"]
    state, _, started = status.partition("@")
    return Success(
        UpstreamEntry(
            upstream=UpstreamId(f"{key}{started}"),
            name=UpstreamName(key),
            started_ms=int(started or 0),
            service=SERVICE,
            address=f"{key}:1",
            failure_domain=FailureDomainId("x"),
            max_concurrency=1,
            state=UpstreamState(state),
            warmup_ms=int(warmup_ms),
            sequence=int(sequence),
        )
    )
